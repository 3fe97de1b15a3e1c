// Combines the due times of components into the due time of the next turn.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace gulltrestle {

// Returns the earlier of two due times. Instant() means that nothing is due.
constexpr Instant earlierDue(Instant a, Instant b) {
  if (a == Instant()) return b;
  return b == Instant() ? a : std::min(a, b);
}

}  // namespace gulltrestle
