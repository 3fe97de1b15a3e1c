// Membership of real processes: which routers are members, which are alive, which incarnation of a router is
// valid and which routers are voters. Checked by what the routers logged and by what ran at the node.
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
  Members() : fleet_(loop_, 5, options()) {}

  // Runs a scenario; each needs a fleet of its own.
  bool play(const char* what, event_loop::Task (Members::*scenario)()) {
    loop_.spawn((this->*scenario)());
    run();
    if (fault_.empty()) fault_ = fleet_.findViolation();
    std::cout << what << ": " << (fault_.empty() ? "passed" : fault_) << "\n";
    if (fault_.empty()) return true;
    fleet_.keepFiles();
    std::cerr << what << ": " << fault_ << "; logs in " << fleet_.path() << "\n";
    return false;
  }

  // --- A router is killed and restarted; the messages of another don't reach one voter of three
  event_loop::Task routerKilled() {
    fleet_.startAll();
    for (auto pending = serve(all()); pending.isPending();) co_await tick();
    fleet_.setFlow(4, 0, Flow::blockedToVoter);
    fleet_.kill(3);
    for (auto pending = logged({0, 1, 2, 4}, "members.removed router=r3 state=out incarnation=1");
         pending.isPending();)
      co_await tick();
    // r4 fell silent before r3: if one voter were enough to remove a router, r4 would be removed by now.
    for (const std::size_t i : {0, 1, 2, 4})
      if (fleet_.log(i).find("members.removed router=r4") != std::string::npos)
        fail("r4 was removed although only one voter does not hear it");
    fleet_.setFlow(4, 0, Flow::open);
    fleet_.start(3);
    for (auto pending = logged({0, 1, 2, 4}, "members.alive router=r3 state=lives incarnation=2");
         pending.isPending();)
      co_await tick();
    for (auto pending = serve(all()); pending.isPending();) co_await tick();
    loop_.stop();
  }

  // --- A router stalls until the failure detector removes it, and continues with the same incarnation
  event_loop::Task routerStalls() {
    fleet_.startAll();
    for (auto pending = serve(all()); pending.isPending();) co_await tick();
    fleet_.stop(4);
    for (auto pending = logged({0, 1, 2, 3}, "members.removed router=r4 state=out incarnation=1");
         pending.isPending();)
      co_await tick();
    fleet_.resume(4);
    for (auto pending = logged({0, 1, 2, 3}, "members.alive router=r4 state=lives incarnation=1");
         pending.isPending();)
      co_await tick();
    for (auto pending = serve(all()); pending.isPending();) co_await tick();
    loop_.stop();
  }

  // --- A voter stalls: it must not remove other routers for the time in which it was stalled
  event_loop::Task voterStalls() {
    fleet_.startAll();
    for (auto pending = serve(all()); pending.isPending();) co_await tick();
    fleet_.stop(0);
    for (auto pending = logged({1, 2, 3, 4}, "members.removed router=r0 state=out incarnation=1");
         pending.isPending();)
      co_await tick();
    fleet_.resume(0);
    for (auto pending = logged({1, 2, 3, 4}, "members.alive router=r0 state=lives incarnation=1");
         pending.isPending();)
      co_await tick();
    for (auto pending = serve(all()); pending.isPending();) co_await tick();
    for (const std::size_t i : all())
      for (const char* other : {"r1", "r2", "r3", "r4"})
        if (fleet_.log(i).find(std::string("members.removed router=") + other) != std::string::npos)
          fail(std::string("removed by a voter that stalled: ") + other);
    loop_.stop();
  }

  // --- An operator removes a router from the member list with a configuration reload (SIGHUP), and adds it
  // again
  event_loop::Task removedMember() {
    fleet_.startAll();
    for (auto pending = serve(all()); pending.isPending();) co_await tick();
    fleet_.setMembers({0, 1, 2, 3});
    for (const std::size_t k : {0, 1, 2}) fleet_.reloadConfig(k);
    for (auto pending = logged({0, 1, 2}, "peers.list_changed routers=4 added=0 left=1");
         pending.isPending();)
      co_await tick();
    for (auto pending = logged({4}, " reached=0 of=3"); pending.isPending();) co_await tick();
    for (int n = 0; n < 20; ++n) {
      const std::size_t index = fleet_.sendRequest(4, id());
      while (!fleet_.clientRequest(index).isOver) co_await tick();
      if (fleet_.clientRequest(index).outcome == FinalOutcome::committed)
        fail("a router that is not a member ran a txn");
    }
    for (auto pending = serve({0, 1, 2, 3}); pending.isPending();) co_await tick();
    fleet_.setMembers({0, 1, 2, 3, 4});
    for (const std::size_t k : {0, 1, 2}) fleet_.reloadConfig(k);
    for (auto pending = serve(all()); pending.isPending();) co_await tick();
    loop_.stop();
  }

  // --- A second process with the same router name starts while the first is stalled
  event_loop::Task twoProcesses() {
    fleet_.startAll();
    for (auto pending = serve(all()); pending.isPending();) co_await tick();
    fleet_.stop(3);
    const std::size_t duplicate = fleet_.addDuplicate(3);
    fleet_.start(duplicate);
    for (auto pending = serve({0, 1, 2, 4, duplicate}); pending.isPending();) co_await tick();
    fleet_.resume(3);
    for (auto pending = logged({3}, "members.join state=superseded"); pending.isPending();) co_await tick();
    for (int n = 0; n < 20; ++n) {
      const std::size_t index = fleet_.sendRequest(3, id());
      while (!fleet_.clientRequest(index).isOver) co_await tick();
      if (fleet_.clientRequest(index).outcome == FinalOutcome::committed)
        fail("a superseded incarnation ran a txn");
    }
    for (auto pending = serve({0, 1, 2, 4, duplicate}); pending.isPending();) co_await tick();
    loop_.stop();
  }

  // --- A voter is replaced by another in a rolling restart, while clients repeat their ids. A configuration
  // that omits the previous voter list must be rejected
  event_loop::Task voterReplaced() {
    fleet_.startAll();
    for (auto pending = serve(all()); pending.isPending();) co_await tick();
    loop_.spawn(clients());
    fleet_.setVoters({0, 1, 3});
    std::vector<std::size_t> order = all();
    std::shuffle(order.begin(), order.end(), fleet_.random);
    for (const std::size_t i : order) {
      const std::size_t requestCount = fleet_.requestCount() + 60;
      fleet_.kill(i);
      fleet_.writeClusterConfig(i);
      fleet_.start(i);
      const Instant until = loop_.now() + kScenarioTimeout;
      while (!isDone(fleet_.requestCount() >= requestCount, until, "requests")) co_await tick();
    }
    for (auto pending = serve(all()); pending.isPending();) co_await tick();
    // The new voter votes once the claims that it may have missed have expired. Only then may another
    // voter stop.
    for (auto pending = logged({3}, "claims.voter state=votes"); pending.isPending();) co_await tick();
    fleet_.kill(0);
    for (auto pending = serve({1, 2, 3, 4}); pending.isPending();) co_await tick();
    fleet_.forgetFormerVoterLists();
    fleet_.writeClusterConfig(0);
    fleet_.start(0);
    if (fleet_.exitCode(0) != 1 ||
        fleet_.log(0).find("but this voter served under list 2 already") == std::string::npos)
      fail("started with a configuration that omits the previous voter list");
    isEnding_ = true;
    const Instant until = loop_.now() + kScenarioTimeout;
    while (!isDone(fleet_.openRequestCount() == 0, until, "the last answers")) co_await tick();
    loop_.stop();
  }

 private:
  static FleetOptions options() {
    FleetOptions fleetOptions;
    fleetOptions.routers = 5;
    fleetOptions.spareVoters = 1;
    return fleetOptions;
  }
  std::vector<std::size_t> all() const { return {0, 1, 2, 3, 4}; }
  std::string id() { return "m" + std::to_string(++lastId_); }

  // A condition polled every few milliseconds; it is a fault if it isn't met by the deadline.
  struct Wait {
    Members& members;
    std::function<bool()> isSatisfied;
    std::string what;
    Instant deadline;
    bool isPending() { return !members.isDone(isSatisfied(), deadline, what.c_str()); }
  };
  // Waits until each of these routers has committed a transaction.
  Wait serve(std::vector<std::size_t> routers) {
    const auto done = std::make_shared<std::size_t>(0);
    for (const std::size_t i : routers) loop_.spawn(serveOne(i, done));
    return Wait{*this, [done, n = routers.size()] { return *done == n; }, "routers that commit a transaction",
                loop_.now() + kScenarioTimeout};
  }
  event_loop::Task serveOne(std::size_t router, std::shared_ptr<std::size_t> done) {
    const Instant until = loop_.now() + kScenarioTimeout;
    bool committed = false;
    while (!isDone(committed, until, "a router that commits a transaction")) {
      const std::size_t index = fleet_.sendRequest(router, id());
      while (!fleet_.clientRequest(index).isOver) co_await tick();
      committed = fleet_.clientRequest(index).outcome == FinalOutcome::committed;
      co_await tick();
    }
    ++*done;
  }
  Wait logged(std::vector<std::size_t> routers, std::string line) {
    const auto isSatisfied = [this, routers, line] {
      return std::all_of(routers.begin(), routers.end(),
                         [&](std::size_t i) { return fleet_.log(i).find(line) != std::string::npos; });
    };
    return {*this, isSatisfied, line, loop_.now() + kScenarioTimeout};
  }
  event_loop::Task clients() {
    while (!isEnding_) {
      const bool isRetry = sentIds_.size() > 0 && fleet_.pick(3) > 0;
      if (!isRetry) sentIds_.push_back({id(), loop_.now()});
      std::size_t first = sentIds_.size() - 1;
      while (first > 0 && loop_.now() - sentIds_[first - 1].second < Duration::millis(2500)) --first;
      const std::size_t candidateCount = sentIds_.size() - first;
      const std::string& requestId =
          sentIds_[sentIds_.size() - 1 - (isRetry ? fleet_.pick(candidateCount) : 0)].first;
      const std::size_t index = fleet_.sendRequest(fleet_.pick(fleet_.routers()), requestId);
      while (!fleet_.clientRequest(index).isOver && fleet_.openRequestCount() > 8) co_await tick();
      co_await tick();
    }
  }

  TestFleet fleet_;
  std::uint64_t lastId_ = 0;
  std::vector<std::pair<std::string, Instant>> sentIds_;
  bool isEnding_ = false;
};

}  // namespace

int members() {
  bool ok = true;
  const auto play = [&](const char* what, event_loop::Task (Members::*scenario)()) {
    ok = Members().play(what, scenario) && ok;
  };
  play("a router is killed, another is cut off from one voter", &Members::routerKilled);
  play("a router stalls", &Members::routerStalls);
  play("a voter stalls", &Members::voterStalls);
  play("a router is removed from the member list and added again", &Members::removedMember);
  play("two processes with one router name", &Members::twoProcesses);
  play("a voter is replaced", &Members::voterReplaced);
  return ok ? 0 : 1;
}

namespace {

class IdleTraffic : private Scenario {
 public:
  explicit IdleTraffic(std::size_t routers) : fleet_(loop_, 1, options(routers)) {}
  int play() {
    loop_.spawn(scenario());
    run();
    if (!fault_.empty()) std::cout << fault_ << "\n";
    return fault_.empty() ? 0 : 1;
  }

 private:
  static constexpr Duration kMeasured = Duration::millis(20'000);
  static FleetOptions options(std::size_t routers) {
    FleetOptions fleetOptions;
    fleetOptions.routers = routers;
    fleetOptions.voters = 5;
    fleetOptions.hasDirectLinks = true;
    return fleetOptions;
  }
  // The number of this name in the status document; 0: absent.
  double statusNumber(std::size_t router, const std::string& name) const {
    const std::string text = fleet_.statusDocument(router);
    const auto at = text.find("\"" + name + "\": ");
    return at == std::string::npos ? 0 : std::stod(text.substr(at + name.size() + 4));
  }
  event_loop::Task scenario() {
    const Instant startedAt = loop_.now();
    fleet_.startAll();
    const Instant until = startedAt + kScenarioTimeout;
    const auto all = [&](const std::function<bool(std::size_t)>& holds) {
      for (std::size_t i = 0; i < fleet_.routers(); ++i)
        if (!holds(i)) return false;
      return true;
    };
    const auto hasJoined = [&](std::size_t i) {
      return fleet_.log(i).find("members.join state=entered") != std::string::npos;
    };
    while (!isDone(all(hasJoined), until, "all routers to join"))
      co_await loop_.sleepUntil(loop_.now() + kPollInterval);
    std::cout << fleet_.routers() << " routers, 5 of them voters: all have joined after "
              << (loop_.now() - startedAt).inSeconds() << " s\n";
    co_await loop_.sleepUntil(loop_.now() + kMeasured * 0.5);  // the traffic of the startup has ended
    struct Totals {
      double messagesSent = 0, repliesReceived = 0;  // as a router
      double messagesReceived = 0, repliesSent = 0;  // as a voter
      double cpuSeconds = 0;
    };
    const auto sumUp = [&](std::size_t from, std::size_t to) {
      Totals totals;
      for (std::size_t i = from; i < to; ++i) {
        totals.messagesSent += statusNumber(i, "said");
        totals.repliesReceived += statusNumber(i, "heard");
        totals.messagesReceived += statusNumber(i, "words_taken");
        totals.repliesSent += statusNumber(i, "answers_given");
        totals.cpuSeconds += fleet_.cpuSeconds(i);
      }
      return totals;
    };
    const Totals votersBefore = sumUp(0, 5), othersBefore = sumUp(5, fleet_.routers());
    const Instant from = loop_.now();
    co_await loop_.sleepUntil(from + kMeasured);
    const Totals voters = sumUp(0, 5), others = sumUp(5, fleet_.routers());
    const double seconds = (loop_.now() - from).inSeconds();
    const auto print = [&](const char* label, std::size_t count, const Totals& before, const Totals& after) {
      if (count == 0) return;
      const double routerSeconds = seconds * static_cast<double>(count);
      std::cout << label << ", per second: sends "
                << (after.messagesSent - before.messagesSent) / routerSeconds << ", receives "
                << (after.repliesReceived - before.repliesReceived) / routerSeconds
                << " replies; as a voter receives "
                << (after.messagesReceived - before.messagesReceived) / routerSeconds << ", sends "
                << (after.repliesSent - before.repliesSent) / routerSeconds << " replies; CPU "
                << (after.cpuSeconds - before.cpuSeconds) / routerSeconds * 1000 << " ms\n";
    };
    print("a voter", 5, votersBefore, voters);
    print("another router", fleet_.routers() - 5, othersBefore, others);
    loop_.stop();
  }
  static constexpr Duration kPollInterval = Duration::millis(200);
  TestFleet fleet_;
};

}  // namespace

int idleTraffic(std::size_t routers) { return IdleTraffic(routers).play(); }

}  // namespace gulltrestle::fleet
