// Load shedding: abandons transactions early, so that the others are served. Decides by degradation level, by
// latency, and by the number of client connections that queued transactions take.
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

// The modules that load shedding depends on.
struct SheddingInputs {
  const LatencyStatistics& latencies;
  const ConcurrencyLimit& concurrency;
  const HealthTracker& health;
  const RetryPolicy& retries;
  const ReplicaSelector& selector;
};

// Decides only which transactions to shed; the caller ends them.
class LoadShedding {
 public:
  LoadShedding(RoutingState& state, SheddingInputs inputs) : state_(state), inputs_(inputs) {}

  // Must be called before the decisions of each round.
  void startRound() { queuedForPrimary_.clear(); }

  // Whether a new transaction is rejected. Must be called once per transaction; draws random fractions.
  bool isShed(const PendingTransaction& transaction);

  // Whether so many transactions are queued for a slow primary ahead of this one that an answer in time is
  // unlikely. Must be called in the order of sending, as each call adds its transaction to the queue ahead of
  // the next ones of the group.
  bool isQueueTooLong(const PendingTransaction& transaction);

  // The queued transactions to abandon because most client connections are in use, in the order of
  // abandonment.
  std::vector<TxnId> transactionsToEvict() const;

 private:
  bool isRejectedByLevel(const PendingTransaction& transaction);

  RoutingState& state_;
  SheddingInputs inputs_;
  std::map<GroupId, std::size_t> queuedForPrimary_;  // in this round, ahead of the next transaction
};

}  // namespace gulltrestle::routing
