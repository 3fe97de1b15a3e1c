// Determines which routers are alive from the reports of several voters. Does no I/O and reads no clock: the
// reports of a voter count while it is reachable.
//
//   state      reported by voters
//   alive      alive, with the same start, by more than half
//   dead       silent or removed, by more than half
//   suspected  silent or removed, by some
//   unknown    none of these
//
// One voter that receives nothing (cut off in one direction, slow, or reporting falsely) cannot make a router
// dead. A router that reaches no voter sees all routers as unknown and none as dead. A dead router becomes
// alive again when more than half of the voters receive its messages again.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "membership/membership_types.h"

namespace gulltrestle::membership {

// One router's view of the routers. Used by cluster/membership_service.h.
class MembershipView {
 public:
  explicit MembershipView(std::size_t voterCount) : voterCount_(voterCount) {}

  enum class State { unknown, suspected, alive, dead };
  struct Member {
    State state = State::unknown;
    // The number of the start that is alive; otherwise the highest number that more than half of the voters
    // report as reached.
    std::uint64_t incarnation = 0;
    MemberProgress progress;  // minimum of each field over the voters that report the router alive
    std::vector<VoterIndex> silentVoters;  // voters that report it silent or removed
    std::size_t removedCount = 0;          // number of those that report it removed
  };

  // Applies the voter's latest reports of these routers.
  void onReports(VoterIndex voter, const std::vector<LivenessReport>& reports);
  // Discards the reports of a voter that is no longer reachable.
  void onVoterLost(VoterIndex voter);

  Member memberState(const std::string& router) const;
  // Names of the routers that any reachable voter reports.
  std::vector<std::string> routers() const;
  // The number of routers in this state.
  std::size_t count(State state) const;

  // A router became dead, or alive after it was dead.
  struct Transition {
    std::string router;
    State to;
    std::uint64_t incarnation;
    std::size_t silentVoterCount;
  };
  // Returns and clears the transitions since the last call.
  [[nodiscard]] std::vector<Transition> takeTransitions() { return std::exchange(transitions_, {}); }

 private:
  struct Router {
    std::map<VoterIndex, LivenessReport> reports;
    State state = State::unknown;
    bool wasDead = false;
  };
  // The start that most voters report alive, and the number of these voters.
  struct VoterSupport {
    std::size_t voters = 0;
    std::uint64_t incarnation = 0;
  };
  static VoterSupport widestSupport(const Router& router);
  static MemberProgress minimumProgress(const Router& router);
  // The highest number that more than half of the voters report as reached; 0 if too few voters report.
  std::uint64_t incarnationReached(const Router& router) const;
  Member memberOf(const Router& router) const;
  void updateState(const std::string& name, Router& router);

  std::size_t voterCount_;
  std::map<std::string, Router> routers_;  // at most kMaxRouters
  std::vector<Transition> transitions_;
};

// The state's name in status documents and logs.
std::string_view nameOf(MembershipView::State state);

}  // namespace gulltrestle::membership
