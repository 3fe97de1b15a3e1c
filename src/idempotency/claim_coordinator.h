// A claim coordinator's decisions: whether a txn that may run only once may be sent, by the votes of the
// voters. No I/O, no clock.
//
//   state     what it is                          ends by
//   claiming  its votes are being asked for       admit: it has those of more than half of the voters
//                                                 committed: a voter knows that another claim was
//                                                 rollBack: another claim has a vote, and more than half
//                                                   can't be had any more, or not within its time
//                                                 reject: likewise, and no other claim was seen; or too few
//                                                   voters can be reached to begin with
//   admitted  it may be sent, and is reported as  onTransactionEnded(): committed, never ran (its votes are
//             ended when its txn is               given back), or unknown (they are kept)
//
// What ends without being admitted gives back the votes that it may have got: it was never sent. Nothing that
// one voter or a minority says, or keeps silent about, lets a txn run. A voter that answers falsely can make
// txns be rejected, rolled back or answered as committed; it takes more than half of them to run one twice.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "idempotency/claim_types.h"

namespace gulltrestle::idempotency {

using TxnKey = std::uint64_t;  // whatever the caller names a txn by
using ClaimNumber = std::uint64_t;
using VoterIndex = std::size_t;  // row in the list of voters

// From the settings, alike at all routers.
struct ClaimCoordinatorLimits {
  std::size_t voterCount = 0;
  Duration retention;                             // the voters' own
  std::size_t maxClaims = 65536;                  // claims open at a time, admitted ones included
  Duration maxVoteWait = Duration::millis(1000);  // for votes
  Duration retryAfter = Duration::millis(250);    // what rejected txns are told, give or take half of it
};

// All claims of one router. Driven by cluster/claim_dispatcher.h: it feeds in votes and txns' ends, calls
// runTimers() when that is due, and carries out what takeDecisions() and takeMessages() return after each
// call.
class ClaimCoordinator {
 public:
  // `seed`: of the spread of retryAfter.
  ClaimCoordinator(ClaimCoordinatorLimits limits, std::uint64_t seed);

  struct Decision {
    enum class Kind { admit, committed, rollBack, reject } kind = Kind::reject;
    TxnKey txn = 0;
    std::string value;        // committed: empty where it is not known
    Duration retryAfter;      // reject
    std::string_view reason;  // a constant text
  };
  // What is to be sent to a voter, in this order.
  struct ClaimMessage {
    enum class Kind { claim, release, committed } kind = Kind::claim;
    VoterIndex voter = 0;
    std::string id;
    ClaimNumber number = 0;
    std::string value;  // committed
  };

  // Who can be reached from now on; all claims that wait for the vote of one that can't be are judged anew.
  void setReachable(VoterIndex voter, bool isReachable);

  // Claims the id for the txn; its decision comes by takeDecisions(), perhaps at once. `remaining`: how long
  // the txn's client waits.
  void beginClaim(Instant now, TxnKey txn, const std::string& id, Duration remaining);
  // A voter's answer to the claim of that number; one that comes after the decision is ignored.
  void onVote(VoterIndex voter, ClaimNumber number, const Vote& vote);
  // The txn was committed with this value. Ahead of onTransactionEnded().
  void onCommitted(TxnKey txn, std::string value);
  enum class ExecutionOutcome { committed, neverRan, unknown };
  // Nothing of the txn is out any more, whether it was decided here or not.
  void onTransactionEnded(TxnKey txn, ExecutionOutcome outcome);

  // Decides claims whose time for votes is over. Returns when there is more; never: nothing is.
  Instant runTimers(Instant now);

  // Since the last call, oldest first.
  std::vector<Decision> takeDecisions() { return std::exchange(decisions_, {}); }
  std::vector<ClaimMessage> takeMessages() { return std::exchange(messages_, {}); }

  // Claims that are open, and voters that can be reached.
  std::size_t open() const { return claims_.size(); }
  std::size_t reachable() const { return reachable_.size(); }
  // Of claims, since the start.
  struct Counts {
    std::uint64_t requested = 0, admitted = 0, committed = 0, rolledBack = 0, rejected = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Claim {
    TxnKey txn = 0;
    std::string id;
    Instant votesUntil;
    bool isDecided = false, isAdmitted = false;
    bool isCommitSent = false;  // the voters were notified of its value
    std::set<VoterIndex> grantedBy, takenBy, withoutVote;
  };
  // Why no claim may begin now; empty: it may.
  std::string_view rejectReason(const std::string& id, Duration remaining) const;
  void openClaim(Instant now, TxnKey txn, const std::string& id, Duration remaining);
  // Decides the claim if its votes suffice, or can't any more. `isTimeOver`: no further vote is waited for.
  void judge(ClaimNumber number, bool isTimeOver);
  void decide(ClaimNumber number, Decision::Kind kind, std::string value, std::string_view reason);
  void count(Decision::Kind kind);
  void sendToAll(ClaimMessage::Kind kind, const Claim& claim, ClaimNumber number,
                 const std::string& value = {});
  Duration drawRetryAfter();

  ClaimCoordinatorLimits limits_;
  std::knuth_b random_;
  std::set<VoterIndex> reachable_;
  std::map<ClaimNumber, Claim> claims_;
  std::map<TxnKey, ClaimNumber> numberOfTxn_;
  std::multimap<Instant, ClaimNumber> voteDeadlines_;  // also of claims that were decided since
  ClaimNumber lastNumber_ = 0;
  std::vector<Decision> decisions_;
  std::vector<ClaimMessage> messages_;
  Counts counts_;
};

}  // namespace gulltrestle::idempotency
