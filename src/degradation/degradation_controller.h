// The degradation level of each group, decided from the latencies of its transactions (a brownout
// controller). What a level rejects is in its table (degradation/admission_table.h); which transactions are
// rejected is the router's decision. No I/O, no clock.
//
//   state     meaning                                      next state
//   steady    the level is held                            raised: the standing wait is over the upper bound
//                                                          trial: it was under the lower bound for the calm
//                                                          period
//   trial     a fraction of what the level rejects and     steady, one level down: still calm at its end
//             the level below admits is admitted           steady: the wait was over the lower bound again
//
// A level is held for a shortest time after each change, changes by one step at a time, and only so many
// times per minute; when these are used up the higher level stays.
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

// When a level is entered and left. Waits are fractions of the transactions' latency targets.
struct Bounds {
  double raiseAbove = 0.6, lowerBelow = 0.3;      // standing waits
  Duration minHold = Duration::millis(5000);      // a level is held at least this long
  Duration calmPeriod = Duration::millis(4000);   // under the lower bound for this long before a trial
  Duration trialPeriod = Duration::millis(4000);  // and for this long during it
  unsigned maxChangesPerMinute = 6;
  double trialFraction = 0.25;       // of what is rejected, admitted during a trial
  std::optional<Level> pinnedLevel;  // set by an operator: no other level is entered
  Level maxLevel = kMaxLevel;        // set by an operator: no higher level is entered
};

// Why a group is at its level.
enum class Cause { none, waits, limits, calm, pinned, capped };
std::string_view nameOf(Cause cause);

// A change of a group's level.
struct Change {
  GroupId group = 0;
  Level from = 0, to = 0;
  Cause cause = Cause::none;
  double wait = 0;       // the standing wait that it was decided by
  std::size_t txns = 0;  // the number of transactions that were measured
};

// Decides the levels. Called by the transaction table each turn.
class DegradationController {
 public:
  // `seed`: the time for which levels are held differs a little from router to router, so that they do not
  // change together.
  DegradationController(Bounds bounds, std::uint64_t seed);

  // --- Observations. `targetFraction`: the time since the transaction was opened over its latency target.
  void recordAnswer(Instant now, GroupId group, std::size_t type, double targetFraction);
  // It was rejected or rolled back.
  void recordAbandoned(Instant now, GroupId group, std::size_t type, double targetFraction);
  // The used fraction of this router's own limits (open transactions, buffered bytes), the fullest of them.
  void setOwnUtilization(double utilization) { ownUtilization_ = utilization; }
  // The process was held up: the current measurements show its own delay, and are dropped.
  void onProcessStalled(Instant now);
  // Replaces the bounds, after a reload of the configuration.
  void setBounds(Bounds bounds) { bounds_ = bounds; }

  // Decides anew, and returns the changes since the last call.
  std::vector<Change> decide(Instant now);
  // When decide() is due; never: after the next observation.
  Instant nextDue() const { return nextDue_; }

  // Transactions of one class since the start.
  struct Counts {
    std::uint64_t answered = 0;
    std::uint64_t abandoned = 0;  // after they had waited
    std::uint64_t rejected = 0;   // on arrival
  };
  struct GroupState {
    Level level = 0;
    double trialFraction = 0;  // this fraction of transactions is judged by the level below
    Cause cause = Cause::none;
    Instant since;
    double standingWait = 0;
    std::vector<Counts> countsByClass;  // as far as any was seen
  };
  // Full service for a group that is not known.
  GroupState stateOf(GroupId group) const;
  const std::map<GroupId, GroupState>& states() const { return states_; }
  void forget(GroupId group);

 private:
  struct Group {
    Level level = 0;
    bool isInTrial = false;
    Cause cause = Cause::none;
    Instant since, calmSince, trialSince;
    // The interval that is being measured.
    Instant intervalStartedAt;    // never: no sample yet
    Samples waits;                // as fractions of the latency target
    std::size_t abandoned = 0;    // of the samples
    double standingWait = 0;      // of the last interval
    std::deque<Instant> changes;  // of the last minute
    double holdFactor = 1;        // on the time for which a level is held
    std::vector<Counts> countsByClass;

    void startNewInterval();
    void addSample(Instant now, double wait);
    void leaveTrial();
  };
  static Counts& countsOf(Group& group, std::size_t type);
  Group& findOrAddGroup(GroupId id);
  // Each returns the change of the group's level, if any.
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
