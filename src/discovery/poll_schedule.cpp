#include "discovery/poll_schedule.h"

#include <algorithm>

namespace gulltrestle::discovery {

namespace {

// Discovery sends an empty line every 2 s while nothing changes: after two that did not come it is silent.
constexpr Duration kSilence = Duration::millis(5000);
// Where one service is asked its first word may take that long, too, and some more. A call that is swallowed
// and the longest pause are over within the 6 s after which what it has counts as told.
constexpr Duration kFirstWord = Duration::millis(2500);
// A call for the whole list is answered at once: what has it stands on this machine. While that is down calls
// are never answered, also not once it is back, which is when its drains begin to count: with the pause below
// the next call comes well within their second. Hurts where discovery takes longer than this for a first
// byte.
constexpr Duration kAnswer = Duration::millis(400);
// Between two tries to reach discovery: a list that is so much older costs little, and no storm comes up.
constexpr Duration kPause = Duration::millis(250);
// So often it is doubled where one service is asked: 2 s, and half of that more or less by chance.
constexpr int kDoublings = 3;

}  // namespace

// The times above are for a grace of a second; where it is shorter they are, too, down to a tenth.
PollSchedule::PollSchedule(bool mustBeAsked, Duration drainGrace, std::uint64_t seed)
    : mustBeAsked_(mustBeAsked),
      part_(std::clamp(drainGrace / Duration::seconds(1), 0.1, 1.0)),
      chance_(seed) {}

Duration PollSchedule::silence(bool watch, bool heard) const {
  if (mustBeAsked_ && !heard) return kFirstWord;
  if (watch || mustBeAsked_) return kSilence;
  return heard ? kAnswer : kAnswer * part_;  // one that has begun to answer is up
}

Duration PollSchedule::pause() {
  if (!mustBeAsked_) return kPause * part_;
  const double times = std::uniform_real_distribution<>(0.5, 1.5)(chance_);
  return kPause * (times * (1 << std::min(failed_++, kDoublings)));
}

}  // namespace gulltrestle::discovery
