// When a router sends a heartbeat to the voters: bounded traffic, whatever the fleet's size. A router with k
// voters sends k messages a second and gets k answers; a voter with n routers receives n. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "base/time.h"

namespace gulltrestle::membership {

// One router's. Used by cluster/membership.h.
class HeartbeatTimer {
 public:
  // FailureDetector::kTimeout is three of these and what a busy machine may add.
  static constexpr Duration kInterval = Duration::millis(1000);

  // The first comes at a moment that is drawn: routers that start together don't send in step.
  HeartbeatTimer(Instant now, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    next_ = now + kInterval * std::uniform_real_distribution<double>(0, 1)(random);
  }

  // Once for each that is due; those that this router slept through are left out.
  bool isDue(Instant now) {
    if (now < next_) return false;
    next_ = std::max(next_ + kInterval, now + kInterval * kMinPauseFraction);
    return true;
  }
  Instant next() const { return next_; }

 private:
  // After one that was late the next comes early, so that the rate stays, but not at once.
  static constexpr double kMinPauseFraction = 0.5;

  Instant next_;
};

}  // namespace gulltrestle::membership
