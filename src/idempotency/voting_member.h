// A voting member's decisions: which claim of an id has its vote. No I/O, no clock; what must be durable
// before it is answered is handed to whoever writes, who says when it is.
//
//   state          what it is                          votes  goes to
//   changingLists  its list of voters has changed, and no     verifyingDisk: earlier lists are superseded
//                  earlier lists may not be superseded
//                  (idempotency/voter_lists.h)
//   verifyingDisk  it has started, and does not know   no     voting, or abstaining: more than half of the
//                  whether its disk is the one that it        voters, itself counted, have told the newest
//                  last had                                   start of it that they knew of; abstaining if
//                                                             its disk knows none such
//   abstaining     votes that it gave may be lost: its no     voting: after the time of retention, when none
//                  disk is new, or older than what            of those votes counts any more
//                  others know
//   voting         it knows all votes that it gave     yes
//
// A vote for an id, by what is stored of it:
//
//   nothing          the claim gets the vote, once it is durable
//   the same claim   the vote once more, once it is durable
//   another claim    taken, and committed where that is known
//
// Guards against a router whose disk is lost, swapped or restored voting a second time for an id that it no
// longer knows. The cost, for the time of retention after that: one voter fewer; and after a loss of more
// than half of the disks at once all once-only txns are rejected for so long. What it can't notice: an old
// copy of the disk put back, while those that were notified of its newest start are all among the few that it
// does not hear (of three voters, one of the two others was away during all of that start; it takes two of
// four, of five); and a copy that was made during the newest start itself. Operators are told to remove a
// disk's file, not to put an old one back: a file that is missing is always noticed.
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

// From the settings.
struct VotingMemberLimits {
  // How long a vote counts, by the voter's own running clock and anew from each start, as no clock of the
  // day can be trusted over a power loss. Longer than any txn or client's repeat can take.
  Duration retention = Duration::millis(600'000);
  std::size_t maxClaims = 1'000'000;       // ids that are stored; beyond that no vote is given
  std::size_t maxValueBytes = 4096;        // a longer one is not stored: committed, value unknown
  std::size_t maxPendingWrites = 100'000;  // votes that wait for a slow disk; no further is given meanwhile
};

// What a disk held when the voting member started. Read by store/database.h.
struct StoredState {
  // The starts that this disk has seen, the present one last, durable there.
  std::vector<VoterIncarnation> own;
  // Starts below this number were another disk's, and count no more.
  std::uint64_t newSince = 0;
  // All votes it ever gave that still count are among the entries.
  bool isComplete = false;
  std::vector<ClaimRecord> entries;
  // Of other voters, the newest that this one was notified of.
  std::map<std::string, VoterIncarnation> starts;
  // Nodes: by which version of the endpoint list each drains (true) or stays.
  std::map<std::string, std::pair<std::uint64_t, bool>> nodes;
  // Of each group, and the newest version of the endpoint list when it was the primary.
  std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> primaries;
  // The newest start of each router, by the number that it speaks by.
  std::map<std::string, VoterIncarnation> members;
  VoterListHistory lists;
  std::string maintenance;  // the text of maintenance/acceptor.h
};

// The voter that runs in one router. Driven by cluster/claim_dispatcher.h: it feeds in greetings and claims,
// and hands takeChanges() to store/store.h after each call; answers that wait for the disk are sent once
// those are durable.
class VotingMember {
 public:
  enum class State { changingLists, verifyingDisk, abstaining, voting };

  // `name`: of this voter, which is on stored.lists.current.
  VotingMember(Instant now, const std::string& name, VotingMemberLimits limits, StoredState stored);

  State state() const { return state_; }
  const VoterIncarnation& start() const { return ownStarts_.back(); }
  // Ids that are stored.
  std::size_t size() const { return claims_.size(); }
  // Voters that have not confirmed this start, while it is changing lists or verifying its disk.
  std::vector<std::string> unverifiedVoters() const;

  // --- Among voters

  // Another voter has this start, and serves under the same list. Returns the newest that was known before,
  // which is to be told back once all changes up to here are durable; none: it can't be told back yet, as
  // this one is changing lists.
  std::optional<VoterIncarnation> onGreeting(const std::string& voter, const VoterIncarnation& start);
  // Another voter's answer to our greeting with the start of number `greetedStart`; `knownStart`: the newest
  // of ours that it knew. True: our start's number has grown, and all are to be greeted anew once it is
  // durable.
  bool onGreetingReply(Instant now, const std::string& voter, std::uint64_t greetedStart,
                       const VoterIncarnation& knownStart);

  // --- Claims

  // None: the vote comes by onWritten(). The claim's retention counts from `now`, not from the last turn: the
  // process may have stood still in between.
  std::optional<Vote> onClaim(Instant now, const std::string& id, const ClaimToken& token);
  // To be called once for each claim that got no vote at once: its entry is durable, or can't be made so.
  // None: that vote is not wanted any more.
  std::optional<Vote> onWritten(const std::string& id, const ClaimToken& token, bool isDurable);
  // The claim's txn was committed, wherever this voter's vote went.
  void onCommitted(Instant now, const std::string& id, const ClaimToken& token, std::string value);
  // The claim's txn surely never ran: its id is free again.
  void onReleased(const std::string& id, const ClaimToken& token);

  // Does what is due. Returns when there is more; never: nothing is.
  Instant runTimers(Instant now);

  // --- What is to be made durable

  struct DiskChange {
    // node, primary, member, work: no matter of the voter's, stored on the same disk: which nodes drain, who
    // was primary, which start of a router speaks, what it accepted of the plan of maintenance.
    enum class Kind { put, drop, start, voting, node, primary, member, lists, work } kind = Kind::put;
    // drop; start: the voter's name, empty for this one's own; work: all of its text; others: their own name.
    std::string id = {};
    ClaimRecord entry = {};  // put
    // start, member: it; voting: newSince is its number; node: the endpoint list's version is its number, 0:
    // the node is forgotten; primary: the endpoint list's version is its number.
    VoterIncarnation start = {};
    bool isComplete = false;      // voting; node: it drains
    std::uint64_t group = 0;      // primary
    VoterListHistory lists = {};  // lists
  };
  // Since the last call, in the order in which they are to be written.
  std::vector<DiskChange> takeChanges() { return std::exchange(changes_, {}); }

 private:
  struct HeldClaim {
    ClaimRecord record;
    bool isDurable = false;
  };
  struct ClaimExpiry {
    Instant when;
    std::string id;
    ClaimToken token;
  };

  // Leaves State::changingLists once earlier lists are superseded. `isAnswered`: a voter that knows them to
  // be has answered.
  void finishListChange(bool isAnswered);
  // Leaves State::verifyingDisk once enough voters have confirmed this start.
  void finishVerification(Instant now);
  // Others know a start that this disk does not: votes of it may be lost.
  void startAnew(const VoterIncarnation& knownStart);

  Vote takenBy(const ClaimRecord& record) const {
    return {Vote::Kind::takenByOther, record.committed, record.value};
  }
  std::optional<Vote> onRepeatedClaim(const HeldClaim& held, const ClaimToken& token);
  void scheduleExpiry(Instant now, const std::string& id);
  void dropExpired(Instant now);

  void writeClaim(const ClaimRecord& record);
  void writeDrop(const std::string& id);
  void writeStart(const std::string& voter, const VoterIncarnation& start);
  void writeVoting(const VoterIncarnation& newSince, bool isComplete);

  VotingMemberLimits limits_;
  State state_ = State::changingLists;
  bool isComplete_;  // as in StoredState
  VoterListHistory lists_;
  std::set<std::string> onCurrentList_;      // voters that serve under the current list, this one included
  std::vector<VoterIncarnation> ownStarts_;  // as StoredState::own
  std::uint64_t newSince_;                   // as in StoredState
  std::set<std::string> otherVoters_, confirmedBy_;
  std::map<std::string, VoterIncarnation> otherStarts_;  // the newest that this one was notified of
  std::unordered_map<std::string, HeldClaim> claims_;    // by their ids
  std::deque<ClaimExpiry> expiries_;                     // the earliest first
  Instant abstainsUntil_;
  std::size_t pendingWrites_ = 0;  // votes that wait for the disk
  std::vector<DiskChange> changes_;
};

// As status documents and logs have it.
std::string_view nameOf(VotingMember::State state);

}  // namespace gulltrestle::idempotency
