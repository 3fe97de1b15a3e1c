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

Claimant::Claimant(ClaimantBounds bounds, std::uint64_t seed) : bounds_(bounds), chance_(seed) {}

// Spread out, so that those that are refused in the same moment don't come back in another one.
Span Claimant::comeBack() {
  return bounds_.comeBack * std::uniform_real_distribution<double>(0.5, 1.5)(chance_);
}

void Claimant::reached(KeeperNumber keeper, bool can) {
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

void Claimant::begin(Instant now, TxnKey txn, const std::string& id, Span patience) {
  ++counts_.asked;
  const auto refused = [&](std::string_view why) {
    ++counts_.refused;
    decisions_.push_back({Decision::What::refuse, txn, "", comeBack(), why});
  };
  if (id.empty()) return refused("it has no id");
  if (patience > bounds_.retention * kShareOfRetention) return refused("its time is too long for retention");
  if (claims_.size() >= bounds_.most) return refused("too many claims are open");
  if (reachable_.size() < majorityOf(bounds_.keepers)) return refused("too few keepers can be reached");
  const ClaimNumber number = ++last_;
  Claim& claim = claims_[number];
  claim.txn = txn;
  claim.id = id;
  claim.until = now + std::min(patience * kShareForVotes, bounds_.longestWait);
  for (KeeperNumber keeper = 0; keeper < bounds_.keepers; ++keeper)
    if (reachable_.contains(keeper))
      words_.push_back({Word::What::claim, keeper, id, number, ""});
    else
      claim.none.insert(keeper);
  ofTxn_[txn] = number;
  due_.emplace(claim.until, number);
}

void Claimant::voted(KeeperNumber keeper, ClaimNumber number, const Vote& vote) {
  const auto at = claims_.find(number);
  if (at == claims_.end() || at->second.decided) return;
  Claim& claim = at->second;
  claim.none.erase(keeper);
  switch (vote.what) {
    case Vote::What::yours:
      claim.yours.insert(keeper);
      break;
    case Vote::What::taken:
      claim.taken.insert(keeper);
      if (vote.committed) return decide(number, Decision::What::committed, vote.value, "it was committed");
      break;
    case Vote::What::silent:
      claim.none.insert(keeper);
      break;
  }
  judge(number, false);
}

void Claimant::judge(ClaimNumber number, bool late) {
  const Claim& claim = claims_.at(number);
  const std::size_t wanted = majorityOf(bounds_.keepers);
  if (claim.yours.size() >= wanted) return decide(number, Decision::What::admit, "", "");
  const std::size_t open = bounds_.keepers - claim.yours.size() - claim.taken.size() - claim.none.size();
  // One that may still answer may know that it was committed: worth its wait once another claim was seen.
  if (!late && open > 0 && (claim.yours.size() + open >= wanted || !claim.taken.empty())) return;
  if (!claim.taken.empty())
    return decide(number, Decision::What::rollBack, "", "another claim has its votes");
  decide(number, Decision::What::refuse, "", late ? "votes came too late" : "too few keepers vote");
}

void Claimant::decide(ClaimNumber number, Decision::What what, std::string value, std::string_view why) {
  Claim& claim = claims_.at(number);
  claim.decided = true;
  claim.admitted = what == Decision::What::admit;
  Decision made{what, claim.txn, std::move(value), Span(), why};
  switch (what) {
    case Decision::What::admit:
      ++counts_.admitted;
      break;
    case Decision::What::committed:
      ++counts_.committed;
      break;
    case Decision::What::rollBack:
      ++counts_.rolledBack;
      break;
    case Decision::What::refuse:
      ++counts_.refused;
      made.comeBack = comeBack();
  }
  decisions_.push_back(std::move(made));
  if (!claim.admitted) tellAll(Word::What::release, claim, number);
}

void Claimant::tellAll(Word::What what, const Claim& claim, ClaimNumber number, const std::string& value) {
  for (const KeeperNumber keeper : reachable_) words_.push_back({what, keeper, claim.id, number, value});
}

void Claimant::commits(TxnKey txn, std::string value) {
  const auto at = ofTxn_.find(txn);
  if (at == ofTxn_.end()) return;
  Claim& claim = claims_.at(at->second);
  if (!claim.admitted || std::exchange(claim.told, true)) return;
  tellAll(Word::What::committed, claim, at->second, value);
}

void Claimant::over(TxnKey txn, Fate fate) {
  const auto at = ofTxn_.find(txn);
  if (at == ofTxn_.end()) return;
  const ClaimNumber number = at->second;
  const Claim& claim = claims_.at(number);
  if (!claim.decided)  // its client left
    tellAll(Word::What::release, claim, number);
  else if (claim.admitted && fate == Fate::neverRan && !claim.told)
    tellAll(Word::What::release, claim, number);
  else if (claim.admitted && fate == Fate::committed && !claim.told)
    tellAll(Word::What::committed, claim, number);
  claims_.erase(number);
  ofTxn_.erase(at);
}

Instant Claimant::due(Instant now) {
  while (!due_.empty() && due_.begin()->first <= now) {
    const ClaimNumber number = due_.begin()->second;
    due_.erase(due_.begin());
    if (const auto at = claims_.find(number); at != claims_.end() && !at->second.decided) judge(number, true);
  }
  return due_.empty() ? Instant() : due_.begin()->first;
}

}  // namespace gulltrestle::idempotency
