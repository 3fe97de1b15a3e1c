// Nodes that nothing new may go to, whatever the endpoint lists say, as the execution gate knows of them.
// Stores the entry of each node in the last lists, so that a node counts as it is listed once its exclusion
// ends. Used by the transaction table where there is an execution gate. No I/O, no clock.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "transactions/endpoint_registry.h"

namespace gulltrestle::transactions {

// One per transaction table, which is its only caller.
class EndpointExclusions {
 public:
  // Stores a list, and changes the live entries of excluded nodes in it to draining.
  void applyTo(EndpointUpdateKind kind, std::vector<ResolvedEndpoint>& list);

  // The next three return the entries that differ since, for a delta.

  // Replaces the exclusions: of `current` at once, of `upcoming` from `startsAt` on. Never: at once, too.
  [[nodiscard]] std::vector<ResolvedEndpoint> exclude(std::set<NodeId> current, std::set<NodeId> upcoming,
                                                      Instant startsAt, Instant now);
  // Starts the upcoming exclusions once they are due.
  [[nodiscard]] std::vector<ResolvedEndpoint> advanceTo(Instant now);
  // Stores the live nodes among these as draining.
  [[nodiscard]] std::vector<ResolvedEndpoint> markDraining(const std::vector<NodeId>& nodes);

  bool isExcluded(const NodeId& node) const { return excludedNodes_.contains(node); }
  // By node, the entries of the last lists.
  const std::map<NodeId, ResolvedEndpoint>& lastEndpointList() const { return lastEndpointList_; }

 private:
  void startUpcoming();
  std::vector<ResolvedEndpoint> changedSince(const std::set<NodeId>& excludedBefore) const;

  std::map<NodeId, ResolvedEndpoint> lastEndpointList_;
  std::set<NodeId> excludedNodes_, upcomingNodes_;
  Instant upcomingStartsAt_;  // never: none are upcoming
};

}  // namespace gulltrestle::transactions
