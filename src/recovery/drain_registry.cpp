#include "recovery/drain_registry.h"

#include <algorithm>
#include <set>

namespace gulltrestle::recovery {

// A live node is remembered with its version, too: updates on its draining that are older mean nothing.
bool DrainRegistry::apply(const DrainUpdate& update) {
  const auto found = nodes_.find(update.node);
  bool wasDraining = false;
  if (found != nodes_.end()) {
    const Node& known = found->second;
    wasDraining = known.isDraining;
    if (update.version < known.version) return false;
    // Of two lists of one version, the one that lets it drain counts: a txn less is better than one too many.
    if (update.version == known.version && (known.isDraining || !update.isDraining)) return false;
  }
  nodes_[update.node] = {update.version, update.isDraining};
  if (nodes_.size() > maxNodes_) forgetOldest();
  return wasDraining != update.isDraining;
}

void DrainRegistry::forgetOldest() {
  const auto oldest = std::min_element(nodes_.begin(), nodes_.end(), [](const auto& one, const auto& other) {
    return one.second.version < other.second.version;
  });
  forgotten_.push_back(oldest->first);
  nodes_.erase(oldest);
}

std::vector<DrainUpdate> DrainRegistry::applyList(EndpointUpdateKind kind, ListVersion version,
                                                  std::vector<EndpointEntry*>& entries) {
  std::vector<DrainUpdate> updates;
  // One that was restored was stored before the start: others know of it, and it may be of any age.
  if (kind == EndpointUpdateKind::restored) return updates;
  newest_ = std::max(newest_, version);
  for (EndpointEntry* entry : entries) {
    const DrainUpdate update{entry->node, version, entry->health != Health::live};
    if (apply(update)) updates.push_back(update);
    if (!update.isDraining && isDraining(entry->node)) entry->health = Health::draining;
  }
  if (kind != EndpointUpdateKind::snapshot) return updates;
  for (const NodeId& node : leftOut(version, entries)) {
    const DrainUpdate update{node, version, true};
    if (apply(update)) updates.push_back(update);
  }
  return updates;
}

std::vector<NodeId> DrainRegistry::leftOut(ListVersion version,
                                           const std::vector<EndpointEntry*>& entries) const {
  std::set<NodeId> named;
  for (const EndpointEntry* entry : entries) named.insert(entry->node);
  std::vector<NodeId> gone;
  for (const auto& [id, node] : nodes_)
    if (!node.isDraining && node.version < version && !named.contains(id)) gone.push_back(id);
  return gone;
}

bool DrainRegistry::learn(const DrainUpdate& update) {
  newest_ = std::max(newest_, update.version);
  return apply(update);
}

std::vector<DrainUpdate> DrainRegistry::all() const {
  std::vector<DrainUpdate> updates;
  for (const auto& [id, node] : nodes_) updates.push_back({id, node.version, node.isDraining});
  return updates;
}

bool DrainRegistry::isDraining(const NodeId& node) const {
  const auto found = nodes_.find(node);
  return found != nodes_.end() && found->second.isDraining;
}

}  // namespace gulltrestle::recovery
