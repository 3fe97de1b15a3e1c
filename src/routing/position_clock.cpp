#include "routing/position_clock.h"

#include <algorithm>

namespace gulltrestle::routing {

namespace {

// Smaller differences are due to the rounding of positions and show no step.
constexpr Duration kReadingPrecision = Duration::millis(10);
// Larger differences count only if a second report confirms them.
constexpr Duration kMaxUnconfirmedStep = Duration::seconds(1);

}  // namespace

bool PositionClock::recordPosition(Instant position, Instant now, bool isPresent) {
  const Duration minOffset = position - now;
  if (minOffset <= offset_ + kReadingPrecision) return true;
  const bool isLargeStep = minOffset > offset_ + kMaxUnconfirmedStep;
  if (isLargeStep && !(isPresent && isConfirmed(minOffset))) return false;
  offset_ = minOffset;
  return true;
}

// A clock behind the router's is ignored: reads then require later data than necessary, where positions that
// are merely late would make old data look fresh.
bool PositionClock::recordCommit(Instant position, Instant sentAt) {
  const Duration maxOffset = std::max(position - sentAt, Duration());
  const bool isLargeStepBack = maxOffset + kMaxUnconfirmedStep < offset_;
  if (isLargeStepBack && !isConfirmed(maxOffset)) return false;
  const bool isAsExpected = !isLargeStepBack && maxOffset <= offset_ + kMaxUnconfirmedStep;
  if (isAsExpected) unconfirmedOffset_.reset();
  // A smaller difference is due to a report that was handled late: the router stood still after it had read
  // its own clock, so that the position looked like a later one.
  offset_ = std::min(offset_, maxOffset);
  return isLargeStepBack;
}

bool PositionClock::isConfirmed(Duration offset) {
  const bool isNearLast = unconfirmedOffset_ && offset <= *unconfirmedOffset_ + kMaxUnconfirmedStep &&
                          *unconfirmedOffset_ <= offset + kMaxUnconfirmedStep;
  unconfirmedOffset_ = isNearLast ? std::nullopt : std::optional(offset);
  return isNearLast;
}

}  // namespace gulltrestle::routing
