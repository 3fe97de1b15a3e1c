// Tests claims in simulated fleets, with and without injected bugs.
#include <iostream>

#include "claims/cases.h"
#include "claims/simulated_fleet.h"

namespace gulltrestle::idempotency {

using simulation::FleetStatistics;
using simulation::InjectedBug;
using simulation::SimulatedFleet;

void runFleets(std::uint64_t seeds) {
  FleetStatistics statistics;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const std::string failure = SimulatedFleet(seed, InjectedBug::none, statistics).runScenario();
    if (failure.empty()) continue;
    const std::string id = failure.substr(0, failure.find(' '));
    SimulatedFleet(seed, InjectedBug::none, statistics, id).runScenario();
    std::cout << "seed " << seed << ": " << failure << "\n";
    return;
  }
  std::cout
      << seeds
      << " simulated fleets: nothing ran twice, no false outcome was reported, each request was decided\n"
      << "requested " << statistics.requests << " (repeated " << statistics.repeatedRequests << "), admitted "
      << statistics.admitted << ", executed " << statistics.executed << ", reported as committed by voters "
      << statistics.reportedCommitted << "\nkills " << statistics.kills << ", power losses "
      << statistics.powerLosses << ", disks lost " << statistics.disksLost << ", restored "
      << statistics.disksRestored << ", stalls " << statistics.stalls << ", list changes "
      << statistics.listChanges << "\n";
}

void findInjectedBugs(std::uint64_t seeds) {
  struct BugCase {
    InjectedBug bug;
    const char* description;
    std::uint64_t firstSeed = 1;
  };
  // listChangedAtOnce is rarely found: it takes a late restart, a new voter and a repeat between them.
  constexpr std::uint64_t kFirstSeedOfListChange = 2470;
  const BugCase cases[] = {
      {InjectedBug::voteBeforeDurable, "a vote is sent before it is durable"},
      {InjectedBug::abstentionForgotten, "a voter that has to abstain votes after its next start"},
      {InjectedBug::staleDiskTrusted, "an old copy of a disk is accepted as the newest"},
      {InjectedBug::tokensRepeated, "a start repeats the tokens of an earlier one"},
      {InjectedBug::quorumTooSmall, "some coordinators count fewer voters than there are"},
      {InjectedBug::unknownOutcomeReleased, "a transaction that may have run is reported as never ran"},
      {InjectedBug::listChangedAtOnce, "a voter votes under a new list while the previous one may count",
       kFirstSeedOfListChange},
      {InjectedBug::newVoterVotesAtOnce, "a new voter votes at once"}};
  for (const auto& [bug, description, firstSeed] : cases) {
    FleetStatistics statistics;
    std::string found = "NOT FOUND";
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds && found == "NOT FOUND"; ++seed)
      if (const std::string failure = SimulatedFleet(seed, bug, statistics).runScenario(); !failure.empty())
        found = "found by seed " + std::to_string(seed) + ": " + failure;
    std::cout << description << ": " << found << "\n";
  }
}

}  // namespace gulltrestle::idempotency
