// The program on a bad machine (tests/faults/machine.h): each txn gets its final answer all the same. Run as
// `faults CASE`. Every case says whether its faults came: one that never fired has tested nothing.
#include "child.h"
#include "faults/machine.h"
#include "lists.h"
#include "scratch.h"

using namespace gulltrestle;
using namespace gulltrestle::testing;
using faults::Kind;

namespace {

constexpr int kTxns = 200;
// What write() tells as its client's time; what a node may be told beyond it.
constexpr int kWriteMs = 9000, kSlackMs = 150;
constexpr auto kLate = std::chrono::milliseconds(1500);

// The program with one node and a discovery, all on loopback.
class Trial {
 public:
  explicit Trial(std::uint64_t seed)
      : folder_(scratchFolder("faults")), machine(folder_ + "/machine", seed), discovery_(nodes()) {}
  ~Trial() {
    child_->signal(SIGTERM);
    child_->waitForLine("no line has this");
    const int code = child_->wait();
    std::cout << "exit code " << code << (code == 0 ? "" : ", " + child_->lastLine()) << "\n";
    unlink((folder_ + "/config.json").c_str());
  }

  bool start() {
    std::ofstream(folder_ + "/config.json")
        << R"({"name":"n","listen":"127.0.0.1:)" << port_.number() << R"(","discovery":"127.0.0.1:)"
        << discovery_.port() << R"(","seed":"7","limits":{"memory_mb":64,"sockets":256},"known":)" << nodes()
        << R"(,"settings":{"zone":"a","round":5000,"limits":{"probes":true,"cancel":true,"maxAttempts":3,)"
        << R"("connectTimeout":1000000},"lanes":[)"
        << R"({"name":"read","effect":"idempotent","objective":4000000,"deadline":9000000},)"
        << R"({"name":"write","effect":"at_most_once","objective":4000000,"deadline":9000000}],)"
        << R"("specifics":{"readLevel":["latest","update"],"lagAllowed":[0,0]}}})";
    child_ = std::make_unique<Child>(std::vector<std::string>{
        "BALANCER_CONFIG=" + folder_ + "/config.json", "LD_PRELOAD=" GULLTRESTLE_BAD_MACHINE_LIBRARY,
        "ASAN_OPTIONS=verify_asan_link_order=0", machine.variable()});
    return child_->waitForLine("listens on");
  }

  // Asks for so many txns, reads and writes in turn, on connections of ten each; how many were committed and
  // how many got a final answer of another kind. Ends at the first that gets none.
  void ask(int txns) {
    int committed = 0, otherwise = 0, unanswered = 0;
    std::unique_ptr<Peer> client;
    for (int at = 0; at < txns && unanswered == 0; ++at) {
      if (at % 10 == 0) client = nullptr;
      if (!client) client = std::make_unique<Peer>(connected());
      const std::string statement = at % 2 == 0 ? read("k") : write(100);
      client->send(statement);
      std::string answer = client->answer();
      // Between requests a router may close a connection, to make room; what crosses that its client sends
      // once more.
      if (answer == "end" && at % 10 != 0) {
        client = std::make_unique<Peer>(connected());
        client->send(statement);
        answer = client->answer();
      }
      if (answer.find("D(") != std::string::npos)
        ++committed;
      else if (answer.find("E(") != std::string::npos)
        ++otherwise;
      else
        ++unanswered;
    }
    std::cout << committed << " committed, " << otherwise << " answered otherwise, " << unanswered
              << " without an answer\n";
  }
  // Whether each txn came to the node once: what is sent once more was not sent on before.
  void tellSentOn(int txns) {
    const std::string all = node_.receivedKeys();
    const auto statements = 1 + std::count(all.begin(), all.end(), ' ');
    std::cout << (statements == txns ? "each sent on once\n"
                                     : std::to_string(statements) + " statements sent on\n");
  }
  // A write whose statement has been there for a while when the program gets to read it: what its node is
  // told is what its client has left. `later`: ends what kept the program from reading.
  void askLate(std::chrono::milliseconds late, const std::function<void()>& later) {
    Peer client = Peer::to(port_.number());
    const auto sentAt = Clock::now();
    client.send(postgres::startup("worker", "catalog") + write(10, "late"));
    sleepUntil(sentAt + late);
    later();
    client.answer();  // of the greeting
    client.answer();
    const int left = kWriteMs - static_cast<int>(late.count()) + kSlackMs;
    const int told = node_.remainingTimeMs("late");
    std::cout << (told == 0      ? "nothing was sent\n"
                  : told <= left ? "told at most what is left\n"
                                 : "told " + std::to_string(told - left) + " ms too much\n");
  }
  // A statement whose client closes its connection before the program gets to read it.
  void askAndClose(std::chrono::milliseconds late, const std::function<void()>& later) {
    {
      Peer client = Peer::to(port_.number());
      client.send(postgres::startup("worker", "catalog") + write(10, "gone"));
      client.waitUntilDelivered();
    }
    sleepUntil(Clock::now() + late);
    later();
    ask(2);
    std::cout << "nodes saw "
              << (node_.remainingTimeMs("gone") == 0 ? "nothing" : "a statement of a client that had gone")
              << "\n";
  }
  void halt() { child_->suspend(); }
  void go() { child_->signal(SIGCONT); }
  void tellFired(Kind kind) {
    std::cout << faults::kNames[static_cast<std::size_t>(kind)]
              << (machine.fired(kind) > 0 ? " fired\n" : " never fired\n");
  }

 private:
  std::string nodes() const { return endpointListJson(1, endpointEntryJson(node_.server(), "s-1", "up")); }
  Peer connected() const {
    Peer made = Peer::to(port_.number());
    made.send(postgres::startup("worker", "catalog"));
    made.answer();
    return made;
  }

  std::string folder_;
  Port port_;

 public:
  faults::Machine machine;

 private:
  FakeNode node_;
  FakeDiscovery discovery_;
  std::unique_ptr<Child> child_;
};

// All the time that txns are asked for.
void whileServing(Kind kind, std::uint32_t perMille) {
  Trial trial(7);
  if (!trial.start()) return;
  trial.machine.fail(kind, perMille);
  trial.ask(kTxns);
  if (kind == Kind::accepting) trial.tellSentOn(kTxns);
  trial.tellFired(kind);
  trial.machine.heal();
}

// The first calls of the start fail.
void atStart(Kind kind, std::uint32_t calls) {
  Trial trial(7);
  trial.machine.failFirst(kind, calls);
  std::cout << (trial.start() ? "started\n" : "not started\n");
  trial.tellFired(kind);
}

// Finds: a statement that waited in the queue of connections counted as if it had just come.
void acceptedLate() {
  Trial trial(7);
  if (!trial.start()) return;
  trial.machine.fail(Kind::accepting, 1000);
  trial.askLate(kLate, [&] { trial.machine.heal(); });
  trial.tellFired(Kind::accepting);
}

// Finds: a statement that came while the process stood still counted as if it had just come.
void stoppedLate() {
  Trial trial(7);
  if (!trial.start()) return;
  trial.ask(2);
  trial.halt();
  trial.askLate(kLate, [&] { trial.go(); });
}

// Finds: a statement sent on long after its client closed.
void stoppedGone() {
  Trial trial(7);
  if (!trial.start()) return;
  trial.ask(2);
  trial.halt();
  trial.askAndClose(kLate, [&] { trial.go(); });
}
void acceptedGone() {
  Trial trial(7);
  if (!trial.start()) return;
  trial.ask(2);
  trial.machine.fail(Kind::accepting, 1000);
  trial.askAndClose(kLate, [&] { trial.machine.heal(); });
  trial.tellFired(Kind::accepting);
}

}  // namespace

int main(int count, char** words) {
  const std::string name = count > 1 ? words[1] : "";
  if (name == "short-reads") return whileServing(Kind::shortRead, 100), 0;
  if (name == "short-writes") return whileServing(Kind::shortWrite, 300), 0;
  if (name == "interrupted") return whileServing(Kind::interrupted, 100), 0;
  if (name == "memory") return whileServing(Kind::memory, 50), 0;
  if (name == "epoll-ctl") return whileServing(Kind::epollCtl, 300), 0;
  if (name == "accepting") return whileServing(Kind::accepting, 500), 0;
  if (name == "accepted-late") return acceptedLate(), 0;
  if (name == "accepted-gone") return acceptedGone(), 0;
  if (name == "stopped-gone") return stoppedGone(), 0;
  if (name == "stopped-late") return stoppedLate(), 0;
  if (name == "start-socket") return atStart(Kind::socket, 2), 0;
  if (name == "start-listen") return atStart(Kind::listening, 3), 0;
  if (name == "start-epoll") return atStart(Kind::epollCtl, 2), 0;
  return 2;
}
