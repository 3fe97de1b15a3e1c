#include "idempotency/claim_coordinator.h"

#include <algorithm>

namespace gulltrestle::idempotency {

namespace {

// The part of a client's time that may go on votes: the txn has to run in what is left.
constexpr double kShareForVotes = 0.4;
// A txn that a client waits for longer than this part of the time of retention could be sent after the votes
// for it were forgotten; half leaves as much again for clocks that run at different speeds.
constexpr double kShareOfRetention = 0.5;

}  // namespace

ClaimCoordinator::ClaimCoordinator(ClaimCoordinatorLimits bounds, std::uint64_t seed)
    : bounds_(bounds), chance_(seed) {}

// Spread out, so that those that are refused in the same moment don't come back in another one.
Duration ClaimCoordinator::drawRetryAfter() {
  return bounds_.retryAfter * std::uniform_real_distribution<double>(0.5, 1.5)(chance_);
}

void ClaimCoordinator::setReachable(VoterIndex keeper, bool can) {
  if (can) {
    reachable_.insert(keeper);
    return;
  }
  if (reachable_.erase(keeper) == 0) return;
  std::vector<ClaimNumber> waiting;
  for (auto& [number, claim] : claims_)
    if (!claim.decided && !claim.yours.contains(keeper) && !claim.taken.contains(keeper)) {
      claim.none.insert(keeper);
      waiting.push_back(number);
    }
  for (const ClaimNumber number : waiting) judge(number, false);
}

void ClaimCoordinator::beginClaim(Instant now, TxnKey txn, const std::string& id, Duration patience) {
  ++counts_.requested;
  const auto refused = [&](std::string_view why) {
    ++counts_.rejected;
    decisions_.push_back({Decision::Kind::reject, txn, "", drawRetryAfter(), why});
  };
  if (id.empty()) return refused("it has no id");
  if (patience > bounds_.retention * kShareOfRetention) return refused("its time is too long for retention");
  if (claims_.size() >= bounds_.maxClaims) return refused("too many claims are open");
  if (reachable_.size() < majorityOf(bounds_.voterCount)) return refused("too few keepers can be reached");
  const ClaimNumber number = ++last_;
  Claim& claim = claims_[number];
  claim.txn = txn;
  claim.id = id;
  claim.until = now + std::min(patience * kShareForVotes, bounds_.maxVoteWait);
  for (VoterIndex keeper = 0; keeper < bounds_.voterCount; ++keeper)
    if (reachable_.contains(keeper))
      words_.push_back({ClaimMessage::Kind::claim, keeper, id, number, ""});
    else
      claim.none.insert(keeper);
  ofTxn_[txn] = number;
  due_.emplace(claim.until, number);
}

void ClaimCoordinator::onVote(VoterIndex keeper, ClaimNumber number, const Vote& vote) {
  const auto at = claims_.find(number);
  if (at == claims_.end() || at->second.decided) return;
  Claim& claim = at->second;
  claim.none.erase(keeper);
  switch (vote.kind) {
    case Vote::Kind::granted:
      claim.yours.insert(keeper);
      break;
    case Vote::Kind::takenByOther:
      claim.taken.insert(keeper);
      if (vote.committed) return decide(number, Decision::Kind::committed, vote.value, "it was committed");
      break;
    case Vote::Kind::abstained:
      claim.none.insert(keeper);
      break;
  }
  judge(number, false);
}

void ClaimCoordinator::judge(ClaimNumber number, bool late) {
  const Claim& claim = claims_.at(number);
  const std::size_t wanted = majorityOf(bounds_.voterCount);
  if (claim.yours.size() >= wanted) return decide(number, Decision::Kind::admit, "", "");
  const std::size_t open = bounds_.voterCount - claim.yours.size() - claim.taken.size() - claim.none.size();
  // One that may still answer may know that it was committed: worth its wait once another claim was seen.
  if (!late && open > 0 && (claim.yours.size() + open >= wanted || !claim.taken.empty())) return;
  if (!claim.taken.empty())
    return decide(number, Decision::Kind::rollBack, "", "another claim has its votes");
  decide(number, Decision::Kind::reject, "", late ? "votes came too late" : "too few keepers vote");
}

void ClaimCoordinator::decide(ClaimNumber number, Decision::Kind what, std::string value,
                              std::string_view why) {
  Claim& claim = claims_.at(number);
  claim.decided = true;
  claim.admitted = what == Decision::Kind::admit;
  Decision made{what, claim.txn, std::move(value), Duration(), why};
  switch (what) {
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
      made.retryAfter = drawRetryAfter();
  }
  decisions_.push_back(std::move(made));
  if (!claim.admitted) sendToAll(ClaimMessage::Kind::release, claim, number);
}

void ClaimCoordinator::sendToAll(ClaimMessage::Kind what, const Claim& claim, ClaimNumber number,
                                 const std::string& value) {
  for (const VoterIndex keeper : reachable_) words_.push_back({what, keeper, claim.id, number, value});
}

void ClaimCoordinator::onCommitted(TxnKey txn, std::string value) {
  const auto at = ofTxn_.find(txn);
  if (at == ofTxn_.end()) return;
  Claim& claim = claims_.at(at->second);
  if (!claim.admitted || std::exchange(claim.told, true)) return;
  sendToAll(ClaimMessage::Kind::committed, claim, at->second, value);
}

void ClaimCoordinator::onTransactionEnded(TxnKey txn, ExecutionOutcome fate) {
  const auto at = ofTxn_.find(txn);
  if (at == ofTxn_.end()) return;
  const ClaimNumber number = at->second;
  const Claim& claim = claims_.at(number);
  if (!claim.decided)  // its client left
    sendToAll(ClaimMessage::Kind::release, claim, number);
  else if (claim.admitted && fate == ExecutionOutcome::neverRan && !claim.told)
    sendToAll(ClaimMessage::Kind::release, claim, number);
  else if (claim.admitted && fate == ExecutionOutcome::committed && !claim.told)
    sendToAll(ClaimMessage::Kind::committed, claim, number);
  claims_.erase(number);
  ofTxn_.erase(at);
}

Instant ClaimCoordinator::runTimers(Instant now) {
  while (!due_.empty() && due_.begin()->first <= now) {
    const ClaimNumber number = due_.begin()->second;
    due_.erase(due_.begin());
    if (const auto at = claims_.find(number); at != claims_.end() && !at->second.decided) judge(number, true);
  }
  return due_.empty() ? Instant() : due_.begin()->first;
}

}  // namespace gulltrestle::idempotency
