// What is given up before its time, so that the rest is served: by levels of degradation, by latency, and by
// the connections that held transactions take.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "routing/concurrency_limit.h"
#include "routing/health_tracking.h"
#include "routing/latency_statistics.h"
#include "routing/replica_selection.h"
#include "routing/retry_policy.h"
#include "routing/routing_state.h"

namespace gulltrestle::routing {

// The modules that load shedding asks.
struct SheddingInputs {
  const LatencyStatistics& latencies;
  const ConcurrencyLimit& concurrency;
  const HealthTracker& health;
  const RetryPolicy& retries;
  const ReplicaSelector& selector;
};

// Decides only whom to give up; the caller ends these transactions.
class LoadShedding {
 public:
  LoadShedding(RoutingState& state, SheddingInputs inputs) : state_(state), inputs_(inputs) {}

  // Called first in each round's decisions.
  void startRound() { queuedForPrimary_.clear(); }

  // Whether a new transaction is not let in. Asked once for each; draws.
  bool isShed(const PendingTransaction& transaction);

  // Whether the transaction waits for a slow primary behind so many others that it would hardly be answered.
  // Asked in the order of sending, as each one asked about counts as ahead of the next ones of its group.
  bool isQueueTooLong(const PendingTransaction& transaction);

  // The held transactions to be given up as nearly all client connections are taken, in this order.
  std::vector<TxnId> transactionsToEvict() const;

 private:
  bool isRejectedByLevel(const PendingTransaction& transaction);

  RoutingState& state_;
  SheddingInputs inputs_;
  std::map<GroupId, std::size_t> queuedForPrimary_;  // in this round, to be sent before the next one
};

}  // namespace gulltrestle::routing
