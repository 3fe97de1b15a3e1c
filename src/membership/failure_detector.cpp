#include "membership/failure_detector.h"

namespace gulltrestle::membership {

FailureDetector::FailureDetector(Instant now, const std::set<std::string>& members,
                                 std::map<std::string, Incarnation> stored)
    : storedNonMembers_(std::move(stored)), lastCalledAt_(now) {
  setMembers(now, members);
}

void FailureDetector::setMembers(Instant now, const std::set<std::string>& members) {
  for (const auto& router : members)
    if (!memberNames_.contains(router)) addMember(now, router);
  for (const auto& router : memberNames_) {
    if (members.contains(router)) continue;
    Member& member = members_.at(router);
    member.liveness = Liveness::removed;
    advanceVersion(router, member);
  }
  memberNames_ = members;
}

void FailureDetector::addMember(Instant now, const std::string& router) {
  Member& member = members_[router];
  if (const auto stored = storedNonMembers_.find(router); stored != storedNonMembers_.end()) {
    member.newest = stored->second;
    storedNonMembers_.erase(stored);
  }
  member.liveness = Liveness::awaited;
  member.lastReceivedAt = now;
  advanceVersion(router, member);
}

void FailureDetector::advanceVersion(const std::string& router, Member& member) {
  byVersion_.erase(member.version);
  member.version = ++version_;
  byVersion_[member.version] = router;
}

Incarnation FailureDetector::newestIncarnation(const std::string& router) const {
  const auto member = members_.find(router);
  return member == members_.end() ? Incarnation() : member->second.newest;
}

void FailureDetector::onJoinRequest(Instant now, const std::string& router, const Incarnation& requested) {
  if (!memberNames_.contains(router)) return;
  Member& member = members_.at(router);
  const std::uint64_t known = member.newest.number;
  const bool isPlausible =
      requested.number <= known + kMaxIncarnationStep && requested.number < kMaxIncarnation;
  if (requested.number <= known || !isPlausible) return;
  member.newest = requested;
  member.lastReceivedAt = now;
  member.liveness = Liveness::alive;
  changes_.push_back({.router = router, .incarnation = requested});
  advanceVersion(router, member);
}

bool FailureDetector::isCurrent(const std::string& router, std::uint64_t draw) const {
  const auto member = members_.find(router);
  if (member == members_.end() || !memberNames_.contains(router)) return false;
  const Incarnation& newest = member->second.newest;
  return newest.number > 0 && newest.draw == draw;
}

void FailureDetector::onHeartbeat(Instant now, const std::string& router, std::uint64_t draw,
                                  std::optional<MemberProgress> progress) {
  if (!isCurrent(router, draw)) return;
  Member& member = members_.at(router);
  const MemberProgress newProgress = progress.value_or(member.progress);
  member.lastReceivedAt = now;
  if (member.liveness == Liveness::alive && member.progress == newProgress) return;
  member.liveness = Liveness::alive;
  member.progress = newProgress;
  advanceVersion(router, member);
}

void FailureDetector::checkTimeouts(Instant now) {
  const Duration gap = now - lastCalledAt_;
  lastCalledAt_ = now;
  const bool wasSuspended = gap > kCheckInterval * 2;
  // Limits the rate of full checks: a busy voter calls this in every event loop turn.
  if (!wasSuspended && now - lastCheckedAt_ < kCheckInterval) return;
  lastCheckedAt_ = now;
  for (auto& [router, member] : members_) {
    if (wasSuspended) member.lastReceivedAt = member.lastReceivedAt + gap;
    if (member.liveness == Liveness::silent || member.liveness == Liveness::removed) continue;
    if (now - member.lastReceivedAt < kTimeout) continue;
    member.liveness = Liveness::silent;
    advanceVersion(router, member);
  }
}

std::vector<LivenessReport> FailureDetector::reportsSince(std::uint64_t& version,
                                                          std::size_t maxReports) const {
  std::vector<LivenessReport> reports;
  auto change = byVersion_.upper_bound(version);
  for (; change != byVersion_.end() && reports.size() < maxReports; ++change) {
    const std::string& router = change->second;
    reports.push_back(reportOf(router, members_.at(router)));
    version = change->first;
  }
  return reports;
}

std::vector<LivenessReport> FailureDetector::allReports() const {
  std::vector<LivenessReport> reports;
  for (const auto& [router, member] : members_) reports.push_back(reportOf(router, member));
  return reports;
}

}  // namespace gulltrestle::membership
