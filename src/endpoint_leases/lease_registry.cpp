#include "endpoint_leases/lease_registry.h"

#include <algorithm>

namespace gulltrestle::endpoint_leases {

namespace {

// How long a later try waits for the end of the one before, which the proxy has given up already: the reset
// and the try cross on their way, and are milliseconds apart. After that the earlier one may have run.
constexpr Span kCrossing = Span::millis(50);

Verdict answer(Outcome outcome, std::string_view why) {
  Verdict verdict;
  verdict.what = Verdict::What::answer;
  verdict.outcome = outcome;
  verdict.why = why;
  return verdict;
}

}  // namespace

Book::Book(std::vector<TxnType> types, Placement placement, Bounds bounds, std::string start)
    : types_(std::move(types)), placement_(placement), bounds_(bounds), start_(std::move(start)) {}

Book::Entry* Book::of(const std::string& id, StreamKey stream) {
  const auto at = entries_.find(id);
  return at == entries_.end() || at->second.stream != stream ? nullptr : &at->second;
}

// What is known of a txn's earlier tries, for the module.
Verdict Book::taken(Instant now, const Entry& entry) const {
  Verdict verdict;
  verdict.earlier.attempts = entry.grants;
  if (entry.firstAt != Instant() && entry.firstAt < now) verdict.earlier.since = now - entry.firstAt;
  if (entry.mayHaveRunAt != Instant()) verdict.earlier.mayHaveRunFor = now - entry.mayHaveRunAt;
  verdict.earlier.tried = entry.tried;
  return verdict;
}

Book::Entry& Book::begin(Instant now, StreamKey stream, const Ask& ask) {
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
Verdict Book::unknown(Instant now, StreamKey stream, const Ask& ask) {
  // Guards against ids without an end: what may not run twice must be remembered to be refused.
  if (!mayRepeat(ask.type) && others_.size() >= bounds_.most)
    return answer(Outcome::refused, "too many txns are remembered");
  Entry& entry = begin(now, stream, ask);
  const bool another = !ask.token.empty() && !ask.token.starts_with(start_ + "-");
  if ((ask.attempt > 1 || another || !ask.token.empty()) && ask.written != Written::nothing) {
    // Its first try can't have come longer ago than its client waits in all.
    const Span before = std::max(types_[ask.type].deadline - ask.patience, Span::millis(1));
    entry.mayHaveRunAt = now - before;
    entry.firstAt = Instant();  // nor is it known when it did
    entry.grants = std::max(1u, ask.attempt - 1);
  }
  return taken(now, entry);
}

// An answer to a stream beside another one of the same txn. Harmless to try again only where it may run
// twice.
Verdict Book::refused(const Entry& entry, std::string_view why) const {
  return answer(mayRepeat(entry.type) ? Outcome::refused : Outcome::rolledBack, why);
}

Verdict Book::asked(Instant now, StreamKey stream, const Ask& ask) {
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
      const auto same = entry.outcome == Outcome::refused ? Outcome::refused : Outcome::rolledBack;
      if (entry.outcome != Outcome::committed || !mayRepeat(entry.type))
        return answer(same, "the txn had its final answer");
    } else if (!mayRepeat(entry.type) &&
               (entry.outcome != Outcome::refused || entry.mayHaveRunAt != Instant())) {
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
      Verdict verdict;
      verdict.what = Verdict::What::wait;
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
  Verdict verdict = taken(now, entry);
  (wasGranted ? verdict.endsUnreported : verdict.supersedes) = before;
  return verdict;
}

std::string Book::granted(Instant now, const std::string& id, StreamKey stream, const NodeId& node) {
  Entry* entry = of(id, stream);
  if (!entry) return {};
  entry->state = State::granted;
  entry->grantedAt = now;
  ++entry->grants;
  entry->tried.push_back(node);
  return entry->token = start_ + "-" + std::to_string(stream) + "-" + std::to_string(entry->grants);
}

void Book::ended(Instant now, const std::string& id, StreamKey stream, End how) {
  Entry* entry = of(id, stream);
  if (!entry || entry->state != State::granted) return;
  const bool ran = how == End::error || how == End::timeout || how == End::connectionLost ||
                   how == End::cancelled || how == End::committed;
  if (ran && entry->mayHaveRunAt == Instant()) entry->mayHaveRunAt = entry->grantedAt;
  remember(now, id, *entry, State::between);
}

void Book::answered(Instant now, const std::string& id, StreamKey stream, Outcome outcome) {
  Entry* entry = of(id, stream);
  if (!entry) return;
  entry->outcome = outcome;
  // A try that was granted and refused for what became of it may be followed by another: so the proxy is
  // set up. One that was refused without a grant was rejected, which is final.
  const bool goesOn =
      placement_ == Placement::tries && outcome == Outcome::refused && entry->state != State::asked;
  remember(now, id, *entry, goesOn ? State::between : State::over);
}

void Book::left(Instant now, const std::string& id, StreamKey stream) {
  Entry* entry = of(id, stream);
  if (!entry || entry->state == State::over) return;
  if (entry->state == State::granted) ended(now, id, stream, endUnreported(false));
  remember(now, id, *entry, State::between);
}

void Book::remember(Instant now, const std::string& id, Entry& entry, State state) {
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

Instant Book::forget(Instant now) {
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
