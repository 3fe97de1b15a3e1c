// Tests maintenance without real processes: which voter takes over from a maintenance leader, safety
// properties in simulated fleets (maintenance/simulated_world.h), and the consensus on the plan in every
// order of events (maintenance/consensus_search.h). Run as `maintenance CASE [SEEDS] [FROM]`: prints the
// trace of the case, and counts on the standard error stream.
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

// Numeric arguments that follow the name of the case. Each is optional, and the case defines its default.
struct Arguments {
  std::optional<std::uint64_t> first, second;
};

// Which voter starts rounds while transitions are due and no value is chosen.
void nextVoterTakesOver(const Arguments&) {
  const Instant start = Instant::atMicros(1'000'000'000);
  MaintenanceLeader first{MaintenanceLimits()}, third{MaintenanceLimits()};
  for (const int second : {0, 4, 6, 11}) {
    const Instant now = start + Duration::millis(second * 1000);
    std::cout << second << " s: the first " << first.shouldLead(now, true, 0) << ", the third "
              << third.shouldLead(now, true, 2) << "\n";
  }
  third.onChosen();
  const Instant later = start + Duration::millis(12'000), muchLater = start + Duration::millis(30'000);
  std::cout << "after a value was chosen: the third " << third.shouldLead(later, true, 2)
            << ", after both preceding voters became silent " << third.shouldLead(later, true, 0)
            << ", nothing due " << third.shouldLead(muchLater, false, 2) << "\n";
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
  std::cout << "simulated worlds with a violated property: " << broken << "\n";
  std::cerr << seeds << " worlds: chosen " << totals.chosen << ", released " << totals.released
            << ", attempts " << totals.attempts << ", power losses " << totals.powerLosses << ", disk losses "
            << totals.diskLosses << ", stalls " << totals.stalls << ", cut links " << totals.cutLinks
            << ", kills " << totals.kills << "\n";
}

// Checks that each injected fault violates a property within kSeeds seeds from `from` on. No seed from 1 up
// to `from` finds it.
void injectedFaultsBreakProperties(const Arguments&) {
  constexpr std::uint64_t kSeeds = 40;
  struct Case {
    InjectedFault fault;
    std::uint64_t from;
    const char* description;
  };
  constexpr Case kCases[] = {
      {InjectedFault::forgottenState, 101, "a voter that lost its state without noticing"},
      {InjectedFault::sendWithoutLease, 1617, "a router that sends without a lease"},
      {InjectedFault::earlyDrainReport, 363,
       "a router that reports draining as complete while an attempt is in flight"},
      {InjectedFault::replyBeforeDurable, 29, "a voter that replies before its state is durable"},
      {InjectedFault::latePlanReport, 5,
       "a voter that replies to a heartbeat before it reports its accepted plan"}};
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
      {Fault::none, "no fault"},
      {Fault::forgottenState, "a voter that lost its state without noticing"},
      {Fault::replyBeforeDurable, "a voter that replies before its state is durable"},
      {Fault::ignoredPromises, "a proposer that ignores the value it learned"}};
  for (const auto& [fault, description] : cases) {
    ConsensusSearch search(fault, arguments.first.value_or(1));
    const std::string broken = search.search();
    std::cout << description << ": " << (broken.empty() ? "chosen values are never lost" : broken) << "\n";
    std::cerr << description << ": " << search.states() << " states\n";
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::map<std::string, std::function<void(const Arguments&)>> cases{
      {"next-voter-takes-over", nextVoterTakesOver},
      {"properties-hold-in-simulated-worlds", propertiesHoldInSimulatedWorlds},
      {"injected-faults-break-properties", injectedFaultsBreakProperties},
      {"chosen-values-last-in-every-order", chosenValuesLastInEveryOrder}};
  const auto found = cases.find(argc > 1 ? argv[1] : "");
  if (found == cases.end()) return 2;
  Arguments arguments;
  if (argc > 2) arguments.first = std::stoull(argv[2]);
  if (argc > 3) arguments.second = std::stoull(argv[3]);
  found->second(arguments);
}
