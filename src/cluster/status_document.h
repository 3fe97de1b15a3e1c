// The status document of a router that settles with others: a JSON object, for operators and their scripts.
#pragma once

#include <string>

#include "cluster/claim_dispatcher.h"
#include "store/store.h"

namespace gulltrestle::cluster {

// Words that went over this router's streams since it started.
struct StreamStatistics {
  std::uint64_t said = 0, heard = 0;               // to keepers, and their answers
  std::uint64_t wordsTaken = 0, answersGiven = 0;  // where it is a keeper
};

// `disk`: of this router's store; null: it is no keeper.
std::string statusOf(Instant now, const ClaimDispatcher& desk, const store::StoreStatistics* disk,
                     const StreamStatistics& talked);

}  // namespace gulltrestle::cluster
