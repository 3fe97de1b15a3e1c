// The cases of `claims`. Each prints its trace.
#pragma once

#include <cstdint>
#include <string>

#include "idempotency/claim_types.h"

namespace gulltrestle::idempotency {

// Describes the vote for traces.
std::string describe(const Vote& vote);

// --- Step by step
void printVotingMemberTrace();
void printClaimCoordinatorTrace();

// --- In simulated fleets
// Runs one fleet without an injected bug for each seed and checks that no invariant is violated.
void runFleets(std::uint64_t seeds);
// Checks that each injected bug is found within this number of seeds: a check that cannot fail shows nothing.
void findInjectedBugs(std::uint64_t seeds);

}  // namespace gulltrestle::idempotency
