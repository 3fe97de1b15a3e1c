// Attempts that wait for a connection to a node or are written in part, against what nodes report, answer or
// close meanwhile.
#include "crossings/cases.h"
#include "crossings/setup.h"

namespace gulltrestle::crossings_test {

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

namespace {

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

}  // namespace

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

}  // namespace gulltrestle::crossings_test
