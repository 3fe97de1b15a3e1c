// The clock by which the nodes of a group date their positions. A position is the Unix time of a commit, read
// from the wall clock of a node, which may be stepped at any time. The router's own time is monotonic, so
// that the two may differ. This module determines the difference from what nodes report:
//
//   evidence                                  | what it shows of the clock
//   a node reports a position                 | it has reached that reading by now
//   a write that was sent at t is committed   | its commit is dated by a reading between t and now
#pragma once

#include <optional>

#include "base/time.h"

namespace gulltrestle::routing {

// Converts between the router's time and the readings of the clock of one group. Until a step is noticed,
// both are equal, and the clock is never taken to be behind the router's.
class PositionClock {
 public:
  // The reading at a time of the router's clock.
  Instant readingAt(Instant time) const { return time + offset_; }
  // The time of the router's clock at which the clock shows this reading.
  Instant timeOf(Instant reading) const { return reading - offset_; }

  // Records that a node has reported the position by `now`. `isPresent`: it was the present when the node
  // reported it, as the position of a primary is. Returns false if the position is too far ahead to be
  // trusted.
  bool recordPosition(Instant position, Instant now, bool isPresent);

  // Records that a write that was sent at `sentAt` was committed at `position`. Returns whether the clock has
  // been set back: positions that were reported earlier must then be forgotten, as it has repeated readings
  // since.
  bool recordCommit(Instant position, Instant sentAt);

 private:
  bool isConfirmed(Duration offset);

  Duration offset_;  // reading minus the router's time
  // A large step that one report has shown, and none has confirmed: the report may be faulty.
  std::optional<Duration> unconfirmedOffset_;
};

}  // namespace gulltrestle::routing
