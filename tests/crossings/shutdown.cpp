// Shutdown of the program, against statements and signals.
#include "crossings/cases.h"
#include "crossings/setup.h"

namespace gulltrestle::crossings_test {

namespace {

// SIGKILL comes no earlier than this after SIGTERM, as the deadlines of the classes are above 3 s.
constexpr auto kEarliestKill = std::chrono::milliseconds(3700);

}  // namespace

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

// Guards against requests without an answer when SIGKILL comes (review/14): the primary hangs, and the
// clients wait longer than that. One was there before; of the others the rest of the startup, of the TLS
// request and of the first statement comes after the listener has closed.
void shutdownWhilePrimaryHangs() {
  const std::string startup = postgres::startup("worker", "catalog");
  const std::string tlsRequest("\0\0\0\x08\x04\xd2\x16\x2f", 8);
  const std::string first = statement("first", "write");
  FakeNode hungNode({"before", "late", "tls", "first"});
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), singleNodeList(hungNode));
  Peer before = router.client();
  before.send(statement("before", "write"));
  hungNode.events.waitFor("received before");
  Peer late = Peer::to(router.port()), tls = Peer::to(router.port()), firstInPieces = router.client();
  const auto killAt = Clock::now() + kEarliestKill;
  router.signal(SIGTERM);
  late.send(startup.substr(0, 8));
  tls.send(tlsRequest.substr(0, 4));
  firstInPieces.send(first.substr(0, 40));
  router.waitForLine("accepts no more clients");
  late.send(startup.substr(8) + statement("late", "write"));
  firstInPieces.send(first.substr(40));
  tls.send(tlsRequest.substr(4));
  std::cout << "TLS request: " << tls.byte() << "\n";
  tls.send(startup + statement("tls", "write"));
  late.answer();
  tls.answer();
  std::cout << "there before: " << before.answer() << before.answer() << "\n";
  std::cout << "startup in pieces: " << late.answer() << late.answer() << "\n";
  std::cout << "after the TLS request: " << tls.answer() << tls.answer() << "\n";
  std::cout << "first statement in pieces: " << firstInPieces.answer() << firstInPieces.answer() << "\n";
  std::cout << "answered before SIGKILL can come: " << (Clock::now() < killAt) << "\n";
  for (const std::string key : {"before", "late", "tls", "first"}) hungNode.releaseAnswer(key);
}

// Guards against the same at a process that is stopped when SIGTERM comes, and notices it a second later.
void shutdownOfStoppedProcess() {
  constexpr auto kStopTime = std::chrono::seconds(1);
  FakeNode hungNode({"before", "meanwhile"});
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), singleNodeList(hungNode));
  Peer before = router.client(), idle = router.client();
  before.send(statement("before", "write"));
  hungNode.events.waitFor("received before");
  router.suspend();
  const auto terminatedAt = Clock::now();
  router.signal(SIGTERM);
  idle.send(statement("meanwhile", "write"));
  sleepUntil(terminatedAt + kStopTime);
  router.resume();
  std::cout << "there before: " << before.answer() << before.answer() << "\n";
  std::cout << "came meanwhile: " << idle.answer() << idle.answer() << "\n";
  std::cout << "answered before SIGKILL can come: " << (Clock::now() < terminatedAt + kEarliestKill) << "\n";
  for (const std::string key : {"before", "meanwhile"}) hungNode.releaseAnswer(key);
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

}  // namespace gulltrestle::crossings_test
