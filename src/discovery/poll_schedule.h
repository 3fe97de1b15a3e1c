// Decisions: how discovery is called for the list. What comes first, how long an answer is waited for, and
// how long until the next call after one that failed. No I/O, no clock.
//
// Where the list is pushed, what answers stands on this machine: calls cost nothing, and a drain counts as
// told as soon as it is there. Where it is asked for one service answers all routers: those that are refused
// and call again together keep it refused for good, as a refused call is work, too.
#pragma once

#include <cstdint>
#include <random>

#include "base/time.h"

namespace gulltrestle::discovery {

class PollSchedule {
 public:
  // `drainGrace`: how long after it was told of a drain a router may still send there.
  PollSchedule(bool mustBeAsked, Duration drainGrace, std::uint64_t seed);

  // Whether a watch from the list on that is known comes first, or comes anew after one that failed and had
  // told nothing wrong; else the whole list does. Changes cost the service less.
  bool watchesAtOnce() const { return mustBeAsked_; }
  // How long nothing may be heard of a call, in which something has been heard already or not.
  Duration silence(bool watch, bool heard) const;
  // A call has been answered.
  void answered() { failed_ = 0; }
  // A call has failed: the next one comes after this.
  Duration pause();

 private:
  bool mustBeAsked_;
  double part_;  // of the times that were chosen for a grace of a second
  std::mt19937_64 chance_;
  int failed_ = 0;
};

}  // namespace gulltrestle::discovery
