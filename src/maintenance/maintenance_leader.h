// Advances the maintenance plan: the conditions for each phase transition of a machine, and the timeouts
// after which an attempt is abandoned. One voter at a time is the leader. Each change of the plan is chosen
// as a whole (maintenance/proposal_round.h), so the plan stays consistent even if two voters act as leader at
// the same time. No I/O, no clock.
//
// A machine is released once each router that is a member, or was removed recently, meets one of two
// conditions:
//   - Its current incarnation has reported that it applies the plan and has no attempt in flight there. An
//     incarnation counts only once this voter has observed it for the fence duration, since the previous one
//     may still have had attempts in flight.
//   - It has held no lease for the fence duration. Before the machine started draining, every router had
//     acknowledged that it may send there only with a lease.
//
// Where discovery is notified of excluded nodes, the endpoint list also has to show them as draining, for
// routers that start and have not reached a voter yet.
//
// This protects against routers that are partitioned, stall or crash. Limitation: if a router becomes silent
// before it has acknowledged the plan, the machine waits until the router returns or an operator removes it
// from the member list.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "maintenance/fleet_state.h"
#include "maintenance/maintenance_plan.h"

namespace gulltrestle::maintenance {

// Each voter has one, and uses it to advance the plan while shouldLead() returns true. All calls take the
// chosen plan and the fleet state as known to this voter.
class MaintenanceLeader {
 public:
  explicit MaintenanceLeader(MaintenanceLimits bounds) : bounds_(bounds) {}

  // Records since when each router and machine has been in its state. Called twice per second, also while
  // this voter does not lead, so that a voter that takes over has already observed the fleet.
  void observe(Instant now, const Plan& plan, const FleetState& fleet);
  // Applies all due phase transitions to the plan, based on the state passed to the last observe().
  std::vector<PhaseTransition> advance(Instant now, Plan& plan, const FleetState& fleet);
  // Whether advance() would change the plan.
  bool isDue(Instant now, const Plan& plan, const FleetState& fleet);
  // Describes to operators what a machine waits for; empty if it waits for nothing.
  std::string waitingFor(Instant now, const Plan& plan, const Machine& machine,
                         const FleetState& fleet) const;
  // Whether this voter starts rounds for due transitions. The first alive voter does. If no value is chosen
  // for kTakeoverDelay the next one does as well, then the one after it. `aliveAhead`: number of alive voters
  // that precede this one. Prevents a leader whose heartbeats are received but which cannot reach any voter
  // from blocking maintenance. Trade-off: at most one superfluous round.
  bool shouldLead(Instant now, bool isDue, std::size_t aliveAhead);
  // Restarts the takeover delay after a value was chosen.
  void onChosen() { dueSince_ = Instant(); }
  const MaintenanceLimits& bounds() const { return bounds_; }

 private:
  // Each time is when a condition became true, or never while it is false.
  struct ObservedRouter {
    std::uint64_t incarnation = 0;
    Instant incarnationSince, silentSince, removedSince;
  };
  struct ObservedMachine {
    std::uint64_t phaseVersion = 0;
    Phase phase = Phase::waiting;
    Instant phaseSince, servingSince;
    Instant requestedSince;
  };
  void observeRouter(Instant now, const RouterState& router, ObservedRouter& observed) const;
  void observeMachine(Instant now, const Machine& machine, const FleetState& fleet,
                      ObservedMachine& observed) const;
  // Returns null if the machine has not been observed in its current phase yet.
  const ObservedMachine* observedInPhase(const Machine& machine) const;

  // Apply the transition out of each phase; return nullopt if it is not due.
  std::optional<PhaseTransition> advanceNext(Instant now, const Plan& plan, Machine& machine,
                                             const FleetState& fleet) const;
  std::optional<PhaseTransition> advanceDraining(Instant now, const Plan& plan, Machine& machine,
                                                 const FleetState& fleet) const;
  std::optional<PhaseTransition> advanceReturning(Instant now, const Plan& plan, Machine& machine) const;
  std::vector<PhaseTransition> scheduleWaiting(Instant now, Plan& plan, const FleetState& fleet) const;
  // Returns the machine to waiting for another attempt, or finishes it after too many attempts.
  PhaseTransition abandonAttempt(const Plan& plan, Machine& machine, const std::string& reason) const;

  // unnotifiedRouters: routers that have not acknowledged the machine's phase. undrainedRouters: routers that
  // may still send to the machine or have attempts in flight there.
  std::vector<std::string> unnotifiedRouters(Instant now, const Plan& plan, const Machine& machine,
                                             const FleetState& fleet) const;
  std::vector<std::string> undrainedRouters(Instant now, const Machine& machine,
                                            const FleetState& fleet) const;
  // Whether all nodes and routers on the machine are serving.
  bool isServing(const Machine& machine, const FleetState& fleet) const;
  // Whether the endpoint list still shows a node of the machine as live; false if discovery is not notified.
  bool isListedLive(const Machine& machine, const FleetState& fleet) const;
  // Whether the fence duration has passed since that time.
  bool isFenced(Instant now, Instant since) const {
    return since != Instant() && now - since >= bounds_.fenceDuration;
  }

  MaintenanceLimits bounds_;
  Instant observedAt_, dueSince_;
  std::map<std::string, ObservedRouter> routers_;
  std::map<std::string, ObservedMachine> machines_;
};

}  // namespace gulltrestle::maintenance
