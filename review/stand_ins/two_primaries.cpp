// Case 3: a primary is cut off, a replica takes over, the list names it, and the old primary comes back.
// `two_primaries FOLDER TROUBLE`
//
// With the disruption the old primary still claims to be the primary (docs/fleet.md: "two nodes that claim to
// be primary"); with TROUBLE=0 it comes back as a replica. Clients book and read all the time, through the
// project's own proxy. A booking that the old primary runs after another node was promoted is lost as soon as
// the two are one group again.
#include <csignal>
#include <deque>
#include <memory>

#include "installation.h"
#include "testing/fake_servers/fake_proxy.h"

using namespace gulltrestle;

namespace {

// The brief: a primary is given up after 1 to 3 s, a replica takes over 1.2 to 3.5 s later, and is listed 2.1
// to 4.3 s late; a node gives no answer for 5.3 to 24 s. The old primary is not started again: its
// `started_ms` stays.
constexpr Duration kTakeOver = Duration::millis(3000), kListed = Duration::millis(3000),
                   kBack = Duration::millis(8000), kWatched = Duration::millis(10'000);

class Run {
  auto tick() { return loop_.sleepUntil(loop_.now() + Duration::millis(1)); }
  auto sleep(Duration duration) { return loop_.sleepUntil(loop_.now() + duration); }

 public:
  Run(event_loop::EventLoop& loop, const std::string& folder, bool hasTrouble)
      : loop_(loop), world_(loop, folder, 200, review::Coordination::votingMembers), hasTrouble_(hasTrouble) {
    fake_servers::FakeProxyConfig config;
    config.processor = world_.processors[0];
    proxy_ = std::make_unique<fake_servers::FakeProxy>(loop_, config);
  }

  event_loop::Task play() {
    for (int i = 1; i <= review::Installation::kRouters; ++i) command("start r" + std::to_string(i));
    for (int n = 1; committed_ == 0; ++n) {
      if (n > 100) co_return finish(2);
      send("warm" + std::to_string(n), true);
      co_await sleep(Duration::millis(200));
    }
    co_await sleep(Duration::millis(4000));
    loop_.spawn(clients());
    co_await sleep(Duration::millis(1000));

    const Instant cutOffAt = loop_.now();
    world_.record("n1, the primary, is cut off: its connections end");
    world_.primary.isDown = true;
    co_await sleep(kTakeOver);
    world_.record("n2 takes over");
    world_.replica1.isPrimary = true;
    isTakenOver_ = true;
    if (!hasTrouble_) world_.primary.isPrimary = false;
    co_await sleep(kListed);
    world_.record("discovery lists n2 as the primary, and n1 as a replica");
    world_.discovery.set({"n1", world_.primary.address(), "up", false, 1});
    world_.discovery.set({"n2", world_.replica1.address(), "up", true, 1});
    co_await loop_.sleepUntil(cutOffAt + kBack);
    world_.record(hasTrouble_ ? "TROUBLE: n1 is back, and still claims to be the primary"
                              : "n1 is back, as a replica");
    world_.primary.isDown = false;
    co_await sleep(kWatched);
    isOver_ = true;
    co_await sleep(Duration::millis(4500));
    unsigned lost = 0, atNew = 0;
    for (const auto& [id, isCommitted] : answers_) {
      if (!id.starts_with("b") || !isCommitted) continue;
      if (ranAtOld_.contains(id)) ++lost;
      if (world_.replica1.runCounts.contains(id)) ++atNew;
    }
    world_.record("bookings answered committed that only the old primary ran after n2 had taken over: " +
                  std::to_string(lost) + "; that n2 ran: " + std::to_string(atNew));
    finish(lost > 0 ? 1 : atNew > 0 ? 0 : 2);
  }

 private:
  static void command(const std::string& line) { review::command(line); }
  void finish(int code) {
    command("end " + std::to_string(code));
    loop_.stop();
  }
  void send(const std::string& id, bool isWrite) {
    ext_proc::Headers headers = review::Installation::bookCharge(id);
    if (!isWrite)
      for (auto& header : headers) {
        if (header.name == "x-txn-type") header.value = "route-lookup";
        if (header.name == ":method") header.value = "GET";
      }
    proxy_->send({.headers = headers, .isWrite = isWrite, .remainingTime = Duration::millis(1200)},
                 [this, id, isWrite](const fake_servers::Answer& answer) {
                   const bool isCommitted = answer.outcome == "committed";
                   if (!isWrite) return;
                   committed_ += isCommitted;
                   answers_[id] = isCommitted;
                   const bool isAtOld = answer.nodeAddress == world_.primary.address();
                   if (isCommitted && isTakenOver_ && isAtOld) ranAtOld_[id] = true;
                   world_.record("booking " + id + ": " + std::to_string(answer.status) + " " +
                                 answer.outcome +
                                 (isCommitted ? (isAtOld ? " by n1" : " by another node") : ""));
                 });
  }
  event_loop::Task clients() {
    for (int n = 1; !isOver_; ++n) {
      send((n % 3 == 0 ? "b" : "r") + std::to_string(n), n % 3 == 0);
      co_await sleep(Duration::millis(70));
    }
  }

  event_loop::EventLoop& loop_;
  review::Installation world_;
  bool hasTrouble_, isTakenOver_ = false, isOver_ = false;
  std::unique_ptr<fake_servers::FakeProxy> proxy_;
  unsigned committed_ = 0;
  std::map<std::string, bool> answers_, ranAtOld_;
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
