#include "routing/health_tracking.h"

#include <algorithm>

namespace gulltrestle::routing {

namespace {

// Outlier ejection: the minimum number of outcomes, and the minimum fraction of them that must be answers.
constexpr std::size_t kMinOutcomes = 3;
constexpr double kMinAnsweredFraction = 0.5;

// Trials of an unhealthy node over all routers: four per second with idempotent reads, as the node may only
// be at capacity; one per second with transactions that are lost by a failure.
constexpr Duration kReadTrialPause = Duration::millis(250);
constexpr Duration kOtherTrialPause = Duration::millis(1000);

// During a search for the primary each node is queried at most once in this time.
constexpr Duration kPrimarySearchPause = Duration::millis(150);

// Position checks: the number of nodes of a group in one batch, the pause between batches, and the longer
// pause between checks of the same node, which is about the interval at which load reports are refreshed.
constexpr std::size_t kPositionCheckBatch = 2;
constexpr Duration kPositionCheckPause = Duration::millis(25);
constexpr Duration kSameNodeCheckPause = Duration::millis(100);
// Factor of the pause between batches while background work is limited.
constexpr double kLimitedCheckFactor = 2;
// Positions older than this are treated as equal.
constexpr Duration kComparablePosition = Duration::seconds(1);

bool isAnswer(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::committed || outcome == AttemptOutcome::error ||
         outcome == AttemptOutcome::rejected || outcome == AttemptOutcome::wrongNode;
}

bool isFailure(const EndedAttempt& attempt) {
  return attempt.isLate || attempt.outcome == AttemptOutcome::timeout ||
         attempt.outcome == AttemptOutcome::rejected || attempt.outcome == AttemptOutcome::noConnection ||
         attempt.outcome == AttemptOutcome::connectionLost;
}

}  // namespace

void HealthTracker::recordOutcome(NodeState& node, const EndedAttempt& attempt) {
  const bool isCommitted = attempt.isCommitted();
  if (isAnswer(attempt.outcome)) node.lastResponseAt = state_.now;
  if (attempt.outcome == AttemptOutcome::rejected) node.lastRejectedAt = state_.now;
  if (isCommitted && !state_.isRoundDelayed) node.consecutiveErrors = 0;
  // A successful trial makes the node healthy again.
  if (isCommitted && node.lastTrialAt >= attempt.sent.sentAt) node.lastOutcomes.clear();
  const bool isFailed = isFailure(attempt);
  if (isFailed) node.lastFailedAt = state_.now;
  if (isCommitted || (isFailed && !state_.isRoundDelayed))
    pushBounded(node.lastOutcomes, isCommitted, kRecentOutcomes);
}

// A hung node looks idle because it accepts attempts and answers none. The check detects every cause of
// silence (a hang, a broken link, a machine that disappeared without notice). Trade-off: may eject a node
// whose few transactions are all long at the same time.
bool HealthTracker::isUnresponsive(const NodeState& node) const {
  if (node.inFlightAttempts.empty()) return false;
  const InFlightAttempt& oldest = node.inFlightAttempts.front();
  const Duration timeout = latencies_.silenceTimeout(oldest.transactionClass);
  return state_.now - oldest.sentAt > timeout && state_.now - node.lastResponseAt > timeout;
}

bool HealthTracker::isHealthy(const NodeState& node) const {
  if (isUnresponsive(node)) return false;
  return node.lastOutcomes.size() < kMinOutcomes || fractionTrue(node.lastOutcomes) >= kMinAnsweredFraction;
}

// Without trials by transactions other than reads, an ejected primary that receives no reads would never
// become healthy again.
bool HealthTracker::mayReceive(const NodeState& node, const TransactionClass& type) const {
  if (isHealthy(node)) return true;
  const bool isIdempotentRead = type.effect == Effect::idempotent && type.level < ReadLevel::linearizable;
  if (isUnresponsive(node) && !isIdempotentRead) return false;
  const Instant last = isIdempotentRead ? node.lastTrialAt : std::max(node.lastTrialAt, node.lastFailedAt);
  const Duration pause = state_.scaledPause(isIdempotentRead ? kReadTrialPause : kOtherTrialPause);
  return state_.now - last > pause * state_.config.routerCount;
}

void HealthTracker::sendHealthCheck(NodeState& node) {
  if (!state_.config.healthChecksAllowed || node.isHealthCheckInFlight || state_.isDraining(node)) return;
  node.isHealthCheckInFlight = true;
  node.lastCheckedAt = state_.now;
  state_.sink->sendHealthCheck(node.endpoint.node);
}

bool HealthTracker::isSearchDue(const NodeState& node) const {
  return state_.now - node.lastCheckedAt >= state_.sharedPause(kPrimarySearchPause);
}

// Nodes with the highest known position are checked first. Nodes with equal positions are shuffled; otherwise
// all routers would check, and overload, the same nodes.
void HealthTracker::checkPositions(GroupState& group, const NodeState* primary) {
  const double factor = group.degradation.limitsBackgroundWork ? kLimitedCheckFactor : 1;
  if (state_.now - group.lastPositionCheckAt < state_.sharedPause(kPositionCheckPause) * factor) return;
  group.lastPositionCheckAt = state_.now;
  std::vector<NodeState*> candidates = group.nodes;
  std::erase_if(candidates, [&](const NodeState* node) {
    return node == primary || state_.isDraining(*node) || !isHealthy(*node) ||
           state_.now - node->lastCheckedAt < state_.sharedPause(kSameNodeCheckPause);
  });
  state_.random.shuffle(candidates);
  const Instant present = group.positionClock.readingAt(state_.now);
  const auto comparablePosition = [&](const NodeState* node) {
    return std::max(node->appliedPosition, present - kComparablePosition);
  };
  std::stable_sort(candidates.begin(), candidates.end(), [&](const NodeState* left, const NodeState* right) {
    return comparablePosition(left) > comparablePosition(right);
  });
  for (std::size_t i = 0; i < candidates.size() && i < kPositionCheckBatch; ++i)
    sendHealthCheck(*candidates[i]);
}

}  // namespace gulltrestle::routing
