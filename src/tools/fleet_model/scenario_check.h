// A check for what only size shows: scenarios at full size, judged by the five rules as they truly held, and
// by a gate: of the value of each traffic class at least half of what a single router serves that sees all.
#pragma once

#include <string>
#include <vector>

#include "tools/fleet_model/scenarios.h"

namespace gulltrestle::fleet_model {

// What a scenario's run came to.
struct ScenarioResult {
  std::vector<std::string> faults;          // for operators to read; none: the scenario passed
  double value = 0, singleRouterValue = 0;  // Result::value of all routers, and of a single one
  double healthChecksPerTxn = 0;
  Result result;
};

// Runs the scenario twice, the second time with a single router.
ScenarioResult checkScenario(const Scenario& scenario);
// What failed: by the rules, by traffic class, by health checks, by nodes that collapsed.
std::vector<std::string> faultsOf(const Scenario& scenario, const Result& result, const Result& singleRouter);

}  // namespace gulltrestle::fleet_model
