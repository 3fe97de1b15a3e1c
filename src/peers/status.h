// The status document of a router that settles with others: a JSON object, for operators and their scripts.
#pragma once

#include <string>

#include "peers/desk.h"
#include "store/store.h"

namespace gulltrestle::peers {

// `disk`: of this router's store; null: it is no keeper.
std::string statusOf(Instant now, const Desk& desk, const store::Figures* disk);

}  // namespace gulltrestle::peers
