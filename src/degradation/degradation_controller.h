// How far service is reduced: the level of each group, from how long txns of it take. One value out of what
// is observed; what a level refuses is its table's (degradation/admission_table.h), who is refused is the
// module's. No I/O, no clock.
//
//   state     what it is                                   goes to
//   steady    the level has held                           raised: the standing wait is over the upper bound
//                                                          trial: it was under the lower bound for the calm
//                                                          time
//   trial     some of what the level refuses and the one   steady, one level down: still calm at its end
//             below would not is let in                    steady: the wait was over the lower bound again
//
// A level holds for its shortest stay after each change, goes one step at a time, and changes so often a
// minute at most; beyond that it stays where it is if that is the higher one.
#pragma once

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
constexpr Level kMostLevel = 4;

// How a level is entered and left. Waits are shares of the txns' latency targets.
struct Bounds {
  double up = 0.6, down = 0.3;
  Duration shortestStay = Duration::millis(5000);
  Duration calm = Duration::millis(4000);   // under the lower bound for so long before a trial
  Duration trial = Duration::millis(4000);  // and for so long in it
  unsigned mostChanges = 6;                 // a minute
  double trialShare = 0.25;                 // of what is refused, let in during a trial
  std::optional<Level> pinned;              // by an operator: no other level is taken
  Level cap = kMostLevel;                   // by an operator: none above it
};

enum class Cause { none, waits, limits, calm, pinned, capped };
std::string_view nameOf(Cause cause);

struct Change {
  GroupId group = 0;
  Level from = 0, to = 0;
  Cause cause = Cause::none;
  double wait = 0;       // the standing wait that it was decided by
  std::size_t txns = 0;  // over so many
};

class DegradationController {
 public:
  // `seed`: stays differ a little from router to router, so that they don't change together.
  DegradationController(Bounds bounds, std::uint64_t seed);

  // --- What is observed
  // A txn got its answer after this share of its latency target.
  void recordAnswer(Instant now, GroupId group, std::size_t type, double share);
  // A txn was given up after it had waited for this share.
  void recordAbandoned(Instant now, GroupId group, std::size_t type, double share);
  // The part of this router's own limits (open txns, bytes that are held) that is taken, the fullest of them.
  void setOwnUtilization(double part) { own_ = part; }
  // This router stood still: what it measured is its own delay.
  void onProcessStalled(Instant now);
  // New bounds, from a configuration that was read anew.
  void setBounds(Bounds bounds) { bounds_ = bounds; }

  // Decides anew; the changes since the last call.
  std::vector<Change> decide(Instant now);
  Instant nextDue() const { return nextDue_; }

  struct Counts {  // of one txn type, since the start
    std::uint64_t answered = 0, gaveUp = 0, refused = 0;
  };
  struct GroupState {
    Level level = 0;
    double trial = 0;  // this share of txns is judged by the level below
    Cause cause = Cause::none;
    Instant since;
    double wait = 0;
    std::vector<Counts> types;  // a row a txn type, as far as any was seen
  };
  // Full service for a group that is not known.
  GroupState stateOf(GroupId group) const;
  const std::map<GroupId, GroupState>& states() const { return shown_; }
  void forget(GroupId group);

 private:
  struct Group {
    Level level = 0;
    bool trial = false;
    Cause cause = Cause::none;
    Instant since, calmSince, trialSince, beganAt;
    Samples shares;               // of the interval that is going on
    std::size_t gaveUp = 0;       // in it
    double wait = 0;              // the last interval's
    std::deque<Instant> changes;  // of the last minute
    double stretch = 1;           // of the shortest stay
    std::vector<Counts> types;
  };
  static Counts& countsOf(Group& group, std::size_t type);
  Group& groupOf(GroupId id);
  bool decideOne(Instant now, GroupId id, Group& group, Change& change);
  void change(Instant now, GroupId id, Group& group, Level to, Cause cause, Change& out);

  Bounds bounds_;
  std::uint64_t seed_;
  double own_ = 0;
  std::map<GroupId, Group> groups_;
  std::map<GroupId, GroupState> shown_;
  Instant nextDue_;
};

}  // namespace gulltrestle::degradation
