#include "transactions/endpoint_exclusions.h"

#include <utility>

namespace gulltrestle::transactions {

void EndpointExclusions::applyTo(EndpointUpdateKind kind, std::vector<ResolvedEndpoint>& list) {
  if (kind != EndpointUpdateKind::delta) lastEndpointList_.clear();
  for (const ResolvedEndpoint& endpoint : list) {
    if (endpoint.entry.health == Health::removed)
      lastEndpointList_.erase(endpoint.entry.node);
    else
      lastEndpointList_[endpoint.entry.node] = endpoint;
  }
  for (auto& [entry, address] : list)
    if (entry.health == Health::live && isExcluded(entry.node)) entry.health = Health::draining;
}

std::vector<ResolvedEndpoint> EndpointExclusions::exclude(std::set<NodeId> current, std::set<NodeId> upcoming,
                                                          Instant startsAt, Instant now) {
  const std::set<NodeId> before = std::exchange(excludedNodes_, std::move(current));
  upcomingNodes_ = std::move(upcoming);
  upcomingStartsAt_ = upcomingNodes_.empty() ? Instant() : startsAt;
  // The lease that postpones the start has expired already, or was never granted.
  if (!upcomingNodes_.empty() && startsAt <= now) startUpcoming();
  return changedSince(before);
}

std::vector<ResolvedEndpoint> EndpointExclusions::advanceTo(Instant now) {
  if (upcomingStartsAt_ == Instant() || now < upcomingStartsAt_) return {};
  const std::set<NodeId> before = excludedNodes_;
  startUpcoming();
  return changedSince(before);
}

std::vector<ResolvedEndpoint> EndpointExclusions::markDraining(const std::vector<NodeId>& nodes) {
  std::vector<ResolvedEndpoint> changed;
  for (const NodeId& node : nodes) {
    const auto found = lastEndpointList_.find(node);
    if (found == lastEndpointList_.end() || found->second.entry.health != Health::live) continue;
    found->second.entry.health = Health::draining;
    changed.push_back(found->second);
  }
  return changed;
}

void EndpointExclusions::startUpcoming() {
  excludedNodes_.merge(upcomingNodes_);
  upcomingNodes_.clear();
  upcomingStartsAt_ = Instant();
}

std::vector<ResolvedEndpoint> EndpointExclusions::changedSince(const std::set<NodeId>& excludedBefore) const {
  std::vector<ResolvedEndpoint> changed;
  if (excludedNodes_ == excludedBefore) return changed;
  for (const auto& [node, endpoint] : lastEndpointList_) {
    if (endpoint.entry.health != Health::live || isExcluded(node) == excludedBefore.contains(node)) continue;
    changed.push_back(endpoint);
    if (isExcluded(node)) changed.back().entry.health = Health::draining;
  }
  return changed;
}

}  // namespace gulltrestle::transactions
