// Clients that disconnect, pipeline, violate the protocol or flood, against what the router does meanwhile.
#include "crossings/cases.h"
#include "crossings/setup.h"

namespace gulltrestle::crossings_test {

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

namespace {

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

}  // namespace

void disconnectWithQueuedStatements() { disconnectWithStatements(0); }
// The client has pipelined so much that the router has stopped reading from it when it disconnects.
void disconnectWithUnreadStatements() { disconnectWithStatements(48 * 1024); }

// Guards against attempts for clients that closed their connections with much unread: the end of the stream,
// behind that data, was never seen. The statement waits for a connection to the node until the router has
// closed the client's.
void closeBehindUnreadStatements() {
  constexpr std::size_t kValueBytes = 30'000;
  constexpr int kStatements = 30;
  FakeNode node({}, 0);
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), singleNodeList(node), 20000);
  Peer leaving = router.client();
  std::string statements;
  for (int i = 0; i < kStatements; ++i) statements += statement("gone", "write", 60000, kValueBytes);
  leaving.sendWithoutWaiting(statements);
  node.events.waitFor("connection");
  leaving.close(std::chrono::seconds(4));  // less than the deadline of a write
  router.waitUntilIdle();
  Peer staying = router.client();
  staying.send(statement("next", "write"));
  router.waitUntilIdle();
  node.events.signal("greet");
  std::cout << staying.answer() << "the node received " << node.receivedKeys() << "\n";
}

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
  for (int i = 0; i < 61; ++i) {
    // While statements are unread the router checks by notices whether the client is connected.
    std::string answer = client.answer();
    const std::string notice = "N ";
    while (answer.starts_with(notice)) answer.erase(0, notice.size());
    ++answerCounts[answer];
  }
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

}  // namespace gulltrestle::crossings_test
