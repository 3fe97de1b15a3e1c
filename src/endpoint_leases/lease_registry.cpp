#include "endpoint_leases/lease_registry.h"

#include <algorithm>
#include <utility>

#include "base/due_time.h"

namespace gulltrestle::endpoint_leases {

namespace {

// How long a retry waits for the end of the previous attempt, which the proxy has abandoned already: the
// reset and the retry cross in transit, milliseconds apart. After that, the previous attempt counts as one
// that may have run.
constexpr Duration kMaxResetDelay = Duration::millis(50);

LeaseDecision answerWith(FinalOutcome outcome, std::string_view reason) {
  LeaseDecision decision;
  decision.action = LeaseDecision::Action::answer;
  decision.outcome = outcome;
  decision.reason = reason;
  return decision;
}

LeaseDecision waitUntil(Instant time) {
  LeaseDecision decision;
  decision.action = LeaseDecision::Action::wait;
  decision.waitUntil = time;
  return decision;
}

bool mayHaveRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::error || outcome == AttemptOutcome::timeout ||
         outcome == AttemptOutcome::connectionLost || outcome == AttemptOutcome::cancelled ||
         outcome == AttemptOutcome::committed;
}

}  // namespace

LeaseRegistry::LeaseRegistry(std::vector<TransactionClass> classes, ProxyPlacement placement,
                             RegistryLimits limits, std::string incarnation)
    : classes_(std::move(classes)),
      placement_(placement),
      limits_(limits),
      incarnation_(std::move(incarnation)) {}

LeaseRegistry::TransactionRecord* LeaseRegistry::find(const std::string& id, StreamKey stream) {
  const auto found = records_.find(id);
  return found == records_.end() || found->second.stream != stream ? nullptr : &found->second;
}

LeaseRegistry::TransactionRecord& LeaseRegistry::startRecord(Instant now, StreamKey stream,
                                                             const LeaseRequest& request) {
  TransactionRecord& record = records_[request.id];
  record = {};
  record.transactionClass = request.transactionClass;
  record.stream = stream;
  record.attempt = request.attempt;
  record.firstRequestedAt = now;
  return record;
}

// --- Requests

LeaseDecision LeaseRegistry::requestLease(Instant now, StreamKey stream, const LeaseRequest& request) {
  dropExpired(now);
  const auto found = records_.find(request.id);
  if (found == records_.end()) return routeUnknown(now, stream, request);
  TransactionRecord& record = found->second;
  if (record.transactionClass != request.transactionClass && record.state != State::finished)
    return deny(record, "the id names an open txn of another type");
  const bool isWaitingRetry = record.waitingRetry && record.waitingRetry->stream == stream;
  const bool isRetry = request.attempt > record.attempt || isWaitingRetry;
  if (record.state == State::finished) {
    const auto denial = isRetry ? denyRetryOfFinished(record) : denyReuseOfFinished(record);
    return denial ? *denial : routeUnknown(now, stream, request);
  }
  if (isRetry) return routeRetry(now, stream, request, record);
  const bool wasNeverGranted = record.state == State::betweenAttempts && record.leaseCount == 0;
  if (wasNeverGranted) return routeUnknown(now, stream, request);
  return deny(record, "the id names an open txn");
}

// Passes the transaction to the router with the known facts about its earlier attempts.
LeaseDecision LeaseRegistry::route(Instant now, const TransactionRecord& record) const {
  LeaseDecision decision;
  PriorAttempts& prior = decision.priorAttempts;
  prior.attempts = record.leaseCount;
  if (record.firstRequestedAt != Instant() && record.firstRequestedAt < now)
    prior.firstAttemptAge = now - record.firstRequestedAt;
  if (record.mayHaveRunAt != Instant()) prior.ambiguousAttemptAge = now - record.mayHaveRunAt;
  prior.attemptedNodes = record.attemptedNodes;
  return decision;
}

// Prevents executing an at-most-once transaction twice if this incarnation knows nothing of it: the previous
// one was killed between a lease and its outcome, and the proxy retries. Also covers ids that were forgotten,
// and proxies that moved to this instance from another one. Trade-off: at-most-once transactions whose proxy
// does not report that nothing was written are rolled back.
LeaseDecision LeaseRegistry::routeUnknown(Instant now, StreamKey stream, const LeaseRequest& request) {
  // Prevents an unbounded number of ids: transactions that are not idempotent must be remembered so that
  // retries can be denied.
  if (!isIdempotent(request.transactionClass) && otherExpiries_.size() >= limits_.maxTransactionsPerKind)
    return answerWith(FinalOutcome::rejected, "too many txns are remembered");
  TransactionRecord& record = startRecord(now, stream, request);
  const bool hasEarlierAttempts = request.attempt > 1 || !request.token.empty();
  if (hasEarlierAttempts && request.writeProgress != WriteProgress::none) {
    // The first attempt can't be older than the total time that the client waits.
    const Duration maxAge =
        std::max(classes_[request.transactionClass].deadline - request.remainingTime, Duration::millis(1));
    record.mayHaveRunAt = now - maxAge;
    record.firstRequestedAt = Instant();  // also unknown
    record.leaseCount = std::max(1u, request.attempt - 1);
  }
  return route(now, record);
}

LeaseDecision LeaseRegistry::routeRetry(Instant now, StreamKey stream, const LeaseRequest& request,
                                        TransactionRecord& record) {
  // A report that nothing was written only covers the leases that the requester has seen. Prevents executing
  // an at-most-once transaction twice if two clients use the same id: one may have written what the other has
  // not. Trade-off: if a proxy cancels just as it is granted a lease, it has not seen that lease, and its
  // at-most-once transaction is rolled back.
  const bool wroteNothing = request.writeProgress == WriteProgress::none && request.token == record.token;
  const bool wasGranted = record.state == State::leased;
  if (wasGranted) {
    if (!record.waitingRetry) record.waitingRetry = {stream, now + kMaxResetDelay};
    // A third stream that arrives meanwhile replaces the second.
    record.waitingRetry->stream = stream;
    if (now < record.waitingRetry->until && !wroteNothing) return waitUntil(record.waitingRetry->until);
    if (!wroteNothing && record.mayHaveRunAt == Instant()) record.mayHaveRunAt = record.grantedAt;
  }
  const StreamKey previousStream = record.stream;
  record.state = State::requested;
  record.stream = stream;
  record.attempt = std::max(request.attempt, record.attempt);
  record.waitingRetry.reset();
  LeaseDecision decision = route(now, record);
  if (wasGranted) {
    decision.unreportedStream = previousStream;
  } else {
    decision.supersededStream = previousStream;
  }
  return decision;
}

// --- Denials

// For a stream that is concurrent with another one of the same transaction. A retry is safe only if the
// transaction is idempotent.
LeaseDecision LeaseRegistry::deny(const TransactionRecord& record, std::string_view reason) const {
  return answerWith(isIdempotent(record.transactionClass) ? FinalOutcome::rejected : FinalOutcome::rolledBack,
                    reason);
}

// The proxy retries after the final answer and gets that answer again. Returns nullopt if the transaction may
// be executed again.
std::optional<LeaseDecision> LeaseRegistry::denyRetryOfFinished(const TransactionRecord& record) const {
  if (record.outcome == FinalOutcome::committed && isIdempotent(record.transactionClass)) return std::nullopt;
  const FinalOutcome outcome =
      record.outcome == FinalOutcome::rejected ? FinalOutcome::rejected : FinalOutcome::rolledBack;
  return answerWith(outcome, "the txn had its final answer");
}

// Another client, or another request, uses the id of a finished transaction. Returns nullopt if it counts as
// a new transaction.
std::optional<LeaseDecision> LeaseRegistry::denyReuseOfFinished(const TransactionRecord& record) const {
  const bool neverRan = record.outcome == FinalOutcome::rejected && record.mayHaveRunAt == Instant();
  if (isIdempotent(record.transactionClass) || neverRan) return std::nullopt;
  return deny(record, "the id names a txn that may have run");
}

// --- Ends of leases and streams

std::string LeaseRegistry::onLeaseGranted(Instant now, const std::string& id, StreamKey stream,
                                          const NodeId& node) {
  TransactionRecord* record = find(id, stream);
  if (!record) return {};
  record->state = State::leased;
  record->grantedAt = now;
  ++record->leaseCount;
  record->attemptedNodes.push_back(node);
  record->token = incarnation_ + "-" + std::to_string(stream) + "-" + std::to_string(record->leaseCount);
  return record->token;
}

void LeaseRegistry::onAttemptEnded(Instant now, const std::string& id, StreamKey stream,
                                   AttemptOutcome outcome) {
  TransactionRecord* record = find(id, stream);
  if (!record || record->state != State::leased) return;
  if (mayHaveRun(outcome) && record->mayHaveRunAt == Instant()) record->mayHaveRunAt = record->grantedAt;
  remember(now, id, *record, State::betweenAttempts);
}

void LeaseRegistry::onAnswered(Instant now, const std::string& id, StreamKey stream, FinalOutcome outcome) {
  TransactionRecord* record = find(id, stream);
  if (!record) return;
  record->outcome = outcome;
  // An attempt that had a lease and was rejected because of its outcome may be followed by another one, as
  // configured in the proxy. A rejection without a lease is final.
  const bool mayBeRetried = placement_ == ProxyPlacement::perAttempt && outcome == FinalOutcome::rejected &&
                            record->state != State::requested;
  remember(now, id, *record, mayBeRetried ? State::betweenAttempts : State::finished);
}

void LeaseRegistry::onStreamCancelled(Instant now, const std::string& id, StreamKey stream) {
  TransactionRecord* record = find(id, stream);
  if (!record || record->state == State::finished) return;
  if (record->state == State::leased) onAttemptEnded(now, id, stream, kUnreportedOutcome);
  remember(now, id, *record, State::betweenAttempts);
}

// --- Expiry

// Stores a record in state betweenAttempts or finished for as long as its client may retry. An idempotent
// record beyond the bound replaces the oldest one; routeUnknown() bounds the number of the others.
void LeaseRegistry::remember(Instant now, const std::string& id, TransactionRecord& record, State state) {
  record.state = state;
  const Instant expiresAt = now + classes_[record.transactionClass].deadline;
  if (record.expiresAt == expiresAt) return;
  record.expiresAt = expiresAt;
  const bool isBoundedHere = isIdempotent(record.transactionClass);
  ExpiryQueue& queue = isBoundedHere ? idempotentExpiries_ : otherExpiries_;
  queue.push_back({expiresAt, id});
  if (!isBoundedHere || queue.size() <= limits_.maxTransactionsPerKind) return;
  const auto oldest = records_.find(queue.front().id);
  if (oldest != records_.end() && oldest->second.expiresAt == queue.front().at) records_.erase(oldest);
  queue.pop_front();
}

Instant LeaseRegistry::dropExpired(Instant now) {
  Instant next;
  for (ExpiryQueue* queue : {&idempotentExpiries_, &otherExpiries_}) {
    while (!queue->empty() && queue->front().at <= now) {
      const auto found = records_.find(queue->front().id);
      // The record may have been renewed, or opened again, since then.
      if (found != records_.end() && found->second.expiresAt == queue->front().at &&
          (found->second.state == State::betweenAttempts || found->second.state == State::finished))
        records_.erase(found);
      queue->pop_front();
    }
    if (!queue->empty()) next = earlierDue(next, queue->front().at);
  }
  return next;
}

}  // namespace gulltrestle::endpoint_leases
