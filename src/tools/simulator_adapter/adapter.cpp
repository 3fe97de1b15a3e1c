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

constexpr std::array<std::string_view, 3> kHealths{"live", "quiescing", "dead"};
constexpr std::array<std::string_view, 4> kListForms{"diff", "snapshot", "disk", "error"};
constexpr std::array<std::string_view, 9> kOutcomes{"served",     "server_error",  "turned_away",
                                                    "no_answer",  "no_connection", "connection_lost",
                                                    "called_off", "not_sent",      "not_stored"};

Duration micros(std::uint64_t n) { return Duration::micros(static_cast<std::int64_t>(n)); }

struct EndpointDirectory {
  std::vector<EndpointEntry> entries;
  std::vector<std::string> zones;
};

// A line held until its router's turn, with the list it refers to as that stood when the line came.
struct ReceivedLine {
  std::size_t number;
  MessageLine line;
  std::shared_ptr<const EndpointDirectory> directory;
};

// One router and what the wire says about reading its lines.
class RouterInstance {
 public:
  explicit RouterInstance(const MessageLine& start) : RouterInstance(start, deployment::read(start)) {}

  Router& router() { return router_; }

  void deliver(Router& to, const ReceivedLine& received) const {
    const MessageLine& line = received.line;
    const auto tag = line.tag();
    if (tag == "INCOMING") {
      to.onTransaction(readTransaction(line));
    } else if (tag == "FINISHED") {
      to.onAttemptEnded(line.whole("rid"), static_cast<unsigned>(line.whole("sendNo")),
                        NodeId(line.text("node")), outcomeOf(line), line.flag("last"),
                        micros(line.whole("latency", 0)), loadReportOfAnswer(line), loadReportOfUsage(line));
    } else if (tag == "PROBE_DONE") {
      to.onHealthCheckEnded(NodeId(line.text("node")), outcomeOf(line), loadReportOfUsage(line));
    } else if (tag == "DUE") {
      line.whole("name");  // the round itself is all that was asked for
    } else if (tag == "CANCELLED_BY_CLIENT") {
      to.onClientLeft(line.whole("rid"));
    } else if (tag == "FLOWING") {
      to.onStreamStarted(line.whole("rid"));
    } else if (tag == "MEMBERS") {
      deliverList(to, received);
    }
  }

 private:
  RouterInstance(const MessageLine& start, deployment::DeploymentSettings settings)
      : router_(std::move(settings.routing), start.whole("prng")),
        zone_(std::move(settings.zone)),
        baseTime_(Instant::atMicros(static_cast<std::int64_t>(start.whole("specifics.baseTime", 0)))) {
    for (std::size_t row = 0; row < settings.classNames.size(); ++row)
      types_.emplace(settings.classNames[row], row);
  }

  static AttemptOutcome outcomeOf(const MessageLine& line) {
    return deployment::choice<AttemptOutcome>("stateCode", line.text("stateCode"), kOutcomes);
  }

  Transaction readTransaction(const MessageLine& line) const {
    Transaction txn;
    txn.id = line.whole("rid");
    const auto type = types_.find(line.text("grade"));
    if (type == types_.end())
      throw InvalidField("grade", "'" + classNameOf(line) + "' is not in the settings");
    txn.type = type->second;
    txn.group = deployment::toGroup("cluster", line.text("cluster"));
    if (line.find("session")) txn.session = line.whole("session");
    if (line.find("tokenMs"))
      txn.writeAge = Duration::micros(std::llround(std::ceil(line.number("tokenMs", 0) * 1000)));
    txn.remainingTime = micros(line.whole("patienceLeft"));
    if (line.find("work")) txn.expectedWork = micros(line.whole("work"));
    return txn;
  }
  static std::string classNameOf(const MessageLine& line) { return std::string(line.text("grade")); }

  LoadReport loadReportOfAnswer(const MessageLine& line) const {
    LoadReport report;
    const auto note = line.whole("stand", 0);
    report.role = roleOf(note % 4);
    if (note / 4 > 0) report.position = baseTime_ + Duration::millis(static_cast<std::int64_t>(note / 4));
    return report;
  }

  LoadReport loadReportOfUsage(const MessageLine& line) const {
    LoadReport report;
    const auto gauges = line.find("usage");
    if (!gauges || gauges->empty() || *gauges == "-") return report;
    for (const auto pair : deployment::split(*gauges, ',')) {
      const auto colon = pair.find(':');
      if (colon == std::string_view::npos) throw InvalidField("usage", "has a part without a value");
      const auto name = pair.substr(0, colon);
      if (name == "x0")
        report.position = baseTime_ + Duration::seconds(toNumber("usage", pair.substr(colon + 1)));
      if (name == "active") report.inFlight = toNumber("usage", pair.substr(colon + 1));
      if (name == "x1")
        report.role = toNumber("usage", pair.substr(colon + 1)) == 1 ? Role::primary : Role::replica;
    }
    return report;
  }

  static Role roleOf(std::uint64_t n) {
    return n == 1 ? Role::primary : n == 2 ? Role::replica : Role::unknown;
  }

  void deliverList(Router& to, const ReceivedLine& received) const {
    const auto form = received.line.text("form");
    deployment::choice<int>("form", form, kListForms);
    if (form == "error") return to.onEndpointListFailed();
    if (!received.directory) throw InvalidField("sheet", "was never given");
    auto entries = received.directory->entries;
    for (std::size_t i = 0; i < entries.size(); ++i)
      entries[i].sameZone = received.directory->zones[i] == zone_;
    to.onEndpointList(form == "diff"   ? EndpointUpdateKind::delta
                      : form == "disk" ? EndpointUpdateKind::restored
                                       : EndpointUpdateKind::snapshot,
                      entries);
  }

  Router router_;
  std::map<std::string, std::size_t, std::less<>> types_;
  std::string zone_;
  Instant baseTime_;
};

class DecisionWriter final : public DecisionSink {
 public:
  DecisionWriter(std::string& text, std::uint64_t instance)
      : text_(text), instance_(" i=" + std::to_string(instance)) {}

  void sendAttempt(TxnId txn, const NodeId& node, Instant, Instant cutAt) override {  // sent at once
    line("ASSIGN", " rid=", txn, " node=", node, " cutAt=", cutAt.inMicros());
  }
  void cancel(TxnId txn, unsigned attempt) override { line("ABANDON", " rid=", txn, " sendNo=", attempt); }
  void reject(TxnId txn, Duration retryAfter) override {
    if (retryAfter > Duration())
      line("REJECT", " rid=", txn, " notBeforeFor=", retryAfter.inMicros());
    else
      line("REJECT", " rid=", txn);
  }
  void rollBack(TxnId txn) override { line("RESPOND_ERROR", " rid=", txn); }
  void sendHealthCheck(const NodeId& node) override { line("SAMPLE", " node=", node); }
  void wakeAfter(Duration after) override { line("REMIND", " after=", after.inMicros(), " name=", 0); }
  void followEndpointList() override { line("SUBSCRIBE", " active=", 1); }
  void forgetNode(const NodeId&) override {}  // nothing is kept of nodes here

 private:
  template <typename... ByteSlices>
  void line(std::string_view tag, const ByteSlices&... parts) {
    text_ += tag;
    text_ += instance_;
    (add(parts), ...);
    text_ += '\n';
  }
  void add(std::string_view part) { text_ += part; }
  template <typename N>
  requires std::is_integral_v<N>
  void add(N n) { text_ += std::to_string(n); }

  std::string& text_;
  std::string instance_;
};

class Adapter {
 public:
  Adapter(std::istream& input, std::ostream& output) : input_(input), output_(output) {}

  // Plays one batch; false at the end of the input.
  bool batch() {
    lines_.clear();
    received_.clear();
    order_.clear();
    lineNumber_ = 0;
    std::string first;
    if (!std::getline(input_, first)) return false;
    const MessageLine& start = storeLine(std::move(first));
    if (start.tag() != "SYNC") throw InvalidField("SYNC", "is not how this line starts");
    frame_ = start.whole("frame");
    const auto now = Instant::atMicros(static_cast<std::int64_t>(start.whole("moment")));
    read();
    std::string reply;
    for (const auto instance : order_) play(now, instance, reply);
    reply += "END frame=" + std::to_string(frame_) + "\n";
    output_ << reply << std::flush;
    return true;
  }

  std::uint64_t frame() const { return frame_; }
  std::size_t lineNumber() const { return lineNumber_; }

 private:
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

  const MessageLine& storeLine(std::string text) {
    ++lineNumber_;
    if (!text.empty() && text.back() == '\r') text.pop_back();
    lines_.push_back(std::move(text));
    last_ = MessageLine(lines_.back());
    return last_;
  }

  const MessageLine& next() {
    std::string text;
    if (!std::getline(input_, text)) {
      ++lineNumber_;
      throw InvalidField("OVER_TO_YOU", "is missing: the input ended inside a batch");
    }
    return storeLine(std::move(text));
  }

  void read() {
    for (const MessageLine* line = &next(); line->tag() != "OVER_TO_YOU"; line = &next()) {
      if (line->tag() == "DIRECTORY") {
        readDirectory(*line);
      } else if (isRouterLine(line->tag())) {
        const auto instance = line->whole("i");
        auto& lines = received_[instance];
        if (lines.empty()) order_.push_back(instance);
        std::shared_ptr<const EndpointDirectory> directory;
        if (line->tag() == "MEMBERS" && line->find("form") != "error") {
          const auto number = line->whole("sheet");
          if (number >= directories_.size()) throw InvalidField("sheet", "is out of range");
          directory = directories_[number];
        }
        lines.push_back({lineNumber_, *line, std::move(directory)});
      }
    }
  }

  static bool isRouterLine(std::string_view tag) {
    for (const std::string_view word : {"POWER_ON", "INCOMING", "CANCELLED_BY_CLIENT", "KILL", "DUE",
                                        "PROBE_DONE", "MESSAGE", "FLOWING", "FINISHED", "MEMBERS"})
      if (tag == word) return true;
    return false;
  }

  void readDirectory(const MessageLine& head) {
    const auto number = head.whole("sheet");
    if (number >= directories_.size()) throw InvalidField("sheet", "is out of range");
    const auto count = head.whole("entries");
    auto directory = std::make_shared<EndpointDirectory>();
    for (std::uint64_t i = 0; i < count; ++i) {
      const MessageLine& line = next();
      if (line.tag() != "NODE") throw InvalidField("entries", "counts more entries than follow");
      EndpointEntry entry;
      entry.node = line.text("node");
      entry.group = deployment::toGroup("shard", line.text("shard"));
      entry.kind = line.find("familyType").value_or("");
      entry.health = deployment::choice<Health>("health", line.text("health"), kHealths);
      entry.primary = line.number("head", 0) == 1;
      entry.startedAt = Instant::atMicros(static_cast<std::int64_t>(line.whole("startedAt", 0)));
      directory->entries.push_back(std::move(entry));
      directory->zones.emplace_back(line.find("campus").value_or(""));
    }
    directories_[number] = std::move(directory);
  }

  // A kill and a new start may loadReportOfAnswer in one batch: the lines between them are one round each.
  void play(Instant now, std::uint64_t id, std::string& reply) {
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
      LineSource feed(*this, found->second, from, to, lines);
      // What a router that is killed later in this batch decides would be void.
      const auto length = reply.size();
      found->second.router().runRound(now, feed, writer);
      if (to < lines.size()) reply.resize(length);
      from = to;
    }
  }

  std::istream& input_;
  std::ostream& output_;
  std::uint64_t frame_ = 0;
  std::size_t lineNumber_ = 0;
  std::deque<std::string> lines_;
  MessageLine last_{""};
  std::map<std::uint64_t, std::vector<ReceivedLine>> received_;
  std::vector<std::uint64_t> order_;
  std::array<std::shared_ptr<const EndpointDirectory>, 16> directories_;
  std::map<std::uint64_t, RouterInstance> instances_;
};

}  // namespace

int runAdapter(std::istream& input, std::ostream& output, std::ostream& errors) {
  Adapter adapter(input, output);
  try {
    while (adapter.batch()) {}
    return 0;
  } catch (const InvalidField& bad) {
    errors << "gulltrestle_drill: frame " << adapter.frame() << ", line " << adapter.lineNumber() << ", "
           << bad.what() << std::endl;
    return 1;
  }
}

}  // namespace gulltrestle::simulator_adapter
