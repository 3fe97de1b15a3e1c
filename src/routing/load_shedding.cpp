#include "routing/load_shedding.h"

#include <algorithm>

namespace gulltrestle::routing {

namespace {

// AdmissionPolicy::withSpareCapacity: a replica with half of its capacity free.
constexpr double kSpareCapacityStretch = 0.5;

// Held for a slow primary: given up once this fraction of the client's wait is over, if the queue ahead takes
// this fraction of the rest. The first is looked ahead to by some rounds, as a held transaction is looked at
// again no sooner.
constexpr double kWaitedFraction = 0.5;
constexpr double kQueueFraction = 0.5;
constexpr double kRoundsBetweenLooks = 4;

// Of the transactions that clients can have open: beyond three quarters held ones are given up.
constexpr std::size_t kOpenLimitNumerator = 3;
constexpr std::size_t kOpenLimitDenominator = 4;

}  // namespace

// One of many routers has one transaction or none in flight to a node, so that its own limit never binds. It
// sheds by chance, so that the rest of a group's reads brings latency down to the time that a transaction may
// spend at a node. Guards a group asked for more than it can serve; may hurt where slowness is no queue.
// Where levels say what is rejected this is the second half of what they do, from the first level on: one of
// many routers sees room at a node that all others see, too.
bool LoadShedding::isShed(const PendingTransaction& transaction) {
  const GroupState& group = state_.groupOf(transaction.request.group);
  if (state_.config.degradationEnabled) {
    if (isRejectedByLevel(transaction)) return true;
    if (group.degradation.admission.empty()) return false;
  }
  if (state_.classOf(transaction).level >= ReadLevel::linearizable) return false;
  const double pressure = inputs_.latencies.latencyPressure(group.replicaLatencyPressure);
  return pressure > kNodeTimeFraction && state_.random.fraction() > kNodeTimeFraction / pressure;
}

bool LoadShedding::isRejectedByLevel(const PendingTransaction& transaction) {
  const GroupState& group = state_.groupOf(transaction.request.group);
  const bool isTrial =
      group.relaxedDegradationFraction > 0 && state_.random.fraction() < group.relaxedDegradationFraction;
  const DegradationRules& rules = isTrial ? group.relaxedDegradation : group.degradation;
  const AdmissionPolicy policy =
      rules.admission.empty() ? AdmissionPolicy::all : rules.admission[transaction.request.type];
  if (policy == AdmissionPolicy::all) return false;
  if (policy == AdmissionPolicy::none) return true;
  const double stretch = policy == AdmissionPolicy::withReadyReplica ? 1 : kSpareCapacityStretch;
  const NodeState* primary = inputs_.selector.primaryOf(transaction.request.group);
  return std::none_of(group.nodes.begin(), group.nodes.end(), [&](NodeState* node) {
    return node != primary && node->appliedPosition >= state_.requiredPosition(transaction) &&
           inputs_.selector.isUsable(*node, transaction, stretch);
  });
}

// Where clients have connections for so many open transactions. Guards all others against the connections
// that such a queue takes. May hurt where a slow primary is about to recover.
bool LoadShedding::isQueueTooLong(const PendingTransaction& transaction) {
  if (state_.classOf(transaction).level < ReadLevel::linearizable) return false;
  if (state_.config.maxOpenTransactions == 0 || transaction.attemptsInFlight > 0) return false;
  const Transaction& request = transaction.request;
  const NodeState* primary = inputs_.selector.primaryOf(request.group);
  if (!primary || !inputs_.health.isHealthy(*primary)) return false;
  const Duration timeEach =
      inputs_.latencies.usualLatency(request.type) *
      (inputs_.latencies.smoothedLatencyRatio(*primary) / inputs_.concurrency.inFlightLimit(*primary, 1));
  const Duration queue = timeEach * static_cast<double>(queuedForPrimary_[request.group]++);
  return queue > (transaction.answerBy - state_.now) * kQueueFraction &&
         state_.now + state_.config.roundInterval * kRoundsBetweenLooks >=
             transaction.receivedAt + request.remainingTime * kWaitedFraction;
}

// What earns least for the time that it may stay goes first. Guards against whatever holds transactions for
// long; may hurt where that is about to be over.
std::vector<TxnId> LoadShedding::transactionsToEvict() const {
  struct HeldTransaction {
    double valuePerSecond;
    TxnId id;
    auto operator<=>(const HeldTransaction&) const = default;
  };
  std::size_t open = state_.pending.size();
  const auto isOverLimit = [&] {
    return open * kOpenLimitDenominator > state_.config.maxOpenTransactions * kOpenLimitNumerator;
  };
  if (state_.config.maxOpenTransactions == 0 || !isOverLimit()) return {};
  std::vector<HeldTransaction> held;
  for (const auto& [id, transaction] : state_.pending)
    if (transaction.attemptsInFlight == 0)
      held.push_back(
          {state_.classOf(transaction).priorityWeight * inputs_.retries.expectedValueFraction(transaction) /
               (transaction.answerBy - state_.now).inSeconds(),
           id});
  std::sort(held.begin(), held.end());
  std::vector<TxnId> evicted;
  for (std::size_t i = 0; i < held.size() && isOverLimit(); ++i, --open) evicted.push_back(held[i].id);
  return evicted;
}

}  // namespace gulltrestle::routing
