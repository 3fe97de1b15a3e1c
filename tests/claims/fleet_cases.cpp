// Claims in simulated fleets: as they are, and with a bug built in.
#include <iostream>

#include "claims/cases.h"
#include "claims/simulated_fleet.h"

namespace gulltrestle::idempotency {

using simulation::FleetStatistics;
using simulation::InjectedBug;
using simulation::SimulatedFleet;

void playFleets(std::uint64_t seeds) {
  FleetStatistics statistics;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const std::string fault = SimulatedFleet(seed, InjectedBug::none, statistics).play();
    if (fault.empty()) continue;
    const std::string id = fault.substr(0, fault.find(' '));
    SimulatedFleet(seed, InjectedBug::none, statistics, id).play();
    std::cout << "seed " << seed << ": " << fault << "\n";
    return;
  }
  std::cout << seeds << " worlds: nothing ran twice, nothing false was told, each got its decision\n"
            << "asked " << statistics.requests << " (repeats " << statistics.repeatedRequests
            << "), admitted " << statistics.admitted << ", ran " << statistics.executed
            << ", told from the keepers " << statistics.reportedCommitted << "\nkills " << statistics.kills
            << ", power losses " << statistics.powerLosses << ", disks lost " << statistics.disksLost
            << ", restored " << statistics.disksRestored << ", stalls " << statistics.stalls << ", lists "
            << statistics.listChanges << "\n";
}

void findInjectedBugs(std::uint64_t seeds) {
  struct BugCase {
    InjectedBug bug;
    const char* description;
    std::uint64_t firstSeed = 1;
  };
  // The one that takes a late restart, a new voter and a repeat between them is rare.
  constexpr std::uint64_t kFirstSeedOfListChange = 2470;
  const BugCase cases[] = {
      {InjectedBug::voteBeforeDurable, "a vote is told before it is durable"},
      {InjectedBug::abstentionForgotten, "a keeper that was to be silent votes after its next start"},
      {InjectedBug::staleDiskTrusted, "an old copy of a disk is taken for the newest"},
      {InjectedBug::tokensRepeated, "a start repeats the tokens of an earlier one"},
      {InjectedBug::quorumTooSmall, "some claimants think that there are fewer keepers"},
      {InjectedBug::unknownOutcomeReleased, "the end of what may have run is told as never ran"},
      {InjectedBug::listChangedAtOnce, "a keeper votes by a new list while the one before may count",
       kFirstSeedOfListChange},
      {InjectedBug::newVoterVotesAtOnce, "a new keeper votes at once"}};
  for (const auto& [bug, description, firstSeed] : cases) {
    FleetStatistics statistics;
    std::string found = "NOT FOUND";
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds && found == "NOT FOUND"; ++seed)
      if (const std::string fault = SimulatedFleet(seed, bug, statistics).play(); !fault.empty())
        found = "found by seed " + std::to_string(seed) + ": " + fault;
    std::cout << description << ": " << found << "\n";
  }
}

}  // namespace gulltrestle::idempotency
