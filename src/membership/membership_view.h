// Which routers are alive, by the reports of several voters. No I/O, no clock: a voter's reports count while
// it can be reached.
//
//   state      reported by voters
//   alive      alive, with the same start, by more than half
//   dead       silent or removed, by more than half
//   suspected  silent or removed, by some
//   unknown    none of these
//
// One voter that receives nothing (cut off in one direction, slow, or reporting falsely) makes no router
// dead; nor is one dead to a router that reaches no voter, for which all are unknown. A router that more than
// half of the voters receive messages from again is alive again.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "membership/membership_types.h"

namespace gulltrestle::membership {

// The routers as one router sees them. Used by cluster/membership_service.h.
class MembershipView {
 public:
  explicit MembershipView(std::size_t voterCount) : voterCount_(voterCount) {}

  enum class State { unknown, suspected, alive, dead };
  struct Member {
    State state = State::unknown;
    // The number of the start that is alive; else the one that more than half of the voters know was reached.
    std::uint64_t incarnation = 0;
    MemberProgress progress;               // the least of each field, over the voters that report it alive
    std::vector<VoterIndex> silentVoters;  // that report it silent or removed
    std::size_t removedCount = 0;          // of those, that report it removed
  };

  // What the voter reports now of these routers.
  void onReports(VoterIndex voter, const std::vector<LivenessReport>& reports);
  // The voter can't be reached: its reports don't count any more.
  void onVoterLost(VoterIndex voter);

  Member memberState(const std::string& router) const;
  // That any reachable voter reports.
  std::vector<std::string> routers() const;
  // How many routers are in this state.
  std::size_t count(State state) const;

  // A router is dead now, or alive after it was dead.
  struct Transition {
    std::string router;
    State to;
    std::uint64_t incarnation;
    std::size_t silentVoterCount;
  };
  // Since the last call.
  [[nodiscard]] std::vector<Transition> takeTransitions() { return std::exchange(transitions_, {}); }

 private:
  struct Router {
    std::map<VoterIndex, LivenessReport> reports;
    State state = State::unknown;
    bool wasDead = false;
  };
  // The start that most voters report alive, and how many do.
  struct VoterSupport {
    std::size_t voters = 0;
    std::uint64_t incarnation = 0;
  };
  static VoterSupport widestSupport(const Router& router);
  static MemberProgress leastProgress(const Router& router);
  // The number that more than half of the voters know was reached; 0 where too few report.
  std::uint64_t incarnationReached(const Router& router) const;
  Member memberOf(const Router& router) const;
  void updateState(const std::string& name, Router& router);

  std::size_t voterCount_;
  std::map<std::string, Router> routers_;  // at most kMaxRouters
  std::vector<Transition> transitions_;
};

// As status documents and logs have it.
std::string_view nameOf(MembershipView::State state);

}  // namespace gulltrestle::membership
