// Which machine's maintenance begins next, and why another's can't. No I/O, no clock.
//
// The objective: first the value at risk, second the total time. Value is at risk while a group has fewer
// nodes than it may need; so limits bound what is unavailable at a time, and among the machines that may
// begin now that one is first
//   1. that is in the zone of those in progress: one place at a time is at risk;
//   2. whose wanted time is nearest to being missed;
//   3. that runs no router: their connections move once, at the end;
//   4. whose replicas lag furthest behind: they serve least;
//   5. whose work takes longest: those left at the end run beside each other;
//   6. by name, so that every voter finds the same one.
// A machine with a primary waits until an operator has moved the primary; by then the replicas' machines are
// finished.
#pragma once

#include <optional>
#include <string>

#include "maintenance/fleet_state.h"
#include "maintenance/maintenance_plan.h"

namespace gulltrestle::maintenance {

// Why this machine can't be out of service now; empty: it can. Counts what is unavailable for whatever
// reason, apart from what runs on the machine itself.
std::string blockingReason(const Plan& plan, const Machine& machine, const FleetState& fleet,
                           const Bounds& bounds);

// The same with what keeps maintenance from beginning, though not from going on.
std::string startBlockingReason(const Plan& plan, const Machine& machine, const FleetState& fleet,
                                const Bounds& bounds);

// Of the waiting machines that nothing blocks, the one to begin next; null: none. `waited`: how long ago each
// machine was requested, where known.
const Machine* nextMachine(const Plan& plan, const FleetState& fleet, const Bounds& bounds,
                           const std::map<std::string, Duration>& waited);

// What would block the machine however long it waits; empty: nothing. For the validation of requests.
std::string permanentBlockingReason(const Machine& machine, const FleetState& fleet, const Bounds& bounds);

}  // namespace gulltrestle::maintenance
