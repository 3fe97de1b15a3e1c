// Changing who the keepers are while routers run, one restart after another. Decides what a disk's keeper may
// do under a list that is not the one that it last served under. No I/O, no clock.
//
// An operator's file names the present list and all that there were before it. Each follows its predecessor:
// it is not shorter, and keeps more than half of its keepers.
//
//   this disk last served under    the file's lists are         then
//   none                           the present one alone        an installation that begins
//                                  more                         its disk counts as lost: what was voted under
//                                                               earlier lists it does not have
//   list number n                  n, and it is the same        as ever
//                                  others in place n, or fewer  refused: two lists would count at a time
//                                  more, its name in all since  it votes on, once those before are over
//                                  more, its name not in all    its disk counts as lost
//
// A list is *over* once more than half of its keepers serve under the present one, each with its disk, so
// that no claim can get its votes any more. A keeper that knows all earlier lists to be over is *settled*; it
// knows by those that greet it, or as a settled one answers. Until then it gives no vote and answers no other
// keeper's greeting, which that one's silence would begin with. So a claim under the present list meets a
// keeper that voted for the one before, or comes after its retention:
//
//   - who was a keeper in all lists since has its votes; others are silent for the time of retention, counted
//     from when the lists before were over;
//   - until that has passed only keepers of both lists vote. As lists never get shorter, more than half of
//     the present one among those shares one with more than half of any list before.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "idempotency/claim_types.h"

namespace gulltrestle::idempotency {

// Who the keepers are; which list that is, counted from 1.
struct VoterList {
  std::uint64_t version = 0;  // 0: none
  std::set<std::string> names;
  bool operator==(const VoterList&) const = default;
};

// Kind a disk holds of lists: the one that it serves under, and those before that may not be over yet.
struct VoterListHistory {
  VoterList current;
  std::vector<VoterList> previous;
  bool operator==(const VoterListHistory&) const = default;
};

// Lists that there may have been: far more than an installation sees.
constexpr std::size_t kMaxVoterLists = 64;

// All lists of a file, the present one last: what is wrong with them, for an operator; empty: nothing.
std::string faultIn(const std::vector<VoterList>& lists);

struct VoterListTransition {
  VoterListHistory lists;
  bool changed = false;      // to be made durable before this start says a word
  bool diskCounts = true;    // false: all that it may have voted before is taken as lost
  std::string rejectReason;  // why it must not start, for an operator; empty: it may
};
// `lists`: all of the file, the present one last, with no fault in them.
VoterListTransition transitionTo(const VoterListHistory& kept, const std::vector<VoterList>& lists,
                                 const std::string& keeper);

// Whether the list is over, by the keepers that are known to serve under the present one.
bool isSuperseded(const VoterList& list, const std::set<std::string>& onPresent);

}  // namespace gulltrestle::idempotency
