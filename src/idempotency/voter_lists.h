// Changes of the voter list while routers run, one router restart after another. Decides what a voter may do
// when its disk was last used under a different list. Does no I/O and reads no clock.
//
// The operator's file names the current list and all previous ones. Each list must be at least as long as its
// predecessor and must keep more than half of its voters.
//
//   list last used on  lists in the
//   this disk          operator's file             result
//   none               the current one only        new installation
//                      several                     the disk counts as lost: it lacks the votes granted
//                                                  under earlier lists
//   list number n      n lists, list n unchanged   nothing changes
//                      another list n, or fewer    rejected: two lists would be in force at the same time
//                      more, voter in all since n  it votes again once the earlier lists are superseded
//                      more, voter not in all      the disk counts as lost
//
// A list is *superseded* once more than half of its voters serve under the current list, each with its own
// disk, so that no claim can get a majority of the votes of the old list any more. A voter learns this from
// the voters that greet it, or from the reply of a voter that knows all earlier lists to be superseded. Until
// then it grants no vote and replies to no greeting, because a reply would start the greeter's abstention
// period. A claim under the current list therefore either reaches a voter that voted on the same id under the
// previous list, or is made after the retention time of that vote:
//
//   - A voter that is in all lists since then has its votes. Other voters abstain for the retention time,
//     counted from when the earlier lists were superseded.
//   - Until that time has passed only members of both lists vote. As lists never get shorter, a majority of
//     the current list among those members shares a voter with any majority of an earlier list.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "idempotency/claim_types.h"

namespace gulltrestle::idempotency {

// A list of voters and its version, counted from 1.
struct VoterList {
  std::uint64_t version = 0;  // 0: no list
  std::set<std::string> names;
  bool operator==(const VoterList&) const = default;
};

// The lists stored on a disk: the list that its voter serves under, and previous lists that may not be
// superseded yet.
struct VoterListHistory {
  VoterList current;
  std::vector<VoterList> previous;
  bool operator==(const VoterListHistory&) const = default;
};

// Maximum number of lists in a file, far more than an installation has in its lifetime.
constexpr std::size_t kMaxVoterLists = 64;

// Validates the lists of a file, the current one last. Returns an error text for the operator, or nullopt if
// the lists are valid.
[[nodiscard]] std::optional<std::string> validateVoterLists(const std::vector<VoterList>& lists);

// The change from the lists stored on a disk to the lists of an operator's file.
struct VoterListTransition {
  VoterListHistory lists;
  bool hasChanged = false;    // `lists` must be durable before this start sends anything
  bool isDiskTrusted = true;  // false: all votes it may have granted before count as lost
};
// The voter must not start under the configured lists.
struct VoterListRejection {
  std::string reason;  // shown to the operator
};
// Computes the transition of the voter with this name. `lists`: all lists of the file, the current one last;
// validateVoterLists() must have found no error in them.
[[nodiscard]] std::variant<VoterListTransition, VoterListRejection> transitionTo(
    const VoterListHistory& stored, const std::vector<VoterList>& lists, const std::string& voter);

// Returns whether the list is superseded, given the voters known to serve under the current list.
[[nodiscard]] bool isSuperseded(const VoterList& list, const std::set<std::string>& votersOnCurrentList);

}  // namespace gulltrestle::idempotency
