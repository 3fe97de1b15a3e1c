// When a router sends heartbeats to the voters. The traffic is bounded: a router with k voters sends k
// messages a second and receives k answers; a voter with n routers receives n. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "base/time.h"

namespace gulltrestle::membership {

// One router's. Used by cluster/membership_service.h.
class HeartbeatTimer {
 public:
  // FailureDetector::kTimeout is three of these and what a busy machine may add.
  static constexpr Duration kInterval = Duration::millis(1000);

  // `seed`: of the time of the first one, so that routers that start together don't send at the same time.
  HeartbeatTimer(Instant now, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    next_ = now + kInterval * std::uniform_real_distribution<double>(0, 1)(random);
  }

  // Whether one is to be sent now; true once for each. Those that were missed while this router was suspended
  // are skipped.
  bool isDue(Instant now) {
    if (now < next_) return false;
    next_ = std::max(next_ + kInterval, now + kInterval * kMinPauseFraction);
    return true;
  }
  // When the next one is due.
  Instant next() const { return next_; }

 private:
  // After one that was late the next one comes early, to keep the rate, but no sooner than this.
  static constexpr double kMinPauseFraction = 0.5;

  Instant next_;
};

}  // namespace gulltrestle::membership
