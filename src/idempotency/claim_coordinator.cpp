#include "idempotency/claim_coordinator.h"

#include <algorithm>

namespace gulltrestle::idempotency {

namespace {

// Fraction of the client's remaining time that may be spent waiting for votes. The transaction runs in the
// rest.
constexpr double kVoteTimeFraction = 0.4;
// Maximum remaining time of a client, as a fraction of the retention time. With a longer one the transaction
// could be sent after its votes have expired. The other half is a margin for clocks that run at different
// speeds.
constexpr double kRetentionFraction = 0.5;
// Factors that bound the jitter of retryAfter. The jitter keeps transactions that were rejected at the same
// time from retrying at the same time.
constexpr double kMinRetryJitter = 0.5, kMaxRetryJitter = 1.5;

}  // namespace

ClaimCoordinator::ClaimCoordinator(ClaimCoordinatorLimits limits, std::uint64_t seed)
    : limits_(limits), random_(seed) {}

Duration ClaimCoordinator::jitteredRetryAfter() {
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
                        .retryAfter = jitteredRetryAfter(),
                        .reason = *reason});
}

std::optional<std::string_view> ClaimCoordinator::rejectReason(const std::string& id,
                                                               Duration remaining) const {
  if (id.empty()) return "the transaction has no id";
  if (remaining > limits_.retention * kRetentionFraction)
    return "the remaining time is too long for the retention time";
  if (claims_.size() >= limits_.maxClaims) return "too many claims are open";
  if (reachable_.size() < majorityOf(limits_.voterCount)) return "too few voters are reachable";
  return std::nullopt;
}

void ClaimCoordinator::openClaim(Instant now, TxnKey txn, const std::string& id, Duration remaining) {
  const ClaimNumber number = ++lastNumber_;
  Claim& claim = claims_[number];
  claim.txn = txn;
  claim.id = id;
  claim.voteDeadline = now + std::min(remaining * kVoteTimeFraction, limits_.maxVoteWait);
  for (VoterIndex voter = 0; voter < limits_.voterCount; ++voter) {
    if (reachable_.contains(voter))
      messages_.push_back(
          {.kind = ClaimMessage::Kind::claim, .voter = voter, .id = id, .number = number, .value = {}});
    else
      claim.withoutVote.insert(voter);
  }
  claimOfTxn_[txn] = number;
  voteDeadlines_.emplace(claim.voteDeadline, number);
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
        return decide(number, Decision::Kind::alreadyCommitted, vote.value, "another claim was committed");
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
  // Once another claim was seen, waits for all voters: one that has not answered may know of a commit.
  const bool maySuffice = granted + unanswered >= majority;
  if (!isTimeOver && unanswered > 0 && (maySuffice || !claim.takenBy.empty())) return;
  if (!claim.takenBy.empty())
    return decide(number, Decision::Kind::rolledBack, "", "another claim has votes for the id");
  decide(number, Decision::Kind::rejected, "",
         isTimeOver ? "timed out waiting for votes" : "too few voters granted their vote");
}

void ClaimCoordinator::decide(ClaimNumber number, Decision::Kind kind, std::string value,
                              std::string_view reason) {
  Claim& claim = claims_.at(number);
  claim.isDecided = true;
  claim.isAdmitted = kind == Decision::Kind::admitted;
  count(kind);
  const Duration retryAfter = kind == Decision::Kind::rejected ? jitteredRetryAfter() : Duration();
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
  const auto found = claimOfTxn_.find(txn);
  if (found == claimOfTxn_.end()) return;
  Claim& claim = claims_.at(found->second);
  if (!claim.isAdmitted || std::exchange(claim.isCommitSent, true)) return;
  sendToAll(ClaimMessage::Kind::commit, claim, found->second, value);
}

void ClaimCoordinator::onTransactionEnded(TxnKey txn, ExecutionOutcome outcome) {
  const auto found = claimOfTxn_.find(txn);
  if (found == claimOfTxn_.end()) return;
  const ClaimNumber number = found->second;
  const Claim& claim = claims_.at(number);
  const bool isOutcomeOpen = claim.isAdmitted && !claim.isCommitSent;
  if (!claim.isDecided)  // the client disconnected
    sendToAll(ClaimMessage::Kind::release, claim, number);
  else if (isOutcomeOpen && outcome == ExecutionOutcome::neverRan)
    sendToAll(ClaimMessage::Kind::release, claim, number);
  else if (isOutcomeOpen && outcome == ExecutionOutcome::committed)
    sendToAll(ClaimMessage::Kind::commit, claim, number);
  claims_.erase(number);
  claimOfTxn_.erase(found);
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
