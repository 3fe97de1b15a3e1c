// gulltrestle_days: plays modelled days of an installation, and prints what came of them. All figures are
// simulated; the same for the same seed.
#include <CLI/CLI.hpp>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>

#include "tools/fleet_model/scenario_check.h"
#include "tools/fleet_simulator/outage_orders.h"

using namespace gulltrestle;

namespace {

struct Asked {
  std::vector<std::string> days;
  std::size_t routers = 300, nodes = 120;
  std::uint64_t seed = 1;
  double seconds = 0;
  std::string file, fault;
  bool ramp = false;
};

fleet_model::Scenario dayOf(const Asked& asked, const std::string& name) {
  fleet_model::Scenario day = fleet_model::scenarioNamed(name, asked.routers, asked.nodes, asked.seed);
  day.sheet.ramp = asked.ramp;
  if (asked.seconds > 0) day.seconds = asked.seconds;
  if (asked.fault == "alone") day.sheet.believedRouters = 1;
  if (asked.fault == "warm") day.sheet.believedWarm = true;
  return day;
}

void writeSeconds(const std::string& path, const fleet_model::Result& result) {
  std::ofstream file(path);
  file << "second,served,txns,late,submissions,probes,connections,refused\n";
  for (std::size_t s = 0; s < result.seconds.size(); ++s) {
    const auto& at = result.seconds[s];
    file << s << "," << (at.asked > 0 ? at.earned / at.asked : 0) << "," << at.txns << "," << at.late << ","
         << at.attempts << "," << at.probes << "," << at.connections << "," << at.refused << "\n";
  }
  file.close();
  if (!file) throw std::runtime_error("'" + path + "' can't be written");
}

int play(const Asked& asked) {
  std::cout << std::fixed << std::setprecision(3);
  for (const auto& name : asked.days) {
    const auto day = dayOf(asked, name);
    const auto result = fleet_model::Fleet(day.sheet).run(day.seconds, day.demand);
    std::cout << name << " " << asked.routers << "x" << asked.nodes << " seed " << asked.seed << ": value "
              << result.value << ", worst 10 s " << result.worst << ", nodes pushed over " << result.fellOver
              << ", rules broken " << result.broken.sum() << "\n";
    if (!asked.file.empty()) writeSeconds(asked.file, result);
  }
  return 0;
}

// Traffic that shifts between a third and nine tenths of what all nodes can do, while machines are taken out.
int work(const Asked& asked) {
  std::cout << std::fixed << std::setprecision(3);
  // As long for each order as the longest takes, so that all see the same traffic.
  double length = asked.seconds;
  for (const auto& order : fleet_simulator::orderNames())
    length = std::max(length, fleet_simulator::scheduleOf(order, asked.nodes / 4).ends + 5);
  for (const auto& order : asked.days) {
    fleet_model::Scenario day = fleet_model::scenarioNamed("calm", asked.routers, asked.nodes, asked.seed);
    const auto schedule = fleet_simulator::scheduleOf(order, asked.nodes / 4);
    day.sheet.trouble.outages = schedule.outages;
    const auto demand = [](double t) { return 0.6 + 0.3 * std::sin(t * 0.15); };
    const auto result = fleet_model::Fleet(day.sheet).run(length, demand);
    std::cout << order << " " << asked.routers << "x" << asked.nodes << " seed " << asked.seed << ": value "
              << result.value << ", worst 10 s " << result.worst << ", nodes pushed over " << result.fellOver
              << ", rules broken " << result.broken.sum() << ", all back and warm after "
              << std::setprecision(0) << schedule.ends << " s" << std::setprecision(3) << std::endl;
    if (!asked.file.empty()) writeSeconds(asked.file + order + ".csv", result);
  }
  return 0;
}

int watch(const Asked& asked) {
  std::cout << std::fixed << std::setprecision(3);
  bool passed = true;
  for (const auto& name : asked.days) {
    const auto verdict = fleet_model::checkScenario(dayOf(asked, name));
    std::cout << name << " " << asked.routers << "x" << asked.nodes << " seed " << asked.seed << ": value "
              << verdict.value << ", seen whole " << verdict.whole << ", probes a txn " << verdict.probesATxn
              << ", nodes pushed over " << verdict.result.fellOver << "\n";
    for (const auto& fault : verdict.faults) std::cout << "  " << fault << "\n";
    passed = passed && verdict.faults.empty();
  }
  std::cout << (passed ? "watch passed" : "WATCH FAILED") << "\n";
  return passed ? 0 : 1;
}

}  // namespace

int main(int count, char** words) {
  CLI::App app("Modelled days of an installation: what many routers do in sum (simulated).",
               "gulltrestle_days");
  app.require_subcommand(1);
  Asked asked;
  const auto add = [&](const char* name, const char* what) {
    CLI::App* command = app.add_subcommand(name, what);
    command->add_option("day", asked.days, "which, one or several")
        ->required()
        ->check(CLI::IsMember(fleet_model::scenarioNames()));
    command->add_option("--routers", asked.routers)->check(CLI::Range(1, 1000))->capture_default_str();
    command->add_option("--nodes", asked.nodes)->check(CLI::Range(4, 1000))->capture_default_str();
    command->add_option("--seed", asked.seed)->capture_default_str();
    command->add_option("--seconds", asked.seconds, "of the day; 0: all of it")->check(CLI::Range(0, 3600));
    command->add_flag("--ramp", asked.ramp, "routers that start let in few at first");
    command->add_option("--fault", asked.fault, "a built-in one, that the watch has to find")
        ->check(CLI::IsMember({"alone", "warm"}));
    return command;
  };
  CLI::App* playing = add("play", "Plays days");
  playing->add_option("--csv", asked.file, "a file for the figures by the second");
  CLI::App* watching = add("watch", "Plays days, and judges them by the rules and a gate");
  CLI::App* working = app.add_subcommand("work", "Machines taken out for work, in several orders");
  working->add_option("order", asked.days, "which, one or several")
      ->required()
      ->check(CLI::IsMember(fleet_simulator::orderNames()));
  working->add_option("--routers", asked.routers)->check(CLI::Range(1, 1000))->capture_default_str();
  working->add_option("--nodes", asked.nodes)->check(CLI::Range(12, 1000))->capture_default_str();
  working->add_option("--seed", asked.seed)->capture_default_str();
  working->add_option("--csv", asked.file, "what the names of files begin with: figures by the second");
  CLI11_PARSE(app, count, words);
  try {
    if (working->parsed()) return work(asked);
    return watching->parsed() ? watch(asked) : play(asked);
  } catch (const std::exception& bad) {
    std::cerr << "gulltrestle_days: " << bad.what() << "\n";
    return 1;
  }
}
