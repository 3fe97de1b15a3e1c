// Types of the membership protocol, which determines the current start of each router name and the routers
// that are alive. Voters store the numbers of starts and receive heartbeats; the report of a single voter
// changes nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/time.h"

namespace gulltrestle::membership {

using VoterIndex = std::size_t;  // position in the list of voters

// Identifies one start of a router's program: a number that increases from start to start, which more than
// half of the voters must have on disk before the start is current; and a random number that distinguishes
// two processes with the same name.
struct Incarnation {
  std::uint64_t number = 0;  // 0: no start is known
  std::uint64_t draw = 0;
  bool operator==(const Incarnation&) const = default;
};

// Exclusive upper limit of incarnation numbers, far beyond the numbers of any installation.
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 62;
// Maximum difference between a start's number and the number that a voter knows. No router starts so often
// while a voter is unreachable.
constexpr std::uint64_t kMaxIncarnationStep = 1'000'000;

// Whether one voter receives messages from a router. The numeric values are part of the wire format.
enum class Liveness {
  awaited,  // no message since this voter started, and the timeout has not passed
  alive,
  silent,   // no message for FailureDetector::kTimeout
  removed,  // removed from the list of routers
};

// The progress that a router reports with each heartbeat.
struct MemberProgress {
  unsigned recoveryStage = 0;        // reached by all its groups
  std::uint64_t planVersion = 0;     // version of the maintenance plan that it follows
  std::uint64_t drainedVersion = 0;  // of the plan with no more in-flight work on its draining nodes
  bool operator==(const MemberProgress&) const = default;
};

// A new start of a router, which becomes the newest one.
struct IncarnationChange {
  std::string router;
  Incarnation incarnation;
};

// What one voter observed about one router. Never forwarded to other routers.
struct LivenessReport {
  std::string router;
  Incarnation incarnation;  // the newest start known to the voter
  Liveness liveness = Liveness::awaited;
  MemberProgress progress;  // as reported by the router
  bool operator==(const LivenessReport&) const = default;
};

// The size of a majority: more than half, so that any two majorities share a voter.
constexpr std::size_t majorityOf(std::size_t voters) { return voters / 2 + 1; }

}  // namespace gulltrestle::membership
