#include "routing/replica_selection.h"

#include <algorithm>

namespace gulltrestle::routing {

namespace {

// Of the staleness bound: where a replica that falls behind is on its way out of it, and where it is out. In
// between each of few routers leaves it this much of its capacity, to apply the log.
constexpr double kFallingBehindFrom = 0.33;
constexpr double kFallingBehindTo = 1.2;
constexpr double kFallingBehindStretch = 0.5;

// A node that was full rests for a quarter of a second: what it rejects takes work, too.
constexpr Duration kRestAfterRejection = Duration::millis(250);
// A replica that rejected a read as stale catches up no faster than this.
constexpr Duration kRestAfterStale = Duration::millis(500);

// An any read whose latency target is so many times the shortest takes long.
constexpr double kLongReadFactor = 4;
// Of a long read's latency target: for each that it usually takes, it is spread over one more replica.
constexpr double kLongReadPerReplica = 0.35;

// A node in another zone loses ten times the cost of an attempt there, but never all of its weight.
constexpr double kCrossZoneFactor = 10;
constexpr double kLowestZoneWeight = 0.01;

// Reads leave the primary capacity for its writes.
constexpr double kReadsAtPrimaryStretch = 0.6;
// Each of many routers sees room at the primary: no read goes there while the last ones took a quarter of
// their latency target.
constexpr double kBusyPrimaryPressure = 0.25;

// One of many routers asks a node that it sends any reads to for its load once in this time.
constexpr Duration kLoadRefreshPause = Duration::millis(1000);

}  // namespace

NodeState* ReplicaSelector::primaryOf(GroupId group) const {
  NodeState* known = nullptr;
  NodeState* listed = nullptr;  // lists come late, and count for nodes never known as replicas
  for (NodeState* node : state_.groupOf(group).nodes) {
    if (state_.isDraining(*node)) continue;
    if (node->lastKnownPrimaryAt > node->lastKnownReplicaAt &&
        (!known || node->lastKnownPrimaryAt > known->lastKnownPrimaryAt))
      known = node;
    if (node->endpoint.primary && node->lastKnownReplicaAt == Instant()) listed = node;
  }
  return known ? known : listed;
}

bool ReplicaSelector::hasCapacity(NodeState& node, const PendingTransaction& transaction,
                                  double stretch) const {
  const Duration bound = state_.shortestStalenessBound;
  if (!state_.isOneOfManyRouters() && node.replicationLag > bound * kFallingBehindFrom &&
      node.replicationLag < bound * kFallingBehindTo)
    stretch *= kFallingBehindStretch;
  if (state_.isDraining(node) || judge_.concurrency.isAtLimit(node, stretch)) return false;
  return state_.now - node.lastRejectedAt >= state_.scaledPause(kRestAfterRejection) &&
         !judge_.concurrency.isOverloaded(node) &&
         judge_.slowStart.hasCapacity(node, transaction.request.type);
}

bool ReplicaSelector::isUsable(NodeState& node, const PendingTransaction& transaction, double stretch) const {
  return hasCapacity(node, transaction, stretch) &&
         judge_.health.mayReceive(node, state_.classOf(transaction));
}

bool ReplicaSelector::isLongRead(const TransactionClass& type) const {
  return type.level == ReadLevel::any && type.latencyTarget >= state_.shortestLatencyTarget * kLongReadFactor;
}

double ReplicaSelector::weightOf(const NodeState& node) const {
  const double zone = node.endpoint.sameZone
                          ? 1
                          : std::max(kLowestZoneWeight, 1 - state_.config.crossZoneCost * kCrossZoneFactor);
  return judge_.slowStart.warmUpFraction(node) * zone /
         (judge_.latencies.smoothedLatencyRatio(node) * (1 + judge_.concurrency.load(node)));
}

// Replicas that were attempted before come only where there are no others.
ReplicaSelector::Candidates ReplicaSelector::candidatesFor(const PendingTransaction& transaction,
                                                           const NodeState* primary,
                                                           DataKnowledge needed) const {
  const TransactionClass& type = state_.classOf(transaction);
  const double stretch = isLongRead(type) ? type.latencyTarget / state_.shortestLatencyTarget : 1;
  const auto mayHaveData = [&](const NodeState& node) {
    if (node.appliedPosition >= state_.requiredPosition(transaction)) return true;
    return needed == DataKnowledge::possible &&
           state_.now - node.lastRejectedAsStaleAt >= state_.scaledPause(kRestAfterStale);
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

// A long read is put where it keeps nothing fresh from being applied: on replicas that reported to be behind
// the bound, else on the first by id, as all routers do. May hurt by filling it.
void ReplicaSelector::confineLongRead(const PendingTransaction& transaction, Candidates& candidates) const {
  std::stable_partition(candidates.nodes.begin(), candidates.nodes.end(), [&](const NodeState* node) {
    return node->replicationLag > state_.shortestStalenessBound;
  });
  const Duration perReplica = state_.classOf(transaction).latencyTarget * kLongReadPerReplica;
  const double replicasUsed = 1 + judge_.latencies.usualLatency(transaction.request.type) / perReplica;
  for (std::size_t i = 0; i < candidates.weights.size(); ++i)
    candidates.weights[i] = static_cast<double>(i) + 1 <= replicasUsed;
}

NodeState* ReplicaSelector::drawReplica(const PendingTransaction& transaction, const NodeState* primary,
                                        DataKnowledge needed) {
  Candidates candidates = candidatesFor(transaction, primary, needed);
  if (candidates.nodes.empty()) return nullptr;
  if (isLongRead(state_.classOf(transaction))) confineLongRead(transaction, candidates);
  NodeState* node = candidates.nodes[state_.random.weightedIndex(candidates.weights)];
  // Any reads bring no load reports by themselves: without, all routers would feed a queue that is full.
  if (state_.isOneOfManyRouters() && judge_.concurrency.hasLoadReports() &&
      state_.now - std::max(node->loadReportedAt, node->lastCheckedAt) >
          state_.sharedPause(kLoadRefreshPause))
    judge_.health.sendHealthCheck(*node);
  return node;
}

NodeState* ReplicaSelector::select(const PendingTransaction& transaction) {
  NodeState* primary = primaryOf(transaction.request.group);
  if (state_.classOf(transaction).level >= ReadLevel::linearizable)
    return primary && isUsable(*primary, transaction) ? primary : searchPrimary(transaction, primary);
  if (NodeState* replica = drawReplica(transaction, primary, DataKnowledge::known)) return replica;
  if (state_.now < judge_.consistency.holdEnd(transaction)) return nullptr;
  const GroupState& group = state_.groupOf(transaction.request.group);
  const bool isBusy = judge_.latencies.latencyPressure(group.primaryLatencyPressure) > kBusyPrimaryPressure;
  if (primary && !isBusy && !transaction.wasAttemptedAt(*primary) &&
      isUsable(*primary, transaction, kReadsAtPrimaryStretch))
    return primary;
  // Where nodes reject reads that they are too far behind for, a replica of unknown position may be asked all
  // the same. Guards against reports that come late or never; may hurt when all really are behind.
  return state_.config.nodesRejectStaleReads ? drawReplica(transaction, primary, DataKnowledge::possible)
                                             : nullptr;
}

// Where no health checks are allowed and no primary is known to be healthy, writes look for it: a replica
// rejects them untouched, and says what it is. The node that was asked longest ago comes first. Guards
// against a change of primary that no list tells, after which nothing at all would be sent; may hurt a write
// that has few attempts.
NodeState* ReplicaSelector::searchPrimary(const PendingTransaction& transaction, const NodeState* primary) {
  if (state_.config.healthChecksAllowed || state_.classOf(transaction).level != ReadLevel::write)
    return nullptr;
  // While an unhealthy one is known, only by an attempt that is to spare.
  const unsigned attempts = transaction.attempts + transaction.request.priorAttempts.attempts;
  const bool hasSpareAttempt = attempts + 1 < state_.config.maxAttempts;
  if (primary && (judge_.health.isHealthy(*primary) || !hasSpareAttempt)) return nullptr;
  std::vector<NodeState*> candidates = state_.groupOf(transaction.request.group).nodes;
  std::erase_if(candidates, [&](NodeState* node) {
    return transaction.wasAttemptedAt(*node) || !judge_.health.isSearchDue(*node) ||
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
