// Endpoint lists and watch events that are late, cut, malformed, lost or moved.
#include "watches/cases.h"
#include "watches/setup.h"

namespace gulltrestle::watches_test {

void splitUpdates() {
  FakeNode first, second;
  FakeDiscovery discovery(bothNodesList(1, first, second, "up"));
  Program router(discovery.port(), bothNodesList(1, first, second, "up"));
  discovery.events.waitFor("watch");
  router.waitForLine("list version 1");
  const auto update = "\n\n" + indented(bothNodesList(2, first, second, "draining", false)) + "\n";
  discovery.sendUpdate(update, 7);
  router.waitForLine("list version 2");
  printWrite(router, first, second, "indented and in pieces of 7 bytes");
  discovery.sendUpdate(bothNodesList(3, first, second, "up", false) +
                       bothNodesList(4, first, second, "draining", false) + "\n\n");
  router.waitForLine("list version 4");
  printWrite(router, first, second, "two updates without a line break between them");
  std::cout << "full list calls: " << discovery.listCalls() << "\n";
}

void watchReset() {
  FakeNode first, second;
  FakeDiscovery discovery(bothNodesList(1, first, second, "up"));
  Program router(discovery.port(), bothNodesList(1, first, second, "up"));
  discovery.events.waitFor("watch");
  discovery.setFullList(bothNodesList(2, first, second, "draining"));
  discovery.resetWatch();
  router.waitForLine("list version 2");
  printWrite(router, first, second, "the watch was reset before the change");
}

// The watch sends nothing after its first line.
void silentWatch() {
  FakeNode first, second;
  FakeDiscovery discovery(bothNodesList(1, first, second, "up"));
  Program router(discovery.port(), bothNodesList(1, first, second, "up"));
  discovery.events.waitFor("watch");
  discovery.setFullList(bothNodesList(2, first, second, "draining"));
  discovery.events.waitFor("list", 2);
  router.waitForLine("list version 2");
  printWrite(router, first, second, "the watch became silent before the change");
}

// List calls that are never answered, rejected, cut off or answered with invalid data are repeated.
void failedListCalls() {
  FakeNode first, second;
  FakeDiscovery discovery(bothNodesList(9, first, second, "draining"));
  const auto body = bothNodesList(2, first, second, "up");
  discovery.nextList([](Peer& peer) { peer.readMore(); });
  discovery.nextList([](Peer& peer) { peer.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"); });
  discovery.nextList([&](Peer& peer) { peer.send(http(body).substr(0, 150)); });
  discovery.nextList([](Peer& peer) { peer.send("no HTTP at all\r\n\r\n"), peer.readMore(); });
  discovery.nextList([&](Peer& peer) { peer.send(http(body + "}")), peer.readMore(); });
  Program router(discovery.port(), endpointListJson(0, ""));
  Peer client = Peer::to(router.port());
  client.send(postgres::startup("worker", "catalog") + query(""));
  client.answer();
  std::cout << client.answer() << "after " << discovery.listCalls() << " calls\n";
  printWrite(router, first, second, "by the first complete list");
}

// An answer without a content length ends when its connection is closed. A reset is not such an end, even if
// the document is complete.
void answerWithoutLength() {
  FakeNode first, second;
  FakeDiscovery discovery(bothNodesList(9, first, second, "draining"));
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  Events events;
  discovery.nextList([&](Peer& peer) {
    peer.send(head + bothNodesList(2, first, second, "up"));
    events.waitFor("read");
    peer.reset();
  });
  discovery.nextList(
      [&](Peer& peer) { peer.send(head + bothNodesList(3, first, second, "draining")), peer.close(); });
  Program router(discovery.port(), endpointListJson(0, ""));
  discovery.events.waitFor("list");
  Peer client = Peer::to(router.port());
  client.send(postgres::startup("worker", "catalog"));
  client.answer();  // one turn of the event loop after the bytes arrived
  events.signal("read");
  std::cout << "version 2 was applied first: ";
  std::cout << !router.waitForLine("list version 3") << "\n";
  printWrite(router, first, second, "by the answer that ended with a close");
}

void nodeMissingFromList() {
  FakeNode first, second;
  FakeDiscovery discovery(endpointListJson(2, entryOf(second, "s-2", "up", true)));
  Program router(discovery.port(), bothNodesList(1, first, second, "up"));
  router.waitForLine("list version 2");
  discovery.events.waitFor("watch");
  printWrite(router, first, second, "a full list without the primary");
}

// The router is suspended after a list call for longer than the timeout of the call. The answer has arrived
// when it is resumed, and must be applied. A call that the router had abandoned before it was suspended is
// skipped.
void stoppedProcess() {
  FakeNode first, second;
  FakeDiscovery discovery(bothNodesList(9, first, second, "up"));
  Events events;
  std::optional<Program> router;
  const std::string answer = http(bothNodesList(5, first, second, "draining"));
  for (int i = 0; i < 12; ++i)
    discovery.nextList([&](Peer& peer) {
      if (!events.has("started")) return void(peer.readMore());
      router->suspend();
      const bool isAwaited = !peer.remoteClosed();
      if (isAwaited) {
        peer.send(answer);
        sleepUntil(Clock::now() + std::chrono::milliseconds(800));
      }
      router->resume();
      if (isAwaited) peer.readMore();
    });
  router.emplace(discovery.port(), bothNodesList(1, first, second, "up"));
  events.signal("started");
  router->waitForLine("list version");
  printWrite(*router, first, second, "by the first answer that had arrived");
}

// With polled lists, the router first opens a watch from the known version, and opens it again after
// rejections. Only an update that can't be parsed causes a call for the full list.
void polledLists() {
  FakeNode first, second;
  FakeDiscovery discovery(bothNodesList(9, first, second, "up"));
  const auto reject = [](Peer& peer) { peer.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"); };
  discovery.nextWatch(reject);
  discovery.nextWatch(reject);
  Program router(discovery.port(), bothNodesList(1, first, second, "up"), 250, 256, 0,
                 R"("discovery":"on_request",)");
  discovery.events.waitFor("watch", 3);
  discovery.sendUpdate(bothNodesList(2, first, second, "draining", false) + "\n");
  router.waitForLine("list version 2");
  printWrite(router, first, second, "rejected twice, then updated");
  discovery.resetWatch();
  discovery.events.waitFor("watch", 4);
  std::cout << "full list calls after a reset: " << discovery.listCalls() << "\n";
  discovery.sendUpdate("no list\n");
  router.waitForLine("list version 9");
  std::cout << "and after an update that can't be parsed: " << discovery.listCalls() << "\n";
  printWrite(router, first, second, "by the full list");
}

// SIGHUP changes the address of discovery. An update from the old address arrives in the same turn, before or
// after the signal.
void discoveryMoves() {
  for (const bool isUpdateFirst : {true, false}) {
    FakeNode first, second;
    FakeDiscovery oldDiscovery(bothNodesList(1, first, second, "up")),
        newDiscovery(bothNodesList(7, first, second, "draining"));
    Program router(oldDiscovery.port(), bothNodesList(1, first, second, "up"));
    oldDiscovery.events.waitFor("watch");
    router.waitForLine("list version 1");
    router.configure(newDiscovery.port(), bothNodesList(1, first, second, "up"));
    router.suspend();
    const auto update = bothNodesList(8, first, second, "up", false) + "\n";
    if (isUpdateFirst) oldDiscovery.sendUpdate(update);
    router.signal(SIGHUP);
    if (!isUpdateFirst) oldDiscovery.sendUpdate(update);
    router.resume();
    newDiscovery.events.waitFor("watch");
    router.waitUntilIdle();
    printWrite(router, first, second, isUpdateFirst ? "the update first" : "the signal first");
  }
}

}  // namespace gulltrestle::watches_test
