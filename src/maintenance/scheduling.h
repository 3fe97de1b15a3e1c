// Selects the machine whose maintenance starts next, and explains why others are blocked. No I/O, no clock.
//
// The objective is to minimize first the value at risk, then the total time. Value is at risk while a group
// has fewer nodes than it may need. Limits therefore bound how much is unavailable at a time, and the
// machines that may start now are ordered by
//   1. zone: that of the machines in progress first, so that only one zone at a time is at risk;
//   2. slack: the machine that is closest to missing its requested completion time first;
//   3. routers: machines without routers first, so that client connections move only once, at the end;
//   4. replication lag: the largest lag first, since these replicas serve the fewest reads;
//   5. expected duration: the longest first, so that the last machines can be maintained in parallel;
//   6. name, so that every voter selects the same machine.
// A machine with a primary waits until an operator has moved the primary; by then the machines of the
// replicas are finished.
#pragma once

#include <optional>
#include <string>

#include "maintenance/fleet_state.h"
#include "maintenance/maintenance_plan.h"

namespace gulltrestle::maintenance {

// Returns why this machine cannot be out of service now, or an empty string if it can. Counts nodes and
// routers that are unavailable for any reason, except those on the machine itself.
std::string blockingReason(const Plan& plan, const Machine& machine, const FleetState& fleet,
                           const MaintenanceLimits& bounds);

// Like blockingReason(), but also includes conditions that prevent maintenance from starting, though not from
// continuing.
std::string startBlockingReason(const Plan& plan, const Machine& machine, const FleetState& fleet,
                                const MaintenanceLimits& bounds);

// Returns the waiting machine to start next, or null if all are blocked. `waited`: time since each machine
// was requested, where known.
const Machine* nextMachine(const Plan& plan, const FleetState& fleet, const MaintenanceLimits& bounds,
                           const std::map<std::string, Duration>& waited);

// Returns a reason that blocks the machine regardless of how long it waits, or an empty string if there is
// none. Used to validate requests.
std::string permanentBlockingReason(const Machine& machine, const FleetState& fleet,
                                    const MaintenanceLimits& bounds);

}  // namespace gulltrestle::maintenance
