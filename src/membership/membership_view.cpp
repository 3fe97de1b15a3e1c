#include "membership/membership_view.h"

#include <algorithm>
#include <functional>
#include <map>

namespace gulltrestle::membership {

namespace {

// Names that a keeper may tell of: beyond this it tells falsely, or the fleet is not one that was meant.
constexpr std::size_t kMostRouters = 10'000;

}  // namespace

std::string_view nameOf(View::State state) {
  constexpr std::string_view kNames[] = {"unknown", "suspected", "lives", "out"};
  return kNames[static_cast<int>(state)];
}

View::Member View::judged(const Known& known) const {
  const std::size_t wanted = majorityOf(keepers_);
  Member member;
  std::size_t heard = 0, most = 0;
  std::vector<std::uint64_t> numbers;
  std::map<std::uint64_t, std::size_t> starts;  // that are heard, by how many
  for (const auto& [keeper, report] : known.reports) {
    numbers.push_back(report.incarnation.number);
    if (report.hearing == Hearing::heard) {
      const Progress& told = report.progress;
      Progress& least = member.progress;
      if (heard++ == 0)
        least = told;
      else
        least = {std::min(least.stage, told.stage), std::min(least.known, told.known),
                 std::min(least.clear, told.clear)};
      // Guards against a start that died and has not been missed yet at one keeper, beside its next one that
      // another hears: that is one keeper for each, and nobody that lives.
      const std::size_t same = ++starts[report.incarnation.number];
      if (same > most) {
        most = same;
        if (same >= wanted) member.incarnation = report.incarnation.number;
      }
    } else if (report.hearing != Hearing::awaited) {
      member.silent.push_back(keeper);
      member.left += report.hearing == Hearing::left;
    }
  }
  std::sort(numbers.begin(), numbers.end(), std::greater<>());
  if (most < wanted && numbers.size() >= wanted) member.incarnation = numbers[wanted - 1];
  member.state = most >= wanted                   ? State::lives
                 : member.silent.size() >= wanted ? State::out
                 : !member.silent.empty()         ? State::suspected
                                                  : State::unknown;
  return member;
}

void View::judge(const std::string& router, Known& known) {
  const Member member = judged(known);
  const State before = std::exchange(known.state, member.state);
  if (before == member.state || (member.state != State::out && member.state != State::lives)) return;
  const bool isOut = member.state == State::out;
  if (std::exchange(known.wasOut, isOut) != isOut)
    steps_.push_back({router, member.state, member.incarnation, member.silent.size()});
}

void View::told(KeeperNumber keeper, const std::vector<Report>& reports) {
  for (const auto& report : reports) {
    if (!routers_.contains(report.router) && routers_.size() >= kMostRouters) continue;
    Known& known = routers_[report.router];
    known.reports[keeper] = report;
    judge(report.router, known);
  }
}

void View::lost(KeeperNumber keeper) {
  for (auto at = routers_.begin(); at != routers_.end();) {
    if (at->second.reports.erase(keeper) > 0) judge(at->first, at->second);
    at = at->second.reports.empty() ? routers_.erase(at) : std::next(at);
  }
}

View::Member View::of(const std::string& router) const {
  const auto at = routers_.find(router);
  return at == routers_.end() ? Member() : judged(at->second);
}

std::vector<std::string> View::routers() const {
  std::vector<std::string> names;
  for (const auto& [router, known] : routers_) names.push_back(router);
  return names;
}

std::size_t View::count(State state) const {
  return static_cast<std::size_t>(std::count_if(routers_.begin(), routers_.end(),
                                                [&](const auto& one) { return one.second.state == state; }));
}

}  // namespace gulltrestle::membership
