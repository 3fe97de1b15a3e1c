#include "tools/fleet_simulator/outage_orders.h"

#include <algorithm>
#include <map>
#include <stdexcept>

#include "maintenance/scheduling.h"

namespace gulltrestle::fleet_simulator {

namespace {

constexpr std::size_t kZones = 3, kOnMachine = 3, kOfGroup = 4;  // a primary and three replicas
// From the drain: until all have said that nothing is out (settled), or what an operator waits (by hand); the
// work; and until a node that is back is warm.
constexpr double kProven = 2, kByHand = 1, kWork = 3, kWarm = 10, kFirst = 5;

struct Out {
  double leaves = 0, off = 0, back = 0;
};

std::vector<std::size_t> rowsOf(const maintenance::Machine& machine) {
  std::vector<std::size_t> rows;
  for (const auto& node : machine.nodes) rows.push_back(std::stoul(node));
  return rows;
}

}  // namespace

const std::vector<std::string>& orderNames() {
  static const std::vector<std::string> names{"none", "settled", "names", "zones"};
  return names;
}

Schedule scheduleOf(const std::string& order, std::size_t groups) {
  maintenance::Plan plan;
  maintenance::FleetState facts;
  maintenance::Bounds bounds;
  bounds.maxMachinesInProgress = 5;
  facts.routers["r"].isAlive = true;
  for (std::size_t row = 0; row < groups * kOfGroup; ++row) {
    auto& node = facts.nodes[std::to_string(row)];
    node.group = row / kOfGroup;
    node.isLive = node.isServing = true;
    node.isPrimary = row % kOfGroup == 0;
  }
  // By name as an operator's list has them: machine by machine, whatever the zone.
  for (std::size_t slot = 0; slot * kOnMachine < groups; ++slot)
    for (std::size_t zone = 0; zone < kZones; ++zone) {
      maintenance::Machine machine;
      machine.name = "m" + std::to_string(1000 + slot * kZones + zone);
      machine.zone = std::to_string(zone);
      machine.expectedDuration = Duration::seconds(kWork);
      for (std::size_t g = slot * kOnMachine; g < std::min(groups, (slot + 1) * kOnMachine); ++g)
        machine.nodes.push_back(std::to_string(g * kOfGroup + 1 + zone));
      plan.machines.push_back(std::move(machine));
    }
  Schedule schedule;
  const auto take = [&](const maintenance::Machine& machine, const Out& out) {
    for (const std::size_t row : rowsOf(machine))
      schedule.outages.push_back({row, out.leaves, out.off, out.back});
    schedule.ends = std::max(schedule.ends, out.back + kWarm);
  };
  double now = kFirst;
  if (order == "names") {
    for (const auto& machine : plan.machines) {
      take(machine, {now, now + kByHand, now + kByHand + kWork});
      now += kByHand + kWork;
    }
  } else if (order == "zones") {
    for (std::size_t zone = 0; zone < kZones; ++zone, now += kByHand + kWork)
      for (const auto& machine : plan.machines)
        if (machine.zone == std::to_string(zone)) take(machine, {now, now + kByHand, now + kByHand + kWork});
  } else if (order == "settled") {
    std::multimap<double, std::string> done;
    for (;;) {
      while (const maintenance::Machine* next = maintenance::nextMachine(plan, facts, bounds, {})) {
        const Out out{now, now + kProven, now + kProven + kWork};
        take(*next, out);
        done.emplace(out.back + kWarm, next->name);
        plan.find(next->name)->phase = maintenance::Phase::released;
      }
      if (done.empty()) break;
      now = done.begin()->first;
      plan.find(done.begin()->second)->phase = maintenance::Phase::finished;
      done.erase(done.begin());
    }
  } else if (order != "none") {
    throw std::invalid_argument("'" + order + "' is no order");
  }
  return schedule;
}

}  // namespace gulltrestle::fleet_simulator
