#include "maintenance/proposal_round.h"

#include <algorithm>
#include <utility>

namespace gulltrestle::maintenance {

namespace {

// A round over streams that are up takes some milliseconds and two syncs; two that met part within a few.
constexpr Span kPauseFirst = Span::millis(20), kPauseMost = Span::millis(1000);

}  // namespace

Round::Round(std::size_t keepers, std::uint64_t draw, Span most)
    : keepers_(keepers), draw_(draw), most_(most), pause_(kPauseFirst), chance_(draw) {}

bool Round::begin(Instant now) {
  if (state_ != State::rests || now < restsUntil_) return false;
  ballot_ = {++highest_, draw_};
  state_ = State::reads;
  read_.clear();
  wrote_.clear();
  readTaken_ = false;
  until_ = now + most_;
  return true;
}

void Round::promised(Instant now, KeeperNumber keeper, const Ballot& ballot, const Held& held) {
  if (state_ != State::reads || ballot != ballot_ || now >= until_) return;
  read_[keeper] = held;
}

std::optional<Round::Read> Round::takeRead() {
  if (state_ != State::reads || readTaken_ || read_.size() < majorityOf(keepers_)) return std::nullopt;
  readTaken_ = true;
  const auto newest = std::max_element(read_.begin(), read_.end(),
                                       [](auto& a, auto& b) { return a.second.ballot < b.second.ballot; });
  const auto same = static_cast<std::size_t>(std::count_if(
      read_.begin(), read_.end(), [&](auto& one) { return one.second.ballot == newest->second.ballot; }));
  return Read{newest->second, same >= majorityOf(keepers_)};
}

const Held& Round::write(const Stamp& stamp, std::string value) {
  state_ = State::writes;
  own_ = {ballot_, stamp, std::move(value)};
  return own_;
}

void Round::accepted(Instant now, KeeperNumber keeper, const Ballot& ballot) {
  if (state_ != State::writes || ballot != ballot_ || now >= until_) return;
  wrote_.insert(keeper);
  if (wrote_.size() < majorityOf(keepers_)) return;
  settled_ = own_;
  state_ = State::rests;
  pause_ = kPauseFirst;
}

void Round::refused(Instant now, const Ballot& ballot, const Ballot& promised) {
  highest_ = std::max(highest_, promised.number);
  if (state_ != State::rests && ballot == ballot_) rest(now);
}

std::optional<Held> Round::takeSettled() { return std::exchange(settled_, std::nullopt); }

void Round::rest(Instant now) {
  state_ = State::rests;
  restsUntil_ = now + pause_ * std::uniform_real_distribution<double>(0.5, 1.5)(chance_);
  pause_ = std::min(pause_ * 2, kPauseMost);
}

Instant Round::due(Instant now) {
  if (state_ == State::rests) return restsUntil_ > now ? restsUntil_ : Instant();
  if (now >= until_) rest(now);
  return state_ == State::rests ? restsUntil_ : until_;
}

}  // namespace gulltrestle::maintenance
