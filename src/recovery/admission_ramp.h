// Slow start of a router: limits the rate of admitted transactions after a start, until the capacity of the
// fleet is known. All routers and nodes may have started at the same time, with cold caches and every client
// retrying. The ramp exchanges no messages: each router knows the number of routers. No I/O, no clock.
//
//   state     admission rate                                   next state
//   doubling  doubles every second                             steady: too many of the most recent forwarded
//                                                              transactions were late
//   steady    grows by a quarter every second, and shrinks     finished: no rejection during the quiet time,
//             by a third while most transactions are late      or the maximum duration has passed
//   finished  unlimited, until the next start
//
// Prevents a metastable failure in which retries keep cold nodes overloaded after a power outage. A
// transaction that was never forwarded carries no information about the nodes and is not counted. Trade-off:
// where transactions are late for other reasons, fewer are admitted until the maximum duration has passed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string_view>

#include "base/time.h"

namespace gulltrestle::recovery {

// Initial admission rate in transactions per second per node, summed over all routers: low enough for a cold
// node. In the simulated retry storm twice this rate overloaded nodes, and half of it took longer to recover.
inline constexpr double kInitialRatePerNode = 8;

// Configuration of the admission ramp.
struct AdmissionRampConfig {
  unsigned routers = 1;                             // number of routers that may start at the same time
  double initialRatePerNode = kInitialRatePerNode;  // transactions per second per node, over all routers
  Duration maxRetryAfter;
  std::uint64_t seed = 0;  // for the jitter of retry-after times, which differs between routers
};

// The outcome of an admitted transaction.
struct AdmittedOutcome {
  bool isForwarded = false;  // whether it was sent to a node
  bool isInTime = false;     // committed within its latency objective
};

// The admission ramp of one router. cluster/recovery_service.h applies it to transactions that the group's
// recovery stage admits.
class AdmissionRamp {
 public:
  enum class State { doubling, steady, finished };

  AdmissionRamp(Instant now, const AdmissionRampConfig& config);

  // Sets the number of nodes in the endpoint list, over all groups.
  void setNodeCount(std::size_t nodes);
  // Finishes the ramp at once. Called when other routers report normal service, so that this router is the
  // only one that starts.
  void skip() { finish(); }

  // Returns nullopt if the transaction is admitted, and otherwise the time after which its client may retry.
  std::optional<Duration> retryAfterIfRejected(Instant now);
  // Records the outcome of an admitted transaction.
  void onTransactionEnded(Instant now, const AdmittedOutcome& outcome);

  State state() const { return state_; }
  double rate() const { return rate_; }  // transactions per second
  std::uint64_t rejected() const { return rejected_; }
  Instant startedAt() const { return startedAt_; }

 private:
  void finish();
  // Lower bound on the rate in transactions per second: this router's share of the initial rate.
  double minRate() const;
  // Adjusts the rate once per second by the fraction of recent transactions that were in time.
  void adjustRate(Instant now);
  // Token bucket with a capacity of one second's worth of tokens. Returns whether a token was available.
  bool takeToken(Instant now);
  Duration drawRetryAfter();

  State state_ = State::doubling;
  unsigned routers_;
  double initialRatePerNode_;
  Duration maxMeanRetryAfter_;
  std::mt19937_64 random_;
  Instant startedAt_, lastRejected_, adjustedAt_, filledAt_;
  std::size_t nodes_ = 0;
  double rate_ = 0;                       // transactions per second
  double tokens_ = 1;                     // transactions
  std::deque<bool> recentlyInTime_;       // for each recent forwarded transaction, whether it was in time
  std::deque<Instant> recentRejections_;  // times of the most recent rejections
  std::uint64_t rejected_ = 0;
};

// The name of the state in status documents and logs.
std::string_view nameOf(AdmissionRamp::State state);

}  // namespace gulltrestle::recovery
