// Simulated scenarios (load and faults) for a fleet of any size. They show the combined behaviour of many
// routers and allow designs to be compared.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "tools/fleet_model/fleet.h"

namespace gulltrestle::fleet_model {

// Input of a run of the fleet model.
struct Scenario {
  FleetParameters parameters;
  double seconds = 0;
  std::function<double(double)>
      demand;  // load by time in seconds, as a multiple of the capacity of all nodes
};

// Names of the scenarios:
//
//   calm    load increases by half from 5 to 10 s
//   herd    seven in ten routers are killed at peak load, and restart within 3 s
//   split   network partition for 6 s between a third of the routers and a third of the nodes; endpoint
//   updates
//           are delayed
//   join    six in ten nodes are replaced by cold ones within 7 s
//   roll    half of the nodes and all routers restart, each at a different time
//   torn    half of the nodes lose power for up to a second, and the last 2 s of their log; endpoint updates
//   are
//           delayed
//   start   all routers and all nodes lose power at the same time, and restart in any order within seconds
//   storm   as start, with clients that retry fifty times a second and nodes that collapse easily
const std::vector<std::string>& scenarioNames();

// Returns the scenario of this name, for `nodes` / 4 groups (at least one) of four nodes each. Throws
// std::invalid_argument for an unknown name.
Scenario makeScenario(const std::string& name, std::size_t routers, std::size_t nodes, std::uint64_t seed);

// Returns the scenario with a single router that handles all transactions, with load reports at least 0.1 s
// old. Its result is the reference for checks: what can be served if decisions are not distributed.
Scenario withSingleRouter(Scenario scenario);

}  // namespace gulltrestle::fleet_model
