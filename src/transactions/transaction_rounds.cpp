// The part of the transaction table that runs the router's rounds: delivers endpoint lists and other events
// to the router and carries out its decisions.
#include <algorithm>

#include "base/due_time.h"
#include "transactions/transaction_table.h"
#include "transactions/transaction_trace.h"

namespace gulltrestle::transactions {

namespace {

// A turn that starts more than this after the requested time means that the process was stalled and that
// latencies measured meanwhile include its own delay. Well above the scheduling delay on a loaded machine.
constexpr Duration kStallThreshold = Duration::millis(50);

}  // namespace

// --- Endpoint lists

void TransactionTable::onEndpointList(EndpointUpdateKind kind, std::vector<ResolvedEndpoint> list,
                                      std::uint64_t version) {
  if (executionGate_) {
    executionGate_->amendEndpointList(kind, version, list);
    exclusions_.applyTo(kind, list);
  }
  applyEndpointList(kind, list);
}

void TransactionTable::onEndpointListFailed() {
  enqueue([](Router& router) { router.onEndpointListFailed(); });
}

void TransactionTable::excludeNodes(std::set<NodeId> current, std::set<NodeId> upcoming, Instant startsAt) {
  applyChangedEndpoints(exclusions_.exclude(std::move(current), std::move(upcoming), startsAt, now_));
}

void TransactionTable::markDraining(const std::vector<NodeId>& nodes) {
  applyChangedEndpoints(exclusions_.markDraining(nodes));
}

void TransactionTable::applyChangedEndpoints(const std::vector<ResolvedEndpoint>& changed) {
  if (!changed.empty()) applyEndpointList(EndpointUpdateKind::delta, changed);
}

void TransactionTable::applyEndpointList(EndpointUpdateKind kind, const std::vector<ResolvedEndpoint>& list) {
  const std::vector<NodeId> moved = endpoints_.apply(kind, list);
  for (UpstreamTransport* transport : transports_) transport->onEndpointList(moved);
  std::vector<EndpointEntry> entries;
  for (const ResolvedEndpoint& endpoint : list) entries.push_back(endpoint.entry);
  enqueue([=](Router& router) { router.onEndpointList(kind, entries); });
}

// --- Turns

Instant TransactionTable::endTurn() {
  detectProcessStall();
  answerRejectedByAdmission();
  answerAwaitingGateAtShutdown();
  if (degradation_.isDecisionDue(now_)) updateDegradation();
  if (!events_.empty() || isWakeUpDue()) {
    if (wakeUpAt_ <= now_) wakeUpAt_ = Instant();
    router_.runRound(now_, *this, *this);
  }
  return nextDue();
}

Instant TransactionTable::nextDue() const {
  if (!events_.empty()) return now_;
  const Instant next = earlierDue(wakeUpAt_, degradation_.nextDue());
  const bool isShutdownPending = shutdownAnswerBy_ && now_ < *shutdownAnswerBy_;
  return isShutdownPending ? earlierDue(next, *shutdownAnswerBy_) : next;
}

void TransactionTable::detectProcessStall() {
  if (wakeUpAt_ != Instant() && now_ - wakeUpAt_ > kStallThreshold) degradation_.onProcessStalled(now_);
}

double TransactionTable::ownUtilization() const {
  const auto fraction = [](std::size_t used, std::size_t limit) {
    return limit > 0 ? static_cast<double>(used) / static_cast<double>(limit) : 0.0;
  };
  return std::max(fraction(openTransactions_.size(), maxOpenTransactions_),
                  fraction(messageBytes_, maxMessageBytes_));
}

void TransactionTable::updateDegradation() {
  for (auto& changed : degradation_.decide(now_, ownUtilization()))
    enqueue([changed = std::move(changed)](Router& router) {
      router.setDegradation(changed.group, changed.rules, changed.rulesBelow, changed.trialFraction);
    });
}

// Attempts that end immediately, through a decision made during the round, are events of the next round.
void TransactionTable::deliver(Router& router) {
  for (const RouterEvent& event : std::exchange(events_, {})) event(router);
}

// --- Decisions

void TransactionTable::sendAttempt(TxnId txn, const NodeId& node, Instant sendBy, Instant abandonAt) {
  OpenTransaction* open = findAwaitingAnswer(txn);
  if (!open) return;
  const AttemptId attemptId{txn, static_cast<unsigned>(open->attempts.size())};
  open->attempts.push_back({.node = node, .sentAt = now_, .sendBy = sendBy, .abandonAt = abandonAt});
  traceAttemptStarted(trace_, *open, now_);
  // Prevents attempts that the router decided before it received the exclusion: nothing at all may be sent to
  // the node. Trade-off: the transaction is routed again, and may be rejected if no other node can serve it.
  if (exclusions_.isExcluded(node)) return onAttemptEnded(attemptId, node, AttemptOutcome::notSent);
  open->transport->startAttempt(attemptId, node);
}

// Returns null if the attempt has ended.
const AttemptRecord* TransactionTable::attemptInFlight(AttemptId attemptId) const {
  const AttemptRecord* attempt = this->attempt(attemptId);
  return attempt && !attempt->hasEnded ? attempt : nullptr;
}

// The next two copy the node's name because the attempt may end, and its record be dropped, during the call.
void TransactionTable::withdraw(TxnId txn, unsigned number) {
  const AttemptId attemptId{txn, number};
  if (const AttemptRecord* attempt = attemptInFlight(attemptId))
    openTransactions_.at(txn).transport->withdrawAttempt(attemptId, NodeId(attempt->node));
}

void TransactionTable::cancel(TxnId txn, unsigned number) {
  const AttemptId attemptId{txn, number};
  if (const AttemptRecord* attempt = attemptInFlight(attemptId))
    openTransactions_.at(txn).transport->cancelAttempt(attemptId, NodeId(attempt->node));
}

void TransactionTable::reject(TxnId txn, Duration retryAfter) {
  unsigned level = 0;
  if (const OpenTransaction* open = findAwaitingAnswer(txn)) {
    degradation_.recordAbandoned(now_, *open);
    const bool isRejectedOnArrival = open->attempts.empty() && open->openedAt == now_;
    if (isRejectedOnArrival) level = degradation_.levelOf(open->group);
  }
  traceAnswer(txn, "rejected", level);
  finish(txn, [&](DownstreamHandler& handler, OwnerId owner) {
    handler.onTransactionRejected(owner, retryAfter, level);
  });
  withdrawAttempts(txn);
}

void TransactionTable::rollBack(TxnId txn) {
  if (const OpenTransaction* open = findAwaitingAnswer(txn)) degradation_.recordAbandoned(now_, *open);
  traceAnswer(txn, "rolled back");
  finish(txn, [&](DownstreamHandler& handler, OwnerId owner) { handler.onTransactionRolledBack(owner); });
  withdrawAttempts(txn);
}

void TransactionTable::sendHealthCheck(const NodeId& node) {
  UpstreamTransport* transport = healthCheckTransport_;
  if (!transport && !transports_.empty()) transport = transports_.front();
  if (!transport || exclusions_.isExcluded(node)) return onAttemptEnded({}, node, AttemptOutcome::notSent);
  transport->startAttempt({}, node);
}

void TransactionTable::wakeAfter(Duration delay) {
  const Instant requested = now_ + delay;
  if (wakeUpAt_ == Instant() || wakeUpAt_ <= now_ || requested < wakeUpAt_) wakeUpAt_ = requested;
}

void TransactionTable::subscribeToEndpointList() { pollEndpointList_(); }

void TransactionTable::forgetNode(const NodeId& node) {
  if (!endpoints_.forget(node)) return;
  for (UpstreamTransport* transport : transports_) transport->forgetNode(node);
}

}  // namespace gulltrestle::transactions
