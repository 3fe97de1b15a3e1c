// Races between pairs of events, on real connections to the program itself; docs/crossings.md has the table.
// Both orders of a pair are tested: the events are prepared while the program is suspended, or one event
// waits for the other. `crossings CASE` prints what the clients and nodes received.
#include <spdlog/spdlog.h>

#include "lists.h"

using namespace gulltrestle;
using namespace gulltrestle::testing;

namespace {

void describe(const std::string& text) { std::cout << "-- " << text << "\n"; }

// Returns the query message of a transaction. `bytes` is the size of the value that a write writes.
std::string statement(const std::string& key, const std::string& type, int timeoutMs = 60000,
                      std::size_t bytes = 1) {
  const std::string comment =
      " /* " + nextId() + ",c=" + type + ",d=" + std::to_string(timeoutMs) + ",cluster=1 */";
  std::string hex;
  while (hex.size() < 2 * bytes) hex += "77";
  return type == "write" || type == "known"
             ? query("INSERT INTO objects (oid, body) VALUES ('" + key + "', '\\x" + hex +
                     "') RETURNING body" + comment)
             : query("SELECT body FROM objects WHERE oid = '" + key + "'" + comment);
}

std::string singleNodeList(const FakeNode& node, const std::string& state = "up") {
  return endpointListJson(1, endpointEntryJson(node.server(), "s-1", state));
}

// --- Clients that disconnect

// A client resets its connection while its statement waits for a connection to the node. The node must not
// receive that statement: the first that it receives is the one of the next client.
void resetWhileConnecting() {
  for (const std::string type : {"write", "known", "read"}) {
    FakeNode node({}, 0);
    FakeServer discovery(silentDiscovery);
    Program router(discovery.port(), singleNodeList(node), 20000);
    Peer leaving = router.client();
    leaving.send(statement("gone", type));
    node.events.waitFor("connection");
    leaving.reset();
    router.waitUntilIdle();
    Peer staying = router.client();
    staying.send(statement("next", "write"));
    router.waitUntilIdle();
    node.events.signal("greet");
    std::cout << type << ": " << staying.answer() << "the node received " << node.receivedKeys() << "\n";
  }
}

// A client closes or resets its connection while the first of its statements is at the node. The node must
// receive none of the others.
void disconnectWithStatements(std::size_t bytes) {
  for (const bool isGraceful : {false, true}) {
    FakeNode node({"slow"});
    FakeServer discovery(silentDiscovery);
    Program router(discovery.port(), singleNodeList(node));
    Peer leaving = router.client();
    std::string statements = statement("slow", "write") + statement("gone", "write");
    while (statements.size() < bytes) statements += statement("gone", "write");
    leaving.send(statements);
    node.events.waitFor("received slow");
    router.waitUntilIdle();
    isGraceful ? leaving.close() : leaving.reset();
    router.waitUntilIdle();
    node.releaseAnswer("slow");
    Peer staying = router.client();
    staying.send(statement("next", "read"));
    std::cout << (isGraceful ? "closed: " : "reset: ") << staying.answer() << "the node received "
              << node.receivedKeys() << "\n";
  }
}

void disconnectWithQueuedStatements() { disconnectWithStatements(0); }
// The client has pipelined so much that the router has stopped reading from it when it disconnects.
void disconnectWithUnreadStatements() { disconnectWithStatements(48 * 1024); }

// The client's reset and the node's greeting, which releases the client's statement, arrive in the same turn
// of the event loop.
void resetWithGreeting() {
  for (const bool resetFirst : {true, false}) {
    FakeNode node({}, 0);
    FakeServer discovery(silentDiscovery);
    Program router(discovery.port(), singleNodeList(node), 20000);
    Peer leaving = router.client(), staying = router.client();
    leaving.send(statement("gone", "read"));
    node.events.waitFor("connection");
    router.suspend();
    if (resetFirst) leaving.reset();
    node.events.signal("greet");
    node.events.waitFor("greeted");
    if (!resetFirst) leaving.reset();
    router.resume();
    router.waitUntilIdle();
    staying.send(statement("next", "read"));
    std::cout << (resetFirst ? "reset first: " : "greeting first: ") << staying.answer()
              << "the node received " << node.receivedKeys() << "\n";
  }
}

// --- Pipelined statements

void pipelined() {
  FakeNode node({"first"});
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), singleNodeList(node));
  Peer client = router.client();
  client.send(statement("first", "read") + statement("second", "read") + statement("late", "read", 250));
  node.events.waitFor("received first");  // all three have been received by then
  sleepUntil(Clock::now() + std::chrono::milliseconds(300));
  node.releaseAnswer("first");
  std::cout << client.answer() << client.answer() << client.answer() << "\n";
  std::cout << "the node received " << node.receivedKeys()
            << "; the remaining time sent after a wait of 300 ms is within its bound: "
            << (node.remainingTimeMs("second") <= 59700) << "\n";
}

// A client pipelines more than the router reads ahead, and no statement has enough time for the wait. The
// wait also counts for the statements that are read only once the earlier ones are answered.
void pipelinedUnread() {
  FakeNode node({"first"});
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), singleNodeList(node));
  Peer client = router.client();
  const auto repeatedStatements = [](int count) {
    std::string statements;
    for (int i = 0; i < count; ++i) statements += statement(std::string(2000, 'x'), "read", 400);
    return statements;
  };
  // First as much as is read ahead, then more than one read takes: that part stays unread, and is later read
  // in several turns.
  client.send(statement("first", "read") + repeatedStatements(9));
  node.events.waitFor("received first");
  router.waitUntilIdle();
  client.send(repeatedStatements(51));
  router.waitUntilIdle();
  sleepUntil(Clock::now() + std::chrono::milliseconds(500));
  node.releaseAnswer("first");
  std::map<std::string, int> answerCounts;
  for (int i = 0; i < 61; ++i) ++answerCounts[client.answer()];
  for (const auto& [answer, count] : answerCounts) std::cout << count << " times " << answer;
  std::cout << "\n";
}

// --- Closing

void protocolError() {
  FakeNode node;
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), singleNodeList(node));
  describe("an invalid message before many unread bytes: the client receives the error, then the end");
  {
    Peer client = router.client();
    router.suspend();
    client.send(postgres::message('x', "nonsense") + std::string(200 * 1024, 'x'));
    router.resume();
    std::cout << client.answer();
    std::cout << (client.wasReset() ? " by a reset\n" : " gracefully\n");
  }
  describe("a statement after the error: it is discarded, and not forwarded");
  {
    Peer client = router.client();
    client.send(postgres::message('x', "nonsense"));
    std::cout << client.answer();
    client.send(statement("after", "write"));
    router.waitUntilIdle();
    std::cout << (client.wasReset() ? " by a reset" : " gracefully") << "; the node received "
              << node.receivedKeys() << "\n";
  }
}

// --- Shutdown of the program

void gracefulShutdown() {
  FakeNode node({"slow"});
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), singleNodeList(node));
  Peer busy = router.client(), idle = router.client(), partial = router.client();
  idle.send(query(""));
  idle.answer();
  busy.send(statement("slow", "write") + statement("second", "write"));
  partial.send(statement("half", "write").substr(0, 40));
  node.events.waitFor("received slow");
  router.signal(SIGHUP);
  router.signal(SIGTERM);
  router.waitForLine("shutdown requested");
  router.signal(SIGTERM);
  std::cout << "idle: " << idle.answer() << "\n";
  idle.send(statement("after", "write"));
  busy.send(statement("later", "write"));
  node.releaseAnswer("slow");
  std::cout << "busy: " << busy.answer() << busy.answer() << "\n";
  std::cout << "what it sent after the start of the shutdown: " << busy.answer() << busy.answer()
            << (busy.wasReset() ? " by a reset" : "") << "\n";
  std::cout << "half a statement: " << partial.answer() << "\n";
  std::cout << "the node received " << node.receivedKeys() << "\n";
}

// Statements arrive at the moment in which idle connections are closed.
void shutdownWithStatement() {
  FakeNode node;
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), singleNodeList(node));
  Peer idle = router.client();
  router.signal(SIGTERM);
  router.waitForLine("shutdown requested");
  router.suspend();
  const auto suspendedAt = Clock::now();
  idle.send(statement("crossing", "write"));
  Peer waiting = Peer::to(router.port());
  waiting.send(postgres::startup("worker", "catalog") + statement("waiting", "write"));
  sleepUntil(suspendedAt + std::chrono::milliseconds(700));
  router.resume();
  std::cout << "on an idle connection: " << idle.answer() << idle.answer() << "\n";
  waiting.answer();
  std::cout << "on a connection that waits to be accepted: " << waiting.answer() << waiting.answer() << "\n";
}

// Discovery is down, and statements wait for a usable node, for a connection, or for the answer of a hung
// node. Each must be answered before its deadline, and the program exits after that.
void shutdownWithQueuedStatements() {
  FakeNode hungNode({"hangs"}, 1);
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), singleNodeList(hungNode));
  Peer atNode = router.client(), queued = router.client(), waiting = router.client();
  atNode.send(statement("hangs", "write", 1500));
  hungNode.events.waitFor("received hangs");
  queued.send(statement("queued", "write", 1500));
  hungNode.events.waitFor("connection", 2);
  waiting.send(
      query("SELECT body FROM objects WHERE oid = 'k' /* " + nextId() + ",c=read,d=1500,cluster=2 */"));
  router.signal(SIGTERM);
  std::cout << "at a node that hangs: " << atNode.answer() << atNode.answer() << "\n";
  std::cout << "queued for a connection: " << queued.answer() << queued.answer() << "\n";
  std::cout << "queued without a usable node: " << waiting.answer() << waiting.answer() << "\n";
  hungNode.releaseAnswer("hangs");
  hungNode.events.signal("greet");
}

// A signal arrives while the program starts: after SIGHUP it serves, after SIGTERM it exits.
void signalAtStart() {
  for (const int number : {SIGHUP, SIGTERM}) {
    FakeNode node;
    FakeServer discovery(silentDiscovery);
    Program router(discovery.port(), singleNodeList(node), 250, 256, number);
    Peer client = router.client();
    client.send(statement("k", "write"));
    std::cout << (number == SIGHUP ? "SIGHUP: " : "SIGTERM: ") << client.answer() << "\n";
  }
}

// --- Idle connections to nodes

// A node sends an unexpected byte on an idle connection or closes it, in the same turn as a statement
// arrives, before or after it.
void idleNodeConnection() {
  for (const std::string bytes : {"T", ""}) {
    for (const bool nodeFirst : {true, false}) {
      FakeNode node;
      FakeServer discovery(silentDiscovery);
      Program router(discovery.port(), singleNodeList(node));
      Peer client = router.client();
      client.send(statement("first", "write"));
      std::cout << client.answer();
      node.events.waitFor("idle");
      router.waitUntilIdle();
      router.suspend();
      if (nodeFirst) node.sendAll(bytes);
      client.send(statement("second", "write"));
      if (!nodeFirst) node.sendAll(bytes);
      router.resume();
      std::cout << client.answer() << (bytes.empty() ? "the end" : "an unexpected byte")
                << (nodeFirst ? " first" : " second") << ", connections: " << node.connections() << "\n";
    }
  }
}

// --- Attempts

// The hedge of a read waits for a connection, which is established once the other attempt is answered: in a
// later turn, with cancellation not allowed, or in the same turn.
void answerWhileHedgeConnects() {
  for (const bool sameTurn : {false, true}) {
    FakeNode first({"k"}), second({}, 0);
    const auto replica = [](const FakeNode& node, const std::string& id) {
      return endpointEntryJson(node.server(), id, "up", "replica");
    };
    const auto firstList = replica(first, "s-1");
    FakeDiscovery discovery(endpointListJson(1, firstList));
    Program router(
        discovery.port(), endpointListJson(1, firstList), 20000, 256, 0, "",
        std::string(R"("probes":false,"secondCopies":true,"cancel":)") + (sameTurn ? "true" : "false"));
    discovery.events.waitFor("watch");
    Peer client = router.client();
    client.send(statement("usual", "any"));  // the router derives from its latency when a read is late
    std::cout << client.answer();
    discovery.sendUpdate(endpointListJson(2, replica(second, "s-2"), false));
    router.waitForLine("list version 2");
    client.send(statement("k", "any"));
    first.events.waitFor("received k");
    second.events.waitFor("connection");
    if (sameTurn) router.suspend();
    first.releaseAnswer("k");
    first.events.waitFor("answered k");
    if (!sameTurn) std::cout << client.answer();
    second.events.signal("greet");
    second.events.waitFor("greeted");
    if (sameTurn) router.resume();
    if (sameTurn) std::cout << client.answer();
    router.waitUntilIdle();
    std::cout << (sameTurn ? "in the same turn" : "in a later turn") << ": the first received "
              << first.receivedKeys() << ", the second " << second.receivedKeys() << "\n";
  }
}

// How the report that a node is a replica and the connection for a read that waits reach the router.
struct RoleLoss {
  bool isSuspended = false;      // the router finds both in one turn
  bool isReportLast = false;     // the report arrives after the connection
  std::size_t otherClients = 0;  // whose queries arrive right after the connection
  std::size_t paddingBytes = 0;  // of the value in the answer, ahead of the report
};

// A linearizable read waits for a connection to the primary, which reports in another answer that it is a
// replica before that connection can be used. Prints which node received what.
void loseRoleWhileConnecting(const RoleLoss& loss) {
  FakeNode previous({"closes"}, 1), current;
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(),
                 endpointListJson(1, endpointEntryJson(previous.server(), "s-1", "up") + "," +
                                         endpointEntryJson(current.server(), "s-2", "up", "replica")),
                 20000, 1024);
  std::vector<Peer> others;
  while (others.size() < loss.otherClients) others.push_back(router.client());
  Peer first = router.client(), second = router.client();
  first.send(statement("closes", "read"));
  previous.events.waitFor("received closes");
  second.send(statement("second", "read"));
  previous.events.waitFor("connection", 2);
  router.waitUntilIdle();
  const auto connect = [&] {
    previous.events.signal("greet");
    previous.events.waitFor("greeted", 2);
    for (Peer& other : others) other.send(query(""));
    for (const Peer& other : others) other.waitUntilDelivered();
  };
  if (loss.isSuspended) router.suspend();
  if (loss.isReportLast) connect();
  previous.becomeReplica();
  previous.padValues(loss.paddingBytes);
  previous.releaseAnswer("closes");
  previous.events.waitFor("answered closes");
  if (!loss.isSuspended) router.waitUntilIdle();
  if (!loss.isReportLast) connect();
  if (loss.isSuspended) router.resume();
  std::cout << first.answer() << "\n";
  std::cout << second.answer() << "\n";
  for (Peer& other : others)
    if (other.answer() != "I Z ") std::cout << "another client was not answered\n";
  std::cout << "the previous primary received " << previous.receivedKeys() << ", the current one "
            << current.receivedKeys() << "\n";
}

// Guards against data from before a hand-over (review case 7): the report arrives before the connection.
void roleLostWhileConnecting() {
  describe("in an earlier turn");
  loseRoleWhileConnecting({});
  describe("in the same turn, the report first");
  loseRoleWhileConnecting({.isSuspended = true});
  describe("in the same turn, the connection first");
  loseRoleWhileConnecting({.isSuspended = true, .isReportLast = true});
}

// Guards against a turn that handles only a part of the events that a suspended router finds.
void roleLostBehindManyEvents() {
  loseRoleWhileConnecting({.isSuspended = true, .isReportLast = true, .otherClients = 300});
}

// Guards against a turn that reads only a part of an answer that has arrived completely, and not the report
// at its end. The value has the largest size allowed.
void roleLostInLargeAnswer() {
  constexpr std::size_t kMaxValueBytes = 64 * 1024;
  loseRoleWhileConnecting(
      {.isSuspended = true, .paddingBytes = kMaxValueBytes - std::string("v-closes").size()});
}

// The first attempt may have been executed, and its retry waits for a connection until the deduplication
// window has expired.
void deduplicationWindowExpired() {
  FakeNode node({"breaks"}, 1);
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), singleNodeList(node), 20000);
  Peer client = router.client();
  client.send(statement("breaks", "known"));
  node.events.waitFor("received breaks");
  const auto receivedAt = Clock::now();
  node.releaseAnswer("breaks");
  node.events.waitFor("connection", 2);
  sleepUntil(receivedAt + std::chrono::milliseconds(500));
  node.events.signal("greet");
  std::cout << client.answer() << "the node received " << node.receivedKeys() << "\n";
}

// The retry is written in part, because the node reads no more of it. The node continues to read once the
// deduplication window has expired.
void deduplicationWindowExpiredInWrite() {
  FakeNode node({"breaks"}, 1 << 20, 1, 2048);
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), singleNodeList(node), 20000);
  Peer client = router.client();
  client.send(statement("breaks", "known", 60000, 60 * 1024));
  node.events.waitFor("received breaks");
  const auto receivedAt = Clock::now();
  node.releaseAnswer("breaks");
  node.events.waitFor("greeted", 2);
  router.waitUntilIdle();
  sleepUntil(receivedAt + std::chrono::milliseconds(500));
  node.events.signal("read");
  std::cout << client.answer() << "the node received " << node.receivedKeys() << "\n";
}

// Answers are cut off or stall after different numbers of bytes. A read gets the complete value from another
// attempt; an at-most-once write is rolled back.
void brokenAnswers() {
  const std::size_t size = row("v-cut-0").size();  // of the shortest answer
  for (const std::string fault : {"cut-", "stall-"}) {
    FakeNode node;
    FakeServer discovery(silentDiscovery);
    Program router(discovery.port(), singleNodeList(node));
    Peer client = router.client();
    std::map<std::string, int> reads, writes;
    for (std::size_t cutAt = 1; cutAt < size; cutAt += 8) {
      const auto key = fault + std::to_string(cutAt);
      client.send(statement(key, "read"));
      auto answer = client.answer();
      ++reads[answer == "T D(" + std::to_string(key.size() + 2) + " bytes) C Z " ? "complete" : answer];
    }
    for (std::size_t cutAt = 1; cutAt < size; cutAt += 8) {
      client.send(statement(fault + std::to_string(cutAt + 1000).substr(1), "write", 3000));
      ++writes[client.answer()];
    }
    std::cout << fault << " reads:";
    for (const auto& [answer, count] : reads) std::cout << " " << count << " " << answer;
    std::cout << "; writes:";
    for (const auto& [answer, count] : writes) std::cout << " " << count << " " << answer;
    std::cout << "\n";
  }
}

// --- Input from arbitrary clients

void floods() {
  FakeNode node;
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), singleNodeList(node));
  Peer invalidClient = Peer::to(router.port()), lateReader = router.client(), slow = Peer::to(router.port());
  invalidClient.send(std::string(4 << 20, 'x'));
  std::string queries;
  for (int i = 0; i < 20000; ++i) queries += query("");
  lateReader.send(queries);  // without reading any of the answers
  const auto statementBytes = postgres::startup("worker", "catalog") + statement("slow", "read");
  slow.send(statementBytes, 1);
  Peer normalClient = router.client();
  normalClient.send(statement("k", "read"));
  std::cout << "a normal client: " << normalClient.answer() << "\n";
  slow.answer();
  std::cout << "byte by byte: " << slow.answer() << "\njunk: " << invalidClient.answer() << "\n";
  int answered = 0;
  while (answered < 20000 && lateReader.answer() == "I Z ") ++answered;
  std::cout << "read late: " << answered << " answers\n";
}

// No file descriptor is available for a while. Connected clients must be served, a new client is served once
// a descriptor is available, and the log has one line about it.
void noDescriptors() {
  FakeNode node({"slow"});
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), singleNodeList(node));
  Peer busy = router.client();
  busy.send(statement("slow", "write"));
  node.events.waitFor("received slow");
  router.limitDescriptors(3);
  Peer newClient = Peer::to(router.port());
  newClient.send(postgres::startup("worker", "catalog") + statement("added", "write"));
  router.waitForLine("no new client can be accepted");
  node.releaseAnswer("slow");
  std::cout << "served meanwhile: " << busy.answer() << "\n";
  node.events.waitFor("idle");
  router.limitDescriptors(256);
  newClient.answer();
  std::cout << "new client: " << newClient.answer() << "\n";
  std::cout << "log lines: " << router.countLines("no new client can be accepted") << "\n";
}

// A client that keeps its end open while the router closes the connection uses one of the client connections
// only for a limited time.
void closeTimeout() {
  FakeNode node;
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), singleNodeList(node));
  std::vector<Peer> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(router.client());
    clients.back().send(postgres::message('x', "nonsense"));
  }
  int errorCount = 0;
  for (Peer& peer : clients) errorCount += peer.answer() == "E(08P01) end";
  std::cout << errorCount << " received the error, and none has closed its end\n";
  std::cout << "ended: " << router.countLines("ended") << "\n";
}

// More connections are being closed than the client limit allows, no client closes its end, and the close
// timeout has not expired. The oldest of them are dropped, each new client still receives its error, and a
// further client is served.
void closeAtClientLimit() {
  FakeNode node;
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), singleNodeList(node), 60000, 64);
  std::vector<Peer> clients;
  int errorCount = 0;
  for (int i = 0; i < 100; ++i) {
    clients.push_back(Peer::to(router.port()));
    clients.back().send(postgres::startup("worker", "catalog") + postgres::message('x', "nonsense"));
    clients.back().answer();
    errorCount += clients.back().answer() == "E(08P01) end";
  }
  std::cout << errorCount << " received the error\n";
  Peer staying = router.client();
  staying.send(statement("next", "read"));
  std::cout << staying.answer() << "the node received " << node.receivedKeys() << "\n";
}

}  // namespace

int main(int count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  spdlog::set_level(spdlog::level::off);
  const std::map<std::string, void (*)()> cases{
      {"reset-while-connecting", resetWhileConnecting},
      {"disconnect-with-queued-statements", disconnectWithQueuedStatements},
      {"disconnect-with-unread-statements", disconnectWithUnreadStatements},
      {"reset-with-greeting", resetWithGreeting},
      {"pipelined", pipelined},
      {"pipelined-unread", pipelinedUnread},
      {"protocol-error", protocolError},
      {"shutdown", gracefulShutdown},
      {"shutdown-with-statement", shutdownWithStatement},
      {"shutdown-with-queued-statements", shutdownWithQueuedStatements},
      {"answer-while-hedge-connects", answerWhileHedgeConnects},
      {"role-lost-while-connecting", roleLostWhileConnecting},
      {"role-lost-behind-many-events", roleLostBehindManyEvents},
      {"role-lost-in-large-answer", roleLostInLargeAnswer},
      {"deduplication-window", deduplicationWindowExpired},
      {"deduplication-window-partial-write", deduplicationWindowExpiredInWrite},
      {"broken-answers", brokenAnswers},
      {"floods", floods},
      {"no-descriptors", noDescriptors},
      {"close-timeout", closeTimeout},
      {"close-at-client-limit", closeAtClientLimit},
      {"signal-at-start", signalAtStart},
      {"idle-node-connection", idleNodeConnection}};
  const auto found = count == 2 ? cases.find(arguments[1]) : cases.end();
  if (found == cases.end()) return 2;
  found->second();
}
