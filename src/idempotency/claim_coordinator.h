// ClaimCoordinator decides from the votes of the voters whether an at-most-once transaction may be sent. It
// does no I/O and reads no clock.
//
//   claim state  meaning                    next state
//   claiming     votes have been requested  admitted: more than half of the voters granted their votes
//                                           alreadyCommitted: a voter reports that another claim was
//                                             committed
//                                           rolledBack: another claim has a vote, and a majority is out
//                                             of reach or was not obtained in time
//                                           rejected: as rolledBack, but no other claim was seen; or too
//                                             few voters are reachable to start with
//   admitted     the transaction may be     onTransactionEnded(): committed, never ran (the votes are
//                  sent                       released), or unknown (the votes are kept)
//
// A claim that ends without admission releases any votes it may have received, as its transaction was never
// sent. An answer of one voter or of a minority never lets a transaction run, and neither does a missing
// answer. A voter that answers falsely can cause transactions to be rejected, rolled back or reported as
// committed; running a transaction twice takes more than half of the voters.
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

using TxnKey = std::uint64_t;  // the caller's identifier of a transaction
using ClaimNumber = std::uint64_t;
using VoterIndex = std::size_t;  // position in the list of voters

// Configured limits. All routers use the same values.
struct ClaimCoordinatorLimits {
  std::size_t voterCount = 0;
  Duration retention;                             // how long voters keep a vote
  std::size_t maxClaims = 65536;                  // open at the same time, including admitted ones
  Duration maxVoteWait = Duration::millis(1000);  // upper bound of the time spent waiting for votes
  Duration retryAfter = Duration::millis(250);    // average suggested to rejected transactions
};

// Coordinates all claims of one router. cluster/claim_dispatcher.h drives it: it passes in votes and ends of
// transactions, calls runTimers() when due, and after each call executes the results of takeDecisions() and
// takeMessages().
class ClaimCoordinator {
 public:
  // `seed`: initializes the random generator for the jitter of retryAfter.
  ClaimCoordinator(ClaimCoordinatorLimits limits, std::uint64_t seed);

  // The result of a claim.
  struct Decision {
    enum class Kind { admitted, alreadyCommitted, rolledBack, rejected } kind = Kind::rejected;
    TxnKey txn = 0;
    std::string value;        // alreadyCommitted: the value of the commit; empty if unknown
    Duration retryAfter;      // rejected only
    std::string_view reason;  // refers to a string literal
  };
  // A message to send to a voter. Messages are sent in the order in which they are returned.
  struct ClaimMessage {
    enum class Kind { claim, release, commit } kind = Kind::claim;
    VoterIndex voter = 0;
    std::string id;
    ClaimNumber number = 0;
    std::string value;  // commit only
  };

  // Records whether the voter is reachable. When a voter becomes unreachable, claims that wait for its vote
  // are decided if the remaining votes cannot suffice.
  void setReachable(VoterIndex voter, bool isReachable);

  // Claims the id for the transaction. takeDecisions() returns the decision, possibly right after this call.
  // `remaining`: how long the transaction's client still waits.
  void beginClaim(Instant now, TxnKey txn, const std::string& id, Duration remaining);
  // Handles a voter's answer to the claim with this number. Answers received after the decision are ignored.
  void onVote(VoterIndex voter, ClaimNumber number, const Vote& vote);
  // Records that the transaction was committed with this value. Must be called before onTransactionEnded().
  void onCommitted(TxnKey txn, std::string value);
  enum class ExecutionOutcome { committed, neverRan, unknown };
  // Must be called when no attempt of the transaction is in flight any more, whether or not its claim was
  // decided.
  void onTransactionEnded(TxnKey txn, ExecutionOutcome outcome);

  // Decides claims whose vote deadline has passed. Returns when the next call is due, or Instant() for never.
  Instant runTimers(Instant now);

  // Return and clear what was produced since the last call, oldest first.
  [[nodiscard]] std::vector<Decision> takeDecisions() { return std::exchange(decisions_, {}); }
  [[nodiscard]] std::vector<ClaimMessage> takeMessages() { return std::exchange(messages_, {}); }

  std::size_t openClaims() const { return claims_.size(); }
  std::size_t reachableVoters() const { return reachable_.size(); }
  // Numbers of claims since the program started.
  struct Counts {
    std::uint64_t requested = 0, admitted = 0, committed = 0, rolledBack = 0, rejected = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Claim {
    TxnKey txn = 0;
    std::string id;
    Instant voteDeadline;
    bool isDecided = false, isAdmitted = false;
    bool isCommitSent = false;  // the commit and its value were sent to the voters
    std::set<VoterIndex> grantedBy, takenBy, withoutVote;
  };
  // Returns why no claim may begin now, or nullopt if it may.
  std::optional<std::string_view> rejectReason(const std::string& id, Duration remaining) const;
  void openClaim(Instant now, TxnKey txn, const std::string& id, Duration remaining);
  // Whether a claim may wait for further votes.
  enum class VoteWait { pending, over };
  // Decides the claim if its votes suffice or can no longer suffice.
  void decideIfPossible(ClaimNumber number, VoteWait wait);
  void decide(ClaimNumber number, Decision::Kind kind, std::string value, std::string_view reason);
  void count(Decision::Kind kind);
  void sendToAll(ClaimMessage::Kind kind, const Claim& claim, ClaimNumber number,
                 const std::string& value = {});
  Duration jitteredRetryAfter();

  ClaimCoordinatorLimits limits_;
  std::knuth_b random_;
  std::set<VoterIndex> reachable_;
  std::map<ClaimNumber, Claim> claims_;
  std::map<TxnKey, ClaimNumber> claimOfTxn_;
  std::multimap<Instant, ClaimNumber> voteDeadlines_;  // includes claims decided since
  ClaimNumber lastNumber_ = 0;
  std::vector<Decision> decisions_;
  std::vector<ClaimMessage> messages_;
  Counts counts_;
};

}  // namespace gulltrestle::idempotency
