// How the start of a router gets the number by which it speaks. No I/O, no clock.
//
//   state        what it is                                       goes to
//   discovering  it learns from voters the newest start of its    joining: more than half have answered
//                name that each has on disk
//   joining      it asks to be the number after the highest       joined: more than half have it on disk
//                                                                 backingOff: so many have another that they
//                                                                 can't be more than half any more
//   backingOff   another process uses its name, or an earlier     joining, with a higher number, after a
//                start's message came late                        pause that is drawn
//   joined       the number is its own: any later start's is      superseded: more than half know a higher
//                higher                                           one
//   superseded   another process speaks for this name, for good
//
// Guards against two processes that use one name (a copied configuration, a machine that was replaced and
// comes back), and against a process that stood still while another took its place: what it sends counts no
// more at any voter that knows the newer one. The cost, where both are started again and again: each time the
// later one speaks. One voter, or any minority, that falsely reports higher numbers stops nobody.
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

// A voter that is to be asked to store this number for the present start.
struct JoinRequest {
  VoterIndex voter = 0;
  std::uint64_t number = 0;
};

// One start of one router. Used by cluster/membership.h, which sends its requests and feeds in the answers.
class JoinProtocol {
 public:
  enum class State { discovering, joining, backingOff, joined, superseded };

  // `draw`: of this start; also the seed of its pauses.
  JoinProtocol(std::size_t voterCount, std::uint64_t draw);

  State state() const { return state_; }
  // Number 0 while it is discovering.
  const Incarnation& incarnation() const { return own_; }
  // Whether that voter has it on disk, so that this start may speak there.
  bool isJoinedAt(VoterIndex voter) const { return state_ != State::superseded && joinedAt_.contains(voter); }

  // A voter that can be reached sent the newest start of this name that it has on disk.
  void onNewestKnown(Instant now, VoterIndex voter, const Incarnation& newest);
  // It answered a join request: the newest that it has on disk now.
  void onJoinReply(Instant now, VoterIndex voter, const Incarnation& newest);
  // It can't be reached any more.
  void onVoterLost(VoterIndex voter);

  // Returns when there is more to do; never: nothing is.
  Instant runTimers(Instant now);
  // Since the last call.
  std::vector<JoinRequest> takeJoinRequests() { return std::exchange(joinRequests_, {}); }

 private:
  bool isHigher(const Incarnation& other) const {
    return other.number > own_.number || (other.number == own_.number && other.draw != own_.draw);
  }
  // The number after the highest that voters reported, within reason.
  std::uint64_t nextNumber() const;
  void requestJoin();
  // Goes to the state that the voters' answers call for.
  void updateState(Instant now);
  Duration drawPause();

  std::size_t voterCount_;
  std::mt19937_64 random_;
  State state_ = State::discovering;
  Incarnation own_;
  std::map<VoterIndex, Incarnation> newestKnown_;  // by each voter that can be reached
  std::set<VoterIndex> joinedAt_;                  // voters that have ours on disk
  Instant backsOffUntil_;
  std::vector<JoinRequest> joinRequests_;
};

// As status documents and logs have it.

std::string_view nameOf(JoinProtocol::State state);

}  // namespace gulltrestle::membership
