// Membership: which start of a router is the current one for its name, and which routers are alive. Voters
// store the numbers of starts and receive heartbeats; the report of a single voter changes nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/time.h"

namespace gulltrestle::membership {

using VoterIndex = std::size_t;  // position in the list of voters

// One start of a router's program: a number that only grows from start to start, and that more than half of
// the voters have on disk before the start is the current one; and a random draw that tells apart two
// processes of one name.
struct Incarnation {
  std::uint64_t number = 0;  // 0: none is known
  std::uint64_t draw = 0;
  bool operator==(const Incarnation&) const = default;
};

// The highest number that a voter may name, far beyond those of any installation.
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 62;
// How far a start's number may be above the one that a voter knows. No router starts so often while a voter
// is away.
constexpr std::uint64_t kMaxIncarnationStep = 1'000'000;

// Whether one voter receives messages from a router. On the wire as these numbers.
enum class Liveness {
  awaited,  // none since this voter started, and the timeout has not passed
  alive,
  silent,   // none for FailureDetector::kTimeout
  removed,  // from the list of routers
};

// What a router reports of itself with each heartbeat.
struct MemberProgress {
  unsigned recoveryStage = 0;        // that all its groups have reached
  std::uint64_t planVersion = 0;     // of the maintenance plan that it follows
  std::uint64_t drainedVersion = 0;  // of the plan on whose draining nodes it has nothing in flight any more
  bool operator==(const MemberProgress&) const = default;
};

// A new start of a router, which is the newest now.
struct IncarnationChange {
  std::string router;
  Incarnation incarnation;
};

// What one voter knows of one router by itself. Never forwarded.
struct LivenessReport {
  std::string router;
  Incarnation incarnation;  // the newest that is known there
  Liveness liveness = Liveness::awaited;
  MemberProgress progress;  // as the router reported it
  bool operator==(const LivenessReport&) const = default;
};

// More than half: any two majorities share a voter.
constexpr std::size_t majorityOf(std::size_t voters) { return voters / 2 + 1; }

}  // namespace gulltrestle::membership
