// Which routers are alive, by the reports of several voters. No I/O, no clock: a voter's reports count while
// it can be reached.
//
//   state      what more than half of the voters report        else
//   alive      they hear it, and the same start
//   dead       they don't: it is silent, or off the list       suspected: some do not hear it
//                                                              unknown: too few report anything
//
// One voter that hears nobody (cut off one way, slow, or reporting falsely) makes nobody dead; nor does a
// router that hears no voter, to which all are unknown. A router that is heard again is alive again.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "membership/membership_types.h"

namespace gulltrestle::membership {

// The routers as one router sees them. Used by cluster/membership.h.
class MembershipView {
 public:
  explicit MembershipView(std::size_t voterCount) : voterCount_(voterCount) {}

  enum class State { unknown, suspected, alive, dead };
  struct Member {
    State state = State::unknown;
    // The start that is alive; else the number that more than half of the voters know it has reached.
    std::uint64_t incarnation = 0;
    MemberProgress progress;         // the least of each that a voter which hears it reports
    std::vector<VoterIndex> silent;  // voters that do not hear it
    std::size_t left = 0;            // of those, that have it off the list
  };

  void onReports(VoterIndex voter, const std::vector<LivenessReport>& reports);
  // It can't be reached: its reports count no more.
  void onVoterLost(VoterIndex voter);

  Member memberState(const std::string& router) const;
  std::vector<std::string> routers() const;
  // How many are in this state.
  std::size_t count(State state) const;

  // A router has come to be dead, or alive after it was dead.
  struct Transition {
    std::string router;
    State to;
    std::uint64_t incarnation;
    std::size_t silentAt;
  };
  // Since the last call.
  std::vector<Transition> takeTransitions() { return std::exchange(transitions_, {}); }

 private:
  struct Router {
    std::map<VoterIndex, LivenessReport> reports;
    State state = State::unknown;
    bool wasDead = false;
  };
  // How many voters hear the start that most of them hear.
  struct VoterSupport {
    std::size_t voters = 0;
    std::uint64_t incarnation = 0;
  };
  static VoterSupport widestSupport(const Router& router);
  static MemberProgress leastProgress(const Router& router);
  // The number that more than half of the voters know it has reached; 0 where too few report.
  std::uint64_t incarnationReached(const Router& router) const;
  Member judged(const Router& router) const;
  void updateState(const std::string& name, Router& router);

  std::size_t voterCount_;
  std::map<std::string, Router> routers_;  // bounded by what reachable voters have on their lists
  std::vector<Transition> transitions_;
};

// As status documents and logs have it.
std::string_view nameOf(MembershipView::State state);

}  // namespace gulltrestle::membership
