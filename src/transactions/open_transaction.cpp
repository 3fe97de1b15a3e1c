#include "transactions/open_transaction.h"

#include <algorithm>

#include "transactions/connection_close.h"

namespace gulltrestle::transactions {

bool OpenTransaction::haveAllAttemptsEnded() const {
  return std::all_of(attempts.begin(), attempts.end(),
                     [](const AttemptRecord& attempt) { return attempt.hasEnded; });
}

bool OpenTransaction::hasAttemptInFlightAt(const std::set<NodeId>& nodes) const {
  return std::any_of(attempts.begin(), attempts.end(), [&](const AttemptRecord& attempt) {
    return !attempt.hasEnded && nodes.contains(attempt.node);
  });
}

Instant OpenTransaction::firstAmbiguousSentAt(unsigned attempt) const {
  Instant first = ambiguousPriorSentAt;
  for (std::size_t i = 0; i < attempts.size(); ++i) {
    const AttemptRecord& other = attempts[i];
    if (i == attempt || (other.hasEnded && !mayHaveRun(other.outcome))) continue;
    if (first == Instant() || other.sentAt < first) first = other.sentAt;
  }
  return first;
}

// A proxy's report on prior attempts elsewhere is never accepted as proof that the transaction did not run.
ExecutionOutcome OpenTransaction::executionOutcome() const {
  bool mayHaveExecuted = ambiguousPriorSentAt != Instant();
  for (const AttemptRecord& attempt : attempts) {
    if (attempt.outcome == AttemptOutcome::committed) return ExecutionOutcome::committed;
    mayHaveExecuted = mayHaveExecuted || mayHaveRun(attempt.outcome);
  }
  return mayHaveExecuted ? ExecutionOutcome::unknown : ExecutionOutcome::neverRan;
}

}  // namespace gulltrestle::transactions
