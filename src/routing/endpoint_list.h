// Keeps the shared state's nodes and groups to what endpoint lists say.
#pragma once

#include <vector>

#include "routing/latency_statistics.h"
#include "routing/routing_state.h"

namespace gulltrestle::routing {

// The only writer of RoutingState::nodes and RoutingState::groups as containers.
class EndpointList {
 public:
  EndpointList(RoutingState& state, LatencyStatistics& latencies) : state_(state), latencies_(latencies) {}

  // Takes a list: one that isn't a delta removes all nodes that it doesn't name. Then forgets nodes that left
  // long ago, which the sink is told of.
  void apply(EndpointUpdateKind kind, const std::vector<EndpointEntry>& entries);

 private:
  void applyEntry(const EndpointEntry& entry);
  void forgetDeparted();
  bool hasDeparted(const NodeState& node) const;
  void removeReferences(const NodeState& node);

  RoutingState& state_;
  LatencyStatistics& latencies_;
};

}  // namespace gulltrestle::routing
