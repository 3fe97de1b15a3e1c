#include "routing/dispatcher.h"

#include <algorithm>
#include <utility>

namespace gulltrestle::routing {

namespace {

// A round that starts this long after its requested time shows that the process or its machine was paused.
constexpr Duration kDelayedRound = Duration::millis(50);

// Rounds reserved before a deadline, so that the final answer arrives in time.
constexpr double kFinalAnswerRounds = 2;
// A queued transaction is reconsidered after this many rounds, because capacity may become free without an
// event.
constexpr double kQueuedRecheckRounds = 4;
// While transactions are pending, the next round is requested within this many round intervals, because a
// pause of the process is detected by late rounds.
constexpr double kMaxRoundsBetween = 10;

// Fraction of the longest retry-after allowed.
constexpr double kRetryAfterFraction = 0.5;

}  // namespace

bool Dispatcher::startRound() {
  const bool isDelayed = requestedWakeAt_ != Instant() && state_.now - requestedWakeAt_ > kDelayedRound;
  if (state_.now >= requestedWakeAt_) requestedWakeAt_ = Instant();
  return isDelayed;
}

void Dispatcher::scheduleRoundBy(Instant time) { nextRoundAt_ = std::min(nextRoundAt_, time); }

void Dispatcher::decide() {
  policies_.shedding.startRound();
  nextRoundAt_ = state_.now + state_.config.roundInterval * kMaxRoundsBetween;
  for (const RankedTransaction& ranked : rankPending()) decideOn(*ranked.transaction);
  for (const TxnId id : policies_.shedding.transactionsToEvict()) abandon(state_.pending.at(id));
  requestNextRound();
}

// Orders transactions by expected value per unit of service time, highest first, so that the least valuable
// ones are shed. As the probability of an answer in time falls with the wait, the newest transactions of a
// class are first, and few answers are late in an overload. Transactions that wait for an answer are last.
std::vector<Dispatcher::RankedTransaction> Dispatcher::rankPending() {
  std::vector<RankedTransaction> ranked;
  for (auto& [id, transaction] : state_.pending) {
    if (transaction.isStreaming) continue;
    const bool needsAttempt =
        transaction.attemptsInFlight == 0 || state_.now > policies_.retries.hedgeAt(transaction);
    const double priority = needsAttempt
                                ? state_.classOf(transaction).priorityWeight *
                                      policies_.retries.expectedValueFraction(transaction) /
                                      policies_.latencies.usualLatency(transaction.request.type).inSeconds()
                                : 0;
    ranked.push_back({priority, &transaction});
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const auto& left, const auto& right) { return left.priority > right.priority; });
  return ranked;
}

void Dispatcher::decideOn(PendingTransaction& transaction) {
  const Instant lastAt = lastDecisionAt(transaction);
  const bool isNew = !std::exchange(transaction.isAdmissionDecided, true);
  if (state_.now >= lastAt ||
      (transaction.attemptsInFlight == 0 && policies_.retries.isHopeless(transaction)) ||
      (isNew && policies_.shedding.isShed(transaction)) || policies_.shedding.isQueueTooLong(transaction)) {
    abandon(transaction);
    return;
  }
  scheduleRoundBy(lastAt);
  const bool isHedge = transaction.attemptsInFlight > 0;
  if (isHedge && !isHedgeDue(transaction)) return;
  NodeState* node = policies_.selector.select(transaction);
  if (node && !(isHedge && transaction.wasAttemptedAt(*node))) send(transaction, *node);
  if (!node && !isHedge) keepQueued(transaction);
}

Instant Dispatcher::lastDecisionAt(const PendingTransaction& transaction) const {
  const Transaction& request = transaction.request;
  const Duration longestHold = request.maxQueueTime && transaction.attemptsInFlight == 0
                                   ? *request.maxQueueTime
                                   : request.remainingTime;
  return std::min(transaction.receivedAt + longestHold, transaction.answerBy) -
         state_.config.roundInterval * kFinalAnswerRounds;
}

// A read whose attempt has exceeded the silence timeout gets one hedge at another node.
bool Dispatcher::isHedgeDue(const PendingTransaction& transaction) {
  if (!policies_.retries.mayHedge(transaction)) return false;
  const Instant hedgeAt = policies_.retries.hedgeAt(transaction);
  if (state_.now > hedgeAt) return true;
  scheduleRoundBy(hedgeAt + state_.config.roundInterval);
  return false;
}

void Dispatcher::send(PendingTransaction& transaction, NodeState& node) {
  const Transaction& request = transaction.request;
  if (!policies_.health.isHealthy(node)) node.lastTrialAt = state_.now;
  policies_.slowStart.recordSent(node, request.type);
  node.inFlightAttempts.push_back({request.id, transaction.attempts++, request.type, state_.now,
                                   state_.requiredPosition(transaction), request.session,
                                   policies_.validity.basisOf(transaction, node)});
  ++transaction.attemptsInFlight;
  transaction.lastSentAt = state_.now;
  transaction.attemptedNodes.push_back(&node);
  state_.sink->sendAttempt(request.id, node.endpoint.node, policies_.retries.sendBy(transaction, node),
                           transaction.answerBy);
}

// Schedules the next decision, and sends health checks for what the transaction waits for: the position of a
// replica, or the primary.
void Dispatcher::keepQueued(const PendingTransaction& transaction) {
  const Duration round = state_.config.roundInterval;
  scheduleRoundBy(state_.now + round * kQueuedRecheckRounds);
  scheduleRoundBy(std::max(policies_.consistency.replicaWaitEnd(transaction), state_.now + round));
  const ReadLevel level = state_.classOf(transaction).level;
  GroupState& group = state_.groupOf(transaction.request.group);
  const NodeState* primary = policies_.selector.primaryFor(transaction);
  if (level == ReadLevel::session || level == ReadLevel::bounded)
    policies_.health.checkPositions(group, primary);
  if (primary && policies_.health.isHealthy(*primary)) return;
  for (NodeState* node : group.nodes)
    if (policies_.health.isSearchDue(*node)) policies_.health.sendHealthCheck(*node);
}

// Ends the transaction without a result and removes it.
void Dispatcher::abandon(const PendingTransaction& transaction) {
  const TxnId id = transaction.request.id;
  const RoutingConfig& config = state_.config;
  policies_.retries.recordAbandoned(transaction);
  if (policies_.retries.isSafeToReject(transaction))
    state_.sink->reject(id,
                        config.retryAfterAllowed ? config.maxRetryAfter * kRetryAfterFraction : Duration());
  else
    state_.sink->rollBack(id);
  cancelAttempts(transaction);
  state_.pending.erase(id);
}

void Dispatcher::cancelAttempts(const PendingTransaction& transaction) {
  if (!state_.config.cancelAllowed || state_.classOf(transaction).effect != Effect::idempotent ||
      transaction.attemptsInFlight == 0)
    return;
  for (const NodeState* node : state_.groupOf(transaction.request.group).nodes)
    for (const InFlightAttempt& attempt : node->inFlightAttempts)
      if (attempt.transaction == transaction.request.id)
        state_.sink->cancel(attempt.transaction, attempt.number);
}

void Dispatcher::requestNextRound() {
  const bool isRequested = requestedWakeAt_ > state_.now && requestedWakeAt_ <= nextRoundAt_;
  if (state_.pending.empty() || isRequested) return;
  requestedWakeAt_ = nextRoundAt_;
  state_.sink->wakeAfter(nextRoundAt_ - state_.now);
}

}  // namespace gulltrestle::routing
