// Measures the total time of maintenance in the order that scheduling selects, compared with the best of all
// orders on small fleets and with the simplest order (by name, one machine at a time) on large ones. Run as
// `order CASE`: prints the measured times, which are the same for the same seeds.
#include <algorithm>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <numeric>
#include <random>

#include "maintenance/scheduling.h"

using namespace gulltrestle;
using namespace gulltrestle::maintenance;

namespace {

// Time per machine in addition to the work: notifying all routers, draining, and warming up afterwards.
constexpr double kOverheadSeconds = 25;
constexpr double kSecondsPerHour = 3600;

struct World {
  Plan plan;
  FleetState fleet;
  MaintenanceLimits bounds;
};

struct FleetSize {
  std::size_t machines = 0, groups = 0, zones = 0;
};

NodeState& addServingNode(FleetState& fleet, const std::string& name, std::uint64_t group) {
  NodeState& node = fleet.nodes[name];
  node.group = group;
  node.isLive = node.isServing = true;
  return node;
}

// Creates a machine with up to three nodes of different groups.
Machine randomMachine(std::mt19937_64& random, std::size_t index, const FleetSize& size, FleetState& fleet) {
  Machine machine;
  machine.name = "m" + std::to_string(100 + index);
  machine.zone = "z" + std::to_string(index % size.zones);
  machine.expectedDuration = Duration::millis(static_cast<std::int64_t>(60'000 + random() % 840'000));
  for (std::size_t n = 0; n < 1 + random() % 3; ++n) {
    const std::string name = machine.name + "n" + std::to_string(n);
    const std::uint64_t group = random() % size.groups;
    const bool hasGroup = std::any_of(machine.nodes.begin(), machine.nodes.end(), [&](const auto& other) {
      return fleet.nodes.at(other).group == group;
    });
    if (hasGroup) continue;
    addServingNode(fleet, name, group);
    machine.nodes.push_back(name);
  }
  return machine;
}

World randomWorld(std::uint64_t seed, const FleetSize& size) {
  std::mt19937_64 random(seed);
  World world;
  for (std::size_t index = 0; index < size.machines; ++index)
    world.plan.machines.push_back(randomMachine(random, index, size, world.fleet));
  // Each group has a primary on a machine that is not in the plan, and another replica.
  for (std::size_t group = 0; group < size.groups; ++group) {
    addServingNode(world.fleet, "p" + std::to_string(group), group).isPrimary = true;
    addServingNode(world.fleet, "x" + std::to_string(group), group);
  }
  world.fleet.routers["r0"].isAlive = true;
  return world;
}

// Returns the machine that starts next, or null if none can start now.
using Chooser = std::function<const Machine*(const Plan&)>;

// Returns the seconds until all machines are finished in the order of the chooser, or -1 if some never
// finish.
double totalSeconds(World world, const Chooser& choose) {
  double now = 0;
  std::map<std::string, double> endsAt;
  for (;;) {
    while (const Machine* next = choose(world.plan)) {
      endsAt[next->name] = now + kOverheadSeconds + next->expectedDuration.inSeconds();
      world.plan.find(next->name)->phase = Phase::released;
    }
    if (endsAt.empty()) break;
    const auto first =
        std::min_element(endsAt.begin(), endsAt.end(), [](auto& a, auto& b) { return a.second < b.second; });
    now = first->second;
    world.plan.find(first->first)->phase = Phase::finished;
    endsAt.erase(first);
  }
  const bool isFinished =
      std::all_of(world.plan.machines.begin(), world.plan.machines.end(),
                  [](const Machine& machine) { return machine.phase == Phase::finished; });
  return isFinished ? now : -1;
}

Chooser byScheduling(const World& world) {
  return [&world](const Plan& plan) { return nextMachine(plan, world.fleet, world.bounds, {}); };
}

// Selects the machines by name, one at a time.
Chooser byName() {
  return [](const Plan& plan) -> const Machine* {
    for (const auto& machine : plan.machines)
      if (machine.phase == Phase::released) return nullptr;
    for (const auto& machine : plan.machines)
      if (machine.phase == Phase::waiting) return &machine;
    return nullptr;
  };
}

// Selects the first machine in the given order that is not blocked.
Chooser inOrder(const World& world, const std::vector<std::size_t>& order) {
  return [&world, &order](const Plan& plan) -> const Machine* {
    std::size_t inProgress = 0;
    std::string zone;
    for (const auto& machine : plan.machines) {
      if (machine.phase != Phase::released) continue;
      ++inProgress;
      zone = machine.zone;
    }
    if (inProgress >= world.bounds.maxMachinesInProgress) return nullptr;
    for (const std::size_t index : order) {
      const Machine& machine = plan.machines[index];
      if (machine.phase == Phase::waiting && (zone.empty() || machine.zone == zone) &&
          startBlockingReason(plan, machine, world.fleet, world.bounds).empty())
        return &machine;
    }
    return nullptr;
  };
}

double bestOrderSeconds(const World& world) {
  std::vector<std::size_t> order(world.plan.machines.size());
  std::iota(order.begin(), order.end(), 0);
  double best = 1e18;
  do best = std::min(best, totalSeconds(world, inOrder(world, order)));
  while (std::next_permutation(order.begin(), order.end()));
  return best;
}

void nearBestOnSmallFleets() {
  constexpr std::size_t kFleets = 20, kMachines = 7;
  double scheduledSum = 0, scheduledWorst = 1, byNameSum = 0;
  for (std::uint64_t seed = 1; seed <= kFleets; ++seed) {
    World world = randomWorld(seed, {kMachines, 5, 1});
    world.bounds.maxMachinesInProgress = 3;
    const double best = bestOrderSeconds(world);
    const double scheduled = totalSeconds(world, byScheduling(world)) / best;
    scheduledSum += scheduled;
    scheduledWorst = std::max(scheduledWorst, scheduled);
    byNameSum += totalSeconds(world, byName()) / best;
  }
  std::cout
      << std::fixed << std::setprecision(3) << kFleets << " fleets of " << kMachines
      << " machines in one zone, three at once, total time relative to the best of all orders: scheduled "
      << scheduledSum / kFleets << ", at worst " << scheduledWorst << "; by name, one at a time "
      << byNameSum / kFleets << "\n";
}

void totalTimeOnLargeFleets() {
  constexpr std::size_t kFleets = 10;
  for (const unsigned maxInProgress : {2u, 4u, 8u}) {
    double scheduledHours = 0, byNameHours = 0;
    for (std::uint64_t seed = 1; seed <= kFleets; ++seed) {
      World world = randomWorld(seed, {60, 30, 3});
      world.bounds.maxMachinesInProgress = maxInProgress;
      scheduledHours += totalSeconds(world, byScheduling(world)) / kSecondsPerHour / kFleets;
      byNameHours += totalSeconds(world, byName()) / kSecondsPerHour / kFleets;
    }
    std::cout << std::fixed << std::setprecision(2)
              << "60 machines with about 120 nodes of 30 groups in 3 zones, " << maxInProgress
              << " at once: " << scheduledHours << " hours; by name, one at a time " << byNameHours << "\n";
  }
}

}  // namespace

int main(int argumentCount, char** arguments) {
  const std::string name = argumentCount > 1 ? arguments[1] : "";
  if (name == "near-best-on-small-fleets")
    nearBestOnSmallFleets();
  else if (name == "total-time-on-large-fleets")
    totalTimeOnLargeFleets();
  else
    return 2;
}
