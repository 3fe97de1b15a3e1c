#include "idempotency/voting_member.h"

#include <algorithm>

namespace gulltrestle::idempotency {

std::string_view nameOf(VotingMember::State state) {
  constexpr std::string_view kNames[] = {"moving", "unheard", "silent", "votes"};
  return kNames[static_cast<int>(state)];
}

VotingMember::VotingMember(Instant now, const std::string& name, VotingMemberLimits limits,
                           StoredState stored)
    : limits_(limits),
      isComplete_(stored.isComplete),
      lists_(std::move(stored.voterLists)),
      votersOnCurrentList_{name},
      ownStarts_(std::move(stored.ownStarts)),
      minValidStart_(stored.minValidStart),
      otherVoters_(lists_.current.names),
      otherStarts_(std::move(stored.voterStarts)) {
  otherVoters_.erase(name);
  for (ClaimRecord& record : stored.claims) {
    expiries_.push_back({.when = now + limits_.retention, .id = record.id, .token = record.token});
    const std::string id = record.id;
    claims_[id] = {.record = std::move(record), .isDurable = true};
  }
  finishListChangeIfSuperseded();
  finishVerification(now);
}

// --- Among voters

void VotingMember::finishListChange() {
  if (state_ != State::changingLists) return;
  state_ = State::verifyingDisk;
  if (lists_.previous.empty()) return;
  lists_.previous.clear();
  changes_.push_back(lists_);
}

// A superseded list stays superseded, as no disk returns to an earlier list.
void VotingMember::finishListChangeIfSuperseded() {
  const auto isListSuperseded = [&](const VoterList& list) {
    return isSuperseded(list, votersOnCurrentList_);
  };
  if (std::all_of(lists_.previous.begin(), lists_.previous.end(), isListSuperseded)) finishListChange();
}

void VotingMember::finishVerification(Instant now) {
  const std::size_t voters = otherVoters_.size() + 1;
  if (state_ != State::verifyingDisk || confirmedBy_.size() + 1 < majorityOf(voters)) return;
  if (isComplete_) {
    state_ = State::voting;
    return;
  }
  state_ = State::abstaining;
  abstainsUntil_ = now + limits_.retention;
}

std::vector<std::string> VotingMember::unverifiedVoters() const {
  std::vector<std::string> names;
  if (state_ == State::changingLists || state_ == State::verifyingDisk)
    std::set_difference(otherVoters_.begin(), otherVoters_.end(), confirmedBy_.begin(), confirmedBy_.end(),
                        std::back_inserter(names));
  return names;
}

std::optional<VoterIncarnation> VotingMember::onGreeting(const std::string& voter,
                                                         const VoterIncarnation& start) {
  if (!otherVoters_.contains(voter)) return VoterIncarnation();
  votersOnCurrentList_.insert(voter);
  finishListChangeIfSuperseded();
  if (state_ == State::changingLists) return std::nullopt;
  VoterIncarnation& newest = otherStarts_[voter];
  const VoterIncarnation knownBefore = newest;
  if (start.number > newest.number) {
    newest = start;
    changes_.push_back(VoterStartRecord{.voter = voter, .incarnation = start});
  }
  return knownBefore;
}

bool VotingMember::onGreetingReply(Instant now, const std::string& voter, std::uint64_t greetedStart,
                                   const VoterIncarnation& knownStart) {
  // A reply to an earlier greeting says nothing about this start.
  if (!otherVoters_.contains(voter) || greetedStart != start().number) return false;
  finishListChange();  // the other voter replies only once earlier lists are superseded
  const bool isKnownStart = std::any_of(ownStarts_.begin(), ownStarts_.end(),
                                        [&](const auto& own) { return own.draw == knownStart.draw; });
  // A start that is not on this disk belongs to another disk, or to this one after this copy was made.
  // Comparing the numbers is not enough to detect this, as they also count starts that no other voter was
  // notified of.
  if (knownStart.number > 0 && knownStart.number >= minValidStart_ && !isKnownStart) {
    restartVerification(knownStart);
    return true;
  }
  confirmedBy_.insert(voter);
  finishVerification(now);
  return false;
}

void VotingMember::restartVerification(const VoterIncarnation& knownStart) {
  minValidStart_ = std::max(knownStart.number, start().number) + 1;
  ownStarts_.push_back({.number = minValidStart_, .draw = start().draw});
  changes_.push_back(VoterStartRecord{.voter = {}, .incarnation = start()});
  changes_.push_back(VotingRecord{.isComplete = false, .minValidStart = minValidStart_});
  isComplete_ = false;
  state_ = State::verifyingDisk;
  confirmedBy_.clear();
}

// --- Claims

std::optional<Vote> VotingMember::onClaim(Instant now, const std::string& id, const ClaimToken& token) {
  if (const auto found = claims_.find(id); found != claims_.end())
    return onRepeatedClaim(found->second, token);
  // The limit counts expiries and not claims: an id that was released and claimed again still has its first
  // expiry.
  if (state_ != State::voting || expiries_.size() >= limits_.maxClaims ||
      pendingWrites_ >= limits_.maxPendingWrites)
    return Vote{};
  ++pendingWrites_;
  const ClaimRecord record{.id = id, .token = token, .isCommitted = false, .value = {}};
  claims_[id] = {.record = record, .isDurable = false};
  scheduleExpiry(now, id);
  changes_.push_back(record);
  return std::nullopt;
}

std::optional<Vote> VotingMember::onRepeatedClaim(const StoredClaim& stored, const ClaimToken& token) {
  if (stored.record.token != token) return takenBy(stored.record);
  if (state_ != State::voting) return Vote{};
  if (stored.isDurable) return Vote{.kind = Vote::Kind::granted, .isCommitted = false, .value = {}};
  if (pendingWrites_ >= limits_.maxPendingWrites) return Vote{};
  ++pendingWrites_;
  return std::nullopt;
}

std::optional<Vote> VotingMember::onWritten(const std::string& id, const ClaimToken& token, bool isDurable) {
  if (pendingWrites_ > 0) --pendingWrites_;
  const auto found = claims_.find(id);
  if (found == claims_.end() || found->second.record.token != token) return std::nullopt;
  // A claim that could not be written stays in memory, so that neither it nor any other claim gets the vote.
  if (!isDurable) return Vote{};
  found->second.isDurable = true;
  const auto kind = state_ == State::voting ? Vote::Kind::granted : Vote::Kind::abstained;
  return Vote{.kind = kind, .isCommitted = false, .value = {}};
}

void VotingMember::onCommitted(Instant now, const std::string& id, const ClaimToken& token,
                               std::string value) {
  if (value.size() > limits_.maxValueBytes) value.clear();
  const auto found = claims_.find(id);
  if (found == claims_.end()) {
    // The claim was not received by this voter, but its commit still counts.
    if (expiries_.size() >= limits_.maxClaims) return;
    claims_[id] = {.record = {.id = id, .token = token, .isCommitted = true, .value = std::move(value)},
                   .isDurable = false};
    scheduleExpiry(now, id);
    changes_.push_back(claims_.at(id).record);
    return;
  }
  ClaimRecord& record = found->second.record;
  if (record.isCommitted && record.token == token) return;
  // If another claim has the vote, the committed claim replaces it.
  const bool isOtherClaim = record.token != token;
  record = {.id = id, .token = token, .isCommitted = true, .value = std::move(value)};
  changes_.push_back(record);
  if (isOtherClaim) scheduleExpiry(now, id);
}

void VotingMember::onReleased(const std::string& id, const ClaimToken& token) {
  const auto found = claims_.find(id);
  if (found == claims_.end() || found->second.record.token != token || found->second.record.isCommitted)
    return;
  claims_.erase(found);
  changes_.push_back(ClaimRemoval{id});
}

// --- Time

Instant VotingMember::runTimers(Instant now) {
  if (state_ == State::abstaining && now >= abstainsUntil_) {
    state_ = State::voting;
    isComplete_ = true;
    changes_.push_back(VotingRecord{.isComplete = true, .minValidStart = minValidStart_});
  }
  removeExpired(now);
  const Instant nextExpiry = expiries_.empty() ? Instant() : expiries_.front().when;
  if (state_ != State::abstaining) return nextExpiry;
  return nextExpiry == Instant() ? abstainsUntil_ : std::min(nextExpiry, abstainsUntil_);
}

void VotingMember::scheduleExpiry(Instant now, const std::string& id) {
  expiries_.push_back({.when = now + limits_.retention, .id = id, .token = claims_.at(id).record.token});
}

void VotingMember::removeExpired(Instant now) {
  while (!expiries_.empty() && expiries_.front().when <= now) {
    const ClaimExpiry expired = std::move(expiries_.front());
    expiries_.pop_front();
    const auto found = claims_.find(expired.id);
    // The id was released and claimed again: the later claim has its own expiry.
    if (found == claims_.end() || found->second.record.token != expired.token) continue;
    claims_.erase(found);
    changes_.push_back(ClaimRemoval{expired.id});
  }
}

}  // namespace gulltrestle::idempotency
