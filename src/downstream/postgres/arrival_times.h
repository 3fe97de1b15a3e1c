// Records when the unconsumed bytes of a connection arrived. The time that a statement waits behind others of
// its connection counts against the timeout of its client. Stores points in time, not bytes.
#pragma once

#include <cstddef>
#include <vector>

#include "base/time.h"

namespace gulltrestle::downstream::postgres {

// One instance per client.
class ArrivalTimes {
 public:
  // `size` bytes are unconsumed now, at least as many as before.
  void onReceived(std::size_t size, Instant now) {
    if (!arrivals_.empty() && size <= arrivals_.back().end) return;
    // Bounds the memory for a client that sends byte by byte. Beyond the bound, bytes count as arrived
    // together with the previous ones: slightly too early, so that the remaining time is never overestimated.
    constexpr std::size_t kMaxArrivals = 64;
    if (arrivals_.size() < kMaxArrivals)
      arrivals_.push_back({size, now});
    else
      arrivals_.back().end = size;
  }
  // Returns whether there are no unconsumed bytes.
  bool empty() const { return arrivals_.empty(); }
  // Returns when the last of the first `size` unconsumed bytes arrived.
  Instant arrivalOf(std::size_t size) const {
    for (const Arrival& arrival : arrivals_)
      if (arrival.end >= size) return arrival.at;
    return arrivals_.empty() ? Instant() : arrivals_.back().at;
  }
  // The first `size` unconsumed bytes were consumed.
  void onConsumed(std::size_t size) {
    std::erase_if(arrivals_, [&](const Arrival& arrival) { return arrival.end <= size; });
    for (Arrival& arrival : arrivals_) arrival.end -= size;
  }

 private:
  struct Arrival {
    std::size_t end = 0;  // number of unconsumed bytes that had arrived by then
    Instant at;
  };
  std::vector<Arrival> arrivals_;
};

}  // namespace gulltrestle::downstream::postgres
