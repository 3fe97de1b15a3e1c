#include "transactions/endpoint_registry.h"

#include <utility>

namespace gulltrestle::transactions {

std::vector<NodeId> EndpointRegistry::apply(EndpointUpdateKind kind,
                                            const std::vector<ResolvedEndpoint>& list) {
  if (kind != EndpointUpdateKind::delta)
    for (auto& [id, node] : nodes_) node.health = Health::removed;
  std::vector<NodeId> moved;
  for (const auto& [entry, address] : list) {
    const auto [registered, isNew] = nodes_.try_emplace(entry.node);
    if (!isNew && registered->second.address != address) moved.push_back(entry.node);
    registered->second = {address, entry.health};
  }
  return moved;
}

const EndpointRegistry::Node* EndpointRegistry::find(const NodeId& id) const {
  const auto found = nodes_.find(id);
  return found == nodes_.end() ? nullptr : &found->second;
}

const NodeId* EndpointRegistry::findByAddress(const std::string& address) const {
  for (const auto& [id, node] : nodes_)
    if (node.health != Health::removed && node.address == address) return &id;
  return nullptr;
}

bool EndpointRegistry::isDraining(const NodeId& id) const {
  const Node* node = find(id);
  return !node || node->health == Health::draining ||
         (node->health == Health::removed && excludesRemovedNodes_);
}

bool EndpointRegistry::forget(const NodeId& id) {
  const auto found = nodes_.find(id);
  if (found == nodes_.end() || found->second.health != Health::removed) return false;
  nodes_.erase(found);
  return true;
}

}  // namespace gulltrestle::transactions
