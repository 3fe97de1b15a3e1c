// The reasons for which a connection is closed, and the outcome that each gives to the attempt in flight on
// it.
#pragma once

#include <string_view>

#include "routing/router.h"

namespace gulltrestle::transactions {

// Why a connection of a client or to a node was closed.
enum class ConnectionCloseReason {
  noDescriptor,    // no file descriptor or address was available for it
  refused,         // the peer refused the connection
  connectTimeout,  // it was not established within its time limit
  rejected,        // a node rejected the session before it accepted a query
  broken,          // reset, or closed by the peer
  malformed,       // the peer sent data that can't be parsed
  cancelled,       // its answer is no longer awaited
  unanswered,      // no answer arrived while it was awaited
  retired,         // closed by this router after a long idle time, or to make room for another one
  nodeDrained,     // closed by this router because its node is draining or removed
  clientFinished,  // the client terminated the session, or has all its answers and sends nothing more
  clientStalled,   // the client did not read its answer for too long
  shuttingDown,    // this router is shutting down
};

// Returns the outcome of an attempt whose connection was closed for `reason`. `isFullyWritten`: the attempt's
// last byte was written, so the node may have run it.
AttemptOutcome outcomeOf(ConnectionCloseReason reason, bool isFullyWritten);
// The same for an attempt that was not written, or only partly.
inline AttemptOutcome outcomeOfUnwritten(ConnectionCloseReason reason) { return outcomeOf(reason, false); }

// Returns whether a node may have run an attempt with this outcome.
bool mayHaveRun(AttemptOutcome outcome);

// Returns the name used in log lines.
std::string_view nameOf(ConnectionCloseReason reason);
std::string_view nameOf(AttemptOutcome outcome);

}  // namespace gulltrestle::transactions
