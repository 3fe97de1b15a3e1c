// Combines the due times of a router's components into the due time of its next turn.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace gulltrestle::cluster {

// Returns the earlier of two due times. Instant() means that nothing is due.
constexpr Instant earlierDue(Instant a, Instant b) {
  if (a == Instant()) return b;
  return b == Instant() ? a : std::min(a, b);
}

}  // namespace gulltrestle::cluster
