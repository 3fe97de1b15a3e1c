#include "tools/fleet_model/node_model.h"

#include <algorithm>
#include <string>

namespace gulltrestle::fleet_model {

namespace {

// Seconds of log that a replica applies per second while it catches up.
constexpr double kCatchUpRate = 4;

}  // namespace

NodeModel::NodeModel(NodeParameters parameters) : parameters_(parameters) {
  for (GroupId group = 1; group <= parameters_.groups; ++group)
    for (std::size_t number = 0; number <= parameters_.replicas; ++number) {
      Node node;
      node.id = number == 0 ? "primary" : "replica-" + std::to_string(number);
      if (parameters_.groups > 1) node.id = "g" + std::to_string(group) + "-" + node.id;
      node.group = group;
      node.isPrimary = number == 0;
      indexes_[node.id] = nodes_.size();
      nodes_.push_back(std::move(node));
    }
}

std::size_t NodeModel::indexOf(const NodeId& id) const { return indexes_.at(id); }

double NodeModel::speed(Instant now, const Node& node) const {
  if (node.startedAt == Instant() || parameters_.warmUpDuration == Duration()) return 1;
  const double warmFraction = std::min(1.0, (now - node.startedAt) / parameters_.warmUpDuration);
  return parameters_.coldSpeedFraction + (1 - parameters_.coldSpeedFraction) * std::max(0.0, warmFraction);
}

NodeModel::ServeResult NodeModel::serve(Instant now, std::size_t index, std::uint64_t router,
                                        const std::function<Duration()>& work) {
  Node& node = nodes_[index];
  if (!isUp(now, index)) return {ServeOutcome::noConnection, now, false};
  const Instant start = std::max(now, node.busyUntil);
  const bool isCold = speed(now, node) < 1;
  if (isCold && parameters_.collapseWait != Duration() && start - now > parameters_.collapseWait) {
    ++collapsedNodes_;
    stop(now, index, now + parameters_.collapseDuration);
    return {ServeOutcome::noConnection, now, false};
  }
  ServeResult served;
  served.isNewConnection = node.connections.insert(router).second;
  // The connection is established even if the request is rejected.
  const Duration connectTime = served.isNewConnection ? parameters_.connectionWork : Duration();
  const bool isFull = start - now > parameters_.maxQueueWait;
  const Duration totalWork = isFull ? connectTime : work() + connectTime;
  if (totalWork > Duration()) node.busyUntil = start + totalWork * (1 / speed(start, node));
  served.end = node.busyUntil;
  if (isFull)
    served.outcome = ServeOutcome::rejected;
  else
    node.inFlightEnds.push_back(served.end);
  return served;
}

void NodeModel::drain(Instant now, std::size_t node) {
  nodes_[node].isDraining = true;
  nodes_[node].drainedAt = now;
}

void NodeModel::stop(Instant now, std::size_t index, Instant restartsAt, Duration lostLog) {
  Node& node = nodes_[index];
  node.recoveredLogEnd = lostLog > Duration() ? appliedPosition(now, node, {}) - lostLog : Instant();
  ++node.incarnation;
  node.isDraining = false;
  node.drainedAt = Instant();
  node.connections.clear();
  node.inFlightEnds.clear();
  node.restartsAt = node.startedAt = node.busyUntil = restartsAt;
}

double NodeModel::inFlight(Instant now, std::size_t index) {
  auto& ends = nodes_[index].inFlightEnds;
  while (!ends.empty() && ends.front() <= now) ends.pop_front();
  return static_cast<double>(ends.size());
}

Instant NodeModel::appliedPosition(Instant now, const Node& node, std::optional<Instant> stoppedAt) const {
  if (node.isPrimary) return now;
  const Instant replicated = stoppedAt.value_or(now) - parameters_.replicationLag;
  if (node.recoveredLogEnd == Instant() || now < node.restartsAt) return replicated;
  return std::min(replicated, node.recoveredLogEnd + (now - node.restartsAt) * kCatchUpRate);
}

std::vector<transactions::ResolvedEndpoint> NodeModel::endpointList(Instant now) const {
  std::vector<transactions::ResolvedEndpoint> endpoints;
  for (const Node& node : nodes_) {
    EndpointEntry entry;
    entry.node = node.id;
    entry.group = node.group;
    entry.primary = node.isPrimary;
    entry.health = node.isDraining         ? Health::draining
                   : node.restartsAt > now ? Health::removed
                                           : Health::live;
    if (node.restartsAt <= now) entry.startedAt = node.startedAt;
    endpoints.push_back({entry, node.id});
  }
  return endpoints;
}

}  // namespace gulltrestle::fleet_model
