#include "membership/join_protocol.h"

#include <algorithm>

namespace gulltrestle::membership {

namespace {

// Two processes that start with one name at a time part by chance within a few of these.
constexpr Duration kRestLeast = Duration::millis(50), kRestMost = Duration::millis(500);

}  // namespace

std::string_view nameOf(JoinProtocol::State state) {
  constexpr std::string_view kNames[] = {"asking", "entering", "resting", "entered", "superseded"};
  return kNames[static_cast<int>(state)];
}

JoinProtocol::JoinProtocol(std::size_t keepers, std::uint64_t draw) : keepers_(keepers), chance_(draw) {
  own_.draw = draw;
}

void JoinProtocol::onNewestKnown(Instant now, VoterIndex keeper, const Incarnation& newest) {
  newest_[keeper] = newest;
  if (newest == own_ && own_.number > 0)
    has_.insert(keeper);
  else
    has_.erase(keeper);
  if (state_ == State::joining || state_ == State::joined) {
    if (!has_.contains(keeper) && !isHigher(newest)) wishes_.emplace_back(keeper, own_.number);
    return judge(now);
  }
  if (state_ == State::discovering && newest_.size() >= majorityOf(keepers_)) wish();
}

void JoinProtocol::onJoinReply(Instant now, VoterIndex keeper, const Incarnation& newest) {
  newest_[keeper] = newest;
  if (newest == own_ && own_.number > 0) has_.insert(keeper);
  judge(now);
}

void JoinProtocol::onVoterLost(VoterIndex keeper) {
  newest_.erase(keeper);
  // What it has on disk it keeps; it is told anew when it is back.
  has_.erase(keeper);
}

// The number after the highest that a keeper told. One that is far above what the middle one knows is passed
// over: it is false, and the others would refuse to follow.
void JoinProtocol::wish() {
  std::vector<std::uint64_t> numbers;
  for (const auto& [keeper, newest] : newest_) numbers.push_back(newest.number);
  std::sort(numbers.begin(), numbers.end());
  const std::uint64_t most = numbers[(numbers.size() - 1) / 2] + kMaxIncarnationStep / 2;
  std::uint64_t highest = 0;
  for (const std::uint64_t number : numbers)
    if (number <= most) highest = std::max(highest, number);
  own_.number = highest + 1;
  state_ = State::joining;
  has_.clear();
  for (const auto& [keeper, newest] : newest_) wishes_.emplace_back(keeper, own_.number);
}

void JoinProtocol::judge(Instant now) {
  const std::size_t wanted = majorityOf(keepers_);
  const auto higher = static_cast<std::size_t>(std::count_if(
      newest_.begin(), newest_.end(), [&](const auto& known) { return isHigher(known.second); }));
  if (state_ == State::joining && has_.size() >= wanted) state_ = State::joined;
  if (state_ == State::joined && higher >= wanted) state_ = State::superseded;
  if (state_ == State::joining && higher > keepers_ - wanted) {
    state_ = State::backingOff;
    restsUntil_ =
        now + kRestLeast + (kRestMost - kRestLeast) * std::uniform_real_distribution<double>(0, 1)(chance_);
  }
}

Instant JoinProtocol::runTimers(Instant now) {
  if (state_ != State::backingOff) return Instant();
  if (now < restsUntil_) return restsUntil_;
  if (newest_.size() < majorityOf(keepers_)) {
    state_ = State::discovering;
    return Instant();
  }
  wish();
  return Instant();
}

}  // namespace gulltrestle::membership
