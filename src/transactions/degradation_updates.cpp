#include "transactions/degradation_updates.h"

#include <algorithm>
#include <utility>

namespace gulltrestle::transactions {

void DegradationUpdates::enable(degradation::DegradationController& controller,
                                degradation::AdmissionTable table, Listener listener) {
  controller_ = &controller;
  table_ = std::move(table);
  listener_ = std::move(listener);
}

void DegradationUpdates::recordAnswer(Instant now, const OpenTransaction& open) {
  if (controller_)
    controller_->recordAnswer(now, open.group, open.transactionClass, open.elapsedTargetFraction(now));
}

void DegradationUpdates::recordAbandoned(Instant now, const OpenTransaction& open) {
  if (controller_)
    controller_->recordAbandoned(now, open.group, open.transactionClass, open.elapsedTargetFraction(now));
}

void DegradationUpdates::onProcessStalled(Instant now) {
  if (controller_) controller_->onProcessStalled(now);
}

bool DegradationUpdates::isDecisionDue(Instant now) const {
  return controller_ && (controller_->nextDue() == Instant() || now >= controller_->nextDue());
}

std::vector<DegradationUpdates::GroupRules> DegradationUpdates::decide(Instant now, double ownUtilization) {
  controller_->setOwnUtilization(ownUtilization);
  for (const degradation::Change& change : controller_->decide(now))
    if (listener_) listener_(change);
  const auto& states = controller_->states();
  std::erase_if(returned_, [&](const auto& returned) { return !states.contains(returned.first); });
  std::vector<GroupRules> changed;
  for (const auto& [group, state] : states) {
    const ReturnedState current{state.level, state.trialFraction};
    ReturnedState& returned = returned_[group];
    if (returned == current) continue;
    returned = current;
    const degradation::Level levelBelow = state.level > 0 ? state.level - 1 : 0;
    changed.push_back({group, rulesOf(state.level), rulesOf(levelBelow), state.trialFraction});
  }
  return changed;
}

DegradationRules DegradationUpdates::rulesOf(degradation::Level level) const {
  return level == 0 ? DegradationRules() : table_.at(level - 1);
}

degradation::Level DegradationUpdates::levelOf(GroupId group) const {
  return controller_ ? controller_->stateOf(group).level : 0;
}

bool DegradationUpdates::isDegraded() const {
  return std::any_of(returned_.begin(), returned_.end(),
                     [](const auto& returned) { return returned.second.level > 0; });
}

}  // namespace gulltrestle::transactions
