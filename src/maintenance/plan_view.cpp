#include "maintenance/plan_view.h"

#include <algorithm>

namespace gulltrestle::maintenance {

bool PlanView::onAccepted(VoterIndex voter, const AcceptedValue& accepted) {
  const auto last = reports_.find(voter);
  // A voter that lost its disk reports older values again; its earlier report remains valid.
  if (last != reports_.end() && accepted.ballot <= last->second.accepted.ballot) return false;
  reports_[voter] = {accepted, readPlan(accepted.value)};
  updateChosen();
  updateExclusions();
  return true;
}

// Counts voters by ballot rather than by value: a value that is proposed in several rounds may be chosen in
// none of them.
void PlanView::updateChosen() {
  std::map<Ballot, std::size_t> voterCounts;
  for (const auto& [voter, report] : reports_) ++voterCounts[report.accepted.ballot];
  for (const auto& [voter, report] : reports_) {
    const Ballot& ballot = report.accepted.ballot;
    if (ballot <= chosenBallot_ || voterCounts[ballot] < majorityOf(voters_)) continue;
    if (report.plan.version >= chosen_.version) chosen_ = report.plan;
    chosenBallot_ = ballot;
  }
}

void PlanView::updateExclusions() {
  excludedNodes_.clear();
  leaseRequiredNodes_.clear();
  drainingRouters_.clear();
  addExclusions(chosen_, true);
  // An accepted plan is at most one change ahead of the chosen one (maintenance/proposal_round.h).
  for (const auto& [voter, report] : reports_)
    if (report.accepted.ballot > chosenBallot_)
      addExclusions(report.plan, chosen_.version + 1 >= report.plan.version);
}

void PlanView::addExclusions(const Plan& plan, bool knowsPrevious) {
  for (const Machine& machine : plan.machines) {
    const bool mayHaveDrained =
        !knowsPrevious && machine.phaseVersion == plan.version && machine.phase != Phase::next;
    const bool isExcluded =
        machine.phase == Phase::draining || machine.phase == Phase::released || mayHaveDrained;
    if (isExcluded) excludedNodes_.insert(machine.nodes.begin(), machine.nodes.end());
    if (machine.phase == Phase::next) leaseRequiredNodes_.insert(machine.nodes.begin(), machine.nodes.end());
    if (machine.phase == Phase::draining)
      drainingRouters_.insert(machine.routers.begin(), machine.routers.end());
  }
}

}  // namespace gulltrestle::maintenance
