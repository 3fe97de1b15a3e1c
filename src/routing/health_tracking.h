// Failure detector for nodes: determines from the outcomes of attempts which nodes may receive transactions,
// and sends the health checks of this router. error_attribution.h decides whether an error counts against the
// node.
//
//   state of a node | condition                                          | receives
//   healthy         | responded recently, half of last outcomes answered | all transactions
//   unresponsive    | attempts are in flight, but it doesn't respond     | a trial with an idempotent read
//   outlier         | most of its last outcomes are failures             | a trial with any transaction
#pragma once

#include "routing/latency_statistics.h"
#include "routing/routing_state.h"

namespace gulltrestle::routing {

// Evaluates the attempts recorded in NodeState; has no state of its own.
class HealthTracker {
 public:
  HealthTracker(RoutingState& state, const LatencyStatistics& latencies)
      : state_(state), latencies_(latencies) {}

  // Records the outcome of an attempt at the node. Errors are evaluated by ErrorAttribution.
  void recordOutcome(NodeState& node, const EndedAttempt& attempt);

  // Whether the node has attempts in flight and has not responded for longer than the silence timeout.
  bool isUnresponsive(const NodeState& node) const;

  // Whether the node is responsive and is not an outlier.
  bool isHealthy(const NodeState& node) const;

  // Whether the node is healthy, or a trial with a transaction of the class is due.
  bool mayReceive(const NodeState& node, const TransactionClass& type) const;

  // Sends a health check, unless health checks are not allowed, one is in flight, or the node is draining.
  void sendHealthCheck(NodeState& node);

  // Whether the node may be queried (again) for its role during a search for the primary.
  bool isSearchDue(const NodeState& node) const;

  // Sends health checks to the replicas that most probably have the position that queued reads require, at a
  // bounded rate for the group.
  void checkPositions(GroupState& group, const NodeState* primary);

 private:
  RoutingState& state_;
  const LatencyStatistics& latencies_;
};

}  // namespace gulltrestle::routing
