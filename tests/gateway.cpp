// The reducer without a socket: events in, effects out. Run as `gateway CASE`: prints the case's trace.
#include "gateway/gateway.h"

#include <utility>

#include "trace.h"

using namespace gulltrestle;
using namespace gulltrestle::gateway;
using trace::ms;

namespace {

// What was written, in short: the types of its messages, codes of errors, texts of queries.
std::string shown(std::string_view bytes) {
  std::string out;
  while (bytes.size() > 4) {
    if (bytes[0] == 0) return out + " startup";
    const auto message = postgres::takeMessage(bytes, 1 << 20);
    if (!message) break;
    out += std::string(" ") + message->type;
    if (message->type == 'E') {
      const auto fields = postgres::readError(message->body);
      out += "(" + std::string(fields.code) + ": " + std::string(fields.message);
      if (!fields.detail.empty()) out += "; " + std::string(fields.detail);
      out += ")";
    }
    if (message->type == 'Q')
      out += "(" + std::string(message->body.substr(0, message->body.size() - 1)) + ")";
    if (message->type == 'D') out += "(" + std::string(message->body.substr(6, 20)) + ")";
  }
  return bytes.empty() ? out : out + " " + std::string(bytes);
}

std::string column(std::string_view value) {
  std::string body("\0\1", 2);
  for (int shift = 24; shift >= 0; shift -= 8) body += static_cast<char>(value.size() >> shift & 0xFF);
  return body += value;
}

std::string status(std::string_view name, std::string_view value) {
  return postgres::message('S', std::string(name) + '\0' + std::string(value) + '\0');
}

std::string row(std::string_view value, std::string_view told = {}) {
  return postgres::message('T', std::string("\0\1body\0", 7) + std::string(18, '\0')) +
         postgres::message('D', column(value)) + postgres::message('C', std::string("SELECT 1") + '\0') +
         std::string(told) + postgres::readyForQuery();
}

std::string query(std::string_view text) { return postgres::message('Q', std::string(text) + '\0'); }

std::string read(const std::string& id, const std::string& type = "any", const std::string& more = "") {
  return query("SELECT body FROM objects WHERE oid = 'k1' /* id=" + id + ",c=" + type +
               ",t=acme,d=1000,cluster=1" + more + " */");
}
std::string write(const std::string& id) {
  return query("INSERT INTO objects (oid, body) VALUES ('k1', '\\x9f') RETURNING body /* id=" + id +
               ",c=charge,t=acme,d=1000,cluster=1 */");
}

const std::string kGreeting = postgres::welcome(),
                  kAllClear = postgres::emptyQueryResponse() + postgres::readyForQuery();

class Sockets final : public Effects {
 public:
  explicit Sockets(Bounds bounds = {ms(10000), ms(250), 8, 100000}, bool known = true,
                   bool onlyDraining = false)
      : gateway_(terms(onlyDraining), {"any", "bounded", "session", "charge"}, 7, bounds, *this) {
    if (known) list(EndpointUpdateKind::restored, {"p", "a"});
  }

  void say(const std::string& text) { std::cout << "-- " << text << "\n"; }
  bool writesWhole = true;  // else the last byte stays unwritten until written()
  bool showProbes = false, showReads = false;
  bool clears = true;  // nodes answer the empty queries that ask whether more than an answer comes

  void follow() {
    gateway_.transactions().trace().setSink([this](const std::string& told) { line() << told << "\n"; });
  }

  // Events.
  void accepted(ClientId client, const std::string& bytes) {
    gateway_.clientOpened(now_, client);
    sent(client, bytes);
  }
  void open(ClientId client, const std::string& bytes = "") {
    accepted(client, postgres::startup("worker", "catalog") + bytes);
  }
  void sent(ClientId client, const std::string& bytes) { kept_[client] += bytes, offer(client); }
  void sendsNoMore(ClientId client) { gateway_.clientHalfClosed(now_, client), settle(); }
  void left(ClientId client) { gateway_.clientClosed(now_, client, ConnectionCloseReason::broken), settle(); }
  void up(NodeConnectionId link) {
    gateway_.nodeConnected(now_, link);
    gateway_.nodeReceived(now_, link, kGreeting);
    settle();
  }
  void rejects(NodeConnectionId link) {
    gateway_.nodeConnected(now_, link);
    answers(link, postgres::error("FATAL", "53300", "too many connections"));
  }
  void answers(NodeConnectionId link, const std::string& bytes) {
    const auto used = gateway_.nodeReceived(now_, link, bytes);
    if (used != bytes.size()) std::cout << "  " << bytes.size() - used << " bytes left on l" << link << "\n";
    settle();
  }
  void written(NodeConnectionId link) { gateway_.nodeWritten(now_, link), settle(); }
  void ended(NodeConnectionId link, ConnectionCloseReason how) {
    gateway_.nodeConnectionClosed(now_, link, how), settle();
  }
  void list(EndpointUpdateKind kind, const std::vector<std::string>& nodes, Health health = Health::live) {
    std::vector<ResolvedEndpoint> all;
    for (const auto& node : nodes) {
      EndpointEntry entry;
      entry.node = node == "B" ? "b" : node;
      entry.group = 1;
      entry.primary = node == "p";
      entry.health = health;
      all.push_back({entry, addressOf(node)});
    }
    gateway_.onEndpointList(now_, kind, all);
    settle();
  }
  void shutDown() { gateway_.shutDown(now_), settle(); }
  void configured(const std::string& discovery, const std::vector<std::string>& kept = {}) {
    gateway_.onConfigLoaded(now_, discovery, kept), settle();
  }
  void misconfigured(const std::string& fault) { gateway_.onConfigRejected(now_, fault), settle(); }
  // The clock goes on by so many ms, with each turn that was asked for on the way.
  void pass(std::int64_t millis) {
    const Instant until = now_ + ms(millis);
    while (next_ != Instant() && next_ <= until) {
      now_ = std::max(next_, now_ + Duration::micros(1));
      turn();
    }
    now_ = until;
    settle();
  }
  std::int64_t unixMs() const { return now_.inMicros() / 1000; }
  bool finished() const { return gateway_.finished(); }
  bool closeIdle(std::size_t most = 1) { return gateway_.closeIdleClients(most); }
  // The link that was opened last, of all or to a node.
  NodeConnectionId last() const { return last_; }
  NodeConnectionId to(const std::string& node) { return lastTo_[addressOf(node)]; }

 private:
  static std::string addressOf(const std::string& node) {
    return "10.0.0." + std::to_string(node[0] - 'A' + 1) + ":1";
  }
  static RoutingConfig terms(bool onlyDraining) {
    RoutingConfig made = trace::usualTerms({trace::type(ReadLevel::any), trace::type(ReadLevel::bounded),
                                            trace::type(ReadLevel::session),
                                            trace::type(ReadLevel::write, Effect::atMostOnce)});
    made.onlyDrainingExcludes = onlyDraining;
    return made;
  }
  void offer(ClientId client) {
    auto& kept = kept_[client];
    kept.erase(0, gateway_.clientReceived(now_, client, kept));
    settle();
  }
  void turn() { next_ = gateway_.endTurn(now_); }
  void settle() {
    turn();
    for (const NodeConnectionId link : std::exchange(asked_, {}))
      if (clears) gateway_.nodeReceived(now_, link, kAllClear);
    for (const ClientId client : std::exchange(offered_, {})) offer(client);
    while (next_ != Instant() && next_ <= now_) turn();
  }
  std::ostream& line() { return std::cout << (now_ - kStart).inMicros() / 1000 << " ms: "; }
  static std::string joined(ByteSlices parts) {
    std::string all;
    for (const auto part : parts) all += part;
    return all;
  }

  void connect(NodeConnectionId link, const std::string& address) override {
    last_ = lastTo_[address] = link;
    line() << "connect l" << link << " to " << address << "\n";
  }
  bool writeNode(NodeConnectionId link, ByteSlices parts) override {
    const auto text = shown(joined(parts));
    if (text == " Q()") asked_.push_back(link);
    if (clears && text == " Q()") return true;
    if (showProbes || text.find("SHOW") == std::string::npos) line() << "to l" << link << ":" << text << "\n";
    return writesWhole;
  }
  void closeNode(NodeConnectionId link) override { line() << "close l" << link << "\n"; }
  void writeClient(ClientId client, ByteSlices parts) override {
    line() << "to c" << client << ":" << shown(joined(parts)) << "\n";
  }
  void readClient(ClientId client) override {
    if (showReads) line() << "read on from c" << client << "\n";
    offered_.push_back(client);
  }
  void closeClient(ClientId client) override { line() << "close c" << client << "\n"; }
  void stopListening() override { line() << "stop listening\n"; }
  void requestEndpointList() override { line() << "ask for the list\n"; }
  void followDiscovery(const std::string& at) override { line() << "follow discovery at " << at << "\n"; }
  void log(std::string text) override { line() << "log: " << text << "\n"; }

  static constexpr Instant kStart = Instant::atMicros(1'700'000'000'000'000);
  Instant now_ = kStart, next_;
  NodeConnectionId last_ = 0;
  std::map<std::string, NodeConnectionId> lastTo_;
  std::map<ClientId, std::string> kept_;
  std::vector<ClientId> offered_;
  std::vector<NodeConnectionId> asked_;
  Gateway gateway_;
};

void ordinary() {
  Sockets s;
  s.say("a query that comes with the startup message goes to a replica, with d as the router will wait");
  s.open(1, read("aa"));
  s.pass(20);
  s.up(1);
  s.pass(30);
  s.answers(1, row("body", status("part", "replica")));
  s.say("the connection is used again; two queries at once are answered in order");
  s.sent(1, read("bb") + read("cc"));
  s.pass(10);
  s.answers(1, row("second"));
  s.answers(1, row("third"));
  s.say("one that comes in pieces");
  for (const char c : read("dd")) s.sent(1, std::string(1, c));
  s.say("a write goes to the primary; the session's read that must see it is held while replicas are asked");
  s.showProbes = true;
  s.answers(1, row("fourth"));
  s.sent(1, write("ee"));
  s.up(2);
  const auto commit = s.unixMs();
  s.answers(2, row("written", status("part", "master") + status("caught_up_to", std::to_string(commit))));
  s.sent(1, read("ff", "session", ",after=" + std::to_string(commit)));
  s.answers(1, row("x0=" + std::to_string(commit / 1000) + ".99,x1=0,inflight=3,util=0.5"));
  s.answers(1, row("fifth"));
  s.say("good-bye");
  s.sent(1, postgres::terminate());
}

void openings() {
  Sockets s({ms(10000), ms(250), 8, 100000}, false);
  s.say("no encryption; an empty query is answered once the list is known");
  const std::string ssl("\0\0\0\10\4\322\26\57", 8), gss("\0\0\0\10\4\322\26\60", 8);
  s.accepted(1, ssl + postgres::startup("worker", "catalog"));
  s.open(2, query(";"));
  s.open(3);
  s.sent(3, query(""));
  s.list(EndpointUpdateKind::snapshot, {"p", "a"});
  s.sent(2, query(" ; "));
  s.say("versions, cancel requests, nonsense");
  s.open(5);
  s.sent(5, "GET / HTTP/1.1\r\n\r\n");
  ClientId next = 10;
  for (const std::string& bytes :
       {gss + std::string("\0\0\0\10\0\2\0\0", 8), std::string("\0\0\0\20\4\322\26\56\0\0\0\0\0\0\0\0", 16),
        std::string("\0\0\0\3\0\3\0\0", 8), std::string("\377\377\377\377\0\3\0\0", 8)}) {
    s.accepted(next++, bytes);
  }
  s.say("the extended protocol is refused up to its Sync, then the connection goes on");
  s.open(7);
  s.sent(7, postgres::message('P', "x") + postgres::message('B', "x") + postgres::message('E', "x") +
                postgres::message('S', "") + query(""));
  s.sent(7, postgres::message('F', "x") + postgres::message('H', "") + postgres::message('S', ""));
}

void badStatements() {
  Sockets s;
  s.open(1);
  const std::string select = "SELECT body FROM objects WHERE oid = 'k'";
  for (const std::string& text :
       {std::string("DROP TABLE objects"), select, select + " /* id=1,c=any,d=5,cluster=1",
        select + " /* id=1,c=any,d=5,cluster=1 */; DROP TABLE objects",
        select + " /* id=1,c=any,cluster=1 */", select + " /* id=1,c=any,d=soon,cluster=1 */",
        select + " /* id=1,c=any,d=-5,cluster=1 */",
        select + " /* id=1,c=any,d=99999999999999999999,cluster=1 */",
        select + " /* id=1,c=any,d=5,cluster=x */", select + " /* id=1,c=any,d=5 */",
        select + " /* c=any,d=5,cluster=1 */", select + " /* id=1,d=5,cluster=1 */",
        select + " /* id=1,c=rare,d=5,cluster=1 */", select + " /* id=1,c=charge,d=5,cluster=1 */",
        select + " /* id=1,c=any,d=5,cluster=1,after=1e9 */", select + " /* id */",
        std::string("SELECT body FROM objects WHERE oid = 'k"),
        "INSERT INTO objects (oid, body) VALUES ('k', '\\x" + std::string(2 * 64 * 1024 + 2, '0') +
            "') RETURNING body"})
    s.sent(1, query(text));
  s.say("longer than any statement: the connection ends");
  s.sent(1, std::string("Q\0\7\0\0", 5));
  s.say("a query whose text has no end");
  s.open(2);
  s.sent(2, postgres::message('Q', "SELECT"));
}

void neverRan() {
  Sockets s;
  s.say("a write whose connection is refused, or breaks before its last byte is written, is sent again");
  s.open(1, write("aa"));
  s.ended(1, ConnectionCloseReason::refused);
  s.pass(5);
  s.writesWhole = false;
  s.up(2);
  s.ended(2, ConnectionCloseReason::broken);
  s.pass(5);
  s.say("once it is written it may have run: rolled back, and never sent again");
  s.up(3);
  s.written(3);
  s.ended(3, ConnectionCloseReason::broken);
  s.pass(1000);
  Sockets t;
  t.say("a node that never comes up, or turns the write away, has not run it");
  t.open(2, write("bb"));
  t.pass(250);
  t.up(t.to("p"));
  t.answers(t.to("p"), postgres::error("ERROR", "53300", "full") + postgres::readyForQuery());
  t.pass(260);
  t.answers(t.to("p"), postgres::error("ERROR", "25006", "read only") + postgres::readyForQuery());
  t.pass(600);
  t.say("nor has one that refuses the session");
  t.open(3, read("cc"));
  t.rejects(t.to("a"));
  t.pass(300);
}

void mayHaveRun() {
  Sockets s;
  s.say("an error, a malformed answer and silence each leave a write that may have run");
  s.open(1, write("aa"));
  s.up(1);
  s.answers(1, postgres::error("ERROR", "XX000", "no") + postgres::readyForQuery());
  s.sent(1, write("bb"));
  s.answers(1, postgres::message('D', column("row before its description")));
  s.sent(1, write("cc"));
  s.up(2);
  s.pass(995);
  s.say("and the late answer reaches nobody");
  s.answers(2, row("late"));
  s.say("a fatal error ends the connection, an answer that is cut off ends nothing");
  s.sent(1, read("dd"));
  s.up(s.to("a"));
  const auto link = s.to("a");
  s.answers(link, row("a value that breaks off").substr(0, 40));
  s.ended(link, ConnectionCloseReason::broken);
  s.pass(5);
  s.up(s.to("a"));
  s.answers(s.to("a"), postgres::error("FATAL", "XX000", "going down"));
  s.pass(5);
}

void idleLinks() {
  Sockets s;
  s.open(1, read("aa"));
  s.up(1);
  s.answers(1, row("body"));
  s.say("bytes that nobody asked for end an idle connection: the next txn gets another");
  s.answers(1, row("whose?"));
  s.sent(1, read("bb"));
  s.up(2);
  s.answers(2, row("body"));
  s.say("so does its end; the next is retired at half of the node's limit");
  s.ended(2, ConnectionCloseReason::broken);
  s.sent(1, read("cc"));
  s.up(3);
  s.answers(3, row("body"));
  s.pass(4999);
  s.sent(1, read("dd"));
  s.answers(3, row("body"));
  s.pass(5000);
}

void leftovers() {
  Sockets s;
  s.clears = false;
  s.say("after an answer an empty query is asked; what waits meanwhile is written once its answer is there");
  s.open(1, read("aa"));
  s.up(1);
  s.answers(1, row("body"));
  s.sent(1, read("bb"));
  s.answers(1, kAllClear.substr(0, 3));
  s.answers(1, kAllClear);
  s.answers(1, row("second"));
  s.say(
      "an answer twice in the same read, and one that comes later: the value is kept, the connection is not");
  s.sent(1, read("cc"));
  s.answers(1, kAllClear);
  s.answers(1, row("third") + row("third"));
  s.sent(1, read("dd"));
  s.up(s.last());
  s.answers(s.last(), row("fourth"));
  s.sent(1, read("ee"));
  s.answers(s.last(), row("fourth") + kAllClear);
  s.up(s.last());
  s.say("noise behind the answer to the empty query, a node that does not answer it");
  s.answers(s.last(), row("fifth"));
  s.answers(s.last(), kAllClear + "noise");
  s.sent(1, read("ff"));
  s.up(s.last());
  s.answers(s.last(), row("sixth"));
  s.pass(250);
  s.say("a report and a position that can't be read within a good answer");
  s.sent(1, read("gg"));
  s.up(s.last());
  s.answers(s.last(), row("seventh", status("gauges", "=,=") + status("caught_up_to", "soon") +
                                         status("part", "replica")));
}

void spoilt() {
  Sockets s;
  const std::string good = row("body");
  s.say("each may have run, and is found as early as its bytes allow: a type, a length, a row's length");
  s.open(1);
  for (const auto& [id, bytes] : {std::pair<const char*, std::string>{"a", "x"},
                                  {"b", std::string("T\0\1\0\0", 5)},
                                  {"c", good.substr(0, 30) + "D" + std::string("\xb2\xd0\x5e\0", 4)},
                                  {"d", good.substr(0, good.find('D') + 7) + std::string("\0\0\0\5", 4)}}) {
    s.sent(1, write(std::string("good-") + id));
    s.up(s.to("p"));
    s.answers(s.to("p"), good);
    s.sent(1, write(id));
    s.answers(s.to("p"), bytes);
  }
  s.say("one that begins and does not end: what can be repeated goes on elsewhere after a while");
  s.sent(1, read("f"));
  s.up(s.last());
  s.answers(s.last(), good.substr(0, 40));
  s.pass(260);
  s.up(s.last());
  s.answers(s.last(), good);
  s.say("noise over and over: a line a node each 10 s");
  s.answers(s.last(), "x");
  for (int i = 0; i < 4; ++i) {
    s.pass(3600);
    s.sent(1, read("g" + std::to_string(i)));
    s.up(s.last());
    s.answers(s.last(), good);
    s.answers(s.last(), "x");
  }
}

void badClients() {
  Sockets s;
  s.say("one says nothing, one half of its greeting, one half of a query, one asks for encryption only");
  s.accepted(1, "");
  s.accepted(2, postgres::startup("worker", "catalog").substr(0, 9));
  s.open(3, read("aa").substr(0, 20));
  s.accepted(4, std::string("\0\0\0\10\4\322\26\57", 8));
  s.open(5);
  s.pass(1999);
  s.say("the half query goes on: it counts from its begin; one that asks for nothing may stay");
  s.sent(3, read("aa").substr(20, 20));
  s.pass(1);
  s.say("the id of another client's open txn: an error, and that txn its own answer; later the id is free");
  s.open(6, read("bb"));
  s.open(7, read("bb"));
  s.up(1);
  s.answers(1, row("body"));
  s.sent(7, read("bb"));
  s.answers(1, row("again"));
  s.say("ten messages at once: some in a turn");
  s.showReads = true;
  std::string many;
  for (int i = 0; i < 10; ++i) many += postgres::message('S', "");
  s.sent(7, many + read("cc"));
  s.answers(1, row("third"));
  s.showReads = false;
  s.say("full: those that said nothing make room once they had time for it, then the idle ones");
  s.accepted(8, "");
  s.pass(24);
  std::cout << s.closeIdle(2) << "\n";
  s.accepted(9, "");
  s.pass(1);
  std::cout << s.closeIdle(9) << "\n";
  s.pass(2000);
}

void askOnce() {
  Sockets s({ms(10000), ms(250), 8, 100000, 8});
  s.say(
      "clients keep eight connections for txns: beyond six the one idle longest makes room, but not two that "
      "wait");
  s.open(20);
  s.open(1, read("slow"));
  s.up(1);
  for (ClientId client = 2; client <= 9; ++client) {
    s.pass(1);
    s.open(client, read("r" + std::to_string(client)));
    if (client == 2) s.up(s.last());
    s.answers(2, row("body"));
  }
  s.say("one that has sent more meanwhile stays");
  s.sent(9, read("ss") + read("tt"));
  s.open(10, read("uu"));
  s.answers(2, row("body"));
  s.answers(2, row("body"));
  s.answers(2, row("body"));
}

void forgotten() {
  Sockets s;
  s.say("a is not reached, drains and leaves, b comes: a comes back after a minute, as one that is new");
  s.open(1, read("aa"));
  s.ended(1, ConnectionCloseReason::refused);
  s.pass(1000);
  s.list(EndpointUpdateKind::delta, {"a"}, Health::draining);
  s.list(EndpointUpdateKind::delta, {"a"}, Health::removed);
  s.list(EndpointUpdateKind::delta, {"b"});
  s.pass(61000);
  s.list(EndpointUpdateKind::delta, {"b"});
  s.list(EndpointUpdateKind::delta, {"a"});
  s.list(EndpointUpdateKind::delta, {"b"}, Health::draining);
  s.sent(1, read("bb"));
  s.up(s.to("a"));
  s.answers(s.to("a"), row("body"));
}

void cancelled() {
  Sockets s;
  s.list(EndpointUpdateKind::delta, {"b"});
  s.open(1, read("aa"));
  s.up(1);
  s.answers(1, row("quick"));
  s.say("a silent node: a copy goes elsewhere, the first answer counts, the other connection is closed");
  s.sent(1, read("bb"));
  if (s.last() == 1) s.pass(250);
  s.up(2);
  s.answers(2, row("body"));
  s.pass(5);
  s.answers(1, row("too late"));
  s.say("clients that leave: one whose txn is out, one whose txn waits for a connection");
  s.sent(1, read("cc"));
  s.open(2, read("dd"));
  s.left(1);
  s.left(2);
  s.pass(5);
  s.up(s.last());
  s.pass(5);
}

void halfClosed() {
  Sockets s;
  s.say(
      "a client that sends no more, and waits: a notice tells whether it is still there; it gets its answer");
  s.open(1, read("aa"));
  s.sendsNoMore(1);
  s.up(1);
  s.answers(1, row("body"));
  s.sendsNoMore(1);
  s.say("one that waits for nothing");
  s.open(2);
  s.sendsNoMore(2);
}

void drains() {
  Sockets s;
  s.open(1, read("aa"));
  s.up(1);
  s.answers(1, row("body"));
  s.say(
      "three are for the only replica, which drains: one is out, two wait for a connection and go elsewhere");
  for (ClientId client = 2; client <= 4; ++client) s.open(client, read("b" + std::to_string(client)));
  s.list(EndpointUpdateKind::delta, {"b"});
  s.list(EndpointUpdateKind::delta, {"a"}, Health::draining);
  s.up(s.to("b"));
  s.say("what is out may end there, and its connection is not kept; what comes up late is closed");
  s.answers(1, row("from a"));
  s.up(2);
  s.answers(s.to("b"), row("from b"));
  s.say("b has another address: its idle connection is closed");
  s.answers(s.to("b"), row("from b"));
  s.list(EndpointUpdateKind::snapshot, {"B"});
  Sockets t({ms(10000), ms(250), 8, 100000}, true, true);
  t.say("where only draining binds, a node that is listed as gone keeps its connections");
  t.open(1, read("aa"));
  t.up(1);
  t.answers(1, row("body"));
  t.list(EndpointUpdateKind::delta, {"a"}, Health::removed);
  t.sent(1, read("bb"));
  t.answers(1, row("body"));
  t.list(EndpointUpdateKind::delta, {"a"}, Health::draining);
}

void bounds() {
  Sockets s({ms(10000), ms(250), 1, 300});
  s.say("one connection may be open: the second txn gets none, and is refused when it has no more tries");
  s.open(1, read("aa"));
  s.open(2, write("bb"));
  s.up(1);
  s.pass(100);
  s.say("an idle one makes room");
  s.answers(1, row("body"));
  s.sent(2, write("cc"));
  s.say("no room for one more statement");
  s.sent(1, read("dd"));
  s.open(3, read("ee"));
  s.say("no descriptor: told as not sent");
  s.ended(s.to("a"), ConnectionCloseReason::noDescriptor);
  s.say("of the idle clients the one that was idle longest makes room");
  s.pass(1000);
  s.sent(3, query(""));
  for (int i = 0; i < 4; ++i) std::cout << (s.closeIdle() ? "one was closed\n" : "none is idle\n");
  Sockets t({ms(10000), ms(250), 2, 100000});
  t.say("two may be open: of two idle ones that goes first which was used longer ago");
  t.open(1, read("aa"));
  t.up(1);
  t.answers(1, row("body"));
  t.sent(1, write("bb"));
  t.up(2);
  t.answers(2, row("body"));
  t.pass(1);
  t.sent(1, read("cc"));
  t.answers(1, row("body"));
  t.list(EndpointUpdateKind::delta, {"b"});
  t.sent(1, read("dd"));
  if (t.last() == 2) t.answers(1, row("body")), t.sent(1, read("ee"));
}

void heldForConnection() {
  Sockets s;
  s.showProbes = true;
  s.say("a replica is known to be 940 ms behind, of 1000 that are allowed: two reads are for it at once");
  s.open(1, read("aa", "bounded"));
  s.up(1);
  s.answers(1, row("x0=" + std::to_string(s.unixMs() / 1000 - 1) + ".060,x1=0"));
  s.open(2, read("bb", "bounded"));
  s.say(
      "the second waits for its connection until the replica may be out of the bound: it is not sent there");
  s.pass(70);
  s.up(2);
  s.pass(40);
}

// What a node takes a part at a time.
void inPart() {
  for (const bool inTime : {false, true}) {
    Sockets s;
    s.say(
        inTime
            ? "the same, written whole in time: it is answered after that"
            : "a bounded read is written in part as its replica falls out of the bound: it never ran there");
    s.open(1, read("aa", "bounded"));
    s.up(1);
    s.writesWhole = false;
    s.answers(1, row("x0=" + std::to_string(s.unixMs() / 1000 - 1) + ".060,x1=0"));
    if (inTime) s.written(1);
    s.pass(70);
    if (inTime) s.answers(1, row("body"));
  }
  Sockets s;
  s.say("an answer begins before the statement is written whole, and does not end");
  s.writesWhole = false;
  s.open(1, read("aa"));
  s.up(1);
  s.answers(1, row("body").substr(0, 20));
  s.written(1);
  s.pass(260);
}

void ending() {
  Sockets s;
  s.open(1, read("aa"));
  s.open(2);
  s.up(1);
  s.say("told to end: served as before for half a second");
  s.shutDown();
  s.pass(100);
  s.open(3, read("bb"));
  s.up(2);
  s.answers(2, row("body"));
  s.pass(399);
  s.accepted(4, postgres::startup("worker", "catalog").substr(0, 9));
  s.accepted(5, "");
  s.pass(1);
  s.say(
      "then idle clients are closed, the others once they are answered; two had just come, one of them asks");
  s.sent(4, postgres::startup("worker", "catalog").substr(9) + read("cc"));
  s.answers(2, row("body"));
  s.pass(250);
  std::cout << "finished: " << s.finished() << "\n";
  s.answers(1, row("body"));
  s.pass(0);
  std::cout << "finished: " << s.finished() << "\n";
}

// Several statements of one connection: each has its time from when it came, not from when its turn came.
void pipelined() {
  Sockets s;
  s.open(1, read("aa") + read("bb") + read("cc"));
  s.up(1);
  s.pass(400);
  s.say("the second has waited 400 ms behind the first, and the node is told what is left");
  s.answers(1, row("first"));
  s.pass(580);
  s.say("the third has 20 ms left; it is answered before they are over");
  s.answers(1, row("second"));
  s.say("one that comes in pieces counts from its last byte, also where it lies behind another");
  s.pass(20);
  s.sent(1, read("dd") + read("ee").substr(0, 30));
  s.up(2);
  s.pass(100);
  s.sent(1, read("ee").substr(30));
  s.pass(100);
  s.answers(2, row("fourth"));
  s.answers(2, row("fifth"));
  s.say("told to end: what had come is served, what comes later from the same client is refused");
  s.sent(1, read("ff") + read("gg"));
  s.shutDown();
  s.pass(500);
  s.sent(1, read("hh"));
  s.answers(2, row("sixth"));
  std::cout << "finished: " << s.finished() << "\n";
  s.answers(2, row("seventh"));
  std::cout << "finished: " << s.finished() << "\n";
}

// A client that leaves while its txn waits for a connection, or is written in part: no attempt begins.
void withdrawn() {
  Sockets s;
  s.say("a write whose client leaves while its connection comes up");
  s.open(1, write("aa"));
  s.left(1);
  s.up(1);
  s.say("its connection serves the next");
  s.open(2, write("bb"));
  s.say("one that is written in part: its connection ends, and it never ran");
  s.answers(1, row("second"));
  s.writesWhole = false;
  s.open(3, write("cc"));
  s.left(3);
  s.say("one that is written whole goes on");
  s.writesWhole = true;
  s.open(4, write("dd"));
  s.up(s.to("p"));
  s.left(4);
  s.answers(s.to("p"), row("fourth"));
}

void configurations() {
  Sockets s;
  s.say("the first, one that moves discovery, one that changes nothing, one that changes what waits");
  s.configured("10.0.0.1:8500");
  s.configured("10.0.0.2:8500");
  s.configured("10.0.0.2:8500");
  s.configured("10.0.0.2:8500", {"listen", "settings"});
  s.say("one that can't be used: a txn meanwhile is served as ever");
  s.misconfigured("discovery: is missing");
  s.open(1, read("aa"));
  s.up(1);
  s.answers(1, row("body"));
}

void ends() {
  for (int i = 0; i <= static_cast<int>(ConnectionCloseReason::shuttingDown); ++i) {
    const auto how = static_cast<ConnectionCloseReason>(i);
    constexpr const char* kEnds[] = {"committed",       "error",     "rejected", "no answer", "no connection",
                                     "connection lost", "cancelled", "not sent", "not here"};
    std::cout << nameOf(how) << ": " << kEnds[static_cast<int>(outcomeOf(how, false))]
              << ", written whole: " << kEnds[static_cast<int>(outcomeOf(how, true))] << "\n";
  }
}

// Each txn can be followed from its arrival to its answer, and each close has its reason, once that is
// switched on.
void followed() {
  Sockets sockets;
  sockets.follow();
  sockets.open(1, read("a"));
  sockets.up(sockets.last());
  sockets.answers(sockets.last(), row("v"));
  sockets.open(2, write("b"));
  sockets.up(sockets.last());
  sockets.ended(sockets.last(), ConnectionCloseReason::broken);
  sockets.open(3, read("c", "bounded"));
  sockets.left(3);
  sockets.shutDown();
  sockets.pass(1000);
}

}  // namespace

int main(int count, char** words) {
  const std::map<std::string, void (*)()> cases{{"ordinary", ordinary},
                                                {"followed", followed},
                                                {"openings", openings},
                                                {"bad-statements", badStatements},
                                                {"never-ran", neverRan},
                                                {"may-have-run", mayHaveRun},
                                                {"idle-links", idleLinks},
                                                {"bad-clients", badClients},
                                                {"ask-once", askOnce},
                                                {"forgotten", forgotten},
                                                {"leftovers", leftovers},
                                                {"spoilt", spoilt},
                                                {"called-off", cancelled},
                                                {"half-closed", halfClosed},
                                                {"drains", drains},
                                                {"bounds", bounds},
                                                {"held-for-connection", heldForConnection},
                                                {"in-part", inPart},
                                                {"ending", ending},
                                                {"configurations", configurations},
                                                {"pipelined", pipelined},
                                                {"withdrawn", withdrawn},
                                                {"ends", ends}};
  const auto found = count == 2 ? cases.find(words[1]) : cases.end();
  if (found == cases.end()) return 2;
  found->second();
}
