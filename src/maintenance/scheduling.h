// Which machine's turn comes next, and why another's does not. No I/O, no clock.
//
// The objective: the value at risk first, the time of the whole second. Value is at risk while a group has
// fewer nodes than it may need; so budgets bound what is away at a time, and among machines that may go now
// the one goes first
//   1. that is in the zone of those that are in work already: one place at a time is at risk;
//   2. whose wish for a time is nearest to being missed;
//   3. that carries no router: their connections move once, at the end;
//   4. whose replicas are furthest behind: they serve least;
//   5. whose work takes longest: those that are left at the end run beside each other;
//   6. by name, so that every keeper finds the same.
// A machine with a primary waits until an operator has moved it; by then its replicas' machines were done.
#pragma once

#include <optional>
#include <string>

#include "maintenance/fleet_state.h"
#include "maintenance/maintenance_plan.h"

namespace gulltrestle::maintenance {

// Why this machine can't go now; empty: it can. Counts what is away for any reason, this machine left out.
std::string blockingReason(const Plan& plan, const Machine& machine, const FleetState& facts,
                           const Bounds& bounds);

// The same, and what hinders a turn from beginning, but none that has begun.
std::string startBlockingReason(const Plan& plan, const Machine& machine, const FleetState& facts,
                                const Bounds& bounds);

// The one whose turn it is, of those that wait and that nothing hinders; null: none. `waited`: of each, since
// it was asked for, where known.
const Machine* nextMachine(const Plan& plan, const FleetState& facts, const Bounds& bounds,
                           const std::map<std::string, Duration>& waited);

// Kind would hinder it however long it waits; empty: nothing. For requests.
std::string permanentBlockingReason(const Machine& machine, const FleetState& facts, const Bounds& bounds);

}  // namespace gulltrestle::maintenance
