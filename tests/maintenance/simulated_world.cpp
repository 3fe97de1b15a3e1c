#include "maintenance/simulated_world.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "membership/heartbeat_timer.h"

namespace gulltrestle::maintenance {

namespace {

constexpr std::size_t kMaxReports = 100;

bool isTracing() { return std::getenv("WORK_TRACE") != nullptr; }

}  // namespace

SimulatedWorld::SimulatedWorld(std::uint64_t seed, InjectedFault injectedFault, Totals& totals)
    : random_(seed), injectedFault_(injectedFault), totals_(totals), monitor_(kVoters), bounds_(bounds()) {
  for (const char* group : {"1", "2"})
    for (const char* node : {"p", "a", "b"}) nodes_.push_back(std::string(node) + group);
  for (std::size_t router = 0; router < kRouters; ++router) {
    disks_.emplace_back();
    routers_.emplace_back();
    // The rates of monotonic clocks differ by a few percent.
    clockRates_.push_back(0.96 + 0.08 * randomFraction());
    start(router);
  }
}

std::string SimulatedWorld::simulate() {
  for (std::size_t router = 0; router < kRouters; ++router)
    schedule(Duration(), [this, router] { scheduleIterations(router); });
  schedule(Duration::millis(500), [this] { requestMaintenance(); });
  schedule(Duration::millis(1000), [this] { injectFault(); });
  schedule(Duration::millis(5), [this] { sendAttempts(); });
  while (!events_.empty() && brokenProperty_.empty() && finishedMachines_ < kMachines &&
         now_ < kStartTime + kSimulatedTime) {
    auto event = events_.top();
    events_.pop();
    now_ = event.due;
    event.action();
  }
  if (!brokenProperty_.empty()) return brokenProperty_;
  if (finishedMachines_ >= kMachines) return "";
  if (isTracing()) printState();
  return std::string(kNotFinished);
}

// --- Time and randomness

MaintenanceLimits SimulatedWorld::bounds() {
  MaintenanceLimits bounds;
  bounds.fenceDuration = fenceDurationFor(kDeadline);
  bounds.warmUpDuration = Duration::millis(500);
  bounds.retryDelay = Duration::millis(1000);
  bounds.announceTimeout = Duration::millis(9000);
  bounds.drainTimeout = Duration::millis(20'000);
  bounds.maxAttempts = 1000;
  return bounds;
}

void SimulatedWorld::schedule(Duration delay, std::function<void()> action) {
  events_.push({now_ + delay, ++eventNumber_, std::move(action)});
}

void SimulatedWorld::fail(const std::string& property) {
  if (brokenProperty_.empty()) brokenProperty_ = property;
}

void SimulatedWorld::printState() {
  for (std::size_t i = 0; i < kRouters; ++i) {
    Process& router = routers_[i];
    const Plan& plan = router.planView->chosen();
    std::cerr << name(i) << ": " << (router.isUp ? "up" : "down") << (router.isStalled ? ", stalled" : "")
              << ", incarnation " << router.incarnation << ", plan " << plan.version << ", drained "
              << router.drainedVersion;
    if (router.acceptor)
      std::cerr << ", votes " << mayVote(i) << ", complete " << router.acceptor->isComplete() << ", accepted "
                << router.acceptor->accepted().version.version << ", round "
                << static_cast<int>(router.round->state());
    std::cerr << "\n";
    if (!router.acceptor) continue;
    const FleetState fleet = fleetState(i);
    for (const auto& machine : plan.machines)
      std::cerr << "  " << machine.name << " " << nameOf(machine.phase) << " since " << machine.phaseVersion
                << ": " << router.leader->waitingFor(clock(i), plan, machine, fleet) << "\n";
  }
}

// --- Processes

void SimulatedWorld::start(std::size_t router) {
  Process process;
  process.isUp = true;
  process.processId = ++lastProcessId_;
  process.draw = random_();
  process.incarnation = ++incarnations_[router];
  process.planView.emplace(kVoters);
  process.lease.emplace(kVoters);
  process.view.emplace(kVoters);
  if (router < kVoters) startVoter(router, process);
  routers_[router] = std::move(process);
  if (isTracing())
    std::cerr << elapsedMillis() << " " << name(router) << " starts, incarnation "
              << routers_[router].incarnation << "\n";
  if (router >= kVoters) return;
  // A value that became durable just before the process ended counts, even though no reply was sent.
  const AcceptedValue accepted = routers_[router].acceptor->accepted();
  onAccepted(router, router, accepted);
  if (accepted.version.version > 0) onDurablyAccepted(router, accepted);
}

void SimulatedWorld::startVoter(std::size_t voter, Process& process) {
  const Disk& disk = disks_[voter];
  const bool isTrusted = disk.isComplete || injectedFault_ == InjectedFault::forgottenState;
  process.acceptor.emplace(disk.acceptorState, isTrusted);
  if (!isTrusted) process.abstainsUntil = clock(voter) + kRetention;
  process.round.emplace(kVoters, process.draw, Duration::millis(2000));
  std::set<std::string> members;
  for (std::size_t router = 0; router < kRouters; ++router) members.insert(name(router));
  process.failureDetector.emplace(clock(voter), members, std::map<std::string, membership::Incarnation>());
  process.leader.emplace(bounds_);
}

void SimulatedWorld::kill(std::size_t router) {
  if (isTracing()) std::cerr << elapsedMillis() << " " << name(router) << " is killed\n";
  Process& process = routers_[router];
  process.isUp = false;
  process.isStalled = false;
  process.queued.clear();
  process.inFlight.clear();
  ++process.processId;
}

void SimulatedWorld::resume(std::size_t router) {
  if (!std::exchange(routers_[router].isStalled, false)) return;
  runIteration(router);  // the process reads its clock before it handles any event
  for (auto& action : std::exchange(routers_[router].queued, {})) action();
}

void SimulatedWorld::run(std::size_t router, std::uint64_t processId, std::function<void()> action) {
  Process& process = routers_[router];
  if (!process.isUp || process.processId != processId) return;
  if (process.isStalled) return process.queued.push_back(std::move(action));
  action();
}

void SimulatedWorld::deliver(std::size_t from, std::size_t to, std::function<void()> action) {
  if (from == to) return action();
  if (cutLinks_.contains({from, to})) return;
  Instant& last = lastDeliveries_[{from, to}];
  last = std::max(last, now_ + Duration::millis(1) + randomMillis(randomBelow(10) == 0 ? 400 : 10));
  schedule(last - now_, [this, from, to, processId = routers_[to].processId, action = std::move(action)] {
    if (!cutLinks_.contains({from, to})) run(to, processId, action);
  });
}

// --- Event loop iterations

void SimulatedWorld::scheduleIterations(std::size_t router) {
  const Process& process = routers_[router];
  if (process.isUp && !process.isStalled) runIteration(router);
  schedule(Duration::millis(90) + randomMillis(20), [this, router] { scheduleIterations(router); });
}

void SimulatedWorld::runIteration(std::size_t router) {
  Process& process = routers_[router];
  const Instant now = clock(router);
  const std::uint64_t planVersion = process.planView->chosen().version;
  const bool hasDrained = injectedFault_ == InjectedFault::earlyDrainReport ||
                          std::none_of(process.inFlight.begin(), process.inFlight.end(), [&](auto& node) {
                            return process.planView->excludedNodes().contains(node);
                          });
  if (process.drainedVersion < planVersion && hasDrained) process.drainedVersion = planVersion;
  const membership::MemberProgress progress{0, planVersion, process.drainedVersion};
  if (now - process.heartbeatSentAt >= membership::HeartbeatTimer::kInterval)
    sendHeartbeats(router, progress);
  if (!process.acceptor) return;
  process.failureDetector->onJoinRequest(now, name(router), {process.incarnation, process.draw});
  process.failureDetector->onHeartbeat(now, name(router), process.draw, progress);
  process.failureDetector->checkTimeouts(now);
  process.view->onReports(
      router, process.failureDetector->reportsSince(process.reportedVersions[router], kMaxReports));
  if (process.acceptor->isComplete() && mayVote(router)) {
    process.lease->onHeartbeatSent(now, router, ++process.heartbeatNumber);
    process.lease->onHeartbeatReply(router, process.heartbeatNumber);
  }
  advancePlan(router);
}

void SimulatedWorld::sendHeartbeats(std::size_t router, const membership::MemberProgress& progress) {
  Process& process = routers_[router];
  process.heartbeatSentAt = clock(router);
  const Heartbeat heartbeat{progress, process.draw, process.incarnation, ++process.heartbeatNumber,
                            process.processId};
  for (std::size_t voter = 0; voter < kVoters; ++voter) {
    if (voter == router) continue;
    process.lease->onHeartbeatSent(process.heartbeatSentAt, voter, heartbeat.number);
    deliver(router, voter, [this, voter, router, heartbeat] { onHeartbeat(voter, router, heartbeat); });
  }
}

void SimulatedWorld::onHeartbeat(std::size_t voter, std::size_t router, const Heartbeat& heartbeat) {
  Process& process = routers_[voter];
  membership::FailureDetector& failureDetector = *process.failureDetector;
  if (failureDetector.newestIncarnation(name(router)).number < heartbeat.incarnation) {
    process.reportedVersions.erase(router);
    process.reportedBallots.erase(router);
  }
  failureDetector.onJoinRequest(clock(voter), name(router), {heartbeat.incarnation, heartbeat.draw});
  if (!failureDetector.isCurrent(name(router), heartbeat.draw)) return;
  failureDetector.onHeartbeat(clock(voter), name(router), heartbeat.draw, heartbeat.progress);
  // The accepted value is reported before the reply to any message.
  const AcceptedValue accepted = process.acceptor->accepted();
  if (process.reportedBallots[router] != accepted.ballot &&
      !(injectedFault_ == InjectedFault::latePlanReport && randomBelow(2) == 0)) {
    process.reportedBallots[router] = accepted.ballot;
    deliver(voter, router, [this, voter, router, accepted] { onAccepted(router, voter, accepted); });
  }
  const auto reports = failureDetector.reportsSince(process.reportedVersions[router], kMaxReports);
  const bool grantsLease = process.acceptor->isComplete() && mayVote(voter);
  deliver(voter, router, [this, voter, router, reports, heartbeat, grantsLease] {
    if (routers_[router].processId != heartbeat.processId) return;
    routers_[router].view->onReports(voter, reports);
    if (grantsLease) routers_[router].lease->onHeartbeatReply(voter, heartbeat.number);
  });
}

void SimulatedWorld::onAccepted(std::size_t router, std::size_t voter, const AcceptedValue& accepted) {
  if (accepted.version.version > 0) routers_[router].planView->onAccepted(voter, accepted);
}

}  // namespace gulltrestle::maintenance
