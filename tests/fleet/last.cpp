// All routers and nodes lose power. The only replica that has what a session wrote is the last to come back;
// the primary never does, and another replica, an hour behind, is there at once. The session's reads wait or
// are refused, and nobody waits for ever. Judged by what ran at which node.
#include <algorithm>
#include <iostream>

#include "cases.h"
#include "rig.h"
#include "testing/fake_servers/fake_node.h"
#include "testing/fake_servers/fake_proxy.h"

namespace gulltrestle::fleet {

namespace {

// Asked while only the replica that is behind is there: session reads at all routers in turn.
constexpr int kRequestsMeanwhile = 30;

class LastReplicaReturns : private Scenario {
 public:
  // `liesAboutLag`: the replica that is behind reports that it is not, an injected fault.
  explicit LastReplicaReturns(bool liesAboutLag)
      : discovery_(loop_),
        primary_(loop_, "p", true),
        behind_(loop_, "q", false),
        caughtUp_(loop_, "s", false),
        rig_(loop_, 1, options()),
        liesAboutLag_(liesAboutLag) {
    behind_.lag = Duration::millis(3'600'000);
    for (std::size_t i = 0; i < rig_.routers(); ++i) {
      fake_servers::FakeProxyConfig setup;
      setup.processor = rig_.processor(i);
      setup.messageTimeout = Duration::millis(2000);
      proxies_.push_back(std::make_unique<fake_servers::FakeProxy>(loop_, setup));
    }
    for (const auto* node : {&primary_, &behind_, &caughtUp_})
      discovery_.set({node->id(), node->address(), "up", node == &primary_, 1});
  }
  bool play() {
    loop_.spawn(scenario());
    run();
    if (!fault_.empty() && !liesAboutLag_) {
      rig_.keep();
      std::cerr << fault_ << "; logs in " << rig_.path() << "\n";
    }
    return fault_.empty();
  }

 private:
  FleetOptions options() const {
    FleetOptions made;
    made.discovery = discovery_.address();
    return made;
  }
  void sendRequest(std::size_t router, bool isSessionRead) {
    ++open_;
    ext_proc::Headers headers{{":method", "GET"},
                              {"x-txn-id", (isSessionRead ? "s" : "a") + std::to_string(++ids_)},
                              {"x-txn-type", isSessionRead ? "own-booking" : "route-lookup"},
                              {"x-txn-group", "1"}};
    if (isSessionRead) {
      headers.push_back({"x-txn-session", "driver-7"});
      headers.push_back({"x-txn-write-age-ms", "5000"});
    }
    proxies_[router]->send({.headers = headers, .isWrite = false, .remainingTime = Duration::millis(900)},
                           [this, isSessionRead](fake_servers::Answer answer) {
                             --open_;
                             (isSessionRead ? ofSession_ : any_) +=
                                 answer.outcome == "committed" || answer.status == 200;
                           });
  }
  std::size_t ranBehind() const {
    return static_cast<std::size_t>(std::count_if(behind_.runCounts.begin(), behind_.runCounts.end(),
                                                  [](const auto& run) { return run.first[0] == 's'; }));
  }
  event_loop::Task scenario() {
    rig_.startAll();
    Instant by = loop_.now() + kScenarioTimeout;
    for (std::size_t i = 0; i < rig_.routers(); ++i)
      for (const auto before = ofSession_; !isDone(ofSession_ > before, by, "a session's read");) {
        sendRequest(i, true);
        while (open_ > 0) co_await tick();
      }
    if (ranBehind() > 0) fail("a session's read ran where its write is not");
    std::cout << "all are there: each router serves the session\n";

    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < rig_.routers(); ++i) all.push_back(i);
    rig_.losePower(all);
    primary_.isDown = caughtUp_.isDown = true;
    if (liesAboutLag_) behind_.lag = Duration::millis(2);
    rig_.startAll();
    by = loop_.now() + kScenarioTimeout;
    const auto anyBefore = any_, sessionBefore = ofSession_;
    for (int n = 0; n < kRequestsMeanwhile * 2 || !isDone(any_ > anyBefore + 5, by, "any reads"); ++n) {
      sendRequest(static_cast<std::size_t>(n / 2) % rig_.routers(), n % 2 == 0);
      while (open_ > 0) co_await tick();
    }
    if (ranBehind() > 0 || ofSession_ > sessionBefore) fail("a session's read ran where its write is not");
    std::cout << "only the one that is behind is back: any reads are served, "
              << (fault_.empty() ? "the session's are not" : fault_) << "\n";
    caughtUp_.isDown = false;
    by = loop_.now() + kScenarioTimeout;
    for (std::size_t i = 0; i < rig_.routers() && fault_.empty(); ++i)
      for (const auto before = ofSession_; !isDone(ofSession_ > before, by, "a session's read again");) {
        sendRequest(i, true);
        while (open_ > 0) co_await tick();
      }
    if (fault_.empty() && ranBehind() == 0)
      std::cout << "the last one is back: each router serves the session, there\n";
    loop_.stop();
  }

  fake_servers::FakeDiscovery discovery_;
  fake_servers::FakeNode primary_, behind_, caughtUp_;
  Rig rig_;
  bool liesAboutLag_;
  std::vector<std::unique_ptr<fake_servers::FakeProxy>> proxies_;
  std::size_t open_ = 0;
  std::uint64_t any_ = 0, ofSession_ = 0, ids_ = 0;
};

}  // namespace

int lastReplicaReturns() {
  const bool holds = LastReplicaReturns(false).play();
  std::cout << "-- a replica that tells falsely\n";
  LastReplicaReturns(true).play();
  return holds ? 0 : 1;
}

}  // namespace gulltrestle::fleet
