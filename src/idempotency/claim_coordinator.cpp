#include "idempotency/claim_coordinator.h"

#include <algorithm>

namespace gulltrestle::idempotency {

namespace {

// The part of a client's time that may go on votes: the txn has to run in what is left.
constexpr double kVoteTimeFraction = 0.4;
// A txn that a client waits for longer than this part of the time of retention could be sent after the votes
// for it were forgotten; half leaves as much again for clocks that run at different speeds.
constexpr double kRetentionFraction = 0.5;
// Rejected txns are spread over this range around the time that they are told, so that those that are
// rejected in the same moment don't come back in another one.
constexpr double kMinRetrySpread = 0.5, kMaxRetrySpread = 1.5;

}  // namespace

ClaimCoordinator::ClaimCoordinator(ClaimCoordinatorLimits limits, std::uint64_t seed)
    : limits_(limits), random_(seed) {}

Duration ClaimCoordinator::drawRetryAfter() {
  return limits_.retryAfter *
         std::uniform_real_distribution<double>(kMinRetrySpread, kMaxRetrySpread)(random_);
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
  for (const ClaimNumber number : waiting) judge(number, false);
}

void ClaimCoordinator::beginClaim(Instant now, TxnKey txn, const std::string& id, Duration remaining) {
  ++counts_.requested;
  const std::string_view reason = rejectReason(id, remaining);
  if (reason.empty()) return openClaim(now, txn, id, remaining);
  ++counts_.rejected;
  decisions_.push_back({Decision::Kind::reject, txn, "", drawRetryAfter(), reason});
}

std::string_view ClaimCoordinator::rejectReason(const std::string& id, Duration remaining) const {
  if (id.empty()) return "it has no id";
  if (remaining > limits_.retention * kRetentionFraction) return "its time is too long for retention";
  if (claims_.size() >= limits_.maxClaims) return "too many claims are open";
  if (reachable_.size() < majorityOf(limits_.voterCount)) return "too few keepers can be reached";
  return "";
}

void ClaimCoordinator::openClaim(Instant now, TxnKey txn, const std::string& id, Duration remaining) {
  const ClaimNumber number = ++lastNumber_;
  Claim& claim = claims_[number];
  claim.txn = txn;
  claim.id = id;
  claim.votesUntil = now + std::min(remaining * kVoteTimeFraction, limits_.maxVoteWait);
  for (VoterIndex voter = 0; voter < limits_.voterCount; ++voter) {
    if (reachable_.contains(voter))
      messages_.push_back({ClaimMessage::Kind::claim, voter, id, number, ""});
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
      if (vote.committed) return decide(number, Decision::Kind::committed, vote.value, "it was committed");
      break;
    case Vote::Kind::abstained:
      claim.withoutVote.insert(voter);
      break;
  }
  judge(number, false);
}

void ClaimCoordinator::judge(ClaimNumber number, bool isTimeOver) {
  const Claim& claim = claims_.at(number);
  const std::size_t majority = majorityOf(limits_.voterCount);
  const std::size_t granted = claim.grantedBy.size();
  if (granted >= majority) return decide(number, Decision::Kind::admit, "", "");
  const std::size_t unanswered =
      limits_.voterCount - granted - claim.takenBy.size() - claim.withoutVote.size();
  // A voter that may still answer may know that it was committed: worth its wait once another claim was seen.
  const bool maySuffice = granted + unanswered >= majority;
  if (!isTimeOver && unanswered > 0 && (maySuffice || !claim.takenBy.empty())) return;
  if (!claim.takenBy.empty())
    return decide(number, Decision::Kind::rollBack, "", "another claim has its votes");
  decide(number, Decision::Kind::reject, "", isTimeOver ? "votes came too late" : "too few keepers vote");
}

void ClaimCoordinator::decide(ClaimNumber number, Decision::Kind kind, std::string value,
                              std::string_view reason) {
  Claim& claim = claims_.at(number);
  claim.isDecided = true;
  claim.isAdmitted = kind == Decision::Kind::admit;
  count(kind);
  const Duration retryAfter = kind == Decision::Kind::reject ? drawRetryAfter() : Duration();
  decisions_.push_back({kind, claim.txn, std::move(value), retryAfter, reason});
  if (!claim.isAdmitted) sendToAll(ClaimMessage::Kind::release, claim, number);
}

void ClaimCoordinator::count(Decision::Kind kind) {
  switch (kind) {
    case Decision::Kind::admit:
      ++counts_.admitted;
      break;
    case Decision::Kind::committed:
      ++counts_.committed;
      break;
    case Decision::Kind::rollBack:
      ++counts_.rolledBack;
      break;
    case Decision::Kind::reject:
      ++counts_.rejected;
      break;
  }
}

void ClaimCoordinator::sendToAll(ClaimMessage::Kind kind, const Claim& claim, ClaimNumber number,
                                 const std::string& value) {
  for (const VoterIndex voter : reachable_) messages_.push_back({kind, voter, claim.id, number, value});
}

void ClaimCoordinator::onCommitted(TxnKey txn, std::string value) {
  const auto found = numberOfTxn_.find(txn);
  if (found == numberOfTxn_.end()) return;
  Claim& claim = claims_.at(found->second);
  if (!claim.isAdmitted || std::exchange(claim.isCommitSent, true)) return;
  sendToAll(ClaimMessage::Kind::committed, claim, found->second, value);
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
    sendToAll(ClaimMessage::Kind::committed, claim, number);
  claims_.erase(number);
  numberOfTxn_.erase(found);
}

Instant ClaimCoordinator::runTimers(Instant now) {
  while (!voteDeadlines_.empty() && voteDeadlines_.begin()->first <= now) {
    const ClaimNumber number = voteDeadlines_.begin()->second;
    voteDeadlines_.erase(voteDeadlines_.begin());
    const auto found = claims_.find(number);
    if (found != claims_.end() && !found->second.isDecided) judge(number, true);
  }
  return voteDeadlines_.empty() ? Instant() : voteDeadlines_.begin()->first;
}

}  // namespace gulltrestle::idempotency
