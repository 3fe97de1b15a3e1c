// Orders in which modelled machines are taken out for maintenance, to compare what each costs (simulated).
#pragma once

#include <string>
#include <vector>

#include "tools/fleet_model/fleet.h"

namespace gulltrestle::fleet_simulator {

// The orders, for maintenance of all replicas: three zones, each machine with three replicas of its zone, of
// three groups. The work takes some seconds, as a day of hours would take too long to simulate.
//   none      no maintenance
//   settled   as routers schedule it: by src/maintenance, five machines at once, each back and warm before
//             the next
//   names     by name, one after another; off a second after the drain, the next one once it is back
//   zones     a zone at a time
const std::vector<std::string>& orderNames();

// When each node is out, and when the last one is warm again, in seconds.
struct Schedule {
  std::vector<fleet_model::FaultPlan::Outage> outages;
  double ends = 0;
};

// `groups`: of a primary and three replicas each, as fleet_model::scenarioNamed() makes them. Throws
// std::invalid_argument for an order that is none.
Schedule scheduleOf(const std::string& order, std::size_t groups);

}  // namespace gulltrestle::fleet_simulator
