// A claimant's decisions: whether a txn that may run only once may be sent, by the votes of the keepers. No
// I/O, no clock.
//
//   state     what it is                          ends by
//   claiming  its votes are being asked for       admitted: it has those of more than half of the keepers
//                                                 committed: a keeper knows that another claim was
//                                                 rolled back: another claim has a vote, and more than half
//                                                   can't be had any more, or not within its time
//                                                 refused: likewise, and no other claim was seen; or too few
//                                                   keepers can be reached to begin with
//   admitted  it may be sent, and is told as      over: committed, never ran (its votes are given back), or
//             ended when its txn is               unknown (they are kept)
//
// Kind ends without being admitted gives back the votes that it may have got: it was never sent. Nothing that
// one keeper or a minority says, or keeps silent about, lets a txn run. A keeper that tells falsely can make
// txns be refused, rolled back or answered as committed; it takes more than half of them to run one twice.
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
using VoterIndex = std::size_t;  // row in the list of keepers

struct ClaimCoordinatorLimits {
  std::size_t voterCount = 0;
  Duration retention;                             // the keepers' own
  std::size_t maxClaims = 65536;                  // claims open at a time, admitted ones included
  Duration maxVoteWait = Duration::millis(1000);  // for votes
  Duration retryAfter = Duration::millis(250);    // what refused txns are told, give or take half of it
};

class ClaimCoordinator {
 public:
  ClaimCoordinator(ClaimCoordinatorLimits bounds, std::uint64_t seed);

  struct Decision {
    enum class Kind { admit, committed, rollBack, reject } kind = Kind::reject;
    TxnKey txn = 0;
    std::string value;    // committed: empty where it is not known
    Duration retryAfter;  // refused
    std::string_view reason;
  };
  // Kind is to be said to a keeper, in this order.
  struct ClaimMessage {
    enum class Kind { claim, release, committed } kind = Kind::claim;
    VoterIndex voter = 0;
    std::string id;
    ClaimNumber number = 0;
    std::string value;  // committed
  };

  // Who can be reached from now on; all claims that wait for the vote of one that can't be are judged anew.
  void setReachable(VoterIndex keeper, bool can);

  void beginClaim(Instant now, TxnKey txn, const std::string& id, Duration patience);
  void onVote(VoterIndex keeper, ClaimNumber number, const Vote& vote);
  // The txn was committed with this value. Ahead of over().
  void onCommitted(TxnKey txn, std::string value);
  enum class ExecutionOutcome { committed, neverRan, unknown };
  // Nothing of the txn is out any more, whether it was decided here or not.
  void onTransactionEnded(TxnKey txn, ExecutionOutcome fate);

  Instant runTimers(Instant now);

  std::vector<Decision> takeDecisions() { return std::exchange(decisions_, {}); }
  std::vector<ClaimMessage> takeMessages() { return std::exchange(words_, {}); }

  std::size_t open() const { return claims_.size(); }
  std::size_t reachable() const { return reachable_.size(); }
  struct Counts {
    std::uint64_t requested = 0, admitted = 0, committed = 0, rolledBack = 0, rejected = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Claim {
    TxnKey txn = 0;
    std::string id;
    Instant until;
    bool decided = false, admitted = false, told = false;
    std::set<VoterIndex> yours, taken, none;
  };
  void judge(ClaimNumber number, bool late);
  void decide(ClaimNumber number, Decision::Kind what, std::string value, std::string_view why);
  void sendToAll(ClaimMessage::Kind what, const Claim& claim, ClaimNumber number,
                 const std::string& value = {});
  Duration drawRetryAfter();

  ClaimCoordinatorLimits bounds_;
  std::knuth_b chance_;
  std::set<VoterIndex> reachable_;
  std::map<ClaimNumber, Claim> claims_;
  std::map<TxnKey, ClaimNumber> ofTxn_;
  std::multimap<Instant, ClaimNumber> due_;
  ClaimNumber last_ = 0;
  std::vector<Decision> decisions_;
  std::vector<ClaimMessage> words_;
  Counts counts_;
};

}  // namespace gulltrestle::idempotency
