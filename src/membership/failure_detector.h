// A voter's failure detector: which routers are members, which start of each speaks here, and which are
// alive. No I/O, no clock.
//
//   liveness of a router  what it is                                       goes to
//   awaited               nothing was heard since this voter started       alive, or silent
//   alive                 the start that speaks sent something             silent: nothing for kTimeout
//   silent                it sent nothing for that long                    alive
//   removed               an operator took it off the list: what it sends  awaited: back on the list
//                         counts no more
//
// A start speaks once its number is on this voter's disk, until a higher one is. A voter that stood still
// itself has heard nobody meanwhile, which says nothing of them: that time is not counted.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "membership/membership_types.h"

namespace gulltrestle::membership {

// The routers as one voter sees them. Used by cluster/membership.h at routers that are voters.
class FailureDetector {
 public:
  // Routers send a heartbeat each second (membership/heartbeat_timer.h); three that did not come are more
  // than a busy machine.
  static constexpr Duration kTimeout = Duration::millis(3500);
  // How often checkTimeouts() has to be called; a gap of twice that is time in which this voter stood still.
  static constexpr Duration kCheckInterval = Duration::millis(500);

  // `stored`: what the disk holds, also of routers that are on the list no more.
  FailureDetector(Instant now, const std::set<std::string>& members,
                  std::map<std::string, Incarnation> stored);

  // The operators' list of routers was read anew.
  void setMembers(Instant now, const std::set<std::string>& members);
  bool isMember(const std::string& router) const { return list_.contains(router); }

  // The newest start that is known, on disk or on the way there.
  Incarnation newestIncarnation(const std::string& router) const;
  // A start asks to be this one. What newestIncarnation() gives afterwards is its answer, once changes are
  // durable.
  void onJoinRequest(Instant now, const std::string& router, const Incarnation& requested);
  // Whether the start of that draw speaks for the router here.
  bool isCurrent(const std::string& router, std::uint64_t draw) const;
  // It sent something; nothing of it counts where it does not speak. `progress`: none where it sent none.
  void onHeartbeat(Instant now, const std::string& router, std::uint64_t draw,
                   std::optional<MemberProgress> progress);

  // Finds routers that have become silent. To be called every kCheckInterval or more often.
  void checkTimeouts(Instant now);

  // Reports that changed after `version`, at most so many, oldest change first; `version` becomes that of the
  // last one.
  std::vector<LivenessReport> reportsSince(std::uint64_t& version, std::size_t maxReports) const;
  std::vector<LivenessReport> allReports() const;
  // Since the last call; to be made durable before anybody is answered.
  std::vector<IncarnationChange> takeChanges() { return std::exchange(changes_, {}); }

 private:
  struct Member {
    Incarnation newest;
    Liveness liveness = Liveness::awaited;
    Instant lastHeard;
    MemberProgress progress;
    std::uint64_t version = 0;  // of its last change
  };
  LivenessReport reportOf(const std::string& router, const Member& member) const {
    return {router, member.newest, member.liveness, member.progress};
  }
  void addMember(Instant now, const std::string& router);
  // Gives the member's report a new version.
  void markChanged(const std::string& router, Member& member);

  std::set<std::string> list_;
  std::map<std::string, Member> members_;                // those on the list, and those that left it since
  std::map<std::string, Incarnation> storedNonMembers_;  // on disk and not on the list
  std::map<std::uint64_t, std::string> byVersion_;       // each member once
  std::uint64_t version_ = 0;
  Instant lastCall_, lastCheck_;  // of checkTimeouts(), and the last in which it looked at all members
  std::vector<IncarnationChange> changes_;
};

}  // namespace gulltrestle::membership
