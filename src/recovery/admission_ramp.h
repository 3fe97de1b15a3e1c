// Slow start of a router: how many transactions a second it admits once it has started, until it has seen
// what the fleet can take. All routers and nodes may have started together, cold, with all clients retrying.
// It needs no messages: each router knows how many routers there are. No I/O, no clock.
//
//   state     rate of admission                                goes to
//   doubling  doubles each second                              steady: too many of the last forwarded
//                                                              transactions were late
//   steady    grows by a quarter each second, and falls by a   finished: none was rejected for the quiet
//             third while most of them are late                time, or the longest time has passed
//   finished  unlimited, until the next start
//
// Guards against a metastable failure: retries that keep cold nodes overloaded after the power is back. A
// transaction that was never forwarded says nothing about the nodes and does not count. The cost, where
// transactions are late for other reasons: fewer are admitted, until the longest time has passed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string_view>

#include "base/time.h"

namespace gulltrestle::recovery {

// Transactions a second and node, over all routers, that are admitted at first: few enough for a cold node.
// On the modelled storm twice as many overloaded nodes, and half as many took longer.
inline constexpr double kInitialRatePerNode = 8;

// From the settings.
struct AdmissionRampConfig {
  unsigned routers = 1;                             // that may start together
  double initialRatePerNode = kInitialRatePerNode;  // transactions a second and node, over all routers
  Duration maxRetryAfter;
  std::uint64_t seed = 0;  // of retry times, which differ from router to router
};

// How an admitted transaction ended.
struct AdmittedOutcome {
  bool isForwarded = false;  // to a node
  bool isInTime = false;     // committed within its latency objective
};

// One router's. Used by cluster/recovery_service.h for transactions that the group's stage admits.
class AdmissionRamp {
 public:
  enum class State { doubling, steady, finished };

  AdmissionRamp(Instant now, const AdmissionRampConfig& config);

  // Nodes that the endpoint list names, of all groups.
  void setNodeCount(std::size_t nodes);
  // Other routers report that service is as usual: this one starts alone.
  void skip() { finish(); }

  // None: the transaction is admitted. Else after what time its client may retry.
  std::optional<Duration> rejectsWithRetryAfter(Instant now);
  // A transaction that was admitted has ended.
  void onTransactionEnded(Instant now, const AdmittedOutcome& outcome);

  State state() const { return state_; }
  double rate() const { return rate_; }  // transactions a second
  std::uint64_t rejected() const { return rejected_; }
  Instant startedAt() const { return startedAt_; }

 private:
  void finish();
  // Transactions a second: this router's part of the initial rate, below which the rate does not fall.
  double minRate() const;
  // Once a second, by how many of the last transactions were in time.
  void adjustRate(Instant now);
  // A token bucket of one second's rate. True: a token was taken.
  bool takeToken(Instant now);
  Duration drawRetryAfter();

  State state_ = State::doubling;
  unsigned routers_;
  double initialRatePerNode_;
  Duration maxMeanRetryAfter_;
  std::mt19937_64 random_;
  Instant startedAt_, lastRejected_, adjustedAt_, filledAt_;
  std::size_t nodes_ = 0;
  double rate_ = 0;                       // transactions a second
  double tokens_ = 1;                     // transactions
  std::deque<bool> recentlyInTime_;       // of the last forwarded transactions: whether each was
  std::deque<Instant> recentRejections_;  // when the last were
  std::uint64_t rejected_ = 0;
};

// As status documents and logs have it.
std::string_view nameOf(AdmissionRamp::State state);

}  // namespace gulltrestle::recovery
