// Every way in which a connection can end, and what that says of the attempt it carried.
#pragma once

#include <string_view>

#include "routing/router.h"

namespace gulltrestle::transactions {

enum class ConnectionCloseReason {
  noDescriptor,    // no descriptor or address was to be had for it
  refused,         // the other side took no connection
  connectTimeout,  // it was not up within the time that is allowed for it
  rejected,        // a node refused the session before it took a query
  broken,          // reset, or ended by the other side
  malformed,       // the other side sent what can't be read
  cancelled,       // nobody waits for its answer any more
  unanswered,      // no answer came while the attempt was waited for
  retired,         // closed here after it had been idle for long, or to make room for another
  nodeDrained,     // closed here as its node drains or is gone
  clientFinished,  // the client said good-bye, or all it had asked is answered and it sends no more
  clientStalled,   // the client did not read its answer for long
  shuttingDown,    // this router ends
};

// The outcome of an attempt whose connection ended so. `writtenWhole`: its last byte had been written, so
// that the node may have run it.
AttemptOutcome outcomeOf(ConnectionCloseReason how, bool writtenWhole);

// Whether a node may have run an attempt that ended so.
bool mayHaveRun(AttemptOutcome how);

std::string_view nameOf(ConnectionCloseReason how);
std::string_view nameOf(AttemptOutcome how);

}  // namespace gulltrestle::transactions
