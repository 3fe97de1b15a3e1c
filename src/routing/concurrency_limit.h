// How much may be in flight to a node at a time, and how much is.
#pragma once

#include <deque>

#include "routing/latency_statistics.h"
#include "routing/routing_state.h"

namespace gulltrestle::routing {

// The fraction of the shortest latency target that a transaction may spend at a node: about a third, as all
// classes wait there in one queue.
constexpr double kNodeTimeFraction = 0.35;

// Limits by measured rates of answers; where many routers share the nodes, by the load that nodes report.
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(const RoutingState& state, const LatencyStatistics& latencies)
      : state_(state), latencies_(latencies) {}

  // Takes a node's own count of what it has in flight; a report without a position or a count is passed over.
  void recordLoadReport(NodeState& node, const LoadReport& report);

  // The node committed the attempt.
  void recordAnswer(NodeState& node, const InFlightAttempt& attempt) const;

  // Whether any node ever reported its load.
  bool hasLoadReports() const { return !reportedLoads_.empty(); }

  // Transactions in flight to the node: those of this router or, where it is more, what nodes report.
  double load(const NodeState& node) const;

  // Whether this router has as much in flight to the node as it may. `stretch`: how many times longer than
  // usual a transaction may stay there.
  bool isAtLimit(const NodeState& node, double stretch) const;

  // How many transactions this router may have in flight to the node; 1 or more for a stretch of 1.
  double inFlightLimit(const NodeState& node, double stretch) const;

  // Whether all routers together keep the node busier than others, by its own report.
  bool isOverloaded(const NodeState& node) const;

 private:
  double ownInFlight(const NodeState& node) const;
  Duration targetTimeAtNode() const;

  const RoutingState& state_;
  const LatencyStatistics& latencies_;
  std::deque<double> reportAges_;  // how far the last reports' positions were behind, in seconds
  Samples reportedLoads_;          // the last counts that nodes reported
};

}  // namespace gulltrestle::routing
