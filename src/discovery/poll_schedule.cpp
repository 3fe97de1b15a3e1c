#include "discovery/poll_schedule.h"

#include <algorithm>

namespace gulltrestle::discovery {

namespace {

// Discovery sends an empty line every 2 s while nothing changes. After two missing ones the call has failed.
constexpr Duration kMaxSilence = Duration::millis(5000);
// The first byte of a polled service may take as long as that 2 s interval, plus a margin. A lost call and
// the longest backoff together fit within the 6 s after which its content counts as announced.
constexpr Duration kMaxFirstByteDelay = Duration::millis(2500);
// A discovery on this machine answers a request for the whole list immediately. A call made while it is down
// is never answered, not even after it has recovered, which is when its drains start to count: with the
// backoff below, the next call is made well within their grace period of one second. Trade-off: calls fail if
// discovery takes longer than this for the first byte.
constexpr Duration kMaxAnswerDelay = Duration::millis(400);
// Base backoff between two calls: a list that is this much older costs little, and calls cannot become a
// storm.
constexpr Duration kBaseBackoff = Duration::millis(250);
// If lists are polled the backoff is doubled up to this many times: to 2 s, with jitter.
constexpr int kMaxDoublings = 3;
// Range of the random factor on the backoff.
constexpr double kMinJitter = 0.5, kMaxJitter = 1.5;
// The drain grace period that kMaxAnswerDelay and kBaseBackoff are defined for. With a shorter one they are
// reduced in proportion, down to kMinTimeFactor times their value.
constexpr Duration kReferenceGrace = Duration::seconds(1);
constexpr double kMinTimeFactor = 0.1;

}  // namespace

PollSchedule::PollSchedule(bool isPolled, Duration drainGrace, std::uint64_t seed)
    : isPolled_(isPolled),
      timeFactor_(std::clamp(drainGrace / kReferenceGrace, kMinTimeFactor, 1.0)),
      random_(seed) {}

Duration PollSchedule::idleTimeout(bool isWatch, bool hasReceived) const {
  if (isPolled_ && !hasReceived) return kMaxFirstByteDelay;
  if (isWatch || isPolled_) return kMaxSilence;
  // A discovery that has started to answer is up.
  return hasReceived ? kMaxAnswerDelay : kMaxAnswerDelay * timeFactor_;
}

Duration PollSchedule::nextBackoff() {
  if (!isPolled_) return kBaseBackoff * timeFactor_;
  const double jitter = std::uniform_real_distribution<>(kMinJitter, kMaxJitter)(random_);
  const int doublings = std::min(failedCalls_, kMaxDoublings);
  ++failedCalls_;
  return kBaseBackoff * (jitter * (1 << doublings));
}

}  // namespace gulltrestle::discovery
