// The same request at two routers when the outcome at the first is not reported, and the cost of claiming ids
// from the voters.
#include <algorithm>
#include <iostream>

#include "cases.h"
#include "rig.h"
#include "testing/fake_servers/fake_node.h"
#include "testing/fake_servers/fake_proxy.h"

namespace gulltrestle::fleet {

namespace {

// Sends the same request to two routers that are external processors, without a report of how the first lease
// ended. Guards against running the transaction twice.
class RepeatedRequests : private Scenario {
 public:
  explicit RepeatedRequests(bool usesVoters)
      : discovery_(loop_),
        node_(loop_, "p", true),
        fleet_(loop_, 1, options(usesVoters)),
        usesVoters_(usesVoters) {
    discovery_.set({node_.id(), node_.address(), "up", true, 1});
    for (std::size_t i = 0; i < 2; ++i) {
      fake_servers::FakeProxyConfig proxyConfig;
      proxyConfig.processor = fleet_.processorAddress(i);
      proxyConfig.messageTimeout = Duration::millis(2000);
      proxies_.push_back(std::make_unique<fake_servers::FakeProxy>(loop_, proxyConfig));
      proxies_[i]->faults.resetsBeforeReport = [this] { return areOutcomesHidden_; };
    }
  }
  void play() {
    loop_.spawn(scenario());
    run();
    if (!fault_.empty()) std::cerr << fault_ << "\n";
  }

 private:
  static constexpr int kRequestsPerScenario = 20;
  FleetOptions options(bool usesVoters) const {
    FleetOptions fleetOptions;
    fleetOptions.usesVoters = usesVoters;
    fleetOptions.discovery = discovery_.address();
    return fleetOptions;
  }
  void sendRequest(std::size_t router, const std::string& id) {
    ++openRequestCount_;
    proxies_[router]->send({.headers = {{":method", "POST"},
                                        {"x-txn-id", id},
                                        {"x-txn-type", "book-charge"},
                                        {"x-txn-group", "1"}},
                            .isWrite = true,
                            .remainingTime = Duration::millis(900)},
                           [this](fake_servers::Answer answer) {
                             --openRequestCount_;
                             committed_ += answer.outcome == "committed" || answer.status == 200;
                           });
  }
  event_loop::Task scenario() {
    fleet_.startAll();
    for (const std::string scenarioName :
         {"sent to the second router after the first", "sent to both routers at once",
          "sent to the first router again after kill -9"}) {
      for (const std::size_t router : {0, 1}) {
        beginStep(untilServing(router));
        while (!isStepOver_) co_await tick();
      }
      areOutcomesHidden_ = true;
      std::vector<std::string> ids;
      for (int n = 0; n < kRequestsPerScenario; ++n)
        ids.push_back(scenarioName.substr(0, 7) + scenarioName.substr(scenarioName.size() - 3) +
                      std::to_string(n));
      beginStep(sendTwice(ids, scenarioName));
      while (!isStepOver_) co_await tick();
      areOutcomesHidden_ = false;
      printRuns(ids, scenarioName);
    }
    loop_.stop();
  }

  // Sends requests until one is granted.
  event_loop::Task untilServing(std::size_t router) {
    for (const auto before = committed_; committed_ == before;) {
      sendRequest(router, "serves" + std::to_string(++probeCount_));
      while (openRequestCount_ > 0) co_await tick();
    }
    endStep();
  }
  event_loop::Task sendTwice(std::vector<std::string> ids, std::string scenarioName) {
    for (const auto& id : ids) {
      sendRequest(0, id);
      if (scenarioName == "sent to both routers at once") sendRequest(1, id);
      while (openRequestCount_ > 0) co_await tick();
      if (scenarioName == "sent to the second router after the first") sendRequest(1, id);
      while (openRequestCount_ > 0) co_await tick();
    }
    if (scenarioName != "sent to the first router again after kill -9") {
      endStep();
      co_return;
    }
    fleet_.kill(0);
    fleet_.start(0);
    areOutcomesHidden_ = false;
    for (const auto before = committed_; committed_ == before;) {
      sendRequest(0, "serves" + std::to_string(++probeCount_));
      while (openRequestCount_ > 0) co_await tick();
    }
    areOutcomesHidden_ = true;
    for (const auto& id : ids) {
      sendRequest(0, id);
      while (openRequestCount_ > 0) co_await tick();
    }
    endStep();
  }
  void printRuns(const std::vector<std::string>& ids, const std::string& scenarioName) {
    int ranCount = 0, ranTwiceCount = 0;
    for (const auto& id : ids) {
      ranCount += node_.runCounts[id] > 0;
      ranTwiceCount += node_.runCounts[id] > 1;
    }
    const std::string ranTwiceWithoutVoters = ranTwiceCount > 0 ? "some" : "NONE";
    std::cout << scenarioName << (usesVoters_ ? "" : ", without voters") << ": ran "
              << (ranCount * 2 > kRequestsPerScenario ? "most" : "FEW") << ", twice "
              << (usesVoters_ ? std::to_string(ranTwiceCount) : ranTwiceWithoutVoters) << "\n";
    std::cerr << scenarioName << ": ran " << ranCount << ", twice " << ranTwiceCount << " of "
              << kRequestsPerScenario << "\n";
  }

  fake_servers::FakeDiscovery discovery_;
  fake_servers::FakeNode node_;
  TestFleet fleet_;
  bool usesVoters_;
  std::vector<std::unique_ptr<fake_servers::FakeProxy>> proxies_;
  bool areOutcomesHidden_ = false;  // proxies don't report the outcomes of leases
  std::size_t openRequestCount_ = 0;
  std::uint64_t committed_ = 0, probeCount_ = 0;
};

// A measurement, not a test: the duration of an at-most-once transaction, connection included, one at a time
// and several at a time, spread over three routers.
class ClaimCost {
 public:
  ClaimCost(bool usesVoters, std::size_t voters)
      : fleet_(loop_, 1, options(usesVoters, voters)), usesVoters_(usesVoters) {}
  void play() {
    loop_.spawn(scenario());
    loop_.run([](Instant) { return Instant(); }, [this](std::exception_ptr) { loop_.stop(); });
  }

 private:
  static FleetOptions options(bool usesVoters, std::size_t voters) {
    FleetOptions fleetOptions;
    fleetOptions.usesVoters = usesVoters;
    fleetOptions.routers = std::max<std::size_t>(3, voters);
    fleetOptions.voters = voters;
    return fleetOptions;
  }
  event_loop::Task scenario() {
    fleet_.startAll();
    for (std::size_t index = fleet_.sendRequest(0, "first");;
         index = fleet_.sendRequest(0, "first" + std::to_string(index))) {
      while (!fleet_.clientRequest(index).isOver) co_await loop_.sleepUntil(loop_.now() + kTick);
      if (fleet_.clientRequest(index).outcome == FinalOutcome::committed && index > 300) break;
    }
    for (const std::size_t concurrency : {1, 10, 50}) {
      const std::size_t from = fleet_.requestCount(), count = concurrency == 1 ? 1000 : 5000;
      const Instant startedAt = loop_.now();
      for (std::size_t n = 0; n < count || fleet_.openRequestCount() > 0;) {
        while (n < count && fleet_.openRequestCount() < concurrency) {
          fleet_.sendRequest(n % 3, "t" + std::to_string(concurrency) + "n" + std::to_string(n));
          ++n;
        }
        co_await loop_.sleepUntil(loop_.now() + Duration::micros(200));
      }
      const double seconds = (loop_.now() - startedAt).inSeconds();
      std::vector<double> durationsMs;
      std::size_t committed = 0;
      for (std::size_t index = from; index < fleet_.requestCount(); ++index) {
        durationsMs.push_back(fleet_.clientRequest(index).duration.inSeconds() * 1000);
        committed += fleet_.clientRequest(index).outcome == FinalOutcome::committed;
      }
      std::sort(durationsMs.begin(), durationsMs.end());
      std::cout << (usesVoters_ ? std::to_string(fleet_.voters()) + " voters" : "without voters") << ", "
                << concurrency << " in flight: p50 " << durationsMs[durationsMs.size() / 2] << " ms, p99 "
                << durationsMs[durationsMs.size() * 99 / 100] << " ms, "
                << static_cast<double>(committed) / seconds << " committed per second, " << committed
                << " of " << durationsMs.size() << std::endl;
    }
    loop_.stop();
  }

  event_loop::EventLoop loop_;
  TestFleet fleet_;
  bool usesVoters_;
};

}  // namespace

int grants() {
  RepeatedRequests(false).play();
  RepeatedRequests(true).play();
  return 0;
}

int claimCost() {
  ClaimCost(false, 3).play();
  for (const std::size_t voters : {1, 3, 5}) ClaimCost(true, voters).play();
  return 0;
}

}  // namespace gulltrestle::fleet
