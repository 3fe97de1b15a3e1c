// How the plan goes on, step by step: who has to say what before a machine goes from one phase to the next,
// and when that is given up. One keeper carries it on at a time, the foreman; each change is settled as a
// whole (maintenance/proposal_round.h), so two that both believe to be it do no harm. No I/O, no clock.
//
// A machine is told free once each router that belongs, and each that left the list lately, has either
//   - said, by the start that speaks now, that it keeps to the plan and that nothing of it is out there; a
//     start that is new since this keeper looked first counts only after the fence, as the one before it may
//     still have had something out; or
//   - had no lease for the time of the fence: it knew, as all did before the machine came to `leaves`, that
//     it may send there with a lease alone.
// Where discovery is told what is out, its list has to say so as well, for a router that starts and has heard
// no keeper yet.
// Guards against routers that are cut off, stand still or died. Hurts where a router is silent before it
// knew: the machine waits until it is back, or an operator takes it off the list.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "maintenance/fleet_state.h"
#include "maintenance/maintenance_plan.h"

namespace gulltrestle::maintenance {

struct PhaseTransition {
  std::string machine;
  Phase from = Phase::waiting, to = Phase::waiting;
  std::string reason;
};

class MaintenanceLeader {
 public:
  explicit MaintenanceLeader(Bounds bounds) : bounds_(bounds) {}

  // Kind is seen, each turn, also by keepers that are not the foreman: whoever takes over has seen it for a
  // while. `plan` is what is settled.
  void observe(Instant now, const Plan& plan, const FleetState& facts);
  // Changes the plan by all that has come due. Kind it was called with last by see() holds.
  std::vector<PhaseTransition> advance(Instant now, Plan& plan, const FleetState& facts);
  // Whether advance() would change it.
  bool isDue(Instant now, const Plan& plan, const FleetState& facts);
  // Kind a machine waits for, in words; empty: for nothing that can be told.
  std::string waitingFor(Instant now, const Plan& plan, const Machine& machine,
                         const FleetState& facts) const;
  // Whether this keeper begins rounds for what is due, each time it is looked at: the first keeper that lives
  // does, and where nothing happens for a while the next one beside it, then the next. `before`: keepers
  // ahead of it that live. Guards against one that lives for others and reaches nobody; may cost a round.
  bool shouldLead(Instant now, bool isDue, std::size_t before);
  // Something was settled: what is due from here on is due anew.
  void onChosen() { dueSince_ = Instant(); }
  const Bounds& bounds() const { return bounds_; }

 private:
  struct SeenRouter {
    std::uint64_t start = 0;
    Instant startAt, silentAt, leftAt;  // since when; never: it is not
  };
  struct SeenMachine {
    std::uint64_t since = 0;
    Phase phase = Phase::waiting;
    Instant at, servesAt;  // since when it is in its phase; since when all that stands on it serves
    Instant askedAt;
  };
  // Routers that have yet to know, or to be out of the way.
  std::vector<std::string> unknowing(Instant now, const Plan& plan, const Machine& machine,
                                     const FleetState& facts) const;
  std::vector<std::string> inTheWay(Instant now, const Machine& machine, const FleetState& facts) const;
  bool serves(const Machine& machine, const FleetState& facts) const;
  bool isListed(const Machine& machine, const FleetState& facts) const;  // as live, where that matters
  bool fenced(Instant now, Instant since) const { return since != Instant() && now - since >= bounds_.fence; }

  Bounds bounds_;
  Instant seenAt_, dueSince_;
  std::map<std::string, SeenRouter> routers_;
  std::map<std::string, SeenMachine> machines_;
};

// Operators' words, as they change the plan. Empty: done; else why not.
// `request` names the request: one that was carried out already changes nothing, and is done.
std::string ask(Plan& plan, const std::string& request, const std::vector<Machine>& machines,
                const FleetState& facts, const Bounds& bounds);
std::string stop(Plan& plan, const std::string& request, const std::string& machine, const std::string& by);
std::string done(Plan& plan, const std::string& request, const std::string& machine, const std::string& by);

}  // namespace gulltrestle::maintenance
