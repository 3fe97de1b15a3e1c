// The modelled nodes, as they truly are: a queue each before one core, a log that replicas apply late, cold
// starts, a price for each new connection, losses of power. No router sees any of it but by what it is told.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "transactions/endpoint_registry.h"

namespace gulltrestle::fleet_model {

// What nodes are like. Spans below zero make no sense; a share is from 0 to 1.
struct NodeParameters {
  std::size_t groups = 1, replicas = 2;     // a primary and so many replicas in each group
  Duration queue = Duration::millis(2000);  // a node rejects what would wait for longer
  Duration lag = Duration::millis(40);      // of replicas
  double coldShare = 1;                     // of its speed that a node has as it starts
  Duration coldTime;                        // until it has all of it
  Duration connection;                      // work of taking a new connection
  Duration probe = Duration::micros(200);   // work of a probe
  Duration pushOver;  // a cold node falls over where a txn would wait for longer; zero: it doesn't
  Duration fallen = Duration::millis(3000);  // until it is back, cold
};

class NodeModel {
 public:
  struct Node {
    NodeId id;
    GroupId group = 0;
    bool primary = false, draining = false;
    Instant busyUntil, toldToDrain, startedAt;
    Instant upAt;  // down before
    unsigned starts = 0;
    std::deque<Instant> ends;             // of the work in hand
    Instant logAt;                        // how far its log reached as it came back; never: it lost none
    std::set<std::uint64_t> connections;  // of routers' starts
  };

  explicit NodeModel(NodeParameters machines);

  enum class How { served, rejected, noConnection };
  struct Served {
    How how = How::served;
    Instant end;             // of the work
    bool connected = false;  // a new connection was taken for it
  };
  // `router`: this start of a router, for the connections that it has; `work`: drawn where it is not turned
  // away.
  Served serve(Instant now, std::size_t node, std::uint64_t router, const std::function<Duration()>& work);

  void drain(Instant now, std::size_t node);
  // Down now and back then, cold; what it had in hand is lost.
  // A replica has lost so much of its log's end, too, and catches up from there.
  void lose(Instant now, std::size_t node, Instant backAt, Duration logLost = {});
  bool isUp(Instant now, std::size_t node) const { return nodes_[node].upAt <= now; }

  // What a node has applied, all commits up to there. `stoodStillAt`: replicas apply nothing from then on.
  Instant applied(Instant now, const Node& node, std::optional<Instant> stoodStillAt) const;
  // Txns that the node has in hand, of all routers.
  double inHand(Instant now, std::size_t node);
  // As discovery would list it, if it knew all of this moment.
  std::vector<transactions::ResolvedEndpoint> list(Instant now) const;

  const std::vector<Node>& all() const { return nodes_; }
  std::size_t at(const NodeId& id) const;
  std::uint64_t fellOver() const { return fellOver_; }

 private:
  double speed(Instant now, const Node& node) const;

  NodeParameters machines_;
  std::vector<Node> nodes_;
  std::map<NodeId, std::size_t> rows_;
  std::uint64_t fellOver_ = 0;
};

}  // namespace gulltrestle::fleet_model
