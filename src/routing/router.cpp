// Runs the rounds of a router: takes the events that came in since the last one, then decides in order of
// value on what waits. What is decided, and by which figures, stands in the other modules of this folder.
//
// The ordinary path (docs/design.md): among the replicas whose known position has reached a read's
// requirement one is drawn at random, with a weight that falls with smoothed latency x (1 + load). Without
// any the read is held while the group's positions are checked, then goes to the primary. Writes and
// linearizable reads go to the known primary.

#include "routing/router.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "routing/concurrency_limit.h"
#include "routing/endpoint_list.h"
#include "routing/error_attribution.h"
#include "routing/health_tracking.h"
#include "routing/latency_statistics.h"
#include "routing/load_shedding.h"
#include "routing/read_consistency.h"
#include "routing/replica_selection.h"
#include "routing/retry_policy.h"
#include "routing/routing_state.h"
#include "routing/slow_start.h"

namespace gulltrestle {

using namespace routing;

namespace {

// A round that comes so long after it was asked for shows that the process or its machine was paused.
constexpr Duration kDelayedRound = Duration::millis(50);

// The last rounds before a deadline: the final answer must be there in time.
constexpr double kFinalAnswerRounds = 2;
// A held transaction is looked at again after so many rounds: capacity may come without an event.
constexpr double kHeldLookRounds = 4;
// While anything is pending the next round is asked for within so many, as a delay shows by late rounds.
constexpr double kMostRoundsBetween = 10;

// An unanswered attempt counts as late after so many times the usual latency.
constexpr double kLateFactor = 3;

// Of the longest retry-after allowed.
constexpr double kRetryAfterFraction = 0.5;

// One service serves the endpoint list to all routers: no storm of polls when one fails.
constexpr Duration kListPollBackoff = Duration::seconds(1);
// Longer than any router runs: a list that is followed isn't polled again unless that fails.
constexpr Duration kNoListPoll = Duration::seconds(1e9);

}  // namespace

struct Router::State {
  struct RankedTransaction {
    double priority;
    PendingTransaction* transaction;
  };

  State(RoutingConfig config, std::uint64_t seed)
      : shared(std::move(config), seed),
        latencies(shared),
        concurrency(shared, latencies),
        slowStart(shared, latencies),
        health(shared, latencies),
        errors(shared),
        consistency(shared),
        retries(shared, latencies),
        selector(shared, {latencies, concurrency, slowStart, health, consistency}),
        shedding(shared, {latencies, concurrency, health, retries, selector}),
        endpoints(shared, latencies) {}

  RoutingState shared;
  LatencyStatistics latencies;
  ConcurrencyLimit concurrency;
  SlowStart slowStart;
  HealthTracker health;
  ErrorAttribution errors;
  ReadConsistency consistency;
  RetryPolicy retries;
  ReplicaSelector selector;
  LoadShedding shedding;
  EndpointList endpoints;
  Instant requestedWakeAt;  // the round last asked for; never: none is
  Instant nextRoundAt;      // while deciding: the earliest time that any pending transaction needs
  Instant nextListPollAt;

  // Deciding, in the order of the calls.
  void decide();
  std::vector<RankedTransaction> rankPending();
  void decideOn(PendingTransaction& transaction);
  Instant lastDecisionAt(const PendingTransaction& transaction) const;
  bool isHedgeDue(const PendingTransaction& transaction);
  void send(PendingTransaction& transaction, NodeState& node);
  void hold(const PendingTransaction& transaction);
  void abandon(const PendingTransaction& transaction);
  void cancelAttempts(const PendingTransaction& transaction);
  void needRoundBy(Instant time) { nextRoundAt = std::min(nextRoundAt, time); }
  void requestNextRound();

  // Events.
  void startRound(Instant now, DecisionSink& sink);
  void receive(const Transaction& request);
  void recordReport(NodeState& node, const LoadReport& report);
  std::optional<InFlightAttempt> takeInFlight(NodeState& node, TxnId transaction, unsigned attempt);
  EndedAttempt endedAttempt(const InFlightAttempt& sent, AttemptOutcome outcome, Duration latency) const;
  void recordLatency(NodeState& node, const EndedAttempt& attempt);
  void settle(PendingTransaction& transaction, const NodeState& node, const EndedAttempt& attempt,
              bool isOver);
};

void Router::State::decide() {
  shedding.startRound();
  nextRoundAt = shared.now + shared.config.roundInterval * kMostRoundsBetween;
  for (const RankedTransaction& ranked : rankPending()) decideOn(*ranked.transaction);
  for (const TxnId id : shedding.transactionsToEvict()) abandon(shared.pending.at(id));
  requestNextRound();
}

// Most value to be expected for work first: what is shed is the least. As the odds fall with the wait, the
// newest of a class come first, and an overload makes few answers late. What waits for an answer comes last.
std::vector<Router::State::RankedTransaction> Router::State::rankPending() {
  std::vector<RankedTransaction> ranked;
  for (auto& [id, transaction] : shared.pending) {
    if (transaction.isStreaming) continue;
    const bool needsAttempt = transaction.attemptsInFlight == 0 || shared.now > retries.hedgeAt(transaction);
    const double priority = needsAttempt ? shared.classOf(transaction).priorityWeight *
                                               retries.expectedValueFraction(transaction) /
                                               latencies.usualLatency(transaction.request.type).inSeconds()
                                         : 0;
    ranked.push_back({priority, &transaction});
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const auto& left, const auto& right) { return left.priority > right.priority; });
  return ranked;
}

void Router::State::decideOn(PendingTransaction& transaction) {
  const Instant lastAt = lastDecisionAt(transaction);
  const bool isNew = !std::exchange(transaction.isAdmissionDecided, true);
  if (shared.now >= lastAt || (transaction.attemptsInFlight == 0 && retries.isHopeless(transaction)) ||
      (isNew && shedding.isShed(transaction)) || shedding.isQueueTooLong(transaction)) {
    abandon(transaction);
    return;
  }
  needRoundBy(lastAt);
  const bool isHedge = transaction.attemptsInFlight > 0;
  if (isHedge && !isHedgeDue(transaction)) return;
  NodeState* node = selector.select(transaction);
  if (node && !(isHedge && transaction.wasAttemptedAt(*node))) send(transaction, *node);
  if (!node && !isHedge) hold(transaction);
}

Instant Router::State::lastDecisionAt(const PendingTransaction& transaction) const {
  const Transaction& request = transaction.request;
  const Duration longestHold =
      request.maxHold && transaction.attemptsInFlight == 0 ? *request.maxHold : request.remainingTime;
  return std::min(transaction.receivedAt + longestHold, transaction.answerBy) -
         shared.config.roundInterval * kFinalAnswerRounds;
}

// A read whose node has been silent for long gets one more attempt elsewhere, once.
bool Router::State::isHedgeDue(const PendingTransaction& transaction) {
  if (!retries.mayHedge(transaction)) return false;
  const Instant hedgeAt = retries.hedgeAt(transaction);
  if (shared.now > hedgeAt) return true;
  needRoundBy(hedgeAt + shared.config.roundInterval);
  return false;
}

void Router::State::send(PendingTransaction& transaction, NodeState& node) {
  const Transaction& request = transaction.request;
  if (!health.isHealthy(node)) node.lastTrialAt = shared.now;
  slowStart.recordSent(node, request.type);
  node.inFlightAttempts.push_back({request.id, transaction.attempts++, request.type, shared.now,
                                   shared.requiredPosition(transaction), request.session});
  ++transaction.attemptsInFlight;
  transaction.lastSentAt = shared.now;
  transaction.attemptedNodes.push_back(&node);
  shared.sink->sendAttempt(request.id, node.endpoint.node, retries.sendBy(transaction, node),
                           transaction.answerBy);
}

// Checks for what the transaction waits for: a replica's position, or the primary.
void Router::State::hold(const PendingTransaction& transaction) {
  const Duration round = shared.config.roundInterval;
  needRoundBy(shared.now + round * kHeldLookRounds);
  needRoundBy(std::max(consistency.holdEnd(transaction), shared.now + round));
  const ReadLevel level = shared.classOf(transaction).level;
  GroupState& group = shared.groupOf(transaction.request.group);
  const NodeState* primary = selector.primaryOf(transaction.request.group);
  if (level == ReadLevel::session || level == ReadLevel::bounded) health.checkPositions(group, primary);
  if (primary && health.isHealthy(*primary)) return;
  for (NodeState* node : group.nodes)
    if (health.isSearchDue(*node)) health.sendHealthCheck(*node);
}

// Ends the transaction without a result, and forgets it.
void Router::State::abandon(const PendingTransaction& transaction) {
  const TxnId id = transaction.request.id;
  const RoutingConfig& config = shared.config;
  retries.recordAbandoned(transaction);
  if (retries.isSafeToReject(transaction))
    shared.sink->reject(id,
                        config.retryAfterAllowed ? config.maxRetryAfter * kRetryAfterFraction : Duration());
  else
    shared.sink->rollBack(id);
  cancelAttempts(transaction);
  shared.pending.erase(id);
}

void Router::State::cancelAttempts(const PendingTransaction& transaction) {
  if (!shared.config.cancelAllowed || shared.classOf(transaction).effect != Effect::idempotent ||
      transaction.attemptsInFlight == 0)
    return;
  for (const NodeState* node : shared.groupOf(transaction.request.group).nodes)
    for (const InFlightAttempt& attempt : node->inFlightAttempts)
      if (attempt.transaction == transaction.request.id)
        shared.sink->cancel(attempt.transaction, attempt.number);
}

void Router::State::requestNextRound() {
  const bool isRequested = requestedWakeAt > shared.now && requestedWakeAt <= nextRoundAt;
  if (shared.pending.empty() || isRequested) return;
  requestedWakeAt = nextRoundAt;
  shared.sink->wakeAfter(nextRoundAt - shared.now);
}

// A delayed round is the router's own fault, and what it measures is its own delay: no node counts as silent.
void Router::State::startRound(Instant now, DecisionSink& sink) {
  shared.now = now;
  shared.sink = &sink;
  latencies.startRound();
  shared.isRoundDelayed = requestedWakeAt != Instant() && now - requestedWakeAt > kDelayedRound;
  if (shared.isRoundDelayed)
    for (auto& [id, node] : shared.nodes) node.lastHeardAt = now;
  if (now >= requestedWakeAt) requestedWakeAt = Instant();
}

void Router::State::receive(const Transaction& request) {
  const TransactionClass& type = shared.config.transactionClasses[request.type];
  PendingTransaction& transaction = shared.pending[request.id];
  transaction.request = request;
  transaction.receivedAt = shared.now;
  transaction.answerBy = shared.now + request.remainingTime;
  const Duration extraForWork =
      request.expectedWork ? *request.expectedWork * type.latencyTargetPerWork : Duration();
  // Earlier tries that the front knows of count as attempts of this one: what may have run then may have run.
  const PriorAttempts& earlier = request.priorAttempts;
  transaction.firstTryAt =
      shared.now - (earlier.firstAttemptAge ? *earlier.firstAttemptAge : retries.timeInEarlierTries(request));
  if (earlier.ambiguousAttemptAge) transaction.mayHaveRunAt = shared.now - *earlier.ambiguousAttemptAge;
  for (const NodeId& id : earlier.attemptedNodes)
    if (const auto found = shared.nodes.find(id); found != shared.nodes.end())
      transaction.attemptedNodes.push_back(&found->second);
  transaction.latencyTargetAt =
      transaction.firstTryAt + std::min(type.latencyTarget + extraForWork, type.deadline);
  if (type.level == ReadLevel::session) transaction.requiredPosition = consistency.requiredBySession(request);
  slowStart.recordArrival(request.type);
}

void Router::State::recordReport(NodeState& node, const LoadReport& report) {
  if (!report.position) return;
  consistency.recordReport(node, report);
  concurrency.recordLoadReport(node, report);
}

std::optional<InFlightAttempt> Router::State::takeInFlight(NodeState& node, TxnId transaction,
                                                           unsigned attempt) {
  std::vector<InFlightAttempt>& attempts = node.inFlightAttempts;
  const auto found = std::find_if(attempts.begin(), attempts.end(), [&](const InFlightAttempt& other) {
    return other.transaction == transaction && other.number == attempt;
  });
  if (found == attempts.end()) return std::nullopt;
  const InFlightAttempt taken = *found;
  attempts.erase(found);
  return taken;
}

EndedAttempt Router::State::endedAttempt(const InFlightAttempt& sent, AttemptOutcome outcome,
                                         Duration latency) const {
  EndedAttempt ended{sent, outcome, latency, false};
  ended.isLate = ended.isUnanswered() &&
                 shared.now - sent.sentAt > latencies.usualLatency(sent.transactionClass) * kLateFactor;
  return ended;
}

void Router::State::recordLatency(NodeState& node, const EndedAttempt& attempt) {
  if (shared.isRoundDelayed) return;
  const std::size_t type = attempt.sent.transactionClass;
  const bool isCommitted = attempt.isCommitted();
  if (isCommitted || attempt.isLate) latencies.recordLatency(type, attempt.latency);
  if (isCommitted) {
    concurrency.recordAnswer(node, attempt.sent);
    latencies.recordAnswer(node, type, attempt.latency);
  }
  if (isCommitted || attempt.outcome == AttemptOutcome::rejected)
    latencies.recordPressure(
        node, isCommitted ? attempt.latency / shared.config.transactionClasses[type].latencyTarget : 1);
}

void Router::State::settle(PendingTransaction& transaction, const NodeState& node,
                           const EndedAttempt& attempt, bool isOver) {
  if (transaction.attemptsInFlight > 0) --transaction.attemptsInFlight;
  if (attempt.mayHaveRun() && transaction.mayHaveRunAt == Instant())
    transaction.mayHaveRunAt = attempt.sent.sentAt;
  if (attempt.isCommitted()) errors.recordCommit(node, transaction);
  if (!isOver && !attempt.isCommitted()) return;
  cancelAttempts(transaction);
  shared.pending.erase(attempt.sent.transaction);
}

Router::Router(RoutingConfig config, std::uint64_t seed)
    : state_(std::make_unique<State>(std::move(config), seed)) {}
Router::~Router() = default;

void Router::runRound(Instant now, EventSource& events, DecisionSink& sink) {
  state_->startRound(now, sink);
  events.deliver(*this);
  if (state_->shared.config.endpointListIsPolled && now >= state_->nextListPollAt) {
    state_->nextListPollAt = now + kNoListPoll;
    sink.followEndpointList();
  }
  state_->decide();
}

void Router::onEndpointList(EndpointUpdateKind kind, const std::vector<EndpointEntry>& entries) {
  state_->endpoints.apply(kind, entries);
}

void Router::onEndpointListFailed() {
  if (!state_->shared.config.endpointListIsPolled) return;
  state_->nextListPollAt = state_->shared.now + kListPollBackoff;
  state_->shared.sink->wakeAfter(kListPollBackoff);
}

void Router::onTransaction(const Transaction& transaction) { state_->receive(transaction); }

void Router::onClientLeft(TxnId transaction) {
  auto& pending = state_->shared.pending;
  const auto found = pending.find(transaction);
  if (found == pending.end()) return;
  state_->cancelAttempts(found->second);
  pending.erase(found);
}

void Router::setDegradation(GroupId group, const DegradationRules& level, const DegradationRules& below,
                            double trial) {
  auto& groups = state_->shared.groups;
  const auto found = groups.find(group);
  if (found == groups.end()) return;
  found->second.degradation = level;
  found->second.relaxedDegradation = below;
  found->second.relaxedDegradationFraction = trial;
}

void Router::onStreamStarted(TxnId transaction) {
  auto& pending = state_->shared.pending;
  if (const auto found = pending.find(transaction); found != pending.end()) found->second.isStreaming = true;
}

void Router::onAttemptEnded(TxnId transaction, unsigned attempt, const NodeId& node, AttemptOutcome outcome,
                            bool isOver, Duration latency, const LoadReport& answer,
                            const LoadReport& report) {
  State& state = *state_;
  const auto found = state.shared.nodes.find(node);
  if (found == state.shared.nodes.end()) return;
  NodeState& nodeState = found->second;
  const auto sent = state.takeInFlight(nodeState, transaction, attempt);
  if (!sent) return;
  const EndedAttempt ended = state.endedAttempt(*sent, outcome, latency);
  const auto waiting = state.shared.pending.find(transaction);
  PendingTransaction* pending = waiting == state.shared.pending.end() ? nullptr : &waiting->second;
  state.consistency.recordAnswer(nodeState, ended, answer);
  state.recordReport(nodeState, report);
  state.consistency.recordOutcome(nodeState, ended, answer);
  state.recordLatency(nodeState, ended);
  state.health.recordOutcome(nodeState, ended);
  if (outcome == AttemptOutcome::error) state.errors.recordError(nodeState, pending);
  if (pending) state.settle(*pending, nodeState, ended, isOver);
}

void Router::onHealthCheckEnded(const NodeId& node, AttemptOutcome outcome, const LoadReport& report) {
  const auto found = state_->shared.nodes.find(node);
  if (found == state_->shared.nodes.end()) return;
  found->second.isHealthCheckInFlight = false;
  if (outcome == AttemptOutcome::committed) state_->recordReport(found->second, report);
}

// It may have been down, and have lost the end of its log: what was known to be applied may be gone. Guards
// against stale reads until the list tells of its start. Hurts where it was a link that failed.
void Router::onNodeDisconnected(const NodeId& node) {
  const auto found = state_->shared.nodes.find(node);
  if (found != state_->shared.nodes.end()) found->second.appliedPosition = Instant();
}

}  // namespace gulltrestle
