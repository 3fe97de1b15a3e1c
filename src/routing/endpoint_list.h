// Applies endpoint updates to the nodes and groups of the shared routing state.
#pragma once

#include <vector>

#include "routing/latency_statistics.h"
#include "routing/routing_state.h"

namespace gulltrestle::routing {

// Adds and removes nodes and groups. The only writer of RoutingState::nodes and RoutingState::groups as
// containers.
class EndpointList {
 public:
  EndpointList(RoutingState& state, LatencyStatistics& latencies) : state_(state), latencies_(latencies) {}

  // Applies an endpoint update; any kind but a delta marks all nodes that it doesn't name as removed. Then
  // deletes the nodes that departed long ago and reports them to the sink.
  void apply(EndpointUpdateKind kind, const std::vector<EndpointEntry>& entries);

 private:
  void applyEntry(const EndpointEntry& entry);
  void deleteDeparted();
  bool hasDeparted(const NodeState& node) const;
  void removeReferences(const NodeState& node);

  RoutingState& state_;
  LatencyStatistics& latencies_;
};

}  // namespace gulltrestle::routing
