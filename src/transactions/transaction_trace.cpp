#include "transactions/transaction_trace.h"

#include <cstdint>
#include <string>

#include "transactions/connection_close.h"

namespace gulltrestle::transactions {

namespace {

std::string wholeMillis(Duration duration) { return std::to_string(duration.inMicros() / 1000); }

}  // namespace

void traceTransactionOpened(const Trace& trace, const OpenTransaction& open, const Transaction& transaction) {
  trace.write([&] {
    return "event=txn.came id=" + std::string(open.id()) + " txn=" + std::to_string(transaction.id) +
           " type=" + std::to_string(transaction.type) + " group=" + std::to_string(transaction.group) +
           " patience_ms=" + wholeMillis(transaction.remainingTime);
  });
}

void traceTransactionAnswered(const Trace& trace, const OpenTransaction& open, Instant now,
                              std::string_view answer, unsigned level) {
  trace.write([&] {
    return "event=txn.answered id=" + std::string(open.id()) + " how=\"" + std::string(answer) + "\"" +
           " after_ms=" + wholeMillis(now - open.openedAt) +
           " attempts=" + std::to_string(open.attempts.size()) +
           (level > 0 ? " level=" + std::to_string(level) : "");
  });
}

void traceAttemptStarted(const Trace& trace, const OpenTransaction& open, Instant now) {
  trace.write([&] {
    const AttemptRecord& attempt = open.attempts.back();
    return "event=attempt.begun id=" + std::string(open.id()) +
           " number=" + std::to_string(open.attempts.size() - 1) + " node=" + attempt.node +
           " left_ms=" + wholeMillis(attempt.abandonAt - now);
  });
}

void traceAttemptEnded(const Trace& trace, const OpenTransaction& open, Instant now, unsigned number) {
  trace.write([&] {
    const AttemptRecord& attempt = open.attempts[number];
    return "event=attempt.ended id=" + std::string(open.id()) + " number=" + std::to_string(number) +
           " node=" + attempt.node + " how=" + std::string(nameOf(attempt.outcome)) +
           " after_ms=" + wholeMillis(now - attempt.sentAt);
  });
}

}  // namespace gulltrestle::transactions
