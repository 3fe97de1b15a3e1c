// A voting member decides which claim of an id has its vote. No I/O, no clock: what has to be durable before
// an answer is sent is returned as changes to its disk, and the caller reports when they are.
//
//   state          what it is                          votes  goes to
//   changingLists  its list of voters has changed, and no     verifyingDisk: earlier lists are superseded
//                  earlier lists may not be superseded
//                  (idempotency/voter_lists.h)
//   verifyingDisk  it has started, and does not know   no     more than half of the voters, itself counted,
//                  whether its disk is the one that it        have replied with the newest start of it that
//                  last had                                   they knew: voting, or abstaining if its disk
//                                                             lacks that start
//   abstaining     votes that it granted may be lost:  no     voting: after the time of retention, when none
//                  its disk is new, or older than             of those votes counts any more
//                  what others know
//   voting         it knows all votes that it granted  yes
//
// A vote for an id, by what is stored of it:
//
//   nothing          granted, once it is durable
//   the same claim   granted once more, once it is durable
//   another claim    taken by other, with its commit where that is known
//
// Guards against a router whose disk is lost, swapped or restored voting a second time for an id that it no
// longer knows. The cost, for the time of retention after that: one voter fewer; and after a loss of more
// than half of the disks at once all at-most-once transactions are rejected for so long. What it can't
// notice: an old copy of the disk put back, while the voters that were notified of its newest start are all
// among the few that it does not hear from (of three voters, one of the two others was away during all of
// that start; it takes two of four, of five); and a copy that was made during the newest start itself. The
// operators' manual says to remove a disk's file, not to put an old one back: a file that is missing is
// always noticed.
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
#include "idempotency/stored_state.h"
#include "idempotency/voter_lists.h"

namespace gulltrestle::idempotency {

// From the settings.
struct VotingMemberLimits {
  // How long a vote counts, by the voter's monotonic clock and again from each start, as no wall clock can be
  // trusted over a power loss. Longer than any transaction or client's repeat can take.
  Duration retention = Duration::millis(600'000);
  std::size_t maxClaims = 1'000'000;       // stored ids; beyond that it abstains
  std::size_t maxValueBytes = 4096;        // a longer one is not stored: committed, value unknown
  std::size_t maxPendingWrites = 100'000;  // votes that wait for a slow disk; beyond that it abstains
};

// The voter that runs in one router. Driven by cluster/claim_dispatcher.h: it passes in greetings and claims,
// and hands takeChanges() to store/store.h after each call; answers that wait for the disk are sent once
// those changes are durable.
class VotingMember {
 public:
  enum class State { changingLists, verifyingDisk, abstaining, voting };

  // `name`: of this voter, which is on stored.voterLists.current.
  VotingMember(Instant now, const std::string& name, VotingMemberLimits limits, StoredState stored);

  State state() const { return state_; }
  // The present start, the newest of this disk.
  const VoterIncarnation& start() const { return ownStarts_.back(); }
  std::size_t claimCount() const { return claims_.size(); }
  // Voters that have not confirmed this start, while it is changing lists or verifying its disk.
  std::vector<std::string> unverifiedVoters() const;

  // --- Among voters

  // Another voter has this start, and serves under the same list. Returns its newest start that was known
  // before, to be sent back once all changes up to here are durable; none: no reply may be sent yet, as this
  // voter is changing lists.
  std::optional<VoterIncarnation> onGreeting(const std::string& voter, const VoterIncarnation& start);
  // Another voter's reply to this one's greeting with the start of number `greetedStart`; `knownStart`: the
  // newest start of this voter that it knew. True: start() has a higher number now, and all voters are to be
  // greeted again once it is durable.
  bool onGreetingReply(Instant now, const std::string& voter, std::uint64_t greetedStart,
                       const VoterIncarnation& knownStart);

  // --- Claims

  // None: the vote is returned by onWritten(). `now` is the present time, not that of the last turn: the
  // process may have been suspended in between.
  [[nodiscard]] std::optional<Vote> onClaim(Instant now, const std::string& id, const ClaimToken& token);
  // To be called once for each claim that got no vote at once: its record is durable, or could not be
  // written. None: there is no vote to send, as the claim has gone meanwhile.
  [[nodiscard]] std::optional<Vote> onWritten(const std::string& id, const ClaimToken& token, bool isDurable);
  // The claim's transaction was committed, whichever claim has this voter's vote.
  void onCommitted(Instant now, const std::string& id, const ClaimToken& token, std::string value);
  // The claim's transaction never ran: its id is free again.
  void onReleased(const std::string& id, const ClaimToken& token);

  // Ends abstention and removes expired claims. Returns when the next call is due; never: none is.
  Instant runTimers(Instant now);

  // --- What is to be made durable

  // Since the last call, in the order in which they are to be written.
  [[nodiscard]] std::vector<DiskChange> takeChanges() { return std::exchange(changes_, {}); }

 private:
  struct StoredClaim {
    ClaimRecord record;
    bool isDurable = false;
  };
  struct ClaimExpiry {
    Instant when;
    std::string id;
    ClaimToken token;
  };

  // Leaves State::changingLists, if it is there.
  void finishListChange();
  // Likewise, if all earlier lists are superseded by the voters that are known to serve under the current
  // one.
  void finishListChangeIfSuperseded();
  // Leaves State::verifyingDisk once enough voters have confirmed this start.
  void finishVerification(Instant now);
  // Another voter knows a start that this disk does not: votes of it may be lost.
  void restartVerification(const VoterIncarnation& knownStart);

  Vote takenBy(const ClaimRecord& record) const {
    return {.kind = Vote::Kind::takenByOther, .isCommitted = record.isCommitted, .value = record.value};
  }
  std::optional<Vote> onRepeatedClaim(const StoredClaim& stored, const ClaimToken& token);
  void scheduleExpiry(Instant now, const std::string& id);
  void dropExpired(Instant now);

  VotingMemberLimits limits_;
  State state_ = State::changingLists;
  bool isComplete_;  // as in StoredState
  VoterListHistory lists_;
  std::set<std::string> onCurrentList_;      // voters that serve under the current list, this one included
  std::vector<VoterIncarnation> ownStarts_;  // as in StoredState
  std::uint64_t newSince_;                   // as in StoredState
  std::set<std::string> otherVoters_, confirmedBy_;
  std::map<std::string, VoterIncarnation> otherStarts_;  // of each other voter: the newest
  std::unordered_map<std::string, StoredClaim> claims_;  // by id
  std::deque<ClaimExpiry> expiries_;                     // the earliest first
  Instant abstainsUntil_;
  std::size_t pendingWrites_ = 0;  // votes that wait for the disk
  std::vector<DiskChange> changes_;
};

// As status documents and logs have it.
std::string_view nameOf(VotingMember::State state);

}  // namespace gulltrestle::idempotency
