#include "maintenance/proposal_round.h"

#include <algorithm>
#include <utility>

namespace gulltrestle::maintenance {

namespace {

// A round over streams that are up takes some milliseconds and two syncs; two that met part within a few.
constexpr Duration kPauseFirst = Duration::millis(20), kPauseMost = Duration::millis(1000);

}  // namespace

ProposalRound::ProposalRound(std::size_t keepers, std::uint64_t draw, Duration most)
    : keepers_(keepers), draw_(draw), most_(most), pause_(kPauseFirst), chance_(draw) {}

bool ProposalRound::begin(Instant now) {
  if (state_ != State::idle || now < restsUntil_) return false;
  ballot_ = {++highest_, draw_};
  state_ = State::preparing;
  read_.clear();
  wrote_.clear();
  readTaken_ = false;
  until_ = now + most_;
  return true;
}

void ProposalRound::onPromise(Instant now, VoterIndex keeper, const Ballot& ballot,
                              const AcceptedValue& held) {
  if (state_ != State::preparing || ballot != ballot_ || now >= until_) return;
  read_[keeper] = held;
}

std::optional<ProposalRound::PreparedValue> ProposalRound::takePrepared() {
  if (state_ != State::preparing || readTaken_ || read_.size() < majorityOf(keepers_)) return std::nullopt;
  readTaken_ = true;
  const auto newest = std::max_element(read_.begin(), read_.end(),
                                       [](auto& a, auto& b) { return a.second.ballot < b.second.ballot; });
  const auto same = static_cast<std::size_t>(std::count_if(
      read_.begin(), read_.end(), [&](auto& one) { return one.second.ballot == newest->second.ballot; }));
  return PreparedValue{newest->second, same >= majorityOf(keepers_)};
}

const AcceptedValue& ProposalRound::propose(const ValueVersion& stamp, std::string value) {
  state_ = State::accepting;
  own_ = {ballot_, stamp, std::move(value)};
  return own_;
}

void ProposalRound::onAccepted(Instant now, VoterIndex keeper, const Ballot& ballot) {
  if (state_ != State::accepting || ballot != ballot_ || now >= until_) return;
  wrote_.insert(keeper);
  if (wrote_.size() < majorityOf(keepers_)) return;
  settled_ = own_;
  state_ = State::idle;
  pause_ = kPauseFirst;
}

void ProposalRound::onRejected(Instant now, const Ballot& ballot, const Ballot& promised) {
  highest_ = std::max(highest_, promised.number);
  if (state_ != State::idle && ballot == ballot_) rest(now);
}

std::optional<AcceptedValue> ProposalRound::takeChosen() { return std::exchange(settled_, std::nullopt); }

void ProposalRound::rest(Instant now) {
  state_ = State::idle;
  restsUntil_ = now + pause_ * std::uniform_real_distribution<double>(0.5, 1.5)(chance_);
  pause_ = std::min(pause_ * 2, kPauseMost);
}

Instant ProposalRound::runTimers(Instant now) {
  if (state_ == State::idle) return restsUntil_ > now ? restsUntil_ : Instant();
  if (now >= until_) rest(now);
  return state_ == State::idle ? restsUntil_ : until_;
}

}  // namespace gulltrestle::maintenance
