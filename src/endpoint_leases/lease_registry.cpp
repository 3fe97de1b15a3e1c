#include "endpoint_leases/lease_registry.h"

#include <algorithm>
#include <utility>

namespace gulltrestle::endpoint_leases {

namespace {

// How long a retry waits for the end of the attempt before it, which the proxy has abandoned already: the
// reset and the retry cross in transit, milliseconds apart. After that the earlier attempt may have run.
constexpr Duration kMaxCrossing = Duration::millis(50);

LeaseDecision answerWith(FinalOutcome outcome, std::string_view reason) {
  LeaseDecision decision;
  decision.action = LeaseDecision::Action::answer;
  decision.outcome = outcome;
  decision.reason = reason;
  return decision;
}

LeaseDecision waitUntil(Instant until) {
  LeaseDecision decision;
  decision.action = LeaseDecision::Action::wait;
  decision.until = until;
  return decision;
}

bool mayHaveRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::error || outcome == AttemptOutcome::timeout ||
         outcome == AttemptOutcome::connectionLost || outcome == AttemptOutcome::cancelled ||
         outcome == AttemptOutcome::committed;
}

}  // namespace

LeaseRegistry::LeaseRegistry(std::vector<TransactionClass> classes, ProxyPlacement placement, Bounds bounds,
                             std::string start)
    : classes_(std::move(classes)), placement_(placement), bounds_(bounds), start_(std::move(start)) {}

LeaseRegistry::Entry* LeaseRegistry::find(const std::string& id, StreamKey stream) {
  const auto found = entries_.find(id);
  return found == entries_.end() || found->second.stream != stream ? nullptr : &found->second;
}

LeaseRegistry::Entry& LeaseRegistry::startEntry(Instant now, StreamKey stream, const LeaseRequest& request) {
  Entry& entry = entries_[request.id];
  entry = {};
  entry.type = request.type;
  entry.stream = stream;
  entry.attempt = request.attempt;
  entry.firstAt = now;
  return entry;
}

// --- Requests

LeaseDecision LeaseRegistry::asked(Instant now, StreamKey stream, const LeaseRequest& request) {
  forget(now);
  const auto found = entries_.find(request.id);
  if (found == entries_.end()) return takeUnknown(now, stream, request);
  Entry& entry = found->second;
  if (entry.type != request.type && entry.state != State::over)
    return deny(entry, "the id names an open txn of another type");
  const bool isWaitingRetry = entry.waitingRetry && entry.waitingRetry->stream == stream;
  const bool isRetry = request.attempt > entry.attempt || isWaitingRetry;
  if (entry.state == State::over) {
    const auto denial = isRetry ? denyRetryOfFinished(entry) : denyReuseOfFinished(entry);
    return denial ? *denial : takeUnknown(now, stream, request);
  }
  if (isRetry) return takeRetry(now, stream, request, entry);
  const bool wasNeverGranted = entry.state == State::between && entry.leases == 0;
  if (wasNeverGranted) return takeUnknown(now, stream, request);
  return deny(entry, "the id names an open txn");
}

// Passes the transaction to the router with what is known of its earlier attempts.
LeaseDecision LeaseRegistry::take(Instant now, const Entry& entry) const {
  LeaseDecision decision;
  PriorAttempts& prior = decision.earlier;
  prior.attempts = entry.leases;
  if (entry.firstAt != Instant() && entry.firstAt < now) prior.firstAttemptAge = now - entry.firstAt;
  if (entry.mayHaveRunAt != Instant()) prior.ambiguousAttemptAge = now - entry.mayHaveRunAt;
  prior.attemptedNodes = entry.attemptedNodes;
  return decision;
}

// Guards rule 2 where this start of the program knows nothing: it was killed between a lease and its outcome,
// and the proxy retries. Also covers ids that were forgotten, and proxies that moved here from another
// instance. May hurt at-most-once transactions whose proxy does not report that nothing was written: they are
// rolled back.
LeaseDecision LeaseRegistry::takeUnknown(Instant now, StreamKey stream, const LeaseRequest& request) {
  // Guards against an unbounded number of ids: what is not idempotent must be remembered to be denied.
  if (!isIdempotent(request.type) && otherExpiries_.size() >= bounds_.most)
    return answerWith(FinalOutcome::rejected, "too many txns are remembered");
  Entry& entry = startEntry(now, stream, request);
  const bool hasEarlierAttempts = request.attempt > 1 || !request.token.empty();
  if (hasEarlierAttempts && request.written != Written::nothing) {
    // Its first attempt can't have come longer ago than its client waits in all.
    const Duration maxAge =
        std::max(classes_[request.type].deadline - request.remainingTime, Duration::millis(1));
    entry.mayHaveRunAt = now - maxAge;
    entry.firstAt = Instant();  // not known either
    entry.leases = std::max(1u, request.attempt - 1);
  }
  return take(now, entry);
}

LeaseDecision LeaseRegistry::takeRetry(Instant now, StreamKey stream, const LeaseRequest& request,
                                       Entry& entry) {
  // That nothing was written refers to the leases that the requester has seen. Guards rule 2 against two
  // clients that use one id: what one did not write the other may have. May hurt a proxy that cancelled just
  // as it got a lease: it has not seen that lease, and its at-most-once transaction is rolled back.
  const bool wroteNothing = request.written == Written::nothing && request.token == entry.token;
  const bool wasGranted = entry.state == State::granted;
  if (wasGranted) {
    if (!entry.waitingRetry) entry.waitingRetry = {stream, now + kMaxCrossing};
    // A third stream that comes meanwhile replaces the second.
    entry.waitingRetry->stream = stream;
    if (now < entry.waitingRetry->until && !wroteNothing) return waitUntil(entry.waitingRetry->until);
    if (!wroteNothing && entry.mayHaveRunAt == Instant()) entry.mayHaveRunAt = entry.grantedAt;
  }
  const StreamKey previousStream = entry.stream;
  entry.state = State::asked;
  entry.stream = stream;
  entry.attempt = std::max(request.attempt, entry.attempt);
  entry.waitingRetry.reset();
  LeaseDecision decision = take(now, entry);
  (wasGranted ? decision.endsUnreported : decision.supersedes) = previousStream;
  return decision;
}

// --- Denials

// For a stream beside another one of the same transaction. A retry is harmless only if it is idempotent.
LeaseDecision LeaseRegistry::deny(const Entry& entry, std::string_view reason) const {
  return answerWith(isIdempotent(entry.type) ? FinalOutcome::rejected : FinalOutcome::rolledBack, reason);
}

// The proxy goes on after the final answer, which it gets again. None: it may be executed again.
std::optional<LeaseDecision> LeaseRegistry::denyRetryOfFinished(const Entry& entry) const {
  if (entry.outcome == FinalOutcome::committed && isIdempotent(entry.type)) return std::nullopt;
  const FinalOutcome outcome =
      entry.outcome == FinalOutcome::rejected ? FinalOutcome::rejected : FinalOutcome::rolledBack;
  return answerWith(outcome, "the txn had its final answer");
}

// Another client, or another request, has the id of a finished transaction. None: it is a new transaction.
std::optional<LeaseDecision> LeaseRegistry::denyReuseOfFinished(const Entry& entry) const {
  const bool neverRan = entry.outcome == FinalOutcome::rejected && entry.mayHaveRunAt == Instant();
  if (isIdempotent(entry.type) || neverRan) return std::nullopt;
  return deny(entry, "the id names a txn that may have run");
}

// --- What becomes of leases and streams

std::string LeaseRegistry::granted(Instant now, const std::string& id, StreamKey stream, const NodeId& node) {
  Entry* entry = find(id, stream);
  if (!entry) return {};
  entry->state = State::granted;
  entry->grantedAt = now;
  ++entry->leases;
  entry->attemptedNodes.push_back(node);
  entry->token = start_ + "-" + std::to_string(stream) + "-" + std::to_string(entry->leases);
  return entry->token;
}

void LeaseRegistry::ended(Instant now, const std::string& id, StreamKey stream,
                          AttemptOutcome attemptOutcome) {
  Entry* entry = find(id, stream);
  if (!entry || entry->state != State::granted) return;
  if (mayHaveRun(attemptOutcome) && entry->mayHaveRunAt == Instant()) entry->mayHaveRunAt = entry->grantedAt;
  remember(now, id, *entry, State::between);
}

void LeaseRegistry::answered(Instant now, const std::string& id, StreamKey stream, FinalOutcome outcome) {
  Entry* entry = find(id, stream);
  if (!entry) return;
  entry->outcome = outcome;
  // An attempt that had a lease and was rejected for its outcome may be followed by another: the proxy is
  // configured so. A rejection without a lease is final.
  const bool mayGoOn = placement_ == ProxyPlacement::attempts && outcome == FinalOutcome::rejected &&
                       entry->state != State::asked;
  remember(now, id, *entry, mayGoOn ? State::between : State::over);
}

void LeaseRegistry::left(Instant now, const std::string& id, StreamKey stream) {
  Entry* entry = find(id, stream);
  if (!entry || entry->state == State::over) return;
  if (entry->state == State::granted) ended(now, id, stream, outcomeWithoutReport(false));
  remember(now, id, *entry, State::between);
}

// --- Expiry

// Stores an entry in state between or over for as long as its client may retry. Idempotent ones beyond the
// bound drop the oldest; the others are bounded by takeUnknown().
void LeaseRegistry::remember(Instant now, const std::string& id, Entry& entry, State state) {
  entry.state = state;
  const Instant expiresAt = now + classes_[entry.type].deadline;
  if (entry.expiresAt == expiresAt) return;
  entry.expiresAt = expiresAt;
  const bool isBoundedHere = isIdempotent(entry.type);
  ExpiryQueue& queue = isBoundedHere ? idempotentExpiries_ : otherExpiries_;
  queue.push_back({expiresAt, id});
  if (!isBoundedHere || queue.size() <= bounds_.most) return;
  const auto oldest = entries_.find(queue.front().id);
  if (oldest != entries_.end() && oldest->second.expiresAt == queue.front().at) entries_.erase(oldest);
  queue.pop_front();
}

Instant LeaseRegistry::forget(Instant now) {
  Instant next;
  for (ExpiryQueue* queue : {&idempotentExpiries_, &otherExpiries_}) {
    while (!queue->empty() && queue->front().at <= now) {
      const auto found = entries_.find(queue->front().id);
      // It may have been renewed, or be open again, since.
      if (found != entries_.end() && found->second.expiresAt == queue->front().at &&
          (found->second.state == State::between || found->second.state == State::over))
        entries_.erase(found);
      queue->pop_front();
    }
    if (!queue->empty() && (next == Instant() || queue->front().at < next)) next = queue->front().at;
  }
  return next;
}

}  // namespace gulltrestle::endpoint_leases
