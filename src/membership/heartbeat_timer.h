// When a router says something to its keepers though it has nothing to say: bounded talk, the same at any
// size. A router with k keepers says k words a second and gets k answers; a keeper with n routers hears n.
// No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "base/time.h"

namespace gulltrestle::membership {

class HeartbeatTimer {
 public:
  // FailureDetector::kSilence is three of these and what a busy machine may add.
  static constexpr Duration kInterval = Duration::millis(1000);

  // The first comes at a moment that is drawn: routers that start together don't beat in step.
  HeartbeatTimer(Instant now, std::uint64_t seed) {
    std::mt19937_64 chance(seed);
    next_ = now + kInterval * std::uniform_real_distribution<double>(0, 1)(chance);
  }

  // Once for each that is due; those that this router slept through are left out.
  bool isDue(Instant now) {
    if (now < next_) return false;
    next_ = std::max(next_ + kInterval, now + kInterval * 0.5);
    return true;
  }
  Instant next() const { return next_; }

 private:
  Instant next_;
};

}  // namespace gulltrestle::membership
