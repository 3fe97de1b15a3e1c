#include "idempotency/claim_coordinator.h"

#include <algorithm>

namespace gulltrestle::idempotency {

namespace {

// Fraction of a client's remaining time that may be spent on votes: the transaction has to run in the rest.
constexpr double kVoteTimeFraction = 0.4;
// Fraction of the time of retention that a client may wait at most: beyond it the transaction could be sent
// after its votes were removed. Half leaves as much again for clocks that run at different speeds.
constexpr double kRetentionFraction = 0.5;
// Jitter of retryAfter, as factors: transactions that were rejected at the same time don't retry at the same
// time.
constexpr double kMinRetryJitter = 0.5, kMaxRetryJitter = 1.5;

}  // namespace

ClaimCoordinator::ClaimCoordinator(ClaimCoordinatorLimits limits, std::uint64_t seed)
    : limits_(limits), random_(seed) {}

Duration ClaimCoordinator::drawRetryAfter() {
  return limits_.retryAfter *
         std::uniform_real_distribution<double>(kMinRetryJitter, kMaxRetryJitter)(random_);
}

void ClaimCoordinator::setReachable(VoterIndex voter, bool isReachable) {
  if (isReachable) {
    reachable_.insert(voter);
    return;
  }
  if (reachable_.erase(voter) == 0) return;
  std::vector<ClaimNumber> waiting;
  for (auto& [number, claim] : claims_) {
    if (claim.isDecided || claim.grantedBy.contains(voter) || claim.takenBy.contains(voter)) continue;
    claim.withoutVote.insert(voter);
    waiting.push_back(number);
  }
  for (const ClaimNumber number : waiting) decideIfPossible(number, VoteWait::pending);
}

void ClaimCoordinator::beginClaim(Instant now, TxnKey txn, const std::string& id, Duration remaining) {
  ++counts_.requested;
  const auto reason = rejectReason(id, remaining);
  if (!reason) return openClaim(now, txn, id, remaining);
  ++counts_.rejected;
  decisions_.push_back({.kind = Decision::Kind::rejected,
                        .txn = txn,
                        .value = {},
                        .retryAfter = drawRetryAfter(),
                        .reason = *reason});
}

std::optional<std::string_view> ClaimCoordinator::rejectReason(const std::string& id,
                                                               Duration remaining) const {
  if (id.empty()) return "it has no id";
  if (remaining > limits_.retention * kRetentionFraction) return "its time is too long for retention";
  if (claims_.size() >= limits_.maxClaims) return "too many claims are open";
  if (reachable_.size() < majorityOf(limits_.voterCount)) return "too few keepers can be reached";
  return std::nullopt;
}

void ClaimCoordinator::openClaim(Instant now, TxnKey txn, const std::string& id, Duration remaining) {
  const ClaimNumber number = ++lastNumber_;
  Claim& claim = claims_[number];
  claim.txn = txn;
  claim.id = id;
  claim.votesUntil = now + std::min(remaining * kVoteTimeFraction, limits_.maxVoteWait);
  for (VoterIndex voter = 0; voter < limits_.voterCount; ++voter) {
    if (reachable_.contains(voter))
      messages_.push_back(
          {.kind = ClaimMessage::Kind::claim, .voter = voter, .id = id, .number = number, .value = {}});
    else
      claim.withoutVote.insert(voter);
  }
  numberOfTxn_[txn] = number;
  voteDeadlines_.emplace(claim.votesUntil, number);
}

void ClaimCoordinator::onVote(VoterIndex voter, ClaimNumber number, const Vote& vote) {
  const auto found = claims_.find(number);
  if (found == claims_.end() || found->second.isDecided) return;
  Claim& claim = found->second;
  claim.withoutVote.erase(voter);
  switch (vote.kind) {
    case Vote::Kind::granted:
      claim.grantedBy.insert(voter);
      break;
    case Vote::Kind::takenByOther:
      claim.takenBy.insert(voter);
      if (vote.isCommitted)
        return decide(number, Decision::Kind::alreadyCommitted, vote.value, "it was committed");
      break;
    case Vote::Kind::abstained:
      claim.withoutVote.insert(voter);
      break;
  }
  decideIfPossible(number, VoteWait::pending);
}

void ClaimCoordinator::decideIfPossible(ClaimNumber number, VoteWait wait) {
  const bool isTimeOver = wait == VoteWait::over;
  const Claim& claim = claims_.at(number);
  const std::size_t majority = majorityOf(limits_.voterCount);
  const std::size_t granted = claim.grantedBy.size();
  if (granted >= majority) return decide(number, Decision::Kind::admitted, "", "");
  const std::size_t unanswered =
      limits_.voterCount - granted - claim.takenBy.size() - claim.withoutVote.size();
  // A voter that has not answered may know of a commit: worth waiting for once another claim was seen.
  const bool maySuffice = granted + unanswered >= majority;
  if (!isTimeOver && unanswered > 0 && (maySuffice || !claim.takenBy.empty())) return;
  if (!claim.takenBy.empty())
    return decide(number, Decision::Kind::rolledBack, "", "another claim has its votes");
  decide(number, Decision::Kind::rejected, "", isTimeOver ? "votes came too late" : "too few keepers vote");
}

void ClaimCoordinator::decide(ClaimNumber number, Decision::Kind kind, std::string value,
                              std::string_view reason) {
  Claim& claim = claims_.at(number);
  claim.isDecided = true;
  claim.isAdmitted = kind == Decision::Kind::admitted;
  count(kind);
  const Duration retryAfter = kind == Decision::Kind::rejected ? drawRetryAfter() : Duration();
  decisions_.push_back({.kind = kind,
                        .txn = claim.txn,
                        .value = std::move(value),
                        .retryAfter = retryAfter,
                        .reason = reason});
  if (!claim.isAdmitted) sendToAll(ClaimMessage::Kind::release, claim, number);
}

void ClaimCoordinator::count(Decision::Kind kind) {
  switch (kind) {
    case Decision::Kind::admitted:
      ++counts_.admitted;
      break;
    case Decision::Kind::alreadyCommitted:
      ++counts_.committed;
      break;
    case Decision::Kind::rolledBack:
      ++counts_.rolledBack;
      break;
    case Decision::Kind::rejected:
      ++counts_.rejected;
      break;
  }
}

void ClaimCoordinator::sendToAll(ClaimMessage::Kind kind, const Claim& claim, ClaimNumber number,
                                 const std::string& value) {
  for (const VoterIndex voter : reachable_)
    messages_.push_back({.kind = kind, .voter = voter, .id = claim.id, .number = number, .value = value});
}

void ClaimCoordinator::onCommitted(TxnKey txn, std::string value) {
  const auto found = numberOfTxn_.find(txn);
  if (found == numberOfTxn_.end()) return;
  Claim& claim = claims_.at(found->second);
  if (!claim.isAdmitted || std::exchange(claim.isCommitSent, true)) return;
  sendToAll(ClaimMessage::Kind::commit, claim, found->second, value);
}

void ClaimCoordinator::onTransactionEnded(TxnKey txn, ExecutionOutcome outcome) {
  const auto found = numberOfTxn_.find(txn);
  if (found == numberOfTxn_.end()) return;
  const ClaimNumber number = found->second;
  const Claim& claim = claims_.at(number);
  const bool isOutcomeOpen = claim.isAdmitted && !claim.isCommitSent;
  if (!claim.isDecided)  // its client left
    sendToAll(ClaimMessage::Kind::release, claim, number);
  else if (isOutcomeOpen && outcome == ExecutionOutcome::neverRan)
    sendToAll(ClaimMessage::Kind::release, claim, number);
  else if (isOutcomeOpen && outcome == ExecutionOutcome::committed)
    sendToAll(ClaimMessage::Kind::commit, claim, number);
  claims_.erase(number);
  numberOfTxn_.erase(found);
}

Instant ClaimCoordinator::runTimers(Instant now) {
  while (!voteDeadlines_.empty() && voteDeadlines_.begin()->first <= now) {
    const ClaimNumber number = voteDeadlines_.begin()->second;
    voteDeadlines_.erase(voteDeadlines_.begin());
    const auto found = claims_.find(number);
    if (found != claims_.end() && !found->second.isDecided) decideIfPossible(number, VoteWait::over);
  }
  return voteDeadlines_.empty() ? Instant() : voteDeadlines_.begin()->first;
}

}  // namespace gulltrestle::idempotency
