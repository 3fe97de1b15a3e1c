// Slow start: a node that has just started gets less than its share until its caches are warm.
#pragma once

#include "routing/latency_statistics.h"
#include "routing/routing_state.h"

namespace gulltrestle::routing {

// Paces what each warming node gets by the rate of arrivals at this router.
class SlowStart {
 public:
  SlowStart(RoutingState& state, const LatencyStatistics& latencies) : state_(state), latencies_(latencies) {}

  // A transaction came in; the rate of these sets what a node's share is.
  void recordArrival(std::size_t transactionClass);

  // The fraction of its capacity that the node has: 1 once it is warm.
  double warmUpFraction(const NodeState& node) const;

  // Whether the node may get a transaction of the class now. Draws a fraction of the first pause after a
  // start.
  bool hasCapacity(NodeState& node, std::size_t transactionClass);

  // The node is sent a transaction: sets when it may get the next, while it warms up.
  void recordSent(NodeState& node, std::size_t transactionClass);

 private:
  Duration pauseBetweenSends(const NodeState& node, std::size_t transactionClass) const;

  RoutingState& state_;
  const LatencyStatistics& latencies_;
  Samples arrivals_;  // the last transactions taken, and the time they usually take in seconds
};

}  // namespace gulltrestle::routing
