#include "endpoint_leases/lease_registry.h"

#include <algorithm>

namespace gulltrestle::endpoint_leases {

namespace {

// How long a later try waits for the end of the one before, which the proxy has given up already: the reset
// and the try cross on their way, and are milliseconds apart. After that the earlier one may have run.
constexpr Duration kCrossing = Duration::millis(50);

LeaseDecision answer(FinalOutcome outcome, std::string_view why) {
  LeaseDecision verdict;
  verdict.action = LeaseDecision::Action::answer;
  verdict.outcome = outcome;
  verdict.reason = why;
  return verdict;
}

}  // namespace

LeaseRegistry::LeaseRegistry(std::vector<TransactionClass> types, ProxyPlacement placement, Bounds bounds,
                             std::string start)
    : types_(std::move(types)), placement_(placement), bounds_(bounds), start_(std::move(start)) {}

LeaseRegistry::Entry* LeaseRegistry::of(const std::string& id, StreamKey stream) {
  const auto at = entries_.find(id);
  return at == entries_.end() || at->second.stream != stream ? nullptr : &at->second;
}

// What is known of a txn's earlier tries, for the module.
LeaseDecision LeaseRegistry::taken(Instant now, const Entry& entry) const {
  LeaseDecision verdict;
  verdict.earlier.attempts = entry.grants;
  if (entry.firstAt != Instant() && entry.firstAt < now)
    verdict.earlier.firstAttemptAge = now - entry.firstAt;
  if (entry.mayHaveRunAt != Instant()) verdict.earlier.ambiguousAttemptAge = now - entry.mayHaveRunAt;
  verdict.earlier.attemptedNodes = entry.tried;
  return verdict;
}

LeaseRegistry::Entry& LeaseRegistry::begin(Instant now, StreamKey stream, const LeaseRequest& ask) {
  Entry& entry = entries_[ask.id];
  entry = {};
  entry.type = ask.type;
  entry.stream = stream;
  entry.attempt = ask.attempt;
  entry.firstAt = now;
  return entry;
}

// Guards rule 2 where this start of the program knows nothing: it was killed between a grant and its outcome,
// and the proxy comes again. Also covers ids that were forgotten, and proxies that moved here from another
// instance. May hurt once-only txns whose proxy doesn't say that nothing was written: they are rolled back.
LeaseDecision LeaseRegistry::unknown(Instant now, StreamKey stream, const LeaseRequest& ask) {
  // Guards against ids without an end: what may not run twice must be remembered to be refused.
  if (!mayRepeat(ask.type) && others_.size() >= bounds_.most)
    return answer(FinalOutcome::rejected, "too many txns are remembered");
  Entry& entry = begin(now, stream, ask);
  const bool another = !ask.token.empty() && !ask.token.starts_with(start_ + "-");
  if ((ask.attempt > 1 || another || !ask.token.empty()) && ask.written != Written::nothing) {
    // Its first try can't have come longer ago than its client waits in all.
    const Duration before = std::max(types_[ask.type].deadline - ask.remainingTime, Duration::millis(1));
    entry.mayHaveRunAt = now - before;
    entry.firstAt = Instant();  // nor is it known when it did
    entry.grants = std::max(1u, ask.attempt - 1);
  }
  return taken(now, entry);
}

// An answer to a stream beside another one of the same txn. Harmless to try again only where it may run
// twice.
LeaseDecision LeaseRegistry::refused(const Entry& entry, std::string_view why) const {
  return answer(mayRepeat(entry.type) ? FinalOutcome::rejected : FinalOutcome::rolledBack, why);
}

LeaseDecision LeaseRegistry::asked(Instant now, StreamKey stream, const LeaseRequest& ask) {
  forget(now);
  const auto at = entries_.find(ask.id);
  if (at == entries_.end()) return unknown(now, stream, ask);
  Entry& entry = at->second;
  if (entry.type != ask.type && entry.state != State::over)
    return refused(entry, "the id names an open txn of another type");
  const bool waits = entry.crossing && entry.crossing->first == stream;
  const bool later = ask.attempt > entry.attempt || waits;
  if (entry.state == State::over) {
    if (later) {  // the proxy goes on after the final answer: it stays what it was
      const auto same =
          entry.outcome == FinalOutcome::rejected ? FinalOutcome::rejected : FinalOutcome::rolledBack;
      if (entry.outcome != FinalOutcome::committed || !mayRepeat(entry.type))
        return answer(same, "the txn had its final answer");
    } else if (!mayRepeat(entry.type) &&
               (entry.outcome != FinalOutcome::rejected || entry.mayHaveRunAt != Instant())) {
      return refused(entry, "the id names a txn that may have run");
    }
    return unknown(now, stream, ask);
  }
  const bool untouched = entry.state == State::between && entry.grants == 0;
  if (!later && untouched) return unknown(now, stream, ask);
  if (!later) return refused(entry, "the id names an open txn");
  // That nothing was written is said of the grants that the asker has seen. Guards rule 2 against two clients
  // that use one id: what one did not write the other may have. May hurt a proxy that gave up just as it was
  // granted: it has not seen that grant, and its once-only txn is rolled back.
  const bool nothing = ask.written == Written::nothing && ask.token == entry.token;
  if (entry.state == State::granted) {
    if (!entry.crossing) entry.crossing.emplace(stream, now + kCrossing);
    // A third that comes meanwhile takes the place of the second.
    entry.crossing->first = stream;
    if (now < entry.crossing->second && !nothing) {
      LeaseDecision verdict;
      verdict.action = LeaseDecision::Action::wait;
      verdict.until = entry.crossing->second;
      return verdict;
    }
  }
  const StreamKey before = entry.stream;
  const bool wasGranted = entry.state == State::granted;
  if (wasGranted && !nothing && entry.mayHaveRunAt == Instant()) entry.mayHaveRunAt = entry.grantedAt;
  entry.state = State::asked;
  entry.stream = stream;
  entry.attempt = std::max(ask.attempt, entry.attempt);
  entry.crossing.reset();
  LeaseDecision verdict = taken(now, entry);
  (wasGranted ? verdict.endsUnreported : verdict.supersedes) = before;
  return verdict;
}

std::string LeaseRegistry::granted(Instant now, const std::string& id, StreamKey stream, const NodeId& node) {
  Entry* entry = of(id, stream);
  if (!entry) return {};
  entry->state = State::granted;
  entry->grantedAt = now;
  ++entry->grants;
  entry->tried.push_back(node);
  return entry->token = start_ + "-" + std::to_string(stream) + "-" + std::to_string(entry->grants);
}

void LeaseRegistry::ended(Instant now, const std::string& id, StreamKey stream, AttemptOutcome how) {
  Entry* entry = of(id, stream);
  if (!entry || entry->state != State::granted) return;
  const bool ran = how == AttemptOutcome::error || how == AttemptOutcome::timeout ||
                   how == AttemptOutcome::connectionLost || how == AttemptOutcome::cancelled ||
                   how == AttemptOutcome::committed;
  if (ran && entry->mayHaveRunAt == Instant()) entry->mayHaveRunAt = entry->grantedAt;
  remember(now, id, *entry, State::between);
}

void LeaseRegistry::answered(Instant now, const std::string& id, StreamKey stream, FinalOutcome outcome) {
  Entry* entry = of(id, stream);
  if (!entry) return;
  entry->outcome = outcome;
  // A try that was granted and refused for what became of it may be followed by another: so the proxy is
  // set up. One that was refused without a grant was rejected, which is final.
  const bool goesOn = placement_ == ProxyPlacement::attempts && outcome == FinalOutcome::rejected &&
                      entry->state != State::asked;
  remember(now, id, *entry, goesOn ? State::between : State::over);
}

void LeaseRegistry::left(Instant now, const std::string& id, StreamKey stream) {
  Entry* entry = of(id, stream);
  if (!entry || entry->state == State::over) return;
  if (entry->state == State::granted) ended(now, id, stream, outcomeWithoutReport(false));
  remember(now, id, *entry, State::between);
}

void LeaseRegistry::remember(Instant now, const std::string& id, Entry& entry, State state) {
  entry.state = state;
  const Instant until = now + types_[entry.type].deadline;
  if (entry.until == until) return;
  entry.until = until;
  auto& queue = mayRepeat(entry.type) ? repeatables_ : others_;
  queue.emplace_back(until, id);
  if (mayRepeat(entry.type) && queue.size() > bounds_.most) {
    const auto oldest = entries_.find(queue.front().second);
    if (oldest != entries_.end() && oldest->second.until == queue.front().first) entries_.erase(oldest);
    queue.pop_front();
  }
}

Instant LeaseRegistry::forget(Instant now) {
  Instant next;
  for (auto* queue : {&repeatables_, &others_}) {
    while (!queue->empty() && queue->front().first <= now) {
      const auto at = entries_.find(queue->front().second);
      // It may have been renewed, or be open again, since.
      if (at != entries_.end() && at->second.until == queue->front().first &&
          (at->second.state == State::between || at->second.state == State::over))
        entries_.erase(at);
      queue->pop_front();
    }
    if (!queue->empty() && (next == Instant() || queue->front().first < next)) next = queue->front().first;
  }
  return next;
}

}  // namespace gulltrestle::endpoint_leases
