// The proposer role of a voter in the consensus on the maintenance plan. A round prepares at a majority of
// the voters, changes the value that it learned from them, and has a majority accept the result. No I/O, no
// clock.
//
//   state      meaning                                   next state
//   idle       no change is needed, or it backs off      preparing: a change is needed, and the backoff is
//                                                        over
//   preparing  prepare requests were sent to all voters  accepting: a majority has promised, and the caller
//                                                        has proposed a value derived from the newest one
//   accepting  accept requests were sent to all voters   idle, chosen: a majority has stored it durably
//   either     a voter has promised a higher ballot, or  idle, with a random backoff that doubles each time
//              the round timed out
//
// Two competing proposers abort each other's rounds; the random backoff separates them. Rounds have a timeout
// because the value that a round learned may become outdated, and because acceptors that lost their state
// rely on it (maintenance/acceptor.h).
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "maintenance/maintenance_plan.h"

namespace gulltrestle::maintenance {

// Owned by the maintenance service of a voter, which sends the requests and delivers the replies.
class ProposalRound {
 public:
  enum class State { idle, preparing, accepting };

  // `draw`: random number of this incarnation. `timeout`: maximum duration of a round.
  ProposalRound(std::size_t voters, std::uint64_t draw, Duration timeout);

  State state() const { return state_; }
  const Ballot& ballot() const { return ballot_; }

  // Starts a round if the proposer is idle and its backoff has ended. If it returns true, the caller sends
  // prepare requests for ballot() to all voters.
  bool begin(Instant now);
  void onPromise(Instant now, VoterIndex voter, const Ballot& ballot, const AcceptedValue& accepted);
  // Returns the newest value in the promises, once per round, as soon as a majority has promised. The caller
  // then calls propose(). It may change the value only if the value is chosen, and otherwise proposes it
  // unchanged, so no voter ever accepts a value that is more than one change ahead of the chosen one.
  struct PreparedValue {
    AcceptedValue accepted;
    bool isChosen = false;  // a majority reported it with the same ballot
  };
  std::optional<PreparedValue> takePrepared();
  // Returns the value, with the round's ballot, that the caller sends to all voters in accept requests.
  const AcceptedValue& propose(const ValueVersion& version, std::string value);
  void onAccepted(Instant now, VoterIndex voter, const Ballot& ballot);
  void onRejected(Instant now, const Ballot& ballot, const Ballot& promised);
  // Returns the value chosen by this round, once.
  std::optional<AcceptedValue> takeChosen();

  // Abandons a round that timed out. Returns when it has to be called next; never if no timer is active.
  Instant runTimers(Instant now);

 private:
  void backOff(Instant now);

  std::size_t voters_;
  std::uint64_t draw_;
  Duration timeout_, backoff_;
  std::mt19937_64 random_;
  State state_ = State::idle;
  Ballot ballot_;
  std::uint64_t highestNumber_ = 0;  // highest number of any known ballot
  std::map<VoterIndex, AcceptedValue> promises_;
  std::set<VoterIndex> acceptedBy_;
  bool isPreparedTaken_ = false;
  AcceptedValue proposed_;
  std::optional<AcceptedValue> chosen_;
  Instant timesOutAt_, backoffEndsAt_;
};

}  // namespace gulltrestle::maintenance
