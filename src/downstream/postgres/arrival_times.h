// When bytes that wait to be consumed arrived: a statement that waited behind others of its connection has
// used that part of its client's time. Stores points in time, no bytes.
#pragma once

#include <cstddef>
#include <vector>

#include "base/time.h"

namespace gulltrestle::downstream::postgres {

// One per client.
class ArrivalTimes {
 public:
  // `size` bytes wait now, more than before or as many.
  void onReceived(std::size_t size, Instant now) {
    if (!arrivals_.empty() && size <= arrivals_.back().end) return;
    // Bounds what a client that sends byte by byte can make this store. Beyond that, bytes count as arrived
    // with those before them: a little early, so that no more time is assumed than there is.
    constexpr std::size_t kMaxArrivals = 64;
    if (arrivals_.size() < kMaxArrivals)
      arrivals_.push_back({size, now});
    else
      arrivals_.back().end = size;
  }
  // When the first `size` waiting bytes had all arrived.
  Instant arrivalOf(std::size_t size) const {
    for (const Arrival& arrival : arrivals_)
      if (arrival.end >= size) return arrival.at;
    return arrivals_.empty() ? Instant() : arrivals_.back().at;
  }
  // The first `size` waiting bytes were consumed.
  void onConsumed(std::size_t size) {
    std::erase_if(arrivals_, [&](const Arrival& arrival) { return arrival.end <= size; });
    for (Arrival& arrival : arrivals_) arrival.end -= size;
  }

 private:
  struct Arrival {
    std::size_t end = 0;  // of the waiting bytes that had arrived
    Instant at;
  };
  std::vector<Arrival> arrivals_;
};

}  // namespace gulltrestle::downstream::postgres
