// Runs the program with injected faults in its system calls (tests/faults/machine.h). Each transaction must
// still get its final answer. Usage: `faults CASE`. Every case prints whether its faults were injected,
// because a case without any fault has tested nothing.
#include "child.h"
#include "faults/machine.h"
#include "lists.h"
#include "scratch.h"

using namespace gulltrestle;
using namespace gulltrestle::testing;
using faults::FaultKind;

namespace {

constexpr int kTxns = 200;
// Timeout that the client of write() sends, and tolerance of the remaining time that a node receives.
constexpr int kWriteMs = 9000, kSlackMs = 150;
constexpr auto kReadDelay = std::chrono::milliseconds(1500);

// The program with one fake node and a fake discovery service, all on loopback.
class RouterUnderTest {
 public:
  explicit RouterUnderTest(std::uint64_t seed)
      : folder_(scratchFolder("faults")), machine(folder_ + "/machine", seed), discovery_(nodes()) {}
  ~RouterUnderTest() {
    child_->signal(SIGTERM);
    child_->waitForLine("a text that no line contains");
    const int code = child_->wait();
    std::cout << "exit code " << code << (code == 0 ? "" : ", " + child_->lastLine()) << "\n";
    unlink((folder_ + "/config.json").c_str());
  }

  // Starts the program; returns whether it listens for clients.
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

  // Runs alternating reads and writes, ten per connection, and prints how many were committed and how many
  // got another final answer. Stops at the first transaction without an answer.
  void runTransactions(int txns) {
    int committed = 0, otherAnswers = 0, unanswered = 0;
    std::unique_ptr<Peer> client;
    for (int index = 0; index < txns && unanswered == 0; ++index) {
      if (index % 10 == 0) client = nullptr;
      if (!client) client = std::make_unique<Peer>(connected());
      const std::string statement = index % 2 == 0 ? read("k") : write(100);
      client->send(statement);
      std::string answer = client->answer();
      // The router may close a connection between requests to make room. A client whose statement crosses the
      // close sends it again.
      if (answer == "end" && index % 10 != 0) {
        client = std::make_unique<Peer>(connected());
        client->send(statement);
        answer = client->answer();
      }
      if (answer.find("D(") != std::string::npos)
        ++committed;
      else if (answer.find("E(") != std::string::npos)
        ++otherAnswers;
      else
        ++unanswered;
    }
    std::cout << committed << " committed, " << otherAnswers << " with another answer, " << unanswered
              << " without an answer\n";
  }
  // Prints whether the node received each transaction once: a statement that the client sends again must not
  // have been forwarded before.
  void printForwarded(int txns) {
    const std::string keys = node_.receivedKeys();
    const auto statements = 1 + std::count(keys.begin(), keys.end(), ' ');
    std::cout << (statements == txns ? "each forwarded once\n"
                                     : std::to_string(statements) + " statements forwarded\n");
  }
  // Sends a write that the program can read only after a delay. The remaining time that the node receives
  // must not exceed what the client has left. `resumeReading` lets the program read.
  void sendDelayedWrite(std::chrono::milliseconds delay, const std::function<void()>& resumeReading) {
    Peer client = Peer::to(port_.number());
    const auto sentAt = Clock::now();
    client.send(postgres::startup("worker", "catalog") + write(10, "late"));
    sleepUntil(sentAt + delay);
    resumeReading();
    client.answer();  // the answer to the startup message
    client.answer();
    const int maxRemainingMs = kWriteMs - static_cast<int>(delay.count()) + kSlackMs;
    const int remainingMs = node_.remainingTimeMs("late");
    std::cout << (remainingMs == 0 ? "nothing was sent\n"
                  : remainingMs <= maxRemainingMs
                      ? "remaining time within its bound\n"
                      : "remaining time " + std::to_string(remainingMs - maxRemainingMs) + " ms too long\n");
  }
  // Sends a statement whose client closes its connection before the program can read it.
  void sendAndClose(std::chrono::milliseconds delay, const std::function<void()>& resumeReading) {
    {
      Peer client = Peer::to(port_.number());
      client.send(postgres::startup("worker", "catalog") + write(10, "gone"));
      client.waitUntilDelivered();
    }
    sleepUntil(Clock::now() + delay);
    resumeReading();
    runTransactions(2);
    std::cout << "the node received "
              << (node_.remainingTimeMs("gone") == 0 ? "nothing" : "a statement of a disconnected client")
              << "\n";
  }
  void suspend() { child_->suspend(); }
  void resume() { child_->signal(SIGCONT); }
  // Prints whether a fault of this kind was injected.
  void printInjected(FaultKind kind) {
    std::cout << faults::kFaultNames[static_cast<std::size_t>(kind)]
              << (machine.injectedCount(kind) > 0 ? " fired\n" : " never fired\n");
  }

 private:
  std::string nodes() const { return endpointListJson(1, endpointEntryJson(node_.server(), "s-1", "up")); }
  Peer connected() const {
    Peer client = Peer::to(port_.number());
    client.send(postgres::startup("worker", "catalog"));
    client.answer();
    return client;
  }

  std::string folder_;
  Port port_;

 public:
  faults::FaultController machine;

 private:
  FakeNode node_;
  FakeDiscovery discovery_;
  std::unique_ptr<Child> child_;
};

// Injects the fault while transactions run.
void whileServing(FaultKind kind, std::uint32_t perMille) {
  RouterUnderTest router(7);
  if (!router.start()) return;
  router.machine.setFaultRate(kind, perMille);
  router.runTransactions(kTxns);
  if (kind == FaultKind::acceptError) router.printForwarded(kTxns);
  router.printInjected(kind);
  router.machine.clearFaults();
}

// Injects the fault into the first calls of the start.
void atStart(FaultKind kind, std::uint32_t calls) {
  RouterUnderTest router(7);
  router.machine.failFirst(kind, calls);
  std::cout << (router.start() ? "started\n" : "not started\n");
  router.printInjected(kind);
}

// Guards against the fault that a statement counts as just received although its connection waited in the
// accept queue.
void delayedAccept() {
  RouterUnderTest router(7);
  if (!router.start()) return;
  router.machine.setFaultRate(FaultKind::acceptError, 1000);
  router.sendDelayedWrite(kReadDelay, [&] { router.machine.clearFaults(); });
  router.printInjected(FaultKind::acceptError);
}

// Guards against the fault that a statement counts as just received although it arrived while the process was
// suspended.
void delayedBySuspension() {
  RouterUnderTest router(7);
  if (!router.start()) return;
  router.runTransactions(2);
  router.suspend();
  router.sendDelayedWrite(kReadDelay, [&] { router.resume(); });
}

// Guards against the fault that a statement is forwarded long after its client has closed the connection. The
// process is suspended when the statement arrives.
void closedWhileSuspended() {
  RouterUnderTest router(7);
  if (!router.start()) return;
  router.runTransactions(2);
  router.suspend();
  router.sendAndClose(kReadDelay, [&] { router.resume(); });
}
// The same where connections can't be accepted when the statement arrives.
void closedBeforeAccept() {
  RouterUnderTest router(7);
  if (!router.start()) return;
  router.runTransactions(2);
  router.machine.setFaultRate(FaultKind::acceptError, 1000);
  router.sendAndClose(kReadDelay, [&] { router.machine.clearFaults(); });
  router.printInjected(FaultKind::acceptError);
}

}  // namespace

int main(int count, char** arguments) {
  const std::string caseName = count > 1 ? arguments[1] : "";
  if (caseName == "short-reads") return whileServing(FaultKind::shortRead, 100), 0;
  if (caseName == "short-writes") return whileServing(FaultKind::shortWrite, 300), 0;
  if (caseName == "interrupted") return whileServing(FaultKind::interrupted, 100), 0;
  if (caseName == "out-of-memory") return whileServing(FaultKind::outOfMemory, 50), 0;
  if (caseName == "epoll-ctl") return whileServing(FaultKind::epollCtl, 300), 0;
  if (caseName == "accept-errors") return whileServing(FaultKind::acceptError, 500), 0;
  if (caseName == "delayed-accept") return delayedAccept(), 0;
  if (caseName == "closed-before-accept") return closedBeforeAccept(), 0;
  if (caseName == "closed-while-suspended") return closedWhileSuspended(), 0;
  if (caseName == "delayed-by-suspension") return delayedBySuspension(), 0;
  if (caseName == "start-socket") return atStart(FaultKind::socket, 2), 0;
  if (caseName == "start-listen") return atStart(FaultKind::listenError, 3), 0;
  if (caseName == "start-epoll") return atStart(FaultKind::epollCtl, 2), 0;
  return 2;
}
