// What a router knows of the maintenance plan, and which nodes it may not send to by it. No I/O, no clock.
//
// Chosen is the plan that a majority of the voters has reported as accepted. A voter that reports a newer one
// may know of a plan that is chosen already: until that is certain, a node that drains by either is excluded,
// and so is one that the newer plan has just given back where this router does not know the plan before it.
// A voter that reports an older one is behind, and counts for nothing.
#pragma once

#include <map>
#include <set>
#include <string>

#include "maintenance/maintenance_plan.h"

namespace gulltrestle::maintenance {

// Each router has one, fed by the voters' plan updates.
class PlanView {
 public:
  explicit PlanView(std::size_t voters) : voters_(voters) {}

  // A voter reports the value that it has accepted. True: it is newer than that voter's last one. Throws
  // MalformedPlan.
  bool onAccepted(VoterIndex voter, const AcceptedValue& accepted);

  const Plan& chosen() const { return chosen_; }
  // Nodes that get no new attempts.
  const std::set<std::string>& excludedNodes() const { return excludedNodes_; }
  // Nodes that get attempts only while this router holds a lease.
  const std::set<std::string>& leaseRequiredNodes() const { return leaseRequiredNodes_; }
  // Whether the router runs on a machine that is draining.
  bool isRouterDraining(const std::string& router) const { return drainingRouters_.contains(router); }

 private:
  struct Report {
    AcceptedValue accepted;
    Plan plan;
  };
  void updateChosen();
  void updateExclusions();
  // `knowsPrevious`: the plan before this one is known here.
  void addExclusions(const Plan& plan, bool knowsPrevious);

  std::size_t voters_;
  std::map<VoterIndex, Report> reports_;
  Plan chosen_;
  Ballot chosenBallot_;
  std::set<std::string> excludedNodes_, leaseRequiredNodes_, drainingRouters_;
};

}  // namespace gulltrestle::maintenance
