#include "routing/error_attribution.h"

namespace gulltrestle::routing {

namespace {

constexpr std::size_t kMaxRetries = 8;
// Errors are attributed to transactions once this many retry outcomes are known and at most this fraction of
// the retries succeeded.
constexpr std::size_t kMinRetries = 4;
constexpr double kInherentSuccessFraction = 0.25;

// While errors seem inherent, from the third consecutive error of a node on, and for one in eight of all
// errors, the transaction is still retried, to detect when nodes cause the errors again.
constexpr unsigned kConsecutiveErrorsToRetry = 3;
constexpr double kProbeRetryFraction = 0.125;
// This many consecutive errors without retries are attributed to the node.
constexpr unsigned kConsecutiveErrorsOfNode = 8;

}  // namespace

// Prevents retries of transactions that can only fail. Trade-off: may withhold useful retries when nodes fail
// at random.
bool ErrorAttribution::areErrorsInherent() const {
  return retrySuccesses_.size() >= kMinRetries && fractionTrue(retrySuccesses_) <= kInherentSuccessFraction;
}

// An error counts as a failure of the node immediately only if the transaction can't be retried and errors
// aren't inherent to transactions; otherwise it counts once another node has committed the transaction.
void ErrorAttribution::recordError(NodeState& node, PendingTransaction* transaction) {
  const unsigned noMoreAttempts = state_.config.maxAttempts;
  ++node.consecutiveErrors;
  if (transaction && transaction->erringNode) {
    if (transaction->erringNode != &node) pushBounded(retrySuccesses_, false, kMaxRetries);
    transaction->attempts = noMoreAttempts;
  } else if (transaction && state_.classOf(*transaction).effect != Effect::atMostOnce) {
    transaction->erringNode = &node;
    if (areErrorsInherent() && node.consecutiveErrors < kConsecutiveErrorsToRetry &&
        state_.random.fraction() > kProbeRetryFraction)
      transaction->attempts = noMoreAttempts;
  } else if (!areErrorsInherent() || node.consecutiveErrors >= kConsecutiveErrorsOfNode) {
    pushBounded(node.lastOutcomes, false, kRecentOutcomes);
  }
}

void ErrorAttribution::recordCommit(const NodeState& node, const PendingTransaction& transaction) {
  if (!transaction.erringNode || transaction.erringNode == &node) return;
  pushBounded(retrySuccesses_, true, kMaxRetries);
  pushBounded(transaction.erringNode->lastOutcomes, false, kRecentOutcomes);
}

}  // namespace gulltrestle::routing
