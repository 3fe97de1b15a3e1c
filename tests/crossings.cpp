// Pairs of events that can cross, on real connections with the program itself: docs/crossings.md has the
// table. Both orders are laid out while the program stands still, or one event waits for the other. Run as
// `crossings CASE`: prints what each side saw.
#include <spdlog/spdlog.h>

#include "lists.h"

using namespace gulltrestle;
using namespace gulltrestle::testing;

namespace {

void say(const std::string& text) { std::cout << "-- " << text << "\n"; }

// `bytes`: of the value that it writes.
std::string statement(const std::string& key, const std::string& type, int wait = 60000,
                      std::size_t bytes = 1) {
  const std::string comment =
      " /* " + nextId() + ",c=" + type + ",d=" + std::to_string(wait) + ",cluster=1 */";
  std::string hex;
  while (hex.size() < 2 * bytes) hex += "77";
  return type == "write" || type == "known"
             ? query("INSERT INTO objects (oid, body) VALUES ('" + key + "', '\\x" + hex +
                     "') RETURNING body" + comment)
             : query("SELECT body FROM objects WHERE oid = '" + key + "'" + comment);
}

std::string one(const FakeNode& node, const std::string& state = "up") {
  return endpointListJson(1, endpointEntryJson(node.server(), "s-1", state));
}

// --- Clients that go

// A client is reset while its statement waits in some way; the next one's statement is the first that the
// node sees after that.
void goneWhileConnecting() {
  for (const std::string type : {"write", "known", "read"}) {
    FakeNode node({}, 0);
    FakeServer discovery(silentDiscovery);
    Program router(discovery.port(), one(node), 20000);
    Peer leaves = router.client();
    leaves.send(statement("gone", type));
    node.events.waitFor("connection");
    leaves.reset();
    router.waitUntilIdle();
    Peer stays = router.client();
    stays.send(statement("next", "write"));
    router.waitUntilIdle();
    node.events.signal("greet");
    std::cout << type << ": " << stays.answer() << "the node saw " << node.receivedKeys() << "\n";
  }
}

// It goes, by an end or a reset, while the first of its statements is at the node; none of the rest is to get
// there.
void goneBehind(std::size_t bytes) {
  for (const bool inOrder : {false, true}) {
    FakeNode node({"slow"});
    FakeServer discovery(silentDiscovery);
    Program router(discovery.port(), one(node));
    Peer leaves = router.client();
    std::string all = statement("slow", "write") + statement("gone", "write");
    while (all.size() < bytes) all += statement("gone", "write");
    leaves.send(all);
    node.events.waitFor("received slow");
    router.waitUntilIdle();
    inOrder ? leaves.close() : leaves.reset();
    router.waitUntilIdle();
    node.releaseAnswer("slow");
    Peer stays = router.client();
    stays.send(statement("next", "read"));
    std::cout << (inOrder ? "closed: " : "reset: ") << stays.answer() << "the node saw "
              << node.receivedKeys() << "\n";
  }
}

void goneBehindAnother() { goneBehind(0); }
// It has sent so much ahead that its bytes are not being read when it goes.
void goneUnread() { goneBehind(48 * 1024); }

// Its reset and what would send its statement on are there in one turn.
void goneAtRelease() {
  for (const bool resetFirst : {true, false}) {
    FakeNode node({}, 0);
    FakeServer discovery(silentDiscovery);
    Program router(discovery.port(), one(node), 20000);
    Peer leaves = router.client(), stays = router.client();
    leaves.send(statement("gone", "read"));
    node.events.waitFor("connection");
    router.suspend();
    if (resetFirst) leaves.reset();
    node.events.signal("greet");
    node.events.waitFor("greeted");
    if (!resetFirst) leaves.reset();
    router.resume();
    router.waitUntilIdle();
    stays.send(statement("next", "read"));
    // Where the greeting comes first the statement goes out ahead of the reset.
    std::cout << (resetFirst ? "reset first: " : "greeting first: ") << stays.answer() << "the node saw "
              << node.receivedKeys() << "\n";
  }
}

// --- Statements behind others

void pipelined() {
  FakeNode node({"first"});
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), one(node));
  Peer client = router.client();
  client.send(statement("first", "read") + statement("second", "read") + statement("late", "read", 250));
  node.events.waitFor("received first");  // all three have come by then
  sleepUntil(Clock::now() + std::chrono::milliseconds(300));
  node.releaseAnswer("first");
  std::cout << client.answer() << client.answer() << client.answer() << "\n";
  std::cout << "the node saw " << node.receivedKeys()
            << "; what waited 300 ms is told to take at most what is left: "
            << (node.remainingTimeMs("second") <= 59700) << "\n";
}

// More than is read ahead, all of it with too little time for the wait: what is read only as the others are
// answered has had that time, too.
void pipelinedUnread() {
  FakeNode node({"first"});
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), one(node));
  Peer client = router.client();
  const auto many = [](int times) {
    std::string much;
    for (int i = 0; i < times; ++i) much += statement(std::string(2000, 'x'), "read", 400);
    return much;
  };
  // What is read ahead, and then more than one read takes: it is left unread together, and read in turns.
  client.send(statement("first", "read") + many(9));
  node.events.waitFor("received first");
  router.waitUntilIdle();
  client.send(many(51));
  router.waitUntilIdle();
  sleepUntil(Clock::now() + std::chrono::milliseconds(500));
  node.releaseAnswer("first");
  std::map<std::string, int> said;
  for (int i = 0; i < 61; ++i) ++said[client.answer()];
  for (const auto& [what, times] : said) std::cout << times << " times " << what;
  std::cout << "\n";
}

// --- Closing

void closing() {
  FakeNode node;
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), one(node));
  say("what can't be read, with much behind it that is not read any more: the error comes, and an end");
  {
    Peer client = router.client();
    router.suspend();
    client.send(postgres::message('x', "nonsense") + std::string(200 * 1024, 'x'));
    router.resume();
    std::cout << client.answer();
    std::cout << (client.wasReset() ? " by a reset\n" : " in order\n");
  }
  say("more comes after the end of sending: it is thrown away, and sent on nowhere");
  {
    Peer client = router.client();
    client.send(postgres::message('x', "nonsense"));
    std::cout << client.answer();
    client.send(statement("after", "write"));
    router.waitUntilIdle();
    std::cout << (client.wasReset() ? " by a reset" : " in order") << "; the node saw " << node.receivedKeys()
              << "\n";
  }
}

// --- The end of the program

void ending() {
  FakeNode node({"slow"});
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), one(node));
  Peer busy = router.client(), resting = router.client(), half = router.client();
  resting.send(query(""));
  resting.answer();
  busy.send(statement("slow", "write") + statement("behind", "write"));
  half.send(statement("half", "write").substr(0, 40));
  node.events.waitFor("received slow");
  router.signal(SIGHUP);
  router.signal(SIGTERM);
  router.waitForLine("told to end");
  router.signal(SIGTERM);
  std::cout << "resting: " << resting.answer() << "\n";
  resting.send(statement("after", "write"));
  busy.send(statement("later", "write"));
  node.releaseAnswer("slow");
  std::cout << "busy: " << busy.answer() << busy.answer() << "\n";
  std::cout << "what it sent after the end began: " << busy.answer() << busy.answer()
            << (busy.wasReset() ? " by a reset" : "") << "\n";
  std::cout << "half a statement: " << half.answer() << "\n";
  std::cout << "the node saw " << node.receivedKeys() << "\n";
}

// In the moment in which resting connections are closed.
void endingCrossed() {
  FakeNode node;
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), one(node));
  Peer resting = router.client();
  router.signal(SIGTERM);
  router.waitForLine("told to end");
  router.suspend();
  const auto haltedAt = Clock::now();
  resting.send(statement("crossing", "write"));
  Peer waiting = Peer::to(router.port());
  waiting.send(postgres::startup("worker", "catalog") + statement("waiting", "write"));
  sleepUntil(haltedAt + std::chrono::milliseconds(700));
  router.resume();
  std::cout << "on a resting connection: " << resting.answer() << resting.answer() << "\n";
  waiting.answer();
  std::cout << "on one that waits to be accepted: " << waiting.answer() << waiting.answer() << "\n";
}

// With statements that are held as no node may be used, that wait for a connection, and that a node hangs
// over, and with discovery down: each has its answer in its time, and the program ends after them.
void endingHeld() {
  FakeNode hangs({"hangs"}, 1);
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), one(hangs));
  Peer atNode = router.client(), queued = router.client(), held = router.client();
  atNode.send(statement("hangs", "write", 1500));
  hangs.events.waitFor("received hangs");
  queued.send(statement("queued", "write", 1500));
  hangs.events.waitFor("connection", 2);
  held.send(query("SELECT body FROM objects WHERE oid = 'k' /* " + nextId() + ",c=read,d=1500,cluster=2 */"));
  router.signal(SIGTERM);
  std::cout << "at a node that hangs: " << atNode.answer() << atNode.answer() << "\n";
  std::cout << "queued for a connection: " << queued.answer() << queued.answer() << "\n";
  std::cout << "held: " << held.answer() << held.answer() << "\n";
  hangs.releaseAnswer("hangs");
  hangs.events.signal("greet");
}

// While it starts: told to read its configuration anew it serves, told to end it ends.
void signalled() {
  for (const int number : {SIGHUP, SIGTERM}) {
    FakeNode node;
    FakeServer discovery(silentDiscovery);
    Program router(discovery.port(), one(node), 250, 256, number);
    Peer client = router.client();
    client.send(statement("k", "write"));
    std::cout << (number == SIGHUP ? "SIGHUP: " : "SIGTERM: ") << client.answer() << "\n";
  }
}

// --- Connections to nodes at rest

void stray() {
  for (const std::string bytes : {"T", ""}) {
    for (const bool nodeFirst : {true, false}) {
      FakeNode node;
      FakeServer discovery(silentDiscovery);
      Program router(discovery.port(), one(node));
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
      std::cout << client.answer() << (bytes.empty() ? "its end" : "a stray byte")
                << (nodeFirst ? " first" : " second") << ", connections: " << node.connections() << "\n";
    }
  }
}

// --- Attempts

// A read's hedge waits for a connection, which comes up once the other attempt's answer is there: in a turn
// after it, where nothing may be cancelled, or in the same turn.
void answeredWhileConnecting() {
  for (const bool sameTurn : {false, true}) {
    FakeNode first({"k"}), second({}, 0);
    const auto replica = [](const FakeNode& node, const std::string& id) {
      auto made = endpointEntryJson(node.server(), id, "up");
      return made.replace(made.find("master"), 6, "replica");
    };
    const auto only = replica(first, "s-1");
    FakeDiscovery discovery(endpointListJson(1, only));
    Program router(
        discovery.port(), endpointListJson(1, only), 20000, 256, 0, "",
        std::string(R"("probes":false,"secondCopies":true,"cancel":)") + (sameTurn ? "true" : "false"));
    discovery.events.waitFor("watch");
    Peer client = router.client();
    client.send(statement("usual", "any"));  // from its latency the router knows when a read is late
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
    std::cout << (sameTurn ? "in the same turn" : "in a later turn") << ": the first saw "
              << first.receivedKeys() << ", the second " << second.receivedKeys() << "\n";
  }
}

// The first attempt may have run, and the repeat waits for a connection until its window is over.
void windowOver() {
  FakeNode node({"breaks"}, 1);
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), one(node), 20000);
  Peer client = router.client();
  client.send(statement("breaks", "known"));
  node.events.waitFor("received breaks");
  const auto seenAt = Clock::now();
  node.releaseAnswer("breaks");
  node.events.waitFor("connection", 2);
  sleepUntil(seenAt + std::chrono::milliseconds(500));
  node.events.signal("greet");
  std::cout << client.answer() << "the node saw " << node.receivedKeys() << "\n";
}

// The repeat is written in part, as the node takes no more of it, and the node reads on once its window is
// over.
void windowOverInPart() {
  FakeNode node({"breaks"}, 1 << 20, 1, 2048);
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), one(node), 20000);
  Peer client = router.client();
  client.send(statement("breaks", "known", 60000, 60 * 1024));
  node.events.waitFor("received breaks");
  const auto seenAt = Clock::now();
  node.releaseAnswer("breaks");
  node.events.waitFor("greeted", 2);
  router.waitUntilIdle();
  sleepUntil(seenAt + std::chrono::milliseconds(500));
  node.events.signal("read");
  std::cout << client.answer() << "the node saw " << node.receivedKeys() << "\n";
}

// Answers that break off, or never end, after any number of their bytes: a read has the whole value from
// another attempt, a write that may run once is rolled back.
void brokenAnswers() {
  const std::size_t size = row("v-cut-0").size();  // of the shortest of these answers
  for (const std::string how : {"cut-", "stall-"}) {
    FakeNode node;
    FakeServer discovery(silentDiscovery);
    Program router(discovery.port(), one(node));
    Peer client = router.client();
    std::map<std::string, int> reads, writes;
    for (std::size_t at = 1; at < size; at += 8) {
      const auto key = how + std::to_string(at);
      client.send(statement(key, "read"));
      auto said = client.answer();
      ++reads[said == "T D(" + std::to_string(key.size() + 2) + " bytes) C Z " ? "whole" : said];
    }
    for (std::size_t at = 1; at < size; at += 8) {
      client.send(statement(how + std::to_string(at + 1000).substr(1), "write", 3000));
      ++writes[client.answer()];
    }
    std::cout << how << " reads:";
    for (const auto& [said, times] : reads) std::cout << " " << times << " " << said;
    std::cout << "; writes:";
    for (const auto& [said, times] : writes) std::cout << " " << times << " " << said;
    std::cout << "\n";
  }
}

// --- What strangers send

void floods() {
  FakeNode node;
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), one(node));
  Peer junk = Peer::to(router.port()), unread = router.client(), slow = Peer::to(router.port());
  junk.send(std::string(4 << 20, 'x'));
  std::string many;
  for (int i = 0; i < 20000; ++i) many += query("");
  unread.send(many);  // and reads none of its answers
  const auto whole = postgres::startup("worker", "catalog") + statement("slow", "read");
  slow.send(whole, 1);
  Peer usual = router.client();
  usual.send(statement("k", "read"));
  std::cout << "a usual one: " << usual.answer() << "\n";
  slow.answer();
  std::cout << "byte by byte: " << slow.answer() << "\njunk: " << junk.answer() << "\n";
  int answered = 0;
  while (answered < 20000 && unread.answer() == "I Z ") ++answered;
  std::cout << "read late: " << answered << " answers\n";
}

// No descriptor is to be had for a while: who is there is served, who comes is once there is one, and the log
// has a line of it.
void noDescriptors() {
  FakeNode node({"slow"});
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), one(node));
  Peer busy = router.client();
  busy.send(statement("slow", "write"));
  node.events.waitFor("received slow");
  router.limitDescriptors(3);
  Peer comes = Peer::to(router.port());
  comes.send(postgres::startup("worker", "catalog") + statement("comes", "write"));
  router.waitForLine("no new client can be taken");
  node.releaseAnswer("slow");
  std::cout << "at work meanwhile: " << busy.answer() << "\n";
  node.events.waitFor("idle");
  router.limitDescriptors(256);
  comes.answer();
  std::cout << "who came: " << comes.answer() << "\n";
  std::cout << "lines of it: " << router.countLines("no new client can be taken") << "\n";
}

// A client that rests on, where its connection is being closed, keeps its place for a while only.
void closingForGood() {
  FakeNode node;
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), one(node));
  std::vector<Peer> rest;
  for (int i = 0; i < 40; ++i) {
    rest.push_back(router.client());
    rest.back().send(postgres::message('x', "nonsense"));
  }
  int told = 0;
  for (Peer& peer : rest) told += peer.answer() == "E(08P01) end";
  std::cout << told << " were told why, and none has closed its side\n";
  std::cout << "ended: " << router.countLines("ended") << "\n";
}

// More are being closed than there are places for, none of which closes its side, and their time has not
// come: the first of them go, and each new client is still told why, and one is served.
void closingCrowd() {
  FakeNode node;
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), one(node), 60000, 64);
  std::vector<Peer> rest;
  int told = 0;
  for (int i = 0; i < 100; ++i) {
    rest.push_back(Peer::to(router.port()));
    rest.back().send(postgres::startup("worker", "catalog") + postgres::message('x', "nonsense"));
    rest.back().answer();
    told += rest.back().answer() == "E(08P01) end";
  }
  std::cout << told << " were told why\n";
  Peer stays = router.client();
  stays.send(statement("next", "read"));
  std::cout << stays.answer() << "the node saw " << node.receivedKeys() << "\n";
}

}  // namespace

int main(int count, char** words) {
  std::signal(SIGPIPE, SIG_IGN);
  spdlog::set_level(spdlog::level::off);
  const std::map<std::string, void (*)()> cases{{"gone-connecting", goneWhileConnecting},
                                                {"gone-behind", goneBehindAnother},
                                                {"gone-unread", goneUnread},
                                                {"gone-release", goneAtRelease},
                                                {"pipelined", pipelined},
                                                {"pipelined-unread", pipelinedUnread},
                                                {"closing", closing},
                                                {"ending", ending},
                                                {"ending-crossed", endingCrossed},
                                                {"ending-held", endingHeld},
                                                {"answered-connecting", answeredWhileConnecting},
                                                {"window", windowOver},
                                                {"window-part", windowOverInPart},
                                                {"broken-answers", brokenAnswers},
                                                {"floods", floods},
                                                {"no-descriptors", noDescriptors},
                                                {"closing-for-good", closingForGood},
                                                {"closing-crowd", closingCrowd},
                                                {"signalled", signalled},
                                                {"stray", stray}};
  const auto found = count == 2 ? cases.find(words[1]) : cases.end();
  if (found == cases.end()) return 2;
  found->second();
}
