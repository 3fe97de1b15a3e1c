#include "tools/fleet_simulator/outage_orders.h"

#include <algorithm>
#include <map>
#include <stdexcept>

#include "maintenance/scheduling.h"

namespace gulltrestle::fleet_simulator {

namespace {

constexpr std::size_t kZones = 3, kGroupsPerMachine = 3, kNodesPerGroup = 4;  // a primary and three replicas
constexpr unsigned kMachinesInProgress = 5;
// Durations of the phases of an outage: from the drain until all routers have reported it as complete, or
// until an operator who doesn't wait for them stops the machine; the work; from the restart of a node until
// it is warm. The first drain starts at kFirstDrainSeconds.
constexpr double kRouterDrainSeconds = 2, kOperatorWaitSeconds = 1, kWorkSeconds = 3, kWarmUpSeconds = 10,
                 kFirstDrainSeconds = 5;

// Times of the outage of one machine, in seconds.
struct MachineOutage {
  double drainsAt = 0, stopsAt = 0, restartsAt = 0;
};

MachineOutage outageAt(double drainsAt, double drainTime) {
  return {drainsAt, drainsAt + drainTime, drainsAt + drainTime + kWorkSeconds};
}

// Adds the outages of all nodes of the machine.
void addOutage(const maintenance::Machine& machine, const MachineOutage& outage, Schedule& schedule) {
  for (const auto& node : machine.nodes)
    schedule.outages.push_back({std::stoul(node), outage.drainsAt, outage.stopsAt, outage.restartsAt});
  schedule.endSeconds = std::max(schedule.endSeconds, outage.restartsAt + kWarmUpSeconds);
}

// Returns the state of a healthy fleet. The name of a node is its index in the fleet model.
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

// Returns a plan with all machines ordered by name, as in an operator's list, independent of their zones.
maintenance::Plan planOf(std::size_t groups) {
  maintenance::Plan plan;
  for (std::size_t slot = 0; slot * kGroupsPerMachine < groups; ++slot)
    for (std::size_t zone = 0; zone < kZones; ++zone) {
      maintenance::Machine machine;
      machine.name = "m" + std::to_string(1000 + slot * kZones + zone);
      machine.zone = std::to_string(zone);
      machine.expectedDuration = Duration::seconds(kWorkSeconds);
      const std::size_t end = std::min(groups, (slot + 1) * kGroupsPerMachine);
      for (std::size_t group = slot * kGroupsPerMachine; group < end; ++group)
        machine.nodes.push_back(std::to_string(group * kNodesPerGroup + 1 + zone));
      plan.machines.push_back(std::move(machine));
    }
  return plan;
}

Schedule scheduleByName(const maintenance::Plan& plan) {
  Schedule schedule;
  double now = kFirstDrainSeconds;
  for (const auto& machine : plan.machines) {
    addOutage(machine, outageAt(now, kOperatorWaitSeconds), schedule);
    now += kOperatorWaitSeconds + kWorkSeconds;
  }
  return schedule;
}

Schedule scheduleByZone(const maintenance::Plan& plan) {
  Schedule schedule;
  double now = kFirstDrainSeconds;
  for (std::size_t zone = 0; zone < kZones; ++zone, now += kOperatorWaitSeconds + kWorkSeconds)
    for (const auto& machine : plan.machines)
      if (machine.zone == std::to_string(zone))
        addOutage(machine, outageAt(now, kOperatorWaitSeconds), schedule);
  return schedule;
}

Schedule scheduleByScheduler(maintenance::Plan plan, const maintenance::FleetState& fleet) {
  Schedule schedule;
  maintenance::MaintenanceLimits bounds;
  bounds.maxMachinesInProgress = kMachinesInProgress;
  double now = kFirstDrainSeconds;
  std::multimap<double, std::string> inProgress;  // machine names by the time at which they are warm
  for (;;) {
    while (const maintenance::Machine* next = maintenance::nextMachine(plan, fleet, bounds, {})) {
      const MachineOutage outage = outageAt(now, kRouterDrainSeconds);
      addOutage(*next, outage, schedule);
      inProgress.emplace(outage.restartsAt + kWarmUpSeconds, next->name);
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
  if (order == "names") return scheduleByName(planOf(groups));
  if (order == "zones") return scheduleByZone(planOf(groups));
  if (order == "settled") return scheduleByScheduler(planOf(groups), fleetOf(groups));
  throw std::invalid_argument("'" + order + "' is not a known order");
}

}  // namespace gulltrestle::fleet_simulator
