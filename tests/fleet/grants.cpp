// The same request at two routers with nothing reported between, and what agreeing on it costs.
#include <algorithm>
#include <iostream>

#include "cases.h"
#include "rig.h"
#include "testing/fake_servers/fake_node.h"
#include "testing/fake_servers/fake_proxy.h"

namespace gulltrestle::fleet {

namespace {

// The same request at two routers that are external processors, with nothing reported of the first lease's
// end.
class RepeatedRequests : private Scenario {
 public:
  explicit RepeatedRequests(bool usesVoters)
      : discovery_(loop_),
        node_(loop_, "p", true),
        rig_(loop_, 1, options(usesVoters)),
        usesVoters_(usesVoters) {
    discovery_.set({node_.id(), node_.address(), "up", true, 1});
    for (std::size_t i = 0; i < 2; ++i) {
      fake_servers::FakeProxyConfig setup;
      setup.processor = rig_.processor(i);
      setup.messageTimeout = Duration::millis(2000);
      proxies_.push_back(std::make_unique<fake_servers::FakeProxy>(loop_, setup));
      proxies_[i]->faults.resetsBeforeReport = [this] { return areOutcomesHidden_; };
    }
  }
  void play() {
    loop_.spawn(scenario());
    run();
    if (!fault_.empty()) std::cerr << fault_ << "\n";
  }

 private:
  static constexpr int kCases = 20;
  FleetOptions options(bool usesVoters) const {
    FleetOptions made;
    made.usesVoters = usesVoters;
    made.discovery = discovery_.address();
    return made;
  }
  void sendRequest(std::size_t router, const std::string& id) {
    ++open_;
    proxies_[router]->send({.headers = {{":method", "POST"},
                                        {"x-txn-id", id},
                                        {"x-txn-type", "book-charge"},
                                        {"x-txn-group", "1"}},
                            .isWrite = true,
                            .remainingTime = Duration::millis(900)},
                           [this](fake_servers::Answer answer) {
                             --open_;
                             committed_ += answer.outcome == "committed" || answer.status == 200;
                           });
  }
  event_loop::Task scenario() {
    rig_.startAll();
    for (const std::string way :
         {"at the second after the first", "at both at once", "at the first after kill -9"}) {
      for (const std::size_t router : {0, 1}) {
        beginStep(untilServing(router));
        while (!isStepOver_) co_await tick();
      }
      areOutcomesHidden_ = true;
      std::vector<std::string> ids;
      for (int n = 0; n < kCases; ++n)
        ids.push_back(way.substr(0, 7) + way.substr(way.size() - 3) + std::to_string(n));
      beginStep(sendTwice(ids, way));
      while (!isStepOver_) co_await tick();
      areOutcomesHidden_ = false;
      printRuns(ids, way);
    }
    loop_.stop();
  }

  // Sends requests until one is granted.
  event_loop::Task untilServing(std::size_t router) {
    for (const auto before = committed_; committed_ == before;) {
      sendRequest(router, "serves" + std::to_string(++probes_));
      while (open_ > 0) co_await tick();
    }
    endStep();
  }
  event_loop::Task sendTwice(std::vector<std::string> ids, std::string way) {
    for (const auto& id : ids) {
      sendRequest(0, id);
      if (way == "at both at once") sendRequest(1, id);
      while (open_ > 0) co_await tick();
      if (way == "at the second after the first") sendRequest(1, id);
      while (open_ > 0) co_await tick();
    }
    if (way != "at the first after kill -9") {
      endStep();
      co_return;
    }
    rig_.kill(0);
    rig_.start(0);
    areOutcomesHidden_ = false;
    for (const auto before = committed_; committed_ == before;) {
      sendRequest(0, "serves" + std::to_string(++probes_));
      while (open_ > 0) co_await tick();
    }
    areOutcomesHidden_ = true;
    for (const auto& id : ids) {
      sendRequest(0, id);
      while (open_ > 0) co_await tick();
    }
    endStep();
  }
  void printRuns(const std::vector<std::string>& ids, const std::string& way) {
    int ran = 0, twice = 0;
    for (const auto& id : ids) {
      ran += node_.runCounts[id] > 0;
      twice += node_.runCounts[id] > 1;
    }
    const std::string withoutVoters = twice > 0 ? "some" : "NONE";
    std::cout << way << (usesVoters_ ? "" : ", nothing settled") << ": ran "
              << (ran * 2 > kCases ? "most" : "FEW") << ", twice "
              << (usesVoters_ ? std::to_string(twice) : withoutVoters) << "\n";
    std::cerr << way << ": ran " << ran << ", twice " << twice << " of " << kCases << "\n";
  }

  fake_servers::FakeDiscovery discovery_;
  fake_servers::FakeNode node_;
  Rig rig_;
  bool usesVoters_;
  std::vector<std::unique_ptr<fake_servers::FakeProxy>> proxies_;
  bool areOutcomesHidden_ = false;  // proxies report nothing of what became of a lease
  std::size_t open_ = 0;
  std::uint64_t committed_ = 0, probes_ = 0;
};

// What settling costs: the time of a once-only transaction, connection included, alone and at several at a
// time, spread over three routers. A measurement, no test.
class Price {
 public:
  Price(bool usesVoters, std::size_t voters)
      : rig_(loop_, 1, options(usesVoters, voters)), usesVoters_(usesVoters) {}
  void play() {
    loop_.spawn(scenario());
    loop_.run([](Instant) { return Instant(); }, [this](std::exception_ptr) { loop_.stop(); });
  }

 private:
  static FleetOptions options(bool usesVoters, std::size_t voters) {
    FleetOptions made;
    made.usesVoters = usesVoters;
    made.routers = std::max<std::size_t>(3, voters);
    made.voters = voters;
    return made;
  }
  event_loop::Task scenario() {
    rig_.startAll();
    for (std::size_t row = rig_.sendRequest(0, "first");;
         row = rig_.sendRequest(0, "first" + std::to_string(row))) {
      while (!rig_.clientRequest(row).isOver) co_await loop_.sleepUntil(loop_.now() + kTick);
      if (rig_.clientRequest(row).outcome == FinalOutcome::committed && row > 300) break;
    }
    for (const std::size_t together : {1, 10, 50}) {
      const std::size_t from = rig_.requestCount(), count = together == 1 ? 1000 : 5000;
      const Instant began = loop_.now();
      for (std::size_t n = 0; n < count || rig_.open() > 0;) {
        while (n < count && rig_.open() < together) {
          rig_.sendRequest(n % 3, "t" + std::to_string(together) + "n" + std::to_string(n));
          ++n;
        }
        co_await loop_.sleepUntil(loop_.now() + Duration::micros(200));
      }
      const double seconds = (loop_.now() - began).inSeconds();
      std::vector<double> duration;
      std::size_t committed = 0;
      for (std::size_t row = from; row < rig_.requestCount(); ++row) {
        duration.push_back(rig_.clientRequest(row).duration.inSeconds() * 1000);
        committed += rig_.clientRequest(row).outcome == FinalOutcome::committed;
      }
      std::sort(duration.begin(), duration.end());
      std::cout << (usesVoters_ ? std::to_string(rig_.voters()) + " keepers" : "nothing settled") << ", "
                << together << " at a time: p50 " << duration[duration.size() / 2] << " ms, p99 "
                << duration[duration.size() * 99 / 100] << " ms, " << static_cast<double>(committed) / seconds
                << " committed a second, " << committed << " of " << duration.size() << std::endl;
    }
    loop_.stop();
  }

  event_loop::EventLoop loop_;
  Rig rig_;
  bool usesVoters_;
};

}  // namespace

int grants() {
  RepeatedRequests(false).play();
  RepeatedRequests(true).play();
  return 0;
}

int price() {
  Price(false, 3).play();
  for (const std::size_t voters : {1, 3, 5}) Price(true, voters).play();
  return 0;
}

}  // namespace gulltrestle::fleet
