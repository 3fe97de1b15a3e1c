#include "routing/selection_validity.h"

#include <algorithm>
#include <utility>

namespace gulltrestle::routing {

SelectionBasis SelectionValidity::basisOf(const PendingTransaction& transaction,
                                          const NodeState& node) const {
  const ReadLevel level = state_.classOf(transaction).level;
  if (level == ReadLevel::any) return SelectionBasis::none;
  const bool isPositioned = level == ReadLevel::bounded || level == ReadLevel::session;
  if (isPositioned && node.appliedPosition >= state_.requiredPosition(transaction))
    return state_.config.nodesRejectStaleReads ? SelectionBasis::none : SelectionBasis::appliedPosition;
  if (!isCurrentPrimary(node)) return SelectionBasis::none;
  return level == ReadLevel::write ? SelectionBasis::primary : SelectionBasis::primaryForRead;
}

bool SelectionValidity::isValid(const NodeState& node, const InFlightAttempt& attempt) const {
  switch (attempt.basis) {
    case SelectionBasis::none:
      return true;
    case SelectionBasis::primary:
      return isCurrentPrimary(node);
    case SelectionBasis::primaryForRead:
      return isCurrentPrimary(node) && !node.rejectsWrites();
    case SelectionBasis::appliedPosition:
      return node.appliedPosition >= requiredPosition(attempt, node);
  }
  return true;
}

// The position that a bounded read required when it was sent, by what is known now of the clock of positions.
Instant SelectionValidity::requiredPosition(const InFlightAttempt& attempt, const NodeState& node) const {
  const TransactionClass& type = state_.config.transactionClasses[attempt.transactionClass];
  if (type.level != ReadLevel::bounded) return attempt.requiredPosition;
  const PositionClock& clock = state_.groupOf(node.endpoint.group).positionClock;
  return clock.readingAt(attempt.sentAt - type.maxStaleness + state_.config.roundInterval);
}

// A report outweighs the endpoint list, and of several nodes that reported that they are primary, the latest
// one counts. Draining nodes are not selected as primary and don't replace one.
bool SelectionValidity::isCurrentPrimary(const NodeState& node) const {
  if (!node.isKnownPrimary() && !node.isListedPrimary()) return false;
  const std::vector<NodeState*>& nodes = state_.groupOf(node.endpoint.group).nodes;
  return std::none_of(nodes.begin(), nodes.end(), [&](const NodeState* other) {
    return other != &node && other->isKnownPrimary() && !state_.isDraining(*other) &&
           (!node.isKnownPrimary() || other->lastKnownPrimaryAt > node.lastKnownPrimaryAt);
  });
}

void SelectionValidity::withdrawInvalid() {
  for (const GroupId group : std::exchange(state_.changedGroups, {}))
    for (const NodeState* node : state_.groupOf(group).nodes)
      for (const InFlightAttempt& attempt : node->inFlightAttempts)
        if (!isValid(*node, attempt)) state_.sink->withdraw(attempt.transaction, attempt.number);
}

}  // namespace gulltrestle::routing
