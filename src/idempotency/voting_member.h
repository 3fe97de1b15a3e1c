// VotingMember decides which claim of an id gets this voter's vote. It does no I/O and reads no clock: state
// that must be durable before an answer is sent is returned as changes to the disk, and the caller reports
// when they are durable.
//
//   state          meaning                             votes  next state
//   changingLists  the voter list has changed, and     no     verifyingDisk: earlier lists are superseded
//                  earlier lists may not be
//                  superseded
//                  (idempotency/voter_lists.h)
//   verifyingDisk  it has started, and does not know   no     when more than half of the voters, itself
//                  whether this is the disk it last           included, have replied with the newest start of
//                  used                                       this voter that they knew: voting, or
//                                                             abstaining if the disk lacks that start
//   abstaining     votes that it granted may be lost:  no     voting: after the retention time, when none of
//                  the disk is new, or older than             those votes counts any more
//                  other voters know
//   voting         it knows all votes that it granted  yes
//
// The answer to a claim depends on what is stored for its id:
//
//   nothing          granted, once the vote is durable
//   the same claim   granted again, once the vote is durable
//   another claim    takenByOther, with the commit if it is known
//
// Prevents a router whose disk was lost, swapped or restored from voting a second time for an id that it no
// longer knows. Trade-off: one voter fewer during the retention time after that; and if more than half of the
// disks are lost at once, all at-most-once transactions are rejected for that time. Two cases are not
// detected. The first is an old copy of the disk put back while the voters that were notified of its newest
// start are all among the few that it does not hear from. With three voters this takes one of the two others
// being away during all of that start; with five voters, two of the four others. The second is a copy made
// during the newest start itself. The operators' manual therefore says to remove a disk's file and not to put
// an old one back: a missing file is always detected.
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

// Configured limits.
struct VotingMemberLimits {
  // How long a vote counts, by the voter's monotonic clock and restarted at each start, as no wall clock can
  // be trusted across a power loss. Must exceed the longest transaction and the longest client repeat.
  Duration retention = Duration::millis(600'000);
  std::size_t maxClaims = 1'000'000;       // stored ids; at the limit the member abstains
  std::size_t maxValueBytes = 4096;        // a longer value is not stored: committed, value unknown
  std::size_t maxPendingWrites = 100'000;  // votes waiting for a slow disk; at the limit it abstains
};

// The voter that runs in one router. cluster/claim_dispatcher.h drives it: it passes in greetings and claims,
// and passes takeChanges() to store/store.h after each call. Answers that wait for the disk are sent once
// those changes are durable.
class VotingMember {
 public:
  enum class State { changingLists, verifyingDisk, abstaining, voting };

  // `name`: this voter's name, which must be in stored.voterLists.current.
  VotingMember(Instant now, const std::string& name, VotingMemberLimits limits, StoredState stored);

  State state() const { return state_; }
  // The current start, which is the newest on this disk.
  const VoterIncarnation& start() const { return ownStarts_.back(); }
  std::size_t claimCount() const { return claims_.size(); }
  // Voters that have not confirmed this start yet. Empty unless the state is changingLists or verifyingDisk.
  std::vector<std::string> unverifiedVoters() const;

  // --- Among voters

  // Handles a greeting from another voter that serves under the same list: its current start is `start`.
  // Returns the newest start of that voter known before, to be sent back once all changes up to here are
  // durable; or nullopt if no reply may be sent yet because this voter is changing lists.
  std::optional<VoterIncarnation> onGreeting(const std::string& voter, const VoterIncarnation& start);
  // Handles another voter's reply to this voter's greeting with start number `greetedStart`. `knownStart`:
  // the newest start of this voter that the other voter knew. Returns true if start() now has a higher
  // number; all voters must then be greeted again once it is durable.
  bool onGreetingReply(Instant now, const std::string& voter, std::uint64_t greetedStart,
                       const VoterIncarnation& knownStart);

  // --- Claims

  // Returns the vote, or nullopt if onWritten() will return it. `now` must be the current time and not the
  // time of the last event loop turn: the process may have been suspended in between.
  [[nodiscard]] std::optional<Vote> onClaim(Instant now, const std::string& id, const ClaimToken& token);
  // Must be called once for each claim for which onClaim() returned no vote, when its record is durable or
  // could not be written. Returns nullopt if there is no vote to send because the claim was removed
  // meanwhile.
  [[nodiscard]] std::optional<Vote> onWritten(const std::string& id, const ClaimToken& token, bool isDurable);
  // Records that the claim's transaction was committed, whichever claim has this voter's vote.
  void onCommitted(Instant now, const std::string& id, const ClaimToken& token, std::string value);
  // Releases the vote of a claim whose transaction never ran, so that the id can be claimed again.
  void onReleased(const std::string& id, const ClaimToken& token);

  // Ends abstention and removes expired claims. Returns when the next call is due, or Instant() for never.
  Instant runTimers(Instant now);

  // --- Changes to make durable

  // Returns and clears the changes since the last call, in the order in which they must be written.
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

  // Leaves State::changingLists if this is the current state.
  void finishListChange();
  // Calls finishListChange() if all earlier lists are superseded, given the voters known to serve under the
  // current list.
  void finishListChangeIfSuperseded();
  // Leaves State::verifyingDisk once enough voters have confirmed this start.
  void finishVerification(Instant now);
  // Handles that another voter knows a start that this disk lacks: votes granted then may be lost.
  void restartVerification(const VoterIncarnation& knownStart);

  Vote takenBy(const ClaimRecord& record) const {
    return {.kind = Vote::Kind::takenByOther, .isCommitted = record.isCommitted, .value = record.value};
  }
  std::optional<Vote> onRepeatedClaim(const StoredClaim& stored, const ClaimToken& token);
  void scheduleExpiry(Instant now, const std::string& id);
  void removeExpired(Instant now);

  VotingMemberLimits limits_;
  State state_ = State::changingLists;
  bool isComplete_;  // as in StoredState
  VoterListHistory lists_;
  std::set<std::string> votersOnCurrentList_;  // voters serving under the current list, including this one
  std::vector<VoterIncarnation> ownStarts_;    // as in StoredState
  std::uint64_t minValidStart_;                // as in StoredState
  std::set<std::string> otherVoters_, confirmedBy_;
  std::map<std::string, VoterIncarnation> otherStarts_;  // newest start of each other voter
  std::unordered_map<std::string, StoredClaim> claims_;  // by id
  std::deque<ClaimExpiry> expiries_;                     // earliest first
  Instant abstainsUntil_;
  std::size_t pendingWrites_ = 0;  // votes that wait for the disk
  std::vector<DiskChange> changes_;
};

// The state's name in status documents and logs.
std::string_view nameOf(VotingMember::State state);

}  // namespace gulltrestle::idempotency
