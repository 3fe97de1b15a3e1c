// Slow start: a node that has just started receives less than its share of transactions until its caches are
// warm.
#pragma once

#include "routing/latency_statistics.h"
#include "routing/routing_state.h"

namespace gulltrestle::routing {

// Limits the rate of transactions to each node in slow start, relative to the rate of arrivals at this
// router.
class SlowStart {
 public:
  SlowStart(RoutingState& state, const LatencyStatistics& latencies) : state_(state), latencies_(latencies) {}

  // Records the arrival of a transaction. The arrival rate determines the share of a node.
  void recordArrival(std::size_t transactionClass);

  // The fraction of its capacity that the node has; 1 after slow start.
  double warmUpFraction(const NodeState& node) const;

  // Whether the node may receive a transaction of the class now. Draws a random fraction of the first pause
  // after a start.
  bool hasCapacity(NodeState& node, std::size_t transactionClass);

  // Records that the node is sent a transaction: sets the earliest time of the next one during slow start.
  void recordSent(NodeState& node, std::size_t transactionClass);

 private:
  Duration pauseBetweenSends(const NodeState& node, std::size_t transactionClass) const;

  RoutingState& state_;
  const LatencyStatistics& latencies_;
  Samples arrivals_;  // the last transactions received, with their usual latency in seconds
};

}  // namespace gulltrestle::routing
