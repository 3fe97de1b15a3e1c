// A keeper's roll: who belongs, which start of each router speaks here, and which are heard. No I/O, no
// clock.
//
//   hearing of a router   what it is                                       goes to
//   awaited               nothing was heard since this keeper started      heard, or silent
//   heard                 the start that speaks said something             silent: nothing for the time of
//                                                                          silence
//   silent                it said nothing for that long                    heard
//   left                  an operator took it off the list: what it says   awaited: back on the list
//                         counts no more
//
// A start speaks once its number is on this keeper's disk, until a higher one is. A keeper that stood still
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

class FailureDetector {
 public:
  // Routers say something each second (membership/heartbeat_timer.h); three that did not come are more than a
  // busy machine.
  static constexpr Duration kTimeout = Duration::millis(3500);
  // How often turn() has to be called; a longer gap is time in which this keeper stood still.
  static constexpr Duration kCheckInterval = Duration::millis(500);

  // `kept`: what the disk holds, also of routers that are on the list no more.
  FailureDetector(Instant now, const std::set<std::string>& list, std::map<std::string, Incarnation> kept);

  // The list was read anew.
  void setMembers(Instant now, const std::set<std::string>& list);
  bool isMember(const std::string& router) const { return list_.contains(router); }

  // The newest start that is known, on disk or on the way there.
  Incarnation newestIncarnation(const std::string& router) const;
  // A start wishes to be this. What newest() gives afterwards is its answer, once changes are durable.
  void onJoinRequest(Instant now, const std::string& router, const Incarnation& start);
  bool isCurrent(const std::string& router, std::uint64_t draw) const;
  // It said something; nothing of it counts where it does not speak. `progress`: where it told it.
  void onHeartbeat(Instant now, const std::string& router, std::uint64_t draw,
                   std::optional<MemberProgress> progress);

  void checkTimeouts(Instant now);

  // Reports that changed after `version`, at most so many, oldest change first; `version` becomes that of the
  // last one.
  std::vector<LivenessReport> reportsSince(std::uint64_t& version, std::size_t most) const;
  std::vector<LivenessReport> allReports() const;
  // Numbers to be made durable before anybody is told, since it was last asked.
  std::vector<std::pair<std::string, Incarnation>> takeChanges() { return std::exchange(changes_, {}); }

 private:
  struct Member {
    Incarnation newest;
    Liveness hearing = Liveness::awaited;
    Instant heardAt;
    MemberProgress progress;
    std::uint64_t version = 0;  // of its last change
  };
  LivenessReport reportOf(const std::string& router, const Member& member) const {
    return {router, member.newest, member.hearing, member.progress};
  }
  void changed(const std::string& router, Member& member);

  std::set<std::string> list_;
  std::map<std::string, Member> members_;           // those on the list, and those that left it since
  std::map<std::string, Incarnation> others_;       // on disk and not on the list
  std::map<std::uint64_t, std::string> byVersion_;  // each member once
  std::uint64_t version_ = 0;
  Instant turnedAt_, lookedAt_;  // the last turn, and the last in which silence was looked for
  std::vector<std::pair<std::string, Incarnation>> changes_;
};

}  // namespace gulltrestle::membership
