#include "maintenance/maintenance_leader.h"

#include <algorithm>

#include "maintenance/scheduling.h"

namespace gulltrestle::maintenance {

namespace {

// Number of finished machines that are kept in the plan for operators to inspect.
constexpr std::size_t kMaxFinished = 50;
// observe() is called twice per second; a longer pause means that the process stalled.
constexpr Duration kStallThreshold = Duration::millis(2000);
// Time that each preceding voter has to get a value chosen: several rounds with their backoffs.
constexpr Duration kTakeoverDelay = Duration::millis(5000);
// Maximum number of names listed in a reason.
constexpr std::size_t kMaxNamesListed = 5;

std::string joined(const std::vector<std::string>& names) {
  std::string text;
  for (std::size_t i = 0; i < names.size() && i < kMaxNamesListed; ++i) text += (i ? " " : "") + names[i];
  if (names.size() > kMaxNamesListed)
    text += " and " + std::to_string(names.size() - kMaxNamesListed) + " more";
  return text;
}

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool runsOnReleased(const Plan& plan, const std::string& router) {
  return std::any_of(plan.machines.begin(), plan.machines.end(), [&](const Machine& machine) {
    return (machine.phase == Phase::released || machine.phase == Phase::returning) &&
           contains(machine.routers, router);
  });
}

// Deletes the oldest finished machines.
void pruneFinished(Plan& plan) {
  auto finished = static_cast<std::size_t>(
      std::count_if(plan.machines.begin(), plan.machines.end(),
                    [](const Machine& machine) { return machine.phase == Phase::finished; }));
  for (; finished > kMaxFinished; --finished) {
    const auto oldest =
        std::min_element(plan.machines.begin(), plan.machines.end(), [](const Machine& a, const Machine& b) {
          return std::pair(a.phase != Phase::finished, a.phaseVersion) <
                 std::pair(b.phase != Phase::finished, b.phaseVersion);
        });
    plan.machines.erase(oldest);
  }
}

// Sets `since` to the time at which the condition became true, or to never while it is false.
void updateSince(Instant now, bool isConditionMet, Instant& since) {
  if (!isConditionMet)
    since = Instant();
  else if (since == Instant())
    since = now;
}

}  // namespace

// --- Observation

void MaintenanceLeader::observe(Instant now, const Plan& plan, const FleetState& fleet) {
  // Prevents a voter that stalled from acting on observations made before the stall.
  if (observedAt_ != Instant() && now - observedAt_ > kStallThreshold) {
    routers_.clear();
    machines_.clear();
  }
  observedAt_ = now;
  std::erase_if(routers_, [&](const auto& observed) { return !fleet.routers.contains(observed.first); });
  for (const auto& [name, router] : fleet.routers) observeRouter(now, router, routers_[name]);
  std::erase_if(machines_, [&](const auto& observed) { return plan.find(observed.first) == nullptr; });
  for (const Machine& machine : plan.machines) observeMachine(now, machine, fleet, machines_[machine.name]);
}

void MaintenanceLeader::observeRouter(Instant now, const RouterState& router,
                                      ObservedRouter& observed) const {
  if (observed.incarnationSince == Instant() || observed.incarnation != router.incarnation) {
    observed.incarnation = router.incarnation;
    observed.incarnationSince = now;
  }
  updateSince(now, router.isSilent, observed.silentSince);
  updateSince(now, router.wasRemoved, observed.removedSince);
}

void MaintenanceLeader::observeMachine(Instant now, const Machine& machine, const FleetState& fleet,
                                       ObservedMachine& observed) const {
  if (observed.requestedSince == Instant()) observed.requestedSince = now;
  if (observed.phaseSince == Instant() || observed.phaseVersion != machine.phaseVersion ||
      observed.phase != machine.phase) {
    observed.phaseVersion = machine.phaseVersion;
    observed.phase = machine.phase;
    observed.phaseSince = now;
    observed.servingSince = Instant();
  }
  updateSince(now, isServing(machine, fleet), observed.servingSince);
}

const MaintenanceLeader::ObservedMachine* MaintenanceLeader::observedInPhase(const Machine& machine) const {
  const auto found = machines_.find(machine.name);
  const bool isPresent = found != machines_.end() && found->second.phaseVersion == machine.phaseVersion;
  return isPresent ? &found->second : nullptr;
}

bool MaintenanceLeader::isServing(const Machine& machine, const FleetState& fleet) const {
  for (const auto& name : machine.nodes) {
    const auto node = fleet.nodes.find(name);
    if (node == fleet.nodes.end() || !node->second.isLive || !node->second.isServing) return false;
    if (node->second.replicationLag > bounds_.maxReplicationLag) return false;
  }
  return std::all_of(machine.routers.begin(), machine.routers.end(), [&](const std::string& name) {
    const auto router = fleet.routers.find(name);
    return router != fleet.routers.end() && router->second.isAlive;
  });
}

bool MaintenanceLeader::isListedLive(const Machine& machine, const FleetState& fleet) const {
  if (!bounds_.notifiesDiscovery) return false;
  return std::any_of(machine.nodes.begin(), machine.nodes.end(), [&](const std::string& name) {
    const auto node = fleet.nodes.find(name);
    return node != fleet.nodes.end() && node->second.isLive;
  });
}

std::vector<std::string> MaintenanceLeader::unnotifiedRouters(Instant now, const Plan& plan,
                                                              const Machine& machine,
                                                              const FleetState& fleet) const {
  std::vector<std::string> names;
  for (const auto& [name, router] : fleet.routers) {
    if (router.wasRemoved && isFenced(now, routers_.at(name).removedSince)) continue;
    // The router had ended before its own machine was released, and receives the plan first when it starts.
    if (!router.isAlive && runsOnReleased(plan, name)) continue;
    if (router.wasRemoved || !router.isAlive || router.planVersion < machine.phaseVersion)
      names.push_back(name);
  }
  return names;
}

std::vector<std::string> MaintenanceLeader::undrainedRouters(Instant now, const Machine& machine,
                                                             const FleetState& fleet) const {
  std::vector<std::string> names;
  for (const auto& [name, router] : fleet.routers) {
    const ObservedRouter& observed = routers_.at(name);
    // A router that runs on the machine itself must have ended.
    const bool runsThere = contains(machine.routers, name);
    const bool hasDrained = !runsThere && !router.wasRemoved && router.isAlive &&
                            router.drainedVersion >= machine.phaseVersion &&
                            isFenced(now, observed.incarnationSince);
    const bool hasNoLease =
        isFenced(now, observed.silentSince) || (router.wasRemoved && isFenced(now, observed.removedSince));
    if (!hasDrained && !hasNoLease) names.push_back(name);
  }
  return names;
}

std::string MaintenanceLeader::waitingFor(Instant now, const Plan& plan, const Machine& machine,
                                          const FleetState& fleet) const {
  switch (machine.phase) {
    case Phase::waiting: {
      if (fleet.isDegraded) return "service is reduced, or has not returned yet";
      const std::string reason = startBlockingReason(plan, machine, fleet, bounds_);
      return reason.empty() ? "its turn" : reason;
    }
    case Phase::next:
      return "to know: " + joined(unnotifiedRouters(now, plan, machine, fleet));
    case Phase::draining: {
      const auto undrained = undrainedRouters(now, machine, fleet);
      return undrained.empty() ? "discovery to list it as leaving"
                               : "nothing out there: " + joined(undrained);
    }
    case Phase::released:
      return "an operator's word that it is done";
    case Phase::returning:
      return "what stands on it to serve";
    case Phase::finished:
      break;
  }
  return "";
}

// --- Phase transitions

std::vector<PhaseTransition> MaintenanceLeader::advance(Instant now, Plan& plan, const FleetState& fleet) {
  std::vector<PhaseTransition> transitions;
  for (Machine& machine : plan.machines) {
    if (!observedInPhase(machine)) continue;
    std::optional<PhaseTransition> transition;
    if (machine.phase == Phase::next)
      transition = advanceNext(now, plan, machine, fleet);
    else if (machine.phase == Phase::draining)
      transition = advanceDraining(now, plan, machine, fleet);
    else if (machine.phase == Phase::returning)
      transition = advanceReturning(now, plan, machine);
    if (transition) transitions.push_back(std::move(*transition));
  }
  for (PhaseTransition& transition : scheduleWaiting(now, plan, fleet))
    transitions.push_back(std::move(transition));
  if (!transitions.empty()) pruneFinished(plan);
  return transitions;
}

std::optional<PhaseTransition> MaintenanceLeader::advanceNext(Instant now, const Plan& plan, Machine& machine,
                                                              const FleetState& fleet) const {
  if (const auto reason = blockingReason(plan, machine, fleet, bounds_); !reason.empty())
    return moveToPhase(plan, machine, Phase::waiting, reason);
  const auto unnotified = unnotifiedRouters(now, plan, machine, fleet);
  if (unnotified.empty()) return moveToPhase(plan, machine, Phase::draining, "all routers know");
  if (now - observedInPhase(machine)->phaseSince < bounds_.announceTimeout) return std::nullopt;
  return abandonAttempt(plan, machine, "not known in time to " + joined(unnotified));
}

std::optional<PhaseTransition> MaintenanceLeader::advanceDraining(Instant now, const Plan& plan,
                                                                  Machine& machine,
                                                                  const FleetState& fleet) const {
  if (const auto reason = blockingReason(plan, machine, fleet, bounds_); !reason.empty())
    return moveToPhase(plan, machine, Phase::waiting, reason);
  const auto undrained = undrainedRouters(now, machine, fleet);
  if (undrained.empty() && !isListedLive(machine, fleet))
    return moveToPhase(plan, machine, Phase::released, "no router can send there");
  if (now - observedInPhase(machine)->phaseSince < bounds_.drainTimeout) return std::nullopt;
  return abandonAttempt(
      plan, machine,
      undrained.empty() ? "discovery still lists it as live" : "still in the way: " + joined(undrained));
}

std::optional<PhaseTransition> MaintenanceLeader::advanceReturning(Instant now, const Plan& plan,
                                                                   Machine& machine) const {
  const ObservedMachine& observed = *observedInPhase(machine);
  if (observed.servingSince != Instant() && now - observed.servingSince >= bounds_.warmUpDuration)
    return moveToPhase(plan, machine, Phase::finished, "it serves");
  if (now - observed.phaseSince >= bounds_.returnTimeout)
    return moveToPhase(plan, machine, Phase::finished, "given up: it does not serve again");
  return std::nullopt;
}

std::vector<PhaseTransition> MaintenanceLeader::scheduleWaiting(Instant now, Plan& plan,
                                                                const FleetState& fleet) const {
  std::map<std::string, Duration> waited;
  // The plan without machines that are in their retry delay or have not been observed yet.
  Plan eligible;
  eligible.version = plan.version;
  for (const Machine& machine : plan.machines) {
    const ObservedMachine* observed = observedInPhase(machine);
    if (observed) waited[machine.name] = now - observed->requestedSince;
    const bool isEligible =
        observed && (machine.reason == kRequestedReason || now - observed->phaseSince >= bounds_.retryDelay);
    if (machine.phase != Phase::waiting || isEligible) eligible.machines.push_back(machine);
  }
  std::vector<PhaseTransition> transitions;
  while (const Machine* next = nextMachine(eligible, fleet, bounds_, waited)) {
    const std::string name = next->name;
    transitions.push_back(moveToPhase(plan, *plan.find(name), Phase::next, "its turn"));
    moveToPhase(eligible, *eligible.find(name), Phase::next, "");
  }
  return transitions;
}

PhaseTransition MaintenanceLeader::abandonAttempt(const Plan& plan, Machine& machine,
                                                  const std::string& reason) const {
  if (++machine.attempts < bounds_.maxAttempts) return moveToPhase(plan, machine, Phase::waiting, reason);
  return moveToPhase(plan, machine, Phase::finished, "given up: " + reason);
}

bool MaintenanceLeader::isDue(Instant now, const Plan& plan, const FleetState& fleet) {
  Plan copy = plan;
  return !advance(now, copy, fleet).empty();
}

bool MaintenanceLeader::shouldLead(Instant now, bool isDue, std::size_t aliveAhead) {
  updateSince(now, isDue, dueSince_);
  return aliveAhead == 0 || (isDue && now - dueSince_ > kTakeoverDelay * static_cast<double>(aliveAhead));
}

}  // namespace gulltrestle::maintenance
