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
      lists_(std::move(stored.lists)),
      onCurrentList_{name},
      ownStarts_(std::move(stored.own)),
      newSince_(stored.newSince),
      otherVoters_(lists_.current.names),
      otherStarts_(std::move(stored.starts)) {
  otherVoters_.erase(name);
  for (ClaimRecord& record : stored.entries) {
    expiries_.push_back({now + limits_.retention, record.id, record.token});
    const std::string id = record.id;
    claims_[id] = {std::move(record), true};
  }
  finishListChange(false);
  finishVerification(now);
}

// --- Among voters

// Lists that are superseded stay so: disks don't go back.
void VotingMember::finishListChange(bool isAnswered) {
  if (state_ != State::changingLists) return;
  const bool areSuperseded = isAnswered || std::all_of(lists_.previous.begin(), lists_.previous.end(),
                                                       [&](const VoterList& previous) {
                                                         return isSuperseded(previous, onCurrentList_);
                                                       });
  if (!areSuperseded) return;
  state_ = State::verifyingDisk;
  if (lists_.previous.empty()) return;
  lists_.previous.clear();
  DiskChange change;
  change.kind = DiskChange::Kind::lists;
  change.lists = lists_;
  changes_.push_back(std::move(change));
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
  onCurrentList_.insert(voter);
  finishListChange(false);
  if (state_ == State::changingLists) return std::nullopt;
  VoterIncarnation& newest = otherStarts_[voter];
  const VoterIncarnation knownBefore = newest;
  if (start.number > newest.number) {
    newest = start;
    writeStart(voter, start);
  }
  return knownBefore;
}

bool VotingMember::onGreetingReply(Instant now, const std::string& voter, std::uint64_t greetedStart,
                                   const VoterIncarnation& knownStart) {
  // An answer to an older greeting says nothing of this start.
  if (!otherVoters_.contains(voter) || greetedStart != start().number) return false;
  finishListChange(true);
  const bool isOurs = std::any_of(ownStarts_.begin(), ownStarts_.end(),
                                  [&](const auto& own) { return own.draw == knownStart.draw; });
  // A start that this disk has not seen: it was another disk's, or this one's later than this copy. Numbers
  // alone don't tell: starts that nobody was notified of count up, too.
  if (knownStart.number > 0 && knownStart.number >= newSince_ && !isOurs) {
    startAnew(knownStart);
    return true;
  }
  confirmedBy_.insert(voter);
  finishVerification(now);
  return false;
}

void VotingMember::startAnew(const VoterIncarnation& knownStart) {
  newSince_ = std::max(knownStart.number, start().number) + 1;
  ownStarts_.push_back({newSince_, start().draw});
  writeStart("", start());
  writeVoting(start(), false);
  isComplete_ = false;
  state_ = State::verifyingDisk;
  confirmedBy_.clear();
}

// --- Claims

std::optional<Vote> VotingMember::onClaim(Instant now, const std::string& id, const ClaimToken& token) {
  if (const auto found = claims_.find(id); found != claims_.end())
    return onRepeatedClaim(found->second, token);
  // A claim that was released and claimed anew has its first place among the expiries still.
  if (state_ != State::voting || expiries_.size() >= limits_.maxClaims ||
      pendingWrites_ >= limits_.maxPendingWrites)
    return Vote{};
  ++pendingWrites_;
  const ClaimRecord record{id, token, false, ""};
  claims_[id] = {record, false};
  scheduleExpiry(now, id);
  writeClaim(record);
  return std::nullopt;
}

std::optional<Vote> VotingMember::onRepeatedClaim(const HeldClaim& held, const ClaimToken& token) {
  if (held.record.token != token) return takenBy(held.record);
  if (state_ != State::voting) return Vote{};
  if (held.isDurable) return Vote{Vote::Kind::granted, false, ""};
  if (pendingWrites_ >= limits_.maxPendingWrites) return Vote{};
  ++pendingWrites_;
  return std::nullopt;
}

std::optional<Vote> VotingMember::onWritten(const std::string& id, const ClaimToken& token, bool isDurable) {
  if (pendingWrites_ > 0) --pendingWrites_;
  const auto found = claims_.find(id);
  if (found == claims_.end() || found->second.record.token != token) return std::nullopt;
  // What could not be written stays held here: nobody else gets the vote, and it is not given either.
  if (!isDurable) return Vote{};
  found->second.isDurable = true;
  return Vote{state_ == State::voting ? Vote::Kind::granted : Vote::Kind::abstained, false, ""};
}

void VotingMember::onCommitted(Instant now, const std::string& id, const ClaimToken& token,
                               std::string value) {
  if (value.size() > limits_.maxValueBytes) value.clear();
  const auto found = claims_.find(id);
  if (found == claims_.end()) {
    // The claim did not reach this voter; that it was committed is a fact all the same.
    if (expiries_.size() >= limits_.maxClaims) return;
    claims_[id] = {ClaimRecord{id, token, true, std::move(value)}, false};
    scheduleExpiry(now, id);
    return writeClaim(claims_.at(id).record);
  }
  ClaimRecord& record = found->second.record;
  if (record.committed && record.token == token) return;
  // Another claim's vote here never won: the one that did was committed.
  const bool isOtherClaim = record.token != token;
  record = {id, token, true, std::move(value)};
  writeClaim(record);
  if (isOtherClaim) scheduleExpiry(now, id);
}

void VotingMember::onReleased(const std::string& id, const ClaimToken& token) {
  const auto found = claims_.find(id);
  if (found == claims_.end() || found->second.record.token != token || found->second.record.committed) return;
  claims_.erase(found);
  writeDrop(id);
}

// --- Time

Instant VotingMember::runTimers(Instant now) {
  if (state_ == State::abstaining && now >= abstainsUntil_) {
    state_ = State::voting;
    isComplete_ = true;
    writeVoting({newSince_, 0}, true);
  }
  dropExpired(now);
  const Instant nextExpiry = expiries_.empty() ? Instant() : expiries_.front().when;
  if (state_ != State::abstaining) return nextExpiry;
  return nextExpiry == Instant() ? abstainsUntil_ : std::min(nextExpiry, abstainsUntil_);
}

void VotingMember::scheduleExpiry(Instant now, const std::string& id) {
  expiries_.push_back({now + limits_.retention, id, claims_.at(id).record.token});
}

void VotingMember::dropExpired(Instant now) {
  while (!expiries_.empty() && expiries_.front().when <= now) {
    const ClaimExpiry expired = std::move(expiries_.front());
    expiries_.pop_front();
    const auto found = claims_.find(expired.id);
    // Claimed anew since it was released: that one has its own time.
    if (found == claims_.end() || found->second.record.token != expired.token) continue;
    claims_.erase(found);
    writeDrop(expired.id);
  }
}

// --- What is to be made durable

void VotingMember::writeClaim(const ClaimRecord& record) {
  changes_.push_back({DiskChange::Kind::put, record.id, record, {}, false});
}

void VotingMember::writeDrop(const std::string& id) {
  changes_.push_back({DiskChange::Kind::drop, id, {}, {}, false});
}

void VotingMember::writeStart(const std::string& voter, const VoterIncarnation& start) {
  changes_.push_back({DiskChange::Kind::start, voter, {}, start, false});
}

void VotingMember::writeVoting(const VoterIncarnation& newSince, bool isComplete) {
  changes_.push_back({DiskChange::Kind::voting, "", {}, newSince, isComplete});
}

}  // namespace gulltrestle::idempotency
