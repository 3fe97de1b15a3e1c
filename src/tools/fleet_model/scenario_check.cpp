#include "tools/fleet_model/scenario_check.h"

#include <cstdio>

namespace gulltrestle::fleet_model {

namespace {

// The fraction that has to be served of what a single router serves, as in the users' standing test. It says
// nothing where a single router serves little, or for a traffic class of which few transactions come.
constexpr double kMinServedFraction = 0.5, kMinSingleRouterFraction = 0.3, kMinShare = 0.05;
// Over all routers: more health checks than that are more than what they are for.
constexpr double kMaxHealthChecksPerTxn = 2;

std::string figure(double value) {
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

std::vector<std::string> faultsOf(const Scenario& scenario, const Result& result,
                                  const Result& singleRouter) {
  std::vector<std::string> faults;
  const RuleViolations& violations = result.violations;
  for (const auto& [count, what] : {std::pair{violations.late, "answered too late"},
                                    {violations.unanswered, "never answered"},
                                    {violations.executedTwice, "ran twice"},
                                    {violations.rejectedAfterExecution, "ran and were refused"},
                                    {violations.stale, "read data that is too old"},
                                    {violations.sentToDrained, "were sent to a drained node"}})
    if (count > 0) faults.push_back(std::to_string(count) + " txns " + what);
  if (result.collapsedNodes > singleRouter.collapsedNodes)
    faults.push_back(std::to_string(result.collapsedNodes - singleRouter.collapsedNodes) +
                     " cold nodes were pushed over");
  for (std::size_t row = 0; row < scenario.parameters.trafficClasses.size(); ++row) {
    const double served = servedFraction(result.kinds[row]), could = servedFraction(singleRouter.kinds[row]);
    if (scenario.parameters.trafficClasses[row].share < kMinShare || could < kMinSingleRouterFraction ||
        served >= could * kMinServedFraction)
      continue;
    faults.push_back("of txn type " + std::to_string(row) + " " + figure(served) + " is served where " +
                     figure(could) + " could be");
  }
  if (const double healthChecks = healthChecksPerTxnOf(result); healthChecks > kMaxHealthChecksPerTxn)
    faults.push_back(figure(healthChecks) + " probes a txn");
  return faults;
}

ScenarioResult checkScenario(const Scenario& scenario) {
  ScenarioResult check;
  check.result = Fleet(scenario.parameters).run(scenario.seconds, scenario.demand);
  const Scenario single = withSingleRouter(scenario);
  const Result singleRouter = Fleet(single.parameters).run(single.seconds, single.demand);
  check.faults = faultsOf(scenario, check.result, singleRouter);
  check.value = check.result.value;
  check.singleRouterValue = singleRouter.value;
  check.healthChecksPerTxn = healthChecksPerTxnOf(check.result);
  return check;
}

}  // namespace gulltrestle::fleet_model
