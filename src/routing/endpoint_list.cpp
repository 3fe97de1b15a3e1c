#include "routing/endpoint_list.h"

#include <algorithm>
#include <set>

namespace gulltrestle::routing {

void EndpointList::apply(EndpointUpdateKind kind, const std::vector<EndpointEntry>& entries) {
  if (kind != EndpointUpdateKind::delta)
    for (auto& [id, node] : state_.nodes) node.endpoint.health = Health::removed;
  for (const EndpointEntry& entry : entries) applyEntry(entry);
  deleteDeparted();
}

void EndpointList::applyEntry(const EndpointEntry& entry) {
  auto [found, isNew] = state_.nodes.try_emplace(entry.node);
  NodeState& node = found->second;
  const bool hasRestarted = entry.startedAt > node.endpoint.startedAt;
  const Instant startedAt = std::max(entry.startedAt, node.endpoint.startedAt);
  if (isNew || entry.health != Health::removed) node.lastListedAt = state_.now;
  node.endpoint = entry;
  node.endpoint.startedAt = startedAt;
  node.wasListedDraining = entry.health == Health::draining || (node.wasListedDraining && !hasRestarted);
  latencies_.addKind(entry.kind);
  state_.changedGroups.insert(entry.group);
  std::vector<NodeState*>& nodes = state_.groups[entry.group].nodes;
  if (isNew)
    nodes.insert(std::find_if(nodes.begin(), nodes.end(),
                              [&](const NodeState* other) { return other->endpoint.node > entry.node; }),
                 &node);
  if (isNew || !hasRestarted) return;
  // The node restarts with cold caches, and counts as a replica until it reports another role.
  node.lastOutcomes.clear();
  node.latencyRatios.clear();
  node.appliedPosition = Instant();
  node.lastKnownReplicaAt = std::max(node.lastKnownReplicaAt, startedAt);
}

// Whether the node has been neither listed nor responding for a minute and has no attempt in flight.
// Trade-off: a node that returns later after draining is treated as new.
bool EndpointList::hasDeparted(const NodeState& node) const {
  return node.endpoint.health == Health::removed &&
         state_.now - std::max(node.lastListedAt, node.lastResponseAt) > kRetentionTime &&
         node.inFlightAttempts.empty();
}

void EndpointList::removeReferences(const NodeState& node) {
  for (auto& [id, transaction] : state_.pending) {
    std::erase(transaction.attemptedNodes, &node);
    if (transaction.erringNode == &node) transaction.erringNode = nullptr;
  }
  std::erase(state_.groupOf(node.endpoint.group).nodes, &node);
}

// Prevents memory from growing with every node that was ever listed.
void EndpointList::deleteDeparted() {
  std::erase_if(state_.nodes, [&](const auto& entry) {
    const auto& [id, node] = entry;
    if (!hasDeparted(node)) return false;
    removeReferences(node);
    state_.sink->forgetNode(id);
    return true;
  });
  std::erase_if(state_.groups, [](const auto& group) { return group.second.nodes.empty(); });
  std::set<KindId> kinds;
  for (const auto& [id, node] : state_.nodes) kinds.insert(node.endpoint.kind);
  latencies_.retainKinds(kinds);
}

}  // namespace gulltrestle::routing
