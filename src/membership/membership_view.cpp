#include "membership/membership_view.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>

namespace gulltrestle::membership {

namespace {

// Names that voters may report: beyond this one of them reports falsely, or the fleet is larger than
// supported.
constexpr std::size_t kMaxRouters = 10'000;

}  // namespace

std::string_view nameOf(MembershipView::State state) {
  constexpr std::string_view kNames[] = {"unknown", "suspected", "lives", "out"};
  return kNames[static_cast<int>(state)];
}

// Counted by start: where one voter has not noticed yet that a start died, and another receives messages from
// the next one, each start has one voter, and the router is not alive by two.
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

MemberProgress MembershipView::leastProgress(const Router& router) {
  std::optional<MemberProgress> least;
  for (const auto& [voter, report] : router.reports) {
    if (report.liveness != Liveness::alive) continue;
    const MemberProgress& progress = report.progress;
    if (!least) least = progress;
    least->recoveryStage = std::min(least->recoveryStage, progress.recoveryStage);
    least->planVersion = std::min(least->planVersion, progress.planVersion);
    least->drainedVersion = std::min(least->drainedVersion, progress.drainedVersion);
  }
  return least.value_or(MemberProgress());
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
  member.progress = leastProgress(router);
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
  for (auto at = routers_.begin(); at != routers_.end();) {
    auto& [name, router] = *at;
    if (router.reports.erase(voter) > 0) updateState(name, router);
    at = router.reports.empty() ? routers_.erase(at) : std::next(at);
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
  return static_cast<std::size_t>(std::count_if(routers_.begin(), routers_.end(),
                                                [&](const auto& one) { return one.second.state == state; }));
}

}  // namespace gulltrestle::membership
