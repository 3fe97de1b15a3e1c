// The reasons for which a connection ends, and what each means for the attempt that it carried.
#pragma once

#include <string_view>

#include "routing/router.h"

namespace gulltrestle::transactions {

// Why the connection of a client or to a node ended.
enum class ConnectionCloseReason {
  noDescriptor,    // no file descriptor or address was available for it
  refused,         // the other side accepted no connection
  connectTimeout,  // it was not established within its time limit
  rejected,        // a node rejected the session before it took a query
  broken,          // reset, or closed by the other side
  malformed,       // the other side sent what can't be parsed
  cancelled,       // its answer is no longer awaited
  unanswered,      // no answer came while it was awaited
  retired,         // closed here after a long idle time, or to make room for another
  nodeDrained,     // closed here as its node is draining or removed
  clientFinished,  // the client terminated the session, or has all its answers and sends no more
  clientStalled,   // the client did not read its answer for long
  shuttingDown,    // this router shuts down
};

// The outcome of an attempt whose connection ended for that reason. `isFullyWritten`: its last byte had been
// written, so that the node may have run it.
AttemptOutcome outcomeOf(ConnectionCloseReason reason, bool isFullyWritten);
// The same for an attempt that was not written, or in part only.
inline AttemptOutcome outcomeOfUnwritten(ConnectionCloseReason reason) { return outcomeOf(reason, false); }

// Whether a node may have run an attempt with that outcome.
bool mayHaveRun(AttemptOutcome outcome);

// As in log lines.
std::string_view nameOf(ConnectionCloseReason reason);
std::string_view nameOf(AttemptOutcome outcome);

}  // namespace gulltrestle::transactions
