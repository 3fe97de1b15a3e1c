#include "routing/error_attribution.h"

namespace gulltrestle::routing {

namespace {

constexpr std::size_t kRetries = 8;
// Errors count as the transactions' own once so many retries are known and no more than this fraction of them
// succeeded.
constexpr std::size_t kFewestRetries = 4;
constexpr double kInherentSuccessFraction = 0.25;

// Where errors seem inherent, a node's third in a row is retried all the same, as is one in eight of all: so
// that it shows when errors are the nodes' again.
constexpr unsigned kSuspiciousErrors = 3;
constexpr double kRetriedAllTheSame = 0.125;
// So many errors in a row without retries are the node's fault.
constexpr unsigned kErrorsOfNode = 8;

}  // namespace

// Guards against transactions that can only fail. May hurt when nodes fail at random.
bool ErrorAttribution::areErrorsInherent() const {
  return retrySuccesses_.size() >= kFewestRetries &&
         fractionTrue(retrySuccesses_) <= kInherentSuccessFraction;
}

// An error is held against a node at once only where nobody can retry it and errors aren't inherent; else
// when another node has committed the transaction.
void ErrorAttribution::recordError(NodeState& node, PendingTransaction* transaction) {
  const unsigned noMoreAttempts = state_.config.maxAttempts;
  ++node.consecutiveErrors;
  if (transaction && transaction->erringNode) {
    if (transaction->erringNode != &node) pushBounded(retrySuccesses_, false, kRetries);
    transaction->attempts = noMoreAttempts;
  } else if (transaction && state_.classOf(*transaction).effect != Effect::atMostOnce) {
    transaction->erringNode = &node;
    if (areErrorsInherent() && node.consecutiveErrors < kSuspiciousErrors &&
        state_.random.fraction() > kRetriedAllTheSame)
      transaction->attempts = noMoreAttempts;
  } else if (!areErrorsInherent() || node.consecutiveErrors >= kErrorsOfNode) {
    pushBounded(node.lastOutcomes, false, kRecentOutcomes);
  }
}

void ErrorAttribution::recordCommit(const NodeState& node, const PendingTransaction& transaction) {
  if (!transaction.erringNode || transaction.erringNode == &node) return;
  pushBounded(retrySuccesses_, true, kRetries);
  pushBounded(transaction.erringNode->lastOutcomes, false, kRecentOutcomes);
}

}  // namespace gulltrestle::routing
