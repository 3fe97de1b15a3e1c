// The external processor as a process of its own on loopback, between a stand-in proxy, stand-in nodes and a
// discovery that stand in for real ones. Run as `day CASE`: prints what must hold on every run; counts and
// times differ from run to run and stay out of the trace.
#include <arpa/inet.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

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

Duration ms(std::int64_t n) { return Duration::millis(n); }

std::string freeAddress() {
  const event_loop::Descriptor held = event_loop::listenOn("127.0.0.1", 0);
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(held.number(), reinterpret_cast<sockaddr*>(&address), &size);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

// The program, started and ended as often as the case wants.
class Program {
 public:
  Program(const std::string& discovery, const std::string& more) : processor_(freeAddress()) {
    base_ = scratch() + "/gulltrestle-day-" + std::to_string(getpid());
    std::ofstream(base_ + ".json") << R"({"name":"day","listen":")" << freeAddress() << R"(","discovery":")"
                                   << discovery << R"(","seed":"5eed",
      "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":null,"settings":{"zone":"a","round":5000,
      "balancers":1,"limits":{"probes":true,"cancel":true,"secondCopies":true,"retryAfter":true,
      "maxAttempts":6,"maxRetryAfter":500000,"connIdle":30000000,"connectTimeout":250000},
      "lanes":[{"name":"look","effect":"idempotent","objective":300000,"deadline":1000000,"worth":1},
      {"name":"own","effect":"idempotent","objective":400000,"deadline":1000000,"worth":1},
      {"name":"book-charge","effect":"at_most_once","objective":400000,"deadline":3000000,"worth":3,"lateShare":0.7}],
      "rules":{"coldFrom":0.2,"cold":10000000,"drainGrace":1000000},
      "specifics":{"readLevel":["loose","own_writes","update"],"lagAllowed":[0,0,0],"sessionMarks":"client",
      "guards":"off"}}})";
    std::ofstream(base_ + ".ext.json")
        << R"({"listen":")" << processor_ << R"(","probe_path":"/standing")" << more << "}";
  }
  ~Program() {
    kill();
    unlink((base_ + ".json").c_str());
    unlink((base_ + ".ext.json").c_str());
  }

  void start() {
    std::cout.flush();
    child_ = fork();
    if (child_ != 0) return;
    setenv("BALANCER_CONFIG", (base_ + ".json").c_str(), 1);
    setenv("GULLTRESTLE_EXT_PROC", (base_ + ".ext.json").c_str(), 1);
    if (!std::getenv("DAY_LOG") && !freopen("/dev/null", "w", stdout)) _exit(127);
    execl(GULLTRESTLE_PROGRAM, GULLTRESTLE_PROGRAM, static_cast<char*>(nullptr));
    _exit(127);
  }
  void kill() { end(SIGKILL); }
  // Told to end; true if it ended by itself with code 0.
  void tell() { ::kill(child_, SIGTERM); }
  bool endsWell() {
    int status = 0;
    waitpid(std::exchange(child_, -1), &status, 0);
    return WIFEXITED(status) && WEXITSTATUS(status) == 0;
  }
  bool runs() const { return child_ > 0 && waitpid(child_, nullptr, WNOHANG) == 0; }
  const std::string& processor() const { return processor_; }

 private:
  void end(int signal) {
    if (child_ <= 0) return;
    ::kill(child_, signal);
    waitpid(std::exchange(child_, -1), nullptr, 0);
  }
  std::string processor_, base_;
  pid_t child_ = -1;
};

// A group of three nodes, its list, a program and a proxy, all on one loop.
struct Fleet {
  explicit Fleet(fake_servers::FakeProxyConfig setup = {}, const std::string& more = "")
      : discovery(loop),
        p(loop, "p", true),
        a(loop, "a", false),
        b(loop, "b", false),
        program(discovery.address(), more),
        proxy(loop, with(std::move(setup), program.processor())) {
    for (auto* node : {&p, &a, &b}) list(*node, "up");
  }
  static fake_servers::FakeProxyConfig with(fake_servers::FakeProxyConfig setup,
                                            const std::string& processor) {
    setup.processor = processor;
    return setup;
  }
  void list(fake_servers::FakeNode& node, const std::string& state) {
    discovery.set({node.id(), node.address(), state, node.isPrimary, 1});
  }

  void ask(const std::string& type, const std::string& id, Duration patience = ms(900)) {
    ++asked;
    if (type == "book-charge") onceOnly.insert(id);
    if (type == "own") ownReads.insert(id);
    proxy.send({.headers = {{":method", "GET"},
                            {"x-txn-id", id},
                            {"x-txn-type", type},
                            {"x-txn-group", "1"},
                            {"x-txn-session", "s" + id},
                            {"x-txn-write-age-ms", "20"}},
                .isWrite = type == "book-charge",
                .remainingTime = patience},
               [this](fake_servers::Answer answer) { take(answer); });
  }
  void take(const fake_servers::Answer& answer) {
    ++answers[answer.transactionId];
    last = answer;
    if (answer.outcome == "refused") refused.insert(answer.transactionId);
    if (answer.outcome == "committed") committed.insert(answer.transactionId);
    if (ownReads.contains(answer.transactionId))
      ownAtReplicas += answer.nodeAddress == a.address() || answer.nodeAddress == b.address();
  }
  unsigned runsOf(const std::string& id) {
    unsigned sum = 0;
    for (auto* node : {&p, &a, &b})
      if (const auto at = node->runCounts.find(id); at != node->runCounts.end()) sum += at->second;
    return sum;
  }

  // Plays `script` on the loop until it has ended.
  void play(std::function<event_loop::Task(Fleet&)> script) {
    loop.spawn(script(*this));
    loop.run([](Instant) { return Instant(); },
             [](std::exception_ptr failure) {
               try {
                 std::rethrow_exception(failure);
               } catch (const std::exception& bad) { std::cout << "failed: " << bad.what() << "\n"; }
             });
  }
  auto pause(std::int64_t millis) { return loop.sleepUntil(loop.now() + ms(millis)); }

  static void say(const std::string& what, bool holds) {
    std::cout << what << (holds ? ": yes" : ": NO") << "\n";
  }
  void tellRules() {
    std::size_t twice = 0, refusedRan = 0, lost = 0;
    for (const auto& id : onceOnly) {
      twice += runsOf(id) > 1;
      refusedRan += refused.contains(id) && runsOf(id) > 0;
      lost += committed.contains(id) && runsOf(id) != 1;
    }
    bool once = answers.size() == asked;
    for (const auto& [id, count] : answers) once = once && count == 1;
    say("each txn has one final answer", once);
    say("no once-only txn ran twice", twice == 0);
    say("no refused once-only txn ran", refusedRan == 0);
    say("each committed once-only txn ran", lost == 0);
    if (!std::getenv("DAY_COUNTS")) return;
    for (const auto& [what, count] : proxy.eventCounts) std::cerr << count << " " << what << "\n";
    std::cerr << asked << " asked " << committed.size() << " committed " << refused.size() << " refused\n";
  }

  event_loop::EventLoop loop;
  fake_servers::FakeDiscovery discovery;
  fake_servers::FakeNode p, a, b;
  Program program;
  fake_servers::FakeProxy proxy;
  std::size_t asked = 0;
  std::map<std::string, unsigned> answers;
  std::set<std::string> onceOnly, ownReads, refused, committed;
  std::size_t ownAtReplicas = 0;
  fake_servers::Answer last;
};

// One request end to end.
event_loop::Task oneTask(Fleet& f) {
  f.program.start();
  co_await f.pause(400);
  f.ask("look", "r1");
  co_await f.pause(100);
  std::cout << "a read: " << f.last.status << " " << f.last.outcome << ", from a replica: "
            << (f.last.nodeAddress == f.a.address() || f.last.nodeAddress == f.b.address()) << "\n";
  f.ask("book-charge", "w1");
  co_await f.pause(100);
  std::cout << "a write: " << f.last.status << " " << f.last.outcome
            << ", from the primary: " << (f.last.nodeAddress == f.p.address()) << "\n";
  // What an earlier try was told is no answer to one that ran.
  int grants = 0, reports = 0;
  f.proxy.faults.waitsBeyondLease = [&] { return ++grants == 1; };
  f.proxy.faults.resetsBeforeReport = [&] { return ++reports == 2; };
  f.ask("book-charge", "w2");
  co_await f.pause(600);
  std::cout << "granted too late to be sent, then run and not reported: " << f.last.status << " '"
            << f.last.outcome << "', ran " << f.runsOf("w2") << "\n";
  f.tellRules();
  f.loop.stop();
}

void one() {
  Fleet f;
  f.play(oneTask);
}

// The moments at which the program can be killed, each with a once-only txn that is open.
event_loop::Task killedTask(Fleet& f) {
  f.list(f.p, "draining");
  f.program.start();
  co_await f.pause(300);
  std::cout << "killed between question and grant\n";
  f.ask("book-charge", "held", ms(2500));
  co_await f.pause(60);
  f.program.kill();
  f.list(f.p, "up");
  f.program.start();
  co_await f.pause(900);
  std::cout << "answered " << f.last.status << ", ran " << f.runsOf("held") << "\n";

  std::cout << "killed between grant and outcome\n";
  f.p.executionTime = ms(150);
  f.ask("book-charge", "granted", ms(2500));
  co_await f.pause(60);
  std::cout << "at the node: " << f.runsOf("granted") << "\n";
  f.program.kill();
  f.program.start();
  co_await f.pause(900);
  std::cout << "answered " << f.last.status << " " << f.last.outcome << ", ran " << f.runsOf("granted")
            << "\n";

  std::cout << "killed for good: the proxy answers by itself, and passes nothing on\n";
  f.program.kill();
  f.ask("book-charge", "alone", ms(1000));
  co_await f.pause(1100);
  std::cout << "answered " << f.last.status << ", ran " << f.runsOf("alone") << "\n";

  std::cout << "told to end between grant and outcome\n";
  f.program.start();
  co_await f.pause(300);
  f.p.executionTime = ms(700);
  f.proxy.attemptTimeout = ms(2000);
  f.ask("book-charge", "ending", ms(2500));
  co_await f.pause(60);
  f.program.tell();
  co_await f.pause(1000);
  std::cout << "answered " << f.last.status << " " << f.last.outcome << ", ran " << f.runsOf("ending")
            << "\n";
  std::cout << "ended in good order: " << f.program.endsWell() << "\n";
  f.tellRules();
  f.loop.stop();
}

void killed() {
  // Tries are spread over the time that a program takes to start, sanitized and linked with all there is.
  fake_servers::FakeProxyConfig setup;
  setup.retryDelay = ms(200);
  Fleet f(setup);
  f.play(killedTask);
}

// Asked once a request: one grant, and what ends without effect is refused for good.
event_loop::Task requestTask(Fleet& f) {
  f.program.start();
  co_await f.pause(300);
  int left = 0;
  f.p.chooseFault = f.a.chooseFault =
      f.b.chooseFault = [&left](const std::string&) { return left-- > 0 ? Fault::rejection : Fault::none; };
  for (const int faults : {0, 1}) {
    for (const std::string type : {"look", "book-charge"}) {
      left = faults;
      f.ask(type, type + std::to_string(faults));
      co_await f.pause(400);
      std::cout << type << (faults ? " rejected: " : ": ") << f.last.status << " " << f.last.outcome << "\n";
    }
  }
  f.tellRules();
  f.loop.stop();
}

void request() {
  fake_servers::FakeProxyConfig setup;
  setup.requestsPerAttempt = false;
  Fleet f(setup, R"(,"placement":"request")");
  f.play(requestTask);
}

// One connection floods the program with all it can think of; the proxy beside it is served as ever.
event_loop::Task floodTask(Fleet& f) {
  f.program.start();
  co_await f.pause(300);
  const auto at = config::readAddress("processor", f.program.processor());
  const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + std::string("\0\0\0\4\0\0\0\0\0", 9);
  const std::string ping(
      "\0\0\10\6\0\0\0\0\0"
      "12345678",
      17);
  std::string pings;
  for (int i = 0; i < 1000; ++i) pings += ping;
  int ended = 0;
  for (const std::string& bytes : {pings, std::string(100'000, 'x'), std::string(100'000, '\0')}) {
    event_loop::Descriptor flood = event_loop::startConnecting(at.host, at.port);
    co_await f.pause(20);
    std::string_view first = preface;
    event_loop::writeFrom(flood.number(), {&first, 1});
    for (int i = 0; i < 300; ++i) {
      std::string_view part = bytes;
      const auto done = event_loop::writeFrom(flood.number(), {&part, 1});
      if (done.status == event_loop::Io::failed) {
        ++ended;
        break;
      }
      for (int n = 0; n < 4 && i % 10 == 0; ++n)
        f.ask(n % 2 ? "look" : "book-charge",
              "f" + std::to_string(ended) + "." + std::to_string(i) + "." + std::to_string(n));
      co_await f.pause(3);
    }
  }
  co_await f.pause(1000);
  std::cout << "floods that were ended: " << ended << "\n";
  Fleet::say("all others were committed", f.committed.size() == f.asked && f.asked >= 12);
  f.tellRules();
  Fleet::say("the program runs", f.program.runs());
  f.loop.stop();
}

void flood() {
  Fleet f;
  f.play(floodTask);
}

// A day of some seconds with everything that can go wrong, by chance from a fixed seed.
event_loop::Task dayTask(Fleet& f) {
  std::knuth_b chance(16);
  const auto oneIn = [&chance](unsigned n) { return chance() % n == 0; };
  const auto nodeFault = [&](const std::string&) {
    constexpr Fault kinds[] = {Fault::rejection,      Fault::wrongNode,     Fault::error,
                               Fault::closeBeforeRun, Fault::closeAfterRun, Fault::hang};
    return oneIn(25) ? kinds[chance() % 6] : Fault::none;
  };
  for (auto* node : {&f.p, &f.a, &f.b}) node->chooseFault = nodeFault;
  f.proxy.faults = {[&] { return oneIn(60); }, [&] { return oneIn(60); }, [&] { return oneIn(60); },
                    [&] { return oneIn(60); }};
  f.program.start();
  co_await f.pause(300);
  bool ranOn = true, endedWell = false;
  Instant drainedAt;
  std::uint64_t sentLate = 0, sentBefore = 0;
  const Instant begin = f.loop.now();
  int step = 0, id = 0;
  for (int second = 0; f.loop.now() < begin + ms(7000); ++step) {
    for (int n = static_cast<int>(chance() % 4); n > 0; --n) {
      const std::string name = "t" + std::to_string(++id);
      const auto kind = chance() % 10;
      f.ask(kind < 5 ? "look" : kind < 7 ? "own" : "book-charge", name, ms(400 + chance() % 500));
    }
    co_await f.pause(10);
    if (drainedAt != Instant() && f.loop.now() - drainedAt > ms(1000)) {
      if (sentBefore == 0) sentBefore = f.b.requestCount + 1;
      sentLate = f.b.requestCount + 1 - sentBefore;
    }
    const auto now = (f.loop.now() - begin).inMicros() / 1'000'000;
    if (now == second) continue;
    second = static_cast<int>(now);
    if (second == 1 || second == 3) {
      ranOn = ranOn && f.program.runs();
      f.program.kill();
      co_await f.pause(30);
      f.program.start();
    }
    if (second == 2) f.proxy.dropConnection();
    if (second == 4) {
      f.list(f.b, "draining");
      drainedAt = f.loop.now();
    }
    if (second == 5) {
      ranOn = ranOn && f.program.runs();
      f.program.tell();
    }
    if (second == 6) {
      f.program.kill();  // it has ended, or is about to: the next start needs its address
      f.program.start();
    }
  }
  for (int wait = 0; f.proxy.openRequestCount() > 0 && wait < 300; ++wait) co_await f.pause(10);
  ranOn = ranOn && f.program.runs();
  f.program.tell();
  co_await f.pause(5000);
  endedWell = f.program.endsWell();
  f.tellRules();
  Fleet::say("nothing new at the drained node after a second", sentBefore > 0 && sentLate == 0);
  Fleet::say("no write was sent to a replica", f.a.writesAsReplicaCount + f.b.writesAsReplicaCount == 0);
  Fleet::say("the program ran on until it was killed", ranOn);
  Fleet::say("and ended in good order when told", endedWell);
  // What the day is for has happened.
  Fleet::say("reads of one's own writes went to replicas that were probed",
             f.ownAtReplicas * 2 > f.ownReads.size() && f.a.healthCheckCount + f.b.healthCheckCount > 0);
  Fleet::say("most was committed", f.committed.size() * 2 > f.asked);
  for (const std::string what :
       {"gave up before a decision", "too late to send", "never reported", "reported twice",
        "stream broke before a decision", "ended refused", "ended rolled-back"})
    Fleet::say("seen: " + what, f.proxy.eventCounts[what] > 0);
  f.loop.stop();
}

void day() {
  Fleet f;
  f.play(dayTask);
}

}  // namespace

int main(int count, char** words) {
  const std::map<std::string, void (*)()> cases{
      {"one", one}, {"killed", killed}, {"request", request}, {"flood", flood}, {"day", day}};
  const auto found = cases.find(count > 1 ? words[1] : "");
  if (found == cases.end()) return 2;
  found->second();
}
