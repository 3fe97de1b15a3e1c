// Endpoint lists and drains that race with other events, on real connections to the program itself;
// docs/crossings.md has the table. `watches CASE` prints what the clients and nodes received.
#include <spdlog/spdlog.h>

#include "faults/machine.h"
#include "lists.h"
#include "scratch.h"

using namespace gulltrestle;
using namespace gulltrestle::testing;

namespace {

std::string write(const std::string& key) {
  return query("INSERT INTO objects (oid, body) VALUES ('" + key + "', '\\x77') RETURNING body /* " +
               nextId() + ",c=write,d=60000,cluster=1 */");
}

// Returns an entry of the endpoint list.
std::string entryOf(const FakeNode& node, const std::string& id, const std::string& state, bool primary) {
  auto entry = endpointEntryJson(node.server(), id, state);
  if (!primary) entry.replace(entry.find("master"), 6, "replica");
  return entry;
}
// Returns a list of two nodes. The first is the primary if it is up; otherwise the second is.
std::string bothNodesList(int version, const FakeNode& first, const FakeNode& second,
                          const std::string& stateOfFirst, bool isSnapshot = true) {
  const bool drains = stateOfFirst != "up";
  return endpointListJson(
      version, entryOf(first, "s-1", stateOfFirst, !drains) + "," + entryOf(second, "s-2", "up", drains),
      isSnapshot);
}

// Breaks the JSON into many lines.
std::string indented(const std::string& json) {
  std::string result;
  for (const char c : json) {
    result += c;
    if (c == '{' || c == '[' || c == ',') result += "\n   ";
  }
  return result;
}

// Sends a write and prints its answer and what both nodes have received.
void printWrite(Program& router, FakeNode& first, FakeNode& second, const std::string& title) {
  Peer client = router.client();
  client.send(write("k"));
  std::cout << title << ": " << client.answer() << "first received " << first.receivedKeys()
            << ", second received " << second.receivedKeys() << "\n";
}

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

// --- Drains

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

// --- Descriptors and starts

// Idle clients use all client connections while discovery is down. The router must still notice when
// discovery is available again.
void discoveryAtClientLimit() {
  FakeNode first, second;
  FakeDiscovery discovery(bothNodesList(5, first, second, "draining"));
  Events events;
  for (int i = 0; i < 200; ++i)
    discovery.nextList([&](Peer& peer) {
      if (events.has("back")) return peer.send(http(bothNodesList(5, first, second, "draining")));
      peer.readMore();
    });
  Program router(discovery.port(), bothNodesList(1, first, second, "up"), 250, 64);
  std::vector<Peer> idle;
  int answered = 0;
  for (int i = 0; i < 70; ++i) {
    idle.push_back(router.client());
    idle.back().send(query(""));
    answered += idle.back().answer() == "I Z ";
  }
  std::cout << answered << " connected one after another and stayed idle\n";
  events.signal("back");
  router.waitForLine("list version 5");
  printWrite(router, first, second, "an additional client");
}

// The configured node is not running, and discovery never answers. The router must still accept clients, and
// answer each statement before its deadline.
void startWithoutDiscovery() {
  unsigned short unusedPort = 0;
  {
    FakeNode gone;
    unusedPort = gone.port();
  }
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), R"({"version":1,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:)" +
                                       std::to_string(unusedPort) +
                                       R"(","zone":"a","cell":1,"state":"up","part":"master"}]})");
  Peer client = router.client();
  client.send(query("") + query("SELECT body FROM objects WHERE oid = 'k' /* " + nextId() +
                                ",c=read,d=500,cluster=1 */"));
  std::cout << client.answer() << client.answer() << "\n";
}

// Thirty routers start at the same moment with an outdated list. Each must accept clients, serve by the new
// list and exit with code 0.
void simultaneousStarts() {
  FakeNode first, second;
  FakeDiscovery discovery(bothNodesList(5, first, second, "draining"));
  std::atomic<int> ready = 0, served = 0, ended = 0;
  Events events;
  std::vector<std::jthread> routers;
  for (int i = 0; i < 30; ++i)
    routers.emplace_back([&, i] {
      events.waitFor("start");
      Program router(discovery.port(), bothNodesList(1, first, second, "up"));
      Peer client = router.client();
      client.send(query(""));
      ready += client.answer() == "I Z ";
      router.waitForLine("list version 5");
      client.send(write("k" + std::to_string(i)));
      served += client.answer().starts_with("T D");
      ended += router.end() == 0;
    });
  events.signal("start");
  routers.clear();
  const auto receivedKeys = second.receivedKeys();
  std::cout << ready << " ready, " << served << " served, " << ended << " ended with code 0; first received "
            << first.receivedKeys() << ", second "
            << 1 + std::count(receivedKeys.begin(), receivedKeys.end(), ' ') << "\n";
}

}  // namespace

int main(int count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  spdlog::set_level(spdlog::level::off);
  const std::map<std::string, void (*)()> cases{{"split-updates", splitUpdates},
                                                {"watch-reset", watchReset},
                                                {"silent-watch", silentWatch},
                                                {"failed-list-calls", failedListCalls},
                                                {"answer-without-length", answerWithoutLength},
                                                {"node-missing-from-list", nodeMissingFromList},
                                                {"stopped-process", stoppedProcess},
                                                {"polled-lists", polledLists},
                                                {"discovery-moves", discoveryMoves},
                                                {"drain-connecting", drainWhileConnecting},
                                                {"drain-greeting", drainBeforeGreeting},
                                                {"drain-with-statement", drainWithStatement},
                                                {"drain-retry", drainAtRetry},
                                                {"drain-release", drainAtRelease},
                                                {"discovery-at-client-limit", discoveryAtClientLimit},
                                                {"start-without-discovery", startWithoutDiscovery},
                                                {"simultaneous-starts", simultaneousStarts}};
  const auto found = count == 2 ? cases.find(arguments[1]) : cases.end();
  if (found == cases.end()) return 2;
  found->second();
}
