#include "recovery/drain_registry.h"

#include <algorithm>
#include <set>

namespace gulltrestle::recovery {

// Live nodes are stored with their version as well, so that an older update that reports one as draining is
// ignored.
bool DrainRegistry::apply(const DrainUpdate& update) {
  const auto found = nodes_.find(update.node);
  bool wasDraining = false;
  if (found != nodes_.end()) {
    const Node& known = found->second;
    wasDraining = known.isDraining;
    if (update.version < known.version) return false;
    // If two lists of the same version disagree, draining takes precedence: an idle node is preferable to a
    // transaction on a draining node.
    if (update.version == known.version && (known.isDraining || !update.isDraining)) return false;
  }
  nodes_[update.node] = {.version = update.version, .isDraining = update.isDraining};
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
  // A restored list was stored before this start: other routers have already received it, and its age is
  // unknown.
  if (kind == EndpointUpdateKind::restored) return updates;
  newest_ = std::max(newest_, version);
  for (EndpointEntry* entry : entries) {
    const DrainUpdate update{
        .node = entry->node, .version = version, .isDraining = entry->health != Health::live};
    if (apply(update)) updates.push_back(update);
    if (!update.isDraining && isDraining(entry->node)) entry->health = Health::draining;
  }
  if (kind != EndpointUpdateKind::snapshot) return updates;
  for (const NodeId& node : unlistedNodes(version, entries)) {
    const DrainUpdate update{.node = node, .version = version, .isDraining = true};
    if (apply(update)) updates.push_back(update);
  }
  return updates;
}

std::vector<NodeId> DrainRegistry::unlistedNodes(ListVersion version,
                                                 const std::vector<EndpointEntry*>& entries) const {
  std::set<NodeId> listed;
  for (const EndpointEntry* entry : entries) listed.insert(entry->node);
  std::vector<NodeId> unlisted;
  for (const auto& [id, node] : nodes_)
    if (!node.isDraining && node.version < version && !listed.contains(id)) unlisted.push_back(id);
  return unlisted;
}

bool DrainRegistry::applyUpdate(const DrainUpdate& update) {
  newest_ = std::max(newest_, update.version);
  return apply(update);
}

std::vector<DrainUpdate> DrainRegistry::all() const {
  std::vector<DrainUpdate> updates;
  for (const auto& [id, node] : nodes_)
    updates.push_back({.node = id, .version = node.version, .isDraining = node.isDraining});
  return updates;
}

bool DrainRegistry::isDraining(const NodeId& node) const {
  const auto found = nodes_.find(node);
  return found != nodes_.end() && found->second.isDraining;
}

}  // namespace gulltrestle::recovery
