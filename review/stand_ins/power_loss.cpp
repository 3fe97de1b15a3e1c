// Case 1: clients book through a proxy while the routers lose power. `power_loss FOLDER TROUBLE`
//
// The proxy is the project's own (src/testing/fake_servers): it requests one lease for each attempt, tells
// the processor what was written by earlier attempts, and retries when the processor's stream is lost. A
// client repeats a booking only after a refusal, with a new id.
#include <csignal>
#include <deque>
#include <memory>

#include "installation.h"
#include "testing/fake_servers/fake_proxy.h"

using namespace gulltrestle;

namespace {

constexpr int kBookings = 4;
constexpr unsigned kClientTries = 4;  // the first one, and three retries
constexpr Duration kClientWait =
    Duration::millis(1000);  // longer than any retry-after that the settings allow
// Power is back at the first router after this time, and at the two others after that.
constexpr Duration kFirstReturn = Duration::millis(1000), kOtherReturns = Duration::millis(1500);

class Run {
  auto tick() { return loop_.sleepUntil(loop_.now() + Duration::millis(1)); }

 public:
  Run(event_loop::EventLoop& loop, const std::string& folder, bool hasTrouble)
      : loop_(loop), world_(loop, folder, 200, review::Coordination::votingMembers), hasTrouble_(hasTrouble) {
    fake_servers::FakeProxyConfig config;
    config.processor = world_.processors[0];
    config.maxAttempts = 6;
    config.retryDelay = Duration::millis(400);
    proxy_ = std::make_unique<fake_servers::FakeProxy>(loop_, config);
  }

  event_loop::Task play() {
    for (int i = 1; i <= Installation::kRouters; ++i) command("start r" + std::to_string(i));
    // Until bookings are taken, and the ramp after the start is over.
    for (int n = 1;; ++n) {
      if (n > 100) co_return finish(2);
      Booking& warmUp = warmUps_.emplace_back();
      loop_.spawn(book(warmUp, "warm" + std::to_string(n), 1));
      while (warmUp.requests.empty() || warmUp.requests.back().outcome == kOpen) co_await tick();
      if (warmUp.requests.back().outcome == "committed") break;
      co_await loop_.sleepUntil(loop_.now() + Duration::millis(200));
    }
    co_await loop_.sleepUntil(loop_.now() + Duration::millis(4000));

    world_.onRun = [this](const std::string&) {
      if (++running_ != kBookings || !hasTrouble_) return;
      world_.record("TROUBLE: the routers lose power");
      for (int i = 1; i <= Installation::kRouters; ++i) command("kill r" + std::to_string(i));
      loop_.spawn(powerReturns());
    };
    for (int k = 0; k < kBookings; ++k)
      loop_.spawn(book(bookings_[k], "b" + std::to_string(k + 1), kClientTries));
    while (over_ < kBookings) co_await tick();
    const std::vector<Booking> all(bookings_, bookings_ + kBookings);
    finish(verdict(world_, all));
  }

 private:
  using Installation = review::Installation;
  using Booking = review::Booking;
  static constexpr const char* kOpen = "(open)";
  static void command(const std::string& line) { review::command(line); }
  void finish(int code) {
    command("end " + std::to_string(code));
    loop_.stop();
  }

  event_loop::Task powerReturns() {
    co_await loop_.sleepUntil(loop_.now() + kFirstReturn);
    world_.record("r1 starts again");
    command("start r1");
    co_await loop_.sleepUntil(loop_.now() + kOtherReturns);
    world_.record("r2 and r3 start again");
    command("start r2");
    command("start r3");
  }

  event_loop::Task book(Booking& booking, std::string name, unsigned tries) {
    for (unsigned attempt = 1; attempt <= tries; ++attempt) {
      const std::string id = name + "-" + std::to_string(attempt);
      booking.requests.push_back({id, kOpen});
      world_.record("client sends " + id);
      proxy_->send(
          {.headers = Installation::bookCharge(id), .isWrite = true, .remainingTime = Duration::millis(4000)},
          [this, id, &booking](const fake_servers::Answer& answer) {
            world_.record("client is answered " + id + ": status " + std::to_string(answer.status) +
                          ", outcome '" + answer.outcome + "'");
            booking.requests.back().outcome = answer.outcome;
          });
      while (booking.requests.back().outcome == kOpen) co_await tick();
      if (booking.requests.back().outcome != "refused") break;
      co_await loop_.sleepUntil(loop_.now() + kClientWait);
    }
    if (tries > 1) ++over_;
  }

  event_loop::EventLoop& loop_;
  Installation world_;
  bool hasTrouble_;
  std::unique_ptr<fake_servers::FakeProxy> proxy_;
  Booking bookings_[kBookings];
  std::deque<Booking> warmUps_;
  int running_ = 0, over_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  std::signal(SIGPIPE, SIG_IGN);
  event_loop::EventLoop loop;
  Run run(loop, argv[1], std::string(argv[2]) != "0");
  loop.spawn(run.play());
  loop.run([](Instant) { return Instant(); },
           [](std::exception_ptr failure) { std::rethrow_exception(failure); });
}
