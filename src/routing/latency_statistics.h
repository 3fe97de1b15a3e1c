// What recent attempts tell of latencies: by transaction class, by kind of machine, by node and by group.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "routing/routing_state.h"

namespace gulltrestle::routing {

// Figures are worked out when asked for, from the samples of the last attempts; all depend on the round's
// time.
class LatencyStatistics {
 public:
  explicit LatencyStatistics(RoutingState& state);

  // Called first in each round, as the cached medians depend on the time.
  void startRound();

  // An attempt was answered, or ended unanswered after much longer than usual.
  void recordLatency(std::size_t transactionClass, Duration latency);
  // The node answered an attempt; after recordLatency().
  void recordAnswer(NodeState& node, std::size_t transactionClass, Duration latency);
  // An attempt at the node was answered or rejected; a rejection counts as the whole latency target.
  void recordPressure(const NodeState& node, double latencyTargetFraction);

  // The median of the class's last latencies; the lower quartile of outdated ones; before any, a fifth of its
  // latency target.
  Duration usualLatency(std::size_t transactionClass) const;

  // How long an attempt may be in flight before its silence counts against the node.
  Duration silenceTimeout(std::size_t transactionClass) const;

  // The probability that an attempt sent now is answered within `available`.
  double probabilityWithin(std::size_t transactionClass, Duration available) const;

  // The node's latency as a multiple of what is usual.
  double smoothedLatencyRatio(const NodeState& node) const;

  // The median of the last latencies of a group's replicas or its primary as a fraction of the latency
  // target; 0 where they are few or outdated, or where a router measures load by its own attempts.
  double latencyPressure(const Samples& fractions) const;

  // The last latencies of all classes together, in seconds.
  const Samples& allLatencies() const { return allLatencies_; }

  // A kind of machine was listed.
  void addKind(const KindId& kind) { ratiosByKind_.try_emplace(kind); }
  // No node of any other kind is left.
  void retainKinds(const std::set<KindId>& kinds);

 private:
  RoutingState& state_;
  std::vector<Samples> latencies_;              // a row a transaction class, over all nodes, in seconds
  mutable std::vector<Duration> usualLatency_;  // a row a class; zero: not worked out in this round
  Samples allLatencies_;
  std::map<KindId, Samples> ratiosByKind_;
};

}  // namespace gulltrestle::routing
