#include "invariants/invariants.h"

#include <cstdio>
#include <cstdlib>
#include <numeric>
#include <utility>

namespace gulltrestle::invariants {

namespace {

// A node may be told a little more than its client has left: the protocol's slack for what travels.
constexpr Duration kDeadlineSlack = Duration::millis(150);
// A start is to be ready in ten seconds.
constexpr Duration kLongestStart = Duration::seconds(10);
// A violation that comes again and again is one line in this time.
constexpr Duration kLogPause = Duration::seconds(10);

}  // namespace

std::string_view nameOf(Check check) {
  switch (check) {
    case Check::send:
      return "send";
    case Check::repeat:
      return "repeat";
    case Check::close:
      return "close";
    case Check::start:
      return "start";
  }
  return "unknown";
}

bool Invariants::send(const Send& send, const Subject& subject) {
  if (!send.isAnswerPending)
    return broken(send.now, Check::send, "its client has its answer or left", subject);
  if (send.now >= send.sendBy) return broken(send.now, Check::send, "it is too late to send it", subject);
  if (send.now + send.timeoutSent > send.answerBy + kDeadlineSlack)
    return broken(send.now, Check::send, "the node is told more time than is left", subject);
  if (send.isNodeDraining) return broken(send.now, Check::send, "the node leaves", subject);
  return true;
}

bool Invariants::repeat(const Repeat& repeat, const Subject& subject) {
  if (repeat.firstSentAt == Instant() || repeat.effect == Effect::idempotent) return true;
  if (repeat.effect == Effect::atMostOnce)
    return broken(repeat.now, Check::repeat, "it may run only once and may have run", subject);
  if (repeat.now >= repeat.firstSentAt + repeat.window)
    return broken(repeat.now, Check::repeat, "its window is over", subject);
  return true;
}

bool Invariants::close(Instant now, bool isOwed, const Subject& subject) {
  return !isOwed || broken(now, Check::close, "the client is owed an answer", subject);
}

bool Invariants::started(Instant now, Duration after, const Subject& subject) {
  return after <= kLongestStart || broken(now, Check::start, "it took too long", subject);
}

std::uint64_t Invariants::all() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

bool Invariants::broken(Instant now, Check check, std::string_view rule, const Subject& subject) {
  const auto row = static_cast<std::size_t>(check);
  ++counts_[row];
  last_ = {check, rule, subject()};
#ifdef GULLTRESTLE_ASSERT_INVARIANTS
  std::fprintf(stderr, "invariant broken: %s: %.*s: %s\n", std::string(nameOf(check)).c_str(),
               static_cast<int>(rule.size()), rule.data(), last_.subject.c_str());
  std::abort();
#endif
  if (toldAt_[row] != Instant() && now - toldAt_[row] < kLogPause) return false;
  toldAt_[row] = now;
  if (told_) told_(last_, counts_[row]);
  return false;
}

}  // namespace gulltrestle::invariants
