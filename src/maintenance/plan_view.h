// Kind a router knows of the plan, and where it may not send by it. No I/O, no clock.
//
// Settled is what more than half of the keepers have told it they hold. One that holds something newer may
// know what is settled ahead of that: until this is clear, a node that either leaves is left alone, and so is
// one that the newer change has just given back where this router does not know what it was before. One that
// holds something older is behind, and counts for nothing.
#pragma once

#include <map>
#include <set>
#include <string>

#include "maintenance/maintenance_plan.h"

namespace gulltrestle::maintenance {

class PlanView {
 public:
  explicit PlanView(std::size_t keepers) : keepers_(keepers) {}

  // A keeper tells what it holds. True: something has changed here. Throws std::runtime_error where it is no
  // plan.
  bool onAccepted(VoterIndex keeper, const AcceptedValue& held);

  const Plan& chosen() const { return settled_; }
  // Nodes that nothing goes to; and those that nothing goes to without a lease, too.
  const std::set<std::string>& excludedNodes() const { return out_; }
  const std::set<std::string>& leaseRequiredNodes() const { return next_; }
  // This router stands on a machine that leaves.
  bool isRouterLeaving(const std::string& router) const { return routers_.contains(router); }

 private:
  struct Told {
    AcceptedValue held;
    Plan plan;
  };
  void weigh();

  std::size_t keepers_;
  std::map<VoterIndex, Told> told_;
  Plan settled_;
  Ballot settledBy_;
  std::set<std::string> out_, next_, routers_;
};

}  // namespace gulltrestle::maintenance
