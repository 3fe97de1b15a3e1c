// How a router's start gets its incarnation number. No I/O, no clock.
//
//   state        what it is                                       goes to
//   discovering  it learns from voters the newest start of its    joining: more than half have answered
//                name that each has on disk
//   joining      it requests the number after the highest         joined: more than half have it on disk
//                                                                 backingOff: so many have another start that
//                                                                 a majority is out of reach
//   backingOff   another process uses its name, or an earlier     joining, with a higher number, after a
//                start's message came late                        random pause
//   joined       the number is its own: any later start's is      superseded: more than half know a higher
//                higher                                           one
//   superseded   another process has this name, for good
//
// Guards against two processes that use one name (a copied configuration, a machine that was replaced and
// comes back), and against a process that was suspended while another took its place: its messages don't
// count at any voter that knows the newer start. The cost, where both are started again and again: each time
// the later one takes over. One voter, or any minority, that falsely reports higher numbers stops no router.
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

// A request to a voter to store this number for the present start.
struct JoinRequest {
  VoterIndex voter = 0;
  std::uint64_t number = 0;
};

// One start of one router. Used by cluster/membership_service.h, which sends its requests and passes in the
// answers.
class JoinProtocol {
 public:
  enum class State { discovering, joining, backingOff, joined, superseded };

  // `draw`: of this start's incarnation; also the seed of its pauses.
  JoinProtocol(std::size_t voterCount, std::uint64_t draw);

  State state() const { return state_; }
  // Its number is 0 while discovering.
  const Incarnation& incarnation() const { return incarnation_; }
  // Whether that voter has it on disk, so that messages of this start count there.
  bool isJoinedAt(VoterIndex voter) const { return state_ != State::superseded && joinedAt_.contains(voter); }

  // A voter that can be reached reported the newest start of this name that it has on disk.
  void onNewestKnown(Instant now, VoterIndex voter, const Incarnation& newest);
  // A voter answered a join request with the newest start that it has on disk now.
  void onJoinReply(Instant now, VoterIndex voter, const Incarnation& newest);
  // A voter can't be reached any more.
  void onVoterLost(VoterIndex voter);

  // Ends a pause that is over. Returns when the next call is due; never: none is.
  Instant runTimers(Instant now);
  // Since the last call.
  [[nodiscard]] std::vector<JoinRequest> takeJoinRequests() { return std::exchange(joinRequests_, {}); }

 private:
  bool isHigher(const Incarnation& other) const {
    return other.number > incarnation_.number ||
           (other.number == incarnation_.number && other.draw != incarnation_.draw);
  }
  // The number after the highest that voters reported, within reason.
  std::uint64_t nextNumber() const;
  void requestJoin();
  // By what the voters know now.
  void updateState(Instant now);
  Duration drawPause();

  std::size_t voterCount_;
  std::mt19937_64 random_;
  State state_ = State::discovering;
  Incarnation incarnation_;
  std::map<VoterIndex, Incarnation> newestKnown_;  // at each voter that can be reached
  std::set<VoterIndex> joinedAt_;                  // voters that have incarnation_ on disk
  Instant backsOffUntil_;
  std::vector<JoinRequest> joinRequests_;
};

// As status documents and logs have it.
std::string_view nameOf(JoinProtocol::State state);

}  // namespace gulltrestle::membership
