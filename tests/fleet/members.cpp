// Who belongs, who lives, which start speaks, and who keeps: on real processes, judged by what they logged
// and by what ran at the node.
#include <algorithm>
#include <functional>
#include <iostream>
#include <memory>

#include "cases.h"
#include "rig.h"

namespace gulltrestle::fleet {

namespace {

class Members : private Scenario {
 public:
  Members() : rig_(loop_, 5, options()) {}

  // Each scene in a fleet of its own.
  bool play(const char* what, event_loop::Task (Members::*scenario)()) {
    loop_.spawn((this->*scenario)());
    run();
    if (fault_.empty()) fault_ = rig_.verdict();
    std::cout << what << ": " << (fault_.empty() ? "as it should be" : fault_) << "\n";
    if (fault_.empty()) return true;
    rig_.keep();
    std::cerr << what << ": " << fault_ << "; logs in " << rig_.path() << "\n";
    return false;
  }

  // --- A router is killed, and comes back; another is not heard by one voter of three
  event_loop::Task routerKilled() {
    rig_.startAll();
    for (auto wait = serve(all()); wait.isPending();) co_await tick();
    rig_.flow(4, 0, Flow::blockedToVoter);
    rig_.kill(3);
    for (auto wait = logged({0, 1, 2, 4}, "members.out router=r3 state=out incarnation=1"); wait.isPending();)
      co_await tick();
    // Its silence began first: were it counted out by one voter, that would be known by now.
    for (const std::size_t i : {0, 1, 2, 4})
      if (rig_.log(i).find("members.out router=r4") != std::string::npos) fail("one keeper counted r4 out");
    rig_.flow(4, 0, Flow::open);
    rig_.start(3);
    for (auto wait = logged({0, 1, 2, 4}, "members.back router=r3 state=lives incarnation=2");
         wait.isPending();)
      co_await tick();
    for (auto wait = serve(all()); wait.isPending();) co_await tick();
    loop_.stop();
  }

  // --- One stalls for longer than the time of silence, and goes on as what it was
  event_loop::Task isStopped() {
    rig_.startAll();
    for (auto wait = serve(all()); wait.isPending();) co_await tick();
    rig_.stop(4);
    for (auto wait = logged({0, 1, 2, 3}, "members.out router=r4 state=out incarnation=1"); wait.isPending();)
      co_await tick();
    rig_.resume(4);
    for (auto wait = logged({0, 1, 2, 3}, "members.back router=r4 state=lives incarnation=1");
         wait.isPending();)
      co_await tick();
    for (auto wait = serve(all()); wait.isPending();) co_await tick();
    loop_.stop();
  }

  // --- A voter stalls: it counts nobody out for what it slept through
  event_loop::Task voterStalls() {
    rig_.startAll();
    for (auto wait = serve(all()); wait.isPending();) co_await tick();
    rig_.stop(0);
    for (auto wait = logged({1, 2, 3, 4}, "members.out router=r0 state=out incarnation=1"); wait.isPending();)
      co_await tick();
    rig_.resume(0);
    for (auto wait = logged({1, 2, 3, 4}, "members.back router=r0 state=lives incarnation=1");
         wait.isPending();)
      co_await tick();
    for (auto wait = serve(all()); wait.isPending();) co_await tick();
    for (const std::size_t i : all())
      for (const char* other : {"r1", "r2", "r3", "r4"})
        if (rig_.log(i).find(std::string("members.out router=") + other) != std::string::npos)
          fail(std::string("counted out: ") + other);
    loop_.stop();
  }

  // --- An operator takes one off the list with SIGHUP, and puts it back
  event_loop::Task removedMember() {
    rig_.startAll();
    for (auto wait = serve(all()); wait.isPending();) co_await tick();
    rig_.setMembers({0, 1, 2, 3});
    for (const std::size_t k : {0, 1, 2}) rig_.reloadConfig(k);
    for (auto wait = logged({0, 1, 2}, "peers.list routers=4 added=0 left=1"); wait.isPending();)
      co_await tick();
    for (auto wait = logged({4}, " reached=0 of=3"); wait.isPending();) co_await tick();
    for (int n = 0; n < 20; ++n) {
      const std::size_t row = rig_.sendRequest(4, id());
      while (!rig_.clientRequest(row).isOver) co_await tick();
      if (rig_.clientRequest(row).outcome == FinalOutcome::committed) fail("one off the list ran a txn");
    }
    for (auto wait = serve({0, 1, 2, 3}); wait.isPending();) co_await tick();
    rig_.setMembers({0, 1, 2, 3, 4});
    for (const std::size_t k : {0, 1, 2}) rig_.reloadConfig(k);
    for (auto wait = serve(all()); wait.isPending();) co_await tick();
    loop_.stop();
  }

  // --- A second process of one name starts while the first stalls
  event_loop::Task twoProcesses() {
    rig_.startAll();
    for (auto wait = serve(all()); wait.isPending();) co_await tick();
    rig_.stop(3);
    const std::size_t twin = rig_.twin(3);
    rig_.start(twin);
    for (auto wait = serve({0, 1, 2, 4, twin}); wait.isPending();) co_await tick();
    rig_.resume(3);
    for (auto wait = logged({3}, "members.entry state=superseded"); wait.isPending();) co_await tick();
    for (int n = 0; n < 20; ++n) {
      const std::size_t row = rig_.sendRequest(3, id());
      while (!rig_.clientRequest(row).isOver) co_await tick();
      if (rig_.clientRequest(row).outcome == FinalOutcome::committed)
        fail("a start that was superseded ran a txn");
    }
    for (auto wait = serve({0, 1, 2, 4, twin}); wait.isPending();) co_await tick();
    loop_.stop();
  }

  // --- One voter gives way to another while clients repeat their ids, with one restart after another; and a
  // file that does not tell of the list before
  event_loop::Task voterReplaced() {
    rig_.startAll();
    for (auto wait = serve(all()); wait.isPending();) co_await tick();
    loop_.spawn(clients());
    rig_.setVoters({0, 1, 3});
    std::vector<std::size_t> order = all();
    std::shuffle(order.begin(), order.end(), rig_.chance);
    for (const std::size_t i : order) {
      const std::size_t requestCount = rig_.requestCount() + 60;
      rig_.kill(i);
      rig_.writeFleet(i);
      rig_.start(i);
      const Instant by = loop_.now() + kScenarioTimeout;
      while (!isDone(rig_.requestCount() >= requestCount, by, "questions")) co_await tick();
    }
    for (auto wait = serve(all()); wait.isPending();) co_await tick();
    // The new voter votes once what it may have missed counts no more; then the other of the two may go.
    for (auto wait = logged({3}, "claims.keeper state=votes"); wait.isPending();) co_await tick();
    rig_.kill(0);
    for (auto wait = serve({1, 2, 3, 4}); wait.isPending();) co_await tick();
    rig_.forgetFormerVoterLists();
    rig_.writeFleet(0);
    rig_.start(0);
    if (rig_.exitCode(0) != 1 ||
        rig_.log(0).find("and this keeper served under list 2 already") == std::string::npos)
      fail("started by a file that does not tell of the list before");
    isEnding_ = true;
    const Instant by = loop_.now() + kScenarioTimeout;
    while (!isDone(rig_.open() == 0, by, "the last answers")) co_await tick();
    loop_.stop();
  }

 private:
  static FleetOptions options() {
    FleetOptions made;
    made.routers = 5;
    made.spareVoters = 1;
    return made;
  }
  std::vector<std::size_t> all() const { return {0, 1, 2, 3, 4}; }
  std::string id() { return "m" + std::to_string(++ids_); }

  // What is waited for, looked at every few milliseconds; what does not come is a fault.
  struct Wait {
    Members& members;
    std::function<bool()> hasCome;
    std::string what;
    Instant by;
    bool isPending() { return !members.isDone(hasCome(), by, what.c_str()); }
  };
  // Every one of these commits a transaction.
  Wait serve(std::vector<std::size_t> routers) {
    const auto done = std::make_shared<std::size_t>(0);
    for (const std::size_t i : routers) loop_.spawn(counted(i, done));
    return Wait{*this, [done, n = routers.size()] { return *done == n; }, "routers that serve",
                loop_.now() + kScenarioTimeout};
  }
  event_loop::Task counted(std::size_t router, std::shared_ptr<std::size_t> done) {
    const Instant by = loop_.now() + kScenarioTimeout;
    bool committed = false;
    while (!isDone(committed, by, "a router that serves")) {
      const std::size_t row = rig_.sendRequest(router, id());
      while (!rig_.clientRequest(row).isOver) co_await tick();
      committed = rig_.clientRequest(row).outcome == FinalOutcome::committed;
      co_await tick();
    }
    ++*done;
  }
  Wait logged(std::vector<std::size_t> routers, std::string line) {
    const auto hasCome = [this, routers, line] {
      return std::all_of(routers.begin(), routers.end(),
                         [&](std::size_t i) { return rig_.log(i).find(line) != std::string::npos; });
    };
    return {*this, hasCome, line, loop_.now() + kScenarioTimeout};
  }
  event_loop::Task clients() {
    while (!isEnding_) {
      const bool isRetry = sentIds_.size() > 0 && rig_.pick(3) > 0;
      if (!isRetry) sentIds_.push_back({id(), loop_.now()});
      std::size_t first = sentIds_.size() - 1;
      while (first > 0 && loop_.now() - sentIds_[first - 1].second < Duration::millis(2500)) --first;
      const std::size_t among = sentIds_.size() - first;
      const std::string& what = sentIds_[sentIds_.size() - 1 - (isRetry ? rig_.pick(among) : 0)].first;
      const std::size_t row = rig_.sendRequest(rig_.pick(rig_.routers()), what);
      while (!rig_.clientRequest(row).isOver && rig_.open() > 8) co_await tick();
      co_await tick();
    }
  }

  Rig rig_;
  std::uint64_t ids_ = 0;
  std::vector<std::pair<std::string, Instant>> sentIds_;
  bool isEnding_ = false;
};

}  // namespace

int members() {
  bool ok = true;
  const auto play = [&](const char* what, event_loop::Task (Members::*scenario)()) {
    ok = Members().play(what, scenario) && ok;
  };
  play("a router killed, another not heard by one keeper", &Members::routerKilled);
  play("a router that stood still", &Members::isStopped);
  play("a keeper that stood still", &Members::voterStalls);
  play("a router taken off the list, and put back", &Members::removedMember);
  play("two processes of one name", &Members::twoProcesses);
  play("a keeper that gives way to another", &Members::voterReplaced);
  return ok ? 0 : 1;
}

namespace {

class IdleTraffic : private Scenario {
 public:
  explicit IdleTraffic(std::size_t routers) : rig_(loop_, 1, options(routers)) {}
  int play() {
    loop_.spawn(scenario());
    run();
    if (!fault_.empty()) std::cout << fault_ << "\n";
    return fault_.empty() ? 0 : 1;
  }

 private:
  static constexpr Duration kMeasured = Duration::millis(20'000);
  static FleetOptions options(std::size_t routers) {
    FleetOptions made;
    made.routers = routers;
    made.voters = 5;
    made.direct = true;
    return made;
  }
  // A figure of the status document by its name; 0: it is not there.
  double figure(std::size_t router, const std::string& name) const {
    const std::string text = rig_.document(router);
    const auto at = text.find("\"" + name + "\": ");
    return at == std::string::npos ? 0 : std::stod(text.substr(at + name.size() + 4));
  }
  event_loop::Task scenario() {
    const Instant began = loop_.now();
    rig_.startAll();
    const Instant by = began + kScenarioTimeout;
    const auto all = [&](const std::function<bool(std::size_t)>& holds) {
      for (std::size_t i = 0; i < rig_.routers(); ++i)
        if (!holds(i)) return false;
      return true;
    };
    const auto entered = [&](std::size_t i) {
      return rig_.log(i).find("members.entry state=entered") != std::string::npos;
    };
    while (!isDone(all(entered), by, "routers that have entered"))
      co_await loop_.sleepUntil(loop_.now() + kLook);
    std::cout << rig_.routers() << " routers, 5 of them keepers: all have entered after "
              << (loop_.now() - began).inSeconds() << " s\n";
    co_await loop_.sleepUntil(loop_.now() + kMeasured * 0.5);  // what a start brings is over
    struct Totals {
      double messagesSent = 0, repliesReceived = 0;  // as a router
      double messagesReceived = 0, repliesSent = 0;  // as a voter
      double cpuSeconds = 0;
    };
    const auto sums = [&](std::size_t from, std::size_t to) {
      Totals totals;
      for (std::size_t i = from; i < to; ++i) {
        totals.messagesSent += figure(i, "said");
        totals.repliesReceived += figure(i, "heard");
        totals.messagesReceived += figure(i, "words_taken");
        totals.repliesSent += figure(i, "answers_given");
        totals.cpuSeconds += rig_.cpuSeconds(i);
      }
      return totals;
    };
    const Totals votersBefore = sums(0, 5), othersBefore = sums(5, rig_.routers());
    const Instant from = loop_.now();
    co_await loop_.sleepUntil(from + kMeasured);
    const Totals voters = sums(0, 5), others = sums(5, rig_.routers());
    const double seconds = (loop_.now() - from).inSeconds();
    const auto print = [&](const char* who, std::size_t count, const Totals& before, const Totals& after) {
      if (count == 0) return;
      const double each = seconds * static_cast<double>(count);
      std::cout << who << ", a second: says " << (after.messagesSent - before.messagesSent) / each
                << ", hears " << (after.repliesReceived - before.repliesReceived) / each << ", takes "
                << (after.messagesReceived - before.messagesReceived) / each << ", gives "
                << (after.repliesSent - before.repliesSent) / each << "; CPU "
                << (after.cpuSeconds - before.cpuSeconds) / each * 1000 << " ms\n";
    };
    print("a keeper", 5, votersBefore, voters);
    print("another router", rig_.routers() - 5, othersBefore, others);
    loop_.stop();
  }
  static constexpr Duration kLook = Duration::millis(200);
  Rig rig_;
};

}  // namespace

int idleTraffic(std::size_t routers) { return IdleTraffic(routers).play(); }

}  // namespace gulltrestle::fleet
