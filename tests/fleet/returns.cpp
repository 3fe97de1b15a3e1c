// All routers lose power after a change of primary. The list that comes first is older and names the old
// primary, which still believes in itself; the new one is not there yet. What was written to the old one now
// would be lost. Judged by the nodes' own counts.
#include <algorithm>
#include <iostream>

#include "cases.h"
#include "rig.h"
#include "testing/fake_servers/fake_node.h"
#include "testing/fake_servers/fake_proxy.h"

namespace gulltrestle::fleet {

namespace {

// Asked while only the old primary is there: at all routers in turn.
constexpr int kRequestsMeanwhile = 60;

class OldPrimaryReturns : private Scenario {
 public:
  // `forced`: an operator says that the one that the list names is to be written to.
  OldPrimaryReturns(bool usesVoters, bool forced)
      : discovery_(loop_),
        old_(loop_, "p", true),
        new_(loop_, "q", false),
        rig_(loop_, 1, options(usesVoters)),
        usesVoters_(usesVoters),
        forced_(forced) {
    for (std::size_t i = 0; i < rig_.routers(); ++i) {
      fake_servers::FakeProxyConfig setup;
      setup.processor = rig_.processor(i);
      setup.messageTimeout = Duration::millis(2000);
      proxies_.push_back(std::make_unique<fake_servers::FakeProxy>(loop_, setup));
    }
  }
  bool play() {
    loop_.spawn(scenario());
    run();
    if (!fault_.empty() && usesVoters_) {
      rig_.keep();
      std::cerr << fault_ << "; logs in " << rig_.path() << "\n";
    }
    return fault_.empty();
  }

 private:
  FleetOptions options(bool usesVoters) const {
    FleetOptions made;
    made.usesVoters = usesVoters;
    made.discovery = discovery_.address();
    return made;
  }
  void sendRequest(std::size_t router, bool isWrite) {
    ++open_;
    const std::string id = (isWrite ? "w" : "r") + std::to_string(++ids_);
    proxies_[router]->send({.headers = {{":method", isWrite ? "POST" : "GET"},
                                        {"x-txn-id", id},
                                        {"x-txn-type", isWrite ? "book-charge" : "route-lookup"},
                                        {"x-txn-group", "1"}},
                            .isWrite = isWrite,
                            .remainingTime = Duration::millis(900)},
                           [this, isWrite](fake_servers::Answer answer) {
                             --open_;
                             const bool committed = answer.outcome == "committed" || answer.status == 200;
                             (isWrite ? writes_ : reads_) += committed;
                           });
  }
  void list(bool newIsPrimary) {
    discovery_.set({"p", old_.address(), "up", !newIsPrimary, 1});
    discovery_.set({"q", new_.address(), "up", newIsPrimary, 1});
  }
  bool allLogged(const std::string& line) const {
    for (std::size_t i = 0; i < rig_.routers(); ++i)
      if (rig_.log(i).find(line) == std::string::npos) return false;
    return true;
  }

  event_loop::Task scenario() {
    list(false);
    rig_.startAll();
    // Each commits a write at the first primary, then at the next.
    beginStep(writeAtEach("a write"));
    while (!isStepOver_) co_await tick();
    old_.isPrimary = false;
    new_.isPrimary = true;
    list(true);
    beginStep(writeAtEach("a write"));
    while (!isStepOver_) co_await tick();
    const Instant by = deadline();
    while (usesVoters_ && !isDone(allLogged("primary=q"), by, "the new primary, known to all"))
      co_await tick();
    std::cout << "the primary changes: " << (fault_.empty() ? "each router writes to the new one" : fault_)
              << "\n";
    for (const bool isListFirst : {true, false}) {
      if (!usesVoters_) break;
      beginStep(startAlone(isListFirst));
      while (!isStepOver_) co_await tick();
    }
    beginStep(startWithOldPrimary());
    while (!isStepOver_) co_await tick();
    if (forced_) {
      rig_.force("writes");
      for (std::size_t i = 0; i < rig_.routers(); ++i) rig_.reloadConfig(i);
    } else {
      new_.isDown = false;
      old_.isPrimary = false;
    }
    beginStep(writeAtEach(forced_ ? "a write as forced" : "a write again"));
    while (!isStepOver_) co_await tick();
    printEnd();
    loop_.stop();
  }

  // Each router commits a write.
  event_loop::Task writeAtEach(const char* what) {
    const Instant by = deadline();
    for (std::size_t i = 0; i < rig_.routers(); ++i)
      for (const auto before = writes_; !isDone(writes_ > before, by, what);) {
        sendRequest(i, true);
        while (open_ > 0) co_await tick();
      }
    endStep();
  }

  // One starts alone, and the two others report to it what nodes reported to them: once it has an endpoint
  // list, and before.
  event_loop::Task startAlone(bool isListFirst) {
    constexpr std::size_t kRouter = 2;
    rig_.kill(kRouter);
    const std::size_t before = rig_.log(kRouter).size();
    const auto logged = [&](const char* line) {
      return rig_.log(kRouter).find(line, before) != std::string::npos;
    };
    const auto isProven = [&] { return logged("proven=1") || logged("proven=2"); };
    setLinks(kRouter, isListFirst ? Flow::cut : Flow::open);
    discovery_.isSilent = !isListFirst;
    rig_.start(kRouter);
    const Instant by = deadline();
    const auto hasFirst = [&] {
      return isListFirst ? logged("list version") : logged("told by=r0") && logged("told by=r1");
    };
    while (!isDone(hasFirst(), by, isListFirst ? "a list" : "two witnesses")) co_await tick();
    if (isProven()) fail("proven by one side alone");
    setLinks(kRouter, Flow::open);
    discovery_.isSilent = false;
    while (!isDone(isProven(), by, isListFirst ? "two witnesses" : "what they told, once the list is there"))
      co_await tick();
    if (fault_.empty())
      std::cout << "one starts alone, " << (isListFirst ? "first with a list" : "first with two others")
                << ": they prove to it what nodes have reached\n";
    endStep();
  }
  void setLinks(std::size_t router, Flow flow) {
    for (std::size_t voter = 0; voter < 2; ++voter) rig_.flow(router, voter, flow);
  }

  // All lose power, and the old primary is there with an older list. Reads are served; a write is asked for
  // all the while.
  event_loop::Task startWithOldPrimary() {
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < rig_.routers(); ++i) all.push_back(i);
    rig_.losePower(all);
    old_.isPrimary = true;
    new_.isDown = true;
    discovery_.restart();
    list(false);
    const auto writtenBefore = writtenToOld();
    rig_.startAll();
    const Instant by = deadline();
    const auto readsBefore = reads_;
    for (int n = 0; n < kRequestsMeanwhile || !isDone(reads_ > readsBefore + 5, by, "reads"); ++n) {
      sendRequest(static_cast<std::size_t>(n) % rig_.routers(), n % 2 == 0);
      while (open_ > 0) co_await tick();
    }
    const bool isWritten = writtenToOld() > writtenBefore;
    std::cout << "the old one is back first: reads are served, "
              << (isWritten ? "writes go to it and are lost" : "nothing is written to it") << "\n";
    if (isWritten == usesVoters_) fail("written to the old primary or not, as it should not be");
    endStep();
  }

  void printEnd() const {
    if (!forced_) {
      std::cout << "the new one is back: " << (fault_.empty() ? "each router writes to it" : fault_) << "\n";
      return;
    }
    const bool isLogged = allLogged("recovery.forced stage=writes by=\"kim\"");
    std::cout << "an operator says that it is the one: "
              << (isLogged && fault_.empty() ? "each router writes to it, and says on whose word" : fault_)
              << "\n";
  }

  std::size_t writtenToOld() const {
    return static_cast<std::size_t>(std::count_if(old_.runCounts.begin(), old_.runCounts.end(),
                                                  [](const auto& run) { return run.first[0] == 'w'; }));
  }

  fake_servers::FakeDiscovery discovery_;
  fake_servers::FakeNode old_, new_;
  Rig rig_;
  bool usesVoters_, forced_;
  std::vector<std::unique_ptr<fake_servers::FakeProxy>> proxies_;
  std::size_t open_ = 0;
  std::uint64_t writes_ = 0, reads_ = 0, ids_ = 0;
};

}  // namespace

int oldPrimaryReturns() {
  std::cout << "-- routers that settle nothing\n";
  OldPrimaryReturns(false, false).play();
  std::cout << "-- routers that know the primary from before\n";
  const bool holds = OldPrimaryReturns(true, false).play();
  std::cout << "-- and an operator\n";
  return OldPrimaryReturns(true, true).play() && holds ? 0 : 1;
}

}  // namespace gulltrestle::fleet
