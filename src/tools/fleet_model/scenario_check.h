// A watch for what only size shows: the days of days.h at full size, judged by the five rules as they truly
// held and by a gate: of the value of each txn type at least half of what one router serves that sees all.
#pragma once

#include <string>
#include <vector>

#include "tools/fleet_model/scenarios.h"

namespace gulltrestle::fleet_model {

struct ScenarioResult {
  std::vector<std::string> faults;  // in words; none: the day passed
  double value = 0, whole = 0;      // of all, and what one router that sees all has
  double probesATxn = 0;
  Result result;
};

// Plays the day twice, the second time seen whole.
ScenarioResult checkScenario(const Scenario& day);
// What of it does not hold: by the rules, by type, by probes, by nodes pushed over.
std::vector<std::string> faultsOf(const Scenario& day, const Result& result, const Result& whole);

}  // namespace gulltrestle::fleet_model
