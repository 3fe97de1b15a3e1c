// Schedules the heartbeats that a router sends to the voters. The traffic is bounded: with k voters a router
// sends k messages and receives k answers per second; with n routers a voter receives n messages per second.
// Does no I/O and reads no clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "base/time.h"

namespace gulltrestle::membership {

// The heartbeat schedule of one router. Used by cluster/membership_service.h.
class HeartbeatTimer {
 public:
  // FailureDetector::kTimeout is three intervals plus the delay that a busy machine may add.
  static constexpr Duration kInterval = Duration::millis(1000);

  // `seed`: randomizes the time of the first heartbeat, so that routers that start together don't send at the
  // same time.
  HeartbeatTimer(Instant now, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    next_ = now + kInterval * std::uniform_real_distribution<double>(0, 1)(random);
  }

  // Returns whether a heartbeat must be sent now; true once per heartbeat. Heartbeats missed while this
  // router was suspended are skipped.
  bool isDue(Instant now) {
    if (now < next_) return false;
    next_ = std::max(next_ + kInterval, now + kInterval * kMinIntervalFraction);
    return true;
  }
  // When the next heartbeat is due.
  Instant next() const { return next_; }

 private:
  // After a late heartbeat the next one is sent early to keep the rate, but not earlier than this fraction of
  // the interval.
  static constexpr double kMinIntervalFraction = 0.5;

  Instant next_;
};

}  // namespace gulltrestle::membership
