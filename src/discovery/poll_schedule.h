// When discovery is called for the endpoint list: what is requested first, how long an answer is awaited, and
// how long until the next call after a failed one. No I/O, no clock.
//
// Where lists are pushed, discovery runs on this machine: calls are cheap, and a drain counts as announced as
// soon as it is there. Where they are polled, one service answers all routers: if those that are rejected
// call again together, they keep it overloaded for good, as a rejected call is work, too.
#pragma once

#include <cstdint>
#include <random>

#include "base/time.h"

namespace gulltrestle::discovery {

// One per connection to discovery.
class PollSchedule {
 public:
  // `isPolled`: lists are polled from a service; else they are pushed. `drainGrace`: how long after the
  // announcement of a drain a router may still send to the node. `seed`: of the backoff's jitter.
  PollSchedule(bool isPolled, Duration drainGrace, std::uint64_t seed);

  // Whether a watch that starts from the known list comes first, and again after one that failed without
  // invalid content; else the whole list does. Changes cost the service less.
  bool watchesAtOnce() const { return isPolled_; }
  // How long a call may be silent. `hasReceived`: something of its answer has come already.
  Duration silence(bool isWatch, bool hasReceived) const;
  // A call was answered: ends the backoff.
  void answered() { failedCalls_ = 0; }
  // A call has failed. Returns the time until the next one; where lists are polled it draws one random
  // number.
  Duration pause();

 private:
  bool isPolled_;
  double timeFactor_;  // on times that are chosen for a grace period of a second
  std::mt19937_64 random_;
  int failedCalls_ = 0;  // since the last that was answered
};

}  // namespace gulltrestle::discovery
