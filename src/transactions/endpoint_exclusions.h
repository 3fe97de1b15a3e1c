// Nodes that must not get new attempts regardless of the endpoint lists, as reported by the execution gate.
// Stores each node's entry of the last lists, so that the listed health applies again once the node's
// exclusion ends. Used by the transaction table if there is an execution gate. No I/O, no clock.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "transactions/endpoint_registry.h"

namespace gulltrestle::transactions {

// One per transaction table, which is its only caller.
class EndpointExclusions {
 public:
  // Stores an endpoint list, and changes the entries of excluded nodes in it from live to draining.
  void applyTo(EndpointUpdateKind kind, std::vector<ResolvedEndpoint>& list);

  // The next three functions return the entries that changed, to be applied as a delta.

  // Replaces the exclusions: `current` are excluded at once, `upcoming` from `startsAt` on. If `startsAt` is
  // Instant(), the latter are excluded at once, too.
  [[nodiscard]] std::vector<ResolvedEndpoint> exclude(std::set<NodeId> current, std::set<NodeId> upcoming,
                                                      Instant startsAt, Instant now);
  // Starts the upcoming exclusions if they are due.
  [[nodiscard]] std::vector<ResolvedEndpoint> advanceTo(Instant now);
  // Changes the stored entries of these nodes from live to draining.
  [[nodiscard]] std::vector<ResolvedEndpoint> markDraining(const std::vector<NodeId>& nodes);

  bool isExcluded(const NodeId& node) const { return excludedNodes_.contains(node); }
  // The entries of the last endpoint lists, by node.
  const std::map<NodeId, ResolvedEndpoint>& lastEndpointList() const { return lastEndpointList_; }

 private:
  void startUpcoming();
  std::vector<ResolvedEndpoint> changedSince(const std::set<NodeId>& excludedBefore) const;

  std::map<NodeId, ResolvedEndpoint> lastEndpointList_;
  std::set<NodeId> excludedNodes_, upcomingNodes_;
  Instant upcomingStartsAt_;  // Instant() if none are upcoming
};

}  // namespace gulltrestle::transactions
