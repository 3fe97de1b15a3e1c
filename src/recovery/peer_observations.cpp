#include "recovery/peer_observations.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace gulltrestle::recovery {

std::optional<LoadReport> PeerObservations::onListed(const NodeId& id, Instant start) {
  const auto [at, isNew] = nodes_.try_emplace(id);
  Node& node = at->second;
  const bool wasListed = std::exchange(node.isListed, true);
  if (wasListed && node.start == start) return {};
  unlisted_ -= !isNew && !wasListed;
  if (node.start == start && node.proven.position) return node.proven;
  if (node.start != start) node = {start, true, {}, {}, {}};
  return {};
}

void PeerObservations::forget(const NodeId& id) {
  const auto at = nodes_.find(id);
  if (at == nodes_.end()) return;
  unlisted_ -= !at->second.isListed;
  nodes_.erase(at);
}

void PeerObservations::disconnected(const NodeId& id) {
  const auto at = nodes_.find(id);
  if (at == nodes_.end()) return;
  at->second.own.reset();
  at->second.others.clear();
  at->second.proven = {};
}

void PeerObservations::observe(Instant now, const NodeId& id, const LoadReport& said) {
  const auto at = nodes_.find(id);
  if (at == nodes_.end() || !at->second.isListed || (said.role == Role::unknown && !said.position)) return;
  auto& own = at->second.own;
  if (!own) own = Seen{};
  own->at = now;
  if (said.role != Role::unknown) own->role = said.role;
  if (said.position) own->position = said.position;
}

std::optional<LoadReport> PeerObservations::onObservation(Instant now, const std::string& by,
                                                          const Observation& sighting) {
  if (sighting.age < Duration() || sighting.age > kMaxAge) return {};
  const auto [at, isNew] = nodes_.try_emplace(sighting.node);
  Node& node = at->second;
  if (isNew) {
    if (unlisted_ >= most_) {
      nodes_.erase(at);
      return {};
    }
    ++unlisted_;
    node.start = sighting.nodeStart;
  }
  if (node.start != sighting.nodeStart) return {};
  node.others[by] = {now - sighting.age, sighting.role, sighting.position};
  // What a second of them confirms: the second highest position, the role that two tell.
  std::vector<Instant> positions;
  std::size_t primaries = 0, replicas = 0;
  std::erase_if(node.others, [&](const auto& other) { return now - other.second.at > kMaxAge; });
  for (const auto& [router, seen] : node.others) {
    if (seen.position) positions.push_back(*seen.position);
    primaries += seen.role == Role::primary;
    replicas += seen.role == Role::replica;
  }
  std::sort(positions.begin(), positions.end(), std::greater<>());
  LoadReport proven;
  if (positions.size() > 1) proven.position = positions[1];
  // Where they differ on the role nothing is known of it.
  if (primaries > 1 && replicas == 0) proven.role = Role::primary;
  if (replicas > 1 && primaries == 0) proven.role = Role::replica;
  const bool isFurther =
      proven.position && (!node.proven.position || *proven.position > *node.proven.position);
  const bool changed = proven.role != node.proven.role;
  node.proven = proven;
  if ((!isFurther && !changed) || !proven.position || !node.isListed) return {};
  return proven;
}

std::vector<Observation> PeerObservations::firstHand(Instant now) const {
  std::vector<Observation> all;
  for (const auto& [id, node] : nodes_)
    if (node.own && now - node.own->at <= kMaxAge)
      all.push_back({id, node.start, node.own->role, node.own->position, now - node.own->at});
  return all;
}

bool PeerObservations::hasObserved(const NodeId& id) const {
  const auto at = nodes_.find(id);
  return at != nodes_.end() && at->second.own.has_value();
}

Role PeerObservations::role(const NodeId& id) const {
  const auto at = nodes_.find(id);
  if (at == nodes_.end()) return Role::unknown;
  if (at->second.own && at->second.own->role != Role::unknown) return at->second.own->role;
  return at->second.proven.role;
}

bool PeerObservations::knowsPosition(const NodeId& id) const {
  const auto at = nodes_.find(id);
  if (at == nodes_.end()) return false;
  return (at->second.own && at->second.own->position) || at->second.proven.position;
}

}  // namespace gulltrestle::recovery
