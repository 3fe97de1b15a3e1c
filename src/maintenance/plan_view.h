// A router's view of the maintenance plan, and the nodes that the plan excludes from its traffic. No I/O, no
// clock.
//
// The chosen plan is the one that a majority of the voters has reported as accepted. A voter that reports a
// newer plan may have accepted one that is already chosen. Until that is known, a node that is draining in
// either plan is excluded, and so is a node that the newer plan has just returned to service if this router
// does not know the plan before it. Reports of an older plan come from voters that lag behind and are
// ignored.
#pragma once

#include <map>
#include <set>
#include <string>

#include "maintenance/maintenance_plan.h"

namespace gulltrestle::maintenance {

// Each router has one and updates it from the plan reports of the voters.
class PlanView {
 public:
  explicit PlanView(std::size_t voters) : voters_(voters) {}

  // Records the value that a voter has accepted. Returns whether it is newer than that voter's last one.
  // Throws MalformedPlan.
  bool onAccepted(VoterIndex voter, const AcceptedValue& accepted);

  const Plan& chosen() const { return chosen_; }
  // Nodes that receive no new attempts.
  const std::set<std::string>& excludedNodes() const { return excludedNodes_; }
  // Nodes that receive attempts only while this router holds a lease.
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
  // `knowsPrevious`: whether the plan before this one is known.
  void addExclusions(const Plan& plan, bool knowsPrevious);

  std::size_t voters_;
  std::map<VoterIndex, Report> reports_;
  Plan chosen_;
  Ballot chosenBallot_;
  std::set<std::string> excludedNodes_, leaseRequiredNodes_, drainingRouters_;
};

}  // namespace gulltrestle::maintenance
