// How the start of a router comes by the number by which it speaks. No I/O, no clock.
//
//   state       what it is                                        goes to
//   asking      it hears from keepers the newest start of its     entering: more than half have told theirs
//               name that each has on disk
//   entering    it asks to be the number after the highest        entered: more than half have it on disk
//                                                                 resting: so many have another that they
//                                                                 can't be more than half any more
//   resting     another process uses its name, or an earlier      entering, with a higher number, after a
//               start's word came late                            pause that is drawn
//   entered     the number is fact: any later start's is higher   superseded: more than half know a higher
//   one superseded  another process speaks for this name, for good
//
// Guards against two processes that use one name (a copied configuration, a machine that was replaced and
// comes back), and against a process that stood still while another took its place: what it says counts no
// more at any keeper that knows the newer one. Hurts where both are started again and again: each time the
// later one speaks. One keeper, or any minority, that tells falsely of higher numbers stops nobody.
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

class JoinProtocol {
 public:
  enum class State { discovering, joining, backingOff, joined, superseded };

  // `draw`: of this start.
  JoinProtocol(std::size_t keepers, std::uint64_t draw);

  State state() const { return state_; }
  // Number 0 while it asks.
  const Incarnation& incarnation() const { return own_; }
  // Keepers that have it on disk: those at which this start may speak.
  bool isJoinedAt(VoterIndex keeper) const { return state_ != State::superseded && has_.contains(keeper); }

  // A keeper that can be reached told the newest start of this name that it has on disk.
  void onNewestKnown(Instant now, VoterIndex keeper, const Incarnation& newest);
  // It answered the wish to be `number`: the newest that it has on disk now.
  void onJoinReply(Instant now, VoterIndex keeper, const Incarnation& newest);
  void onVoterLost(VoterIndex keeper);

  // Returns when there is more to do; never: nothing is.
  Instant runTimers(Instant now);
  // Whom to ask to be which number, since it was last asked.
  std::vector<std::pair<VoterIndex, std::uint64_t>> takeJoinRequests() { return std::exchange(wishes_, {}); }

 private:
  bool isHigher(const Incarnation& other) const {
    return other.number > own_.number || (other.number == own_.number && other.draw != own_.draw);
  }
  void wish();
  void judge(Instant now);

  std::size_t keepers_;
  std::mt19937_64 chance_;
  State state_ = State::discovering;
  Incarnation own_;
  std::map<VoterIndex, Incarnation> newest_;  // that each reachable keeper told last
  std::set<VoterIndex> has_;                  // ours, durably
  Instant restsUntil_;
  std::vector<std::pair<VoterIndex, std::uint64_t>> wishes_;
};

std::string_view nameOf(JoinProtocol::State state);

}  // namespace gulltrestle::membership
