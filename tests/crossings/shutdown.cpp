// Shutdown of the program, against statements and signals.
#include "crossings/cases.h"
#include "crossings/setup.h"

namespace gulltrestle::crossings_test {

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

}  // namespace gulltrestle::crossings_test
