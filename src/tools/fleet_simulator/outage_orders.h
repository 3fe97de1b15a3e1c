// Orders in which simulated machines are taken down for maintenance, to compare their cost in served value.
#pragma once

#include <string>
#include <vector>

#include "tools/fleet_model/fleet.h"

namespace gulltrestle::fleet_simulator {

// Names of the orders for maintenance of all replicas. There are three zones, and each machine hosts three
// replicas of its zone, of three groups. The work on a machine takes seconds instead of hours, because a run
// of hours would take too long to simulate.
//
//   none      no maintenance
//   settled   the schedule of the routers, computed by src/maintenance: up to five machines at the same time;
//             a machine is in progress until it has restarted and is warm
//   names     by machine name, one at a time: each is stopped one second after its drain, and the next one
//             follows once it has restarted
//   zones     all machines of a zone at the same time, zone by zone
const std::vector<std::string>& orderNames();

// The outage of each node, and the time in seconds at which the last node is warm after it.
struct Schedule {
  std::vector<fleet_model::FaultPlan::Outage> outages;
  double endSeconds = 0;
};

// Returns the schedule for `groups` groups of a primary and three replicas each, as in
// fleet_model::makeScenario(). Throws std::invalid_argument for an unknown order.
Schedule scheduleOf(const std::string& order, std::size_t groups);

}  // namespace gulltrestle::fleet_simulator
