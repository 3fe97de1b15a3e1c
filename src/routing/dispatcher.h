// The decisions of a round: what happens to each pending transaction, and when the next round is due.
//
//   a pending transaction                         | in a round
//   cannot earn anything any more, or is shed     | abandoned: rejected or rolled back
//   has no attempt in flight                      | sent to the selected node, else held
//   its only attempt has been silent for too long | hedged where that is allowed
//   has an attempt in flight                      | waits for its end
//   its answer is streaming                       | waits for its end
#pragma once

#include <vector>

#include "routing/health_tracking.h"
#include "routing/latency_statistics.h"
#include "routing/load_shedding.h"
#include "routing/read_consistency.h"
#include "routing/replica_selection.h"
#include "routing/retry_policy.h"
#include "routing/routing_state.h"
#include "routing/slow_start.h"

namespace gulltrestle::routing {

// The modules that a round's decisions are made by.
struct DispatchPolicies {
  const LatencyStatistics& latencies;
  SlowStart& slowStart;
  HealthTracker& health;
  const ReadConsistency& consistency;
  RetryPolicy& retries;
  ReplicaSelector& selector;
  LoadShedding& shedding;
};

// Applies the policies to all pending transactions and hands the decisions to the sink.
class Dispatcher {
 public:
  Dispatcher(RoutingState& state, DispatchPolicies policies) : state_(state), policies_(policies) {}

  // Called first in each round. Returns whether the round comes long after it was asked for.
  bool startRound();

  // Called last in each round: decides on all that is pending, and asks for the next round.
  void decide();

  // Cancels the attempts that are in flight, where that is allowed and harmless. The transaction stays
  // pending.
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
  void hold(const PendingTransaction& transaction);
  void abandon(const PendingTransaction& transaction);
  void needRoundBy(Instant time);
  void requestNextRound();

  RoutingState& state_;
  DispatchPolicies policies_;
  Instant requestedWakeAt_;  // the round last asked for; never: none is
  Instant nextRoundAt_;      // while deciding: the earliest time that any pending transaction needs
};

}  // namespace gulltrestle::routing
