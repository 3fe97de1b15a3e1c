// Requests that cross the close of their connection: the router has sent the end of the stream, and its
// client has not seen it yet.
#include "crossings/cases.h"
#include "crossings/setup.h"

namespace gulltrestle::crossings_test {

namespace {

// Far longer than the router waits for a client after the end of the stream.
constexpr auto kResetTimeout = std::chrono::seconds(8);
// Descriptors of a router that serves few clients, and more clients than that.
constexpr int kDescriptors = 64, kManyClients = 48;

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

// Guards against answers that are lost because their connection is reset, over a request that crosses its
// close, while the network holds the answers up: here in the router's send buffer.
void answerInTransitAtClose() {
  constexpr std::size_t kValueBytes = 8000;
  // The router waits half a second for clients that have received everything.
  constexpr auto kHoldUp = std::chrono::milliseconds(1200);
  for (const bool halfCloses : {false, true}) {
    FakeNode node({"slow"});
    node.padValues(kValueBytes);
    FakeServer discovery(silentDiscovery);
    LogSettings logging;
    Program router(discovery.port(), singleNodeList(node), 250, 256, 0, "", R"("probes":true,"cancel":true)",
                   {logging.variable()});
    Peer client = Peer::withSmallBuffer(router.port());
    client.send(postgres::startup("worker", "catalog"));
    client.answer();
    client.send(statement("slow", "write"));
    node.events.waitFor("received slow");
    router.signal(SIGTERM);
    router.waitForLine("accepts no more clients");
    node.releaseAnswer("slow");
    router.waitForLine("event=client.closed");
    client.send(statement("crossing", "write"));
    client.waitUntilDelivered();
    if (halfCloses) client.closeSending();
    sleepUntil(Clock::now() + kHoldUp);
    std::cout << (halfCloses ? "half closed: " : "open: ") << client.answer() << client.answer()
              << "; the node received " << node.receivedKeys() << "\n";
  }
}

// Guards against requests that are lost because their connection is closed to make room for a new client when
// a part of them has been read.
void halfRequestAtClientLimit() {
  FakeNode node;
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), singleNodeList(node), 60000, kDescriptors);
  const std::string half = statement("half", "write");
  Peer client = router.client();
  client.send(half.substr(0, 40));
  router.waitUntilIdle();
  std::vector<Peer> others;
  for (int i = 0; i < kManyClients; ++i) others.push_back(router.client());
  std::cout << "an idle one is closed: " << others.front().remoteClosed() << "\n";
  client.send(half.substr(40));
  std::cout << "half a request: " << client.answer() << "\n";
}

// Guards against the same where the request lies in the socket, unread: a client that is connected gets its
// answer, not a close. It comes while the router stands still, behind new clients.
void requestInSocketAtClientLimit() {
  FakeNode node;
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), singleNodeList(node), 60000, kDescriptors);
  Peer client = router.client();
  std::vector<Peer> others;
  for (int i = 0; i < kManyClients && !client.remoteClosed(); ++i) {
    others.push_back(router.client());
    client.send(query(""));  // it is the one that was idle last
    client.answer();
  }
  for (Peer& other : others) {
    other.send(query(""));
    other.answer();
  }
  router.suspend();
  std::vector<Peer> late;
  for (int i = 0; i < 4; ++i) late.push_back(Peer::to(router.port()));
  client.send(statement("in-socket", "write"));
  client.waitUntilDelivered();
  router.resume();
  std::cout << "in the socket: " << client.answer() << "\n";
}

}  // namespace gulltrestle::crossings_test
