#include "routing/health_tracking.h"

#include <algorithm>

namespace gulltrestle::routing {

namespace {

// Outliers: fewer outcomes than this don't judge a node, and this fraction of them has to be answers.
constexpr std::size_t kFewestOutcomes = 3;
constexpr double kHealthyFraction = 0.5;

// Over all routers four trials a second with idempotent reads, as the node may just be full; one a second
// with what is lost by a failure.
constexpr Duration kReadTrialPause = Duration::millis(250);
constexpr Duration kOtherTrialPause = Duration::millis(1000);

// While the primary is looked for each node is asked once in this time.
constexpr Duration kSearchPause = Duration::millis(150);

// Position checks: so many nodes of a group at a time, the next ones after this pause, and each node once in
// a longer one, which is about how often load reports are renewed.
constexpr std::size_t kPositionChecksAtATime = 2;
constexpr Duration kPositionCheckPause = Duration::millis(25);
constexpr Duration kSameNodeCheckPause = Duration::millis(100);
// The factor of the first pause while background work is limited.
constexpr double kLimitedCheckFactor = 2;
// Positions that are older than this count as equal.
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
  if (isAnswer(attempt.outcome)) node.lastHeardAt = state_.now;
  if (attempt.outcome == AttemptOutcome::rejected) node.lastRejectedAt = state_.now;
  if (isCommitted && !state_.isRoundDelayed) node.consecutiveErrors = 0;
  // A trial that was answered clears the node.
  if (isCommitted && node.lastTrialAt >= attempt.sent.sentAt) node.lastOutcomes.clear();
  const bool isFailed = isFailure(attempt);
  if (isFailed) node.lastFailedAt = state_.now;
  if (isCommitted || (isFailed && !state_.isRoundDelayed))
    pushBounded(node.lastOutcomes, isCommitted, kRecentOutcomes);
}

// A hung node looks idle: it takes attempts and answers none. Guards against every kind of silence (hang, cut
// link, a machine that is gone without notice). May hurt when all of a node's few transactions are long at
// once.
bool HealthTracker::isUnresponsive(const NodeState& node) const {
  if (node.inFlightAttempts.empty()) return false;
  const InFlightAttempt& oldest = node.inFlightAttempts.front();
  const Duration timeout = latencies_.silenceTimeout(oldest.transactionClass);
  return state_.now - oldest.sentAt > timeout && state_.now - node.lastHeardAt > timeout;
}

bool HealthTracker::isHealthy(const NodeState& node) const {
  if (isUnresponsive(node)) return false;
  return node.lastOutcomes.size() < kFewestOutcomes || fractionTrue(node.lastOutcomes) >= kHealthyFraction;
}

// Without trials by other transactions than reads, a primary that gets no read would stay out for ever.
bool HealthTracker::mayReceive(const NodeState& node, const TransactionClass& type) const {
  if (isHealthy(node)) return true;
  const bool mayFail = type.effect == Effect::idempotent && type.level < ReadLevel::linearizable;
  if (isUnresponsive(node) && !mayFail) return false;
  const Instant last = mayFail ? node.lastTrialAt : std::max(node.lastTrialAt, node.lastFailedAt);
  const Duration pause = state_.scaledPause(mayFail ? kReadTrialPause : kOtherTrialPause);
  return state_.now - last > pause * state_.config.routerCount;
}

void HealthTracker::sendHealthCheck(NodeState& node) {
  if (!state_.config.healthChecksAllowed || node.isHealthCheckInFlight || state_.isDraining(node)) return;
  node.isHealthCheckInFlight = true;
  node.lastCheckedAt = state_.now;
  state_.sink->sendHealthCheck(node.endpoint.node);
}

bool HealthTracker::isSearchDue(const NodeState& node) const {
  return state_.now - node.lastCheckedAt >= state_.sharedPause(kSearchPause);
}

// The nodes that were furthest come first. Chance decides between equals: else all routers would check, and
// overload, the same ones.
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
  const auto comparablePosition = [&](const NodeState* node) {
    return std::max(node->appliedPosition, state_.now - kComparablePosition);
  };
  std::stable_sort(candidates.begin(), candidates.end(), [&](const NodeState* left, const NodeState* right) {
    return comparablePosition(left) > comparablePosition(right);
  });
  for (std::size_t i = 0; i < candidates.size() && i < kPositionChecksAtATime; ++i)
    sendHealthCheck(*candidates[i]);
}

}  // namespace gulltrestle::routing
