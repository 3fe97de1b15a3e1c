#include "degradation/degradation_controller.h"

#include <algorithm>

namespace gulltrestle::degradation {

namespace {

// An interval has enough samples to distinguish a standing wait from chance: eight transactions, whose lower
// quartile is two. It is at least as long as a queue takes to become visible, and no longer than an operator
// waits for a change.
constexpr std::size_t kMinSamples = 8;
constexpr Duration kMinInterval = Duration::millis(500), kMaxInterval = Duration::millis(3000);
// Samples stored per interval. A busy group has thousands; the latest ones show the current state.
constexpr std::size_t kMaxSamples = 256;
// The standing wait is the lower quartile: 1/4.
constexpr std::size_t kWaitQuantile = 4;
// The sample, as a fraction of the latency target, for a transaction that was abandoned after a wait.
constexpr double kAbandonedWait = 2;
// A transaction that was abandoned before this fraction of its latency target did not wait: it was rejected
// on arrival, by a level or because its remaining time was too short, and carries no information on the load.
// Prevents a level from being kept up by the retry storm of clients that retry immediately. Trade-off: a node
// that rejects excess transactions immediately is not noticed by these rejections, but by its answers to the
// other transactions.
constexpr double kMinWait = 0.1;
// Once this fraction of the router's own limits is used, every group with waiting transactions counts as
// overloaded: at the limits, clients and transactions are rejected indiscriminately. It is above the three
// quarters at which the router starts to free capacity, so that a level is raised only if that was not
// enough.
constexpr double kFullUtilization = 0.85;
// Maximum number of stored groups; endpoint lists name far fewer.
constexpr std::size_t kMaxGroups = 10'000;
// The window of the limit on changes per minute.
constexpr Duration kMinute = Duration::millis(60'000);

// Hashes the seed and the group's number, with the constants of SplitMix64, to a factor from 1 to 4/3.
double holdFactorOf(std::uint64_t seed, GroupId group) {
  constexpr std::uint64_t kGoldenGamma = 0x9E3779B97F4A7C15u, kMixMultiplier = 0xBF58476D1CE4E5B9u;
  constexpr unsigned kFractionBits = 24;
  const std::uint64_t mixed = (seed ^ group * kGoldenGamma) * kMixMultiplier;
  return 1 + static_cast<double>(mixed >> (64 - kFractionBits)) / static_cast<double>(1 << kFractionBits) / 3;
}

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

// --- Observations

void DegradationController::Group::startNewInterval() {
  waits.clear();
  abandoned = 0;
  intervalStartedAt = Instant();
}

void DegradationController::Group::addSample(Instant now, double wait) {
  if (intervalStartedAt == Instant()) intervalStartedAt = now;
  pushBounded(waits, {now, wait}, kMaxSamples);
}

void DegradationController::Group::leaveTrial() {
  isInTrial = false;
  calmSince = Instant();
}

DegradationController::Group& DegradationController::findOrAddGroup(GroupId id) {
  const auto found = groups_.find(id);
  if (found != groups_.end()) return found->second;
  if (groups_.size() >= kMaxGroups) forget(groups_.begin()->first);
  Group& added = groups_[id];
  added.holdFactor = holdFactorOf(seed_, id);
  return added;
}

DegradationController::Counts& DegradationController::countsOf(Group& group, std::size_t type) {
  if (group.countsByClass.size() <= type) group.countsByClass.resize(type + 1);
  return group.countsByClass[type];
}

void DegradationController::recordAnswer(Instant now, GroupId id, std::size_t type, double targetFraction) {
  Group& group = findOrAddGroup(id);
  group.addSample(now, targetFraction);
  ++countsOf(group, type).answered;
}

// Clients may name any group, but only a group that has nodes ever answers; the others are not stored.
// Prevents an unbounded number of names from filling the table and evicting real groups.
void DegradationController::recordAbandoned(Instant now, GroupId id, std::size_t type,
                                            double targetFraction) {
  const auto known = groups_.find(id);
  if (known == groups_.end()) return;
  Group& group = known->second;
  if (targetFraction < kMinWait) {
    ++countsOf(group, type).rejected;
    return;
  }
  group.addSample(now, kAbandonedWait);
  ++group.abandoned;
  ++countsOf(group, type).abandoned;
}

// A pause of the process or its machine would otherwise look like a queue at every node at once.
void DegradationController::onProcessStalled(Instant) {
  for (auto& [id, group] : groups_) group.startNewInterval();
}

void DegradationController::forget(GroupId id) {
  groups_.erase(id);
  states_.erase(id);
}

DegradationController::GroupState DegradationController::stateOf(GroupId id) const {
  const auto found = states_.find(id);
  return found == states_.end() ? GroupState{} : found->second;
}

// --- Decisions

Change DegradationController::changeLevel(Instant now, GroupId id, Group& group, Level to,
                                          Cause cause) const {
  const Change change{id, group.level, to, cause, group.standingWait, group.waits.size()};
  group.level = to;
  group.cause = cause;
  group.since = now;
  group.leaveTrial();
  group.changes.push_back(now);
  return change;
}

bool DegradationController::wasHeldLongEnough(Instant now, const Group& group) const {
  return group.since == Instant() || now - group.since >= bounds_.minHold * group.holdFactor;
}

std::optional<Change> DegradationController::decideGroup(Instant now, GroupId id, Group& group) const {
  while (!group.changes.empty() && now - group.changes.front() > kMinute) group.changes.pop_front();
  if (bounds_.pinnedLevel || group.level > bounds_.maxLevel) return applyOperatorLimits(now, id, group);
  const Duration length = group.intervalStartedAt == Instant() ? Duration() : now - group.intervalStartedAt;
  const bool isIntervalComplete =
      length >= kMaxInterval || (length >= kMinInterval && group.waits.size() >= kMinSamples);
  if (!isIntervalComplete) return std::nullopt;
  // No transaction was answered: a hang, a partition or a failover. Rejecting some classes does not help the
  // others then, and the router already avoids silent nodes. Prevents a hang from raising a level that would
  // outlast it.
  const bool isGroupSilent = !group.waits.empty() && group.abandoned == group.waits.size();
  std::optional<Change> change;
  if (isGroupSilent) {
    group.leaveTrial();
  } else {
    change = decideByWait(now, id, group);
  }
  group.startNewInterval();
  return change;
}

std::optional<Change> DegradationController::applyOperatorLimits(Instant now, GroupId id,
                                                                 Group& group) const {
  const Level level = bounds_.pinnedLevel.value_or(bounds_.maxLevel);
  if (group.level == level) return std::nullopt;
  return changeLevel(now, id, group, level, bounds_.pinnedLevel ? Cause::pinned : Cause::capped);
}

// The standing wait is the lower quartile of the interval's samples: a burst leaves some fast answers among
// the slow ones, a standing queue leaves none (as CoDel's minimum, with some allowance for chance). Prevents
// levels from following bursts. Trade-off: a queue is missed if a quarter of the transactions never wait in
// it because they go to other nodes.
std::optional<Change> DegradationController::decideByWait(Instant now, GroupId id, Group& group) const {
  if (!group.waits.empty()) group.standingWait = quantile(group.waits, kWaitQuantile);
  const bool isWaiting = group.standingWait >= bounds_.raiseAbove;
  const bool isOwnLimitNear = ownUtilization_ >= kFullUtilization && group.standingWait >= bounds_.lowerBelow;
  // From level 0 the level is raised immediately, else after the minimum hold time. Once the changes per
  // minute are used up the current level stays.
  const bool mayRaise = group.waits.size() >= kMinSamples && group.level < bounds_.maxLevel &&
                        wasHeldLongEnough(now, group) && mayChange(group);
  if (mayRaise && (isWaiting || isOwnLimitNear))
    return changeLevel(now, id, group, group.level + 1, isWaiting ? Cause::waits : Cause::limits);
  if (group.level > 0) return decideLowering(now, id, group);
  return std::nullopt;
}

std::optional<Change> DegradationController::decideLowering(Instant now, GroupId id, Group& group) const {
  // A group without transactions is calm as well.
  const bool isCalm = group.standingWait < bounds_.lowerBelow || group.waits.empty();
  if (!isCalm) {
    group.leaveTrial();
  } else if (group.calmSince == Instant()) {
    group.calmSince = now;
  } else if (!group.isInTrial && now - group.calmSince >= bounds_.calmPeriod &&
             wasHeldLongEnough(now, group)) {
    group.isInTrial = true;
    group.trialSince = now;
  } else if (group.isInTrial && now - group.trialSince >= bounds_.trialPeriod && mayChange(group)) {
    return changeLevel(now, id, group, group.level - 1, Cause::calm);
  }
  return std::nullopt;
}

std::vector<Change> DegradationController::decide(Instant now) {
  std::vector<Change> changes;
  nextDue_ = Instant();
  for (auto& [id, group] : groups_) {
    // Above level 0 an interval starts even without transactions, so that an idle group returns to level 0.
    if (group.intervalStartedAt == Instant() && group.level > 0) group.intervalStartedAt = now;
    if (const auto change = decideGroup(now, id, group)) changes.push_back(*change);
    states_[id] = {group.level,        group.isInTrial ? bounds_.trialFraction : 0,
                   group.cause,        group.since,
                   group.standingWait, group.countsByClass};
    const bool needsDecision = group.level > 0 || group.intervalStartedAt != Instant();
    if (needsDecision) nextDue_ = now + kMinInterval;
  }
  return changes;
}

}  // namespace gulltrestle::degradation
