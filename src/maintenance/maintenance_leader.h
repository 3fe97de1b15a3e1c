// How the maintenance plan advances: what has to hold before a machine goes from one phase to the next, and
// when that is abandoned. One voter at a time is the leader; each change is chosen as a whole
// (maintenance/proposal_round.h), so two voters that both believe that they lead do no harm. No I/O, no
// clock.
//
// A machine is released once each router that is a member, or was removed lately, has either
//   - reported, by its current incarnation, that it obeys the plan and has no attempt in flight there. An
//     incarnation that this voter has seen begin counts only after the fence duration, since the one before
//     it may still have had attempts in flight; or
//   - had no lease for the fence duration: it knew, as all routers did before the machine was draining, that
//     it may send there with a lease alone.
// Where discovery is notified of excluded nodes, the endpoint list has to show them as draining as well, for
// a router that starts and has reached no voter yet.
// Guards against routers that are partitioned, stall or crash. Limit: where a router is silent before it has
// acknowledged the plan, the machine waits until it is back, or an operator removes it from the member list.
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

// Each voter has one; it acts while shouldLead() says so. All calls take the chosen plan and the fleet's
// state as this voter knows them.
class MaintenanceLeader {
 public:
  explicit MaintenanceLeader(Bounds bounds) : bounds_(bounds) {}

  // Records since when each router and machine is in its state. Called each turn, also while this voter does
  // not lead: whoever takes over has observed the fleet for a while.
  void observe(Instant now, const Plan& plan, const FleetState& fleet);
  // Applies all phase transitions that are due to the plan, by what observe() was called with last.
  std::vector<PhaseTransition> advance(Instant now, Plan& plan, const FleetState& fleet);
  // Whether advance() would change the plan.
  bool isDue(Instant now, const Plan& plan, const FleetState& fleet);
  // What a machine waits for, for operators; empty: nothing that could be named.
  std::string waitingFor(Instant now, const Plan& plan, const Machine& machine,
                         const FleetState& fleet) const;
  // Whether this voter begins rounds for what is due: the first voter that is alive does, and while nothing
  // is chosen for kTakeoverDelay the next one does as well, then the one after it. `aliveAhead`: voters ahead
  // of this one that are alive. Guards against a leader that others hear but that reaches nobody; costs a
  // superfluous round at most.
  bool shouldLead(Instant now, bool isDue, std::size_t aliveAhead);
  // A value was chosen: the takeover delay begins anew.
  void onChosen() { dueSince_ = Instant(); }
  const Bounds& bounds() const { return bounds_; }

 private:
  // Since when something holds; never: it does not.
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
  // Null: the machine has not been observed in its present phase yet.
  const ObservedMachine* observedInPhase(const Machine& machine) const;

  // The transition out of each phase; none: it is not due.
  std::optional<PhaseTransition> advanceNext(Instant now, const Plan& plan, Machine& machine,
                                             const FleetState& fleet) const;
  std::optional<PhaseTransition> advanceDraining(Instant now, const Plan& plan, Machine& machine,
                                                 const FleetState& fleet) const;
  std::optional<PhaseTransition> advanceReturning(Instant now, const Plan& plan, Machine& machine) const;
  std::vector<PhaseTransition> scheduleWaiting(Instant now, Plan& plan, const FleetState& fleet) const;
  // Back to waiting for another attempt, or finished where there were too many.
  PhaseTransition abandonAttempt(const Plan& plan, Machine& machine, const std::string& reason) const;

  // Routers that have not acknowledged the machine's phase, and that may still send to it.
  std::vector<std::string> unnotifiedRouters(Instant now, const Plan& plan, const Machine& machine,
                                             const FleetState& fleet) const;
  std::vector<std::string> undrainedRouters(Instant now, const Machine& machine,
                                            const FleetState& fleet) const;
  // Whether all that runs on the machine serves.
  bool isServing(const Machine& machine, const FleetState& fleet) const;
  // Whether the endpoint list still shows a node of the machine as live, where that is waited for.
  bool isListedLive(const Machine& machine, const FleetState& fleet) const;
  // Whether the fence duration is over.
  bool isFenced(Instant now, Instant since) const {
    return since != Instant() && now - since >= bounds_.fenceDuration;
  }

  Bounds bounds_;
  Instant observedAt_, dueSince_;
  std::map<std::string, ObservedRouter> routers_;
  std::map<std::string, ObservedMachine> machines_;
};

}  // namespace gulltrestle::maintenance
