// All routers lose power after a change of primary. The first endpoint list that they get is outdated and
// names the old primary, which still reports that it is the primary; the new primary is not up yet. Guards
// against writes to the old primary, which would be lost. Checked by the nodes' own counts.
#include <algorithm>
#include <iostream>

#include "cases.h"
#include "rig.h"
#include "testing/fake_servers/fake_node.h"
#include "testing/fake_servers/fake_proxy.h"

namespace gulltrestle::fleet {

namespace {

// Requests sent, at all routers in turn, while only the old primary is up.
constexpr int kRequestsDuringOutage = 60;

class OldPrimaryReturns : private Scenario {
 public:
  // `forced`: an operator forces the stage in which writes go to the primary that the list names.
  OldPrimaryReturns(bool usesVoters, bool forced)
      : discovery_(loop_),
        oldPrimary_(loop_, "p", true),
        newPrimary_(loop_, "q", false),
        fleet_(loop_, 1, options(usesVoters)),
        usesVoters_(usesVoters),
        forced_(forced) {
    for (std::size_t i = 0; i < fleet_.routers(); ++i) {
      fake_servers::FakeProxyConfig proxyConfig;
      proxyConfig.processor = fleet_.processorAddress(i);
      proxyConfig.messageTimeout = Duration::millis(2000);
      proxies_.push_back(std::make_unique<fake_servers::FakeProxy>(loop_, proxyConfig));
    }
  }
  bool play() {
    loop_.spawn(scenario());
    run();
    if (!fault_.empty() && usesVoters_) {
      fleet_.keepFiles();
      std::cerr << fault_ << "; logs in " << fleet_.path() << "\n";
    }
    return fault_.empty();
  }

 private:
  FleetOptions options(bool usesVoters) const {
    FleetOptions fleetOptions;
    fleetOptions.usesVoters = usesVoters;
    fleetOptions.discovery = discovery_.address();
    return fleetOptions;
  }
  void sendRequest(std::size_t router, bool isWrite) {
    ++openRequestCount_;
    const std::string id = (isWrite ? "w" : "r") + std::to_string(++lastId_);
    proxies_[router]->send({.headers = {{":method", isWrite ? "POST" : "GET"},
                                        {"x-txn-id", id},
                                        {"x-txn-type", isWrite ? "book-charge" : "route-lookup"},
                                        {"x-txn-group", "1"}},
                            .isWrite = isWrite,
                            .remainingTime = Duration::millis(900)},
                           [this, isWrite](fake_servers::Answer answer) {
                             --openRequestCount_;
                             const bool committed = answer.outcome == "committed" || answer.status == 200;
                             (isWrite ? writes_ : reads_) += committed;
                           });
  }
  void publishList(bool newIsPrimary) {
    discovery_.set({"p", oldPrimary_.address(), "up", !newIsPrimary, 1});
    discovery_.set({"q", newPrimary_.address(), "up", newIsPrimary, 1});
  }
  bool allLogged(const std::string& line) const {
    for (std::size_t i = 0; i < fleet_.routers(); ++i)
      if (fleet_.log(i).find(line) == std::string::npos) return false;
    return true;
  }

  event_loop::Task scenario() {
    publishList(false);
    fleet_.startAll();
    // Each router commits a write at the first primary, then at the second.
    beginStep(writeAtEach("a write"));
    while (!isStepOver_) co_await tick();
    oldPrimary_.isPrimary = false;
    newPrimary_.isPrimary = true;
    publishList(true);
    beginStep(writeAtEach("a write"));
    while (!isStepOver_) co_await tick();
    const Instant until = deadline();
    while (usesVoters_ && !isDone(allLogged("primary=q"), until, "all routers to know the new primary"))
      co_await tick();
    std::cout << "change of primary: " << (fault_.empty() ? "each router writes to the new primary" : fault_)
              << "\n";
    for (const bool isListFirst : {true, false}) {
      if (!usesVoters_) break;
      beginStep(startAlone(isListFirst));
      while (!isStepOver_) co_await tick();
    }
    beginStep(startWithOldPrimary());
    while (!isStepOver_) co_await tick();
    if (forced_) {
      fleet_.forceStage("writes");
      for (std::size_t i = 0; i < fleet_.routers(); ++i) fleet_.reloadConfig(i);
    } else {
      newPrimary_.isDown = false;
      oldPrimary_.isPrimary = false;
    }
    beginStep(writeAtEach(forced_ ? "a write in the forced stage" : "another write"));
    while (!isStepOver_) co_await tick();
    printResult();
    loop_.stop();
  }

  // Each router commits a write.
  event_loop::Task writeAtEach(const char* what) {
    const Instant until = deadline();
    for (std::size_t i = 0; i < fleet_.routers(); ++i)
      for (const auto before = writes_; !isDone(writes_ > before, until, what);) {
        sendRequest(i, true);
        while (openRequestCount_ > 0) co_await tick();
      }
    endStep();
  }

  // One router restarts, and the two others report to it what nodes reported to them: after it has an
  // endpoint list, or before.
  event_loop::Task startAlone(bool isListFirst) {
    constexpr std::size_t kRouter = 2;
    fleet_.kill(kRouter);
    const std::size_t before = fleet_.log(kRouter).size();
    const auto logged = [&](const char* line) {
      return fleet_.log(kRouter).find(line, before) != std::string::npos;
    };
    const auto isProven = [&] { return logged("proven=1") || logged("proven=2"); };
    setLinks(kRouter, isListFirst ? Flow::cut : Flow::open);
    discovery_.isSilent = !isListFirst;
    fleet_.start(kRouter);
    const Instant until = deadline();
    const auto hasFirstSource = [&] {
      return isListFirst ? logged("list version")
                         : logged("observation by=r0") && logged("observation by=r1");
    };
    while (!isDone(hasFirstSource(), until,
                   isListFirst ? "an endpoint list" : "the observations of two routers"))
      co_await tick();
    if (isProven()) fail("proven by the list or by the observations alone");
    setLinks(kRouter, Flow::open);
    discovery_.isSilent = false;
    while (
        !isDone(isProven(), until,
                isListFirst ? "the observations of two routers" : "use of the observations after the list"))
      co_await tick();
    if (fault_.empty())
      std::cout << "one router restarts, " << (isListFirst ? "endpoint list first" : "observations first")
                << ": the others' observations prove the nodes' log positions\n";
    endStep();
  }
  void setLinks(std::size_t router, Flow flow) {
    for (std::size_t voter = 0; voter < 2; ++voter) fleet_.setFlow(router, voter, flow);
  }

  // All routers lose power; then the old primary is up and the endpoint list is outdated. Reads have to be
  // served, and writes are requested all the while.
  event_loop::Task startWithOldPrimary() {
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < fleet_.routers(); ++i) all.push_back(i);
    fleet_.losePower(all);
    oldPrimary_.isPrimary = true;
    newPrimary_.isDown = true;
    discovery_.restart();
    publishList(false);
    const auto writesAtOldBefore = writesAtOldPrimary();
    fleet_.startAll();
    const Instant until = deadline();
    const auto readsBefore = reads_;
    for (int n = 0; n < kRequestsDuringOutage || !isDone(reads_ > readsBefore + 5, until, "reads"); ++n) {
      sendRequest(static_cast<std::size_t>(n) % fleet_.routers(), n % 2 == 0);
      while (openRequestCount_ > 0) co_await tick();
    }
    const bool isWritten = writesAtOldPrimary() > writesAtOldBefore;
    std::cout << "the old primary is back first: reads are served, "
              << (isWritten ? "writes go to it and are lost" : "nothing is written to it") << "\n";
    if (isWritten == usesVoters_) fail("unexpected result of writes while only the old primary is up");
    endStep();
  }

  void printResult() const {
    if (!forced_) {
      std::cout << "the new primary is back: " << (fault_.empty() ? "each router writes to it" : fault_)
                << "\n";
      return;
    }
    const bool isLogged = allLogged("recovery.forced stage=writes by=\"kim\"");
    std::cout << "an operator forces writes: "
              << (isLogged && fault_.empty() ? "each router writes to it and logs the operator's name"
                                             : fault_)
              << "\n";
  }

  std::size_t writesAtOldPrimary() const {
    return static_cast<std::size_t>(std::count_if(oldPrimary_.runCounts.begin(), oldPrimary_.runCounts.end(),
                                                  [](const auto& run) { return run.first[0] == 'w'; }));
  }

  fake_servers::FakeDiscovery discovery_;
  fake_servers::FakeNode oldPrimary_, newPrimary_;
  TestFleet fleet_;
  bool usesVoters_, forced_;
  std::vector<std::unique_ptr<fake_servers::FakeProxy>> proxies_;
  std::size_t openRequestCount_ = 0;
  std::uint64_t writes_ = 0, reads_ = 0, lastId_ = 0;
};

}  // namespace

int oldPrimaryReturns() {
  std::cout << "-- without voters\n";
  OldPrimaryReturns(false, false).play();
  std::cout << "-- with voters\n";
  const bool holds = OldPrimaryReturns(true, false).play();
  std::cout << "-- with voters and a forced stage\n";
  return OldPrimaryReturns(true, true).play() && holds ? 0 : 1;
}

}  // namespace gulltrestle::fleet
