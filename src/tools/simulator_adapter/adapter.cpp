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
constexpr std::array<std::string_view, 4> kForms{"diff", "snapshot", "disk", "error"};
constexpr std::array<std::string_view, 9> kEnds{"served",     "server_error",  "turned_away",
                                                "no_answer",  "no_connection", "connection_lost",
                                                "called_off", "not_sent",      "not_stored"};

Duration micros(std::uint64_t n) { return Duration::micros(static_cast<std::int64_t>(n)); }

struct Sheet {
  std::vector<EndpointEntry> entries;
  std::vector<std::string> zones;
};

// A line held until its router's turn, with the list it refers to as that stood when the line came.
struct Arrived {
  std::size_t number;
  MessageLine line;
  std::shared_ptr<const Sheet> sheet;
};

// One router and what the wire says about reading its lines.
class Instance {
 public:
  explicit Instance(const MessageLine& start) : Instance(start, deployment::read(start)) {}

  Router& router() { return router_; }

  void deliver(Router& to, const Arrived& arrived) const {
    const MessageLine& line = arrived.line;
    const auto tag = line.tag();
    if (tag == "INCOMING") {
      to.onTransaction(readTxn(line));
    } else if (tag == "FINISHED") {
      to.onAttemptEnded(line.whole("rid"), static_cast<unsigned>(line.whole("sendNo")),
                        NodeId(line.text("node")), endOf(line), line.flag("last"),
                        micros(line.whole("latency", 0)), stand(line), usage(line));
    } else if (tag == "PROBE_DONE") {
      to.onHealthCheckEnded(NodeId(line.text("node")), endOf(line), usage(line));
    } else if (tag == "DUE") {
      line.whole("name");  // the round itself is all that was asked for
    } else if (tag == "CANCELLED_BY_CLIENT") {
      to.onClientLeft(line.whole("rid"));
    } else if (tag == "FLOWING") {
      to.onStreamStarted(line.whole("rid"));
    } else if (tag == "MEMBERS") {
      deliverList(to, arrived);
    }
  }

 private:
  Instance(const MessageLine& start, deployment::DeploymentSettings told)
      : router_(std::move(told.routing), start.whole("prng")),
        zone_(std::move(told.zone)),
        baseTime_(Instant::atMicros(static_cast<std::int64_t>(start.whole("specifics.baseTime", 0)))) {
    for (std::size_t row = 0; row < told.typeNames.size(); ++row) types_.emplace(told.typeNames[row], row);
  }

  static AttemptOutcome endOf(const MessageLine& line) {
    return deployment::choice<AttemptOutcome>("stateCode", line.text("stateCode"), kEnds);
  }

  Transaction readTxn(const MessageLine& line) const {
    Transaction txn;
    txn.id = line.whole("rid");
    const auto type = types_.find(line.text("grade"));
    if (type == types_.end()) throw InvalidField("grade", "'" + classNameOf(line) + "' is not in the settings");
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

  LoadReport stand(const MessageLine& line) const {
    LoadReport said;
    const auto note = line.whole("stand", 0);
    said.role = roleOf(note % 4);
    if (note / 4 > 0) said.position = baseTime_ + Duration::millis(static_cast<std::int64_t>(note / 4));
    return said;
  }

  LoadReport usage(const MessageLine& line) const {
    LoadReport said;
    const auto report = line.find("usage");
    if (!report || report->empty() || *report == "-") return said;
    for (const auto pair : deployment::split(*report, ',')) {
      const auto colon = pair.find(':');
      if (colon == std::string_view::npos) throw InvalidField("usage", "has a part without a value");
      const auto name = pair.substr(0, colon);
      if (name == "x0")
        said.position = baseTime_ + Duration::seconds(toNumber("usage", pair.substr(colon + 1)));
      if (name == "active") said.inFlight = toNumber("usage", pair.substr(colon + 1));
      if (name == "x1")
        said.role = toNumber("usage", pair.substr(colon + 1)) == 1 ? Role::primary : Role::replica;
    }
    return said;
  }

  static Role roleOf(std::uint64_t n) {
    return n == 1 ? Role::primary : n == 2 ? Role::replica : Role::unknown;
  }

  void deliverList(Router& to, const Arrived& arrived) const {
    const auto form = arrived.line.text("form");
    deployment::choice<int>("form", form, kForms);
    if (form == "error") return to.onEndpointListFailed();
    if (!arrived.sheet) throw InvalidField("sheet", "was never given");
    auto entries = arrived.sheet->entries;
    for (std::size_t i = 0; i < entries.size(); ++i) entries[i].sameZone = arrived.sheet->zones[i] == zone_;
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

class Output final : public DecisionSink {
 public:
  Output(std::string& text, std::uint64_t instance)
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

class Drill {
 public:
  Drill(std::istream& input, std::ostream& output) : input_(input), output_(output) {}

  // Plays one batch; false at the end of the input.
  bool batch() {
    text_.clear();
    arrived_.clear();
    order_.clear();
    number_ = 0;
    std::string first;
    if (!std::getline(input_, first)) return false;
    const MessageLine& start = keep(std::move(first));
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
  std::size_t number() const { return number_; }

 private:
  class Deliver final : public EventSource {
   public:
    Deliver(Drill& drill, const Instance& instance, std::size_t from, std::size_t to,
            const std::vector<Arrived>& lines)
        : drill_(drill), instance_(instance), from_(from), to_(to), lines_(lines) {}
    void deliver(Router& router) override {
      for (std::size_t i = from_; i < to_; ++i) {
        drill_.number_ = lines_[i].number;
        instance_.deliver(router, lines_[i]);
      }
    }

   private:
    Drill& drill_;
    const Instance& instance_;
    std::size_t from_, to_;
    const std::vector<Arrived>& lines_;
  };

  const MessageLine& keep(std::string text) {
    ++number_;
    if (!text.empty() && text.back() == '\r') text.pop_back();
    text_.push_back(std::move(text));
    last_ = MessageLine(text_.back());
    return last_;
  }

  const MessageLine& next() {
    std::string text;
    if (!std::getline(input_, text)) {
      ++number_;
      throw InvalidField("OVER_TO_YOU", "is missing: the input ended inside a batch");
    }
    return keep(std::move(text));
  }

  void read() {
    for (const MessageLine* line = &next(); line->tag() != "OVER_TO_YOU"; line = &next()) {
      if (line->tag() == "DIRECTORY") {
        readSheet(*line);
      } else if (known(line->tag())) {
        const auto instance = line->whole("i");
        auto& lines = arrived_[instance];
        if (lines.empty()) order_.push_back(instance);
        std::shared_ptr<const Sheet> sheet;
        if (line->tag() == "MEMBERS" && line->find("form") != "error") {
          const auto number = line->whole("sheet");
          if (number >= sheets_.size()) throw InvalidField("sheet", "is out of range");
          sheet = sheets_[number];
        }
        lines.push_back({number_, *line, std::move(sheet)});
      }
    }
  }

  static bool known(std::string_view tag) {
    for (const std::string_view word : {"POWER_ON", "INCOMING", "CANCELLED_BY_CLIENT", "KILL", "DUE",
                                        "PROBE_DONE", "MESSAGE", "FLOWING", "FINISHED", "MEMBERS"})
      if (tag == word) return true;
    return false;
  }

  void readSheet(const MessageLine& head) {
    const auto number = head.whole("sheet");
    if (number >= sheets_.size()) throw InvalidField("sheet", "is out of range");
    const auto count = head.whole("entries");
    auto sheet = std::make_shared<Sheet>();
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
      sheet->entries.push_back(std::move(entry));
      sheet->zones.emplace_back(line.find("campus").value_or(""));
    }
    sheets_[number] = std::move(sheet);
  }

  // A kill and a new start may stand in one batch: the lines between them are one round each.
  void play(Instant now, std::uint64_t id, std::string& reply) {
    const auto& lines = arrived_.at(id);
    Output writer(reply, id);
    for (std::size_t from = 0; from < lines.size();) {
      const auto& first = lines[from];
      number_ = first.number;
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
      Deliver feed(*this, found->second, from, to, lines);
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
  std::size_t number_ = 0;
  std::deque<std::string> text_;
  MessageLine last_{""};
  std::map<std::uint64_t, std::vector<Arrived>> arrived_;
  std::vector<std::uint64_t> order_;
  std::array<std::shared_ptr<const Sheet>, 16> sheets_;
  std::map<std::uint64_t, Instance> instances_;
};

}  // namespace

int runAdapter(std::istream& input, std::ostream& output, std::ostream& errors) {
  Drill drill(input, output);
  try {
    while (drill.batch()) {}
    return 0;
  } catch (const InvalidField& bad) {
    errors << "gulltrestle_drill: frame " << drill.frame() << ", line " << drill.number() << ", "
           << bad.what() << std::endl;
    return 1;
  }
}

}  // namespace gulltrestle::simulator_adapter
