// Changing the list of voters while routers run, one restart after another. Decides what a voter may do when
// its disk was last used under another list. No I/O, no clock.
//
// An operator's file names the present list and all that there were before it. Each follows its predecessor:
// it is not shorter, and keeps more than half of its voters.
//
//   this disk last served under    the file's lists are         then
//   none                           the present one alone        an installation that begins
//                                  more                         its disk counts as lost: what was voted under
//                                                               earlier lists it does not have
//   list number n                  n, and it is the same        nothing changes
//                                  another list n, or fewer     rejected: two lists would count at a time
//                                  more, its name in all since  it votes on, once earlier ones are superseded
//                                  more, its name not in all    its disk counts as lost
//
// A list is *superseded* once more than half of its voters serve under the present one, each with its disk,
// so that no claim can get a majority of its votes any more. A voter learns that from the voters that greet
// it, or from the reply of one that knows all earlier lists to be superseded. Until then it grants no vote
// and replies to no greeting, as the reply would start the greeter's time of abstention. So a claim under the
// present list reaches a voter that voted on the same id under the one before, or comes after its retention:
//
//   - a voter that is in all lists since has its votes; others abstain for the time of retention, counted
//     from when the earlier lists were superseded;
//   - until that has passed only members of both lists vote. As lists never get shorter, a majority of the
//     present one among those shares a voter with a majority of any earlier list.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "idempotency/claim_types.h"

namespace gulltrestle::idempotency {

// A list of the voters, and its version, counted from 1.
struct VoterList {
  std::uint64_t version = 0;  // 0: none
  std::set<std::string> names;
  bool operator==(const VoterList&) const = default;
};

// The lists on a disk: the one that its voter serves under, and earlier ones that may not be superseded yet.
struct VoterListHistory {
  VoterList current;
  std::vector<VoterList> previous;
  bool operator==(const VoterListHistory&) const = default;
};

// Lists that a file may name: far more than an installation has in its lifetime.
constexpr std::size_t kMaxVoterLists = 64;

// What is wrong with the lists of a file, the present one last, for an operator; none: nothing.
[[nodiscard]] std::optional<std::string> faultIn(const std::vector<VoterList>& lists);

// From what a disk holds to the lists of an operator's file.
struct VoterListTransition {
  VoterListHistory lists;
  bool hasChanged = false;    // `lists` has to be durable before this start sends anything
  bool isDiskTrusted = true;  // false: all that it may have voted before is taken as lost
};
// The voter must not start under these lists.
struct VoterListRejection {
  std::string reason;  // for an operator
};
// For the voter of that name. `lists`: all of the file, the present one last, for which faultIn() has none.
[[nodiscard]] std::variant<VoterListTransition, VoterListRejection> transitionTo(
    const VoterListHistory& stored, const std::vector<VoterList>& lists, const std::string& voter);

// Whether the list is superseded, by the voters that are known to serve under the present one.
[[nodiscard]] bool isSuperseded(const VoterList& list, const std::set<std::string>& onPresentList);

}  // namespace gulltrestle::idempotency
