// The trace lines of the transaction table: one function per kind of event. Each writes nothing, and puts no
// text together, while the trace is off.
#pragma once

#include <string_view>

#include "transactions/open_transaction.h"
#include "transactions/trace.h"

namespace gulltrestle::transactions {

void traceTransactionOpened(const Trace& trace, const OpenTransaction& open, const Transaction& transaction);

// `answer`: the final answer, in words. `level`: the degradation level that rejected it; 0: none did.
void traceTransactionAnswered(const Trace& trace, const OpenTransaction& open, Instant now,
                              std::string_view answer, unsigned level);

// The newest attempt of `open` has started.
void traceAttemptStarted(const Trace& trace, const OpenTransaction& open, Instant now);

// The attempt of that number has ended.
void traceAttemptEnded(const Trace& trace, const OpenTransaction& open, Instant now, unsigned number);

}  // namespace gulltrestle::transactions
