// Drains, against attempts that wait for a connection, are retried or are released.
#include "faults/machine.h"
#include "scratch.h"
#include "watches/cases.h"
#include "watches/setup.h"

namespace gulltrestle::watches_test {

// The drain arrives while a statement waits for a connection to be established, in the same turn as the
// node's greeting or in an earlier one.
void drainWhileConnecting() {
  for (const bool inSameTurn : {false, true}) {
    FakeNode first({}, 0), second;
    FakeDiscovery discovery(bothNodesList(1, first, second, "up"));
    Program router(discovery.port(), bothNodesList(1, first, second, "up"), 20000);
    discovery.events.waitFor("watch");
    Peer client = router.client();
    client.send(write("k"));
    first.events.waitFor("connection");
    if (inSameTurn) router.suspend();
    discovery.sendUpdate(bothNodesList(2, first, second, "draining", false) + "\n");
    if (!inSameTurn) router.waitForLine("list version 2");
    first.events.signal("greet");
    if (inSameTurn) {
      first.events.waitFor("greeted");
      router.resume();
    }
    std::cout << (inSameTurn ? "in the same turn: " : "in separate turns: ") << client.answer()
              << "first received " << first.receivedKeys() << ", second received " << second.receivedKeys()
              << "\n";
  }
}

// The same, but the connection was already reported by the previous epoll_wait. Level-triggered descriptors
// stay first in epoll's ready list, so the node's greeting is reported before the drain, which arrived
// earlier.
void drainBeforeGreeting() {
  const std::string folder = scratchFolder("watches");
  faults::FaultController machine(folder + "/machine", 1);
  FakeNode first({}, 0), second;
  FakeDiscovery discovery(bothNodesList(1, first, second, "up"));
  Program router(discovery.port(), bothNodesList(1, first, second, "up"), 20000, 256, 0, "",
                 R"("probes":true,"cancel":true)",
                 {"LD_PRELOAD=" GULLTRESTLE_BAD_MACHINE_LIBRARY, "ASAN_OPTIONS=verify_asan_link_order=0",
                  machine.variable()});
  discovery.events.waitFor("watch");
  Peer client = router.client();
  machine.blockAfterStartup();
  client.send(write("k"));
  if (!machine.waitUntilBlocked()) std::cout << "the wait was not blocked\n";
  first.events.waitFor("connection");
  discovery.sendUpdate(bothNodesList(2, first, second, "draining", false) + "\n");
  first.events.signal("greet");
  first.events.waitFor("greeted");
  machine.release();
  std::cout << client.answer() << "first received " << first.receivedKeys() << ", second received "
            << second.receivedKeys() << "\n";
}

// The drain arrives in the same turn as a statement, before or after it.
void drainWithStatement() {
  for (const bool isDrainFirst : {true, false}) {
    FakeNode first, second;
    FakeDiscovery discovery(bothNodesList(1, first, second, "up"));
    Program router(discovery.port(), bothNodesList(1, first, second, "up"));
    discovery.events.waitFor("watch");
    Peer client = router.client();
    client.send(write("before"));
    client.answer();
    router.suspend();
    if (isDrainFirst) discovery.sendUpdate(bothNodesList(2, first, second, "draining", false) + "\n");
    client.send(write("k"));
    if (!isDrainFirst) discovery.sendUpdate(bothNodesList(2, first, second, "draining", false) + "\n");
    router.resume();
    std::cout << (isDrainFirst ? "the drain first: " : "the statement first: ") << client.answer()
              << "first received " << first.receivedKeys() << ", second received " << second.receivedKeys()
              << "\n";
  }
}

// The node starts to drain in the same turn in which its connection breaks before the answer. The retry goes
// to the other node.
void drainAtRetry() {
  FakeNode first({"breaks"}), second;
  FakeDiscovery discovery(bothNodesList(1, first, second, "up"));
  Program router(discovery.port(), bothNodesList(1, first, second, "up"));
  discovery.events.waitFor("watch");
  Peer client = router.client();
  client.send(
      query("SELECT body FROM objects WHERE oid = 'breaks' /* " + nextId() + ",c=read,d=60000,cluster=1 */"));
  first.events.waitFor("received breaks");
  router.suspend();
  discovery.sendUpdate(bothNodesList(2, first, second, "draining", false) + "\n");
  first.releaseAnswer("breaks");
  first.events.waitFor("broke");
  router.resume();
  std::cout << client.answer() << "first received " << first.receivedKeys() << ", second received "
            << second.receivedKeys() << "\n";
}

// A statement is queued because there is no primary. In one turn a primary is listed and starts to drain;
// then the same in the other order. The last update counts.
void drainAtRelease() {
  for (const bool isDrainLast : {true, false}) {
    FakeNode first, second;
    const auto listOf = [&](int version, const std::string& state, bool isSnapshot = false) {
      return endpointListJson(
          version, entryOf(first, "s-1", "draining", false) + "," + entryOf(second, "s-2", state, true),
          isSnapshot);
    };
    const auto withoutPrimary = endpointListJson(1, entryOf(first, "s-1", "draining", false));
    FakeDiscovery discovery(withoutPrimary);
    Program router(discovery.port(), withoutPrimary);
    discovery.events.waitFor("watch");
    Peer client = router.client();
    client.send(write("k"));
    router.waitUntilIdle();
    router.suspend();
    discovery.sendUpdate(listOf(2, isDrainLast ? "up" : "draining") + "\n");
    discovery.sendUpdate(listOf(3, isDrainLast ? "draining" : "up") + "\n");
    router.resume();
    router.waitForLine("list version 3");
    router.waitUntilIdle();
    std::cout << (isDrainLast ? "listed, then drained: " : "drained, then listed: ");
    if (isDrainLast) {
      std::cout << "second received " << second.receivedKeys() << "; ";
      discovery.sendUpdate(listOf(4, "up") + "\n");
    }
    std::cout << client.answer() << "first received " << first.receivedKeys() << ", second received "
              << second.receivedKeys() << "\n";
  }
}

}  // namespace gulltrestle::watches_test
