// Runs the external processor as a separate process on loopback, with a fake proxy, fake nodes and a fake
// discovery service. `day CASE` prints the checks that must hold on every run. Counts and times differ
// between runs, so they are not part of the trace.
#include <arpa/inet.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <set>

#include "config/router_config.h"
#include "runtime/event_loop/sockets.h"
#include "scratch.h"
#include "testing/fake_servers/fake_node.h"
#include "testing/fake_servers/fake_proxy.h"

using namespace gulltrestle;
using fake_servers::Fault;

namespace {

Duration ms(std::int64_t count) { return Duration::millis(count); }

std::string freeAddress() {
  const event_loop::Descriptor listener = event_loop::listenOn("127.0.0.1", 0);
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(listener.number(), reinterpret_cast<sockaddr*>(&address), &size);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

// The program as a child process, which a case can start and end several times.
class Program {
 public:
  Program(const std::string& discovery, const std::string& extraSettings) : processor_(freeAddress()) {
    pathPrefix_ = scratch() + "/gulltrestle-day-" + std::to_string(getpid());
    std::ofstream(pathPrefix_ + ".json") << R"({"name":"day","listen":")" << freeAddress()
                                         << R"(","discovery":")" << discovery << R"(","seed":"5eed",
      "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":null,"settings":{"zone":"a","round":5000,
      "balancers":1,"limits":{"probes":true,"cancel":true,"secondCopies":true,"retryAfter":true,
      "maxAttempts":6,"maxRetryAfter":500000,"connIdle":30000000,"connectTimeout":250000},
      "lanes":[{"name":"look","effect":"idempotent","objective":300000,"deadline":1000000,"worth":1},
      {"name":"own","effect":"idempotent","objective":400000,"deadline":1000000,"worth":1},
      {"name":"book-charge","effect":"at_most_once","objective":400000,"deadline":3000000,"worth":3,"lateShare":0.7}],
      "rules":{"coldFrom":0.2,"cold":10000000,"drainGrace":1000000},
      "specifics":{"readLevel":["loose","own_writes","update"],"lagAllowed":[0,0,0],"sessionMarks":"client",
      "guards":"off"}}})";
    std::ofstream(pathPrefix_ + ".ext.json")
        << R"({"listen":")" << processor_ << R"(","probe_path":"/standing")" << extraSettings << "}";
  }
  ~Program() {
    kill();
    unlink((pathPrefix_ + ".json").c_str());
    unlink((pathPrefix_ + ".ext.json").c_str());
  }

  void start() {
    std::cout.flush();
    child_ = fork();
    if (child_ != 0) return;
    setenv("BALANCER_CONFIG", (pathPrefix_ + ".json").c_str(), 1);
    setenv("GULLTRESTLE_EXT_PROC", (pathPrefix_ + ".ext.json").c_str(), 1);
    if (!std::getenv("DAY_LOG") && !freopen("/dev/null", "w", stdout)) _exit(127);
    execl(GULLTRESTLE_PROGRAM, GULLTRESTLE_PROGRAM, static_cast<char*>(nullptr));
    _exit(127);
  }
  void kill() { stop(SIGKILL); }
  void terminate() { ::kill(child_, SIGTERM); }
  // Waits for the program to exit; returns true if it exited with code 0 and was not killed.
  bool exitsCleanly() {
    int status = 0;
    waitpid(std::exchange(child_, -1), &status, 0);
    return WIFEXITED(status) && WEXITSTATUS(status) == 0;
  }
  bool isRunning() const { return child_ > 0 && waitpid(child_, nullptr, WNOHANG) == 0; }
  const std::string& processor() const { return processor_; }

 private:
  void stop(int signal) {
    if (child_ <= 0) return;
    ::kill(child_, signal);
    waitpid(std::exchange(child_, -1), nullptr, 0);
  }
  std::string processor_, pathPrefix_;
  pid_t child_ = -1;
};

// A test fleet: a group of three nodes, their endpoint list, the program and a proxy. All but the program run
// on one event loop.
struct TestFleet {
  explicit TestFleet(fake_servers::FakeProxyConfig config = {}, const std::string& extraSettings = "")
      : discovery(loop),
        primary(loop, "p", true),
        firstReplica(loop, "a", false),
        secondReplica(loop, "b", false),
        program(discovery.address(), extraSettings),
        proxy(loop, withProcessor(std::move(config), program.processor())) {
    for (auto* node : {&primary, &firstReplica, &secondReplica}) setState(*node, "up");
  }
  static fake_servers::FakeProxyConfig withProcessor(fake_servers::FakeProxyConfig config,
                                                     const std::string& processor) {
    config.processor = processor;
    return config;
  }
  // Lists the node in this state at the discovery service.
  void setState(fake_servers::FakeNode& node, const std::string& state) {
    discovery.set({node.id(), node.address(), state, node.isPrimary, 1});
  }

  // Sends a client request of this transaction type; `remainingTime` is the client's timeout.
  void send(const std::string& type, const std::string& id, Duration remainingTime = ms(900)) {
    ++requestCount;
    if (type == "book-charge") atMostOnceIds.insert(id);
    if (type == "own") ownWritesReads.insert(id);
    proxy.send({.headers = {{":method", "GET"},
                            {"x-txn-id", id},
                            {"x-txn-type", type},
                            {"x-txn-group", "1"},
                            {"x-txn-session", "s" + id},
                            {"x-txn-write-age-ms", "20"}},
                .isWrite = type == "book-charge",
                .remainingTime = remainingTime},
               [this](fake_servers::Answer answer) { recordAnswer(answer); });
  }
  void recordAnswer(const fake_servers::Answer& answer) {
    ++answers[answer.transactionId];
    lastAnswer = answer;
    if (answer.outcome == "refused") rejectedIds.insert(answer.transactionId);
    if (answer.outcome == "committed") committedIds.insert(answer.transactionId);
    if (ownWritesReads.contains(answer.transactionId))
      ownWritesReadsAtReplicas +=
          answer.nodeAddress == firstReplica.address() || answer.nodeAddress == secondReplica.address();
  }
  // How often the nodes executed the transaction, in total.
  unsigned runCountOf(const std::string& id) {
    unsigned total = 0;
    for (auto* node : {&primary, &firstReplica, &secondReplica})
      if (const auto at = node->runCounts.find(id); at != node->runCounts.end()) total += at->second;
    return total;
  }

  // Runs `script` on the event loop until it stops the loop.
  void run(std::function<event_loop::Task(TestFleet&)> script) {
    loop.spawn(script(*this));
    loop.run([](Instant) { return Instant(); },
             [](std::exception_ptr failure) {
               try {
                 std::rethrow_exception(failure);
               } catch (const std::exception& error) { std::cout << "failed: " << error.what() << "\n"; }
             });
  }
  auto pause(std::int64_t millis) { return loop.sleepUntil(loop.now() + ms(millis)); }

  static void printCheck(const std::string& name, bool holds) {
    std::cout << name << (holds ? ": yes" : ": NO") << "\n";
  }
  // Prints whether the guarantees for final answers and at-most-once transactions held.
  void printGuarantees() {
    std::size_t ranTwice = 0, rejectedButRan = 0, committedButNotRun = 0;
    for (const auto& id : atMostOnceIds) {
      ranTwice += runCountOf(id) > 1;
      rejectedButRan += rejectedIds.contains(id) && runCountOf(id) > 0;
      committedButNotRun += committedIds.contains(id) && runCountOf(id) != 1;
    }
    bool answeredOnce = answers.size() == requestCount;
    for (const auto& [id, count] : answers) answeredOnce = answeredOnce && count == 1;
    printCheck("each txn has one final answer", answeredOnce);
    printCheck("no at-most-once txn ran twice", ranTwice == 0);
    printCheck("no rejected at-most-once txn ran", rejectedButRan == 0);
    printCheck("each committed at-most-once txn ran", committedButNotRun == 0);
    if (!std::getenv("DAY_COUNTS")) return;
    for (const auto& [name, count] : proxy.eventCounts) std::cerr << count << " " << name << "\n";
    std::cerr << requestCount << " requested " << committedIds.size() << " committed " << rejectedIds.size()
              << " rejected\n";
  }

  event_loop::EventLoop loop;
  fake_servers::FakeDiscovery discovery;
  fake_servers::FakeNode primary, firstReplica, secondReplica;
  Program program;
  fake_servers::FakeProxy proxy;
  std::size_t requestCount = 0;
  std::map<std::string, unsigned> answers;
  std::set<std::string> atMostOnceIds, ownWritesReads, rejectedIds, committedIds;
  std::size_t ownWritesReadsAtReplicas = 0;
  fake_servers::Answer lastAnswer;
};

// Single requests, end to end.
event_loop::Task singleRequestsTask(TestFleet& fleet) {
  fleet.program.start();
  co_await fleet.pause(400);
  fleet.send("look", "r1");
  co_await fleet.pause(100);
  std::cout << "a read: " << fleet.lastAnswer.status << " " << fleet.lastAnswer.outcome
            << ", from a replica: "
            << (fleet.lastAnswer.nodeAddress == fleet.firstReplica.address() ||
                fleet.lastAnswer.nodeAddress == fleet.secondReplica.address())
            << "\n";
  fleet.send("book-charge", "w1");
  co_await fleet.pause(100);
  std::cout << "a write: " << fleet.lastAnswer.status << " " << fleet.lastAnswer.outcome
            << ", from the primary: " << (fleet.lastAnswer.nodeAddress == fleet.primary.address()) << "\n";
  // The answer to an earlier attempt must not become the answer to an attempt that was executed.
  int grants = 0, reports = 0;
  fleet.proxy.faults.waitsBeyondLease = [&] { return ++grants == 1; };
  fleet.proxy.faults.resetsBeforeReport = [&] { return ++reports == 2; };
  fleet.send("book-charge", "w2");
  co_await fleet.pause(600);
  std::cout << "lease expired before sending, then executed and not reported: " << fleet.lastAnswer.status
            << " '" << fleet.lastAnswer.outcome << "', ran " << fleet.runCountOf("w2") << "\n";
  fleet.printGuarantees();
  fleet.loop.stop();
}

void singleRequests() {
  TestFleet fleet;
  fleet.run(singleRequestsTask);
}

// The program is killed or shut down at each stage of an at-most-once transaction.
event_loop::Task killedTask(TestFleet& fleet) {
  fleet.setState(fleet.primary, "draining");
  fleet.program.start();
  co_await fleet.pause(300);
  std::cout << "killed between lease request and grant\n";
  fleet.send("book-charge", "held", ms(2500));
  co_await fleet.pause(60);
  fleet.program.kill();
  fleet.setState(fleet.primary, "up");
  fleet.program.start();
  co_await fleet.pause(900);
  std::cout << "answered " << fleet.lastAnswer.status << ", ran " << fleet.runCountOf("held") << "\n";

  std::cout << "killed between grant and outcome\n";
  fleet.primary.executionTime = ms(150);
  fleet.send("book-charge", "granted", ms(2500));
  co_await fleet.pause(60);
  std::cout << "at the node: " << fleet.runCountOf("granted") << "\n";
  fleet.program.kill();
  fleet.program.start();
  co_await fleet.pause(900);
  std::cout << "answered " << fleet.lastAnswer.status << " " << fleet.lastAnswer.outcome << ", ran "
            << fleet.runCountOf("granted") << "\n";

  std::cout << "killed and not restarted: the proxy answers with an error, and forwards nothing\n";
  fleet.program.kill();
  fleet.send("book-charge", "alone", ms(1000));
  co_await fleet.pause(1100);
  std::cout << "answered " << fleet.lastAnswer.status << ", ran " << fleet.runCountOf("alone") << "\n";

  std::cout << "shut down between grant and outcome\n";
  fleet.program.start();
  co_await fleet.pause(300);
  fleet.primary.executionTime = ms(700);
  fleet.proxy.attemptTimeout = ms(2000);
  fleet.send("book-charge", "ending", ms(2500));
  co_await fleet.pause(60);
  fleet.program.terminate();
  co_await fleet.pause(1000);
  std::cout << "answered " << fleet.lastAnswer.status << " " << fleet.lastAnswer.outcome << ", ran "
            << fleet.runCountOf("ending") << "\n";
  std::cout << "graceful shutdown: " << fleet.program.exitsCleanly() << "\n";
  fleet.printGuarantees();
  fleet.loop.stop();
}

void killed() {
  // Spreads the attempts over the start time of a program that is built with sanitizers and all libraries.
  fake_servers::FakeProxyConfig config;
  config.retryDelay = ms(200);
  TestFleet fleet(config);
  fleet.run(killedTask);
}

// One lease per request: a request gets a single grant, and is finally rejected if it ends without an effect.
event_loop::Task leasePerRequestTask(TestFleet& fleet) {
  fleet.program.start();
  co_await fleet.pause(300);
  int faultsLeft = 0;
  fleet.primary.chooseFault = fleet.firstReplica.chooseFault = fleet.secondReplica.chooseFault =
      [&faultsLeft](const std::string&) { return faultsLeft-- > 0 ? Fault::rejection : Fault::none; };
  for (const int faults : {0, 1}) {
    for (const std::string type : {"look", "book-charge"}) {
      faultsLeft = faults;
      fleet.send(type, type + std::to_string(faults));
      co_await fleet.pause(400);
      std::cout << type << (faults ? " rejected: " : ": ") << fleet.lastAnswer.status << " "
                << fleet.lastAnswer.outcome << "\n";
    }
  }
  fleet.printGuarantees();
  fleet.loop.stop();
}

void leasePerRequest() {
  fake_servers::FakeProxyConfig config;
  config.requestsPerAttempt = false;
  TestFleet fleet(config, R"(,"placement":"request")");
  fleet.run(leasePerRequestTask);
}

// A connection floods the program with pings or invalid bytes. The proxy must still be served as usual.
event_loop::Task floodTask(TestFleet& fleet) {
  fleet.program.start();
  co_await fleet.pause(300);
  const auto at = config::readAddress("processor", fleet.program.processor());
  const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + std::string("\0\0\0\4\0\0\0\0\0", 9);
  const std::string ping(
      "\0\0\10\6\0\0\0\0\0"
      "12345678",
      17);
  std::string pings;
  for (int i = 0; i < 1000; ++i) pings += ping;
  int closedCount = 0;
  for (const std::string& bytes : {pings, std::string(100'000, 'x'), std::string(100'000, '\0')}) {
    event_loop::Descriptor flood = event_loop::startConnecting(at.host, at.port);
    co_await fleet.pause(20);
    std::string_view first = preface;
    event_loop::writeFrom(flood.number(), {&first, 1});
    for (int i = 0; i < 300; ++i) {
      std::string_view part = bytes;
      const auto done = event_loop::writeFrom(flood.number(), {&part, 1});
      if (done.status == event_loop::IoStatus::failed) {
        ++closedCount;
        break;
      }
      for (int count = 0; count < 4 && i % 10 == 0; ++count)
        fleet.send(count % 2 ? "look" : "book-charge",
                   "f" + std::to_string(closedCount) + "." + std::to_string(i) + "." + std::to_string(count));
      co_await fleet.pause(3);
    }
  }
  co_await fleet.pause(1000);
  std::cout << "flooding connections that were closed: " << closedCount << "\n";
  TestFleet::printCheck("all others were committed",
                        fleet.committedIds.size() == fleet.requestCount && fleet.requestCount >= 12);
  fleet.printGuarantees();
  TestFleet::printCheck("the program runs", fleet.program.isRunning());
  fleet.loop.stop();
}

void flood() {
  TestFleet fleet;
  fleet.run(floodTask);
}

// The faults and outcomes that randomFaultsTask() tests.
constexpr const char* kExpectedEvents[] = {"client left before a decision", "lease expired before sending",
                                           "reset before report",           "reported twice",
                                           "stream lost before a decision", "final outcome refused",
                                           "final outcome rolled-back"};

bool hasOccurred(TestFleet& fleet, const std::string& event) { return fleet.proxy.eventCounts[event] > 0; }

bool haveAllOccurred(TestFleet& fleet) {
  return std::all_of(std::begin(kExpectedEvents), std::end(kExpectedEvents),
                     [&](const char* event) { return hasOccurred(fleet, event); });
}

// Runs 7 s of load with random faults of all kinds, from a fixed seed; longer until each expected event has
// occurred, as some are rare.
event_loop::Task randomFaultsTask(TestFleet& fleet) {
  std::knuth_b random(16);
  const auto oneIn = [&random](unsigned count) { return random() % count == 0; };
  const auto nodeFault = [&](const std::string&) {
    constexpr Fault kinds[] = {Fault::rejection,      Fault::wrongNode,     Fault::error,
                               Fault::closeBeforeRun, Fault::closeAfterRun, Fault::hang};
    return oneIn(25) ? kinds[random() % 6] : Fault::none;
  };
  for (auto* node : {&fleet.primary, &fleet.firstReplica, &fleet.secondReplica})
    node->chooseFault = nodeFault;
  fleet.proxy.faults = {[&] { return oneIn(60); }, [&] { return oneIn(60); }, [&] { return oneIn(60); },
                        [&] { return oneIn(60); }};
  fleet.program.start();
  co_await fleet.pause(300);
  bool keptRunning = true, exitedCleanly = false;
  Instant drainedAt;
  std::uint64_t requestsAfterDrain = 0, requestsBeforeLimit = 0;
  const Instant begin = fleet.loop.now();
  int step = 0, id = 0;
  const auto isDone = [&] {
    const Duration elapsed = fleet.loop.now() - begin;
    return elapsed >= ms(60'000) || (elapsed >= ms(7000) && haveAllOccurred(fleet));
  };
  for (int second = 0; !isDone(); ++step) {
    for (int count = static_cast<int>(random() % 4); count > 0; --count) {
      const std::string name = "t" + std::to_string(++id);
      const auto kind = random() % 10;
      fleet.send(kind < 5 ? "look" : kind < 7 ? "own" : "book-charge", name, ms(400 + random() % 500));
    }
    co_await fleet.pause(10);
    if (drainedAt != Instant() && fleet.loop.now() - drainedAt > ms(1000)) {
      if (requestsBeforeLimit == 0) requestsBeforeLimit = fleet.secondReplica.requestCount + 1;
      requestsAfterDrain = fleet.secondReplica.requestCount + 1 - requestsBeforeLimit;
    }
    const auto now = (fleet.loop.now() - begin).inMicros() / 1'000'000;
    if (now == second) continue;
    second = static_cast<int>(now);
    if (second == 1 || second == 3) {
      keptRunning = keptRunning && fleet.program.isRunning();
      fleet.program.kill();
      co_await fleet.pause(30);
      fleet.program.start();
    }
    if (second == 2) fleet.proxy.dropConnection();
    if (second == 4) {
      fleet.setState(fleet.secondReplica, "draining");
      drainedAt = fleet.loop.now();
    }
    if (second == 5) {
      keptRunning = keptRunning && fleet.program.isRunning();
      fleet.program.terminate();
    }
    if (second == 6) {
      fleet.program.kill();  // it has exited, or is about to; the next start needs its address
      fleet.program.start();
    }
  }
  for (int wait = 0; fleet.proxy.openRequestCount() > 0 && wait < 300; ++wait) co_await fleet.pause(10);
  keptRunning = keptRunning && fleet.program.isRunning();
  fleet.program.terminate();
  co_await fleet.pause(5000);
  exitedCleanly = fleet.program.exitsCleanly();
  fleet.printGuarantees();
  TestFleet::printCheck("no new request at the drained node after a second",
                        requestsBeforeLimit > 0 && requestsAfterDrain == 0);
  TestFleet::printCheck(
      "no write was sent to a replica",
      fleet.firstReplica.writesAsReplicaCount + fleet.secondReplica.writesAsReplicaCount == 0);
  TestFleet::printCheck("the program ran until it was killed", keptRunning);
  TestFleet::printCheck("graceful shutdown after SIGTERM", exitedCleanly);
  TestFleet::printCheck("own-writes reads went to replicas that were health-checked",
                        fleet.ownWritesReadsAtReplicas * 2 > fleet.ownWritesReads.size() &&
                            fleet.firstReplica.healthCheckCount + fleet.secondReplica.healthCheckCount > 0);
  TestFleet::printCheck("most were committed", fleet.committedIds.size() * 2 > fleet.requestCount);
  for (const char* event : kExpectedEvents)
    TestFleet::printCheck("seen: " + std::string(event), hasOccurred(fleet, event));
  fleet.loop.stop();
}

void randomFaults() {
  TestFleet fleet;
  fleet.run(randomFaultsTask);
}

}  // namespace

int main(int count, char** arguments) {
  const std::map<std::string, void (*)()> cases{{"single-requests", singleRequests},
                                                {"killed", killed},
                                                {"lease-per-request", leasePerRequest},
                                                {"flood", flood},
                                                {"random-faults", randomFaults}};
  const auto found = cases.find(count > 1 ? arguments[1] : "");
  if (found == cases.end()) return 2;
  found->second();
}
