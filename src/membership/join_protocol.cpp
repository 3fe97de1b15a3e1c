#include "membership/join_protocol.h"

#include <algorithm>

namespace gulltrestle::membership {

namespace {

// Bounds of the random backoff. When two processes start with one name at the same time, one of them joins
// after a few backoffs.
constexpr Duration kMinBackoff = Duration::millis(50), kMaxBackoff = Duration::millis(500);

}  // namespace

std::string_view nameOf(JoinProtocol::State state) {
  constexpr std::string_view kNames[] = {"asking", "entering", "resting", "entered", "superseded"};
  return kNames[static_cast<int>(state)];
}

JoinProtocol::JoinProtocol(std::size_t voterCount, std::uint64_t draw)
    : voterCount_(voterCount), random_(draw) {
  incarnation_.draw = draw;
}

void JoinProtocol::onNewestKnown(Instant now, VoterIndex voter, const Incarnation& newest) {
  newestKnown_[voter] = newest;
  if (newest == incarnation_ && incarnation_.number > 0)
    joinedAt_.insert(voter);
  else
    joinedAt_.erase(voter);
  if (state_ == State::joining || state_ == State::joined) {
    if (!joinedAt_.contains(voter) && !isHigher(newest))
      joinRequests_.push_back({.voter = voter, .number = incarnation_.number});
    return updateState(now);
  }
  if (state_ == State::discovering && newestKnown_.size() >= majorityOf(voterCount_)) requestJoin();
}

void JoinProtocol::onJoinReply(Instant now, VoterIndex voter, const Incarnation& newest) {
  newestKnown_[voter] = newest;
  if (newest == incarnation_ && incarnation_.number > 0) joinedAt_.insert(voter);
  updateState(now);
}

// The voter reports what it has on disk again when it is reachable again.
void JoinProtocol::onVoterLost(VoterIndex voter) {
  newestKnown_.erase(voter);
  joinedAt_.erase(voter);
}

// A number far above the median is false and is ignored: the other voters would reject a number above it.
std::uint64_t JoinProtocol::nextNumber() const {
  std::vector<std::uint64_t> numbers;
  for (const auto& [voter, newest] : newestKnown_) numbers.push_back(newest.number);
  std::sort(numbers.begin(), numbers.end());
  const std::uint64_t median = numbers[(numbers.size() - 1) / 2];
  const std::uint64_t plausible = median + kMaxIncarnationStep / 2;
  std::uint64_t highest = 0;
  for (const std::uint64_t number : numbers)
    if (number <= plausible) highest = std::max(highest, number);
  return highest + 1;
}

void JoinProtocol::requestJoin() {
  incarnation_.number = nextNumber();
  state_ = State::joining;
  joinedAt_.clear();
  for (const auto& [voter, newest] : newestKnown_)
    joinRequests_.push_back({.voter = voter, .number = incarnation_.number});
}

void JoinProtocol::updateState(Instant now) {
  const std::size_t majority = majorityOf(voterCount_);
  const auto higher = static_cast<std::size_t>(std::count_if(
      newestKnown_.begin(), newestKnown_.end(), [&](const auto& known) { return isHigher(known.second); }));
  if (state_ == State::joining && joinedAt_.size() >= majority) state_ = State::joined;
  if (state_ == State::joined && higher >= majority) state_ = State::superseded;
  if (state_ == State::joining && higher > voterCount_ - majority) {
    state_ = State::backingOff;
    backoffUntil_ = now + randomBackoff();
  }
}

Duration JoinProtocol::randomBackoff() {
  return kMinBackoff + (kMaxBackoff - kMinBackoff) * std::uniform_real_distribution<double>(0, 1)(random_);
}

Instant JoinProtocol::runTimers(Instant now) {
  if (state_ != State::backingOff) return Instant();
  if (now < backoffUntil_) return backoffUntil_;
  if (newestKnown_.size() < majorityOf(voterCount_)) {
    state_ = State::discovering;
    return Instant();
  }
  requestJoin();
  return Instant();
}

}  // namespace gulltrestle::membership
