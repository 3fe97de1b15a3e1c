#include "degradation/degradation_controller.h"

#include <algorithm>

namespace gulltrestle::degradation {

namespace {

// An interval lasts until a standing wait can be told from chance: eight transactions, a lower quarter of
// which is two. Within these limits: no less than a queue takes to show, no more than an operator waits for a
// change.
constexpr std::size_t kMinSamples = 8;
constexpr Duration kMinInterval = Duration::millis(500), kMaxInterval = Duration::millis(3000);
// Samples stored per interval: a busy group has thousands, and the latest show the current state.
constexpr std::size_t kMaxSamples = 256;
// The standing wait is this quantile: the lower quarter.
constexpr std::size_t kWaitQuantile = 4;
// A transaction that waited and was abandoned counts as if it had taken this many times its latency target.
constexpr double kAbandonedWait = 2;
// A transaction that was abandoned before this fraction of its latency target did not wait: it was rejected,
// by a level or as it came too late. It tells nothing of the load. Guards against clients that retry at once,
// whose storm would hold a level up; may hurt where nodes reject at once what they can't take: their answers
// to the others show it.
constexpr double kMinWait = 0.1;
// Where this fraction of this router's own limits is used, every group with waiting transactions counts as
// overloaded: beyond it, clients and transactions would be rejected indiscriminately. Above the three
// quarters at which the router frees capacity by itself, so that a level is raised only where that was not
// enough.
constexpr double kFullUtilization = 0.85;
// Groups that are stored; endpoint lists name far fewer.
constexpr std::size_t kMaxGroups = 10'000;
// For the limit on changes per minute.
constexpr Duration kMinute = Duration::millis(60'000);

// Mixes the seed and the group's number, as SplitMix64 does, into a factor from 1 to 4/3.
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

// Clients may name any group, but only one that has nodes ever answers: the others are not stored. Guards
// against an unbounded number of names, which would fill the table and evict real groups.
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

// Guards against a pause of the process or its machine, which looks like a queue at every node at once.
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
  // Nothing was answered at all: a hang, a partition, a change of primary. Rejecting some classes helps no
  // other then, and the router avoids silent nodes. Guards against levels that a hang raises, and that
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

// The standing wait is the lower quarter of the interval's samples: a burst leaves some quick answers among
// the slow ones, a standing queue leaves none (CoDel's minimum, with some allowance for chance). Guards
// against levels that follow bursts; may hurt where a quarter of the transactions never queue, as they go to
// nodes of their own.
std::optional<Change> DegradationController::decideByWait(Instant now, GroupId id, Group& group) const {
  if (!group.waits.empty()) group.standingWait = quantile(group.waits, kWaitQuantile);
  const bool isWaiting = group.standingWait >= bounds_.raiseAbove;
  const bool isOwnLimitNear = ownUtilization_ >= kFullUtilization && group.standingWait >= bounds_.lowerBelow;
  // Raised at once from full service, else after the level was held. Where changes are used up the higher
  // level stays.
  const bool mayRaise = group.waits.size() >= kMinSamples && group.level < bounds_.maxLevel &&
                        wasHeldLongEnough(now, group) && mayChange(group);
  if (mayRaise && (isWaiting || isOwnLimitNear))
    return changeLevel(now, id, group, group.level + 1, isWaiting ? Cause::waits : Cause::limits);
  if (group.level > 0) return decideLowering(now, id, group);
  return std::nullopt;
}

std::optional<Change> DegradationController::decideLowering(Instant now, GroupId id, Group& group) const {
  // A group without transactions is calm, too.
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
    // Without transactions an interval starts by itself while there is a level to leave.
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
