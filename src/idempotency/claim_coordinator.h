// A claim coordinator decides whether an at-most-once transaction may be sent, by the votes of the voters. No
// I/O, no clock.
//
//   state of a claim  what it is                        ends by
//   claiming          its votes have been requested     admitted: more than half of the voters granted theirs
//                                                       alreadyCommitted: a voter knows another claim that
//                                                       was rolledBack: another claim has a vote, and a
//                                                       majority
//                                                         is out of reach, or was not had in time
//                                                       rejected: likewise, and no other claim was seen; or
//                                                         too few voters can be reached to begin with
//   admitted          its transaction may be sent       onTransactionEnded(): committed, never ran (its votes
//                                                       are released), or unknown (they stay)
//
// A claim that ends without being admitted releases the votes that it may have got: its transaction was never
// sent. No answer of one voter or of a minority, nor a missing one, lets a transaction run. A voter that
// answers falsely can make transactions be rejected, rolled back or answered as committed; it takes more than
// half of the voters to run one twice.
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

using TxnKey = std::uint64_t;  // the caller's id of a transaction
using ClaimNumber = std::uint64_t;
using VoterIndex = std::size_t;  // position in the list of voters

// From the settings, which are the same at all routers.
struct ClaimCoordinatorLimits {
  std::size_t voterCount = 0;
  Duration retention;                             // the voters' own
  std::size_t maxClaims = 65536;                  // open at a time, admitted ones included
  Duration maxVoteWait = Duration::millis(1000);  // for votes
  Duration retryAfter = Duration::millis(250);    // of rejected transactions, on average
};

// All claims of one router. Driven by cluster/claim_dispatcher.h: it passes in votes and the ends of
// transactions, calls runTimers() when that is due, and carries out what takeDecisions() and takeMessages()
// return after each call.
class ClaimCoordinator {
 public:
  // `seed`: for the jitter of retryAfter.
  ClaimCoordinator(ClaimCoordinatorLimits limits, std::uint64_t seed);

  struct Decision {
    enum class Kind { admitted, alreadyCommitted, rolledBack, rejected } kind = Kind::rejected;
    TxnKey txn = 0;
    std::string value;        // alreadyCommitted: of the commit; empty where it is not known
    Duration retryAfter;      // rejected
    std::string_view reason;  // a constant text
  };
  // To be sent to a voter, in this order.
  struct ClaimMessage {
    enum class Kind { claim, release, commit } kind = Kind::claim;
    VoterIndex voter = 0;
    std::string id;
    ClaimNumber number = 0;
    std::string value;  // commit
  };

  // Whether the voter can be reached from now on. Claims that wait for the vote of one that can't be are
  // decided where the votes that are left don't suffice.
  void setReachable(VoterIndex voter, bool isReachable);

  // Claims the id for the transaction; its decision comes by takeDecisions(), perhaps at once. `remaining`:
  // how long the transaction's client waits.
  void beginClaim(Instant now, TxnKey txn, const std::string& id, Duration remaining);
  // A voter's answer to the claim of that number; one that comes after the decision is ignored.
  void onVote(VoterIndex voter, ClaimNumber number, const Vote& vote);
  // The transaction was committed with this value. Called before onTransactionEnded().
  void onCommitted(TxnKey txn, std::string value);
  enum class ExecutionOutcome { committed, neverRan, unknown };
  // No attempt of the transaction is in flight any more, whether its claim was decided or not.
  void onTransactionEnded(TxnKey txn, ExecutionOutcome outcome);

  // Decides claims whose time for votes is over. Returns when the next call is due; never: none is.
  Instant runTimers(Instant now);

  // Since the last call, oldest first.
  [[nodiscard]] std::vector<Decision> takeDecisions() { return std::exchange(decisions_, {}); }
  [[nodiscard]] std::vector<ClaimMessage> takeMessages() { return std::exchange(messages_, {}); }

  std::size_t openClaims() const { return claims_.size(); }
  std::size_t reachableVoters() const { return reachable_.size(); }
  // Of claims, since the program started.
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
    bool isCommitSent = false;  // to the voters, with its value
    std::set<VoterIndex> grantedBy, takenBy, withoutVote;
  };
  // Why no claim may begin now; none: it may.
  std::optional<std::string_view> rejectReason(const std::string& id, Duration remaining) const;
  void openClaim(Instant now, TxnKey txn, const std::string& id, Duration remaining);
  // Whether a claim waits for further votes.
  enum class VoteWait { pending, over };
  // Decides the claim if its votes suffice or no longer can.
  void decideIfPossible(ClaimNumber number, VoteWait wait);
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
