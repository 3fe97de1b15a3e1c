#include "tools/fleet_model/scenario_check.h"

#include <cstdio>

namespace gulltrestle::fleet_model {

namespace {

// Each traffic class must get at least this fraction of the value that a single router serves, as in the
// users' regular test. The comparison is not meaningful, and is skipped, if the single router serves little
// or if the traffic class has few transactions.
constexpr double kMinServedFraction = 0.5, kMinSingleRouterFraction = 0.3, kMinShare = 0.05;
// Maximum over all routers; with more, health checks would be more traffic than the transactions they serve.
constexpr double kMaxHealthChecksPerTxn = 2;

std::string formatFraction(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", value);
  return text;
}

double servedFraction(std::pair<double, double> requestedAndServed) {
  return requestedAndServed.first > 0 ? requestedAndServed.second / requestedAndServed.first : 0;
}

double healthChecksPerTxnOf(const Result& result) {
  double healthChecks = 0, txns = 0;
  for (const Second& second : result.seconds) {
    healthChecks += second.healthChecks;
    txns += second.txns;
  }
  return txns > 0 ? healthChecks / txns : 0;
}

}  // namespace

std::vector<std::string> failuresOf(const Scenario& scenario, const Result& result,
                                    const Result& singleRouter) {
  std::vector<std::string> failures;
  const RuleViolations& violations = result.violations;
  for (const auto& [count, description] : {std::pair{violations.late, "were answered after their deadline"},
                                           {violations.unanswered, "were never answered"},
                                           {violations.executedTwice, "were executed twice"},
                                           {violations.rejectedAfterExecution, "were executed and rejected"},
                                           {violations.stale, "read data that is too stale"},
                                           {violations.sentToDrained, "were sent to a drained node"}})
    if (count > 0) failures.push_back(std::to_string(count) + " txns " + description);
  if (result.collapsedNodes > singleRouter.collapsedNodes)
    failures.push_back(std::to_string(result.collapsedNodes - singleRouter.collapsedNodes) +
                       " cold nodes collapsed");
  for (std::size_t row = 0; row < scenario.parameters.trafficClasses.size(); ++row) {
    const double served = servedFraction(result.valueByClass[row]),
                 servedBySingleRouter = servedFraction(singleRouter.valueByClass[row]);
    if (scenario.parameters.trafficClasses[row].share < kMinShare ||
        servedBySingleRouter < kMinSingleRouterFraction ||
        served >= servedBySingleRouter * kMinServedFraction)
      continue;
    failures.push_back("transaction class " + std::to_string(row) + ": served fraction " +
                       formatFraction(served) + ", expected at least half of " +
                       formatFraction(servedBySingleRouter) + " (single router)");
  }
  if (const double healthChecks = healthChecksPerTxnOf(result); healthChecks > kMaxHealthChecksPerTxn)
    failures.push_back(formatFraction(healthChecks) + " health checks per txn");
  return failures;
}

ScenarioResult checkScenario(const Scenario& scenario) {
  ScenarioResult check;
  check.result = Fleet(scenario.parameters).run(scenario.seconds, scenario.demand);
  const Scenario single = withSingleRouter(scenario);
  const Result singleRouter = Fleet(single.parameters).run(single.seconds, single.demand);
  check.failures = failuresOf(scenario, check.result, singleRouter);
  check.value = check.result.value;
  check.singleRouterValue = singleRouter.value;
  check.healthChecksPerTxn = healthChecksPerTxnOf(check.result);
  return check;
}

}  // namespace gulltrestle::fleet_model
