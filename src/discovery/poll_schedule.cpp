#include "discovery/poll_schedule.h"

#include <algorithm>

namespace gulltrestle::discovery {

namespace {

// Discovery sends an empty line every 2 s while nothing changes: after two that did not come it is silent.
constexpr Duration kMaxSilence = Duration::millis(5000);
// A polled service's first byte may take as long as that interval, and some more. A call that is lost and the
// longest pause are over within the 6 s after which its content counts as announced.
constexpr Duration kMaxFirstByteDelay = Duration::millis(2500);
// A request for the whole list is answered at once by a discovery on this machine. While that is down calls
// are never answered, also not once it is back, which is when its drains start to count: with the pause below
// the next call comes well within their second. Hurts where discovery takes longer than this for a first
// byte.
constexpr Duration kMaxAnswerDelay = Duration::millis(400);
// Between two calls: a list that is so much older costs little, and no storm arises.
constexpr Duration kPause = Duration::millis(250);
// Where lists are polled the pause is doubled this many times: to 2 s, with jitter.
constexpr int kMaxDoublings = 3;
// The jitter's factors on a pause.
constexpr double kMinJitter = 0.5, kMaxJitter = 1.5;
// The grace period that the times above are chosen for; with a shorter one they are shorter in proportion,
// down to the factor.
constexpr Duration kReferenceGrace = Duration::seconds(1);
constexpr double kMinTimeFactor = 0.1;

}  // namespace

PollSchedule::PollSchedule(bool isPolled, Duration drainGrace, std::uint64_t seed)
    : isPolled_(isPolled),
      timeFactor_(std::clamp(drainGrace / kReferenceGrace, kMinTimeFactor, 1.0)),
      random_(seed) {}

Duration PollSchedule::silence(bool isWatch, bool hasReceived) const {
  if (isPolled_ && !hasReceived) return kMaxFirstByteDelay;
  if (isWatch || isPolled_) return kMaxSilence;
  // One that has started to answer is up.
  return hasReceived ? kMaxAnswerDelay : kMaxAnswerDelay * timeFactor_;
}

Duration PollSchedule::pause() {
  if (!isPolled_) return kPause * timeFactor_;
  const double jitter = std::uniform_real_distribution<>(kMinJitter, kMaxJitter)(random_);
  const int doublings = std::min(failedCalls_, kMaxDoublings);
  ++failedCalls_;
  return kPause * (jitter * (1 << doublings));
}

}  // namespace gulltrestle::discovery
