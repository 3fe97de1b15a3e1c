// Minutes of varying load on a simulated fleet.
#include <cmath>
#include <iomanip>
#include <iostream>
#include <random>

#include "levels/cases.h"
#include "levels/setup.h"
#include "tools/fleet_model/fleet.h"

namespace gulltrestle::levels_test {

namespace {

fleet_model::FleetParameters fleetParameters(std::size_t routers, fleet_model::LoadShedding loadShedding,
                                             fleet_model::FaultPlan faults = {}) {
  const auto classes = sampleClasses();
  fleet_model::FleetParameters parameters;
  const double trafficShares[] = {0.30, 0.25, 0.25, 0.04, 0.16};
  for (std::size_t row = 0; row < classes.size(); ++row)
    parameters.trafficClasses.push_back({classes[row], trafficShares[row], row == 3 ? ms(200) : ms(20)});
  parameters.routers = routers;
  parameters.loadShedding = loadShedding;
  parameters.faults = faults;
  parameters.seed = 5;
  return parameters;
}

// The load at a time in seconds, as a multiple of the capacity of the fleet.
using Demand = std::function<double(double)>;
using fleet_model::LoadShedding;

fleet_model::Result simulate(std::size_t routers, LoadShedding loadShedding, double seconds,
                             const Demand& demand, fleet_model::FaultPlan faults = {}) {
  return fleet_model::Fleet(fleetParameters(routers, loadShedding, faults)).run(seconds, demand);
}

}  // namespace

// Faults during load, each simulated with and without degradation levels.
void faultScenarios() {
  const auto constantLoad = [](double load) { return [load](double) { return load; }; };
  const Demand jump = [](double t) { return t >= 20 && t < 60 ? 2.0 : 0.5; };
  const auto compare = [](const std::string& description, std::size_t routers, const Demand& demand,
                          fleet_model::FaultPlan faults) {
    const auto withLevels = simulate(routers, LoadShedding::byLevels, 120, demand, faults);
    const auto withoutLevels = simulate(routers, LoadShedding::byModule, 120, demand, faults);
    std::cout << std::fixed << std::setprecision(2) << description << ", " << routers << ": value "
              << withLevels.value << " (without levels " << withoutLevels.value << "), worst 10 s "
              << withLevels.worstCommittedFraction << " (" << withoutLevels.worstCommittedFraction
              << "), changes " << withLevels.levelChanges << ", highest level " << withLevels.maxLevel
              << ", rejections correct " << withLevels.correctRejections << " wrong "
              << withLevels.wrongRejections << ", violations "
              << withLevels.violations.sum() + withoutLevels.violations.sum()
              << "; the first router's levels:";
    for (const auto& [second, level] : withLevels.levels) std::cout << " " << level << " at " << second;
    std::cout << "\n";
  };
  for (const std::size_t routers : {1, 4}) {
    fleet_model::FaultPlan retrying, restarted, replicationStopped, delayedReports, drained;
    retrying.maxRetriesAfterRejection = 3;
    restarted.restartAt = 40;
    replicationStopped.replicationStopsAt = 20, replicationStopped.replicationResumesAt = 80;
    delayedReports.loadReportDelay = 2;
    drained.drainAt = 30;
    compare("a jump to twice the capacity from 20 to 60 s", routers, jump, {});
    compare("the same, clients retry immediately", routers, jump, retrying);
    compare("the same, all routers restart at its peak", routers, jump, restarted);
    compare("the same, a replica is drained meanwhile", routers, jump, drained);
    compare("replication stops from 20 to 80 s at half load", routers, constantLoad(0.5), replicationStopped);
    compare("replication stops from 20 to 80 s at full load", routers, constantLoad(1), replicationStopped);
    compare("load reports delayed by 2 s at half load", routers, constantLoad(0.5), delayedReports);
  }
}

// Load that changes over time, with levels, without levels and without any load shedding.
void varyingLoad(int minutes, const std::vector<std::size_t>& routerCounts) {
  const std::map<std::string, Demand> shapes{
      {"sine", [](double t) { return 1 + 0.8 * std::sin(t * 2 * 3.14159265358979 / 40); }},
      {"square", [](double t) { return std::fmod(t, 50) < 25 ? 0.5 : 1.8; }},
      {"sawtooth", [](double t) { return 0.3 + 1.6 * std::fmod(t, 30) / 30; }},
      {"walk", [](double t) {
         double load = 1;
         std::knuth_b random(3);
         for (int i = 0; i < static_cast<int>(t / 2); ++i)
           load = std::clamp(load + (static_cast<double>(random() % 3) - 1.0) * 0.2, 0.3, 2.0);
         return load;
       }}};
  std::cout << "load shape, routers: value with levels, without levels, without shedding; "
               "changes per router and minute, maximum in a minute; highest level; violations\n";
  for (const auto& [name, demand] : shapes) {
    for (const std::size_t routers : routerCounts) {
      const auto withLevels = simulate(routers, LoadShedding::byLevels, minutes * 60, demand);
      const auto withoutLevels = simulate(routers, LoadShedding::byModule, minutes * 60, demand);
      const auto withoutShedding = simulate(routers, LoadShedding::none, minutes * 60, demand);
      std::cout << std::fixed << std::setprecision(2) << name << ", " << routers << ": " << withLevels.value
                << " " << withoutLevels.value << " " << withoutShedding.value << "; "
                << static_cast<double>(withLevels.levelChanges) / static_cast<double>(routers) / minutes
                << ", " << withLevels.maxLevelChangesPerMinute << "; " << withLevels.maxLevel << "; "
                << withLevels.violations.sum() + withoutLevels.violations.sum() +
                       withoutShedding.violations.sum()
                << "\n";
    }
  }
}

}  // namespace gulltrestle::levels_test
