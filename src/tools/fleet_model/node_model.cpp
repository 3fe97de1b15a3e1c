#include "tools/fleet_model/node_model.h"

#include <algorithm>
#include <string>

namespace gulltrestle::fleet_model {

namespace {

// Seconds of log that a replica applies a second while it catches up.
constexpr double kCatchUp = 4;

}  // namespace

NodeModel::NodeModel(NodeParameters machines) : machines_(machines) {
  for (GroupId group = 1; group <= machines_.groups; ++group)
    for (std::size_t n = 0; n <= machines_.replicas; ++n) {
      Node node;
      node.id = n == 0 ? "primary" : "replica-" + std::to_string(n);
      if (machines_.groups > 1) node.id = "g" + std::to_string(group) + "-" + node.id;
      node.group = group;
      node.primary = n == 0;
      rows_[node.id] = nodes_.size();
      nodes_.push_back(std::move(node));
    }
}

std::size_t NodeModel::at(const NodeId& id) const { return rows_.at(id); }

double NodeModel::speed(Instant now, const Node& node) const {
  if (node.startedAt == Instant() || machines_.coldTime == Duration()) return 1;
  const double warm = std::min(1.0, (now - node.startedAt) / machines_.coldTime);
  return machines_.coldShare + (1 - machines_.coldShare) * std::max(0.0, warm);
}

NodeModel::Served NodeModel::serve(Instant now, std::size_t row, std::uint64_t router,
                                   const std::function<Duration()>& work) {
  Node& node = nodes_[row];
  if (!isUp(now, row)) return {How::noConnection, now, false};
  const Instant begin = std::max(now, node.busyUntil);
  const bool cold = speed(now, node) < 1;
  if (cold && machines_.pushOver != Duration() && begin - now > machines_.pushOver) {
    ++fellOver_;
    lose(now, row, now + machines_.fallen);
    return {How::noConnection, now, false};
  }
  Served served;
  served.connected = node.connections.insert(router).second;
  // Who is rejected has connected all the same.
  const Duration connecting = served.connected ? machines_.connection : Duration();
  const bool full = begin - now > machines_.queue;
  const Duration all = full ? connecting : work() + connecting;
  if (all > Duration()) node.busyUntil = begin + all * (1 / speed(begin, node));
  served.end = node.busyUntil;
  if (full)
    served.how = How::rejected;
  else
    node.ends.push_back(served.end);
  return served;
}

void NodeModel::drain(Instant now, std::size_t node) {
  nodes_[node].draining = true;
  nodes_[node].toldToDrain = now;
}

void NodeModel::lose(Instant now, std::size_t row, Instant backAt, Duration logLost) {
  Node& node = nodes_[row];
  node.logAt = logLost > Duration() ? applied(now, node, {}) - logLost : Instant();
  ++node.starts;
  node.draining = false;
  node.toldToDrain = Instant();
  node.connections.clear();
  node.ends.clear();
  node.upAt = node.startedAt = node.busyUntil = backAt;
}

double NodeModel::inHand(Instant now, std::size_t row) {
  auto& ends = nodes_[row].ends;
  while (!ends.empty() && ends.front() <= now) ends.pop_front();
  return static_cast<double>(ends.size());
}

Instant NodeModel::applied(Instant now, const Node& node, std::optional<Instant> stoodStillAt) const {
  if (node.primary) return now;
  const Instant upTo = stoodStillAt.value_or(now) - machines_.lag;
  if (node.logAt == Instant() || now < node.upAt) return upTo;
  return std::min(upTo, node.logAt + (now - node.upAt) * kCatchUp);
}

std::vector<transactions::ResolvedEndpoint> NodeModel::list(Instant now) const {
  std::vector<transactions::ResolvedEndpoint> all;
  for (const Node& node : nodes_) {
    EndpointEntry entry;
    entry.node = node.id;
    entry.group = node.group;
    entry.primary = node.primary;
    entry.health = node.draining ? Health::draining : node.upAt > now ? Health::removed : Health::live;
    if (node.upAt <= now) entry.startedAt = node.startedAt;
    all.push_back({entry, node.id});
  }
  return all;
}

}  // namespace gulltrestle::fleet_model
