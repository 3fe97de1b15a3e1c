// Slow start of a router: how many txns a second it admits once it has started, until it has seen what the
// fleet can take. All routers and nodes may have started together, cold, with all clients retrying. It needs
// no messages: each router knows how many there are. No I/O, no clock.
//
//   state     what it is                                       goes to
//   opening   the rate doubles each second                     steady: of the last forwarded txns, too many
//                                                              were late
//   steady    it grows by a quarter each second, and falls by  finished: nobody was rejected for the quiet
//             a third while most of them are late              time, or the longest time has passed
//   finished  all are admitted, until the next start
//
// Guards against a metastable state: retries that keep cold nodes overloaded after the power is back. What
// was never forwarded says nothing of the nodes, and does not count. The cost, where txns are late for
// reasons of their own: fewer are admitted, until the longest time has passed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string_view>

#include "base/time.h"

namespace gulltrestle::recovery {

// One router's. Used by cluster/recovery_service.h for txns that the group's stage admits.
class AdmissionRamp {
 public:
  enum class State { opening, steady, finished };

  // Txns a second and node, over all routers, that are admitted at first: few enough for a node that is cold.
  // On the modelled storm twice as many pushed nodes over, and half as many took longer.
  static constexpr double kInitialRatePerNode = 8;

  // `routers`: that may start together; `initialRatePerNode`: txns a second and node, over all of them;
  // `maxRetryAfter`: that clients may be told to wait. `seed`: retry times differ from router to router.
  AdmissionRamp(Instant now, unsigned routers, double initialRatePerNode, Duration maxRetryAfter,
                std::uint64_t seed);

  // Nodes that the list names, of all groups.
  void setNodeCount(std::size_t nodes);
  // Routers that are alive report that service is as usual: this one starts alone.
  void skip() { finish(); }

  // None: the txn is admitted. Else after what time its client may retry.
  std::optional<Duration> rejectsWithRetryAfter(Instant now);
  // One that was admitted has ended. `isForwarded`: to a node; `isInTime`: committed within its latency
  // objective.
  void onTransactionEnded(Instant now, bool isForwarded, bool isInTime);

  State state() const { return state_; }
  double rate() const { return rate_; }  // txns a second
  std::uint64_t rejected() const { return rejected_; }
  Instant startedAt() const { return startedAt_; }

 private:
  void finish();
  // Txns a second: this router's part of the initial rate, below which it does not fall.
  double minRate() const;
  // Once a second, by how many of the last txns were in time.
  void adjustRate(Instant now);
  // A token bucket of one second's rate. True: a token was taken.
  bool takeToken(Instant now);
  Duration drawRetryAfter();

  State state_ = State::opening;
  unsigned routers_;
  double initialRatePerNode_;
  Duration maxMeanRetryAfter_;
  std::mt19937_64 random_;
  Instant startedAt_, lastRejected_, adjustedAt_, filledAt_;
  std::size_t nodes_ = 0;
  double rate_ = 0, tokens_ = 1;          // txns a second; txns
  std::deque<bool> recentlyInTime_;       // of the last forwarded ones: whether they were
  std::deque<Instant> recentRejections_;  // when the last were
  std::uint64_t rejected_ = 0;
};

// As status documents and logs have it.
std::string_view nameOf(AdmissionRamp::State state);

}  // namespace gulltrestle::recovery
