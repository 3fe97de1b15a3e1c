// Orders in which modelled machines are taken out for work, for comparing what each costs (simulated).
#pragma once

#include <string>
#include <vector>

#include "tools/fleet_model/fleet.h"

namespace gulltrestle::fleet_simulator {

// Of work on all replicas: three zones, a machine three replicas of its zone, of three groups; the work
// itself takes some seconds, as a day of hours would take too long to play.
//   none      no work
//   settled   as routers settle it: by src/work, five machines at once, each back and warm before the next
//   names     by name, one after another; off a second after the drain, the next one once it is back
//   zones     a zone at a time
const std::vector<std::string>& orderNames();
// `groups` of a primary and three replicas each, as fleet_model::dayOf() has them. Ends: when the last is
// warm.
struct Schedule {
  std::vector<fleet_model::FaultPlan::Outage> outages;
  double ends = 0;
};
Schedule scheduleOf(const std::string& order, std::size_t groups);

}  // namespace gulltrestle::fleet_simulator
