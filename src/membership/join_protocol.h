// JoinProtocol assigns an incarnation number to a start of a router. Does no I/O and reads no clock.
//
//   state        meaning                                          next state
//   discovering  it learns from voters the newest start of its    joining: more than half have answered
//                name that each has on disk
//   joining      it requests the number after the highest known   joined: more than half have it on disk
//                                                                 backingOff: so many voters have another
//                                                                   start that a majority is out of reach
//   backingOff   another process uses its name, or a message of   joining: with a higher number, after a
//                an earlier start was received late                 random backoff
//   joined       the number is its own: any later start has a     superseded: more than half know a higher
//                higher one                                         number
//   superseded   another process owns this name                   none: the state is final
//
// Prevents two processes from using one name (a copied configuration, or a replaced machine that returns),
// and prevents a process from continuing after it was suspended and another one took its place: its messages
// don't count at any voter that knows the newer start. Trade-off: if both processes are restarted again and
// again, each time the later one takes over. One voter, or any minority, that falsely reports higher numbers
// stops no router.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "membership/membership_types.h"

namespace gulltrestle::membership {

// A request to a voter to store this number for the current start.
struct JoinRequest {
  VoterIndex voter = 0;
  std::uint64_t number = 0;
};

// Runs the protocol for one start of one router. Used by cluster/membership_service.h, which sends the
// requests and passes in the replies.
class JoinProtocol {
 public:
  enum class State { discovering, joining, backingOff, joined, superseded };

  // `draw`: the random part of this start's incarnation; it also seeds the random backoff.
  JoinProtocol(std::size_t voterCount, std::uint64_t draw);

  State state() const { return state_; }
  // The number is 0 while discovering.
  const Incarnation& incarnation() const { return incarnation_; }
  // Whether the voter has this incarnation on disk, so that messages of this start count there.
  bool isJoinedAt(VoterIndex voter) const { return state_ != State::superseded && joinedAt_.contains(voter); }

  // Handles a report of a reachable voter: the newest start of this name that it has on disk.
  void onNewestKnown(Instant now, VoterIndex voter, const Incarnation& newest);
  // Handles a reply to a join request: the newest start that the voter now has on disk.
  void onJoinReply(Instant now, VoterIndex voter, const Incarnation& newest);
  // Records that a voter is no longer reachable.
  void onVoterLost(VoterIndex voter);

  // Ends the backoff if it is over. Returns when the next call is due, or Instant() for never.
  Instant runTimers(Instant now);
  // Returns and clears the requests since the last call.
  [[nodiscard]] std::vector<JoinRequest> takeJoinRequests() { return std::exchange(joinRequests_, {}); }

 private:
  bool isHigher(const Incarnation& other) const {
    return other.number > incarnation_.number ||
           (other.number == incarnation_.number && other.draw != incarnation_.draw);
  }
  // The number after the highest plausible one that voters reported.
  std::uint64_t nextNumber() const;
  void requestJoin();
  // Updates the state from what the voters know now.
  void updateState(Instant now);
  Duration randomBackoff();

  std::size_t voterCount_;
  std::mt19937_64 random_;
  State state_ = State::discovering;
  Incarnation incarnation_;
  std::map<VoterIndex, Incarnation> newestKnown_;  // at each reachable voter
  std::set<VoterIndex> joinedAt_;                  // voters that have incarnation_ on disk
  Instant backoffUntil_;
  std::vector<JoinRequest> joinRequests_;
};

// The state's name in status documents and logs.
std::string_view nameOf(JoinProtocol::State state);

}  // namespace gulltrestle::membership
