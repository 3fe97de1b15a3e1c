// The external processor's front without a socket, on a ledger of its own: what a proxy says in, what it is
// told out. Run as `ext_proc CASE`: prints the case's trace.
#include <algorithm>
#include <iostream>
#include <memory>
#include <random>

#include "downstream/ext_proc/request_streams.h"
#include "downstream/postgres/client_sessions.h"
#include "protocol/postgres/messages.h"
#include "runtime/ext_proc_server/ext_proc_config.h"
#include "trace.h"
#include "upstream/postgres/connection_pool.h"

using namespace gulltrestle;
using trace::ms;
namespace wire = gulltrestle::ext_proc;
namespace front = gulltrestle::downstream::ext_proc;
using endpoint_leases::FinalOutcome;
using wire::Phase;

namespace {

RoutingConfig terms() {
  return trace::usualTerms({trace::type(ReadLevel::any), trace::type(ReadLevel::bounded),
                            trace::type(ReadLevel::session),
                            trace::type(ReadLevel::write, Effect::atMostOnce)});
}
const std::vector<std::string> kTypes{"any", "bounded", "session", "charge"};

std::string addressOf(const std::string& node) {
  return "10.0.0." + std::to_string(node[0] - 'a' + 1) + ":1";
}

struct Setup {
  endpoint_leases::ProxyPlacement placement = endpoint_leases::ProxyPlacement::perAttempt;
  endpoint_leases::MessageTimeout time{ms(200), ms(0)};
  std::size_t mostStreams = 100, remembered = 100;
  std::string start = "one";
  Duration notifiedWithin;
};

// A ledger with the front on it, and a proxy that is a test. Node p is the primary, a and b its replicas.
class Processor final : private front::Effects {
 public:
  explicit Processor(Setup setup = {})
      : ledger_(terms(), 7, 1 << 20, [] {}),
        streams_(ledger_, front::HeaderMapping({}, terms(), kTypes),
                 endpoint_leases::LeaseRegistry(terms().transactionClasses, setup.placement,
                                                {setup.remembered}, setup.start),
                 {ms(1000), setup.notifiedWithin}, {setup.mostStreams, ms(2000), setup.time}, *this) {
    ledger_.addTransport(streams_.transport());
    ledger_.advanceTo(now_);
    list({"p", "a", "b"});
    heard();
  }

  void say(const std::string& text) { std::cout << "-- " << text << "\n"; }
  void list(const std::vector<std::string>& nodes, Health health = Health::live) {
    std::vector<transactions::ResolvedEndpoint> all;
    for (const auto& node : nodes) {
      EndpointEntry entry;
      entry.node = node;
      entry.group = 1;
      entry.primary = node == "p";
      entry.health = health;
      all.push_back({entry, addressOf(node)});
    }
    ledger_.onEndpointList(EndpointUpdateKind::delta, all);
    settle();
  }
  void heard() { streams_.onDiscoveryActivity(); }

  // A stream asks; `more` adds headers or puts others in place of the usual.
  void ask(std::uint64_t stream, const std::string& id, const std::string& type, wire::Headers more = {},
           bool raw = true) {
    wire::Headers headers{{":path", "/"},
                          {"x-txn-id", id},
                          {"x-txn-type", type},
                          {"x-txn-group", "1"},
                          {"x-txn-patience-ms", "1000"},
                          {"x-txn-session", "s1"}};
    for (const auto& header : more) {
      std::erase_if(headers, [&](auto& h) { return h.name == header.name; });
      if (!header.value.empty()) headers.push_back(header);
    }
    open(stream);
    message(stream, {Phase::requestHeaders, headers, false}, raw);
  }
  void open(std::uint64_t stream) { streams_.onOpened(stream), settle(); }
  void message(std::uint64_t stream, const wire::Request& request, bool raw = true) {
    bytes(stream, wire::request(request, raw));
  }
  void bytes(std::uint64_t stream, const std::string& text) { streams_.onMessage(stream, text), settle(); }
  void phase(std::uint64_t stream, Phase phase) { message(stream, {phase, {}, false}); }
  // The node's answer: its outcome as it says itself, and its role and position (ms ago).
  void reports(std::uint64_t stream, const std::string& outcome, wire::Headers more = {},
               const std::string& status = "200") {
    more.push_back({":status", status});
    if (!outcome.empty()) more.push_back({"x-node-outcome", outcome});
    message(stream, {Phase::responseHeaders, more, false});
  }
  wire::Headers standing(const std::string& role, std::int64_t behind) const {
    return {{"x-node-role", role},
            {"x-node-position", std::to_string((now_ - ms(behind)).inMicros() / 1000)}};
  }
  void halfCloses(std::uint64_t stream) { streams_.onHalfClosed(stream), settle(); }
  void resets(std::uint64_t stream) {
    streams_.onEnded(stream);
    settle();
  }
  // A reset that comes in the same turn as what was read before it.
  void asksAndResets(std::uint64_t stream, const std::string& id, const std::string& type) {
    streams_.onOpened(stream);
    streams_.onMessage(
        stream,
        wire::request(
            {Phase::requestHeaders,
             {{"x-txn-id", id}, {"x-txn-type", type}, {"x-txn-group", "1"}, {"x-txn-patience-ms", "1000"}},
             false}));
    streams_.onEnded(stream);
    settle();
  }
  void pass(std::int64_t millis) {
    const Instant until = now_ + ms(millis);
    while (next_ != Instant() && next_ <= until) {
      now_ = std::max(next_, now_ + Duration::micros(1));
      turn();
    }
    now_ = until;
    settle();
  }
  void stop() { streams_.stop(); }
  void tellCounts() {
    const auto& c = streams_.counts();
    std::cout << "asked " << c.requested << " granted " << c.granted << " committed " << c.committed
              << " refused " << c.rejected << " rolled back " << c.rolledBack << " unreported "
              << c.unreported << " misused " << c.misused << "; grants out "
              << streams_.outstandingLeaseCount() << ", open txns " << ledger_.openCount() << ", remembered "
              << streams_.rememberedTransactionCount() << "\n";
  }
  const std::string& token(std::uint64_t stream) { return tokens_[stream]; }
  std::string lastNode;
  bool quiet = false;
  std::size_t sent = 0;

 private:
  void turn() {
    ledger_.advanceTo(now_);
    streams_.endTurn();
    next_ = ledger_.endTurn();
    const Instant due = streams_.nextDue();
    if (due != Instant() && (next_ == Instant() || due < next_)) next_ = due;
  }
  void settle() {
    turn();
    for (int i = 0; i < 100 && next_ != Instant() && next_ <= now_; ++i) turn();
  }
  std::ostream& line(std::uint64_t stream) {
    static std::ostream none(nullptr);
    ++sent;
    if (quiet) return none;
    return std::cout << (now_ - kStart).inMicros() / 1000 << " ms: s" << stream << " ";
  }

  void send(std::uint64_t stream, std::string_view message) override {
    const auto told = wire::readResponse(message);
    auto& out = line(stream);
    if (told.wait > Duration()) {
      out << "wait " << told.wait.inMicros() / 1000 << " ms more\n";
    } else if (told.isImmediate) {
      out << told.immediate.status;
      for (const auto& [name, value] : told.immediate.headers) out << " " << name << "=" << value;
      out << ", " << told.immediate.body;
    } else if (told.phase == Phase::requestHeaders) {
      lastNode = "?";
      for (const auto& [name, value] : told.set) {
        if (name == "x-txn-submission") {
          tokens_[stream] = value;
          out << "as " << value << " ";
          continue;
        }
        for (const std::string node : {"p", "a", "b"})
          if (value == addressOf(node)) out << "to " << (lastNode = node) << " ";
        if (name == "x-txn-send-within-ms") out << "within " << value << " ms";
      }
      out << "\n";
    } else {
      out << "go on (" << static_cast<int>(told.phase) << ")";
      for (const auto& [name, value] : told.set) out << " " << name << "=" << value;
      out << "\n";
    }
  }
  void close(std::uint64_t stream, front::StreamCloseReason how, std::string_view why) override {
    if (how != front::StreamCloseReason::finished)
      line(stream) << "closed (" << static_cast<int>(how) << "): " << why << "\n";
    if (how != front::StreamCloseReason::finished) closed_.push_back(stream);
  }
  void log(std::string_view event, const std::string& fields) override {
    if (!quiet) std::cout << "log " << event << " " << fields << "\n";
  }

  static constexpr Instant kStart = Instant::atMicros(1'700'000'000'000'000);
  Instant now_ = kStart, next_;
  std::map<std::uint64_t, std::string> tokens_;
  std::vector<std::uint64_t> closed_;
  transactions::TransactionTable ledger_;
  front::RequestStreams streams_;
};

wire::Headers attempt(int count, const std::string& written = "", const std::string& token = "") {
  wire::Headers made{{"x-envoy-attempt-count", std::to_string(count)}};
  if (!written.empty()) made.push_back({"x-txn-written", written});
  if (!token.empty()) made.push_back({"x-txn-submission", token});
  return made;
}

void ordinary() {
  Processor p;
  p.say("a read goes to a replica, its answer passes; bodies and trailers go on");
  p.ask(1, "r1", "any");
  p.phase(1, Phase::requestBody);
  p.phase(1, Phase::requestTrailers);
  p.pass(5);
  p.reports(1, "committed", p.standing("replica", 3));
  p.phase(1, Phase::responseBody);
  p.phase(1, Phase::responseTrailers);
  p.say("a write goes to the primary; the session's read is held until a replica is known to have it");
  p.ask(2, "w1", "charge");
  p.pass(5);
  p.reports(2, "committed", p.standing("primary", 0));
  p.ask(3, "r2", "session", {{"x-txn-write-age-ms", "1"}});
  p.pass(30);
  p.say("another read brings the news that one has it");
  for (std::uint64_t s = 10; s < 13; ++s) {
    p.ask(s, "x" + std::to_string(s), "any");
    p.reports(s, "committed", p.standing("replica", 0));
  }
  p.reports(3, "committed", p.standing("replica", 0));
  p.say("values in the old form; a header's name in any case; a proxy that only shows what passes");
  p.ask(4, "r3", "any", {{"X-Txn-Group", "1"}}, false);
  p.open(5);
  p.message(5, {Phase::requestHeaders, {{"x-txn-id", "r4"}}, true});
  p.tellCounts();
}

void held() {
  Setup longer;
  longer.time.maxExtension = ms(600);
  Processor p(longer);
  p.list({"p", "a", "b"}, Health::draining);
  p.say("held: more time is asked for once, at half of the message timeout; then a node is there");
  p.ask(1, "r1", "any");
  p.pass(150);
  p.list({"a"});
  p.reports(1, "committed", p.standing("replica", 0));
  p.list({"a"}, Health::draining);
  p.say("none comes: the answer is there before the proxy stops waiting");
  p.ask(2, "r2", "any");
  p.pass(1000);
  p.say("no more is asked for than its client waits, and nothing where that gains nothing");
  p.ask(3, "r3", "any", {{"x-txn-patience-ms", "300"}});
  p.pass(300);
  p.ask(4, "r4", "any", {{"x-txn-patience-ms", "100"}});
  p.pass(200);
  Processor q;
  q.list({"p", "a", "b"}, Health::draining);
  q.say("where it may not be asked for more");
  q.ask(1, "r1", "charge");
  q.pass(250);
  q.say("the proxy's time is up while it is held: nothing is granted after the reset");
  q.ask(2, "r2", "charge");
  q.pass(20);
  q.resets(2);
  q.list({"p", "a", "b"});
  q.pass(300);
  q.say("a reset that is read together with the question: nothing is granted at all");
  q.asksAndResets(3, "r3", "any");
  q.pass(300);
  q.tellCounts();
}

void crossing() {
  Processor p;
  p.say(
      "the reset crosses the decision: granted, may have run; a later try of a once-only txn is rolled back");
  p.ask(1, "w1", "charge");
  p.resets(1);
  p.ask(2, "w1", "charge", attempt(2));
  p.say("a repeatable one goes on");
  p.ask(3, "r1", "any");
  p.resets(3);
  p.ask(4, "r1", "any", attempt(2));
  p.reports(4, "committed", p.standing("replica", 0));
  p.say("the later try comes before the earlier one's reset: it waits for that");
  p.ask(5, "w2", "charge");
  p.ask(6, "w2", "charge", attempt(2));
  p.pass(10);
  p.resets(5);
  p.pass(1);
  p.say("or for its end, and then goes on as nothing ran");
  p.ask(7, "w3", "charge");
  p.ask(8, "w3", "charge", attempt(2));
  p.pass(10);
  p.reports(7, "", {{"x-txn-written", "none"}}, "503");
  p.pass(30);
  p.reports(8, "committed", p.standing("primary", 0));
  p.say("neither comes: after a moment the earlier one may have run, and its late answer changes nothing");
  p.ask(9, "w4", "charge");
  p.ask(10, "w4", "charge", attempt(2));
  p.pass(60);
  p.reports(9, "committed", p.standing("primary", 0));
  p.say("a try that waits, and a later one that takes its place");
  p.pass(300);
  p.list({"p"}, Health::draining);
  p.ask(11, "w5", "charge");
  p.ask(12, "w5", "charge", attempt(2, "none"));
  p.list({"p"});
  p.pass(10);
  p.reports(12, "committed", p.standing("primary", 0));
  p.tellCounts();
}

void tries() {
  Processor p;
  p.say("rejected: refused, and the next try goes to another node");
  p.ask(1, "r1", "any");
  p.reports(1, "turned-away", p.standing("replica", 0), "503");
  p.ask(2, "r1", "any", attempt(2, "none"));
  p.reports(2, "", {{"x-txn-written", "none"}}, "503");
  p.ask(3, "r1", "any", attempt(3, "none"));
  p.reports(3, "committed", p.standing("replica", 0));
  p.say("a once-only one that was never written goes on, one that was is rolled back, and stays it");
  p.ask(4, "w1", "charge");
  p.reports(4, "", {{"x-txn-written", "none"}}, "503");
  p.pass(300);
  p.ask(5, "w1", "charge", attempt(2, "none"));
  p.reports(5, "", {{"x-txn-written", "whole"}}, "503");
  p.ask(6, "w1", "charge", attempt(3, "whole"));
  Processor r;
  r.say("a bare 503 of a node may have run; a 421 of a node never did");
  r.ask(7, "w2", "charge");
  r.reports(7, "", r.standing("primary", 0), "503");
  r.ask(8, "w3", "charge");
  r.reports(8, "", r.standing("replica", 0), "421");
  p.say("ids: one that is open, one that is used again after its end");
  p.ask(9, "r2", "any");
  p.ask(10, "r2", "any");
  p.ask(11, "r2", "charge");
  p.reports(9, "committed", p.standing("replica", 0));
  p.ask(12, "r2", "any");
  p.reports(12, "committed", p.standing("replica", 0));
  Processor t;
  t.ask(13, "w4", "charge");
  t.ask(14, "w4", "charge");
  t.reports(13, "committed", t.standing("primary", 0));
  t.ask(15, "w4", "charge");
  t.say("after the expiry it is forgotten");
  t.pass(2100);
  t.heard();
  t.ask(16, "w4", "charge");
  t.tellCounts();
  Setup once;
  once.placement = endpoint_leases::ProxyPlacement::perRequest;
  Processor q(once);
  q.say("asked once a request: what is refused after a grant is over");
  q.ask(1, "r1", "any");
  q.reports(1, "turned-away", q.standing("replica", 0), "503");
  q.ask(2, "r1", "any", attempt(2, "none"));
  q.tellCounts();
}

void restart() {
  Processor one;
  one.say("before the restart");
  one.ask(1, "w1", "charge");
  Setup setup;
  setup.start = "two";
  Processor p(setup);
  p.say("after it: the count or another start's grant tells that it may have run");
  p.ask(1, "w1", "charge", attempt(2, "", one.token(1)));
  p.ask(2, "w2", "charge", attempt(1, "", one.token(1)));
  p.ask(3, "w3", "charge", attempt(2, "whole"));
  p.say("unless the proxy says that nothing was written");
  p.ask(4, "w4", "charge", attempt(2, "none", one.token(1)));
  p.reports(4, "committed", p.standing("primary", 0));
  p.say("what may run again goes on");
  p.ask(5, "r1", "any", attempt(2, "whole", one.token(1)));
  p.say("told to end: what comes is not taken, what was taken is answered");
  p.stop();
  p.ask(6, "r2", "any");
  p.reports(5, "committed", p.standing("replica", 0));
  p.tellCounts();
}

void badMessages() {
  Processor p;
  p.say("headers");
  std::uint64_t s = 0;
  for (const wire::Headers& bad : std::vector<wire::Headers>{{{"x-txn-id", ""}},
                                                             {{"x-txn-id", std::string(200, 'x')}},
                                                             {{"x-txn-type", ""}},
                                                             {{"x-txn-type", "rare\n\"type\""}},
                                                             {{"x-txn-group", "one"}},
                                                             {{"x-txn-group", "-1"}},
                                                             {{"x-txn-group", "99999999999999999999"}},
                                                             {{"x-txn-patience-ms", ""}},
                                                             {{"x-txn-patience-ms", "1e3"}},
                                                             {{"x-envoy-attempt-count", "two"}}})
    p.ask(++s, "r1", "any", bad);
  p.ask(++s, "r1", "session", {{"x-txn-session", ""}});
  p.ask(++s, "r1", "session", {{"x-txn-write-age-ms", "soon"}});
  p.open(++s);
  p.message(s, {Phase::requestHeaders, {{"x-txn-id", "a"}, {"x-txn-id", "b"}}, false});
  p.say("messages and phases out of order");
  for (const std::string& text : {std::string("\xff\xff\xff"), std::string("\x12\x7f"), std::string()}) {
    p.open(++s);
    p.bytes(s, text);
  }
  for (const Phase phase : {Phase::responseHeaders, Phase::requestBody, Phase::responseTrailers}) {
    p.open(++s);
    p.phase(s, phase);
  }
  p.ask(++s, "r2", "any");
  p.message(s, {Phase::requestHeaders, {{"x-txn-id", "r3"}}, false});
  p.ask(++s, "r4", "any");
  p.reports(s, "committed", p.standing("replica", 0));
  p.reports(s, "committed", p.standing("replica", 0));
  p.say("unknown fields are skipped");
  p.open(++s);
  p.bytes(s, std::string("\xa2\x06\x03xyz", 6) + wire::request({Phase::requestHeaders,
                                                                {{"x-txn-id", "r5"},
                                                                 {"x-txn-type", "any"},
                                                                 {"x-txn-group", "1"},
                                                                 {"x-txn-patience-ms", "1000"}},
                                                                false}));
  p.say("nothing at all");
  p.open(++s);
  p.pass(2000);
  p.tellCounts();
}

void unreported() {
  Processor p;
  p.say("a proxy that never tells an end: the place is free when the txn's time is up, the stream later");
  p.ask(1, "r1", "any", {{"x-txn-patience-ms", "400"}});
  p.pass(395);
  p.tellCounts();
  p.pass(10);
  p.tellCounts();
  p.pass(5000);
  p.say("its answer comes after the module gave it up: nothing else was told, so it stands");
  p.ask(2, "w1", "charge", {{"x-txn-patience-ms", "300"}});
  p.pass(320);
  p.reports(2, "committed", p.standing("primary", 0));
  p.say("a failure as late is rolled back");
  p.ask(3, "w2", "charge", {{"x-txn-patience-ms", "300"}});
  p.pass(320);
  p.reports(3, "error", p.standing("primary", 0), "500");
  p.say("a stream that ends in order without a word");
  p.ask(4, "r2", "any");
  p.halfCloses(4);
  p.say("one that sends no more while it is held still gets its answer");
  p.list({"a", "b"}, Health::draining);
  p.ask(5, "r3", "any");
  p.halfCloses(5);
  p.list({"a"});
  p.pass(50);
  p.list({"a"}, Health::draining);
  p.say("sent to another node than told: what it answers is nobody's, and nothing is learnt of the one told");
  p.list({"b"});
  auto elsewhere = p.standing("replica", 0);
  elsewhere.push_back({"x-txn-sent-to", "10.0.0.99:1"});
  p.ask(6, "r4", "any");
  p.reports(6, "committed", elsewhere);
  p.ask(7, "w3", "charge");
  p.reports(7, "committed", elsewhere);
  p.ask(8, "r5", "session", {{"x-txn-write-age-ms", "1"}});
  p.pass(100);
  p.tellCounts();
}

void drains() {
  Setup setup;
  setup.notifiedWithin = ms(6000);
  Processor p(setup);
  p.say("a grant may be used for half of the grace at most, and not beyond what its client waits");
  p.ask(1, "r1", "any");
  p.ask(2, "r2", "any", {{"x-txn-patience-ms", "120"}});
  p.say("nothing is granted to a node that drains, and what is held goes elsewhere");
  p.list({"a", "p"}, Health::draining);
  p.ask(3, "r3", "any");
  p.list({"b"}, Health::draining);
  p.ask(4, "r4", "any");
  p.list({"a"});
  for (std::uint64_t s = 1; s <= 4; ++s) p.reports(s, "committed", p.standing("replica", 0));
  p.say("the list falls silent: late news of a drain counts as told in the end, so grants get shorter");
  for (const int silent : {1900, 4000, 500, 60, 40, 20}) {
    p.pass(silent);
    const auto s = static_cast<std::uint64_t>(100 + silent);
    p.ask(s, "x" + std::to_string(silent), "any");
    if (silent >= 60) p.reports(s, "committed", p.standing("replica", 0));
  }
  p.say("it is heard again");
  p.heard();
  p.ask(5, "r5", "any");
}

void bounds() {
  Setup setup;
  setup.mostStreams = 4;
  setup.remembered = 100;
  Processor p(setup);
  p.say("streams: the fifth is closed at once, and there is room when one has ended");
  for (std::uint64_t s = 1; s <= 5; ++s) p.open(s);
  p.resets(5);
  p.resets(4);
  p.ask(6, "r1", "any");
  p.resets(6);
  for (std::uint64_t s = 1; s <= 3; ++s) p.resets(s);
  p.say("what may not run twice is remembered to a bound; then no more of it is taken, other txns are");
  p.quiet = true;
  for (std::uint64_t s = 10; s < 110; ++s) {
    p.ask(s, "w" + std::to_string(s), "charge");
    p.reports(s, "committed", p.standing("primary", 0));
    p.resets(s);
  }
  p.quiet = false;
  p.ask(200, "w200", "charge");
  p.ask(201, "r201", "any");
  p.say("what may is forgotten, oldest first");
  p.quiet = true;
  for (std::uint64_t s = 300; s < 1300; ++s) {
    p.ask(s, "r" + std::to_string(s), "any");
    p.reports(s, "committed", p.standing("replica", 0));
    p.resets(s);
  }
  p.quiet = false;
  p.tellCounts();
  p.say("and there is room again when the expiry is over");
  p.pass(2100);
  p.heard();
  p.ask(1400, "w1400", "charge");
  p.tellCounts();
}

// --- The same arrivals through the PostgreSQL front and through this one.

// Prints where each txn goes, whichever front asked.
class Both {
 public:
  static std::string go(bool throughProxy) {
    std::string out;
    RoutingConfig same = terms();
    same.hedgingAllowed = false;  // this front can carry one attempt a stream
    same.healthChecksAllowed = false;
    same.maxAttempts = 1;
    transactions::TransactionTable ledger(same, 11, 1 << 20, [] {});
    Instant now = Instant::atMicros(1'700'000'000'000'000);
    struct Node final
        : transactions::UpstreamTransport {  // stands for the carrier of either, and answers in order
      transactions::TransactionTable& ledger;
      std::string& out;
      std::vector<std::pair<transactions::AttemptId, NodeId>> jobs;
      Node(transactions::TransactionTable& l, std::string& o) : ledger(l), out(o) {}
      void startAttempt(transactions::AttemptId job, const NodeId& node) override {
        out += " " + std::to_string(job.txn) + ">" + node;
        jobs.emplace_back(job, node);
      }
      void cancelAttempt(transactions::AttemptId, const NodeId&) override {}
      void onEndpointList(const std::vector<NodeId>&) override {}
      void forgetNode(const NodeId&) override {}
    };
    struct Silent final : front::Effects, downstream::postgres::Effects {
      std::string& out;
      std::set<std::uint64_t> granted;
      explicit Silent(std::string& o) : out(o) {}
      void send(std::uint64_t stream, std::string_view message) override {
        const auto told = wire::readResponse(message);
        if (told.isImmediate)
          out += " " + std::to_string(stream) + (told.immediate.status == 503 ? "-" : "!");
        for (const auto& [name, value] : told.set)
          for (const std::string id : {"p", "a", "b"})
            if (value == addressOf(id) && granted.insert(stream).second)
              out += " " + std::to_string(stream) + ">" + id;
      }
      void close(std::uint64_t, front::StreamCloseReason, std::string_view) override {}
      void log(std::string_view, const std::string&) override {}
      void writeClient(std::uint64_t client, transactions::ByteSlices parts) override {
        for (const auto part : parts)
          if (part.find("53300") != part.npos)
            out += " " + std::to_string(client) + "-";
          else if (part.find("08007") != part.npos)
            out += " " + std::to_string(client) + "!";
      }
      void readClient(std::uint64_t) override {}
      void closeClient(std::uint64_t) override {}
    } effects(out);
    Node node(ledger, out);
    front::RequestStreams streams(
        ledger, front::HeaderMapping({}, same, kTypes),
        endpoint_leases::LeaseRegistry(same.transactionClasses, endpoint_leases::ProxyPlacement::perAttempt,
                                       {}, "one"),
        {ms(1000), {}}, {1000, ms(2000), {ms(5000), {}}}, effects);
    downstream::postgres::ClientSessions clients(ledger, node, same, kTypes, {ms(250), 0}, effects);
    ledger.addTransport(throughProxy ? streams.transport() : node);
    ledger.advanceTo(now);
    std::vector<transactions::ResolvedEndpoint> all;
    for (const std::string id : {"p", "a", "b"}) {
      EndpointEntry entry;
      entry.node = id;
      entry.group = 1;
      entry.primary = id == "p";
      all.push_back({entry, addressOf(id)});
    }
    ledger.onEndpointList(EndpointUpdateKind::snapshot, all);
    clients.onEndpointListKnown();
    std::knuth_b chance(5);
    std::map<std::uint64_t, Instant> open;  // by txn, and when its node answers
    std::map<std::uint64_t, std::size_t> typeOf;
    std::uint64_t last = 0;
    for (int step = 0; step < 400; ++step) {
      now = now + ms(5);
      ledger.advanceTo(now);
      // What is due is answered, a twentieth of it as rejected.
      for (auto at = open.begin(); at != open.end();) {
        const bool sent = throughProxy ? effects.granted.contains(at->first)
                                       : std::any_of(node.jobs.begin(), node.jobs.end(),
                                                     [&](auto& j) { return j.first.txn == at->first; });
        if (at->second > now || !sent) {
          ++at;
          continue;
        }
        const std::uint64_t txn = at->first;
        at = open.erase(at);
        const bool away = chance() % 20 == 0;
        const Role role = typeOf[txn] == 3 ? Role::primary : Role::replica;
        const Instant position = now - (role == Role::primary ? Duration() : ms(7));
        const Instant rounded = Instant() + Duration::millis(position.inMicros() / 1000);
        if (throughProxy) {
          streams.onMessage(txn,
                            wire::request({Phase::responseHeaders,
                                           {{":status", away ? "503" : "200"},
                                            {"x-node-outcome", away ? "turned-away" : "committed"},
                                            {"x-node-role", role == Role::primary ? "primary" : "replica"},
                                            {"x-node-position", std::to_string(rounded.inMicros() / 1000)}},
                                           false}));
        } else if (const auto job = std::find_if(node.jobs.begin(), node.jobs.end(),
                                                 [&](auto& j) { return j.first.txn == txn; });
                   job != node.jobs.end()) {
          if (!away) ledger.commit(txn, {});
          ledger.onAttemptEnded(job->first, job->second,
                                away ? AttemptOutcome::rejected : AttemptOutcome::committed, {role, rounded});
        }
      }
      for (int n = static_cast<int>(chance() % 3); n > 0; --n) {
        const std::uint64_t txn = ++last;
        const std::size_t type = typeOf[txn] = chance() % 4;
        const std::string id = "t" + std::to_string(txn), age = std::to_string(1 + chance() % 40);
        if (throughProxy) {
          streams.onOpened(txn);
          wire::Headers headers{{"x-txn-id", id},
                                {"x-txn-type", kTypes[type]},
                                {"x-txn-group", "1"},
                                {"x-txn-patience-ms", "900"},
                                {"x-txn-session", "k" + std::to_string(txn % 5)}};
          if (type == 2) headers.push_back({"x-txn-write-age-ms", age});
          streams.onMessage(txn, wire::request({Phase::requestHeaders, headers, false}));
        } else {
          clients.onOpened(txn);
          clients.onReceived(txn, postgres::startup("u", "d"));
          const std::string key = "k" + std::to_string(txn % 5);
          const std::string note = " /* id=" + id + ",c=" + kTypes[type] + ",d=900,cluster=1";
          const auto after = now.inMicros() / 1000 - std::stoll(age);
          clients.onReceived(
              txn, postgres::message(
                       'Q', (type == 3 ? "INSERT INTO objects (oid, body) VALUES ('" + key +
                                             "', '\\x9f') RETURNING body" + note
                                       : "SELECT body FROM objects WHERE oid = '" + key + "'" + note +
                                             (type == 2 ? ",after=" + std::to_string(after) : "")) +
                                " */" + '\0'));
        }
        open[txn] = now + ms(10 + static_cast<std::int64_t>(chance() % 60));
      }
      const auto size = out.size();
      if (throughProxy) streams.endTurn();
      clients.endTurn();
      ledger.endTurn();
      if (out.size() > size) out += "\n";
    }
    return out;
  }
};

void sameDecisions() {
  const std::string pg = Both::go(false), proxy = Both::go(true);
  const auto lines = std::count(proxy.begin(), proxy.end(), '\n');
  std::cout << "through PostgreSQL and through the external processor the same: "
            << (pg == proxy ? "yes" : "NO") << ", " << lines << " turns with decisions; the first 40:\n";
  std::size_t end = 0;
  for (int line = 0; line < 40; ++line) end = proxy.find('\n', end) + 1;
  std::cout << proxy.substr(0, end);
  const auto differ = std::mismatch(pg.begin(), pg.end(), proxy.begin(), proxy.end());
  if (pg != proxy)
    std::cout << "they differ from here: " << std::string(differ.first, pg.end()).substr(0, 200) << "\n";
}

void configurations() {
  const auto read = [](const std::string& text) {
    try {
      const auto setup = ext_proc_server::readExtProcConfig(text);
      std::cout << "listens on " << setup.listen.host << ":" << setup.listen.port << ", "
                << (setup.placement == endpoint_leases::ProxyPlacement::perAttempt ? "try" : "request")
                << ", timeout " << setup.streams.messageTimeout.timeout.inMicros() / 1000 << " to "
                << setup.streams.messageTimeout.maxExtension.inMicros() / 1000 << " ms, "
                << setup.streams.maxStreams << " streams, id in " << setup.headers.id << "\n";
    } catch (const std::exception& bad) { std::cout << bad.what() << "\n"; }
  };
  read(R"({"listen":"127.0.0.1:9002"})");
  read(R"({"listen":"127.0.0.1:9002","placement":"request","message_timeout_ms":500,
           "max_message_timeout_ms":2000,"limits":{"streams":10},"headers":{"id":"x-request-id"}})");
  for (const std::string& rest :
       {std::string(R"("placement":"both")"), std::string(R"("message_timeout_ms":5)"),
        std::string(R"("message_timeout_ms":"200")"), std::string(R"("mesage_timeout_ms":200)"),
        std::string(R"("limits":{"streams":0})"), std::string(R"("limits":{"streem":1})"),
        std::string(R"("limits":[])"), std::string(R"("headers":{"id":"X-Id"})"),
        std::string(R"("headers":{"ID":"x"})"), std::string(R"("headers":{"id":""})")})
    read(R"({"listen":"127.0.0.1:9002",)" + rest + "}");
  for (const std::string& text : {std::string("{"), std::string("[]"), std::string("{}"),
                                  std::string(R"({"listen":"nowhere"})"), std::string(R"({"listen":1})")})
    read(text);
}

}  // namespace

int main(int count, char** words) {
  const std::map<std::string, void (*)()> cases{{"ordinary", ordinary},
                                                {"held", held},
                                                {"crossing", crossing},
                                                {"tries", tries},
                                                {"restart", restart},
                                                {"bad-messages", badMessages},
                                                {"unreported", unreported},
                                                {"drains", drains},
                                                {"bounds", bounds},
                                                {"same-decisions", sameDecisions},
                                                {"configurations", configurations}};
  const auto found = cases.find(count > 1 ? words[1] : "");
  if (found == cases.end()) return 2;
  found->second();
}
