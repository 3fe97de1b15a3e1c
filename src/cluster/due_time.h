// When a router's turn is due next, from when each of its parts is.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace gulltrestle::cluster {

// The earlier of two due times. Never stands for a part of which nothing is due.
constexpr Instant earlierDue(Instant a, Instant b) {
  if (a == Instant()) return b;
  return b == Instant() ? a : std::min(a, b);
}

}  // namespace gulltrestle::cluster
