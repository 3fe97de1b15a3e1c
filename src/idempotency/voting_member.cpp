#include "idempotency/voting_member.h"

#include <algorithm>

namespace gulltrestle::idempotency {

std::string_view nameOf(VotingMember::State state) {
  constexpr std::string_view kNames[] = {"moving", "unheard", "silent", "votes"};
  return kNames[static_cast<int>(state)];
}

VotingMember::VotingMember(Instant now, const std::string& name, VotingMemberLimits bounds, StoredState kept)
    : bounds_(bounds),
      whole_(kept.isComplete),
      name_(name),
      lists_(std::move(kept.lists)),
      moved_{name},
      own_(std::move(kept.own)),
      newSince_(kept.newSince),
      others_(lists_.current.names),
      starts_(std::move(kept.starts)),
      now_(now) {
  others_.erase(name);
  for (ClaimRecord& entry : kept.entries) {
    oldest_.emplace_back(now + bounds_.retention, std::pair(entry.id, entry.token));
    const std::string id = entry.id;
    entries_[id] = {std::move(entry), true};
  }
  settle(false);
  begin(now);
}

// `answered`: by a settled keeper. Lists before that are over stay so: disks don't go back.
void VotingMember::settle(bool answered) {
  if (state_ != State::changingLists) return;
  const bool over =
      answered || std::all_of(lists_.previous.begin(), lists_.previous.end(),
                              [&](const VoterList& before) { return isSuperseded(before, moved_); });
  if (!over) return;
  state_ = State::verifyingDisk;
  if (lists_.previous.empty()) return;
  lists_.previous.clear();
  DiskChange change;
  change.kind = DiskChange::Kind::lists;
  change.lists = lists_;
  changes_.push_back(std::move(change));
}

// Enough have been heard: from here on it votes, or waits until what it may have forgotten counts no more.
void VotingMember::begin(Instant now) {
  if (state_ != State::verifyingDisk || heard_.size() + 1 < majorityOf(others_.size() + 1)) return;
  if (whole_) {
    state_ = State::voting;
    return;
  }
  state_ = State::abstaining;
  silentUntil_ = now + bounds_.retention;
}

std::vector<std::string> VotingMember::unverifiedVoters() const {
  std::vector<std::string> names;
  if (state_ == State::changingLists || state_ == State::verifyingDisk)
    std::set_difference(others_.begin(), others_.end(), heard_.begin(), heard_.end(),
                        std::back_inserter(names));
  return names;
}

std::optional<VoterIncarnation> VotingMember::onGreeting(const std::string& keeper,
                                                         const VoterIncarnation& start) {
  if (!others_.contains(keeper)) return VoterIncarnation();
  moved_.insert(keeper);
  settle(false);
  if (state_ == State::changingLists) return std::nullopt;
  VoterIncarnation& known = starts_[keeper];
  const VoterIncarnation knew = known;
  if (start.number > known.number) {
    known = start;
    changes_.push_back({DiskChange::Kind::start, keeper, {}, start, false});
  }
  return knew;
}

bool VotingMember::onGreetingReply(Instant now, const std::string& keeper, std::uint64_t ours,
                                   const VoterIncarnation& knew) {
  now_ = now;
  // An answer to an older greeting says nothing of this start.
  if (!others_.contains(keeper) || ours != start().number) return false;
  settle(true);
  const bool isOurs = std::any_of(own_.begin(), own_.end(), [&](auto& s) { return s.draw == knew.draw; });
  // A start that this disk has not seen: it was another disk's, or this one's later than this copy. Numbers
  // alone don't tell: starts that nobody heard of count up, too.
  if (knew.number > 0 && knew.number >= newSince_ && !isOurs) {
    newSince_ = std::max(knew.number, start().number) + 1;
    own_.push_back({newSince_, start().draw});
    changes_.push_back({DiskChange::Kind::start, "", {}, start(), false});
    changes_.push_back({DiskChange::Kind::voting, "", {}, start(), false});
    whole_ = false;
    state_ = State::verifyingDisk;
    heard_.clear();
    return true;
  }
  heard_.insert(keeper);
  begin(now);
  return false;
}

void VotingMember::put(const ClaimRecord& entry) {
  changes_.push_back({DiskChange::Kind::put, entry.id, entry, {}, false});
}

void VotingMember::remember(Instant now, const std::string& id) {
  oldest_.emplace_back(now + bounds_.retention, std::pair(id, entries_.at(id).entry.token));
}

// Its time counts from now, not from the last turn: this process may have stood still in between.
std::optional<Vote> VotingMember::onClaim(Instant now, const std::string& id, const ClaimToken& token) {
  now_ = now;
  if (const auto at = entries_.find(id); at != entries_.end()) {
    const HeldClaim& held = at->second;
    if (held.entry.token != token) return taken(held.entry);
    if (state_ != State::voting) return Vote{};
    if (held.durable) return Vote{Vote::Kind::granted, false, ""};
    if (waiting_ >= bounds_.maxPendingWrites) return Vote{};
    ++waiting_;
    return std::nullopt;
  }
  // Kind was released and claimed anew keeps its place among the oldest, too.
  if (state_ != State::voting || oldest_.size() >= bounds_.maxClaims || waiting_ >= bounds_.maxPendingWrites)
    return Vote{};
  ++waiting_;
  const ClaimRecord entry{id, token, false, ""};
  entries_[id] = {entry, false};
  remember(now, id);
  put(entry);
  return std::nullopt;
}

std::optional<Vote> VotingMember::onWritten(const std::string& id, const ClaimToken& token, bool durable) {
  if (waiting_ > 0) --waiting_;
  const auto at = entries_.find(id);
  if (at == entries_.end() || at->second.entry.token != token) return std::nullopt;
  // Kind could not be written stays held here: nobody else gets the vote, and it is not given either.
  if (!durable) return Vote{};
  at->second.durable = true;
  return Vote{state_ == State::voting ? Vote::Kind::granted : Vote::Kind::abstained, false, ""};
}

void VotingMember::onCommitted(Instant now, const std::string& id, const ClaimToken& token,
                               std::string value) {
  now_ = now;
  if (value.size() > bounds_.maxValueBytes) value.clear();
  const auto at = entries_.find(id);
  if (at == entries_.end()) {
    // The claim did not reach this keeper; that it was committed is a fact all the same.
    if (oldest_.size() >= bounds_.maxClaims) return;
    entries_[id] = {ClaimRecord{id, token, true, std::move(value)}, false};
    remember(now, id);
    return put(entries_.at(id).entry);
  }
  ClaimRecord& entry = at->second.entry;
  if (entry.committed && entry.token == token) return;
  // Another claim's vote here never won: the one that did was committed.
  const bool anew = entry.token != token;
  entry = {id, token, true, std::move(value)};
  put(entry);
  if (anew) remember(now, id);
}

void VotingMember::onReleased(const std::string& id, const ClaimToken& token) {
  const auto at = entries_.find(id);
  if (at == entries_.end() || at->second.entry.token != token || at->second.entry.committed) return;
  entries_.erase(at);
  changes_.push_back({DiskChange::Kind::drop, id, {}, {}, false});
}

Instant VotingMember::runTimers(Instant now) {
  now_ = now;
  if (state_ == State::abstaining && now >= silentUntil_) {
    state_ = State::voting;
    whole_ = true;
    changes_.push_back({DiskChange::Kind::voting, "", {}, {newSince_, 0}, true});
  }
  while (!oldest_.empty() && oldest_.front().first <= now) {
    const auto [id, token] = std::move(oldest_.front().second);
    oldest_.pop_front();
    const auto at = entries_.find(id);
    // Claimed anew since it was released: that one has its own time.
    if (at == entries_.end() || at->second.entry.token != token) continue;
    entries_.erase(at);
    changes_.push_back({DiskChange::Kind::drop, id, {}, {}, false});
  }
  const Instant next = oldest_.empty() ? Instant() : oldest_.front().first;
  if (state_ != State::abstaining) return next;
  return next == Instant() ? silentUntil_ : std::min(next, silentUntil_);
}

}  // namespace gulltrestle::idempotency
