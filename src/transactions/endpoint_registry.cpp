#include "transactions/endpoint_registry.h"

#include <utility>

namespace gulltrestle::transactions {

std::vector<NodeId> Nodes::listed(ListKind kind, const std::vector<Addressed>& list) {
  if (kind != ListKind::changes)
    for (auto& [id, node] : nodes_) node.health = Health::gone;
  std::vector<NodeId> moved;
  for (const auto& [entry, address] : list) {
    const auto [at, isNew] = nodes_.try_emplace(entry.node);
    if (!isNew && at->second.address != address) moved.push_back(entry.node);
    at->second = {address, entry.health};
  }
  return moved;
}

const Nodes::Node* Nodes::find(const NodeId& id) const {
  const auto at = nodes_.find(id);
  return at == nodes_.end() ? nullptr : &at->second;
}

const NodeId* Nodes::at(const std::string& address) const {
  for (const auto& [id, node] : nodes_)
    if (node.health != Health::gone && node.address == address) return &id;
  return nullptr;
}

bool Nodes::leaving(const NodeId& id) const {
  const Node* node = find(id);
  return !node || node->health == Health::draining || (node->health == Health::gone && goneBinds_);
}

bool Nodes::forget(const NodeId& id) {
  const auto at = nodes_.find(id);
  if (at == nodes_.end() || at->second.health != Health::gone) return false;
  nodes_.erase(at);
  return true;
}

}  // namespace gulltrestle::transactions
