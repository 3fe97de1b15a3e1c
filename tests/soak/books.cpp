#include "soak/books.h"

#include <algorithm>

namespace gulltrestle::soak {

namespace {

// The protocol's slack on every time limit.
constexpr Duration kSlack = Duration::millis(50);
// An answer after its time only earns nothing, up to this.
constexpr Duration kLateAnswer = Duration::millis(500);
// An attempt this long after its client closed is a lost request.
constexpr Duration kAfterClose = Duration::millis(100);
// The time a node is told may be this much over what is left.
constexpr Duration kDeadlineSlack = Duration::millis(150);
// A delay of this process counts for so long.
constexpr Duration kLateFor = Duration::seconds(1);

}  // namespace

void Books::turnEnded(Instant now) {
  const Duration turn = turnEndedAt_ == Instant() ? Duration() : now - turnEndedAt_;
  turnEndedAt_ = now;
  if (turn < lateBy_ && now - lateAt_ < kLateFor) return;
  lateBy_ = turn;
  lateAt_ = now;
}

Duration Books::slack(Instant now) const { return std::max(lateBy_, now - turnEndedAt_); }

void Books::broken(Instant now, const std::string& rule, const std::string& what) {
  verdicts_.push_back({rule, what, now});
}

void Books::answered(Instant now, const std::string& id) {
  Request& request = of(id);
  ++answers_;
  request.answeredAt = now;
  if (now > request.deadline + kLateAnswer + heldUp_ + kSlack + slack(now))
    broken(now, "late",
           id + " answered " + std::to_string((now - request.deadline).inMicros() / 1000) +
               " ms after its time");
}

void Books::clientGone(Instant now, const std::string& id) { of(id).goneAt = now; }

void Books::closedOn(Instant now, const std::string& id, bool killed) {
  Request& request = of(id);
  if (request.answeredAt != Instant() || request.goneAt != Instant()) return;
  request.excused = true;
  // A request that crosses the end of a resting connection is sent anew by its client; one that went on was
  // read.
  if (killed || request.firstSeenAt == Instant())
    ++crossed;
  else
    broken(now, "lost", id + " was sent on, and its connection closed with no answer");
}

void Books::seen(Instant now, const Seen& seen) {
  const auto at = requests_.find(seen.id);
  if (at == requests_.end()) return broken(now, "garbled", "no client asked for " + seen.id);
  Request& request = at->second;
  const TransactionClass& type = types_.at(request.type);
  const std::string where = seen.id + " at " + seen.node;
  if (request.goneAt != Instant() && now > request.goneAt + kAfterClose + heldUp_ + slack(now))
    broken(now, "lost",
           where + " came " + std::to_string((now - request.goneAt).inMicros() / 1000) +
               " ms after its client closed");
  if (now + seen.told > request.deadline + kDeadlineSlack + heldUp_ + slack(now))
    broken(now, "deadline",
           where + " was told " + std::to_string(seen.told.inMicros() / 1000) + " ms with " +
               std::to_string((request.deadline - now).inMicros() / 1000) + " left");
  if (seen.drainedSince != Instant() && now > seen.drainedSince + drainGrace_ + kSlack + heldUp_ + slack(now))
    broken(now, "drain",
           where + " came " + std::to_string((now - seen.drainedSince).inMicros() / 1000) +
               " ms after it drained");
  if (request.firstSeenAt == Instant()) request.firstSeenAt = now;
  if (!seen.runs) return;
  ++request.runs;
  if (request.runs == 1 || type.effect == Effect::idempotent) return;
  const bool inWindow = now <= request.firstSeenAt + type.deduplicationWindow + kSlack + heldUp_ + slack(now);
  if (type.effect == Effect::atMostOnce || !inWindow)
    broken(now, "duplicate", where + " ran " + std::to_string(request.runs) + " times");
}

void Books::stale(Instant now, const std::string& id, const std::string& node) {
  broken(now, "stale", id + " answered by " + node + ", which is behind what it must see");
}

void Books::close(Instant now) {
  for (const auto& [id, request] : requests_) {
    if (request.answeredAt != Instant() || request.excused || request.goneAt != Instant()) continue;
    if (now > request.deadline + kLateAnswer + heldUp_ + kSlack + slack(now))
      broken(now, "lost", id + " has no answer");
  }
}

}  // namespace gulltrestle::soak
