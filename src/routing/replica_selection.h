// Which node a transaction goes to: a replica by weighted draw, the primary, or a node that may be the
// primary.
#pragma once

#include <vector>

#include "routing/concurrency_limit.h"
#include "routing/health_tracking.h"
#include "routing/latency_statistics.h"
#include "routing/read_consistency.h"
#include "routing/routing_state.h"
#include "routing/slow_start.h"

namespace gulltrestle::routing {

// The modules whose judgement of nodes the selection combines.
struct NodeJudgement {
  const LatencyStatistics& latencies;
  const ConcurrencyLimit& concurrency;
  SlowStart& slowStart;
  HealthTracker& health;
  const ReadConsistency& consistency;
};

// Combines the judgements of all other modules into one choice; sends nothing but health checks.
class ReplicaSelector {
 public:
  ReplicaSelector(RoutingState& state, NodeJudgement judgement) : state_(state), judge_(judgement) {}

  // The node last known to be primary, or else listed as primary, that isn't draining; null if there is none.
  NodeState* primaryOf(GroupId group) const;

  // Whether the node may get the transaction now, apart from the data it has. `stretch`: how many times
  // longer than usual the transaction may stay there; below 1 it leaves room for others. May draw a fraction.
  bool isUsable(NodeState& node, const PendingTransaction& transaction, double stretch = 1) const;

  // The node that the transaction is to be sent to; null: it is held for now. Draws, and may send health
  // checks.
  NodeState* select(const PendingTransaction& transaction);

 private:
  struct Candidates {
    std::vector<NodeState*> nodes;
    std::vector<double> weights;  // one a node
  };
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
  NodeJudgement judge_;
};

}  // namespace gulltrestle::routing
