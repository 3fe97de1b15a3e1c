// The same id asked at two routers with nothing told between, and what settling costs.
#include <algorithm>
#include <iostream>

#include "cases.h"
#include "rig.h"
#include "testing/fake_servers/fake_node.h"
#include "testing/fake_servers/fake_proxy.h"

namespace gulltrestle::fleet {

namespace {

// The same id asked at two routers that are external processors, with nothing told of the first grant's end.
class Grants {
 public:
  explicit Grants(bool settles)
      : discovery_(loop_), node_(loop_, "p", true), rig_(loop_, 1, shape(settles)), settles_(settles) {
    discovery_.set({node_.id(), node_.address(), "up", true, 1});
    for (std::size_t i = 0; i < 2; ++i) {
      fake_servers::FakeProxyConfig setup;
      setup.processor = rig_.processor(i);
      setup.messageTimeout = Duration::millis(2000);
      proxies_.push_back(std::make_unique<fake_servers::FakeProxy>(loop_, setup));
      proxies_[i]->faults.resetsBeforeReport = [this] { return quiet_; };
    }
  }
  void play() {
    loop_.spawn(scene());
    loop_.run([](Instant) { return Instant(); }, [this](std::exception_ptr) { loop_.stop(); });
  }

 private:
  static constexpr int kCases = 20;
  Shape shape(bool settles) const {
    Shape made;
    made.settles = settles;
    made.discovery = discovery_.address();
    return made;
  }
  void ask(std::size_t router, const std::string& id) {
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
  // Asked until one is granted: the router serves.
  event_loop::Task scene() {
    rig_.startAll();
    for (const std::string way :
         {"at the second after the first", "at both at once", "at the first after kill -9"}) {
      for (std::size_t router = 0; router < 2; ++router)
        for (const auto before = committed_; committed_ == before;) {
          ask(router, "serves" + std::to_string(++probes_));
          while (open_ > 0) co_await loop_.sleepUntil(loop_.now() + kTick);
        }
      quiet_ = true;
      std::vector<std::string> ids;
      for (int n = 0; n < kCases; ++n)
        ids.push_back(way.substr(0, 7) + way.substr(way.size() - 3) + std::to_string(n));
      for (const auto& id : ids) {
        ask(0, id);
        if (way == "at both at once") ask(1, id);
        while (open_ > 0) co_await loop_.sleepUntil(loop_.now() + kTick);
        if (way == "at the second after the first") ask(1, id);
        while (open_ > 0) co_await loop_.sleepUntil(loop_.now() + kTick);
      }
      if (way == "at the first after kill -9") {
        rig_.kill(0);
        rig_.start(0);
        quiet_ = false;
        for (const auto before = committed_; committed_ == before;) {
          ask(0, "serves" + std::to_string(++probes_));
          while (open_ > 0) co_await loop_.sleepUntil(loop_.now() + kTick);
        }
        quiet_ = true;
        for (const auto& id : ids) {
          ask(0, id);
          while (open_ > 0) co_await loop_.sleepUntil(loop_.now() + kTick);
        }
      }
      quiet_ = false;
      int ran = 0, twice = 0;
      for (const auto& id : ids) ran += node_.runCounts[id] > 0, twice += node_.runCounts[id] > 1;
      std::cout << way << (settles_ ? "" : ", nothing settled") << ": ran "
                << (ran * 2 > kCases ? "most" : "FEW") << ", twice "
                << (settles_    ? std::to_string(twice)
                    : twice > 0 ? "some"
                                : "NONE")
                << "\n";
      std::cerr << way << ": ran " << ran << ", twice " << twice << " of " << kCases << "\n";
    }
    loop_.stop();
  }

  event_loop::EventLoop loop_;
  fake_servers::FakeDiscovery discovery_;
  fake_servers::FakeNode node_;
  Rig rig_;
  bool settles_;
  std::vector<std::unique_ptr<fake_servers::FakeProxy>> proxies_;
  bool quiet_ = false;  // proxies tell nothing of what became of a grant
  std::size_t open_ = 0;
  std::uint64_t committed_ = 0, probes_ = 0;
};

// What settling costs: the time of a once-only txn, connection included, alone and at several at a time,
// spread over three routers. A measurement, no test.
class Price {
 public:
  Price(bool settles, std::size_t keepers) : rig_(loop_, 1, shape(settles, keepers)), settles_(settles) {}
  void play() {
    loop_.spawn(scene());
    loop_.run([](Instant) { return Instant(); }, [this](std::exception_ptr) { loop_.stop(); });
  }

 private:
  static Shape shape(bool settles, std::size_t keepers) {
    Shape made;
    made.settles = settles;
    made.routers = std::max<std::size_t>(3, keepers);
    made.keepers = keepers;
    return made;
  }
  event_loop::Task scene() {
    rig_.startAll();
    for (std::size_t row = rig_.ask(0, "first");; row = rig_.ask(0, "first" + std::to_string(row))) {
      while (!rig_.asked(row).over) co_await loop_.sleepUntil(loop_.now() + kTick);
      if (rig_.asked(row).outcome == FinalOutcome::committed && row > 300) break;
    }
    for (const std::size_t together : {1, 10, 50}) {
      const std::size_t from = rig_.rows(), count = together == 1 ? 1000 : 5000;
      const Instant began = loop_.now();
      for (std::size_t n = 0; n < count || rig_.open() > 0;) {
        while (n < count && rig_.open() < together) {
          rig_.ask(n % 3, "t" + std::to_string(together) + "n" + std::to_string(n));
          ++n;
        }
        co_await loop_.sleepUntil(loop_.now() + Duration::micros(200));
      }
      const double seconds = (loop_.now() - began).inSeconds();
      std::vector<double> took;
      std::size_t committed = 0;
      for (std::size_t row = from; row < rig_.rows(); ++row) {
        took.push_back(rig_.asked(row).took.inSeconds() * 1000);
        committed += rig_.asked(row).outcome == FinalOutcome::committed;
      }
      std::sort(took.begin(), took.end());
      std::cout << (settles_ ? std::to_string(rig_.keepers()) + " keepers" : "nothing settled") << ", "
                << together << " at a time: p50 " << took[took.size() / 2] << " ms, p99 "
                << took[took.size() * 99 / 100] << " ms, " << static_cast<double>(committed) / seconds
                << " committed a second, " << committed << " of " << took.size() << std::endl;
    }
    loop_.stop();
  }

  event_loop::EventLoop loop_;
  Rig rig_;
  bool settles_;
};

}  // namespace

int grants() {
  Grants(false).play();
  Grants(true).play();
  return 0;
}

int price() {
  Price(false, 3).play();
  for (const std::size_t keepers : {1, 3, 5}) Price(true, keepers).play();
  return 0;
}

}  // namespace gulltrestle::fleet
