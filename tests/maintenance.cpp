// Maintenance without processes: who takes over from a maintenance leader, the properties in simulated worlds
// (maintenance/simulated_world.h), and the consensus on the plan in every order of events
// (maintenance/consensus_search.h). Run as `maintenance CASE [SEEDS] [FROM]`: prints the case's trace, and
// counts on the standard error stream.
#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <string>

#include "maintenance/consensus_search.h"
#include "maintenance/maintenance_leader.h"
#include "maintenance/simulated_world.h"

using namespace gulltrestle;
using namespace gulltrestle::maintenance;

namespace {

// The numbers behind the case's name; what is not given has a default.
struct Arguments {
  std::optional<std::uint64_t> first, second;
};

// Who begins rounds where transitions are due and nothing happens.
void nextVoterTakesOver(const Arguments&) {
  const Instant begin = Instant::atMicros(1'000'000'000);
  MaintenanceLeader first{Bounds()}, third{Bounds()};
  for (const int second : {0, 4, 6, 11}) {
    const Instant now = begin + Duration::millis(second * 1000);
    std::cout << second << " s: the first " << first.shouldLead(now, true, 0) << ", the third "
              << third.shouldLead(now, true, 2) << "\n";
  }
  third.onChosen();
  const Instant later = begin + Duration::millis(12'000), muchLater = begin + Duration::millis(30'000);
  std::cout << "settled: the third " << third.shouldLead(later, true, 2)
            << ", once both before it are silent " << third.shouldLead(later, true, 0) << ", nothing due "
            << third.shouldLead(muchLater, false, 2) << "\n";
}

void propertiesHoldInSimulatedWorlds(const Arguments& arguments) {
  const std::uint64_t seeds = arguments.first.value_or(150), from = arguments.second.value_or(1);
  Totals totals;
  std::uint64_t broken = 0;
  for (std::uint64_t seed = from; seed < from + seeds; ++seed) {
    const std::string fault = SimulatedWorld(seed, InjectedFault::none, totals).simulate();
    if (fault.empty()) continue;
    ++broken;
    std::cerr << "seed " << seed << ": " << fault << "\n";
  }
  std::cout << "worlds in which a property broke: " << broken << "\n";
  std::cerr << seeds << " worlds: chosen " << totals.chosen << ", released " << totals.released
            << ", attempts " << totals.attempts << ", power losses " << totals.powerLosses << ", disk losses "
            << totals.diskLosses << ", stalls " << totals.stalls << ", cut links " << totals.cutLinks
            << ", kills " << totals.kills << "\n";
}

// Each is found by the first seeds from `from` on, and not by those before it from 1 on.
void injectedFaultsBreakProperties(const Arguments&) {
  constexpr std::uint64_t kSeeds = 40;
  struct Case {
    InjectedFault fault;
    std::uint64_t from;
    const char* description;
  };
  constexpr Case kCases[] = {
      {InjectedFault::forgottenState, 101, "a keeper that forgot and does not know it"},
      {InjectedFault::sendWithoutLease, 1617, "a router that sends without a lease"},
      {InjectedFault::earlyDrainReport, 363, "a router that says it is clear while something is out"},
      {InjectedFault::replyBeforeDurable, 29, "a keeper that answers ahead of its disk"},
      {InjectedFault::latePlanReport, 5, "a keeper that answers a beat ahead of telling what it holds"}};
  for (const auto& [fault, from, description] : kCases) {
    Totals totals;
    std::string broken;
    std::uint64_t seed = from;
    for (; seed < from + kSeeds && (broken.empty() || broken == SimulatedWorld::kNotFinished); ++seed)
      broken = SimulatedWorld(seed, fault, totals).simulate();
    const bool isFound = !broken.empty() && broken != SimulatedWorld::kNotFinished;
    std::cout << description << ": " << (isFound ? "found, " + broken : "NOT FOUND") << "\n";
    std::cerr << description << ": seed " << seed - 1 << "\n";
  }
}

void chosenValuesLastInEveryOrder(const Arguments& arguments) {
  using Fault = ConsensusSearch::InjectedFault;
  const std::pair<Fault, const char*> cases[] = {
      {Fault::none, "as it is"},
      {Fault::forgottenState, "a keeper that forgot and does not know it"},
      {Fault::replyBeforeDurable, "a keeper that answers ahead of its disk"},
      {Fault::ignoredPromises, "one that passes over what it read"}};
  for (const auto& [fault, description] : cases) {
    ConsensusSearch search(fault, arguments.first.value_or(1));
    const std::string broken = search.search();
    std::cout << description << ": " << (broken.empty() ? "what was settled stays so" : broken) << "\n";
    std::cerr << description << ": " << search.states() << " states\n";
  }
}

}  // namespace

int main(int count, char** words) {
  const std::map<std::string, std::function<void(const Arguments&)>> cases{
      {"next-voter-takes-over", nextVoterTakesOver},
      {"properties-hold-in-simulated-worlds", propertiesHoldInSimulatedWorlds},
      {"injected-faults-break-properties", injectedFaultsBreakProperties},
      {"chosen-values-last-in-every-order", chosenValuesLastInEveryOrder}};
  const auto found = cases.find(count > 1 ? words[1] : "");
  if (found == cases.end()) return 2;
  Arguments arguments;
  if (count > 2) arguments.first = std::stoull(words[2]);
  if (count > 3) arguments.second = std::stoull(words[3]);
  found->second(arguments);
}
