#include "maintenance/scheduling.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace gulltrestle::maintenance {

namespace {

bool inWork(Phase phase) { return phase != Phase::waiting && phase != Phase::finished; }

bool stands(const std::vector<std::string>& on, const std::string& name) {
  return std::find(on.begin(), on.end(), name) != on.end();
}

// Nodes of the group that are away without this machine: lost, leaving by the list, or in work.
struct Group {
  std::size_t nodes = 0, replicas = 0, away = 0;  // in all; away counts none that stands on the machine
  std::size_t servesElsewhere = 0, replicasElsewhere = 0, here = 0;
  bool primaryHere = false;
};
Group groupOf(const Plan& plan, const Machine& machine, std::uint64_t id, const FleetState& facts) {
  std::set<std::string> inWorkNodes;
  for (const auto& other : plan.machines)
    if (other.name != machine.name && inWork(other.phase))
      inWorkNodes.insert(other.nodes.begin(), other.nodes.end());
  Group group;
  for (const auto& [name, node] : facts.nodes) {
    if (node.group != id) continue;
    ++group.nodes;
    group.replicas += !node.primary;
    if (stands(machine.nodes, name)) {
      ++group.here;
      group.primaryHere = group.primaryHere || node.primary;
    } else if (!node.live || !node.serves || inWorkNodes.contains(name)) {
      ++group.away;
    } else {
      ++group.servesElsewhere;
      group.replicasElsewhere += !node.primary;
    }
  }
  return group;
}

std::set<std::uint64_t> groupsOn(const Machine& machine, const FleetState& facts) {
  std::set<std::uint64_t> groups;
  for (const auto& name : machine.nodes)
    if (const auto at = facts.nodes.find(name); at != facts.nodes.end()) groups.insert(at->second.group);
  return groups;
}

// Each router has to know of a machine before it leaves: no turn is begun that can't go on.
std::string silentOne(const Plan& plan, const Machine& machine, const FleetState& facts) {
  std::set<std::string> away(machine.routers.begin(), machine.routers.end());
  for (const auto& other : plan.machines)
    if (inWork(other.phase)) away.insert(other.routers.begin(), other.routers.end());
  for (const auto& [name, router] : facts.routers)
    if (!router.wasRemoved && !router.isAlive && !away.contains(name))
      return "router '" + name + "' is not heard: bring it back, or take it off the list";
  return "";
}

std::string hindranceOfRouters(const Plan& plan, const Machine& machine, const FleetState& facts,
                               const Bounds& bounds) {
  if (machine.routers.empty()) return "";
  std::set<std::string> away;
  for (const auto& other : plan.machines)
    if (other.name != machine.name && inWork(other.phase))
      away.insert(other.routers.begin(), other.routers.end());
  std::size_t keepers = 0, keepersLeft = 0, serving = 0;
  for (const auto& [name, router] : facts.routers) {
    if (router.wasRemoved) continue;
    keepers += router.isVoter;
    if (!router.isAlive) away.insert(name);
    if (stands(machine.routers, name) || away.contains(name)) continue;
    ++serving;
    keepersLeft += router.isVoter;
  }
  for (const auto& name : machine.routers) away.erase(name);
  if (away.size() + machine.routers.size() > bounds.routersOut)
    return "routers away: " + std::to_string(away.size()) + ", and at most " +
           std::to_string(bounds.routersOut) + " may be";
  if (serving == 0) return "no other router lives";
  if (keepersLeft < majorityOf(keepers)) return "too few keepers would be left";
  return "";
}

}  // namespace

std::string blockingReason(const Plan& plan, const Machine& machine, const FleetState& facts,
                           const Bounds& bounds) {
  for (const std::uint64_t id : groupsOn(machine, facts)) {
    const Group group = groupOf(plan, machine, id, facts);
    const std::string of = "group " + std::to_string(id);
    if (group.primaryHere) return of + ": its primary stands there, and has to move first";
    if (group.away + group.here > bounds.outOfGroup)
      return of + ": " + std::to_string(group.away) + " of its nodes are away";
    if (group.servesElsewhere == 0) return of + ": no other node of it serves";
    if (group.replicas > 1 && group.replicasElsewhere == 0) return of + ": no other replica of it serves";
  }
  return hindranceOfRouters(plan, machine, facts, bounds);
}

std::string startBlockingReason(const Plan& plan, const Machine& machine, const FleetState& facts,
                                const Bounds& bounds) {
  const std::string why = blockingReason(plan, machine, facts, bounds);
  return why.empty() ? silentOne(plan, machine, facts) : why;
}

const Machine* nextMachine(const Plan& plan, const FleetState& facts, const Bounds& bounds,
                           const std::map<std::string, Duration>& waited) {
  if (facts.isStrained) return nullptr;
  std::size_t inWorkNow = 0;
  std::set<std::string> zones;
  for (const auto& m : plan.machines)
    if (inWork(m.phase)) {
      ++inWorkNow;
      zones.insert(m.zone);
    }
  if (inWorkNow >= bounds.atOnce) return nullptr;
  const Machine* best = nullptr;
  using Rank = std::tuple<std::int64_t, bool, std::int64_t, std::int64_t, std::string>;
  std::optional<Rank> bestRank;
  for (const auto& m : plan.machines) {
    if (m.phase != Phase::waiting || (!zones.empty() && !zones.contains(m.zone))) continue;
    if (!startBlockingReason(plan, m, facts, bounds).empty()) continue;
    const auto at = waited.find(m.name);
    const std::int64_t left = m.wantedWithin == Duration() ? INT64_MAX
                              : at == waited.end()
                                  ? m.wantedWithin.inMicros()
                                  : (m.wantedWithin - m.expectedDuration - at->second).inMicros();
    Duration behind;
    for (const auto& name : m.nodes)
      if (const auto node = facts.nodes.find(name); node != facts.nodes.end())
        behind = std::max(behind, node->second.behind);
    const Rank rank{left, !m.routers.empty(), -behind.inMicros() / 1'000'000, -m.expectedDuration.inMicros(),
                    m.name};
    if (!bestRank || rank < *bestRank) {
      bestRank = rank;
      best = &m;
    }
  }
  return best;
}

std::string permanentBlockingReason(const Machine& machine, const FleetState& facts, const Bounds& bounds) {
  if (machine.nodes.empty() && machine.routers.empty()) return "nothing stands on it";
  for (const auto& name : machine.nodes)
    if (!facts.nodes.contains(name)) return "no list names the node '" + name + "'";
  for (const auto& name : machine.routers)
    if (!facts.routers.contains(name)) return "no router is called '" + name + "'";
  for (const std::uint64_t id : groupsOn(machine, facts)) {
    const Group group = groupOf({}, machine, id, facts);
    const std::string of = "group " + std::to_string(id);
    if (group.here == group.nodes) return of + " could not serve: all its nodes stand on it";
    if (group.here > bounds.outOfGroup)
      return of + ": " + std::to_string(group.here) + " of its nodes stand on it, and at most " +
             std::to_string(bounds.outOfGroup) + " may be away";
  }
  if (machine.routers.size() > bounds.routersOut)
    return "more routers stand on it than may be away: " + std::to_string(bounds.routersOut);
  Machine alone = machine;
  alone.nodes.clear();
  FleetState lively = facts;
  for (auto& [name, router] : lively.routers) router.isAlive = true;
  return hindranceOfRouters({}, alone, lively, bounds);
}

}  // namespace gulltrestle::maintenance
