#include "maintenance/proposal_round.h"

#include <algorithm>
#include <utility>

namespace gulltrestle::maintenance {

namespace {

// A round over connected streams takes a few milliseconds plus two disk syncs. Two competing rounds separate
// within a few times that duration.
constexpr Duration kInitialBackoff = Duration::millis(20), kMaxBackoff = Duration::millis(1000);

}  // namespace

ProposalRound::ProposalRound(std::size_t voters, std::uint64_t draw, Duration timeout)
    : voters_(voters), draw_(draw), timeout_(timeout), backoff_(kInitialBackoff), random_(draw) {}

bool ProposalRound::begin(Instant now) {
  if (state_ != State::idle || now < backoffEndsAt_) return false;
  ballot_ = {++highestNumber_, draw_};
  state_ = State::preparing;
  promises_.clear();
  acceptedBy_.clear();
  isPreparedTaken_ = false;
  timesOutAt_ = now + timeout_;
  return true;
}

void ProposalRound::onPromise(Instant now, VoterIndex voter, const Ballot& ballot,
                              const AcceptedValue& accepted) {
  if (state_ != State::preparing || ballot != ballot_ || now >= timesOutAt_) return;
  promises_[voter] = accepted;
}

std::optional<ProposalRound::PreparedValue> ProposalRound::takePrepared() {
  if (state_ != State::preparing || isPreparedTaken_ || promises_.size() < majorityOf(voters_))
    return std::nullopt;
  isPreparedTaken_ = true;
  const auto newest = std::max_element(promises_.begin(), promises_.end(),
                                       [](auto& a, auto& b) { return a.second.ballot < b.second.ballot; });
  const auto acceptedCount =
      static_cast<std::size_t>(std::count_if(promises_.begin(), promises_.end(), [&](auto& promise) {
        return promise.second.ballot == newest->second.ballot;
      }));
  return PreparedValue{newest->second, acceptedCount >= majorityOf(voters_)};
}

const AcceptedValue& ProposalRound::propose(const ValueVersion& version, std::string value) {
  state_ = State::accepting;
  proposed_ = {ballot_, version, std::move(value)};
  return proposed_;
}

void ProposalRound::onAccepted(Instant now, VoterIndex voter, const Ballot& ballot) {
  if (state_ != State::accepting || ballot != ballot_ || now >= timesOutAt_) return;
  acceptedBy_.insert(voter);
  if (acceptedBy_.size() < majorityOf(voters_)) return;
  chosen_ = proposed_;
  state_ = State::idle;
  backoff_ = kInitialBackoff;
}

void ProposalRound::onRejected(Instant now, const Ballot& ballot, const Ballot& promised) {
  highestNumber_ = std::max(highestNumber_, promised.number);
  if (state_ != State::idle && ballot == ballot_) backOff(now);
}

std::optional<AcceptedValue> ProposalRound::takeChosen() { return std::exchange(chosen_, std::nullopt); }

void ProposalRound::backOff(Instant now) {
  state_ = State::idle;
  backoffEndsAt_ = now + backoff_ * std::uniform_real_distribution<double>(0.5, 1.5)(random_);
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
}

Instant ProposalRound::runTimers(Instant now) {
  if (state_ == State::idle) return backoffEndsAt_ > now ? backoffEndsAt_ : Instant();
  if (now >= timesOutAt_) backOff(now);
  return state_ == State::idle ? backoffEndsAt_ : timesOutAt_;
}

}  // namespace gulltrestle::maintenance
