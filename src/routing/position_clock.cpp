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

bool PositionClock::recordCommit(Instant position, Instant sentAt) {
  const Duration maxOffset = std::max(position - sentAt, Duration());
  // Smaller steps back, and those behind the router's clock, are ignored: reads then require later data than
  // necessary, where positions that are merely late would make old data look fresh.
  const bool isSetBack = maxOffset + kMaxUnconfirmedStep < offset_;
  const bool isAsExpected = !isSetBack && maxOffset <= offset_ + kMaxUnconfirmedStep;
  if (isAsExpected) unconfirmedOffset_.reset();
  if (!isSetBack || !isConfirmed(maxOffset)) return false;
  offset_ = maxOffset;
  return true;
}

bool PositionClock::isConfirmed(Duration offset) {
  const bool isNearLast = unconfirmedOffset_ && offset <= *unconfirmedOffset_ + kMaxUnconfirmedStep &&
                          *unconfirmedOffset_ <= offset + kMaxUnconfirmedStep;
  unconfirmedOffset_ = isNearLast ? std::nullopt : std::optional(offset);
  return isNearLast;
}

}  // namespace gulltrestle::routing
