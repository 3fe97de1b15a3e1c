// Membership: which start of a router speaks for its name, and which routers are alive. Voters store the
// numbers of starts and receive heartbeats; what a single one of them reports of a router changes nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/time.h"

namespace gulltrestle::membership {

using VoterIndex = std::size_t;  // row in the list of voters

// One start of a router's program. Its number only grows from start to start, and more than half of the
// voters have it on disk before it speaks; it is drawn, too, so that two processes that use one name are
// told apart.
struct Incarnation {
  std::uint64_t number = 0;  // 0: none is known
  std::uint64_t draw = 0;
  bool operator==(const Incarnation&) const = default;
};

// Far beyond what any installation starts: what a voter that answers falsely may name at most.
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 62;
// By which a start's number may be above the one that a voter knows. No name starts so often while a voter
// is away.
constexpr std::uint64_t kMaxIncarnationStep = 1'000'000;

// Whether one voter hears a router. Sent to others as these numbers.
enum class Liveness {
  awaited,  // not heard since this voter started, and not for long enough to be missed
  alive,
  silent,   // not heard for FailureDetector::kTimeout
  removed,  // it is not on the list any more
};

// What a router says of itself with each heartbeat.
struct MemberProgress {
  unsigned recoveryStage = 0;  // of its return, that all its groups have reached
  // Versions of the plan of maintenance: the one that it follows, and the one by whose draining nodes nothing
  // of it is in flight any more.
  std::uint64_t planVersion = 0, drainedVersion = 0;
  bool operator==(const MemberProgress&) const = default;
};

// A router's start that has come to be the newest.
struct IncarnationChange {
  std::string router;
  Incarnation incarnation;
};

// What one voter knows of one router, first hand. Never forwarded.
struct LivenessReport {
  std::string router;
  Incarnation incarnation;  // the newest that is known there
  Liveness liveness = Liveness::awaited;
  MemberProgress progress;  // as it reported it
  bool operator==(const LivenessReport&) const = default;
};

// More than half.
constexpr std::size_t majorityOf(std::size_t voters) { return voters / 2 + 1; }

}  // namespace gulltrestle::membership
