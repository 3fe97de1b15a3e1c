// Endpoint lists and drains that race with other events, on real connections with the program itself:
// docs/crossings.md has the table. Run as `watches CASE`: prints what each side saw.
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

// An entry of the list.
std::string entryOf(const Node& node, const std::string& id, const std::string& state, bool primary) {
  auto text = entry(node.side(), id, state);
  if (!primary) text.replace(text.find("master"), 6, "replica");
  return text;
}
// Two nodes: the first is the primary, or drains and the second one is.
std::string both(int version, const Node& first, const Node& second, const std::string& stateOfFirst,
                 bool isSnapshot = true) {
  const bool drains = stateOfFirst != "up";
  return list(version,
              entryOf(first, "s-1", stateOfFirst, !drains) + "," + entryOf(second, "s-2", "up", drains),
              isSnapshot);
}

// The JSON over many lines.
std::string indented(const std::string& text) {
  std::string out;
  for (const char c : text) {
    out += c;
    if (c == '{' || c == '[' || c == ',') out += "\n   ";
  }
  return out;
}

// Sends a write and prints its answer, and what both nodes saw.
void printWrite(Program& router, Node& first, Node& second, const std::string& title) {
  Peer client = router.client();
  client.send(write("k"));
  std::cout << title << ": " << client.answer() << "first saw " << first.saw() << ", second saw "
            << second.saw() << "\n";
}

void splitUpdates() {
  Node first, second;
  Lists discovery(both(1, first, second, "up"));
  Program router(discovery.port(), both(1, first, second, "up"));
  discovery.events.await("watch");
  router.says("list version 1");
  const auto text = "\n\n" + indented(both(2, first, second, "draining", false)) + "\n";
  discovery.tell(text, 7);
  router.says("list version 2");
  printWrite(router, first, second, "indented and in pieces of 7 bytes");
  discovery.tell(both(3, first, second, "up", false) + both(4, first, second, "draining", false) + "\n\n");
  router.says("list version 4");
  printWrite(router, first, second, "two in a row, no line between");
  std::cout << "calls for the whole list: " << discovery.calls() << "\n";
}

void watchReset() {
  Node first, second;
  Lists discovery(both(1, first, second, "up"));
  Program router(discovery.port(), both(1, first, second, "up"));
  discovery.events.await("watch");
  discovery.whole(both(2, first, second, "draining"));
  discovery.resetWatch();
  router.says("list version 2");
  printWrite(router, first, second, "the watch was reset before the change");
}

// The watch is silent from its first line on.
void silentWatch() {
  Node first, second;
  Lists discovery(both(1, first, second, "up"));
  Program router(discovery.port(), both(1, first, second, "up"));
  discovery.events.await("watch");
  discovery.whole(both(2, first, second, "draining"));
  discovery.events.await("list", 2);
  router.says("list version 2");
  printWrite(router, first, second, "the watch fell silent before the change");
}

// Requests that are never answered, rejected, broken off or answered with nonsense are repeated.
void failedListCalls() {
  Node first, second;
  Lists discovery(both(9, first, second, "draining"));
  const auto body = both(2, first, second, "up");
  discovery.nextList([](Peer& peer) { peer.readMore(); });
  discovery.nextList([](Peer& peer) { peer.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"); });
  discovery.nextList([&](Peer& peer) { peer.send(http(body).substr(0, 150)); });
  discovery.nextList([](Peer& peer) { peer.send("no HTTP at all\r\n\r\n"), peer.readMore(); });
  discovery.nextList([&](Peer& peer) { peer.send(http(body + "}")), peer.readMore(); });
  Program router(discovery.port(), list(0, ""));
  Peer client = Peer::to(router.port());
  client.send(postgres::startup("worker", "catalog") + query(""));
  client.answer();
  std::cout << client.answer() << "after " << discovery.calls() << " calls\n";
  printWrite(router, first, second, "by the first list that was whole");
}

// An answer without a length ends with its connection; a reset is no end, even where the document is
// complete.
void answerWithoutLength() {
  Node first, second;
  Lists discovery(both(9, first, second, "draining"));
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  Events events;
  discovery.nextList([&](Peer& peer) {
    peer.send(head + both(2, first, second, "up"));
    events.await("read");
    peer.reset();
  });
  discovery.nextList([&](Peer& peer) { peer.send(head + both(3, first, second, "draining")), peer.close(); });
  Program router(discovery.port(), list(0, ""));
  discovery.events.await("list");
  Peer client = Peer::to(router.port());
  client.send(postgres::startup("worker", "catalog"));
  client.answer();  // a turn later than the bytes came
  events.happen("read");
  std::cout << "taken first: version 2: ";
  std::cout << !router.says("list version 3") << "\n";
  printWrite(router, first, second, "by the one that ended in order");
}

void nodeMissingFromList() {
  Node first, second;
  Lists discovery(list(2, entryOf(second, "s-2", "up", true)));
  Program router(discovery.port(), both(1, first, second, "up"));
  router.says("list version 2");
  discovery.events.await("watch");
  printWrite(router, first, second, "a whole list without the primary");
}

// The answer to a request for the list is there when a router that was stopped continues, longer after the
// request than it would have waited. A request that it had abandoned before it was stopped is skipped.
void stoppedProcess() {
  Node first, second;
  Lists discovery(both(9, first, second, "up"));
  Events events;
  std::optional<Program> router;
  const std::string answer = http(both(5, first, second, "draining"));
  for (int i = 0; i < 12; ++i)
    discovery.nextList([&](Peer& peer) {
      if (!events.has("started")) return void(peer.readMore());
      router->halt();
      const bool isAwaited = !peer.hasEnded();
      if (isAwaited) {
        peer.send(answer);
        until(Clock::now() + std::chrono::milliseconds(800));
      }
      router->go();
      if (isAwaited) peer.readMore();
    });
  router.emplace(discovery.port(), both(1, first, second, "up"));
  events.happen("started");
  router->says("list version");
  printWrite(*router, first, second, "by the first answer that was there");
}

// Where lists are polled: a watch from the known version comes first, and again after rejections; only an
// update that can't be used costs a request for the whole list.
void polledLists() {
  Node first, second;
  Lists discovery(both(9, first, second, "up"));
  const auto reject = [](Peer& peer) { peer.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"); };
  discovery.nextWatch(reject);
  discovery.nextWatch(reject);
  Program router(discovery.port(), both(1, first, second, "up"), 250, 256, 0, R"("discovery":"on_request",)");
  discovery.events.await("watch", 3);
  discovery.tell(both(2, first, second, "draining", false) + "\n");
  router.says("list version 2");
  printWrite(router, first, second, "refused twice, then told");
  discovery.resetWatch();
  discovery.events.await("watch", 4);
  std::cout << "calls for the whole list after a reset: " << discovery.calls() << "\n";
  discovery.tell("no list\n");
  router.says("list version 9");
  std::cout << "and after a change that can't be read: " << discovery.calls() << "\n";
  printWrite(router, first, second, "by that list");
}

// SIGHUP moves discovery; an update of the old one arrives in the same turn, before or after.
void discoveryMoves() {
  for (const bool isUpdateFirst : {true, false}) {
    Node first, second;
    Lists oldDiscovery(both(1, first, second, "up")), newDiscovery(both(7, first, second, "draining"));
    Program router(oldDiscovery.port(), both(1, first, second, "up"));
    oldDiscovery.events.await("watch");
    router.says("list version 1");
    router.configure(newDiscovery.port(), both(1, first, second, "up"));
    router.halt();
    const auto update = both(8, first, second, "up", false) + "\n";
    if (isUpdateFirst) oldDiscovery.tell(update);
    router.signal(SIGHUP);
    if (!isUpdateFirst) oldDiscovery.tell(update);
    router.go();
    newDiscovery.events.await("watch");
    router.settles();
    printWrite(router, first, second, isUpdateFirst ? "the old place first" : "the signal first");
  }
}

// --- Drains

// The drain arrives while the connection that a statement waits for is being established.
void drainWhileConnecting() {
  for (const bool inSameTurn : {false, true}) {
    Node first({}, 0), second;
    Lists discovery(both(1, first, second, "up"));
    Program router(discovery.port(), both(1, first, second, "up"), 20000);
    discovery.events.await("watch");
    Peer client = router.client();
    client.send(write("k"));
    first.events.await("connection");
    if (inSameTurn) router.halt();
    discovery.tell(both(2, first, second, "draining", false) + "\n");
    if (!inSameTurn) router.says("list version 2");
    first.events.happen("greet");
    if (inSameTurn) {
      first.events.await("greeted");
      router.go();
    }
    std::cout << (inSameTurn ? "in one turn: " : "in two: ") << client.answer() << "first saw " << first.saw()
              << ", second saw " << second.saw() << "\n";
  }
}

// The same where the connection was reported in the wait before: what epoll reports by level stays first in
// its list, and the node's greeting is reported ahead of the drain that arrived before it.
void drainBeforeGreeting() {
  const std::string folder = scratchFolder("watches");
  faults::Machine machine(folder + "/machine", 1);
  Node first({}, 0), second;
  Lists discovery(both(1, first, second, "up"));
  Program router(discovery.port(), both(1, first, second, "up"), 20000, 256, 0, "",
                 R"("probes":true,"cancel":true)",
                 {"LD_PRELOAD=" GULLTRESTLE_BAD_MACHINE_LIBRARY, "ASAN_OPTIONS=verify_asan_link_order=0",
                  machine.variable()});
  discovery.events.await("watch");
  Peer client = router.client();
  machine.holdAfterStartup();
  client.send(write("k"));
  if (!machine.awaitHeld()) std::cout << "it was not held\n";
  first.events.await("connection");
  discovery.tell(both(2, first, second, "draining", false) + "\n");
  first.events.happen("greet");
  first.events.await("greeted");
  machine.release();
  std::cout << client.answer() << "first saw " << first.saw() << ", second saw " << second.saw() << "\n";
}

// The drain arrives in the same turn as a statement, before or after it.
void drainWithStatement() {
  for (const bool isDrainFirst : {true, false}) {
    Node first, second;
    Lists discovery(both(1, first, second, "up"));
    Program router(discovery.port(), both(1, first, second, "up"));
    discovery.events.await("watch");
    Peer client = router.client();
    client.send(write("before"));
    client.answer();
    router.halt();
    if (isDrainFirst) discovery.tell(both(2, first, second, "draining", false) + "\n");
    client.send(write("k"));
    if (!isDrainFirst) discovery.tell(both(2, first, second, "draining", false) + "\n");
    router.go();
    std::cout << (isDrainFirst ? "the drain first: " : "the statement first: ") << client.answer()
              << "first saw " << first.saw() << ", second saw " << second.saw() << "\n";
  }
}

// The node drains as its connection breaks before an answer: the retry goes to the other one.
void drainAtRetry() {
  Node first({"breaks"}), second;
  Lists discovery(both(1, first, second, "up"));
  Program router(discovery.port(), both(1, first, second, "up"));
  discovery.events.await("watch");
  Peer client = router.client();
  client.send(
      query("SELECT body FROM objects WHERE oid = 'breaks' /* " + nextId() + ",c=read,d=60000,cluster=1 */"));
  first.events.await("saw breaks");
  router.halt();
  discovery.tell(both(2, first, second, "draining", false) + "\n");
  first.go("breaks");
  first.events.await("broke");
  router.go();
  std::cout << client.answer() << "first saw " << first.saw() << ", second saw " << second.saw() << "\n";
}

// A statement is held as there is no primary; one is listed, and drains in the same turn. Then in the other
// order: the last update counts.
void drainAtRelease() {
  for (const bool isDrainLast : {true, false}) {
    Node first, second;
    const auto listOf = [&](int version, const std::string& state, bool isSnapshot = false) {
      return list(version,
                  entryOf(first, "s-1", "draining", false) + "," + entryOf(second, "s-2", state, true),
                  isSnapshot);
    };
    const auto withoutPrimary = list(1, entryOf(first, "s-1", "draining", false));
    Lists discovery(withoutPrimary);
    Program router(discovery.port(), withoutPrimary);
    discovery.events.await("watch");
    Peer client = router.client();
    client.send(write("k"));
    router.settles();
    router.halt();
    discovery.tell(listOf(2, isDrainLast ? "up" : "draining") + "\n");
    discovery.tell(listOf(3, isDrainLast ? "draining" : "up") + "\n");
    router.go();
    router.says("list version 3");
    router.settles();
    std::cout << (isDrainLast ? "named, then drained: " : "drained, then named: ");
    if (isDrainLast) {
      std::cout << "second saw " << second.saw() << "; ";
      discovery.tell(listOf(4, "up") + "\n");
    }
    std::cout << client.answer() << "first saw " << first.saw() << ", second saw " << second.saw() << "\n";
  }
}

// --- Descriptors and starts

// Idle clients use all connections that clients may have while discovery is down: its return is noticed all
// the same.
void discoveryAtClientLimit() {
  Node first, second;
  Lists discovery(both(5, first, second, "draining"));
  Events events;
  for (int i = 0; i < 200; ++i)
    discovery.nextList([&](Peer& peer) {
      if (events.has("back")) return peer.send(http(both(5, first, second, "draining")));
      peer.readMore();
    });
  Program router(discovery.port(), both(1, first, second, "up"), 250, 64);
  std::vector<Peer> idle;
  int answered = 0;
  for (int i = 0; i < 70; ++i) {
    idle.push_back(router.client());
    idle.back().send(query(""));
    answered += idle.back().answer() == "I Z ";
  }
  std::cout << answered << " came, one after the other, and rest\n";
  events.happen("back");
  router.says("list version 5");
  printWrite(router, first, second, "one more");
}

// The known node is gone, and discovery is silent: the router serves all the same, and each statement is
// answered in time.
void startWithoutDiscovery() {
  unsigned short unusedPort = 0;
  {
    Node gone;
    unusedPort = gone.port();
  }
  Side discovery(silentDiscovery);
  Program router(discovery.port(), R"({"version":1,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:)" +
                                       std::to_string(unusedPort) +
                                       R"(","zone":"a","cell":1,"state":"up","part":"master"}]})");
  Peer client = router.client();
  client.send(query("") + query("SELECT body FROM objects WHERE oid = 'k' /* " + nextId() +
                                ",c=read,d=500,cluster=1 */"));
  std::cout << client.answer() << client.answer() << "\n";
}

// Thirty routers start at the same moment with an outdated list: each accepts clients, serves by the new list
// and exits with code 0.
void simultaneousStarts() {
  Node first, second;
  Lists discovery(both(5, first, second, "draining"));
  std::atomic<int> ready = 0, served = 0, ended = 0;
  Events events;
  std::vector<std::jthread> routers;
  for (int i = 0; i < 30; ++i)
    routers.emplace_back([&, i] {
      events.await("start");
      Program router(discovery.port(), both(1, first, second, "up"));
      Peer client = router.client();
      client.send(query(""));
      ready += client.answer() == "I Z ";
      router.says("list version 5");
      client.send(write("k" + std::to_string(i)));
      served += client.answer().starts_with("T D");
      ended += router.end() == 0;
    });
  events.happen("start");
  routers.clear();
  const auto saw = second.saw();
  std::cout << ready << " ready, " << served << " served, " << ended << " ended with code 0; first saw "
            << first.saw() << ", second " << 1 + std::count(saw.begin(), saw.end(), ' ') << "\n";
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
