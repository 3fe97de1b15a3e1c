// Who lives, by what several keepers say. No I/O, no clock: what a keeper says counts while it can be
// reached.
//
//   state      what more than half of the keepers say          else
//   lives      they hear it, and the same start
//   out        they don't: nothing for the time of silence,    suspected: some do not hear it
//              or it is off the list                           unknown: too few say anything
//
// One keeper that hears nobody (cut off one way, slow, or telling falsely) counts nobody out; nor does a
// router that hears no keeper, to which all are unknown. Who is heard again lives again.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "membership/membership_types.h"

namespace gulltrestle::membership {

class MembershipView {
 public:
  explicit MembershipView(std::size_t keepers) : keepers_(keepers) {}

  enum class State { unknown, suspected, alive, dead };
  struct Member {
    State state = State::unknown;
    // The start that lives; else the number that more than half of the keepers know it has reached.
    std::uint64_t incarnation = 0;
    MemberProgress progress;  // the least of each that one who hears it was told
    std::vector<VoterIndex> silent;
    std::size_t left = 0;  // of those, that have it off the list
  };

  void onReports(VoterIndex keeper, const std::vector<LivenessReport>& reports);
  // It can't be reached: what it said counts no more.
  void onVoterLost(VoterIndex keeper);

  Member memberState(const std::string& router) const;
  std::vector<std::string> routers() const;
  // How many are in this state.
  std::size_t count(State state) const;

  // A router has come to be out, or lives after it was, since it was last asked.
  struct Transition {
    std::string router;
    State to;
    std::uint64_t incarnation;
    std::size_t silentAt;
  };
  std::vector<Transition> takeTransitions() { return std::exchange(steps_, {}); }

 private:
  struct Known {
    std::map<VoterIndex, LivenessReport> reports;
    State state = State::unknown;
    bool wasOut = false;
  };
  Member judged(const Known& known) const;
  void judge(const std::string& router, Known& known);

  std::size_t keepers_;
  std::map<std::string, Known> routers_;  // bounded by what reachable keepers have on their lists
  std::vector<Transition> steps_;
};

std::string_view nameOf(MembershipView::State state);

}  // namespace gulltrestle::membership
