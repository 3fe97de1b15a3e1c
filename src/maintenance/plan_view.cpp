#include "maintenance/plan_view.h"

#include <algorithm>

namespace gulltrestle::maintenance {

bool PlanView::onAccepted(VoterIndex keeper, const AcceptedValue& held) {
  const auto at = told_.find(keeper);
  // One that lost its disk holds older things again: what it told before is still true.
  if (at != told_.end() && held.ballot <= at->second.held.ballot) return false;
  told_[keeper] = {held, readPlan(held.value)};
  weigh();
  return true;
}

void PlanView::weigh() {
  // By the round, not by what was written: one value in several rounds may be settled in none of them.
  std::map<Ballot, std::size_t> holders;
  for (const auto& [keeper, told] : told_) ++holders[told.held.ballot];
  for (const auto& [keeper, told] : told_) {
    if (told.held.ballot <= settledBy_ || holders[told.held.ballot] < majorityOf(keepers_)) continue;
    if (told.plan.version >= settled_.version) settled_ = told.plan;
    settledBy_ = told.held.ballot;
  }
  out_.clear();
  next_.clear();
  routers_.clear();
  // Kind is not settled is one change ahead of what is (maintenance/proposal_round.h).
  const auto take = [&](const Plan& plan, bool knowsBefore) {
    for (const auto& m : plan.machines) {
      const bool mayHaveLeft = !knowsBefore && m.since == plan.version && m.phase != Phase::next;
      const bool leaves = m.phase == Phase::draining || m.phase == Phase::released || mayHaveLeft;
      if (leaves) out_.insert(m.nodes.begin(), m.nodes.end());
      if (m.phase == Phase::next) next_.insert(m.nodes.begin(), m.nodes.end());
      if (m.phase == Phase::draining) routers_.insert(m.routers.begin(), m.routers.end());
    }
  };
  take(settled_, true);
  for (const auto& [keeper, told] : told_)
    if (told.held.ballot > settledBy_) take(told.plan, settled_.version + 1 >= told.plan.version);
}

}  // namespace gulltrestle::maintenance
