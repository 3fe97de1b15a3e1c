#include "maintenance/scheduling.h"

#include <algorithm>
#include <compare>
#include <set>

namespace gulltrestle::maintenance {

namespace {

bool isInProgress(Phase phase) { return phase != Phase::waiting && phase != Phase::finished; }

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// The nodes or routers that run on other machines in progress.
std::set<std::string> inProgressElsewhere(const Plan& plan, const Machine& machine,
                                          std::vector<std::string> Machine::*names) {
  std::set<std::string> found;
  for (const Machine& other : plan.machines)
    if (other.name != machine.name && isInProgress(other.phase))
      found.insert((other.*names).begin(), (other.*names).end());
  return found;
}

// Counts of a group's nodes on a machine and elsewhere.
struct GroupCounts {
  std::size_t nodes = 0, replicas = 0;   // total
  std::size_t unavailableElsewhere = 0;  // lost, draining in the endpoint list, or in progress
  std::size_t servingElsewhere = 0, replicasServingElsewhere = 0;
  std::size_t onMachine = 0;
  bool isPrimaryOnMachine = false;
};
GroupCounts countGroup(const Plan& plan, const Machine& machine, std::uint64_t group,
                       const FleetState& fleet) {
  const std::set<std::string> inProgress = inProgressElsewhere(plan, machine, &Machine::nodes);
  GroupCounts counts;
  for (const auto& [name, node] : fleet.nodes) {
    if (node.group != group) continue;
    ++counts.nodes;
    counts.replicas += !node.isPrimary;
    if (contains(machine.nodes, name)) {
      ++counts.onMachine;
      counts.isPrimaryOnMachine = counts.isPrimaryOnMachine || node.isPrimary;
    } else if (!node.isLive || !node.isServing || inProgress.contains(name)) {
      ++counts.unavailableElsewhere;
    } else {
      ++counts.servingElsewhere;
      counts.replicasServingElsewhere += !node.isPrimary;
    }
  }
  return counts;
}

std::set<std::uint64_t> groupsOn(const Machine& machine, const FleetState& fleet) {
  std::set<std::uint64_t> groups;
  for (const auto& name : machine.nodes)
    if (const auto node = fleet.nodes.find(name); node != fleet.nodes.end())
      groups.insert(node->second.group);
  return groups;
}

// Every router has to acknowledge the plan before a machine is drained, so maintenance does not start while a
// router is silent.
std::string silentRouterBlockingReason(const Plan& plan, const Machine& machine, const FleetState& fleet) {
  std::set<std::string> expectedUnavailable(machine.routers.begin(), machine.routers.end());
  for (const Machine& other : plan.machines)
    if (isInProgress(other.phase)) expectedUnavailable.insert(other.routers.begin(), other.routers.end());
  for (const auto& [name, router] : fleet.routers)
    if (!router.wasRemoved && !router.isAlive && !expectedUnavailable.contains(name))
      return "router '" + name + "' is not heard: bring it back, or take it off the list";
  return "";
}

std::string routerBlockingReason(const Plan& plan, const Machine& machine, const FleetState& fleet,
                                 const MaintenanceLimits& bounds) {
  if (machine.routers.empty()) return "";
  std::set<std::string> unavailable = inProgressElsewhere(plan, machine, &Machine::routers);
  std::size_t voters = 0, votersLeft = 0, serving = 0;
  for (const auto& [name, router] : fleet.routers) {
    if (router.wasRemoved) continue;
    voters += router.isVoter;
    if (!router.isAlive) unavailable.insert(name);
    if (contains(machine.routers, name) || unavailable.contains(name)) continue;
    ++serving;
    votersLeft += router.isVoter;
  }
  for (const auto& name : machine.routers) unavailable.erase(name);
  if (unavailable.size() + machine.routers.size() > bounds.maxRoutersOut)
    return "routers away: " + std::to_string(unavailable.size()) + ", and at most " +
           std::to_string(bounds.maxRoutersOut) + " may be";
  if (serving == 0) return "no other router lives";
  if (votersLeft < majorityOf(voters)) return "too few keepers would be left";
  return "";
}

// Orders the machines whose maintenance may start: compares the fields in order, lowest first.
struct Rank {
  std::int64_t slackMicros = 0;  // time until the work has to start in order to finish in time
  bool hasRouters = false;
  std::int64_t negatedLagSeconds = 0;  // whole seconds, since smaller differences are noise
  std::int64_t negatedWorkMicros = 0;
  std::string name;
  auto operator<=>(const Rank&) const = default;
};
Rank rankOf(const Machine& machine, const FleetState& fleet, const std::map<std::string, Duration>& waited) {
  const auto sinceRequest = waited.find(machine.name);
  const std::int64_t slackMicros =
      machine.completeWithin == Duration() ? INT64_MAX
      : sinceRequest == waited.end()
          ? machine.completeWithin.inMicros()
          : (machine.completeWithin - machine.expectedDuration - sinceRequest->second).inMicros();
  Duration lag;
  for (const auto& name : machine.nodes)
    if (const auto node = fleet.nodes.find(name); node != fleet.nodes.end())
      lag = std::max(lag, node->second.replicationLag);
  const std::int64_t lagSeconds = lag.inMicros() / 1'000'000;
  return {slackMicros, !machine.routers.empty(), -lagSeconds, -machine.expectedDuration.inMicros(),
          machine.name};
}

}  // namespace

std::string blockingReason(const Plan& plan, const Machine& machine, const FleetState& fleet,
                           const MaintenanceLimits& bounds) {
  for (const std::uint64_t id : groupsOn(machine, fleet)) {
    const GroupCounts group = countGroup(plan, machine, id, fleet);
    const std::string prefix = "group " + std::to_string(id);
    if (group.isPrimaryOnMachine) return prefix + ": its primary stands there, and has to move first";
    if (group.unavailableElsewhere + group.onMachine > bounds.maxNodesOutPerGroup)
      return prefix + ": " + std::to_string(group.unavailableElsewhere) + " of its nodes are away";
    if (group.servingElsewhere == 0) return prefix + ": no other node of it serves";
    if (group.replicas > 1 && group.replicasServingElsewhere == 0)
      return prefix + ": no other replica of it serves";
  }
  return routerBlockingReason(plan, machine, fleet, bounds);
}

std::string startBlockingReason(const Plan& plan, const Machine& machine, const FleetState& fleet,
                                const MaintenanceLimits& bounds) {
  const std::string reason = blockingReason(plan, machine, fleet, bounds);
  return reason.empty() ? silentRouterBlockingReason(plan, machine, fleet) : reason;
}

const Machine* nextMachine(const Plan& plan, const FleetState& fleet, const MaintenanceLimits& bounds,
                           const std::map<std::string, Duration>& waited) {
  if (fleet.isDegraded) return nullptr;
  std::size_t inProgress = 0;
  std::set<std::string> zones;
  for (const Machine& machine : plan.machines)
    if (isInProgress(machine.phase)) {
      ++inProgress;
      zones.insert(machine.zone);
    }
  if (inProgress >= bounds.maxMachinesInProgress) return nullptr;
  const Machine* best = nullptr;
  std::optional<Rank> bestRank;
  for (const Machine& machine : plan.machines) {
    if (machine.phase != Phase::waiting || (!zones.empty() && !zones.contains(machine.zone))) continue;
    if (!startBlockingReason(plan, machine, fleet, bounds).empty()) continue;
    const Rank rank = rankOf(machine, fleet, waited);
    if (!bestRank || rank < *bestRank) {
      bestRank = rank;
      best = &machine;
    }
  }
  return best;
}

std::string permanentBlockingReason(const Machine& machine, const FleetState& fleet,
                                    const MaintenanceLimits& bounds) {
  if (machine.nodes.empty() && machine.routers.empty()) return "nothing stands on it";
  for (const auto& name : machine.nodes)
    if (!fleet.nodes.contains(name)) return "no list names the node '" + name + "'";
  for (const auto& name : machine.routers)
    if (!fleet.routers.contains(name)) return "no router is called '" + name + "'";
  for (const std::uint64_t id : groupsOn(machine, fleet)) {
    const GroupCounts group = countGroup({}, machine, id, fleet);
    const std::string prefix = "group " + std::to_string(id);
    if (group.onMachine == group.nodes) return prefix + " could not serve: all its nodes stand on it";
    if (group.onMachine > bounds.maxNodesOutPerGroup)
      return prefix + ": " + std::to_string(group.onMachine) + " of its nodes stand on it, and at most " +
             std::to_string(bounds.maxNodesOutPerGroup) + " may be away";
  }
  if (machine.routers.size() > bounds.maxRoutersOut)
    return "more routers stand on it than may be away: " + std::to_string(bounds.maxRoutersOut);
  Machine routersOnly = machine;
  routersOnly.nodes.clear();
  FleetState allAlive = fleet;
  for (auto& [name, router] : allAlive.routers) router.isAlive = true;
  return routerBlockingReason({}, routersOnly, allAlive, bounds);
}

}  // namespace gulltrestle::maintenance
