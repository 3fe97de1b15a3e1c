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
constexpr int kAskedMeanwhile = 60;

class Returns : private Scene {
 public:
  // `forced`: an operator says that the one that the list names is to be written to.
  Returns(bool settles, bool forced)
      : discovery_(loop_),
        old_(loop_, "p", true),
        new_(loop_, "q", false),
        rig_(loop_, 1, shape(settles)),
        settles_(settles),
        forced_(forced) {
    for (std::size_t i = 0; i < rig_.routers(); ++i) {
      fake_servers::FakeProxyConfig setup;
      setup.processor = rig_.processor(i);
      setup.messageTimeout = Duration::millis(2000);
      proxies_.push_back(std::make_unique<fake_servers::FakeProxy>(loop_, setup));
    }
  }
  bool play() {
    loop_.spawn(scene());
    run();
    if (!fault_.empty() && settles_) {
      rig_.keep();
      std::cerr << fault_ << "; logs in " << rig_.path() << "\n";
    }
    return fault_.empty();
  }

 private:
  Shape shape(bool settles) const {
    Shape made;
    made.settles = settles;
    made.discovery = discovery_.address();
    return made;
  }
  void ask(std::size_t router, bool isWrite) {
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

  event_loop::Task scene() {
    const auto commits = [](std::uint64_t& counted, std::uint64_t before) { return counted > before; };
    list(false);
    rig_.startAll();
    // Each commits a write at the first primary, then at the next.
    for (const bool changed : {false, true}) {
      if (changed) {
        old_.isPrimary = false;
        new_.isPrimary = true;
        list(true);
      }
      const Instant by = loop_.now() + kBound;
      for (std::size_t i = 0; i < rig_.routers(); ++i)
        for (const auto w = writes_; !waited(commits(writes_, w), by, "a write");) {
          ask(i, true);
          while (open_ > 0) co_await tick();
        }
    }
    const Instant by = loop_.now() + kBound;
    while (settles_ && !waited(allLogged("primary=q"), by, "the new primary, known to all")) co_await tick();
    std::cout << "the primary changes: " << (fault_.empty() ? "each router writes to the new one" : fault_)
              << "\n";

    if (settles_) {
      // One starts alone, and is told by the two others what nodes said to them: once it has a list, and
      // before.
      for (const bool listFirst : {true, false}) {
        rig_.kill(2);
        const std::size_t until = rig_.log(2).size();
        const auto logged = [&](const char* line) {
          return rig_.log(2).find(line, until) != std::string::npos;
        };
        for (std::size_t k = 0; k < 2; ++k) rig_.flow(2, k, listFirst ? Flow::cut : Flow::open);
        discovery_.isSilent = !listFirst;
        rig_.start(2);
        const Instant soon = loop_.now() + kBound;
        const auto first = [&] {
          return listFirst ? logged("list version") : logged("told by=r0") && logged("told by=r1");
        };
        while (!waited(first(), soon, listFirst ? "a list" : "two witnesses")) co_await tick();
        if (logged("proven=1") || logged("proven=2")) broken("proven by one side alone");
        for (std::size_t k = 0; k < 2; ++k) rig_.flow(2, k, Flow::open);
        discovery_.isSilent = false;
        const auto proven = [&] { return logged("proven=1") || logged("proven=2"); };
        while (
            !waited(proven(), soon, listFirst ? "two witnesses" : "what they told, once the list is there"))
          co_await tick();
        if (fault_.empty())
          std::cout << "one starts alone, " << (listFirst ? "first with a list" : "first with two others")
                    << ": they prove to it what nodes have reached\n";
      }
    }

    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < rig_.routers(); ++i) all.push_back(i);
    rig_.losePower(all);
    old_.isPrimary = true;
    new_.isDown = true;
    discovery_.restart();
    list(false);
    const auto before = writtenToOld();
    rig_.startAll();
    // Reads are served; a write is asked for all the while.
    const Instant until = loop_.now() + kBound;
    const auto readsBefore = reads_;
    for (int n = 0; n < kAskedMeanwhile || !waited(commits(reads_, readsBefore + 5), until, "reads"); ++n) {
      ask(static_cast<std::size_t>(n) % rig_.routers(), n % 2 == 0);
      while (open_ > 0) co_await tick();
    }
    const bool written = writtenToOld() > before;
    std::cout << "the old one is back first: reads are served, "
              << (written ? "writes go to it and are lost" : "nothing is written to it") << "\n";
    if (written == settles_) broken("written to the old primary or not, as it should not be");
    if (forced_) {
      rig_.force("writes");
      for (std::size_t i = 0; i < rig_.routers(); ++i) rig_.readAnew(i);
      const Instant late = loop_.now() + kBound;
      for (std::size_t i = 0; i < rig_.routers(); ++i)
        for (const auto w = writes_; !waited(commits(writes_, w), late, "a write as forced");) {
          ask(i, true);
          while (open_ > 0) co_await tick();
        }
      const bool said = allLogged("recovery.forced stage=writes by=\"kim\"");
      std::cout << "an operator says that it is the one: "
                << (said && fault_.empty() ? "each router writes to it, and says on whose word" : fault_)
                << "\n";
      loop_.stop();
      co_return;
    }

    new_.isDown = false;
    old_.isPrimary = false;
    const Instant late = loop_.now() + kBound;
    for (std::size_t i = 0; i < rig_.routers(); ++i)
      for (const auto w = writes_; !waited(commits(writes_, w), late, "a write again");) {
        ask(i, true);
        while (open_ > 0) co_await tick();
      }
    std::cout << "the new one is back: " << (fault_.empty() ? "each router writes to it" : fault_) << "\n";
    loop_.stop();
  }
  std::size_t writtenToOld() const {
    return static_cast<std::size_t>(std::count_if(old_.runCounts.begin(), old_.runCounts.end(),
                                                  [](const auto& run) { return run.first[0] == 'w'; }));
  }

  fake_servers::FakeDiscovery discovery_;
  fake_servers::FakeNode old_, new_;
  Rig rig_;
  bool settles_, forced_;
  std::vector<std::unique_ptr<fake_servers::FakeProxy>> proxies_;
  std::size_t open_ = 0;
  std::uint64_t writes_ = 0, reads_ = 0, ids_ = 0;
};

}  // namespace

int returns() {
  std::cout << "-- routers that settle nothing\n";
  Returns(false, false).play();
  std::cout << "-- routers that know the primary from before\n";
  const bool holds = Returns(true, false).play();
  std::cout << "-- and an operator\n";
  return Returns(true, true).play() && holds ? 0 : 1;
}

}  // namespace gulltrestle::fleet
