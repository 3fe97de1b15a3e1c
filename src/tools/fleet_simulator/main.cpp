// gulltrestle_fleet_simulator: runs modelled days of an installation, and prints their results. All figures
// are simulated; the same for the same seed.
#include <CLI/CLI.hpp>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>

#include "tools/fleet_model/scenario_check.h"
#include "tools/fleet_simulator/outage_orders.h"

using namespace gulltrestle;

namespace {

// The command line.
struct Options {
  std::vector<std::string> names;  // of scenarios; work: of orders
  std::size_t routers = 300, nodes = 120;
  std::uint64_t seed = 1;
  double seconds = 0;
  std::string csvFile, fault;
  bool hasRamp = false;
};

fleet_model::Scenario scenarioOf(const Options& options, const std::string& name) {
  fleet_model::Scenario scenario =
      fleet_model::scenarioNamed(name, options.routers, options.nodes, options.seed);
  scenario.parameters.hasAdmissionRamp = options.hasRamp;
  if (options.seconds > 0) scenario.seconds = options.seconds;
  if (options.fault == "alone") scenario.parameters.believedRouters = 1;
  if (options.fault == "warm") scenario.parameters.believesNodesWarm = true;
  return scenario;
}

void writeSeconds(const std::string& path, const fleet_model::Result& result) {
  std::ofstream file(path);
  file << "second,served,txns,late,submissions,probes,connections,refused\n";
  for (std::size_t s = 0; s < result.seconds.size(); ++s) {
    const auto& second = result.seconds[s];
    file << s << "," << (second.valueRequested > 0 ? second.valueServed / second.valueRequested : 0) << ","
         << second.txns << "," << second.late << "," << second.attempts << "," << second.healthChecks << ","
         << second.connections << "," << second.rejected << "\n";
  }
  file.close();
  if (!file) throw std::runtime_error("'" + path + "' can't be written");
}

// Runs scenarios.
int play(const Options& options) {
  std::cout << std::fixed << std::setprecision(3);
  for (const auto& name : options.names) {
    const auto scenario = scenarioOf(options, name);
    const auto result = fleet_model::Fleet(scenario.parameters).run(scenario.seconds, scenario.demand);
    std::cout << name << " " << options.routers << "x" << options.nodes << " seed " << options.seed
              << ": value " << result.value << ", worst 10 s " << result.worstCommittedFraction
              << ", nodes pushed over " << result.collapsedNodes << ", rules broken "
              << result.violations.sum() << "\n";
    if (!options.csvFile.empty()) writeSeconds(options.csvFile, result);
  }
  return 0;
}

// Compares the orders of maintenance, under traffic that shifts between a third and nine tenths of what all
// nodes can do.
int work(const Options& options) {
  std::cout << std::fixed << std::setprecision(3);
  // As long for each order as the longest takes, so that all see the same traffic.
  double length = options.seconds;
  for (const auto& order : fleet_simulator::orderNames())
    length = std::max(length, fleet_simulator::scheduleOf(order, options.nodes / 4).ends + 5);
  for (const auto& order : options.names) {
    fleet_model::Scenario scenario =
        fleet_model::scenarioNamed("calm", options.routers, options.nodes, options.seed);
    const auto schedule = fleet_simulator::scheduleOf(order, options.nodes / 4);
    scenario.parameters.faults.outages = schedule.outages;
    const auto demand = [](double t) { return 0.6 + 0.3 * std::sin(t * 0.15); };
    const auto result = fleet_model::Fleet(scenario.parameters).run(length, demand);
    std::cout << order << " " << options.routers << "x" << options.nodes << " seed " << options.seed
              << ": value " << result.value << ", worst 10 s " << result.worstCommittedFraction
              << ", nodes pushed over " << result.collapsedNodes << ", rules broken "
              << result.violations.sum() << ", all back and warm after " << std::setprecision(0)
              << schedule.ends << " s" << std::setprecision(3) << std::endl;
    if (!options.csvFile.empty()) writeSeconds(options.csvFile + order + ".csv", result);
  }
  return 0;
}

// Runs scenarios, and checks them. Returns the exit code.
int watch(const Options& options) {
  std::cout << std::fixed << std::setprecision(3);
  bool passed = true;
  for (const auto& name : options.names) {
    const auto check = fleet_model::checkScenario(scenarioOf(options, name));
    std::cout << name << " " << options.routers << "x" << options.nodes << " seed " << options.seed
              << ": value " << check.value << ", seen whole " << check.singleRouterValue << ", probes a txn "
              << check.healthChecksPerTxn << ", nodes pushed over " << check.result.collapsedNodes << "\n";
    for (const auto& fault : check.faults) std::cout << "  " << fault << "\n";
    passed = passed && check.faults.empty();
  }
  std::cout << (passed ? "watch passed" : "WATCH FAILED") << "\n";
  return passed ? 0 : 1;
}

}  // namespace

int main(int argumentCount, char** arguments) {
  CLI::App app("Modelled days of an installation: what many routers do in sum (simulated).",
               "gulltrestle_days");
  app.require_subcommand(1);
  Options options;
  const auto add = [&](const char* name, const char* description) {
    CLI::App* command = app.add_subcommand(name, description);
    command->add_option("day", options.names, "which, one or several")
        ->required()
        ->check(CLI::IsMember(fleet_model::scenarioNames()));
    command->add_option("--routers", options.routers)->check(CLI::Range(1, 1000))->capture_default_str();
    command->add_option("--nodes", options.nodes)->check(CLI::Range(4, 1000))->capture_default_str();
    command->add_option("--seed", options.seed)->capture_default_str();
    command->add_option("--seconds", options.seconds, "of the day; 0: all of it")->check(CLI::Range(0, 3600));
    command->add_flag("--ramp", options.hasRamp, "routers that start let in few at first");
    command->add_option("--fault", options.fault, "a built-in one, that the watch has to find")
        ->check(CLI::IsMember({"alone", "warm"}));
    return command;
  };
  CLI::App* playCommand = add("play", "Plays days");
  playCommand->add_option("--csv", options.csvFile, "a file for the figures by the second");
  CLI::App* watchCommand = add("watch", "Plays days, and judges them by the rules and a gate");
  CLI::App* workCommand = app.add_subcommand("work", "Machines taken out for work, in several orders");
  workCommand->add_option("order", options.names, "which, one or several")
      ->required()
      ->check(CLI::IsMember(fleet_simulator::orderNames()));
  workCommand->add_option("--routers", options.routers)->check(CLI::Range(1, 1000))->capture_default_str();
  workCommand->add_option("--nodes", options.nodes)->check(CLI::Range(12, 1000))->capture_default_str();
  workCommand->add_option("--seed", options.seed)->capture_default_str();
  workCommand->add_option("--csv", options.csvFile,
                          "what the names of files begin with: figures by the second");
  CLI11_PARSE(app, argumentCount, arguments);
  try {
    if (workCommand->parsed()) return work(options);
    return watchCommand->parsed() ? watch(options) : play(options);
  } catch (const std::exception& bad) {
    std::cerr << "gulltrestle_days: " << bad.what() << "\n";
    return 1;
  }
}
