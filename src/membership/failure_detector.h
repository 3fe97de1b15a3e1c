// The failure detector of a voter: which routers are members, which start of each router is current at this
// voter, and which routers are alive. Does no I/O and reads no clock.
//
//   liveness  meaning                                              next state
//   awaited   nothing received since this voter started            alive, or silent
//   alive     a message of the current start was received          silent: no message for kTimeout
//   silent    no message received for kTimeout                     alive
//   removed   an operator removed the router from the list: its    awaited: back on the list
//             messages don't count
//
// A start is current from when its number is on this voter's disk until a higher number is. If this voter was
// suspended, it received nothing during that time, which says nothing about other routers, so that time is
// not counted.
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

// One voter's view of the routers. Used by cluster/membership_service.h at routers that are voters.
class FailureDetector {
 public:
  // Three heartbeat intervals (membership/heartbeat_timer.h), plus the delay that a busy machine may add.
  static constexpr Duration kTimeout = Duration::millis(3500);
  // Maximum interval between calls of checkTimeouts(). A gap of more than twice this means that this voter
  // was suspended.
  static constexpr Duration kCheckInterval = Duration::millis(500);

  // `stored`: the newest starts on disk, including those of routers that are no longer members.
  FailureDetector(Instant now, const std::set<std::string>& members,
                  std::map<std::string, Incarnation> stored);

  // Applies a reloaded list of routers.
  void setMembers(Instant now, const std::set<std::string>& members);
  bool isMember(const std::string& router) const { return memberNames_.contains(router); }

  // The newest known start, whether already on disk or still being written.
  Incarnation newestIncarnation(const std::string& router) const;
  // Handles a join request for this incarnation. The reply is newestIncarnation(), sent once the changes are
  // durable.
  void onJoinRequest(Instant now, const std::string& router, const Incarnation& requested);
  // Whether the start with this draw is the router's current one at this voter.
  bool isCurrent(const std::string& router, std::uint64_t draw) const;
  // Handles a message of this start, which counts only if the start is current. `progress`: nullopt if the
  // message carries none.
  void onHeartbeat(Instant now, const std::string& router, std::uint64_t draw,
                   std::optional<MemberProgress> progress);

  // Marks routers whose timeout has passed as silent. Must be called at least once per kCheckInterval.
  void checkTimeouts(Instant now);

  // Returns reports that changed after `version`, oldest change first, at most `maxReports`. Sets `version`
  // to the version of the last one returned.
  std::vector<LivenessReport> reportsSince(std::uint64_t& version, std::size_t maxReports) const;
  // Returns the reports of all members, and of members removed since this voter started.
  std::vector<LivenessReport> allReports() const;
  // Returns and clears the changes since the last call. They must be durable before any answer is sent.
  [[nodiscard]] std::vector<IncarnationChange> takeChanges() { return std::exchange(changes_, {}); }

 private:
  struct Member {
    Incarnation newest;
    Liveness liveness = Liveness::awaited;
    Instant lastReceivedAt;
    MemberProgress progress;
    std::uint64_t version = 0;  // version of its last change
  };
  LivenessReport reportOf(const std::string& router, const Member& member) const {
    return {.router = router,
            .incarnation = member.newest,
            .liveness = member.liveness,
            .progress = member.progress};
  }
  void addMember(Instant now, const std::string& router);
  // Gives the member's report a new version.
  void advanceVersion(const std::string& router, Member& member);

  std::set<std::string> memberNames_;
  std::map<std::string, Member> members_;  // current members, and those removed since the voter started
  std::map<std::string, Incarnation> storedNonMembers_;  // on disk but not members
  std::map<std::uint64_t, std::string> byVersion_;       // has each of members_ once
  std::uint64_t version_ = 0;
  Instant lastCalledAt_;   // checkTimeouts()
  Instant lastCheckedAt_;  // when checkTimeouts() last checked all members
  std::vector<IncarnationChange> changes_;
};

}  // namespace gulltrestle::membership
