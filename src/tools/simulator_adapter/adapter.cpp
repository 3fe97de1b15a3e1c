#include "tools/simulator_adapter/adapter.h"

#include <array>
#include <cmath>
#include <deque>
#include <istream>
#include <map>
#include <memory>
#include <ostream>

#include "deployment/routing_config.h"
#include "routing/router.h"
#include "tools/simulator_adapter/message_line.h"

namespace gulltrestle::simulator_adapter {

namespace {

constexpr std::array<std::string_view, 3> kHealthNames{"live", "quiescing", "dead"};
constexpr std::array<std::string_view, 4> kListFormNames{"diff", "snapshot", "disk", "error"};
constexpr std::array<std::string_view, 9> kOutcomeNames{"served",     "server_error",  "turned_away",
                                                        "no_answer",  "no_connection", "connection_lost",
                                                        "called_off", "not_sent",      "not_stored"};

Duration micros(std::uint64_t count) { return Duration::micros(static_cast<std::int64_t>(count)); }

// An endpoint list, and the zone of each entry. Routers of different zones share it.
struct EndpointDirectory {
  std::vector<EndpointEntry> entries;
  std::vector<std::string> zones;
};

// A line that is queued until the whole batch has been read, with the endpoint list that it refers to. The
// list is the one that was current when the line was read: a later line may replace it.
struct ReceivedLine {
  std::size_t number;
  MessageLine line;
  std::shared_ptr<const EndpointDirectory> directory;
};

// One router, with the settings of its POWER_ON line that are needed to parse its other lines.
class RouterInstance {
 public:
  explicit RouterInstance(const MessageLine& start) : RouterInstance(start, deployment::read(start)) {}

  Router& router() { return router_; }

  void deliver(Router& router, const ReceivedLine& received) const {
    const MessageLine& line = received.line;
    const auto tag = line.tag();
    if (tag == "INCOMING") {
      router.onTransaction(readTransaction(line));
    } else if (tag == "FINISHED") {
      router.onAttemptEnded(line.unsignedInteger("rid"),
                            static_cast<unsigned>(line.unsignedInteger("sendNo")), NodeId(line.text("node")),
                            outcomeOf(line), line.flag("last"), micros(line.unsignedInteger("latency", 0)),
                            loadReportOfAnswer(line), loadReportOfUsage(line));
    } else if (tag == "PROBE_DONE") {
      router.onHealthCheckEnded(NodeId(line.text("node")), outcomeOf(line), loadReportOfUsage(line));
    } else if (tag == "DUE") {
      line.unsignedInteger("name");  // requests a routing round; the name is only validated
    } else if (tag == "CANCELLED_BY_CLIENT") {
      router.onClientDisconnected(line.unsignedInteger("rid"));
    } else if (tag == "FLOWING") {
      router.onStreamStarted(line.unsignedInteger("rid"));
    } else if (tag == "MEMBERS") {
      deliverEndpointList(router, received);
    }
  }

 private:
  RouterInstance(const MessageLine& start, deployment::DeploymentSettings settings)
      : router_(std::move(settings.routing), start.unsignedInteger("prng")),
        zone_(std::move(settings.zone)),
        baseTime_(
            Instant::atMicros(static_cast<std::int64_t>(start.unsignedInteger("specifics.baseTime", 0)))) {
    for (std::size_t row = 0; row < settings.classNames.size(); ++row)
      classIndexes_.emplace(settings.classNames[row], row);
  }

  static AttemptOutcome outcomeOf(const MessageLine& line) {
    return deployment::toEnumerator<AttemptOutcome>("stateCode", line.text("stateCode"), kOutcomeNames);
  }

  Transaction readTransaction(const MessageLine& line) const {
    Transaction txn;
    txn.id = line.unsignedInteger("rid");
    const auto classIndex = classIndexes_.find(line.text("grade"));
    if (classIndex == classIndexes_.end())
      throw InvalidField("grade", "'" + classNameOf(line) + "' is not in the settings");
    txn.type = classIndex->second;
    txn.group = deployment::toGroup("cluster", line.text("cluster"));
    if (line.find("session")) txn.session = line.unsignedInteger("session");
    if (line.find("tokenMs"))
      txn.writeAge = Duration::micros(std::llround(std::ceil(line.number("tokenMs", 0) * 1000)));
    txn.remainingTime = micros(line.unsignedInteger("patienceLeft"));
    if (line.find("work")) txn.expectedServiceTime = micros(line.unsignedInteger("work"));
    return txn;
  }
  static std::string classNameOf(const MessageLine& line) { return std::string(line.text("grade")); }

  LoadReport loadReportOfAnswer(const MessageLine& line) const {
    LoadReport report;
    const auto roleAndPosition = line.unsignedInteger("stand", 0);
    report.role = roleOf(roleAndPosition % 4);
    if (roleAndPosition / 4 > 0)
      report.position = baseTime_ + Duration::millis(static_cast<std::int64_t>(roleAndPosition / 4));
    return report;
  }

  LoadReport loadReportOfUsage(const MessageLine& line) const {
    LoadReport report;
    const auto usage = line.find("usage");
    if (!usage || usage->empty() || *usage == "-") return report;
    for (const auto pair : deployment::split(*usage, ',')) {
      const auto colon = pair.find(':');
      if (colon == std::string_view::npos) throw InvalidField("usage", "has a part without a value");
      const auto name = pair.substr(0, colon);  // x0: position in seconds since baseTime; x1: 1 for a primary
      if (name == "x0")
        report.position = baseTime_ + Duration::seconds(toNumber("usage", pair.substr(colon + 1)));
      if (name == "active") report.inFlight = toNumber("usage", pair.substr(colon + 1));
      if (name == "x1")
        report.role = toNumber("usage", pair.substr(colon + 1)) == 1 ? Role::primary : Role::replica;
    }
    return report;
  }

  static Role roleOf(std::uint64_t code) {
    return code == 1 ? Role::primary : code == 2 ? Role::replica : Role::unknown;
  }

  void deliverEndpointList(Router& router, const ReceivedLine& received) const {
    const auto form = received.line.text("form");
    deployment::toEnumerator<int>("form", form, kListFormNames);
    if (form == "error") return router.onEndpointListFailed();
    if (!received.directory) throw InvalidField("sheet", "was never given");
    auto entries = received.directory->entries;
    for (std::size_t i = 0; i < entries.size(); ++i)
      entries[i].sameZone = received.directory->zones[i] == zone_;
    router.onEndpointList(form == "diff"   ? EndpointUpdateKind::delta
                          : form == "disk" ? EndpointUpdateKind::restored
                                           : EndpointUpdateKind::snapshot,
                          entries);
  }

  Router router_;
  std::map<std::string, std::size_t, std::less<>> classIndexes_;
  std::string zone_;
  Instant baseTime_;
};

// Writes each routing decision of one router as a line.
class DecisionWriter final : public DecisionSink {
 public:
  DecisionWriter(std::string& text, std::uint64_t instance)
      : text_(text), instance_(" i=" + std::to_string(instance)) {}

  // The simulator sends attempts immediately and has no field for `sendBy`.
  void sendAttempt(TxnId txn, const NodeId& node, Instant, Instant abandonAt) override {
    writeLine("ASSIGN", " rid=", txn, " node=", node, " cutAt=", abandonAt.inMicros());
  }
  void withdraw(TxnId, unsigned) override {}  // the simulator has written the attempt at once
  void cancel(TxnId txn, unsigned attempt) override {
    writeLine("ABANDON", " rid=", txn, " sendNo=", attempt);
  }
  void reject(TxnId txn, Duration retryAfter) override {
    if (retryAfter > Duration())
      writeLine("REJECT", " rid=", txn, " notBeforeFor=", retryAfter.inMicros());
    else
      writeLine("REJECT", " rid=", txn);
  }
  void rollBack(TxnId txn) override { writeLine("RESPOND_ERROR", " rid=", txn); }
  void sendHealthCheck(const NodeId& node) override { writeLine("SAMPLE", " node=", node); }
  void wakeAfter(Duration after) override { writeLine("REMIND", " after=", after.inMicros(), " name=", 0); }
  void subscribeToEndpointList() override { writeLine("SUBSCRIBE", " active=", 1); }
  void forgetNode(const NodeId&) override {}  // the adapter keeps no state of nodes

 private:
  template <typename... Values>
  void writeLine(std::string_view tag, const Values&... values) {
    text_ += tag;
    text_ += instance_;
    (append(values), ...);
    text_ += '\n';
  }
  void append(std::string_view text) { text_ += text; }
  template <typename Integer>
  requires std::is_integral_v<Integer>
  void append(Integer value) { text_ += std::to_string(value); }

  std::string& text_;
  std::string instance_;
};

// Reads batches of lines from the simulator and runs a routing round of each router that they address.
class Adapter {
 public:
  Adapter(std::istream& input, std::ostream& output) : input_(input), output_(output) {}

  // Processes one batch. Returns false at the end of the input.
  bool processBatch() {
    lines_.clear();
    received_.clear();
    instanceOrder_.clear();
    lineNumber_ = 0;
    std::string first;
    if (!std::getline(input_, first)) return false;
    const MessageLine& start = storeLine(std::move(first));
    if (start.tag() != "SYNC") throw InvalidField("SYNC", "is not how this line starts");
    frame_ = start.unsignedInteger("frame");
    const auto now = Instant::atMicros(static_cast<std::int64_t>(start.unsignedInteger("moment")));
    readBatch();
    std::string reply;
    for (const auto instance : instanceOrder_) runRounds(now, instance, reply);
    reply += "END frame=" + std::to_string(frame_) + "\n";
    output_ << reply << std::flush;
    return true;
  }

  // The batch and the line within it that were processed last.
  std::uint64_t frame() const { return frame_; }
  std::size_t lineNumber() const { return lineNumber_; }

 private:
  // Delivers a range of the lines of one router, and tracks the line number for error messages.
  class LineSource final : public EventSource {
   public:
    LineSource(Adapter& adapter, const RouterInstance& instance, std::size_t from, std::size_t to,
               const std::vector<ReceivedLine>& lines)
        : adapter_(adapter), instance_(instance), from_(from), to_(to), lines_(lines) {}
    void deliver(Router& router) override {
      for (std::size_t i = from_; i < to_; ++i) {
        adapter_.lineNumber_ = lines_[i].number;
        instance_.deliver(router, lines_[i]);
      }
    }

   private:
    Adapter& adapter_;
    const RouterInstance& instance_;
    std::size_t from_, to_;
    const std::vector<ReceivedLine>& lines_;
  };

  // The result is valid until the next line is stored.
  const MessageLine& storeLine(std::string text) {
    ++lineNumber_;
    if (!text.empty() && text.back() == '\r') text.pop_back();
    lines_.push_back(std::move(text));
    lastLine_ = MessageLine(lines_.back());
    return lastLine_;
  }

  const MessageLine& nextLine() {
    std::string text;
    if (!std::getline(input_, text)) {
      ++lineNumber_;
      throw InvalidField("OVER_TO_YOU", "is missing: the input ended inside a batch");
    }
    return storeLine(std::move(text));
  }

  void readBatch() {
    for (const MessageLine* line = &nextLine(); line->tag() != "OVER_TO_YOU"; line = &nextLine()) {
      if (line->tag() == "DIRECTORY") {
        readDirectory(*line);
      } else if (isRouterLine(line->tag())) {
        const auto instance = line->unsignedInteger("i");
        auto& lines = received_[instance];
        if (lines.empty()) instanceOrder_.push_back(instance);
        std::shared_ptr<const EndpointDirectory> directory;
        if (line->tag() == "MEMBERS" && line->find("form") != "error") {
          const auto number = line->unsignedInteger("sheet");
          if (number >= directories_.size()) throw InvalidField("sheet", "is out of range");
          directory = directories_[number];
        }
        lines.push_back({lineNumber_, *line, std::move(directory)});
      }
    }
  }

  static bool isRouterLine(std::string_view tag) {
    for (const std::string_view routerTag : {"POWER_ON", "INCOMING", "CANCELLED_BY_CLIENT", "KILL", "DUE",
                                             "PROBE_DONE", "MESSAGE", "FLOWING", "FINISHED", "MEMBERS"})
      if (tag == routerTag) return true;
    return false;
  }

  void readDirectory(const MessageLine& head) {
    const auto number = head.unsignedInteger("sheet");
    if (number >= directories_.size()) throw InvalidField("sheet", "is out of range");
    const auto count = head.unsignedInteger("entries");
    auto directory = std::make_shared<EndpointDirectory>();
    for (std::uint64_t i = 0; i < count; ++i) {
      const MessageLine& line = nextLine();
      if (line.tag() != "NODE") throw InvalidField("entries", "counts more entries than follow");
      EndpointEntry entry;
      entry.node = line.text("node");
      entry.group = deployment::toGroup("shard", line.text("shard"));
      entry.kind = line.find("familyType").value_or("");
      entry.health = deployment::toEnumerator<Health>("health", line.text("health"), kHealthNames);
      entry.primary = line.number("head", 0) == 1;
      entry.startedAt = Instant::atMicros(static_cast<std::int64_t>(line.unsignedInteger("startedAt", 0)));
      directory->entries.push_back(std::move(entry));
      directory->zones.emplace_back(line.find("campus").value_or(""));
    }
    directories_[number] = std::move(directory);
  }

  // Runs one round for each range of lines between KILL and POWER_ON lines: a router may be killed and
  // started again within one batch.
  void runRounds(Instant now, std::uint64_t id, std::string& reply) {
    const auto& lines = received_.at(id);
    DecisionWriter writer(reply, id);
    for (std::size_t from = 0; from < lines.size();) {
      const auto& first = lines[from];
      lineNumber_ = first.number;
      if (first.line.tag() == "KILL") {
        if (instances_.erase(id) == 0) throw InvalidField("i", "names a router that is not running");
        ++from;
        continue;
      }
      if (first.line.tag() == "POWER_ON") {
        instances_.erase(id);
        instances_.try_emplace(id, first.line);
        ++from;
      }
      auto to = from;
      while (to < lines.size() && lines[to].line.tag() != "KILL" && lines[to].line.tag() != "POWER_ON") ++to;
      const auto found = instances_.find(id);
      if (found == instances_.end()) throw InvalidField("i", "names a router that is not running");
      LineSource source(*this, found->second, from, to, lines);
      // Decisions of a router that is killed later in this batch have no effect: they are discarded.
      const auto previousSize = reply.size();
      found->second.router().runRound(now, source, writer);
      if (to < lines.size()) reply.resize(previousSize);
      from = to;
    }
  }

  std::istream& input_;
  std::ostream& output_;
  std::uint64_t frame_ = 0;
  std::size_t lineNumber_ = 0;
  std::deque<std::string> lines_;  // of this batch; a deque, so that views into them stay valid
  MessageLine lastLine_{""};
  std::map<std::uint64_t, std::vector<ReceivedLine>> received_;  // by router
  std::vector<std::uint64_t> instanceOrder_;                     // in which the batch first names them
  std::array<std::shared_ptr<const EndpointDirectory>, 16> directories_;  // by sheet number
  std::map<std::uint64_t, RouterInstance> instances_;
};

}  // namespace

int runAdapter(std::istream& input, std::ostream& output, std::ostream& errors) {
  Adapter adapter(input, output);
  try {
    while (adapter.processBatch()) {}
    return 0;
  } catch (const InvalidField& error) {
    errors << "gulltrestle_drill: frame " << adapter.frame() << ", line " << adapter.lineNumber() << ", "
           << error.what() << std::endl;
    return 1;
  }
}

}  // namespace gulltrestle::simulator_adapter
