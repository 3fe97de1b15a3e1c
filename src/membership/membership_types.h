// The words of membership: which start of a router speaks for its name, and who hears it. Keepers write the
// numbers of starts down and listen; what one of them says of a router moves nothing by itself.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/time.h"

namespace gulltrestle::membership {

using VoterIndex = std::size_t;  // row in the list of keepers

// One start of a router's program. Its number only grows from start to start, and more than half of the
// keepers have it on disk before it speaks; it is drawn, too, so that two processes that use one name are
// told apart.
struct Incarnation {
  std::uint64_t number = 0;  // 0: none is known
  std::uint64_t draw = 0;
  bool operator==(const Incarnation&) const = default;
};

// Far beyond what any installation starts: what a keeper that tells falsely may name at most.
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 62;
// By which a start's number may be above the one that a keeper knows. No name starts so often while a keeper
// is away.
constexpr std::uint64_t kMaxIncarnationStep = 1'000'000;

enum class Liveness {
  awaited,  // not heard since this keeper started, and not for long enough to be missed
  alive,
  silent,   // it was not heard for the time of silence
  removed,  // it is not on the list any more
};

// What a router says of itself with each beat.
struct MemberProgress {
  unsigned recoveryStage = 0;  // of its return, that all its groups have reached
  // Of the work on machines: the plan that it keeps to, and the one by which nothing of it is out any more at
  // nodes that leave; versions.
  std::uint64_t planVersion = 0, drainedVersion = 0;
  bool operator==(const MemberProgress&) const = default;
};

// What one keeper says of one router, first hand. Never told on.
struct LivenessReport {
  std::string router;
  Incarnation incarnation;  // the newest that is known there
  Liveness liveness = Liveness::awaited;
  MemberProgress progress;  // by its own word
  bool operator==(const LivenessReport&) const = default;
};

// More than half.
constexpr std::size_t majorityOf(std::size_t keepers) { return keepers / 2 + 1; }

}  // namespace gulltrestle::membership
