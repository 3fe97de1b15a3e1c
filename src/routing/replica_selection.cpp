#include "routing/replica_selection.h"

#include <algorithm>

namespace gulltrestle::routing {

namespace {

// Range of the replication lag, as fractions of the staleness bound, in which a replica is falling behind. In
// this range each router uses only this fraction of the replica's capacity, which leaves the rest for
// applying the log. Applies only where few routers share the nodes.
constexpr double kFallingBehindMinLag = 0.33;
constexpr double kFallingBehindMaxLag = 1.2;
constexpr double kFallingBehindStretch = 0.5;

// A node that rejected a transaction receives none for a quarter of a second, as rejections cost it work,
// too.
constexpr Duration kBackoffAfterRejection = Duration::millis(250);
// A replica that rejected a read as stale needs at least this time to catch up.
constexpr Duration kBackoffAfterStaleRejection = Duration::millis(500);

// A read of level `any` counts as long if its latency target is at least this many times the shortest one.
constexpr double kLongReadFactor = 4;
// A long read class uses one more replica for each time that its usual latency contains this fraction of its
// latency target.
constexpr double kLongReadTargetFractionPerReplica = 0.35;

// A node in another zone loses ten times the cost of an attempt there from its weight, but not all of it.
constexpr double kCrossZoneFactor = 10;
constexpr double kMinZoneWeight = 0.01;

// Reads leave capacity of the primary for writes.
constexpr double kReadsAtPrimaryStretch = 0.6;
// Where many routers share the nodes, each of them sees free capacity at the primary. No reads are sent there
// while the last ones took more than a quarter of their latency target.
constexpr double kBusyPrimaryPressure = 0.25;

// Where many routers share the nodes, each router requests the load of a node that it sends reads to once in
// this time.
constexpr Duration kLoadRefreshPause = Duration::millis(1000);

}  // namespace

NodeState* ReplicaSelector::primaryOf(GroupId group) const {
  NodeState* known = nullptr;
  NodeState* listed = nullptr;
  for (NodeState* node : state_.groupOf(group).nodes) {
    if (state_.isDraining(*node)) continue;
    if (node->isKnownPrimary() && (!known || node->lastKnownPrimaryAt > known->lastKnownPrimaryAt))
      known = node;
    if (node->isListedPrimary()) listed = node;
  }
  return known ? known : listed;
}

NodeState* ReplicaSelector::primaryFor(const PendingTransaction& transaction) const {
  NodeState* primary = primaryOf(transaction.request.group);
  const bool isRead = state_.classOf(transaction).level != ReadLevel::write;
  return primary && isRead && primary->rejectsWrites() ? nullptr : primary;
}

bool ReplicaSelector::hasCapacity(NodeState& node, const PendingTransaction& transaction,
                                  double stretch) const {
  const Duration bound = state_.shortestStalenessBound;
  if (!state_.isOneOfManyRouters() && node.replicationLag > bound * kFallingBehindMinLag &&
      node.replicationLag < bound * kFallingBehindMaxLag)
    stretch *= kFallingBehindStretch;
  if (state_.isDraining(node) || policies_.concurrency.isAtLimit(node, stretch)) return false;
  return state_.now - node.lastRejectedAt >= state_.scaledPause(kBackoffAfterRejection) &&
         !policies_.concurrency.isOverloaded(node) &&
         policies_.slowStart.hasCapacity(node, transaction.request.type);
}

bool ReplicaSelector::isUsable(NodeState& node, const PendingTransaction& transaction, double stretch) const {
  return hasCapacity(node, transaction, stretch) &&
         policies_.health.mayReceive(node, state_.classOf(transaction));
}

bool ReplicaSelector::isLongRead(const TransactionClass& type) const {
  return type.level == ReadLevel::any && type.latencyTarget >= state_.shortestLatencyTarget * kLongReadFactor;
}

double ReplicaSelector::weightOf(const NodeState& node) const {
  const double zone = node.endpoint.sameZone
                          ? 1
                          : std::max(kMinZoneWeight, 1 - state_.config.crossZoneCost * kCrossZoneFactor);
  return policies_.slowStart.warmUpFraction(node) * zone /
         (policies_.latencies.smoothedLatencyRatio(node) * (1 + policies_.concurrency.load(node)));
}

// Includes replicas that already had an attempt of the transaction only if there are no others.
ReplicaSelector::Candidates ReplicaSelector::candidatesFor(const PendingTransaction& transaction,
                                                           const NodeState* primary,
                                                           DataKnowledge needed) const {
  const TransactionClass& type = state_.classOf(transaction);
  const double stretch = isLongRead(type) ? type.latencyTarget / state_.shortestLatencyTarget : 1;
  const auto mayHaveData = [&](const NodeState& node) {
    if (node.appliedPosition >= state_.requiredPosition(transaction)) return true;
    return needed == DataKnowledge::possible &&
           state_.now - node.lastRejectedAsStaleAt >= state_.scaledPause(kBackoffAfterStaleRejection);
  };
  Candidates candidates;
  for (const bool mayRepeat : {false, true}) {
    for (NodeState* node : state_.groupOf(transaction.request.group).nodes) {
      if (node == primary || (transaction.wasAttemptedAt(*node) && !mayRepeat)) continue;
      if (!isUsable(*node, transaction, stretch) || !mayHaveData(*node)) continue;
      candidates.nodes.push_back(node);
      candidates.weights.push_back(weightOf(*node));
    }
    if (!candidates.nodes.empty()) break;
  }
  return candidates;
}

// Sends long reads where they don't delay the application of recent commits: to replicas that reported a lag
// beyond the staleness bound, otherwise to the first replicas in the order of ids, which are the same ones
// for all routers. Trade-off: may use up the capacity of these replicas.
void ReplicaSelector::confineLongRead(const PendingTransaction& transaction, Candidates& candidates) const {
  std::stable_partition(candidates.nodes.begin(), candidates.nodes.end(), [&](const NodeState* node) {
    return node->replicationLag > state_.shortestStalenessBound;
  });
  const Duration perReplica = state_.classOf(transaction).latencyTarget * kLongReadTargetFractionPerReplica;
  const double replicasUsed = 1 + policies_.latencies.usualLatency(transaction.request.type) / perReplica;
  for (std::size_t i = 0; i < candidates.weights.size(); ++i)
    candidates.weights[i] = static_cast<double>(i) + 1 <= replicasUsed;
}

NodeState* ReplicaSelector::drawReplica(const PendingTransaction& transaction, const NodeState* primary,
                                        DataKnowledge needed) {
  Candidates candidates = candidatesFor(transaction, primary, needed);
  if (candidates.nodes.empty()) return nullptr;
  if (isLongRead(state_.classOf(transaction))) confineLongRead(transaction, candidates);
  NodeState* node = candidates.nodes[state_.random.weightedIndex(candidates.weights)];
  // The answers to reads of level `any` carry no load reports. Without health checks all routers would keep
  // sending to a node with a full queue.
  if (state_.isOneOfManyRouters() && policies_.concurrency.hasLoadReports() &&
      state_.now - std::max(node->loadReportedAt, node->lastCheckedAt) >
          state_.sharedPause(kLoadRefreshPause))
    policies_.health.sendHealthCheck(*node);
  return node;
}

NodeState* ReplicaSelector::select(const PendingTransaction& transaction) {
  NodeState* primary = primaryFor(transaction);
  if (state_.classOf(transaction).level >= ReadLevel::linearizable)
    return primary && isUsable(*primary, transaction) ? primary : searchPrimary(transaction, primary);
  if (NodeState* replica = drawReplica(transaction, primary, DataKnowledge::known)) return replica;
  if (state_.now < policies_.consistency.replicaWaitEnd(transaction)) return nullptr;
  const GroupState& group = state_.groupOf(transaction.request.group);
  const bool isBusy =
      policies_.latencies.latencyPressure(group.primaryLatencyPressure) > kBusyPrimaryPressure;
  if (primary && !isBusy && !transaction.wasAttemptedAt(*primary) &&
      isUsable(*primary, transaction, kReadsAtPrimaryStretch))
    return primary;
  // Where nodes reject reads that require a later position than they have applied, a read may be sent to a
  // replica whose position is unknown. Covers load reports that are late or lost. Trade-off: wastes attempts
  // when all replicas are in fact behind.
  return state_.config.nodesRejectStaleReads ? drawReplica(transaction, primary, DataKnowledge::possible)
                                             : nullptr;
}

// Where health checks are not allowed and no healthy primary is known, uses writes to search for it: a
// replica rejects a write without executing it and reports its role. The node that was queried longest ago is
// tried first. Covers a change of the primary that no endpoint list reports, after which no write would ever
// be sent. Trade-off: may use up the attempts of a write that has few.
NodeState* ReplicaSelector::searchPrimary(const PendingTransaction& transaction, const NodeState* primary) {
  if (state_.config.healthChecksAllowed || state_.classOf(transaction).level != ReadLevel::write)
    return nullptr;
  // While an unhealthy primary is known, only a spare attempt is used for the search.
  const unsigned attempts = transaction.attempts + transaction.request.priorAttempts.attempts;
  const bool hasSpareAttempt = attempts + 1 < state_.config.maxAttempts;
  if (primary && (policies_.health.isHealthy(*primary) || !hasSpareAttempt)) return nullptr;
  std::vector<NodeState*> candidates = state_.groupOf(transaction.request.group).nodes;
  std::erase_if(candidates, [&](NodeState* node) {
    return transaction.wasAttemptedAt(*node) || !policies_.health.isSearchDue(*node) ||
           !hasCapacity(*node, transaction, 1);
  });
  if (candidates.empty()) return nullptr;
  state_.random.shuffle(candidates);
  NodeState* node = *std::min_element(candidates.begin(), candidates.end(),
                                      [](const NodeState* left, const NodeState* right) {
                                        return left->lastCheckedAt < right->lastCheckedAt;
                                      });
  node->lastCheckedAt = state_.now;
  return node;
}

}  // namespace gulltrestle::routing
