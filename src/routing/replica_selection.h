// Selects the node that a transaction is sent to: a replica by weighted random choice, the primary, or a node
// that may be the primary.
#pragma once

#include <vector>

#include "routing/concurrency_limit.h"
#include "routing/health_tracking.h"
#include "routing/latency_statistics.h"
#include "routing/read_consistency.h"
#include "routing/routing_state.h"
#include "routing/slow_start.h"

namespace gulltrestle::routing {

// The modules whose evaluations of nodes the selection combines.
struct SelectionPolicies {
  const LatencyStatistics& latencies;
  const ConcurrencyLimit& concurrency;
  SlowStart& slowStart;
  HealthTracker& health;
  const ReadConsistency& consistency;
};

// Combines the evaluations of the other modules into the choice of a node. Sends health checks, but no
// attempts.
class ReplicaSelector {
 public:
  ReplicaSelector(RoutingState& state, SelectionPolicies policies) : state_(state), policies_(policies) {}

  // The node that was last known as primary or, if there is none, that is listed as primary. Ignores draining
  // nodes. Null if no node qualifies.
  NodeState* primaryOf(GroupId group) const;

  // The same for this transaction. For a read, null also if that node has rejected a write as a replica
  // since: its data may be old. Writes are still sent there, as a replica rejects them without executing
  // them.
  NodeState* primaryFor(const PendingTransaction& transaction) const;

  // Whether the transaction may be sent to the node now, regardless of the data it has applied. `stretch` is
  // the factor by which the transaction may stay at the node for longer than usual; a value below 1 reserves
  // capacity for other transactions. May draw a random fraction.
  bool isUsable(NodeState& node, const PendingTransaction& transaction, double stretch = 1) const;

  // The node that the transaction is to be sent to; null: the transaction stays queued. Draws random values
  // and may send health checks.
  NodeState* select(const PendingTransaction& transaction);

 private:
  struct Candidates {
    std::vector<NodeState*> nodes;
    std::vector<double> weights;  // one per node
  };
  // Whether a candidate must be known to have applied the required position, or may have applied it.
  enum class DataKnowledge { known, possible };

  bool hasCapacity(NodeState& node, const PendingTransaction& transaction, double stretch) const;
  bool isLongRead(const TransactionClass& type) const;
  Candidates candidatesFor(const PendingTransaction& transaction, const NodeState* primary,
                           DataKnowledge needed) const;
  void confineLongRead(const PendingTransaction& transaction, Candidates& candidates) const;
  NodeState* drawReplica(const PendingTransaction& transaction, const NodeState* primary,
                         DataKnowledge needed);
  NodeState* searchPrimary(const PendingTransaction& transaction, const NodeState* primary);
  double weightOf(const NodeState& node) const;

  RoutingState& state_;
  SelectionPolicies policies_;
};

}  // namespace gulltrestle::routing
