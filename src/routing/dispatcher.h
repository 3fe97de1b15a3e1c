// Makes the decisions of a round: what happens to each pending transaction, and when the next round is due.
//
//   state of a pending transaction                | decision in a round
//   can yield no value any more, or is shed       | abandoned: rejected or rolled back
//   has no attempt in flight                      | sent to the selected node, else stays queued
//   its only attempt exceeded the silence timeout | hedged where that is allowed
//   has an attempt in flight                      | waits for the end of the attempt
//   its answer is streaming                       | waits for the end of the attempt
#pragma once

#include <vector>

#include "routing/health_tracking.h"
#include "routing/latency_statistics.h"
#include "routing/load_shedding.h"
#include "routing/read_consistency.h"
#include "routing/replica_selection.h"
#include "routing/retry_policy.h"
#include "routing/routing_state.h"
#include "routing/selection_validity.h"
#include "routing/slow_start.h"

namespace gulltrestle::routing {

// The modules that the decisions of a round depend on.
struct DispatchPolicies {
  const LatencyStatistics& latencies;
  SlowStart& slowStart;
  HealthTracker& health;
  const ReadConsistency& consistency;
  const SelectionValidity& validity;
  RetryPolicy& retries;
  ReplicaSelector& selector;
  LoadShedding& shedding;
};

// Applies the policies to all pending transactions and passes the decisions to the sink.
class Dispatcher {
 public:
  Dispatcher(RoutingState& state, DispatchPolicies policies) : state_(state), policies_(policies) {}

  // Must be called first in each round. Returns whether the round starts long after its requested time.
  bool startRound();

  // Must be called last in each round: decides on all pending transactions and requests the next round.
  void decide();

  // Cancels the transaction's attempts in flight, if cancellation is allowed and the transaction is
  // idempotent. The transaction stays pending.
  void cancelAttempts(const PendingTransaction& transaction);

 private:
  struct RankedTransaction {
    double priority;
    PendingTransaction* transaction;
  };

  std::vector<RankedTransaction> rankPending();
  void decideOn(PendingTransaction& transaction);
  Instant lastDecisionAt(const PendingTransaction& transaction) const;
  bool isHedgeDue(const PendingTransaction& transaction);
  void send(PendingTransaction& transaction, NodeState& node);
  void keepQueued(const PendingTransaction& transaction);
  void abandon(const PendingTransaction& transaction);
  void scheduleRoundBy(Instant time);
  void requestNextRound();

  RoutingState& state_;
  DispatchPolicies policies_;
  Instant requestedWakeAt_;  // time of the last requested round; never: none is requested
  Instant nextRoundAt_;      // in decide(): the earliest time at which a pending transaction needs a round
};

}  // namespace gulltrestle::routing
