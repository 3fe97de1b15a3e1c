// gulltrestle_fleet_simulator: runs scenarios of the fleet model and prints their results. All results are
// simulated and are the same for the same seed.
#include <CLI/CLI.hpp>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>

#include "tools/fleet_model/scenario_check.h"
#include "tools/fleet_simulator/outage_orders.h"

using namespace gulltrestle;

namespace {

// The parsed command line.
struct Options {
  std::vector<std::string> names;  // of scenarios; for `work`: of orders
  std::size_t routers = 300, nodes = 120;
  std::uint64_t seed = 1;
  double seconds = 0;
  std::string csvFile, fault;
  bool hasRamp = false;
};

fleet_model::Scenario scenarioOf(const Options& options, const std::string& name) {
  fleet_model::Scenario scenario =
      fleet_model::makeScenario(name, options.routers, options.nodes, options.seed);
  scenario.parameters.hasAdmissionRamp = options.hasRamp;
  if (options.seconds > 0) scenario.seconds = options.seconds;
  if (options.fault == "alone") scenario.parameters.configuredRouters = 1;
  if (options.fault == "warm") scenario.parameters.assumesNodesWarm = true;
  return scenario;
}

// Writes the statistics of each second as CSV. Throws std::runtime_error if the file can't be written.
void writeCsv(const std::string& path, const fleet_model::Result& result) {
  std::ofstream file(path);
  file << "second,served,txns,late,submissions,probes,connections,refused\n";
  for (std::size_t index = 0; index < result.seconds.size(); ++index) {
    const auto& second = result.seconds[index];
    file << index << "," << (second.valueRequested > 0 ? second.valueServed / second.valueRequested : 0)
         << "," << second.txns << "," << second.late << "," << second.attempts << "," << second.healthChecks
         << "," << second.connections << "," << second.rejected << "\n";
  }
  file.close();
  if (!file) throw std::runtime_error("cannot write '" + path + "'");
}

// Runs scenarios and prints their results.
int runScenarios(const Options& options) {
  std::cout << std::fixed << std::setprecision(3);
  for (const auto& name : options.names) {
    const auto scenario = scenarioOf(options, name);
    const auto result = fleet_model::Fleet(scenario.parameters).run(scenario.seconds, scenario.demand);
    std::cout << name << " " << options.routers << "x" << options.nodes << " seed " << options.seed
              << ": value " << result.value << ", worst 10 s " << result.worstCommittedFraction
              << ", collapsed nodes " << result.collapsedNodes << ", rule violations "
              << result.violations.sum() << "\n";
    if (!options.csvFile.empty()) writeCsv(options.csvFile, result);
  }
  return 0;
}

// Compares maintenance orders, under a load that varies between a third and nine tenths of the capacity of
// all nodes.
int compareOrders(const Options& options) {
  std::cout << std::fixed << std::setprecision(3);
  // All runs have the length of the longest order, so that they get the same traffic.
  double length = options.seconds;
  for (const auto& order : fleet_simulator::orderNames())
    length = std::max(length, fleet_simulator::scheduleOf(order, options.nodes / 4).endSeconds + 5);
  for (const auto& order : options.names) {
    fleet_model::Scenario scenario =
        fleet_model::makeScenario("calm", options.routers, options.nodes, options.seed);
    const auto schedule = fleet_simulator::scheduleOf(order, options.nodes / 4);
    scenario.parameters.faults.outages = schedule.outages;
    const auto demand = [](double t) { return 0.6 + 0.3 * std::sin(t * 0.15); };
    const auto result = fleet_model::Fleet(scenario.parameters).run(length, demand);
    std::cout << order << " " << options.routers << "x" << options.nodes << " seed " << options.seed
              << ": value " << result.value << ", worst 10 s " << result.worstCommittedFraction
              << ", collapsed nodes " << result.collapsedNodes << ", rule violations "
              << result.violations.sum() << ", all nodes warm after " << std::setprecision(0)
              << schedule.endSeconds << " s" << std::setprecision(3) << std::endl;
    if (!options.csvFile.empty()) writeCsv(options.csvFile + order + ".csv", result);
  }
  return 0;
}

// Runs and checks scenarios. Returns the exit code: 1 if a check failed.
int checkScenarios(const Options& options) {
  std::cout << std::fixed << std::setprecision(3);
  bool passed = true;
  for (const auto& name : options.names) {
    const auto check = fleet_model::checkScenario(scenarioOf(options, name));
    std::cout << name << " " << options.routers << "x" << options.nodes << " seed " << options.seed
              << ": value " << check.value << ", single router " << check.singleRouterValue
              << ", health checks per txn " << check.healthChecksPerTxn << ", collapsed nodes "
              << check.result.collapsedNodes << "\n";
    for (const auto& failure : check.failures) std::cout << "  " << failure << "\n";
    passed = passed && check.failures.empty();
  }
  std::cout << (passed ? "watch passed" : "WATCH FAILED") << "\n";
  return passed ? 0 : 1;
}

}  // namespace

int main(int argumentCount, char** arguments) {
  CLI::App app("Simulates the combined behaviour of many routers in a fleet.", "gulltrestle_days");
  app.require_subcommand(1);
  Options options;
  const auto add = [&](const char* name, const char* description) {
    CLI::App* command = app.add_subcommand(name, description);
    command->add_option("day", options.names, "names of one or more scenarios")
        ->required()
        ->check(CLI::IsMember(fleet_model::scenarioNames()));
    command->add_option("--routers", options.routers)->check(CLI::Range(1, 1000))->capture_default_str();
    command->add_option("--nodes", options.nodes)->check(CLI::Range(4, 1000))->capture_default_str();
    command->add_option("--seed", options.seed)->capture_default_str();
    command->add_option("--seconds", options.seconds, "length of the run; 0: the length of the scenario")
        ->check(CLI::Range(0, 3600));
    command->add_flag("--ramp", options.hasRamp, "enable the admission ramp of routers that start");
    command->add_option("--fault", options.fault, "a deliberate misconfiguration that the watch must detect")
        ->check(CLI::IsMember({"alone", "warm"}));
    return command;
  };
  CLI::App* playCommand = add("play", "Runs scenarios");
  playCommand->add_option("--csv", options.csvFile, "file for the statistics of each second");
  CLI::App* watchCommand = add("watch", "Runs scenarios and checks the rules and the served value");
  CLI::App* workCommand = app.add_subcommand("work", "Compares orders of machine maintenance");
  workCommand->add_option("order", options.names, "names of one or more orders")
      ->required()
      ->check(CLI::IsMember(fleet_simulator::orderNames()));
  workCommand->add_option("--routers", options.routers)->check(CLI::Range(1, 1000))->capture_default_str();
  workCommand->add_option("--nodes", options.nodes)->check(CLI::Range(12, 1000))->capture_default_str();
  workCommand->add_option("--seed", options.seed)->capture_default_str();
  workCommand->add_option("--csv", options.csvFile, "prefix of the files for the statistics of each second");
  CLI11_PARSE(app, argumentCount, arguments);
  try {
    if (workCommand->parsed()) return compareOrders(options);
    return watchCommand->parsed() ? checkScenarios(options) : runScenarios(options);
  } catch (const std::exception& error) {
    std::cerr << "gulltrestle_days: " << error.what() << "\n";
    return 1;
  }
}
