// All routers and nodes lose power. Of the nodes, a replica that lags by an hour returns at once, the only
// replica that has applied a session's writes returns last, and the primary never returns. Guards against
// session reads that run at the lagging replica, or that wait without end: until the other replica is back
// they wait or are refused. Checked by what ran at which node.
#include <algorithm>
#include <iostream>

#include "cases.h"
#include "rig.h"
#include "testing/fake_servers/fake_node.h"
#include "testing/fake_servers/fake_proxy.h"

namespace gulltrestle::fleet {

namespace {

// Session reads sent, at all routers in turn, while only the lagging replica is up.
constexpr int kRequestsDuringOutage = 30;

class LastReplicaReturns : private Scenario {
 public:
  // `misreportsLag`: injected fault, the lagging replica reports a small lag.
  explicit LastReplicaReturns(bool misreportsLag)
      : discovery_(loop_),
        primary_(loop_, "p", true),
        laggingReplica_(loop_, "q", false),
        caughtUpReplica_(loop_, "s", false),
        fleet_(loop_, 1, options()),
        misreportsLag_(misreportsLag) {
    laggingReplica_.lag = Duration::millis(3'600'000);
    for (std::size_t i = 0; i < fleet_.routers(); ++i) {
      fake_servers::FakeProxyConfig proxyConfig;
      proxyConfig.processor = fleet_.processorAddress(i);
      proxyConfig.messageTimeout = Duration::millis(2000);
      proxies_.push_back(std::make_unique<fake_servers::FakeProxy>(loop_, proxyConfig));
    }
    for (const auto* node : {&primary_, &laggingReplica_, &caughtUpReplica_})
      discovery_.set({node->id(), node->address(), "up", node == &primary_, 1});
  }
  bool play() {
    loop_.spawn(scenario());
    run();
    if (!fault_.empty() && !misreportsLag_) {
      fleet_.keepFiles();
      std::cerr << fault_ << "; logs in " << fleet_.path() << "\n";
    }
    return fault_.empty();
  }

 private:
  FleetOptions options() const {
    FleetOptions fleetOptions;
    fleetOptions.discovery = discovery_.address();
    return fleetOptions;
  }
  void sendRequest(std::size_t router, bool isSessionRead) {
    ++openRequestCount_;
    ext_proc::Headers headers{{":method", "GET"},
                              {"x-txn-id", (isSessionRead ? "s" : "a") + std::to_string(++lastId_)},
                              {"x-txn-type", isSessionRead ? "own-booking" : "route-lookup"},
                              {"x-txn-group", "1"}};
    if (isSessionRead) {
      headers.push_back({"x-txn-session", "driver-7"});
      headers.push_back({"x-txn-write-age-ms", "5000"});
    }
    proxies_[router]->send({.headers = headers, .isWrite = false, .remainingTime = Duration::millis(900)},
                           [this, isSessionRead](fake_servers::Answer answer) {
                             --openRequestCount_;
                             (isSessionRead ? sessionReads_ : plainReads_) +=
                                 answer.outcome == "committed" || answer.status == 200;
                           });
  }
  std::size_t sessionReadsAtLagging() const {
    return static_cast<std::size_t>(std::count_if(laggingReplica_.runCounts.begin(),
                                                  laggingReplica_.runCounts.end(),
                                                  [](const auto& run) { return run.first[0] == 's'; }));
  }
  event_loop::Task scenario() {
    fleet_.startAll();
    Instant until = loop_.now() + kScenarioTimeout;
    for (std::size_t i = 0; i < fleet_.routers(); ++i)
      for (const auto before = sessionReads_; !isDone(sessionReads_ > before, until, "a session read");) {
        sendRequest(i, true);
        while (openRequestCount_ > 0) co_await tick();
      }
    if (sessionReadsAtLagging() > 0) fail("a session read ran at a replica without the session's writes");
    std::cout << "all nodes up: each router serves the session\n";

    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < fleet_.routers(); ++i) all.push_back(i);
    fleet_.losePower(all);
    primary_.isDown = caughtUpReplica_.isDown = true;
    if (misreportsLag_) laggingReplica_.lag = Duration::millis(2);
    fleet_.startAll();
    until = loop_.now() + kScenarioTimeout;
    const auto plainReadsBefore = plainReads_, sessionReadsBefore = sessionReads_;
    for (int n = 0; n < kRequestsDuringOutage * 2 ||
                    !isDone(plainReads_ > plainReadsBefore + 5, until, "reads without a session");
         ++n) {
      sendRequest(static_cast<std::size_t>(n / 2) % fleet_.routers(), n % 2 == 0);
      while (openRequestCount_ > 0) co_await tick();
    }
    if (sessionReadsAtLagging() > 0 || sessionReads_ > sessionReadsBefore)
      fail("a session read ran at a replica without the session's writes");
    std::cout << "only the lagging replica is back: reads without a session are served, "
              << (fault_.empty() ? "session reads are not" : fault_) << "\n";
    caughtUpReplica_.isDown = false;
    until = loop_.now() + kScenarioTimeout;
    for (std::size_t i = 0; i < fleet_.routers() && fault_.empty(); ++i)
      for (const auto before = sessionReads_;
           !isDone(sessionReads_ > before, until, "another session read");) {
        sendRequest(i, true);
        while (openRequestCount_ > 0) co_await tick();
      }
    if (fault_.empty() && sessionReadsAtLagging() == 0)
      std::cout << "the last replica is back: each router serves the session at that replica\n";
    loop_.stop();
  }

  fake_servers::FakeDiscovery discovery_;
  fake_servers::FakeNode primary_, laggingReplica_, caughtUpReplica_;
  TestFleet fleet_;
  bool misreportsLag_;
  std::vector<std::unique_ptr<fake_servers::FakeProxy>> proxies_;
  std::size_t openRequestCount_ = 0;
  std::uint64_t plainReads_ = 0, sessionReads_ = 0, lastId_ = 0;
};

}  // namespace

int lastReplicaReturns() {
  const bool holds = LastReplicaReturns(false).play();
  std::cout << "-- the lagging replica reports a small lag\n";
  LastReplicaReturns(true).play();
  return holds ? 0 : 1;
}

}  // namespace gulltrestle::fleet
