#include "membership/membership_view.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>

namespace gulltrestle::membership {

namespace {

// Maximum number of router names from the voters' reports. More names mean that a voter reports falsely or
// that the fleet is larger than supported.
constexpr std::size_t kMaxRouters = 10'000;

}  // namespace

std::string_view nameOf(MembershipView::State state) {
  constexpr std::string_view kNames[] = {"unknown", "suspected", "lives", "out"};
  return kNames[static_cast<int>(state)];
}

// Voters are counted separately for each start. If one voter has not detected yet that a start ended, and
// another receives messages of the next start, each start is supported by one voter, and the two do not add
// up.
MembershipView::VoterSupport MembershipView::widestSupport(const Router& router) {
  std::map<std::uint64_t, std::size_t> votersOfIncarnation;
  VoterSupport widest;
  for (const auto& [voter, report] : router.reports) {
    if (report.liveness != Liveness::alive) continue;
    const std::size_t voters = ++votersOfIncarnation[report.incarnation.number];
    if (voters > widest.voters) widest = {voters, report.incarnation.number};
  }
  return widest;
}

MemberProgress MembershipView::minimumProgress(const Router& router) {
  std::optional<MemberProgress> minimum;
  for (const auto& [voter, report] : router.reports) {
    if (report.liveness != Liveness::alive) continue;
    const MemberProgress& progress = report.progress;
    if (!minimum) minimum = progress;
    minimum->recoveryStage = std::min(minimum->recoveryStage, progress.recoveryStage);
    minimum->planVersion = std::min(minimum->planVersion, progress.planVersion);
    minimum->drainedVersion = std::min(minimum->drainedVersion, progress.drainedVersion);
  }
  return minimum.value_or(MemberProgress());
}

std::uint64_t MembershipView::incarnationReached(const Router& router) const {
  const std::size_t majority = majorityOf(voterCount_);
  std::vector<std::uint64_t> numbers;
  for (const auto& [voter, report] : router.reports) numbers.push_back(report.incarnation.number);
  if (numbers.size() < majority) return 0;
  std::sort(numbers.begin(), numbers.end(), std::greater<>());
  return numbers[majority - 1];
}

MembershipView::Member MembershipView::memberOf(const Router& router) const {
  const std::size_t majority = majorityOf(voterCount_);
  const VoterSupport support = widestSupport(router);
  const bool isAlive = support.voters >= majority;
  Member member;
  member.progress = minimumProgress(router);
  member.incarnation = isAlive ? support.incarnation : incarnationReached(router);
  for (const auto& [voter, report] : router.reports) {
    if (report.liveness == Liveness::alive || report.liveness == Liveness::awaited) continue;
    member.silentVoters.push_back(voter);
    if (report.liveness == Liveness::removed) ++member.removedCount;
  }
  if (isAlive)
    member.state = State::alive;
  else if (member.silentVoters.size() >= majority)
    member.state = State::dead;
  else if (!member.silentVoters.empty())
    member.state = State::suspected;
  return member;
}

void MembershipView::updateState(const std::string& name, Router& router) {
  const Member member = memberOf(router);
  const State before = std::exchange(router.state, member.state);
  if (before == member.state || (member.state != State::dead && member.state != State::alive)) return;
  const bool isDead = member.state == State::dead;
  if (std::exchange(router.wasDead, isDead) != isDead)
    transitions_.push_back({.router = name,
                            .to = member.state,
                            .incarnation = member.incarnation,
                            .silentVoterCount = member.silentVoters.size()});
}

void MembershipView::onReports(VoterIndex voter, const std::vector<LivenessReport>& reports) {
  for (const LivenessReport& report : reports) {
    if (!routers_.contains(report.router) && routers_.size() >= kMaxRouters) continue;
    Router& router = routers_[report.router];
    router.reports[voter] = report;
    updateState(report.router, router);
  }
}

void MembershipView::onVoterLost(VoterIndex voter) {
  for (auto entry = routers_.begin(); entry != routers_.end();) {
    auto& [name, router] = *entry;
    if (router.reports.erase(voter) > 0) updateState(name, router);
    entry = router.reports.empty() ? routers_.erase(entry) : std::next(entry);
  }
}

MembershipView::Member MembershipView::memberState(const std::string& router) const {
  const auto found = routers_.find(router);
  return found == routers_.end() ? Member() : memberOf(found->second);
}

std::vector<std::string> MembershipView::routers() const {
  std::vector<std::string> names;
  for (const auto& [name, router] : routers_) names.push_back(name);
  return names;
}

std::size_t MembershipView::count(State state) const {
  return static_cast<std::size_t>(std::count_if(
      routers_.begin(), routers_.end(), [&](const auto& entry) { return entry.second.state == state; }));
}

}  // namespace gulltrestle::membership
