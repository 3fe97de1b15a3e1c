// The schedule of calls to discovery for the endpoint list: whether a watch or the whole list is requested
// first, the timeout of a call, and the backoff after a failed one. No I/O, no clock.
//
// If lists are pushed, discovery runs on this machine: calls are cheap, and a drain counts as announced as
// soon as discovery has it. If lists are polled, one service answers all routers: rejected calls cost it work
// as well, so routers that retry at the same time after a rejection would keep it overloaded permanently.
#pragma once

#include <cstdint>
#include <random>

#include "base/time.h"

namespace gulltrestle::discovery {

// The schedule of one connection to discovery.
class PollSchedule {
 public:
  // `isPolled`: lists are polled from a service, else they are pushed. `drainGrace`: the time after the
  // announcement of a drain during which a router may still send to the node. `seed`: for the jitter of the
  // backoff.
  PollSchedule(bool isPolled, Duration drainGrace, std::uint64_t seed);

  // Whether to start with a watch from the known list, and to retry one that failed without invalid content
  // with another watch, rather than request the whole list. Changes cost the service less than whole lists.
  bool startsWithWatch() const { return isPolled_; }
  // The maximum time without data from a call. `hasReceived`: part of the answer has been received.
  Duration idleTimeout(bool isWatch, bool hasReceived) const;
  // Resets the backoff after a call that was answered.
  void resetBackoff() { failedCalls_ = 0; }
  // Records a failed call and returns the time until the next one. If lists are polled it draws one random
  // number.
  Duration nextBackoff();

 private:
  bool isPolled_;
  double timeFactor_;  // scales times that are defined for a grace period of one second
  std::mt19937_64 random_;
  int failedCalls_ = 0;  // since the last answered call
};

}  // namespace gulltrestle::discovery
