// Requests that cross the close of their connection: the router has sent the end of the stream, and its
// client has not seen it yet.
#include "crossings/cases.h"
#include "crossings/setup.h"

namespace gulltrestle::crossings_test {

namespace {

// Far longer than the router waits for a client after the end of the stream.
constexpr auto kResetTimeout = std::chrono::seconds(8);

// Sends a statement after the end of the stream has arrived, and prints what the client receives and whether
// the router has read the statement: a client may only repeat one that was not read.
void crossClose(const std::string& name, Peer& client) {
  client.waitUntilRemoteClosed();
  client.send(statement("crossing", "write"));
  std::cout << name << ": " << client.answer();
  std::cout << (client.isResetWithin(kResetTimeout) ? ", not read\n" : ", READ AND NOT ANSWERED\n");
}

}  // namespace

// Guards against requests that the router reads and discards after it has closed their idle connection in a
// shutdown.
void requestCrossesShutdown() {
  FakeNode node({"slow"});
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), singleNodeList(node));
  Peer idle = router.client(), busy = router.client();
  idle.send(query(""));
  idle.answer();
  busy.send(statement("slow", "write"));
  node.events.waitFor("received slow");
  router.signal(SIGTERM);
  router.waitForLine("shutdown requested");
  router.signal(SIGTERM);
  router.signal(SIGHUP);
  router.waitForLine("accepts no more clients");
  crossClose("idle", idle);
  node.releaseAnswer("slow");
  std::cout << "busy: " << busy.answer() << "\n";
  crossClose("after its answer", busy);
  std::cout << "the node received " << node.receivedKeys() << "\n";
}

// Guards against the same where the router closes connections at other times: the longest idle ones to make
// room for new clients, after errors, and after a time limit.
void requestCrossesClose() {
  constexpr int kDescriptors = 64;
  FakeNode node;
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), singleNodeList(node), 250, kDescriptors);
  Peer invalid = router.client();
  invalid.send(postgres::message('x', "nonsense"));
  crossClose("after an error", invalid);
  Peer incomplete = router.client();
  incomplete.send(statement("incomplete", "write").substr(0, 40));
  crossClose("after a time limit", incomplete);
  Peer idle = router.client();
  std::vector<Peer> others;
  for (int i = 0; i < kDescriptors && !idle.remoteClosed(); ++i) others.push_back(router.client());
  crossClose("closed to make room", idle);
  std::cout << "the node received " << node.receivedKeys() << "\n";
}

}  // namespace gulltrestle::crossings_test
