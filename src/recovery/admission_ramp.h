// How many txns a second a router lets in once it has started, until it has seen what the fleet can take: all
// routers and nodes may have started together, cold, with all clients asking again and again. It needs no
// talk: each router knows how many there are. No I/O, no clock.
//
//   state     what it is                                       goes to
//   opening   the rate doubles each second                     steady: of the last txns sent on, too many
//                                                              were late
//   steady    it grows by a quarter each second, and falls by  over: nobody was rejected for the quiet
//             a third while most of them are late              time, or the longest time has passed
//   over      all are let in, until the next start
//
// Guards against a metastable state: repeats that keep cold nodes overloaded after the power is back. What
// was never sent on says nothing of the nodes, and counts for neither. May hurt where txns are late for
// reasons of their own: fewer are let in, until the longest time has passed.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string_view>

#include "base/time.h"

namespace gulltrestle::recovery {

class AdmissionRamp {
 public:
  enum class State { opening, steady, finished };

  // Txns a second and node, over all routers, that come in at first: few enough for a node that is cold. On
  // the modelled storm twice as many pushed nodes over, and half as many took longer.
  static constexpr double kInitialRatePerNode = 8;

  // `routers`: that may start together; `first`: txns a second and node; `longestBack`: that clients may be
  // told to stay away. `seed`: come-back times differ from router to router.
  AdmissionRamp(Instant now, unsigned routers, double first, Duration longestBack, std::uint64_t seed);

  // Nodes that the list names, of all groups.
  void setNodeCount(std::size_t nodes);
  // Those that live have told that service is as usual: this router starts alone.
  void skip() { end(); }

  // None: it may come in. Else when its client may come back.
  std::optional<Duration> rejectsWithRetryAfter(Instant now);
  // One that came in is over: `sent` on to a node, and committed within its latency target.
  void onTransactionEnded(Instant now, bool sent, bool inTime);

  State state() const { return state_; }
  double rate() const { return rate_; }  // txns a second
  std::uint64_t rejected() const { return rejected_; }
  Instant startedAt() const { return startedAt_; }

 private:
  void end();
  double least() const;
  void adjust(Instant now);
  Duration comeBack();

  State state_ = State::opening;
  unsigned routers_;
  double first_;
  Duration longestBack_;
  std::mt19937_64 chance_;
  Instant startedAt_, lastRejected_, adjustedAt_, filledAt_;
  std::size_t nodes_ = 0;
  double rate_ = 0, tokens_ = 1;
  std::deque<bool> last_;        // of those sent on: committed in time
  std::deque<Instant> refused_;  // the last
  std::uint64_t rejected_ = 0;
};

std::string_view nameOf(AdmissionRamp::State state);

}  // namespace gulltrestle::recovery
