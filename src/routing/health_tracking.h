// Which nodes are fit to be sent to, by the outcomes of attempts, and the health checks that this router asks
// for. What an error of a transaction says of its node is worked out in error_attribution.h.
//
//   state of a node | when                                               | gets
//   healthy         | heard lately, half of its last outcomes answered   | all
//   unresponsive    | attempts are in flight and nothing is heard of it  | a trial with an idempotent read
//   outlier         | most of its last outcomes failed                   | a trial with any transaction
#pragma once

#include "routing/latency_statistics.h"
#include "routing/routing_state.h"

namespace gulltrestle::routing {

// Judges nodes by what NodeState holds of their attempts; has no state of its own.
class HealthTracker {
 public:
  HealthTracker(RoutingState& state, const LatencyStatistics& latencies)
      : state_(state), latencies_(latencies) {}

  // An attempt at the node ended; errors are judged by ErrorAttribution.
  void recordOutcome(NodeState& node, const EndedAttempt& attempt);

  // Whether attempts at the node have been without any answer for too long.
  bool isUnresponsive(const NodeState& node) const;

  // Whether the node answers and is no outlier.
  bool isHealthy(const NodeState& node) const;

  // Whether the node is healthy, or is due for a trial with a transaction of the class.
  bool mayReceive(const NodeState& node, const TransactionClass& type) const;

  // Sends a health check, unless that is not allowed, one is in flight, or the node is draining.
  void sendHealthCheck(NodeState& node);

  // Whether the node may be asked (again) if it is the primary, while that is looked for.
  bool isSearchDue(const NodeState& node) const;

  // Checks the replicas that are likeliest to have what held reads need, at a bounded rate for the group.
  void checkPositions(GroupState& group, const NodeState* primary);

 private:
  RoutingState& state_;
  const LatencyStatistics& latencies_;
};

}  // namespace gulltrestle::routing
