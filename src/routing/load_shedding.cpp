#include "routing/load_shedding.h"

#include <algorithm>

namespace gulltrestle::routing {

namespace {

// AdmissionPolicy::withSpareCapacity requires a replica with half of its capacity free.
constexpr double kSpareCapacityStretch = 0.5;

// A transaction queued for a slow primary is abandoned once this fraction of its remaining time at arrival
// has passed, if the queue ahead takes this fraction of the time still left. The decision is made some rounds
// early, because queued transactions are reconsidered only after that many rounds.
constexpr double kWaitedFraction = 0.5;
constexpr double kQueueFraction = 0.5;
constexpr double kRoundsBetweenChecks = 4;

// Queued transactions are abandoned while more than three quarters of the limit on open transactions are in
// use.
constexpr std::size_t kOpenLimitNumerator = 3;
constexpr std::size_t kOpenLimitDenominator = 4;

}  // namespace

// One router among many has at most one transaction in flight to a node, so that its own concurrency limit
// never takes effect. It sheds a random fraction of a group's reads, so that the remaining ones bring the
// latency down to the time that a transaction may spend at a node. Prevents the overload of a group.
// Trade-off: may shed needlessly where the latency isn't caused by queueing.
//
// Where degradation levels define what is rejected, this check complements them from the first level on,
// because free capacity that one router sees at a node is seen by all others, too.
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

// Applies only where the number of open transactions of clients is limited. Prevents a queue for a slow
// primary from taking the client connections of all other transactions. Trade-off: may abandon transactions
// just before the primary recovers.
bool LoadShedding::isQueueTooLong(const PendingTransaction& transaction) {
  if (state_.classOf(transaction).level < ReadLevel::linearizable) return false;
  if (state_.config.maxOpenTransactions == 0 || transaction.attemptsInFlight > 0) return false;
  const Transaction& request = transaction.request;
  const NodeState* primary = inputs_.selector.primaryOf(request.group);
  if (!primary || !inputs_.health.isHealthy(*primary)) return false;
  const Duration timePerTransaction =
      inputs_.latencies.usualLatency(request.type) *
      (inputs_.latencies.smoothedLatencyRatio(*primary) / inputs_.concurrency.inFlightLimit(*primary, 1));
  const Duration queueTime = timePerTransaction * static_cast<double>(queuedForPrimary_[request.group]++);
  return queueTime > (transaction.answerBy - state_.now) * kQueueFraction &&
         state_.now + state_.config.roundInterval * kRoundsBetweenChecks >=
             transaction.receivedAt + request.remainingTime * kWaitedFraction;
}

// Evicts the transactions with the lowest expected value per second of remaining time first. Limits the
// effect of any fault that keeps transactions queued for long. Trade-off: may evict transactions just before
// the fault ends.
std::vector<TxnId> LoadShedding::transactionsToEvict() const {
  struct QueuedTransaction {
    double valuePerSecond;
    TxnId id;
    auto operator<=>(const QueuedTransaction&) const = default;
  };
  std::size_t open = state_.pending.size();
  const auto isOverLimit = [&] {
    return open * kOpenLimitDenominator > state_.config.maxOpenTransactions * kOpenLimitNumerator;
  };
  if (state_.config.maxOpenTransactions == 0 || !isOverLimit()) return {};
  std::vector<QueuedTransaction> queued;
  for (const auto& [id, transaction] : state_.pending)
    if (transaction.attemptsInFlight == 0)
      queued.push_back(
          {state_.classOf(transaction).priorityWeight * inputs_.retries.expectedValueFraction(transaction) /
               (transaction.answerBy - state_.now).inSeconds(),
           id});
  std::sort(queued.begin(), queued.end());
  std::vector<TxnId> evicted;
  for (std::size_t i = 0; i < queued.size() && isOverLimit(); ++i, --open) evicted.push_back(queued[i].id);
  return evicted;
}

}  // namespace gulltrestle::routing
