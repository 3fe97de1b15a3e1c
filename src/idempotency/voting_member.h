// A keeper's decisions: which claim of an id has its vote. No I/O, no clock; what must be durable before it
// is told is handed to whoever writes, who says when it is.
//
//   state     what it is                                 gives votes  goes to
//   moving    its list of keepers has changed, and the   no           unheard: they are over
//             lists before may not be over
//             (idempotency/voter_lists.h)
//   unheard   it has started, and does not know whether  no           votes, or silent: more than half of the
//             its disk is the one it last had                         keepers, itself counted, have told the
//                                                                     newest start of it that they knew of;
//                                                                     it is silent if its disk knows none
//                                                                     such
//   silent    votes that it gave may be lost: its disk   no           votes: after the time of retention,
//   when
//             is new, or older than what others know                  none of those votes counts any more
//   votes     it knows all votes that it gave            yes
//
// A vote for an id, by what is held of it:
//
//   nothing          the claim gets the vote, once it is durable
//   the same claim   the vote once more, once it is durable
//   another claim    taken, and committed where that is known
//
// Guards against a router whose disk is lost, swapped or restored voting a second time for an id that it no
// longer knows. Hurts for the time of retention after that: one keeper fewer; and after a loss of more than
// half of the disks at once all once-only txns are refused for so long. Kind it can't notice: an old copy of
// the disk put back, while those that were told of its newest start are all among the few that it does not
// hear (of three keepers, one of the two others was away during all of that start; it takes two of four, of
// five); and a copy that was made during the newest start itself. Operators are told to remove a disk's file,
// not to put an old one back: a file that is missing is always noticed.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "idempotency/claim_types.h"
#include "idempotency/voter_lists.h"

namespace gulltrestle::idempotency {

struct VotingMemberLimits {
  // How long a vote counts, by the keeper's own running clock and anew from each start, as no clock of the
  // day can be trusted over a power loss. Longer than any txn or client's repeat can take.
  Duration retention = Duration::millis(600'000);
  std::size_t maxClaims = 1'000'000;  // ids that are held; beyond that no vote is given
  std::size_t maxValueBytes = 4096;
  std::size_t maxPendingWrites = 100'000;  // votes that wait for a slow disk; no further is given meanwhile
};

// Kind a disk held when the keeper started.
struct StoredState {
  std::vector<VoterIncarnation>
      own;                     // the starts that this disk has seen, the present one last, durable there
  std::uint64_t newSince = 0;  // starts below this number were another disk's, and count no more
  bool isComplete = false;     // all votes it ever gave that still count are among the entries
  std::vector<ClaimRecord> entries;
  std::map<std::string, VoterIncarnation> starts;  // of other keepers, the newest that were told
  std::map<std::string, std::pair<std::uint64_t, bool>>
      nodes;  // by which version of a list each leaves or stays
  std::map<std::uint64_t, std::pair<std::string, std::uint64_t>>
      primaries;  // of each group, and the newest version of a list when it was one
  std::map<std::string, VoterIncarnation>
      members;  // the newest start of each router, by the number that it speaks by
  VoterListHistory lists;
  std::string maintenance;  // maintenance/acceptor.h
};

class VotingMember {
 public:
  enum class State { changingLists, verifyingDisk, abstaining, voting };

  // `name`: of this keeper, which is on kept.lists.now.
  VotingMember(Instant now, const std::string& name, VotingMemberLimits bounds, StoredState kept);

  State state() const { return state_; }
  const VoterIncarnation& start() const { return own_.back(); }
  std::size_t size() const { return entries_.size(); }
  // Whom it has not heard, while it is moving or unheard.
  std::vector<std::string> unverifiedVoters() const;

  // --- Among keepers

  // Another keeper has this start, and serves under the same list. Returns the newest that was known before,
  // which is to be told back once all changes up to here are durable; none: it can't be told back yet, as
  // this one is moving.
  std::optional<VoterIncarnation> onGreeting(const std::string& keeper, const VoterIncarnation& start);
  // Another keeper's answer to our greeting with the start of number `ours`. True: our start's number has
  // grown, and is to be told to all anew once it is durable.
  bool onGreetingReply(Instant now, const std::string& keeper, std::uint64_t ours,
                       const VoterIncarnation& knewOfUs);

  // --- Claims

  // None: it is told by written().
  std::optional<Vote> onClaim(Instant now, const std::string& id, const ClaimToken& token);
  // To be called once for each claim that got no vote at once: its entry is durable, or can't be made so.
  // None: that vote is not wanted any more.
  std::optional<Vote> onWritten(const std::string& id, const ClaimToken& token, bool durable);
  void onCommitted(Instant now, const std::string& id, const ClaimToken& token, std::string value);
  // The claim's txn surely never ran: its id is free again.
  void onReleased(const std::string& id, const ClaimToken& token);

  // Kind has come due. Returns when there is more; never: nothing is.
  Instant runTimers(Instant now);

  // --- Kind is to be made durable, in this order, since it was last asked.

  struct DiskChange {
    // node, primary, member, work: no matter of the keeper's, kept on the same disk: which nodes leave, who
    // was primary, which start of a router speaks, what it holds of the plan of work.
    enum class Kind { put, drop, start, voting, node, primary, member, lists, work } kind = Kind::put;
    std::string id = {};     // drop; start: the keeper's name, empty for this one's own; work: all of it;
                             // others: its own
    ClaimRecord entry = {};  // put
    VoterIncarnation start = {};  // start; voting: newSince is its number; node: the list's version is its
                                  // number, 0: it is forgotten; primary: the list's version; member: it
    bool isComplete = false;      // voting; node: it leaves
    std::uint64_t group = 0;      // primary
    VoterListHistory lists = {};  // lists
  };
  std::vector<DiskChange> takeChanges() { return std::exchange(changes_, {}); }

 private:
  struct HeldClaim {
    ClaimRecord entry;
    bool durable = false;
  };
  void put(const ClaimRecord& entry);
  void remember(Instant now, const std::string& id);
  void settle(bool answered);
  void begin(Instant now);
  Vote taken(const ClaimRecord& entry) const {
    return {Vote::Kind::takenByOther, entry.committed, entry.value};
  }

  VotingMemberLimits bounds_;
  State state_ = State::changingLists;
  bool whole_;
  std::string name_;
  VoterListHistory lists_;
  std::set<std::string> moved_;  // keepers that serve under the present list, this one included
  std::vector<VoterIncarnation> own_;
  std::uint64_t newSince_;
  std::set<std::string> others_, heard_;
  std::map<std::string, VoterIncarnation> starts_;
  std::unordered_map<std::string, HeldClaim> entries_;
  std::deque<std::pair<Instant, std::pair<std::string, ClaimToken>>> oldest_;  // when which may go
  Instant now_, silentUntil_;
  std::size_t waiting_ = 0;  // votes that wait for the disk
  std::vector<DiskChange> changes_;
};

std::string_view nameOf(VotingMember::State state);

}  // namespace gulltrestle::idempotency
