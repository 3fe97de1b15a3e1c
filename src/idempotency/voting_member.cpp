#include "idempotency/voting_member.h"

#include <algorithm>

namespace gulltrestle::idempotency {

std::string_view nameOf(Keeper::State state) {
  constexpr std::string_view kNames[] = {"moving", "unheard", "silent", "votes"};
  return kNames[static_cast<int>(state)];
}

Keeper::Keeper(Instant now, const std::string& name, KeeperBounds bounds, Kept kept)
    : bounds_(bounds),
      whole_(kept.whole),
      name_(name),
      lists_(std::move(kept.lists)),
      moved_{name},
      own_(std::move(kept.own)),
      newSince_(kept.newSince),
      others_(lists_.now.names),
      starts_(std::move(kept.starts)),
      now_(now) {
  others_.erase(name);
  for (Entry& entry : kept.entries) {
    oldest_.emplace_back(now + bounds_.retention, std::pair(entry.id, entry.token));
    const std::string id = entry.id;
    entries_[id] = {std::move(entry), true};
  }
  settle(false);
  begin(now);
}

// `answered`: by a settled keeper. Lists before that are over stay so: disks don't go back.
void Keeper::settle(bool answered) {
  if (state_ != State::moving) return;
  const bool over = answered || std::all_of(lists_.before.begin(), lists_.before.end(),
                                            [&](const List& before) { return isOver(before, moved_); });
  if (!over) return;
  state_ = State::unheard;
  if (lists_.before.empty()) return;
  lists_.before.clear();
  Change change;
  change.what = Change::What::lists;
  change.lists = lists_;
  changes_.push_back(std::move(change));
}

// Enough have been heard: from here on it votes, or waits until what it may have forgotten counts no more.
void Keeper::begin(Instant now) {
  if (state_ != State::unheard || heard_.size() + 1 < majorityOf(others_.size() + 1)) return;
  if (whole_) {
    state_ = State::votes;
    return;
  }
  state_ = State::silent;
  silentUntil_ = now + bounds_.retention;
}

std::vector<std::string> Keeper::unheard() const {
  std::vector<std::string> names;
  if (state_ == State::moving || state_ == State::unheard)
    std::set_difference(others_.begin(), others_.end(), heard_.begin(), heard_.end(),
                        std::back_inserter(names));
  return names;
}

std::optional<Start> Keeper::greeted(const std::string& keeper, const Start& start) {
  if (!others_.contains(keeper)) return Start();
  moved_.insert(keeper);
  settle(false);
  if (state_ == State::moving) return std::nullopt;
  Start& known = starts_[keeper];
  const Start knew = known;
  if (start.number > known.number) {
    known = start;
    changes_.push_back({Change::What::start, keeper, {}, start, false});
  }
  return knew;
}

bool Keeper::heard(Instant now, const std::string& keeper, std::uint64_t ours, const Start& knew) {
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
    changes_.push_back({Change::What::start, "", {}, start(), false});
    changes_.push_back({Change::What::voting, "", {}, start(), false});
    whole_ = false;
    state_ = State::unheard;
    heard_.clear();
    return true;
  }
  heard_.insert(keeper);
  begin(now);
  return false;
}

void Keeper::put(const Entry& entry) { changes_.push_back({Change::What::put, entry.id, entry, {}, false}); }

void Keeper::remember(Instant now, const std::string& id) {
  oldest_.emplace_back(now + bounds_.retention, std::pair(id, entries_.at(id).entry.token));
}

// Its time counts from now, not from the last turn: this process may have stood still in between.
std::optional<Vote> Keeper::claimed(Instant now, const std::string& id, const Token& token) {
  now_ = now;
  if (const auto at = entries_.find(id); at != entries_.end()) {
    const Held& held = at->second;
    if (held.entry.token != token) return taken(held.entry);
    if (state_ != State::votes) return Vote{};
    if (held.durable) return Vote{Vote::What::yours, false, ""};
    if (waiting_ >= bounds_.mostWaiting) return Vote{};
    ++waiting_;
    return std::nullopt;
  }
  // What was released and claimed anew keeps its place among the oldest, too.
  if (state_ != State::votes || oldest_.size() >= bounds_.most || waiting_ >= bounds_.mostWaiting)
    return Vote{};
  ++waiting_;
  const Entry entry{id, token, false, ""};
  entries_[id] = {entry, false};
  remember(now, id);
  put(entry);
  return std::nullopt;
}

std::optional<Vote> Keeper::written(const std::string& id, const Token& token, bool durable) {
  if (waiting_ > 0) --waiting_;
  const auto at = entries_.find(id);
  if (at == entries_.end() || at->second.entry.token != token) return std::nullopt;
  // What could not be written stays held here: nobody else gets the vote, and it is not given either.
  if (!durable) return Vote{};
  at->second.durable = true;
  return Vote{state_ == State::votes ? Vote::What::yours : Vote::What::silent, false, ""};
}

void Keeper::committed(Instant now, const std::string& id, const Token& token, std::string value) {
  now_ = now;
  if (value.size() > bounds_.longestValue) value.clear();
  const auto at = entries_.find(id);
  if (at == entries_.end()) {
    // The claim did not reach this keeper; that it was committed is a fact all the same.
    if (oldest_.size() >= bounds_.most) return;
    entries_[id] = {Entry{id, token, true, std::move(value)}, false};
    remember(now, id);
    return put(entries_.at(id).entry);
  }
  Entry& entry = at->second.entry;
  if (entry.committed && entry.token == token) return;
  // Another claim's vote here never won: the one that did was committed.
  const bool anew = entry.token != token;
  entry = {id, token, true, std::move(value)};
  put(entry);
  if (anew) remember(now, id);
}

void Keeper::released(const std::string& id, const Token& token) {
  const auto at = entries_.find(id);
  if (at == entries_.end() || at->second.entry.token != token || at->second.entry.committed) return;
  entries_.erase(at);
  changes_.push_back({Change::What::drop, id, {}, {}, false});
}

Instant Keeper::due(Instant now) {
  now_ = now;
  if (state_ == State::silent && now >= silentUntil_) {
    state_ = State::votes;
    whole_ = true;
    changes_.push_back({Change::What::voting, "", {}, {newSince_, 0}, true});
  }
  while (!oldest_.empty() && oldest_.front().first <= now) {
    const auto [id, token] = std::move(oldest_.front().second);
    oldest_.pop_front();
    const auto at = entries_.find(id);
    // Claimed anew since it was released: that one has its own time.
    if (at == entries_.end() || at->second.entry.token != token) continue;
    entries_.erase(at);
    changes_.push_back({Change::What::drop, id, {}, {}, false});
  }
  const Instant next = oldest_.empty() ? Instant() : oldest_.front().first;
  if (state_ != State::silent) return next;
  return next == Instant() ? silentUntil_ : std::min(next, silentUntil_);
}

}  // namespace gulltrestle::idempotency
