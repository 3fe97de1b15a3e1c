#include "membership/failure_detector.h"

namespace gulltrestle::membership {

Roll::Roll(Instant now, const std::set<std::string>& list, std::map<std::string, Incarnation> kept)
    : others_(std::move(kept)), turnedAt_(now) {
  Roll::list(now, list);
}

void Roll::list(Instant now, const std::set<std::string>& list) {
  for (const auto& router : list) {
    if (list_.contains(router)) continue;
    Member& member = members_[router];
    if (const auto at = others_.find(router); at != others_.end()) {
      member.newest = at->second;
      others_.erase(at);
    }
    member.hearing = Hearing::awaited;
    member.heardAt = now;
    changed(router, member);
  }
  for (const auto& router : list_)
    if (!list.contains(router)) {
      members_.at(router).hearing = Hearing::left;
      changed(router, members_.at(router));
    }
  list_ = list;
}

void Roll::changed(const std::string& router, Member& member) {
  byVersion_.erase(member.version);
  member.version = ++version_;
  byVersion_[member.version] = router;
}

Incarnation Roll::newest(const std::string& router) const {
  const auto at = members_.find(router);
  return at == members_.end() ? Incarnation() : at->second.newest;
}

void Roll::enters(Instant now, const std::string& router, const Incarnation& start) {
  if (!list_.contains(router)) return;
  Member& member = members_.at(router);
  const std::uint64_t known = member.newest.number;
  if (start.number <= known || start.number > known + kLeap || start.number >= kMostNumber) return;
  member.newest = start;
  member.heardAt = now;
  member.hearing = Hearing::heard;
  changes_.emplace_back(router, start);
  changed(router, member);
}

bool Roll::speaks(const std::string& router, std::uint64_t draw) const {
  const auto at = members_.find(router);
  return at != members_.end() && list_.contains(router) && at->second.newest.number > 0 &&
         at->second.newest.draw == draw;
}

void Roll::heard(Instant now, const std::string& router, std::uint64_t draw, std::optional<Progress> told) {
  if (!speaks(router, draw)) return;
  Member& member = members_.at(router);
  const Progress progress = told.value_or(member.progress);
  member.heardAt = now;
  if (member.hearing == Hearing::heard && member.progress == progress) return;
  member.hearing = Hearing::heard;
  member.progress = progress;
  changed(router, member);
}

void Roll::turn(Instant now) {
  const Span gap = now - turnedAt_;
  turnedAt_ = now;
  const bool stoodStill = gap > kTurn * 2;
  // Not in each of a busy keeper's many turns.
  if (!stoodStill && now - lookedAt_ < kTurn) return;
  lookedAt_ = now;
  for (auto& [router, member] : members_) {
    if (stoodStill) member.heardAt = member.heardAt + gap;
    if (member.hearing == Hearing::silent || member.hearing == Hearing::left) continue;
    if (now - member.heardAt < kSilence) continue;
    member.hearing = Hearing::silent;
    changed(router, member);
  }
}

std::vector<Report> Roll::since(std::uint64_t& version, std::size_t most) const {
  std::vector<Report> out;
  for (auto at = byVersion_.upper_bound(version); at != byVersion_.end() && out.size() < most; ++at) {
    out.push_back(reportOf(at->second, members_.at(at->second)));
    version = at->first;
  }
  return out;
}

std::vector<Report> Roll::all() const {
  std::vector<Report> out;
  for (const auto& [router, member] : members_) out.push_back(reportOf(router, member));
  return out;
}

}  // namespace gulltrestle::membership
