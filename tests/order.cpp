// The order of maintenance: machine by machine as scheduling has it, beside the best of all orders on small
// fleets and the simplest (by name, one at a time) on large ones. Run as `order CASE`: prints what is
// measured; the same for the same seeds.
#include <algorithm>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <random>

#include "maintenance/scheduling.h"

using namespace gulltrestle;
using namespace gulltrestle::maintenance;

namespace {

// What a machine costs beside the work: notifying all routers, draining, and warming up afterwards.
constexpr double kOverheadSeconds = 25;

struct World {
  Plan plan;
  FleetState fleet;
  Bounds bounds;
};

World drawn(std::uint64_t seed, std::size_t machines, std::size_t groups, std::size_t zones) {
  std::mt19937_64 random(seed);
  World world;
  for (std::size_t m = 0; m < machines; ++m) {
    Machine machine;
    machine.name = "m" + std::to_string(100 + m);
    machine.zone = "z" + std::to_string(m % zones);
    machine.expectedDuration = Duration::millis(static_cast<std::int64_t>(60'000 + random() % 840'000));
    for (std::size_t n = 0; n < 1 + random() % 3; ++n) {
      const std::string node = machine.name + "n" + std::to_string(n);
      auto& state = world.fleet.nodes[node];
      state.group = random() % groups;
      state.isLive = state.isServing = true;
      const bool isTwice = std::any_of(machine.nodes.begin(), machine.nodes.end(), [&](auto& other) {
        return world.fleet.nodes.at(other).group == state.group;
      });
      if (isTwice)
        world.fleet.nodes.erase(node);
      else
        machine.nodes.push_back(node);
    }
    world.plan.machines.push_back(machine);
  }
  // Each group has a primary on a machine that is not in the plan, and another replica.
  for (std::size_t g = 0; g < groups; ++g)
    for (const char* name : {"p", "x"}) {
      auto& state = world.fleet.nodes[name + std::to_string(g)];
      state.group = g;
      state.isLive = state.isServing = true;
      state.isPrimary = *name == 'p';
    }
  world.fleet.routers["r0"].isAlive = true;
  return world;
}

// Seconds until all machines are finished; `choose` says which begins next, if any.
using Chooser = std::function<const Machine*(const Plan&)>;
double secondsOf(World world, const Chooser& choose) {
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
  for (const auto& m : world.plan.machines)
    if (m.phase != Phase::finished) return -1;  // never: each group keeps two
  return now;
}
Chooser byScheduling(const World& world) {
  return [&world](const Plan& plan) { return nextMachine(plan, world.fleet, world.bounds, {}); };
}
Chooser byName() {
  return [](const Plan& plan) -> const Machine* {
    for (const auto& m : plan.machines)
      if (m.phase == Phase::released) return nullptr;
    for (const auto& m : plan.machines)
      if (m.phase == Phase::waiting) return &m;
    return nullptr;
  };
}
// The first in this order that nothing blocks.
Chooser inOrder(const World& world, const std::vector<std::size_t>& order) {
  return [&world, &order](const Plan& plan) -> const Machine* {
    std::size_t out = 0;
    std::string zone;
    for (const auto& m : plan.machines)
      if (m.phase == Phase::released) ++out, zone = m.zone;
    if (out >= world.bounds.maxMachinesInProgress) return nullptr;
    for (const std::size_t i : order) {
      const Machine& m = plan.machines[i];
      if (m.phase == Phase::waiting && (zone.empty() || m.zone == zone) &&
          startBlockingReason(plan, m, world.fleet, world.bounds).empty())
        return &m;
    }
    return nullptr;
  };
}

void small() {
  double sum = 0, worst = 1, plain = 0;
  constexpr std::size_t kFleets = 20, kMachines = 7;
  for (std::uint64_t seed = 1; seed <= kFleets; ++seed) {
    World world = drawn(seed, kMachines, 5, 1);
    world.bounds.maxMachinesInProgress = 3;
    std::vector<std::size_t> order(kMachines);
    for (std::size_t i = 0; i < kMachines; ++i) order[i] = i;
    double best = 1e18;
    do best = std::min(best, secondsOf(world, inOrder(world, order)));
    while (std::next_permutation(order.begin(), order.end()));
    const double ours = secondsOf(world, byScheduling(world)) / best;
    sum += ours;
    worst = std::max(worst, ours);
    plain += secondsOf(world, byName()) / best;
  }
  std::cout << std::fixed << std::setprecision(3) << kFleets << " fleets of " << kMachines
            << " machines in one zone, three at once, time of the whole by the best of all orders: taken "
            << sum / kFleets << ", at worst " << worst << "; by name, one at a time " << plain / kFleets
            << "\n";
}

void large() {
  for (const unsigned atOnce : {2u, 4u, 8u}) {
    double ours = 0, plain = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      World world = drawn(seed, 60, 30, 3);
      world.bounds.maxMachinesInProgress = atOnce;
      ours += secondsOf(world, byScheduling(world)) / 36000;
      plain += secondsOf(world, byName()) / 36000;
    }
    std::cout << std::fixed << std::setprecision(2)
              << "60 machines with about 120 nodes of 30 groups in 3 zones, " << atOnce
              << " at once: " << ours << " hours; by name, one at a time " << plain << "\n";
  }
}

}  // namespace

int main(int argumentCount, char** arguments) {
  const std::string name = argumentCount > 1 ? arguments[1] : "";
  if (name == "small")
    small();
  else if (name == "large")
    large();
  else
    return 2;
}
