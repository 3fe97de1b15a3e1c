#include "tools/fleet_model/node_model.h"

#include <algorithm>
#include <string>

namespace gulltrestle::fleet_model {

namespace {

// Seconds of log that a replica applies a second while it catches up.
constexpr double kCatchUpRate = 4;

}  // namespace

NodeModel::NodeModel(NodeParameters parameters) : parameters_(parameters) {
  for (GroupId group = 1; group <= parameters_.groups; ++group)
    for (std::size_t n = 0; n <= parameters_.replicas; ++n) {
      Node node;
      node.id = n == 0 ? "primary" : "replica-" + std::to_string(n);
      if (parameters_.groups > 1) node.id = "g" + std::to_string(group) + "-" + node.id;
      node.group = group;
      node.isPrimary = n == 0;
      indexes_[node.id] = nodes_.size();
      nodes_.push_back(std::move(node));
    }
}

std::size_t NodeModel::indexOf(const NodeId& id) const { return indexes_.at(id); }

double NodeModel::speed(Instant now, const Node& node) const {
  if (node.startedAt == Instant() || parameters_.warmUpDuration == Duration()) return 1;
  const double warm = std::min(1.0, (now - node.startedAt) / parameters_.warmUpDuration);
  return parameters_.coldSpeedFraction + (1 - parameters_.coldSpeedFraction) * std::max(0.0, warm);
}

NodeModel::ServeResult NodeModel::serve(Instant now, std::size_t index, std::uint64_t router,
                                        const std::function<Duration()>& work) {
  Node& node = nodes_[index];
  if (!isUp(now, index)) return {ServeOutcome::noConnection, now, false};
  const Instant begin = std::max(now, node.busyUntil);
  const bool isCold = speed(now, node) < 1;
  if (isCold && parameters_.collapseWait != Duration() && begin - now > parameters_.collapseWait) {
    ++collapsedNodes_;
    lose(now, index, now + parameters_.collapseDuration);
    return {ServeOutcome::noConnection, now, false};
  }
  ServeResult served;
  served.isNewConnection = node.connections.insert(router).second;
  // A router whose request is rejected has connected all the same.
  const Duration connecting = served.isNewConnection ? parameters_.connectionWork : Duration();
  const bool isFull = begin - now > parameters_.maxQueueWait;
  const Duration total = isFull ? connecting : work() + connecting;
  if (total > Duration()) node.busyUntil = begin + total * (1 / speed(begin, node));
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

void NodeModel::lose(Instant now, std::size_t index, Instant backAt, Duration logLost) {
  Node& node = nodes_[index];
  node.recoveredLogEnd = logLost > Duration() ? appliedPosition(now, node, {}) - logLost : Instant();
  ++node.incarnation;
  node.isDraining = false;
  node.drainedAt = Instant();
  node.connections.clear();
  node.inFlightEnds.clear();
  node.backAt = node.startedAt = node.busyUntil = backAt;
}

double NodeModel::inFlight(Instant now, std::size_t index) {
  auto& ends = nodes_[index].inFlightEnds;
  while (!ends.empty() && ends.front() <= now) ends.pop_front();
  return static_cast<double>(ends.size());
}

Instant NodeModel::appliedPosition(Instant now, const Node& node, std::optional<Instant> stoppedAt) const {
  if (node.isPrimary) return now;
  const Instant upTo = stoppedAt.value_or(now) - parameters_.replicationLag;
  if (node.recoveredLogEnd == Instant() || now < node.backAt) return upTo;
  return std::min(upTo, node.recoveredLogEnd + (now - node.backAt) * kCatchUpRate);
}

std::vector<transactions::ResolvedEndpoint> NodeModel::endpointList(Instant now) const {
  std::vector<transactions::ResolvedEndpoint> all;
  for (const Node& node : nodes_) {
    EndpointEntry entry;
    entry.node = node.id;
    entry.group = node.group;
    entry.primary = node.isPrimary;
    entry.health = node.isDraining ? Health::draining : node.backAt > now ? Health::removed : Health::live;
    if (node.backAt <= now) entry.startedAt = node.startedAt;
    all.push_back({entry, node.id});
  }
  return all;
}

}  // namespace gulltrestle::fleet_model
