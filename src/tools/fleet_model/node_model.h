// Simulated nodes and their true state. Each node is a queue in front of a single core, with replication lag,
// cold caches after a start, a cost for each new connection, and power losses. Routers learn of this state
// only from load reports and endpoint lists.
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

// Parameters of the nodes. Durations must not be negative; fractions are from 0 to 1.
struct NodeParameters {
  std::size_t groups = 1, replicas = 2;            // each group has a primary and this many replicas
  Duration maxQueueWait = Duration::millis(2000);  // a node rejects transactions that would wait longer
  Duration replicationLag = Duration::millis(40);
  double coldSpeedFraction = 1;  // speed of a node at its start, relative to a warm node
  Duration warmUpDuration;       // time from the start until full speed
  Duration connectionWork;       // CPU time to accept a new connection
  Duration healthCheckWork = Duration::micros(200);
  Duration collapseWait;  // a cold node collapses if work would wait longer; zero: never
  Duration collapseDuration = Duration::millis(3000);  // time until it restarts, cold
};

// All nodes of all groups. Nodes are addressed by index.
class NodeModel {
 public:
  // The true state of a node.
  struct Node {
    NodeId id;
    GroupId group = 0;
    bool isPrimary = false, isDraining = false;
    Instant busyUntil, drainedAt, startedAt;
    Instant restartsAt;  // the node is down before this time
    unsigned incarnation = 0;
    std::deque<Instant> inFlightEnds;     // when each transaction in flight ends, ascending
    Instant recoveredLogEnd;              // log position at its restart; zero if no log was lost
    std::set<std::uint64_t> connections;  // by router incarnation
  };

  explicit NodeModel(NodeParameters parameters);

  enum class ServeOutcome { served, rejected, noConnection };
  // How a node handled an attempt.
  struct ServeResult {
    ServeOutcome outcome = ServeOutcome::served;
    Instant end;                   // when the work is done
    bool isNewConnection = false;  // a connection was opened for it
  };
  // Queues work at a node. `router`: identifies the router incarnation, for its connection. `work` returns
  // the CPU time; it is not called if the attempt is rejected, so no random number is drawn then.
  ServeResult serve(Instant now, std::size_t node, std::uint64_t router,
                    const std::function<Duration()>& work);

  void drain(Instant now, std::size_t node);
  // Stops the node until `restartsAt`, when it starts with cold caches. Its transactions in flight are lost.
  // A replica also loses the last `lostLog` of its log and catches up from there.
  void stop(Instant now, std::size_t node, Instant restartsAt, Duration lostLog = {});
  bool isUp(Instant now, std::size_t node) const { return nodes_[node].restartsAt <= now; }

  // Returns the commit time up to which the node has applied all commits. `stoppedAt`: when replication
  // stopped, if it has.
  Instant appliedPosition(Instant now, const Node& node, std::optional<Instant> stoppedAt) const;
  // Returns the number of transactions in flight at the node, over all routers.
  double inFlight(Instant now, std::size_t node);
  // Returns the endpoint list that discovery would publish if it knew the true state of all nodes.
  std::vector<transactions::ResolvedEndpoint> endpointList(Instant now) const;

  const std::vector<Node>& nodes() const { return nodes_; }
  std::size_t indexOf(const NodeId& id) const;
  // Number of cold nodes that have collapsed so far.
  std::uint64_t collapsedNodes() const { return collapsedNodes_; }

 private:
  // Returns the speed of the node relative to a warm node.
  double speed(Instant now, const Node& node) const;

  NodeParameters parameters_;
  std::vector<Node> nodes_;
  std::map<NodeId, std::size_t> indexes_;
  std::uint64_t collapsedNodes_ = 0;
};

}  // namespace gulltrestle::fleet_model
