#include "tools/fleet_simulator/outage_orders.h"

#include <algorithm>
#include <map>
#include <stdexcept>

#include "maintenance/scheduling.h"

namespace gulltrestle::fleet_simulator {

namespace {

constexpr std::size_t kZones = 3, kGroupsPerMachine = 3, kNodesPerGroup = 4;  // a primary and three replicas
constexpr unsigned kMachinesInProgress = 5;
// In seconds: from the drain until all routers have reported that they have drained, or what an operator
// waits; the work; until a node that is back is warm; and the start of the first drain.
constexpr double kRoutersDrain = 2, kOperatorWait = 1, kWork = 3, kWarmUp = 10, kFirstDrain = 5;

// One machine's outage, in seconds.
struct MachineOutage {
  double drainsAt = 0, offAt = 0, backAt = 0;
};

MachineOutage outageAt(double drainsAt, double drainTime) {
  return {drainsAt, drainsAt + drainTime, drainsAt + drainTime + kWork};
}

void add(const maintenance::Machine& machine, const MachineOutage& outage, Schedule& schedule) {
  for (const auto& node : machine.nodes)
    schedule.outages.push_back({std::stoul(node), outage.drainsAt, outage.offAt, outage.backAt});
  schedule.ends = std::max(schedule.ends, outage.backAt + kWarmUp);
}

// Nodes are named by their index in the fleet model.
maintenance::FleetState fleetOf(std::size_t groups) {
  maintenance::FleetState fleet;
  fleet.routers["r"].isAlive = true;
  for (std::size_t index = 0; index < groups * kNodesPerGroup; ++index) {
    auto& node = fleet.nodes[std::to_string(index)];
    node.group = index / kNodesPerGroup;
    node.isLive = node.isServing = true;
    node.isPrimary = index % kNodesPerGroup == 0;
  }
  return fleet;
}

// By name, as an operator's list has them: machine by machine, whatever the zone.
maintenance::Plan planOf(std::size_t groups) {
  maintenance::Plan plan;
  for (std::size_t slot = 0; slot * kGroupsPerMachine < groups; ++slot)
    for (std::size_t zone = 0; zone < kZones; ++zone) {
      maintenance::Machine machine;
      machine.name = "m" + std::to_string(1000 + slot * kZones + zone);
      machine.zone = std::to_string(zone);
      machine.expectedDuration = Duration::seconds(kWork);
      const std::size_t end = std::min(groups, (slot + 1) * kGroupsPerMachine);
      for (std::size_t group = slot * kGroupsPerMachine; group < end; ++group)
        machine.nodes.push_back(std::to_string(group * kNodesPerGroup + 1 + zone));
      plan.machines.push_back(std::move(machine));
    }
  return plan;
}

Schedule byName(const maintenance::Plan& plan) {
  Schedule schedule;
  double now = kFirstDrain;
  for (const auto& machine : plan.machines) {
    add(machine, outageAt(now, kOperatorWait), schedule);
    now += kOperatorWait + kWork;
  }
  return schedule;
}

Schedule byZone(const maintenance::Plan& plan) {
  Schedule schedule;
  double now = kFirstDrain;
  for (std::size_t zone = 0; zone < kZones; ++zone, now += kOperatorWait + kWork)
    for (const auto& machine : plan.machines)
      if (machine.zone == std::to_string(zone)) add(machine, outageAt(now, kOperatorWait), schedule);
  return schedule;
}

Schedule byScheduling(maintenance::Plan plan, const maintenance::FleetState& fleet) {
  Schedule schedule;
  maintenance::Bounds bounds;
  bounds.maxMachinesInProgress = kMachinesInProgress;
  double now = kFirstDrain;
  std::multimap<double, std::string> inProgress;  // machines, by when they are warm
  for (;;) {
    while (const maintenance::Machine* next = maintenance::nextMachine(plan, fleet, bounds, {})) {
      const MachineOutage outage = outageAt(now, kRoutersDrain);
      add(*next, outage, schedule);
      inProgress.emplace(outage.backAt + kWarmUp, next->name);
      plan.find(next->name)->phase = maintenance::Phase::released;
    }
    if (inProgress.empty()) return schedule;
    const auto first = inProgress.begin();
    now = first->first;
    plan.find(first->second)->phase = maintenance::Phase::finished;
    inProgress.erase(first);
  }
}

}  // namespace

const std::vector<std::string>& orderNames() {
  static const std::vector<std::string> names{"none", "settled", "names", "zones"};
  return names;
}

Schedule scheduleOf(const std::string& order, std::size_t groups) {
  if (order == "none") return {};
  if (order == "names") return byName(planOf(groups));
  if (order == "zones") return byZone(planOf(groups));
  if (order == "settled") return byScheduling(planOf(groups), fleetOf(groups));
  throw std::invalid_argument("'" + order + "' is no order");
}

}  // namespace gulltrestle::fleet_simulator
