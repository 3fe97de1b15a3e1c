#include "membership/failure_detector.h"

namespace gulltrestle::membership {

FailureDetector::FailureDetector(Instant now, const std::set<std::string>& list,
                                 std::map<std::string, Incarnation> kept)
    : others_(std::move(kept)), turnedAt_(now) {
  FailureDetector::setMembers(now, list);
}

void FailureDetector::setMembers(Instant now, const std::set<std::string>& list) {
  for (const auto& router : list) {
    if (list_.contains(router)) continue;
    Member& member = members_[router];
    if (const auto at = others_.find(router); at != others_.end()) {
      member.newest = at->second;
      others_.erase(at);
    }
    member.hearing = Liveness::awaited;
    member.heardAt = now;
    changed(router, member);
  }
  for (const auto& router : list_)
    if (!list.contains(router)) {
      members_.at(router).hearing = Liveness::removed;
      changed(router, members_.at(router));
    }
  list_ = list;
}

void FailureDetector::changed(const std::string& router, Member& member) {
  byVersion_.erase(member.version);
  member.version = ++version_;
  byVersion_[member.version] = router;
}

Incarnation FailureDetector::newestIncarnation(const std::string& router) const {
  const auto at = members_.find(router);
  return at == members_.end() ? Incarnation() : at->second.newest;
}

void FailureDetector::onJoinRequest(Instant now, const std::string& router, const Incarnation& start) {
  if (!list_.contains(router)) return;
  Member& member = members_.at(router);
  const std::uint64_t known = member.newest.number;
  if (start.number <= known || start.number > known + kMaxIncarnationStep || start.number >= kMaxIncarnation)
    return;
  member.newest = start;
  member.heardAt = now;
  member.hearing = Liveness::alive;
  changes_.emplace_back(router, start);
  changed(router, member);
}

bool FailureDetector::isCurrent(const std::string& router, std::uint64_t draw) const {
  const auto at = members_.find(router);
  return at != members_.end() && list_.contains(router) && at->second.newest.number > 0 &&
         at->second.newest.draw == draw;
}

void FailureDetector::onHeartbeat(Instant now, const std::string& router, std::uint64_t draw,
                                  std::optional<MemberProgress> told) {
  if (!isCurrent(router, draw)) return;
  Member& member = members_.at(router);
  const MemberProgress progress = told.value_or(member.progress);
  member.heardAt = now;
  if (member.hearing == Liveness::alive && member.progress == progress) return;
  member.hearing = Liveness::alive;
  member.progress = progress;
  changed(router, member);
}

void FailureDetector::checkTimeouts(Instant now) {
  const Duration gap = now - turnedAt_;
  turnedAt_ = now;
  const bool stoodStill = gap > kCheckInterval * 2;
  // Not in each of a busy keeper's many turns.
  if (!stoodStill && now - lookedAt_ < kCheckInterval) return;
  lookedAt_ = now;
  for (auto& [router, member] : members_) {
    if (stoodStill) member.heardAt = member.heardAt + gap;
    if (member.hearing == Liveness::silent || member.hearing == Liveness::removed) continue;
    if (now - member.heardAt < kTimeout) continue;
    member.hearing = Liveness::silent;
    changed(router, member);
  }
}

std::vector<LivenessReport> FailureDetector::reportsSince(std::uint64_t& version, std::size_t most) const {
  std::vector<LivenessReport> out;
  for (auto at = byVersion_.upper_bound(version); at != byVersion_.end() && out.size() < most; ++at) {
    out.push_back(reportOf(at->second, members_.at(at->second)));
    version = at->first;
  }
  return out;
}

std::vector<LivenessReport> FailureDetector::allReports() const {
  std::vector<LivenessReport> out;
  for (const auto& [router, member] : members_) out.push_back(reportOf(router, member));
  return out;
}

}  // namespace gulltrestle::membership
