// Concurrency limits of nodes: how many transactions may be in flight to a node, and how many are.
#pragma once

#include <deque>

#include "routing/latency_statistics.h"
#include "routing/routing_state.h"

namespace gulltrestle::routing {

// The fraction of the shortest latency target that a transaction may spend at a node. About a third, because
// all transaction classes share one queue there.
constexpr double kNodeTimeFraction = 0.35;

// Derives concurrency limits from the measured response rates of nodes or, where many routers share the
// nodes, from the load that nodes report.
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(const RoutingState& state, const LatencyStatistics& latencies)
      : state_(state), latencies_(latencies) {}

  // Records the node's own count of transactions in flight. Ignores a load report that lacks the position or
  // the count.
  void recordLoadReport(NodeState& node, const LoadReport& report);

  // Records that the node committed the attempt.
  void recordAnswer(NodeState& node, const InFlightAttempt& attempt) const;

  // Whether any node has ever reported its load.
  bool hasLoadReports() const { return !reportedLoads_.empty(); }

  // Number of transactions in flight to the node: the count of this router or the load that nodes report,
  // whichever is higher.
  double load(const NodeState& node) const;

  // Whether this router has reached its limit of transactions in flight to the node. `stretch` is the factor
  // by which a transaction may stay at the node for longer than usual.
  bool isAtLimit(const NodeState& node, double stretch) const;

  // How many transactions this router may have in flight to the node; at least 1 for a stretch of 1.
  double inFlightLimit(const NodeState& node, double stretch) const;

  // Whether the load that the node reports, caused by all routers together, is higher than that of other
  // nodes.
  bool isOverloaded(const NodeState& node) const;

 private:
  double ownInFlight(const NodeState& node) const;
  Duration targetTimeAtNode() const;

  const RoutingState& state_;
  const LatencyStatistics& latencies_;
  std::deque<double> reportAges_;  // replication lag in the last load reports, in seconds
  Samples reportedLoads_;          // transactions in flight in the last load reports
};

}  // namespace gulltrestle::routing
