#include "tools/fleet_model/scenarios.h"

#include <stdexcept>

namespace gulltrestle::fleet_model {

namespace {

constexpr std::size_t kNodesPerGroup = 4;

// Parameters of one traffic class. `value`: of a transaction; `share`: of all transactions.
struct ClassParameters {
  std::int64_t latencyTargetMillis = 0, deadlineMillis = 0;
  double value = 0, share = 0;
  std::int64_t meanWorkMillis = 0;
};

TrafficClass makeClass(ReadLevel level, Effect effect, const ClassParameters& parameters) {
  TrafficClass trafficClass;
  trafficClass.type.level = level;
  trafficClass.type.effect = effect;
  trafficClass.type.latencyTarget = Duration::millis(parameters.latencyTargetMillis);
  trafficClass.type.deadline = Duration::millis(parameters.deadlineMillis);
  trafficClass.type.priorityWeight = parameters.value;
  trafficClass.type.lateValueFraction = 0.2;
  trafficClass.type.maxStaleness = Duration::millis(3000);
  trafficClass.share = parameters.share;
  trafficClass.meanWork = Duration::millis(parameters.meanWorkMillis);
  return trafficClass;
}

// The traffic mix of the users: mostly reads, of each consistency level, and a few writes.
std::vector<TrafficClass> defaultClasses() {
  return {makeClass(ReadLevel::bounded, Effect::idempotent, {300, 1500, 1, 0.30, 20}),
          makeClass(ReadLevel::session, Effect::idempotent, {400, 2000, 1, 0.25, 20}),
          makeClass(ReadLevel::any, Effect::idempotent, {300, 1500, 1, 0.29, 20}),
          makeClass(ReadLevel::any, Effect::idempotent, {3000, 8000, 4, 0.03, 200}),
          makeClass(ReadLevel::write, Effect::idempotent, {400, 2000, 2, 0.08, 20}),
          makeClass(ReadLevel::write, Effect::atMostOnce, {400, 3000, 3, 0.05, 20})};
}

// The parameters that scenarios have in common: a constant load, and clients that retry until their deadline.
Scenario defaultScenario(std::size_t routers, std::size_t nodes, std::uint64_t seed) {
  Scenario scenario;
  FleetParameters& parameters = scenario.parameters;
  parameters.trafficClasses = defaultClasses();
  parameters.routers = routers;
  parameters.nodeParameters.groups = std::max<std::size_t>(1, nodes / kNodesPerGroup);
  parameters.nodeParameters.replicas = kNodesPerGroup - 1;
  parameters.nodeParameters.coldSpeedFraction = 0.2;
  parameters.nodeParameters.warmUpDuration = Duration::millis(10'000);
  // PostgreSQL starts a process for each connection, as its documentation describes, which takes some
  // milliseconds.
  parameters.nodeParameters.connectionWork = Duration::millis(3);
  parameters.nodeParameters.collapseWait = Duration::millis(2500);
  parameters.allowsHealthChecks = true;
  parameters.imbalance = 3;
  parameters.sessions = static_cast<unsigned>(nodes * 50);
  parameters.seed = seed;
  parameters.faults.retriesUntilDeadline = true;
  parameters.faults.obeysRetryAfter = false;
  parameters.faults.endpointListDelay = 0.5;
  scenario.seconds = 30;
  scenario.demand = [](double) { return 0.5; };
  return scenario;
}

}  // namespace

const std::vector<std::string>& scenarioNames() {
  static const std::vector<std::string> names{"calm", "herd", "split", "join",
                                              "roll", "torn", "start", "storm"};
  return names;
}

Scenario makeScenario(const std::string& name, std::size_t routers, std::size_t nodes, std::uint64_t seed) {
  Scenario scenario = defaultScenario(routers, nodes, seed);
  FaultPlan& faults = scenario.parameters.faults;
  if (name == "calm") {
    scenario.demand = [](double t) { return t >= 5 && t < 10 ? 0.75 : 0.5; };
  } else if (name == "herd") {
    faults.routerPowerLoss = {8, 0.7, 0.5, 3};
  } else if (name == "split") {
    faults.partition = {8, 14, 0.33, 0.33};
    faults.endpointListDelay = 2;
  } else if (name == "join") {
    faults.nodePowerLoss = {8, 0.6, 0.5, 7};
  } else if (name == "roll") {
    faults.nodePowerLoss = {8, 0.5, 0.5, 9};
    faults.routerPowerLoss = {8, 1, 0.5, 9};
  } else if (name == "torn") {
    faults.nodePowerLoss = {8, 0.5, 0.2, 1};
    faults.lostLog = Duration::millis(2000);
    faults.endpointListDelay = 2;
  } else if (name == "start") {
    faults.nodePowerLoss = {8, 1, 1, 4};
    faults.routerPowerLoss = {8, 1, 1, 5};
    scenario.seconds = 45;
  } else if (name == "storm") {
    faults.nodePowerLoss = {8, 1, 1, 4};
    faults.routerPowerLoss = {8, 1, 1, 5};
    scenario.parameters.nodeParameters.collapseWait = Duration::millis(1500);
    faults.retryDelay = Duration::millis(20);
    scenario.seconds = 45;
  } else {
    throw std::invalid_argument("'" + name + "' is not a known scenario");
  }
  return scenario;
}

Scenario withSingleRouter(Scenario scenario) {
  scenario.parameters.routers = 1;
  scenario.parameters.imbalance = 0;
  scenario.parameters.faults.loadReportDelay = std::max(scenario.parameters.faults.loadReportDelay, 0.1);
  return scenario;
}

}  // namespace gulltrestle::fleet_model
