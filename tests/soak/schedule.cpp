#include "soak/schedule.h"

#include <csignal>
#include <utility>

namespace gulltrestle::soak {

namespace {

constexpr std::int64_t kSecondsPerHour = 3600;
// In one of so many shutdowns a node hangs until the router may be killed.
constexpr std::uint64_t kHangsOneIn = 3;
constexpr std::uint64_t kMaxFurtherSignals = 5;

}  // namespace

Schedule::Schedule(Harness& harness, std::vector<std::unique_ptr<RouterProcess>>& routers, std::uint64_t seed,
                   Duration killAfter)
    : harness_(harness), routers_(routers), random_(seed), killAfter_(killAfter) {
  for (bool& enabled : enabled_) enabled = random_() % 3 != 0;
}

Duration Schedule::randomDuration(std::int64_t from, std::int64_t to) {
  return Duration::millis(from +
                          static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(to - from)));
}

RouterProcess& Schedule::randomRouter() { return *routers_[random_() % routers_.size()]; }
Node& Schedule::randomReplica() { return *harness_.nodes()[1 + random_() % (harness_.nodes().size() - 1)]; }

std::map<std::string, std::uint64_t> Schedule::counts() const {
  std::map<std::string, std::uint64_t> countsByName;
  for (std::size_t i = 0; i < kFaults; ++i) countsByName[kFaultNames[i]] = counts_[i];
  return countsByName;
}

event_loop::Task Schedule::run(Instant until) {
  while (harness_.loop().now() < until) {
    const auto fault = static_cast<std::size_t>(random_() % kFaults);
    if (enabled_[fault]) {
      ++counts_[fault];
      harness_.loop().spawn(startFault(static_cast<Fault>(fault)));
    }
    co_await sleep(randomDuration(20, 300));
  }
  stopped_ = true;
}

event_loop::Task Schedule::startFault(Fault fault) {
  const Instant now = harness_.loop().now();
  Node& node = *harness_.nodes()[random_() % harness_.nodes().size()];
  switch (fault) {
    case Fault::machine:
      harness_.loop().spawn(failSystemCalls(randomRouter()));
      break;
    case Fault::wallClock:
      harness_.loop().spawn(stepWallClock(randomRouter()));
      break;
    case Fault::terminate:
      harness_.loop().spawn(terminate(randomRouter()));
      break;
    case Fault::kill:
      harness_.loop().spawn(kill(randomRouter()));
      break;
    case Fault::reload:
      harness_.loop().spawn(reload(randomRouter()));
      break;
    case Fault::stop:
      harness_.loop().spawn(suspend(randomRouter()));
      break;
    case Fault::nodeHangs:
      node.hang(now + randomDuration(100, 1500));
      break;
    case Fault::nodeCrashes:
      harness_.loop().spawn(crash(randomReplica()));
      break;
    case Fault::nodeDrains:
      harness_.loop().spawn(drain(randomReplica()));
      break;
    case Fault::nodeErrs:
      node.fail(now + randomDuration(200, 1500));
      break;
    case Fault::nodeLags:
      randomReplica().lag(now + randomDuration(200, 3000));
      break;
    case Fault::discoveryDown:
      harness_.discoveryAgents()[random_() % harness_.discoveryAgents().size()]->down(
          now + randomDuration(200, 4000));
      break;
    case Fault::count:
      break;
  }
  co_return;
}

event_loop::Task Schedule::failSystemCalls(RouterProcess& router) {
  ++active_;
  const auto kind = static_cast<faults::FaultKind>(random_() % faults::kFaultKindCount);
  const bool resets = kind == faults::FaultKind::connectionLost;
  const bool slows = kind == faults::FaultKind::delayedWait || kind == faults::FaultKind::outOfMemory;
  router.machine().setFaultRate(
      kind, static_cast<std::uint32_t>(resets || slows ? 2 + random_() % 10 : 20 + random_() % 300));
  const Instant until = harness_.loop().now() + randomDuration(300, 2500);
  // A reset that was injected is noticed a little later.
  if (resets)
    router.resetsExpectedUntil = std::max(router.resetsExpectedUntil, until + Duration::millis(500));
  co_await harness_.loop().sleepUntil(until);
  router.machine().setFaultRate(kind, 0);
  --active_;
}

event_loop::Task Schedule::stepWallClock(RouterProcess& router) {
  ++active_;
  router.machine().offsetWallClock(static_cast<std::int64_t>(random_() % (2 * kSecondsPerHour)) -
                                   kSecondsPerHour);
  co_await sleep(randomDuration(200, 4000));
  router.machine().offsetWallClock(0);
  --active_;
}

event_loop::Task Schedule::terminate(RouterProcess& router) {
  if (!router.running || router.terminating) co_return;
  ++active_;
  const unsigned start = router.starts;
  while (router.running && router.starts == start && !router.handlesSignals())
    co_await sleep(Duration::millis(1));
  if (!router.running || router.starts != start || router.terminating) {
    --active_;
    co_return;
  }
  router.terminating = true;
  router.terminatedAt = harness_.loop().now();
  router.signal(SIGTERM);
  const Instant until = harness_.loop().now() + killAfter_;
  harness_.loop().spawn(signalSeries(router, start));
  if (random_() % kHangsOneIn == 0) harness_.nodes()[random_() % harness_.nodes().size()]->hang(until);
  while (router.running && router.starts == start && harness_.loop().now() < until)
    co_await sleep(Duration::millis(5));
  if (router.running && router.starts == start) {
    harness_.history().recordViolation(harness_.loop().now(), "end",
                                       "the router did not exit within the shutdown limit and is killed");
    router.signal(SIGKILL);
    while (router.running) co_await sleep(Duration::millis(2));
  }
  co_await sleep(randomDuration(0, 300));
  if (!router.running && router.starts == start) router.start(harness_.loop().now());
  --active_;
}

// Further signals while the router shuts down; one of them may suspend it.
event_loop::Task Schedule::signalSeries(RouterProcess& router, unsigned start) {
  ++active_;
  bool mayStop = true;
  for (auto remaining = random_() % kMaxFurtherSignals; remaining > 0; --remaining) {
    co_await sleep(randomDuration(0, 300));
    if (!router.running || router.starts != start) break;
    const auto kind = random_() % 3;
    if (kind == 2 && std::exchange(mayStop, false)) {
      harness_.loop().spawn(suspend(router));
    } else {
      router.signal(kind == 0 ? SIGTERM : SIGHUP);
    }
  }
  --active_;
}

event_loop::Task Schedule::kill(RouterProcess& router) {
  if (!router.running || router.terminating) co_return;
  ++active_;
  const unsigned start = router.starts;
  router.signal(SIGKILL);
  while (router.running) co_await sleep(Duration::millis(2));
  co_await sleep(randomDuration(0, 500));
  if (!router.running && router.starts == start) router.start(harness_.loop().now());
  --active_;
}

event_loop::Task Schedule::reload(RouterProcess& router) {
  for (auto remaining = 1 + random_() % 3; remaining > 0; --remaining) {
    if (router.handlesSignals()) router.signal(SIGHUP);
    co_await sleep(randomDuration(0, 20));
  }
}

event_loop::Task Schedule::suspend(RouterProcess& router) {
  ++active_;
  router.signal(SIGSTOP);
  co_await sleep(randomDuration(10, 150));
  router.signal(SIGCONT);
  --active_;
}

event_loop::Task Schedule::drain(Node& node) {
  if (node.state != NodeState::up) co_return;
  ++active_;
  node.state = NodeState::draining;
  harness_.endpointListChanged();
  co_await sleep(randomDuration(500, 9000));
  node.state = NodeState::up;
  node.startedAt = harness_.loop().now();
  harness_.endpointListChanged();
  --active_;
}

event_loop::Task Schedule::crash(Node& node) {
  ++active_;
  const Instant until = harness_.loop().now() + randomDuration(100, 2000);
  node.crash(until);
  co_await harness_.loop().sleepUntil(until);
  harness_.endpointListChanged();
  --active_;
}

}  // namespace gulltrestle::soak
