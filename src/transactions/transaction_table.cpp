#include "transactions/transaction_table.h"

#include <algorithm>
#include <string>

#include "transactions/transaction_trace.h"

namespace gulltrestle::transactions {

namespace {

// The ids of transactions that have ended may use this part of the limit on the messages of open ones.
constexpr std::size_t kExecutionHistoryDivisor = 4;

// Time for the decision on a transaction that comes when its answer is due already: it is made in this turn.
constexpr Duration kMinDecisionTime = Duration::millis(10);

}  // namespace

TransactionTable::TransactionTable(const RoutingConfig& config, std::uint64_t seed,
                                   std::size_t maxMessageBytes, std::function<void()> pollEndpointList)
    : router_(config, seed),
      maxMessageBytes_(maxMessageBytes),
      maxOpenTransactions_(config.maxOpenTransactions),
      pollEndpointList_(std::move(pollEndpointList)),
      transactionClasses_(config.transactionClasses),
      endpoints_(!config.onlyDrainingExcludes),
      executionHistory_(maxMessageBytes / kExecutionHistoryDivisor) {}

// Starts due exclusions before any event is handled: after a stall, the process must not send attempts based
// on outdated exclusions.
void TransactionTable::advanceTo(Instant now) {
  now_ = std::max(now_, now);
  executionHistory_.dropExpired(now_);
  applyChangedEndpoints(exclusions_.advanceTo(now_));
}

void TransactionTable::shutDown(Instant answerBy) {
  shutdownAnswerBy_ = answerBy;
  enqueue([answerBy](Router& router) { router.onShutdown(answerBy); });
}

Duration TransactionTable::limitedToShutdown(Duration remainingTime) const {
  if (!shutdownAnswerBy_) return remainingTime;
  return std::min(remainingTime, std::max(*shutdownAnswerBy_ - now_, kMinDecisionTime));
}

// --- Transactions

OpenTransaction* TransactionTable::find(TxnId txn) {
  const auto found = openTransactions_.find(txn);
  return found == openTransactions_.end() ? nullptr : &found->second;
}

const OpenTransaction* TransactionTable::find(TxnId txn) const {
  const auto found = openTransactions_.find(txn);
  return found == openTransactions_.end() ? nullptr : &found->second;
}

OpenTransaction* TransactionTable::findAwaitingAnswer(TxnId txn) {
  OpenTransaction* open = find(txn);
  return open && open->handler ? open : nullptr;
}

bool TransactionTable::isAnswerPending(TxnId txn) const {
  const OpenTransaction* open = find(txn);
  return open && open->handler;
}

TxnId TransactionTable::openTransaction(DownstreamHandler& handler, OwnerId owner,
                                        UpstreamTransport& transport, Transaction transaction,
                                        RequestMessage message, std::string_view id) {
  transaction.id = ++lastTxn_;
  OpenTransaction& open = openTransactions_[transaction.id];
  open.handler = &handler;
  open.owner = owner;
  open.transport = &transport;
  open.message = std::move(message);
  open.group = transaction.group;
  open.transactionClass = transaction.type;
  open.openedAt = now_;
  open.latencyTarget = std::max(transactionClasses_.at(transaction.type).latencyTarget, Duration::micros(1));
  messageBytes_ += open.message.bytes.size();
  if (!open.id().empty()) openIds_.insert(open.id());
  traceTransactionOpened(trace_, open, transaction);
  submit(transaction.id, open, transaction, id.empty() ? open.id() : id);
  return transaction.id;
}

void TransactionTable::onClientDisconnected(TxnId txn) {
  OpenTransaction* open = findAwaitingAnswer(txn);
  if (!open) return;
  traceAnswer(txn, "none, client left");
  notifyAdmissionController(*open, false);
  open->handler = nullptr;
  const bool isKnownToRouter = !std::exchange(open->awaitingGate, std::nullopt);
  if (isKnownToRouter) enqueue([txn](Router& router) { router.onClientDisconnected(txn); });
  withdrawAttempts(txn);
  forgetIfFinished(txn);
}

void TransactionTable::commit(TxnId txn, const ResultValue& value) {
  if (const OpenTransaction* open = find(txn); open && open->usesGate && executionGate_)
    executionGate_->onCommitted(txn, value);
  if (OpenTransaction* open = findAwaitingAnswer(txn)) notifyAdmissionController(*open, true);
  if (const OpenTransaction* open = findAwaitingAnswer(txn)) degradation_.recordAnswer(now_, *open);
  traceAnswer(txn, "committed");
  finish(txn,
         [&](DownstreamHandler& handler, OwnerId owner) { handler.onTransactionCommitted(owner, value); });
  withdrawAttempts(txn);
}

void TransactionTable::traceAnswer(TxnId txn, std::string_view answer, unsigned level) {
  if (!trace_.isOn()) return;
  if (const OpenTransaction* open = findAwaitingAnswer(txn))
    traceTransactionAnswered(trace_, *open, now_, answer, level);
}

// A transaction that has its final answer is stored only while some of its attempts are in flight.
void TransactionTable::forgetIfFinished(TxnId txn) {
  const auto found = openTransactions_.find(txn);
  if (found == openTransactions_.end()) return;
  const OpenTransaction& open = found->second;
  if (open.handler || !open.haveAllAttemptsEnded()) return;
  if (open.usesGate && executionGate_) executionGate_->onTransactionEnded(txn, open.executionOutcome());
  rememberExecution(open);
  messageBytes_ -= open.message.bytes.size();
  if (!open.id().empty()) openIds_.erase(open.id());
  openTransactions_.erase(found);
}

// --- Attempts

const AttemptRecord* TransactionTable::attempt(AttemptId attemptId) const {
  const OpenTransaction* open = find(attemptId.txn);
  return open && attemptId.attempt < open->attempts.size() ? &open->attempts[attemptId.attempt] : nullptr;
}

bool TransactionTable::hasAttemptAt(const std::set<NodeId>& nodes) const {
  return std::any_of(openTransactions_.begin(), openTransactions_.end(),
                     [&](const auto& entry) { return entry.second.hasAttemptInFlightAt(nodes); });
}

bool TransactionTable::isReadAtPrimary(AttemptId attemptId, const NodeId& node) const {
  return router_.isReadAtPrimary(attemptId.txn, attemptId.attempt, node);
}

bool TransactionTable::maySend(AttemptId attemptId, const NodeId& node, Duration timeoutSent) {
  const AttemptRecord* attempt = this->attempt(attemptId);
  if (!attempt) return false;
  if (!router_.isSelectionValid(attemptId.txn, attemptId.attempt, node)) return false;
  const OpenTransaction& open = openTransactions_.at(attemptId.txn);
  const TransactionClass& transactionClass = transactionClasses_.at(open.transactionClass);
  const invariants::Send send{.now = now_,
                              .sendBy = attempt->sendBy,
                              .answerBy = attempt->abandonAt,
                              .timeoutSent = timeoutSent,
                              .isAnswerPending = open.handler != nullptr,
                              .isNodeDraining = endpoints_.isDraining(node)};
  const invariants::Retry retry{.now = now_,
                                .effect = transactionClass.effect,
                                .window = transactionClass.deduplicationWindow,
                                .firstSentAt = open.firstAmbiguousSentAt(attemptId.attempt)};
  // Called for violations only: this check runs for every attempt, and the text is rarely needed.
  const auto subject = [&] { return "txn " + std::string(open.id()) + " to node " + node; };
  if (!invariants_.maySend(send, subject) || !invariants_.mayRetry(retry, subject)) return false;
  traceAttemptWritten(trace_, open, now_, attemptId.attempt);
  return true;
}

void TransactionTable::onAttemptEnded(AttemptId attemptId, const NodeId& node, AttemptOutcome outcome,
                                      const LoadReport& answerReport, const LoadReport& report) {
  const bool isHealthCheck = attemptId.isHealthCheck();
  if (admissionController_ && outcome == AttemptOutcome::committed)
    admissionController_->onLoadReport(node, isHealthCheck ? report : answerReport);
  if (isHealthCheck)
    return enqueue([=](Router& router) { router.onHealthCheckEnded(node, outcome, report); });
  OpenTransaction* open = find(attemptId.txn);
  if (!open || attemptId.attempt >= open->attempts.size()) return;
  AttemptRecord& attempt = open->attempts[attemptId.attempt];
  if (std::exchange(attempt.hasEnded, true)) return;
  attempt.outcome = outcome;
  traceAttemptEnded(trace_, *open, now_, attemptId.attempt, answerReport.role);
  const Duration latency = now_ - attempt.sentAt;
  const bool isAnswered = !open->handler;
  enqueue([=](Router& router) {
    router.onAttemptEnded(attemptId.txn, attemptId.attempt, node, outcome, isAnswered, latency, answerReport,
                          report);
  });
  forgetIfFinished(attemptId.txn);
}

// Prevents attempts that run although no client awaits them: an attempt that waits for a connection or is
// partly written would otherwise continue as soon as it can, long after its transaction was answered or its
// client left. Withdrawing is safe: the attempt has not run, and its answer is not awaited.
void TransactionTable::withdrawAttempts(TxnId txn) {
  const OpenTransaction* open = find(txn);
  if (!open) return;
  UpstreamTransport& transport = *open->transport;
  // Copied first: withdrawing may end an attempt at once, and the last attempt to end also ends the
  // transaction.
  struct Withdrawal {
    AttemptId attemptId;
    NodeId node;
  };
  std::vector<Withdrawal> withdrawals;
  for (std::size_t i = 0; i < open->attempts.size(); ++i)
    if (const AttemptRecord& attempt = open->attempts[i]; !attempt.hasEnded)
      withdrawals.push_back({{txn, static_cast<unsigned>(i)}, attempt.node});
  for (const auto& [attemptId, node] : withdrawals) transport.withdrawAttempt(attemptId, node);
}

void TransactionTable::onNodeDisconnected(const NodeId& node) {
  if (admissionController_) admissionController_->onNodeDisconnected(node);
  enqueue([=](Router& router) { router.onNodeDisconnected(node); });
}

}  // namespace gulltrestle::transactions
