#include "endpoint_leases/lease_registry.h"

#include <algorithm>
#include <utility>

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
                             RegistryBounds bounds, std::string incarnation)
    : classes_(std::move(classes)),
      placement_(placement),
      bounds_(bounds),
      incarnation_(std::move(incarnation)) {}

LeaseRegistry::Entry* LeaseRegistry::find(const std::string& id, StreamKey stream) {
  const auto found = entries_.find(id);
  return found == entries_.end() || found->second.stream != stream ? nullptr : &found->second;
}

LeaseRegistry::Entry& LeaseRegistry::startEntry(Instant now, StreamKey stream, const LeaseRequest& request) {
  Entry& entry = entries_[request.id];
  entry = {};
  entry.transactionClass = request.transactionClass;
  entry.stream = stream;
  entry.attempt = request.attempt;
  entry.firstRequestedAt = now;
  return entry;
}

// --- Requests

LeaseDecision LeaseRegistry::requestLease(Instant now, StreamKey stream, const LeaseRequest& request) {
  dropExpired(now);
  const auto found = entries_.find(request.id);
  if (found == entries_.end()) return routeUnknown(now, stream, request);
  Entry& entry = found->second;
  if (entry.transactionClass != request.transactionClass && entry.state != State::finished)
    return deny(entry, "the id names an open txn of another type");
  const bool isWaitingRetry = entry.waitingRetry && entry.waitingRetry->stream == stream;
  const bool isRetry = request.attempt > entry.attempt || isWaitingRetry;
  if (entry.state == State::finished) {
    const auto denial = isRetry ? denyRetryOfFinished(entry) : denyReuseOfFinished(entry);
    return denial ? *denial : routeUnknown(now, stream, request);
  }
  if (isRetry) return routeRetry(now, stream, request, entry);
  const bool wasNeverGranted = entry.state == State::betweenAttempts && entry.leaseCount == 0;
  if (wasNeverGranted) return routeUnknown(now, stream, request);
  return deny(entry, "the id names an open txn");
}

// Passes the transaction to the router with the known facts about its earlier attempts.
LeaseDecision LeaseRegistry::route(Instant now, const Entry& entry) const {
  LeaseDecision decision;
  PriorAttempts& prior = decision.priorAttempts;
  prior.attempts = entry.leaseCount;
  if (entry.firstRequestedAt != Instant() && entry.firstRequestedAt < now)
    prior.firstAttemptAge = now - entry.firstRequestedAt;
  if (entry.mayHaveRunAt != Instant()) prior.ambiguousAttemptAge = now - entry.mayHaveRunAt;
  prior.attemptedNodes = entry.attemptedNodes;
  return decision;
}

// Prevents violations of rule 2 if this incarnation knows nothing of the transaction: the previous one was
// killed between a lease and its outcome, and the proxy retries. Also covers ids that were forgotten, and
// proxies that moved to this instance from another one. Trade-off: at-most-once transactions whose proxy does
// not report that nothing was written are rolled back.
LeaseDecision LeaseRegistry::routeUnknown(Instant now, StreamKey stream, const LeaseRequest& request) {
  // Prevents an unbounded number of ids: transactions that are not idempotent must be remembered so that
  // retries can be denied.
  if (!isIdempotent(request.transactionClass) && otherExpiries_.size() >= bounds_.maxTransactionsPerKind)
    return answerWith(FinalOutcome::rejected, "too many txns are remembered");
  Entry& entry = startEntry(now, stream, request);
  const bool hasEarlierAttempts = request.attempt > 1 || !request.token.empty();
  if (hasEarlierAttempts && request.writeProgress != WriteProgress::none) {
    // The first attempt can't be older than the total time that the client waits.
    const Duration maxAge =
        std::max(classes_[request.transactionClass].deadline - request.remainingTime, Duration::millis(1));
    entry.mayHaveRunAt = now - maxAge;
    entry.firstRequestedAt = Instant();  // also unknown
    entry.leaseCount = std::max(1u, request.attempt - 1);
  }
  return route(now, entry);
}

LeaseDecision LeaseRegistry::routeRetry(Instant now, StreamKey stream, const LeaseRequest& request,
                                        Entry& entry) {
  // A report that nothing was written only covers the leases that the requester has seen. Prevents violations
  // of rule 2 if two clients use the same id: one may have written what the other has not. Trade-off: if a
  // proxy cancels just as it is granted a lease, it has not seen that lease, and its at-most-once transaction
  // is rolled back.
  const bool wroteNothing = request.writeProgress == WriteProgress::none && request.token == entry.token;
  const bool wasGranted = entry.state == State::leased;
  if (wasGranted) {
    if (!entry.waitingRetry) entry.waitingRetry = {stream, now + kMaxResetDelay};
    // A third stream that arrives meanwhile replaces the second.
    entry.waitingRetry->stream = stream;
    if (now < entry.waitingRetry->until && !wroteNothing) return waitUntil(entry.waitingRetry->until);
    if (!wroteNothing && entry.mayHaveRunAt == Instant()) entry.mayHaveRunAt = entry.grantedAt;
  }
  const StreamKey previousStream = entry.stream;
  entry.state = State::requested;
  entry.stream = stream;
  entry.attempt = std::max(request.attempt, entry.attempt);
  entry.waitingRetry.reset();
  LeaseDecision decision = route(now, entry);
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
LeaseDecision LeaseRegistry::deny(const Entry& entry, std::string_view reason) const {
  return answerWith(isIdempotent(entry.transactionClass) ? FinalOutcome::rejected : FinalOutcome::rolledBack,
                    reason);
}

// The proxy retries after the final answer and gets that answer again. Returns nullopt if the transaction may
// be executed again.
std::optional<LeaseDecision> LeaseRegistry::denyRetryOfFinished(const Entry& entry) const {
  if (entry.outcome == FinalOutcome::committed && isIdempotent(entry.transactionClass)) return std::nullopt;
  const FinalOutcome outcome =
      entry.outcome == FinalOutcome::rejected ? FinalOutcome::rejected : FinalOutcome::rolledBack;
  return answerWith(outcome, "the txn had its final answer");
}

// Another client, or another request, uses the id of a finished transaction. Returns nullopt if it counts as
// a new transaction.
std::optional<LeaseDecision> LeaseRegistry::denyReuseOfFinished(const Entry& entry) const {
  const bool neverRan = entry.outcome == FinalOutcome::rejected && entry.mayHaveRunAt == Instant();
  if (isIdempotent(entry.transactionClass) || neverRan) return std::nullopt;
  return deny(entry, "the id names a txn that may have run");
}

// --- Ends of leases and streams

std::string LeaseRegistry::onLeaseGranted(Instant now, const std::string& id, StreamKey stream,
                                          const NodeId& node) {
  Entry* entry = find(id, stream);
  if (!entry) return {};
  entry->state = State::leased;
  entry->grantedAt = now;
  ++entry->leaseCount;
  entry->attemptedNodes.push_back(node);
  entry->token = incarnation_ + "-" + std::to_string(stream) + "-" + std::to_string(entry->leaseCount);
  return entry->token;
}

void LeaseRegistry::onAttemptEnded(Instant now, const std::string& id, StreamKey stream,
                                   AttemptOutcome outcome) {
  Entry* entry = find(id, stream);
  if (!entry || entry->state != State::leased) return;
  if (mayHaveRun(outcome) && entry->mayHaveRunAt == Instant()) entry->mayHaveRunAt = entry->grantedAt;
  remember(now, id, *entry, State::betweenAttempts);
}

void LeaseRegistry::onAnswered(Instant now, const std::string& id, StreamKey stream, FinalOutcome outcome) {
  Entry* entry = find(id, stream);
  if (!entry) return;
  entry->outcome = outcome;
  // An attempt that had a lease and was rejected because of its outcome may be followed by another one, as
  // configured in the proxy. A rejection without a lease is final.
  const bool mayBeRetried = placement_ == ProxyPlacement::perAttempt && outcome == FinalOutcome::rejected &&
                            entry->state != State::requested;
  remember(now, id, *entry, mayBeRetried ? State::betweenAttempts : State::finished);
}

void LeaseRegistry::onStreamCancelled(Instant now, const std::string& id, StreamKey stream) {
  Entry* entry = find(id, stream);
  if (!entry || entry->state == State::finished) return;
  if (entry->state == State::leased) onAttemptEnded(now, id, stream, kUnreportedOutcome);
  remember(now, id, *entry, State::betweenAttempts);
}

// --- Expiry

// Stores an entry in state betweenAttempts or finished for as long as its client may retry. An idempotent
// entry beyond the bound replaces the oldest one; routeUnknown() bounds the number of the others.
void LeaseRegistry::remember(Instant now, const std::string& id, Entry& entry, State state) {
  entry.state = state;
  const Instant expiresAt = now + classes_[entry.transactionClass].deadline;
  if (entry.expiresAt == expiresAt) return;
  entry.expiresAt = expiresAt;
  const bool isBoundedHere = isIdempotent(entry.transactionClass);
  ExpiryQueue& queue = isBoundedHere ? idempotentExpiries_ : otherExpiries_;
  queue.push_back({expiresAt, id});
  if (!isBoundedHere || queue.size() <= bounds_.maxTransactionsPerKind) return;
  const auto oldest = entries_.find(queue.front().id);
  if (oldest != entries_.end() && oldest->second.expiresAt == queue.front().at) entries_.erase(oldest);
  queue.pop_front();
}

Instant LeaseRegistry::dropExpired(Instant now) {
  Instant next;
  for (ExpiryQueue* queue : {&idempotentExpiries_, &otherExpiries_}) {
    while (!queue->empty() && queue->front().at <= now) {
      const auto found = entries_.find(queue->front().id);
      // The entry may have been renewed, or opened again, since then.
      if (found != entries_.end() && found->second.expiresAt == queue->front().at &&
          (found->second.state == State::betweenAttempts || found->second.state == State::finished))
        entries_.erase(found);
      queue->pop_front();
    }
    if (!queue->empty() && (next == Instant() || queue->front().at < next)) next = queue->front().at;
  }
  return next;
}

}  // namespace gulltrestle::endpoint_leases
