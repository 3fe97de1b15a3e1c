// The modelled nodes, as they truly are: each a queue before one core, replication that lags, cold starts, a
// price for each new connection, losses of power. Routers learn of it by load reports and endpoint lists
// alone.
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

// What nodes are like. Durations below zero make no sense; a fraction is from 0 to 1.
struct NodeParameters {
  std::size_t groups = 1, replicas = 2;            // each group has a primary and so many replicas
  Duration maxQueueWait = Duration::millis(2000);  // a node rejects what would wait for longer
  Duration replicationLag = Duration::millis(40);
  double coldSpeedFraction = 1;  // of its speed, that a node has as it starts
  Duration warmUpDuration;       // until it has all of it
  Duration connectionWork;       // to accept a new connection
  Duration healthCheckWork = Duration::micros(200);
  Duration collapseWait;  // a cold node falls over where work would wait for longer; zero: it does not
  Duration collapseDuration = Duration::millis(3000);  // until it is back, cold
};

// All nodes of all groups. Nodes are addressed by their index.
class NodeModel {
 public:
  struct Node {
    NodeId id;
    GroupId group = 0;
    bool isPrimary = false, isDraining = false;
    Instant busyUntil, drainedAt, startedAt;
    Instant backAt;  // it is down before
    unsigned incarnation = 0;
    std::deque<Instant> inFlightEnds;     // when each of the transactions in flight ends
    Instant recoveredLogEnd;              // how far its log reached as it came back; never: it lost none
    std::set<std::uint64_t> connections;  // by router incarnation
  };

  explicit NodeModel(NodeParameters parameters);

  enum class ServeOutcome { served, rejected, noConnection };
  struct ServeResult {
    ServeOutcome outcome = ServeOutcome::served;
    Instant end;                   // of the work
    bool isNewConnection = false;  // one was opened for it
  };
  // `router`: a router incarnation, for its connection; `work`: called, and so drawn, unless it is rejected.
  ServeResult serve(Instant now, std::size_t node, std::uint64_t router,
                    const std::function<Duration()>& work);

  void drain(Instant now, std::size_t node);
  // The node goes down now, and is back cold then; what it had in flight is lost. A replica has lost so much
  // of the end of its log, too, and catches up from there.
  void lose(Instant now, std::size_t node, Instant backAt, Duration logLost = {});
  bool isUp(Instant now, std::size_t node) const { return nodes_[node].backAt <= now; }

  // The node has applied all commits up to there. `stoppedAt`: when replication stopped.
  Instant appliedPosition(Instant now, const Node& node, std::optional<Instant> stoppedAt) const;
  // Transactions in flight at the node, of all routers.
  double inFlight(Instant now, std::size_t node);
  // As discovery would list the nodes if it knew all at this moment.
  std::vector<transactions::ResolvedEndpoint> endpointList(Instant now) const;

  const std::vector<Node>& nodes() const { return nodes_; }
  std::size_t indexOf(const NodeId& id) const;
  // Cold nodes that fell over so far.
  std::uint64_t collapsedNodes() const { return collapsedNodes_; }

 private:
  // As a fraction of a warm node's.
  double speed(Instant now, const Node& node) const;

  NodeParameters parameters_;
  std::vector<Node> nodes_;
  std::map<NodeId, std::size_t> indexes_;
  std::uint64_t collapsedNodes_ = 0;
};

}  // namespace gulltrestle::fleet_model
