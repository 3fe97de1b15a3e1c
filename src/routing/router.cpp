// Passes the events of a router to the modules of this folder, in rounds: first the events that arrived since
// the last round, then the decisions (dispatcher.h).
//
// The ordinary path (docs/design.md): a read is sent to a random replica among those whose known position has
// reached the position that the read requires. The weight of a replica is inversely proportional to
// smoothed latency x (1 + load). If there is no such replica, the read is queued while the positions of the
// group are checked, then sent to the primary. Writes and linearizable reads are sent to the known primary.

#include "routing/router.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "routing/concurrency_limit.h"
#include "routing/dispatcher.h"
#include "routing/endpoint_list.h"
#include "routing/error_attribution.h"
#include "routing/health_tracking.h"
#include "routing/latency_statistics.h"
#include "routing/load_shedding.h"
#include "routing/read_consistency.h"
#include "routing/replica_selection.h"
#include "routing/retry_policy.h"
#include "routing/routing_state.h"
#include "routing/selection_validity.h"
#include "routing/slow_start.h"

namespace gulltrestle {

using routing::ConcurrencyLimit;
using routing::Dispatcher;
using routing::EndedAttempt;
using routing::EndpointList;
using routing::ErrorAttribution;
using routing::HealthTracker;
using routing::InFlightAttempt;
using routing::LatencyStatistics;
using routing::LoadShedding;
using routing::NodeState;
using routing::PendingTransaction;
using routing::ReadConsistency;
using routing::ReplicaSelector;
using routing::RetryPolicy;
using routing::RoutingState;
using routing::SelectionValidity;
using routing::SlowStart;

namespace {

// An unanswered attempt counts as late after this many times the usual latency.
constexpr double kLateFactor = 3;

// One service provides the endpoint list to all routers: the backoff prevents a storm of polls after a
// failure.
constexpr Duration kListPollBackoff = Duration::seconds(1);
// Longer than any router runs: an endpoint list is polled again only if the subscription fails.
constexpr Duration kListPollDisabled = Duration::seconds(1e9);

}  // namespace

Duration RoutingConfig::longestDeadline() const {
  Duration longest;
  for (const TransactionClass& transactionClass : transactionClasses)
    longest = std::max(longest, transactionClass.deadline);
  return longest;
}

// The modules, each of which depends only on those before it, and the functions that pass one event to
// several of them.
struct Router::State {
  State(RoutingConfig config, std::uint64_t seed)
      : shared(std::move(config), seed),
        latencies(shared),
        concurrency(shared, latencies),
        slowStart(shared, latencies),
        health(shared, latencies),
        errors(shared),
        consistency(shared),
        validity(shared),
        retries(shared, latencies),
        selector(shared, {latencies, concurrency, slowStart, health, consistency}),
        shedding(shared, {latencies, concurrency, health, retries, selector}),
        endpoints(shared, latencies),
        dispatcher(shared,
                   {latencies, slowStart, health, consistency, validity, retries, selector, shedding}) {}

  RoutingState shared;
  LatencyStatistics latencies;
  ConcurrencyLimit concurrency;
  SlowStart slowStart;
  HealthTracker health;
  ErrorAttribution errors;
  ReadConsistency consistency;
  SelectionValidity validity;
  RetryPolicy retries;
  ReplicaSelector selector;
  LoadShedding shedding;
  EndpointList endpoints;
  Dispatcher dispatcher;
  Instant nextListPollAt;

  void startRound(Instant now, DecisionSink& sink);
  void receive(const Transaction& request);
  void recordReport(NodeState& node, const LoadReport& report);
  std::optional<InFlightAttempt> takeInFlight(NodeState& node, TxnId transaction, unsigned attempt);
  EndedAttempt endedAttempt(const InFlightAttempt& sent, AttemptOutcome outcome, Duration latency) const;
  void recordLatency(NodeState& node, const EndedAttempt& attempt);
  void updateTransaction(PendingTransaction& transaction, const NodeState& node, const EndedAttempt& attempt,
                         bool isOver);
};

// A delayed round is a fault of the router, which would measure its own delay: no node counts as
// unresponsive.
void Router::State::startRound(Instant now, DecisionSink& sink) {
  shared.now = now;
  shared.sink = &sink;
  latencies.startRound();
  shared.isRoundDelayed = dispatcher.startRound();
  if (shared.isRoundDelayed)
    for (auto& [id, node] : shared.nodes) node.lastResponseAt = now;
}

void Router::State::receive(const Transaction& request) {
  const TransactionClass& type = shared.config.transactionClasses[request.type];
  PendingTransaction& transaction = shared.pending[request.id];
  transaction.request = request;
  transaction.receivedAt = shared.now;
  transaction.answerBy = shared.answerDue(shared.now + request.remainingTime);
  const Duration extraLatencyTarget = request.expectedServiceTime
                                          ? *request.expectedServiceTime * type.latencyTargetPerServiceTime
                                          : Duration();
  // Earlier attempts reported by the front end count as attempts of this request: if one of them may have
  // run, the transaction may have run.
  const PriorAttempts& earlier = request.priorAttempts;
  transaction.firstRequestAt = shared.now - (earlier.firstAttemptAge ? *earlier.firstAttemptAge
                                                                     : retries.estimateEarlierWait(request));
  if (earlier.ambiguousAttemptAge) transaction.mayHaveRunAt = shared.now - *earlier.ambiguousAttemptAge;
  for (const NodeId& id : earlier.attemptedNodes)
    if (const auto found = shared.nodes.find(id); found != shared.nodes.end())
      transaction.attemptedNodes.push_back(&found->second);
  transaction.latencyTargetAt =
      transaction.firstRequestAt + std::min(type.latencyTarget + extraLatencyTarget, type.deadline);
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
  const InFlightAttempt* found = node.findInFlight(transaction, attempt);
  if (!found) return std::nullopt;
  const InFlightAttempt taken = *found;
  node.inFlightAttempts.erase(node.inFlightAttempts.begin() + (found - node.inFlightAttempts.data()));
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

void Router::State::updateTransaction(PendingTransaction& transaction, const NodeState& node,
                                      const EndedAttempt& attempt, bool isOver) {
  if (transaction.attemptsInFlight > 0) --transaction.attemptsInFlight;
  if (attempt.mayHaveRun() && transaction.mayHaveRunAt == Instant())
    transaction.mayHaveRunAt = attempt.sent.sentAt;
  if (attempt.isCommitted()) errors.recordCommit(node, transaction);
  if (!isOver && !attempt.isCommitted()) return;
  dispatcher.cancelAttempts(transaction);
  shared.pending.erase(attempt.sent.transaction);
}

Router::Router(RoutingConfig config, std::uint64_t seed)
    : state_(std::make_unique<State>(std::move(config), seed)) {}
Router::~Router() = default;

void Router::runRound(Instant now, EventSource& events, DecisionSink& sink) {
  state_->startRound(now, sink);
  events.deliver(*this);
  state_->validity.withdrawInvalid();
  if (state_->shared.config.endpointListIsPolled && now >= state_->nextListPollAt) {
    state_->nextListPollAt = now + kListPollDisabled;
    sink.subscribeToEndpointList();
  }
  state_->dispatcher.decide();
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

void Router::onClientDisconnected(TxnId transaction) {
  auto& pending = state_->shared.pending;
  const auto found = pending.find(transaction);
  if (found == pending.end()) return;
  state_->dispatcher.cancelAttempts(found->second);
  pending.erase(found);
}

// Prevents transactions that are still pending when the process is killed: their clients would get no answer,
// and could not tell whether they have run. Trade-off: transactions with a longer timeout get less time.
void Router::onShutdown(Instant answerBy) {
  state_->shared.shutdownAnswerBy = answerBy;
  for (auto& [id, transaction] : state_->shared.pending)
    transaction.answerBy = state_->shared.answerDue(transaction.answerBy);
}

void Router::setDegradation(GroupId group, const DegradationRules& level, const DegradationRules& relaxed,
                            double relaxedFraction) {
  auto& groups = state_->shared.groups;
  const auto found = groups.find(group);
  if (found == groups.end()) return;
  found->second.degradation = level;
  found->second.relaxedDegradation = relaxed;
  found->second.relaxedDegradationFraction = relaxedFraction;
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
  const auto foundPending = state.shared.pending.find(transaction);
  PendingTransaction* pending = foundPending == state.shared.pending.end() ? nullptr : &foundPending->second;
  state.consistency.recordAnswer(nodeState, ended, answer);
  state.recordReport(nodeState, report);
  state.consistency.recordOutcome(nodeState, ended, answer);
  state.recordLatency(nodeState, ended);
  state.health.recordOutcome(nodeState, ended);
  if (outcome == AttemptOutcome::error) state.errors.recordError(nodeState, pending);
  if (pending) state.updateTransaction(*pending, nodeState, ended, isOver);
}

void Router::onHealthCheckEnded(const NodeId& node, AttemptOutcome outcome, const LoadReport& report) {
  const auto found = state_->shared.nodes.find(node);
  if (found == state_->shared.nodes.end()) return;
  found->second.isHealthCheckInFlight = false;
  if (outcome == AttemptOutcome::committed) state_->recordReport(found->second, report);
}

// The node may have crashed and lost the end of its log, so that the known applied position is no longer
// valid. Prevents stale reads until the endpoint list reports the restart. Trade-off: discards a valid
// position if only the connection failed.
void Router::onNodeDisconnected(const NodeId& node) {
  const auto found = state_->shared.nodes.find(node);
  if (found == state_->shared.nodes.end()) return;
  found->second.appliedPosition = Instant();
  state_->shared.changedGroups.insert(found->second.endpoint.group);
}

bool Router::isSelectionValid(TxnId transaction, unsigned attempt, const NodeId& node) const {
  const auto found = state_->shared.nodes.find(node);
  if (found == state_->shared.nodes.end()) return false;
  const InFlightAttempt* sent = found->second.findInFlight(transaction, attempt);
  return sent && state_->validity.isValid(found->second, *sent);
}

bool Router::isReadAtPrimary(TxnId transaction, unsigned attempt, const NodeId& node) const {
  const auto found = state_->shared.nodes.find(node);
  if (found == state_->shared.nodes.end()) return false;
  const InFlightAttempt* sent = found->second.findInFlight(transaction, attempt);
  return sent && sent->basis == routing::SelectionBasis::primaryForRead;
}

}  // namespace gulltrestle
