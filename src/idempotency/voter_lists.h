// Changing who the voters are while routers run, one restart after another. Decides what a disk's voter may
// do under a list that is not the one that it last served under. No I/O, no clock.
//
// An operator's file names the present list and all that there were before it. Each follows its predecessor:
// it is not shorter, and keeps more than half of its voters.
//
//   this disk last served under    the file's lists are         then
//   none                           the present one alone        an installation that begins
//                                  more                         its disk counts as lost: what was voted under
//                                                               earlier lists it does not have
//   list number n                  n, and it is the same        nothing changes
//                                  others in place n, or fewer  rejected: two lists would count at a time
//                                  more, its name in all since  it votes on, once earlier ones are superseded
//                                  more, its name not in all    its disk counts as lost
//
// A list is *superseded* once more than half of its voters serve under the present one, each with its disk,
// so that no claim can get its votes any more. A voter learns that by those that greet it, or as one that
// knows all earlier lists to be superseded answers. Until then it gives no vote and answers no other voter's
// greeting, after which that one would begin to abstain. So a claim under the present list meets a voter that
// voted for the one before, or comes after its retention:
//
//   - who was a voter in all lists since has its votes; others abstain for the time of retention, counted
//     from when the earlier lists were superseded;
//   - until that has passed only members of both lists vote. As lists never get shorter, more than half of
//     the present one among those shares one with more than half of any earlier list.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "idempotency/claim_types.h"

namespace gulltrestle::idempotency {

// Who the voters are; which list that is, counted from 1.
struct VoterList {
  std::uint64_t version = 0;  // 0: none
  std::set<std::string> names;
  bool operator==(const VoterList&) const = default;
};

// What a disk holds of lists: the one that it serves under, and earlier ones that may not be superseded yet.
struct VoterListHistory {
  VoterList current;
  std::vector<VoterList> previous;
  bool operator==(const VoterListHistory&) const = default;
};

// Lists that there may have been: far more than an installation sees.
constexpr std::size_t kMaxVoterLists = 64;

// All lists of a file, the present one last: what is wrong with them, for an operator; empty: nothing.
[[nodiscard]] std::string faultIn(const std::vector<VoterList>& lists);

// From what a disk holds to the lists of an operator's file.
struct VoterListTransition {
  VoterListHistory lists;
  bool changed = false;      // to be made durable before this start sends anything
  bool diskCounts = true;    // false: all that it may have voted before is taken as lost
  std::string rejectReason;  // why it must not start, for an operator; empty: it may
};
// `lists`: all of the file, the present one last, with no fault in them. For the voter of that name.
[[nodiscard]] VoterListTransition transitionTo(const VoterListHistory& stored,
                                               const std::vector<VoterList>& lists, const std::string& voter);

// Whether the list is superseded, by the voters that are known to serve under the present one.
[[nodiscard]] bool isSuperseded(const VoterList& list, const std::set<std::string>& onPresentList);

}  // namespace gulltrestle::idempotency
