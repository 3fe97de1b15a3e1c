// A voter's failure detector: which routers are members, which start of each is the current one here, and
// which are alive. No I/O, no clock.
//
//   liveness of a router  what it is                                       goes to
//   awaited               it sent nothing since this voter started         alive, or silent
//   alive                 its current start sent a message                 silent: none for kTimeout
//   silent                it sent no message for that long                 alive
//   removed               an operator took it off the list: its messages   awaited: back on the list
//                         don't count
//
// A start is the current one from when its number is on this voter's disk until a higher one is. A voter that
// was suspended itself has received nothing meanwhile, which says nothing about others: that time is not
// counted.
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

// The routers as one voter sees them. Used by cluster/membership_service.h at routers that are voters.
class FailureDetector {
 public:
  // Three heartbeats (membership/heartbeat_timer.h), and what a busy machine may delay one.
  static constexpr Duration kTimeout = Duration::millis(3500);
  // How often checkTimeouts() has to be called; in a gap of twice that this voter was suspended.
  static constexpr Duration kCheckInterval = Duration::millis(500);

  // `stored`: the newest starts on disk, also of routers that are no members any more.
  FailureDetector(Instant now, const std::set<std::string>& members,
                  std::map<std::string, Incarnation> stored);

  // The operators' list of routers was read again.
  void setMembers(Instant now, const std::set<std::string>& members);
  bool isMember(const std::string& router) const { return memberNames_.contains(router); }

  // The newest start that is known, on disk or on the way there.
  Incarnation newestIncarnation(const std::string& router) const;
  // A start requests to be this incarnation. It is answered by newestIncarnation() once changes are durable.
  void onJoinRequest(Instant now, const std::string& router, const Incarnation& requested);
  // Whether the start of that draw is the router's current one here.
  bool isCurrent(const std::string& router, std::uint64_t draw) const;
  // A message of that start came; it counts only where the start is the current one. `progress`: none where
  // the message has none.
  void onHeartbeat(Instant now, const std::string& router, std::uint64_t draw,
                   std::optional<MemberProgress> progress);

  // Marks routers as silent whose timeout has passed. To be called every kCheckInterval or more often.
  void checkTimeouts(Instant now);

  // Reports that changed after `version`, at most `maxReports`, oldest change first. Sets `version` to that
  // of the last one.
  std::vector<LivenessReport> reportsSince(std::uint64_t& version, std::size_t maxReports) const;
  // Of all members, and of those removed since this voter started.
  std::vector<LivenessReport> allReports() const;
  // Since the last call; to be made durable before any answer is sent.
  [[nodiscard]] std::vector<IncarnationChange> takeChanges() { return std::exchange(changes_, {}); }

 private:
  struct Member {
    Incarnation newest;
    Liveness liveness = Liveness::awaited;
    Instant lastReceivedAt;
    MemberProgress progress;
    std::uint64_t version = 0;  // of its last change
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
  std::map<std::string, Member> members_;                // present ones, and those removed since
  std::map<std::string, Incarnation> storedNonMembers_;  // on disk and no members
  std::map<std::uint64_t, std::string> byVersion_;       // each of members_ once
  std::uint64_t version_ = 0;
  Instant lastCalledAt_;   // checkTimeouts()
  Instant lastCheckedAt_;  // when it last looked at all members
  std::vector<IncarnationChange> changes_;
};

}  // namespace gulltrestle::membership
