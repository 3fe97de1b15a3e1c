#include "degradation/degradation_controller.h"

#include <algorithm>

namespace gulltrestle::degradation {

namespace {

// An interval is as long as it takes to tell a standing wait from chance, within these: eight txns, a lower
// quarter of which is two; no less than a queue takes to show, no more than an operator waits for a change.
constexpr std::size_t kFewest = 8;
constexpr Duration kShortest = Duration::millis(500), kLongest = Duration::millis(3000);
// Samples that an interval keeps: a busy group has thousands, and the last tell what is.
constexpr std::size_t kMostKept = 256;
// A txn that was let in and given up counts as if it had taken this many times its latency target.
constexpr double kGivenUp = 2;
// One that was given up before this share of its latency target was over did not wait: it was refused, by a
// level or as it came too late. It tells nothing of the load. Guards against clients that come again at once,
// whose storm would hold a level up; may hurt where nodes reject at once what they can't take: their answers
// to the others show it.
constexpr double kWaited = 0.1;
// Where so much of this router's own limits is taken, every group that has txns waiting counts as waiting:
// beyond, clients and txns would be rejected blindly. Above the three quarters at which the module makes
// room by itself, so that a level comes only where that was not enough.
constexpr double kOwnFull = 0.85;
// Groups that are kept; lists name far fewer.
constexpr std::size_t kMostGroups = 10'000;

}  // namespace

std::string_view nameOf(Cause cause) {
  switch (cause) {
    case Cause::none:
      return "none";
    case Cause::waits:
      return "waits";
    case Cause::calm:
      return "calm";
    case Cause::limits:
      return "limits";
    case Cause::pinned:
      return "pinned";
    case Cause::capped:
      return "capped";
  }
  return "unknown";
}

DegradationController::DegradationController(Bounds bounds, std::uint64_t seed)
    : bounds_(bounds), seed_(seed) {}

DegradationController::Group& DegradationController::groupOf(GroupId id) {
  const auto at = groups_.find(id);
  if (at != groups_.end()) return at->second;
  if (groups_.size() >= kMostGroups) forget(groups_.begin()->first);
  Group& made = groups_[id];
  // Up to a third longer, by group and router.
  const std::uint64_t mixed = (seed_ ^ id * 0x9E3779B97F4A7C15u) * 0xBF58476D1CE4E5B9u;
  made.stretch = 1 + static_cast<double>(mixed >> 40) / static_cast<double>(1 << 24) / 3;
  return made;
}

DegradationController::Counts& DegradationController::countsOf(Group& group, std::size_t type) {
  if (group.types.size() <= type) group.types.resize(type + 1);
  return group.types[type];
}

void DegradationController::recordAnswer(Instant now, GroupId id, std::size_t type, double share) {
  Group& group = groupOf(id);
  if (group.beganAt == Instant()) group.beganAt = now;
  pushBounded(group.shares, {now, share}, kMostKept);
  ++countsOf(group, type).answered;
}

// Clients may name any group, but only one that has nodes ever answers: the others are not kept. Guards
// against names without an end, which would fill the table and push real groups out of it.
void DegradationController::recordAbandoned(Instant now, GroupId id, std::size_t type, double share) {
  const auto known = groups_.find(id);
  if (known == groups_.end()) return;
  Group& group = known->second;
  if (share < kWaited) {
    ++countsOf(group, type).refused;
    return;
  }
  if (group.beganAt == Instant()) group.beganAt = now;
  pushBounded(group.shares, {now, kGivenUp}, kMostKept);
  ++group.gaveUp;
  ++countsOf(group, type).gaveUp;
}

// Guards against a pause of the process or its machine, which looks like a queue at every node at once.
void DegradationController::onProcessStalled(Instant) {
  for (auto& [id, group] : groups_) {
    group.shares.clear();
    group.gaveUp = 0;
    group.beganAt = Instant();
  }
}

void DegradationController::forget(GroupId id) {
  groups_.erase(id);
  shown_.erase(id);
}

DegradationController::GroupState DegradationController::stateOf(GroupId id) const {
  const auto at = shown_.find(id);
  return at == shown_.end() ? GroupState{} : at->second;
}

void DegradationController::change(Instant now, GroupId id, Group& group, Level to, Cause cause,
                                   Change& out) {
  out = {id, group.level, to, cause, group.wait, group.shares.size()};
  group.level = to;
  group.cause = cause;
  group.trial = false;
  group.since = now;
  group.calmSince = Instant();
  group.changes.push_back(now);
}

// The standing wait is the lower quarter of the interval's shares: a burst leaves some quick answers among
// the slow ones, a queue that stands leaves none (CoDel's minimum, with some allowance for chance). Guards
// against levels that follow bursts; may hurt where a quarter of the txns never queue, as they go to nodes of
// their own.
bool DegradationController::decideOne(Instant now, GroupId id, Group& group, Change& out) {
  while (!group.changes.empty() && now - group.changes.front() > Duration::millis(60'000))
    group.changes.pop_front();
  if (bounds_.pinned && group.level != *bounds_.pinned) {
    change(now, id, group, *bounds_.pinned, Cause::pinned, out);
    return true;
  }
  if (bounds_.pinned) return false;
  if (group.level > bounds_.cap) {
    change(now, id, group, bounds_.cap, Cause::capped, out);
    return true;
  }
  const Duration length = group.beganAt == Instant() ? Duration() : now - group.beganAt;
  const bool whole = length >= kLongest || (length >= kShortest && group.shares.size() >= kFewest);
  if (!whole) return false;
  // Nothing was answered at all: a hang, a cut, a change of primary. Refusing some types helps no other then,
  // and the module leaves out who is silent. Guards against levels that a hang raises, and that outlast it.
  const bool silent = group.gaveUp == group.shares.size();
  if (!group.shares.empty() && !silent) group.wait = quantile(group.shares, 4);
  const std::size_t txns = group.shares.size();
  const bool told = txns >= kFewest && !silent;
  const auto end = [&] {
    group.shares.clear();
    group.gaveUp = 0;
    group.beganAt = Instant();
  };
  if (silent && txns > 0) {
    group.calmSince = Instant();
    group.trial = false;
    end();
    return false;
  }
  const bool stayed = group.since == Instant() || now - group.since >= bounds_.shortestStay * group.stretch;
  const bool mayChange = group.changes.size() < bounds_.mostChanges;
  const bool full = own_ >= kOwnFull && group.wait >= bounds_.down;
  // Up: at once from full service, else after the stay. Where changes are used up it stays the higher.
  if (told && (full || group.wait >= bounds_.up) && group.level < bounds_.cap && stayed && mayChange) {
    change(now, id, group, group.level + 1, full && group.wait < bounds_.up ? Cause::limits : Cause::waits,
           out);
    end();
    return true;
  }
  // Few txns are calm, too: nothing waits where hardly anyone asks.
  const bool calm = group.wait < bounds_.down || txns == 0;
  if (group.level > 0 && !calm) {
    group.calmSince = Instant();
    group.trial = false;
  } else if (group.level > 0 && group.calmSince == Instant()) {
    group.calmSince = now;
  } else if (group.level > 0 && !group.trial && now - group.calmSince >= bounds_.calm && stayed) {
    group.trial = true;
    group.trialSince = now;
  } else if (group.trial && now - group.trialSince >= bounds_.trial && mayChange) {
    change(now, id, group, group.level - 1, Cause::calm, out);
    end();
    return true;
  }
  end();
  return false;
}

std::vector<Change> DegradationController::decide(Instant now) {
  std::vector<Change> changes;
  nextDue_ = Instant();
  for (auto& [id, group] : groups_) {
    // Where nobody asks an interval begins by itself while there is a level to leave.
    if (group.beganAt == Instant() && group.level > 0) group.beganAt = now;
    Change change;
    if (decideOne(now, id, group, change)) changes.push_back(change);
    GroupState& shown = shown_[id];
    shown = {group.level, group.trial ? bounds_.trialShare : 0, group.cause, group.since, group.wait,
             group.types};
    const bool wants = group.level > 0 || group.beganAt != Instant();
    const Instant due = now + kShortest;
    if (wants && (nextDue_ == Instant() || due < nextDue_)) nextDue_ = due;
  }
  return changes;
}

}  // namespace gulltrestle::degradation
