// A brownout controller: decides the degradation level of each group from the latencies of its transactions.
// The admission table (degradation/admission_table.h) defines what a level rejects; the router decides which
// transactions are rejected. No I/O, no clock.
//
// The standing wait of a group is the lower quartile of its transactions' latencies in an interval, as a
// fraction of their latency targets.
//
//   state     meaning                                      next state
//   steady    the level does not change                    steady, one level up: the standing wait
//                                                          reaches the upper bound
//                                                          trial: it was below the lower bound for the calm
//                                                          period
//   trial     admits a fraction of the transactions that   steady, one level down: still calm at its end
//             the level rejects and the level below        steady: the wait reaches the lower bound again
//             admits
//
// After each change a level is held for a minimum time. Levels change by one step at a time and at most a
// configured number of times per minute; once that limit is reached the current level stays.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "base/samples.h"
#include "base/time.h"
#include "routing/router.h"

namespace gulltrestle::degradation {

using Level = unsigned;  // 0: full service
constexpr Level kMaxLevel = 4;

// The conditions for level changes. Waits are fractions of the transactions' latency targets.
struct Bounds {
  double raiseAbove = 0.6, lowerBelow = 0.3;      // standing waits
  Duration minHold = Duration::millis(5000);      // minimum time between changes
  Duration calmPeriod = Duration::millis(4000);   // time below the lower bound before a trial starts
  Duration trialPeriod = Duration::millis(4000);  // time below the lower bound before a trial succeeds
  unsigned maxChangesPerMinute = 6;
  double trialFraction = 0.25;       // of the rejected transactions, admitted during a trial
  std::optional<Level> pinnedLevel;  // set by an operator: the only level in use
  Level maxLevel = kMaxLevel;        // set by an operator: the highest level in use
};

// Why a group is at its level:
//   none     the level has not changed yet
//   waits    raised: the standing wait reached the upper bound
//   limits   raised: the router's own limits are nearly used up
//   calm     lowered after a successful trial
//   pinned   set to the level that an operator pinned
//   capped   lowered to the highest level that an operator allows
enum class Cause { none, waits, limits, calm, pinned, capped };
// The name of the cause in logs and status documents.
std::string_view nameOf(Cause cause);

// A change of a group's level.
struct Change {
  GroupId group = 0;
  Level from = 0, to = 0;
  Cause cause = Cause::none;
  double wait = 0;       // the standing wait at the decision
  std::size_t txns = 0;  // the number of samples in the interval
};

// Decides the levels of all groups. The transaction table calls it once per turn.
class DegradationController {
 public:
  // `seed`: varies the minimum hold time from router to router, so that their levels do not change at the
  // same moment.
  DegradationController(Bounds bounds, std::uint64_t seed);

  // --- Observations. `type`: index of the transaction class. `targetFraction`: the time since the
  // transaction was opened, divided by its latency target.

  // Records a transaction that was answered.
  void recordAnswer(Instant now, GroupId group, std::size_t type, double targetFraction);
  // Records a transaction that was rejected or rolled back.
  void recordAbandoned(Instant now, GroupId group, std::size_t type, double targetFraction);
  // The used fraction of this router's own limits (open transactions, buffered bytes): the highest of them.
  void setOwnUtilization(double utilization) { ownUtilization_ = utilization; }
  // Drops the current measurements after the process was stalled: they include its own delay.
  void onProcessStalled(Instant now);
  // Replaces the bounds after a configuration reload.
  void setBounds(Bounds bounds) { bounds_ = bounds; }

  // Decides the level of each group and returns the changes.
  std::vector<Change> decide(Instant now);
  // When decide() is due next; Instant(): not before the next observation.
  Instant nextDue() const { return nextDue_; }

  // Transactions of one class since the start.
  struct Counts {
    std::uint64_t answered = 0;
    std::uint64_t abandoned = 0;  // rejected or rolled back after a wait
    std::uint64_t rejected = 0;   // on arrival
  };
  struct GroupState {
    Level level = 0;
    double trialFraction = 0;  // the fraction of transactions that the rules of the level below apply to
    Cause cause = Cause::none;
    Instant since;
    double standingWait = 0;
    std::vector<Counts> countsByClass;  // up to the highest class index recorded so far
  };
  // The state as of the last decide(); level 0 for an unknown group.
  GroupState stateOf(GroupId group) const;
  const std::map<GroupId, GroupState>& states() const { return states_; }
  // Removes all data of the group.
  void forget(GroupId group);

 private:
  struct Group {
    Level level = 0;
    bool isInTrial = false;
    Cause cause = Cause::none;
    Instant since, calmSince, trialSince;
    // The current measurement interval.
    Instant intervalStartedAt;    // Instant(): no sample yet
    Samples waits;                // as fractions of the latency target
    std::size_t abandoned = 0;    // of the samples
    double standingWait = 0;      // of the last interval
    std::deque<Instant> changes;  // in the last minute
    double holdFactor = 1;        // multiplies the minimum hold time
    std::vector<Counts> countsByClass;

    void startNewInterval();
    void addSample(Instant now, double wait);
    void leaveTrial();
  };
  static Counts& countsOf(Group& group, std::size_t type);
  Group& findOrAddGroup(GroupId id);
  // Each returns the change of the group's level, or nullopt if the level stays.
  std::optional<Change> decideGroup(Instant now, GroupId id, Group& group) const;
  std::optional<Change> applyOperatorLimits(Instant now, GroupId id, Group& group) const;
  std::optional<Change> decideByWait(Instant now, GroupId id, Group& group) const;
  std::optional<Change> decideLowering(Instant now, GroupId id, Group& group) const;
  Change changeLevel(Instant now, GroupId id, Group& group, Level to, Cause cause) const;
  bool wasHeldLongEnough(Instant now, const Group& group) const;
  bool mayChange(const Group& group) const { return group.changes.size() < bounds_.maxChangesPerMinute; }

  Bounds bounds_;
  std::uint64_t seed_;
  double ownUtilization_ = 0;
  std::map<GroupId, Group> groups_;
  std::map<GroupId, GroupState> states_;  // as of the last decision
  Instant nextDue_;
};

}  // namespace gulltrestle::degradation
