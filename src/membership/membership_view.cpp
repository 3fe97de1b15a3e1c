#include "membership/membership_view.h"

#include <algorithm>
#include <functional>
#include <map>

namespace gulltrestle::membership {

namespace {

// Names that a keeper may tell of: beyond this it tells falsely, or the fleet is not one that was meant.
constexpr std::size_t kMostRouters = 10'000;

}  // namespace

std::string_view nameOf(MembershipView::State state) {
  constexpr std::string_view kNames[] = {"unknown", "suspected", "lives", "out"};
  return kNames[static_cast<int>(state)];
}

MembershipView::Member MembershipView::judged(const Known& known) const {
  const std::size_t wanted = majorityOf(keepers_);
  Member member;
  std::size_t heard = 0, most = 0;
  std::vector<std::uint64_t> numbers;
  std::map<std::uint64_t, std::size_t> starts;  // that are heard, by how many
  for (const auto& [keeper, report] : known.reports) {
    numbers.push_back(report.incarnation.number);
    if (report.liveness == Liveness::alive) {
      const MemberProgress& told = report.progress;
      MemberProgress& least = member.progress;
      if (heard++ == 0)
        least = told;
      else
        least = {std::min(least.recoveryStage, told.recoveryStage),
                 std::min(least.planVersion, told.planVersion),
                 std::min(least.drainedVersion, told.drainedVersion)};
      // Guards against a start that died and has not been missed yet at one keeper, beside its next one that
      // another hears: that is one keeper for each, and nobody that lives.
      const std::size_t same = ++starts[report.incarnation.number];
      if (same > most) {
        most = same;
        if (same >= wanted) member.incarnation = report.incarnation.number;
      }
    } else if (report.liveness != Liveness::awaited) {
      member.silent.push_back(keeper);
      member.left += report.liveness == Liveness::removed;
    }
  }
  std::sort(numbers.begin(), numbers.end(), std::greater<>());
  if (most < wanted && numbers.size() >= wanted) member.incarnation = numbers[wanted - 1];
  member.state = most >= wanted                   ? State::alive
                 : member.silent.size() >= wanted ? State::dead
                 : !member.silent.empty()         ? State::suspected
                                                  : State::unknown;
  return member;
}

void MembershipView::judge(const std::string& router, Known& known) {
  const Member member = judged(known);
  const State before = std::exchange(known.state, member.state);
  if (before == member.state || (member.state != State::dead && member.state != State::alive)) return;
  const bool isOut = member.state == State::dead;
  if (std::exchange(known.wasOut, isOut) != isOut)
    steps_.push_back({router, member.state, member.incarnation, member.silent.size()});
}

void MembershipView::onReports(VoterIndex keeper, const std::vector<LivenessReport>& reports) {
  for (const auto& report : reports) {
    if (!routers_.contains(report.router) && routers_.size() >= kMostRouters) continue;
    Known& known = routers_[report.router];
    known.reports[keeper] = report;
    judge(report.router, known);
  }
}

void MembershipView::onVoterLost(VoterIndex keeper) {
  for (auto at = routers_.begin(); at != routers_.end();) {
    if (at->second.reports.erase(keeper) > 0) judge(at->first, at->second);
    at = at->second.reports.empty() ? routers_.erase(at) : std::next(at);
  }
}

MembershipView::Member MembershipView::memberState(const std::string& router) const {
  const auto at = routers_.find(router);
  return at == routers_.end() ? Member() : judged(at->second);
}

std::vector<std::string> MembershipView::routers() const {
  std::vector<std::string> names;
  for (const auto& [router, known] : routers_) names.push_back(router);
  return names;
}

std::size_t MembershipView::count(State state) const {
  return static_cast<std::size_t>(std::count_if(routers_.begin(), routers_.end(),
                                                [&](const auto& one) { return one.second.state == state; }));
}

}  // namespace gulltrestle::membership
