// The status document of a router in a cluster: a JSON object, for operators and their scripts.
#pragma once

#include <string>

#include "cluster/claim_dispatcher.h"
#include "store/store.h"

namespace gulltrestle::cluster {

// Numbers of messages on this router's streams since it started.
struct StreamStatistics {
  std::uint64_t messagesSent = 0, repliesReceived = 0;  // to and from other voters
  std::uint64_t messagesReceived = 0, repliesSent = 0;  // on a voter, from and to other routers
};

// Returns the document. `store`: null if this router is not a voter.
std::string statusDocument(Instant now, const ClaimDispatcher& dispatcher,
                           const store::StoreStatistics* store, const StreamStatistics& streams);

}  // namespace gulltrestle::cluster
