// The words of membership: which start of a router speaks for its name, and who hears it. Keepers write the
// numbers of starts down and listen; what one of them says of a router moves nothing by itself.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/time.h"

namespace gulltrestle::membership {

using KeeperNumber = std::size_t;  // row in the list of keepers

// One start of a router's program. Its number only grows from start to start, and more than half of the
// keepers have it on disk before it speaks; it is drawn, too, so that two processes that use one name are
// told apart.
struct Incarnation {
  std::uint64_t number = 0;  // 0: none is known
  std::uint64_t draw = 0;
  bool operator==(const Incarnation&) const = default;
};

// Far beyond what any installation starts: what a keeper that tells falsely may name at most.
constexpr std::uint64_t kMostNumber = std::uint64_t{1} << 62;
// By which a start's number may be above the one that a keeper knows. No name starts so often while a keeper
// is away.
constexpr std::uint64_t kLeap = 1'000'000;

enum class Hearing {
  awaited,  // not heard since this keeper started, and not for long enough to be missed
  heard,
  silent,  // it was not heard for the time of silence
  left,    // it is not on the list any more
};

// What a router says of itself with each beat.
struct Progress {
  unsigned stage = 0;  // of its return, that all its groups have reached
  // Of the work on machines: the plan that it keeps to, and the one by which nothing of it is out any more at
  // nodes that leave; versions.
  std::uint64_t known = 0, clear = 0;
  bool operator==(const Progress&) const = default;
};

// What one keeper says of one router, first hand. Never told on.
struct Report {
  std::string router;
  Incarnation incarnation;  // the newest that is known there
  Hearing hearing = Hearing::awaited;
  Progress progress;  // by its own word
  bool operator==(const Report&) const = default;
};

// More than half.
constexpr std::size_t majorityOf(std::size_t keepers) { return keepers / 2 + 1; }

}  // namespace gulltrestle::membership
