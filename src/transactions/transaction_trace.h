// The trace lines of the transaction table, one function per kind of event. While the trace is off, they
// write nothing and build no text.
#pragma once

#include <string_view>

#include "transactions/open_transaction.h"
#include "transactions/trace.h"

namespace gulltrestle::transactions {

// `open` was opened for `transaction`.
void traceTransactionOpened(const Trace& trace, const OpenTransaction& open, const Transaction& transaction);

// `answer`: text that describes the final answer. `level`: the degradation level that rejected the
// transaction; 0 if none did.
void traceTransactionAnswered(const Trace& trace, const OpenTransaction& open, Instant now,
                              std::string_view answer, unsigned level);

// The latest attempt of `open` has started.
void traceAttemptStarted(const Trace& trace, const OpenTransaction& open, Instant now);

// Attempt `number` of `open` is about to be written to its node, or handed to the requester that sends it.
void traceAttemptWritten(const Trace& trace, const OpenTransaction& open, Instant now, unsigned number);

// Attempt `number` of `open` has ended. `reportedRole`: the node's role according to its answer.
void traceAttemptEnded(const Trace& trace, const OpenTransaction& open, Instant now, unsigned number,
                       Role reportedRole);

}  // namespace gulltrestle::transactions
