// The cases of `claims`. Each prints its trace.
#pragma once

#include <cstdint>
#include <string>

#include "idempotency/claim_types.h"

namespace gulltrestle::idempotency {

// As traces have it.
std::string shown(const Vote& vote);

// --- Step by step
void printVotingMemberTrace();
void printClaimCoordinatorTrace();

// --- In simulated fleets
// As many fleets as there are seeds, without a bug: nothing may break.
void playFleets(std::uint64_t seeds);
// Each bug that is built in has to be found within so many seeds: a verdict that can't fail shows nothing.
void findInjectedBugs(std::uint64_t seeds);

}  // namespace gulltrestle::idempotency
