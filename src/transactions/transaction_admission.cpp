// The part of the transaction table that consults the admission controller and the execution gate before a
// transaction is passed to the router, and notifies them of its outcome.
#include <algorithm>

#include "transactions/transaction_table.h"

namespace gulltrestle::transactions {

// `gateId`: the id that identifies the transaction to the execution gate.
void TransactionTable::submit(TxnId txn, OpenTransaction& open, const Transaction& transaction,
                              std::string_view gateId) {
  if (admissionController_) {
    const std::optional<Duration> retryAfter =
        admissionController_->retryAfterIfRejected(transaction.group, transaction.type);
    if (retryAfter) {
      // Answered at the end of the turn because the handler is still within its call of openTransaction().
      admissionRejections_.push_back({txn, *retryAfter});
      return;
    }
    open.isAdmitted = true;
  }
  Transaction admitted = transaction;
  if (!addPriorExecution(admitted, open.id())) {
    admissionRejections_.push_back({txn, Duration()});
    return;
  }
  open.usesGate = executionGate_ && transactionClasses_.at(transaction.type).effect == Effect::atMostOnce;
  if (const auto& age = admitted.priorAttempts.ambiguousAttemptAge) open.ambiguousPriorSentAt = now_ - *age;
  if (!open.usesGate) return enqueue([admitted](Router& router) { router.onTransaction(admitted); });
  open.awaitingGate = admitted;
  executionGate_->requestExecution(txn, gateId, limitedToShutdown(transaction.remainingTime));
}

// Prevents a transaction that may run once, or whose repeats nodes recognise for a limited time, from running
// again if its client left and sends it once more: it counts as an earlier attempt of this one, by which the
// router decides. Returns false if the transaction could not be remembered after its end and must not run.
// Trade-off: while very many ids are remembered, such transactions are rejected.
bool TransactionTable::addPriorExecution(Transaction& transaction, std::string_view id) const {
  if (id.empty() || !remembersExecutions(transactionClasses_.at(transaction.type).effect)) return true;
  const std::optional<Instant> sentAt = executionHistory_.firstSentAt(id);
  if (!sentAt) return executionHistory_.hasCapacity();
  transaction.priorAttempts.ambiguousAttemptAge = now_ - *sentAt;
  return true;
}

bool TransactionTable::remembersExecutions(Effect effect) const {
  return effect == Effect::deduplicated || (effect == Effect::atMostOnce && !executionGate_);
}

// Its client waits for the deadline of its class at the most, over all its requests: a request that was not
// sent does not prolong the time.
void TransactionTable::rememberExecution(const OpenTransaction& open) {
  const TransactionClass& type = transactionClasses_.at(open.transactionClass);
  if (open.id().empty() || open.attempts.empty() || !remembersExecutions(type.effect)) return;
  const Instant sentAt = open.firstAmbiguousSentAt(static_cast<unsigned>(open.attempts.size()));
  if (sentAt == Instant()) return;
  const Duration retention = std::max(type.deadline, type.deduplicationWindow);
  executionHistory_.record(open.id(), sentAt, now_ + retention);
}

void TransactionTable::admit(TxnId txn) {
  OpenTransaction* open = findAwaitingAnswer(txn);
  if (!open || !open->awaitingGate) return;
  Transaction transaction = *std::exchange(open->awaitingGate, std::nullopt);
  // The time that the gate took counts towards the client's remaining time.
  const Duration waited = now_ - open->openedAt;
  transaction.remainingTime = transaction.remainingTime - waited;
  if (transaction.maxQueueTime) transaction.maxQueueTime = *transaction.maxQueueTime - waited;
  enqueue([transaction](Router& router) { router.onTransaction(transaction); });
}

bool TransactionTable::stopAwaitingGate(TxnId txn) {
  OpenTransaction* open = findAwaitingAnswer(txn);
  return open && std::exchange(open->awaitingGate, std::nullopt).has_value();
}

void TransactionTable::answerCommitted(TxnId txn, const ResultValue& value) {
  if (!stopAwaitingGate(txn)) return;
  traceAnswer(txn, "committed earlier, as recorded by the execution gate");
  const bool isEmpty =
      std::all_of(value.begin(), value.end(), [](std::string_view slice) { return slice.empty(); });
  finish(txn, [&](DownstreamHandler& handler, OwnerId owner) {
    if (isEmpty && handler.requiresValue()) {
      handler.onTransactionRolledBack(owner);
    } else {
      handler.onTransactionCommitted(owner, value);
    }
  });
}

void TransactionTable::answerRejected(TxnId txn, Duration retryAfter) {
  if (!stopAwaitingGate(txn)) return;
  traceAnswer(txn, "rejected by the execution gate");
  finish(txn, [&](DownstreamHandler& handler, OwnerId owner) {
    handler.onTransactionRejected(owner, retryAfter, 0);
  });
}

void TransactionTable::answerRolledBack(TxnId txn) {
  if (!stopAwaitingGate(txn)) return;
  traceAnswer(txn, "rolled back by the execution gate");
  finish(txn, [&](DownstreamHandler& handler, OwnerId owner) { handler.onTransactionRolledBack(owner); });
}

void TransactionTable::answerRejectedByAdmission() {
  for (const AdmissionRejection& rejection : std::exchange(admissionRejections_, {})) {
    traceAnswer(rejection.txn, "rejected by the admission ramp");
    finish(rejection.txn, [&](DownstreamHandler& handler, OwnerId owner) {
      handler.onTransactionRejected(owner, rejection.retryAfter, 0);
    });
  }
}

// The router doesn't know these transactions yet. Another attempt of them may have run.
void TransactionTable::answerAwaitingGateAtShutdown() {
  if (!shutdownAnswerBy_ || now_ < *shutdownAnswerBy_) return;
  std::vector<TxnId> awaiting;
  for (const auto& [txn, open] : openTransactions_)
    if (open.awaitingGate) awaiting.push_back(txn);
  for (const TxnId txn : awaiting) answerRolledBack(txn);
}

void TransactionTable::notifyAdmissionController(OpenTransaction& open, bool isCommitted) {
  if (!admissionController_ || !std::exchange(open.isAdmitted, false)) return;
  admissionController_->onTransactionEnded(open.group, open.transactionClass,
                                           {.wasSent = !open.attempts.empty(),
                                            .isCommitted = isCommitted,
                                            .latencyTargetFraction = open.elapsedTargetFraction(now_)});
}

void TransactionTable::onPeerLoadReport(const NodeId& node, const LoadReport& report) {
  enqueue([=](Router& router) { router.onHealthCheckEnded(node, AttemptOutcome::committed, report); });
}

}  // namespace gulltrestle::transactions
