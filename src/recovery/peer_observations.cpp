#include "recovery/peer_observations.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace gulltrestle::recovery {

std::optional<LoadReport> PeerObservations::onListed(const NodeId& id, Instant start) {
  const auto [found, isNew] = nodes_.try_emplace(id);
  Node& node = found->second;
  const bool wasListed = std::exchange(node.isListed, true);
  if (wasListed && node.start == start) return {};
  if (!isNew && !wasListed) --unlisted_;
  if (node.start == start && node.proven.position) return node.proven;
  if (node.start != start) node = {.start = start, .isListed = true, .own = {}, .byPeer = {}, .proven = {}};
  return {};
}

void PeerObservations::forget(const NodeId& id) {
  const auto found = nodes_.find(id);
  if (found == nodes_.end()) return;
  if (!found->second.isListed) --unlisted_;
  nodes_.erase(found);
}

void PeerObservations::onDisconnected(const NodeId& id) {
  const auto found = nodes_.find(id);
  if (found == nodes_.end()) return;
  Node& node = found->second;
  node.own.reset();
  node.byPeer.clear();
  node.proven = {};
}

void PeerObservations::observe(Instant now, const NodeId& id, const LoadReport& report) {
  const auto found = nodes_.find(id);
  if (found == nodes_.end() || !found->second.isListed) return;
  if (report.role == Role::unknown && !report.position) return;
  auto& own = found->second.own;
  if (!own) own = ObservedState{};
  own->when = now;
  if (report.role != Role::unknown) own->role = report.role;
  if (report.position) own->position = report.position;
}

std::optional<LoadReport> PeerObservations::onObservation(Instant now, const std::string& peer,
                                                          const Observation& observation) {
  if (observation.age < Duration() || observation.age > kMaxAge) return {};
  Node* node = findOrAddNode(observation);
  if (!node) return {};
  node->byPeer[peer] = {
      .when = now - observation.age, .role = observation.role, .position = observation.position};
  std::erase_if(node->byPeer, [&](const auto& seen) { return now - seen.second.when > kMaxAge; });
  const LoadReport before = std::exchange(node->proven, agreedState(node->byPeer));
  const LoadReport& proven = node->proven;
  if (!proven.position || !node->isListed) return {};
  const bool isFurther = !before.position || *proven.position > *before.position;
  const bool hasRoleChanged = proven.role != before.role;
  if (!isFurther && !hasRoleChanged) return {};
  return proven;
}

PeerObservations::Node* PeerObservations::findOrAddNode(const Observation& observation) {
  auto found = nodes_.find(observation.node);
  if (found == nodes_.end()) {
    if (unlisted_ >= maxUnlisted_) return nullptr;
    ++unlisted_;
    found = nodes_.try_emplace(observation.node).first;
    found->second.start = observation.nodeStart;
  }
  return found->second.start == observation.nodeStart ? &found->second : nullptr;
}

LoadReport PeerObservations::agreedState(const std::map<std::string, ObservedState>& peers) {
  std::vector<Instant> positions;
  std::size_t primaries = 0, replicas = 0;
  for (const auto& [peer, seen] : peers) {
    if (seen.position) positions.push_back(*seen.position);
    if (seen.role == Role::primary) ++primaries;
    if (seen.role == Role::replica) ++replicas;
  }
  std::sort(positions.begin(), positions.end(), std::greater<>());
  LoadReport confirmed;
  if (positions.size() > 1) confirmed.position = positions[1];
  // If the peers disagree on the role, it remains unknown.
  if (primaries > 1 && replicas == 0) confirmed.role = Role::primary;
  if (replicas > 1 && primaries == 0) confirmed.role = Role::replica;
  return confirmed;
}

std::vector<Observation> PeerObservations::ownObservations(Instant now) const {
  std::vector<Observation> observations;
  for (const auto& [id, node] : nodes_) {
    if (!node.own || now - node.own->when > kMaxAge) continue;
    observations.push_back({.node = id,
                            .nodeStart = node.start,
                            .role = node.own->role,
                            .position = node.own->position,
                            .age = now - node.own->when});
  }
  return observations;
}

bool PeerObservations::hasObserved(const NodeId& id) const {
  const auto found = nodes_.find(id);
  return found != nodes_.end() && found->second.own.has_value();
}

Role PeerObservations::role(const NodeId& id) const {
  const auto found = nodes_.find(id);
  if (found == nodes_.end()) return Role::unknown;
  const Node& node = found->second;
  if (node.own && node.own->role != Role::unknown) return node.own->role;
  return node.proven.role;
}

bool PeerObservations::knowsPosition(const NodeId& id) const {
  const auto found = nodes_.find(id);
  if (found == nodes_.end()) return false;
  const Node& node = found->second;
  return (node.own && node.own->position) || node.proven.position;
}

}  // namespace gulltrestle::recovery
