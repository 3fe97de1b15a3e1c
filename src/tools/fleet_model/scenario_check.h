// Checks scenarios at full scale, to find faults that occur only with many routers and nodes. A scenario
// passes if the five rules (RuleViolations) held in the true state of the fleet, and if each traffic class
// got at least half of the value that a single router with all transactions serves.
#pragma once

#include <string>
#include <vector>

#include "tools/fleet_model/scenarios.h"

namespace gulltrestle::fleet_model {

// The result of a scenario check.
struct ScenarioResult {
  std::vector<std::string> failures;        // descriptions for operators; empty if the scenario passed
  double value = 0, singleRouterValue = 0;  // Result::value with all routers, and with a single router
  double healthChecksPerTxn = 0;
  Result result;
};

// Runs the scenario twice, the second time with a single router, and compares the results.
ScenarioResult checkScenario(const Scenario& scenario);
// Returns a description of each failed check: rule violations, collapsed nodes, the served fraction of each
// traffic class, and the number of health checks.
std::vector<std::string> failuresOf(const Scenario& scenario, const Result& result,
                                    const Result& singleRouter);

}  // namespace gulltrestle::fleet_model
