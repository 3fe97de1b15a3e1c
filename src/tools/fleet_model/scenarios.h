// Scenarios of an installation at any size: its load and its faults. For watching what many routers do
// together, and for trying designs on.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "tools/fleet_model/fleet.h"

namespace gulltrestle::fleet_model {

// A run of the fleet model.
struct Scenario {
  FleetParameters parameters;
  double seconds = 0;
  std::function<double(double)> demand;  // by the second, as a multiple of what all nodes can serve
};

// calm    a burst of half as much again from 5 to 10 s
// herd    seven in ten routers are killed at the height of traffic; back within 3 s
// split   for 6 s nothing passes between a third of the routers and a third of the nodes; lists are late
// join    six in ten nodes are replaced within 7 s, by cold ones
// roll    half of the nodes and all routers restart, each at its own time
// torn    half of the nodes lose power for under a second, and 2 s of their log; lists are late
// start   all routers and all nodes lose power at once, and come back in any order within seconds
// storm   the same, with clients that retry fifty times a second and nodes that collapse easily
const std::vector<std::string>& scenarioNames();

// Four nodes a group; `nodes` over four groups, one at least. Throws std::invalid_argument for an unknown
// name.
Scenario scenarioNamed(const std::string& name, std::size_t routers, std::size_t nodes, std::uint64_t seed);

// The same scenario with one router that sees all transactions, its load reports as late as those of others:
// what decisions reach that need not be distributed. For a gate.
Scenario withSingleRouter(Scenario scenario);

}  // namespace gulltrestle::fleet_model
