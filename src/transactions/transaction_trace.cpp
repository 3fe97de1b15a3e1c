#include "transactions/transaction_trace.h"

#include <cstdint>
#include <string>

#include "transactions/connection_close.h"

namespace gulltrestle::transactions {

namespace {

std::string formatMillis(Duration duration) { return std::to_string(duration.inMicros() / 1000); }

// Returns an empty text for an unknown role.
std::string formatRole(Role role) {
  if (role == Role::unknown) return "";
  return role == Role::primary ? " role=primary" : " role=replica";
}

// Returns an empty text if the transaction is no session read.
std::string formatLastWrite(const Transaction& transaction) {
  if (transaction.lastWritePosition)
    return " last_write_ms=" + formatMillis(*transaction.lastWritePosition - Instant());
  return transaction.writeAge ? " write_age_ms=" + formatMillis(*transaction.writeAge) : "";
}

}  // namespace

void traceTransactionOpened(const Trace& trace, const OpenTransaction& open, const Transaction& transaction) {
  trace.write([&] {
    return "event=txn.received id=" + std::string(open.id()) + " txn=" + std::to_string(transaction.id) +
           " type=" + std::to_string(transaction.type) + " group=" + std::to_string(transaction.group) +
           " remaining_ms=" + formatMillis(transaction.remainingTime) + formatLastWrite(transaction);
  });
}

void traceTransactionAnswered(const Trace& trace, const OpenTransaction& open, Instant now,
                              std::string_view answer, unsigned level) {
  trace.write([&] {
    return "event=txn.finished id=" + std::string(open.id()) + " outcome=\"" + std::string(answer) + "\"" +
           " elapsed_ms=" + formatMillis(now - open.openedAt) +
           " attempts=" + std::to_string(open.attempts.size()) +
           (level > 0 ? " level=" + std::to_string(level) : "");
  });
}

void traceAttemptStarted(const Trace& trace, const OpenTransaction& open, Instant now) {
  trace.write([&] {
    const AttemptRecord& attempt = open.attempts.back();
    return "event=attempt.started id=" + std::string(open.id()) +
           " number=" + std::to_string(open.attempts.size() - 1) + " node=" + attempt.node +
           " remaining_ms=" + formatMillis(attempt.abandonAt - now);
  });
}

void traceAttemptWritten(const Trace& trace, const OpenTransaction& open, Instant now, unsigned number) {
  trace.write([&] {
    const AttemptRecord& attempt = open.attempts[number];
    return "event=attempt.written id=" + std::string(open.id()) + " number=" + std::to_string(number) +
           " node=" + attempt.node + " waited_ms=" + formatMillis(now - attempt.sentAt);
  });
}

void traceAttemptEnded(const Trace& trace, const OpenTransaction& open, Instant now, unsigned number,
                       Role reportedRole) {
  trace.write([&] {
    const AttemptRecord& attempt = open.attempts[number];
    return "event=attempt.ended id=" + std::string(open.id()) + " number=" + std::to_string(number) +
           " node=" + attempt.node + " outcome=" + std::string(nameOf(attempt.outcome)) +
           " elapsed_ms=" + formatMillis(now - attempt.sentAt) + formatRole(reportedRole);
  });
}

}  // namespace gulltrestle::transactions
