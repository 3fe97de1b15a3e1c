// Latency statistics of recent attempts by transaction class, machine kind, node and group.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "routing/routing_state.h"

namespace gulltrestle::routing {

// Computes statistics on request from the samples of the last attempts. All of them depend on the time of the
// round.
class LatencyStatistics {
 public:
  explicit LatencyStatistics(RoutingState& state);

  // Must be called first in each round, as the cached medians depend on the time.
  void startRound();

  // Records an attempt that was answered, or that ended unanswered after much longer than the usual latency.
  void recordLatency(std::size_t transactionClass, Duration latency);
  // Records that the node answered an attempt. Must be called after recordLatency().
  void recordAnswer(NodeState& node, std::size_t transactionClass, Duration latency);
  // Records an attempt that the node answered or rejected; a rejection counts as the whole latency target.
  void recordPressure(const NodeState& node, double latencyTargetFraction);

  // The median of the last latencies of the class; their lower quartile if they are outdated; a fifth of the
  // latency target before the first sample.
  Duration usualLatency(std::size_t transactionClass) const;

  // How long an attempt may be in flight without an answer before the node counts as unresponsive.
  Duration silenceTimeout(std::size_t transactionClass) const;

  // The probability that an attempt sent now is answered within `available`.
  double probabilityWithin(std::size_t transactionClass, Duration available) const;

  // The latency of the node as a multiple of the usual latency.
  double smoothedLatencyRatio(const NodeState& node) const;

  // The median of the last latencies of a group's replicas or primary, as a fraction of the latency target. 0
  // if there are too few samples, if they are outdated, or if the router measures load by its own attempts.
  double latencyPressure(const Samples& fractions) const;

  // The last latencies of all transaction classes, in seconds.
  const Samples& allLatencies() const { return allLatencies_; }

  // Adds a machine kind from the endpoint list.
  void addKind(const KindId& kind) { ratiosByKind_.try_emplace(kind); }
  // Deletes the statistics of all other machine kinds.
  void retainKinds(const std::set<KindId>& kinds);

 private:
  RoutingState& state_;
  std::vector<Samples> latencies_;              // one per transaction class, over all nodes, in seconds
  mutable std::vector<Duration> usualLatency_;  // one per class; zero: not yet computed in this round
  Samples allLatencies_;
  std::map<KindId, Samples> ratiosByKind_;
};

}  // namespace gulltrestle::routing
