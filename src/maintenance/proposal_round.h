// A voter's part as a proposer of the maintenance plan: a round prepares at a majority of the voters, changes
// the value that it learned there, and has a majority accept the result. No I/O, no clock.
//
//   state      what it is                                      goes to
//   idle       no change is wanted, or it backs off            preparing: a change is wanted, and the backoff
//                                                              is over
//   preparing  all voters have been asked to promise           accepting: a majority did, and the caller has
//                                                              proposed a value made from the newest one
//   accepting  all voters have been asked to accept the value  idle, chosen: a majority has it durable
//   either     a voter has promised a higher ballot, or the    idle, with a backoff that is random and
//              round timed out                                 doubles
//
// Two proposers that compete end each other's rounds; the random backoff separates them. A round has a
// timeout since the value that it learned may be outdated later, and since acceptors that lost their state
// rely on it (maintenance/acceptor.h).
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "maintenance/maintenance_plan.h"

namespace gulltrestle::maintenance {

// Owned by the maintenance service of a voter, which sends its requests and delivers the replies.
class ProposalRound {
 public:
  enum class State { idle, preparing, accepting };

  // `draw`: random, of this incarnation. `timeout`: how long a round may last.
  ProposalRound(std::size_t voters, std::uint64_t draw, Duration timeout);

  State state() const { return state_; }
  const Ballot& ballot() const { return ballot_; }

  // Begins a round if it is idle and its backoff is over. True: all voters are to be asked to promise
  // ballot().
  bool begin(Instant now);
  void onPromise(Instant now, VoterIndex voter, const Ballot& ballot, const AcceptedValue& accepted);
  // The newest value that the promises report, once a round and as soon as a majority has promised. The
  // caller then calls propose(): it changes the value only if it is chosen, and otherwise proposes it again
  // as it is. So no voter ever accepts what is more than one change ahead of the chosen value.
  struct PreparedValue {
    AcceptedValue accepted;
    bool isChosen = false;  // a majority reported it, with the same ballot
  };
  std::optional<PreparedValue> takePrepared();
  // Returns what all voters are to be asked to accept, with the round's ballot.
  const AcceptedValue& propose(const ValueVersion& version, std::string value);
  void onAccepted(Instant now, VoterIndex voter, const Ballot& ballot);
  void onRejected(Instant now, const Ballot& ballot, const Ballot& promised);
  // The value that this round got chosen, once.
  std::optional<AcceptedValue> takeChosen();

  // Abandons a round that timed out. Returns when it is to be called next; never: no timer runs.
  Instant runTimers(Instant now);

 private:
  void backOff(Instant now);

  std::size_t voters_;
  std::uint64_t draw_;
  Duration timeout_, backoff_;
  std::mt19937_64 random_;
  State state_ = State::idle;
  Ballot ballot_;
  std::uint64_t highestNumber_ = 0;  // of any ballot that is known here
  std::map<VoterIndex, AcceptedValue> promises_;
  std::set<VoterIndex> acceptedBy_;
  bool isPreparedTaken_ = false;
  AcceptedValue proposed_;
  std::optional<AcceptedValue> chosen_;
  Instant timesOutAt_, backoffEndsAt_;
};

}  // namespace gulltrestle::maintenance
