// gulltrestle_model: plays modelled days, and prints what came of them.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>

#include "model/days.h"

using namespace gulltrestle;

int main(int count, char** words) {
  CLI::App app("Plays a modelled day of an installation, and tells what came of it.");
  std::string name, file;
  std::size_t routers = 300, nodes = 120;
  std::uint64_t seed = 1;
  app.add_option("day", name)->required()->check(CLI::IsMember(model::dayNames()));
  app.add_option("--routers", routers)->check(CLI::Range(1, 1000))->capture_default_str();
  app.add_option("--nodes", nodes)->check(CLI::Range(4, 1000))->capture_default_str();
  app.add_option("--seed", seed)->capture_default_str();
  app.add_option("--seconds", file, "a file for figures by the second");
  bool ramp = false;
  app.add_flag("--ramp", ramp, "routers that start let in few at first");
  CLI11_PARSE(app, count, words);
  auto day = model::dayOf(name, routers, nodes, seed);
  day.sheet.ramp = ramp;
  model::Fleet fleet(day.sheet);
  const auto result = fleet.run(day.seconds, day.demand);
  std::cout << std::fixed << std::setprecision(3) << "value " << result.value << " worst10s " << result.worst
            << " fell over " << result.fellOver << " broken " << result.broken.sum() << " stale " << result.broken.stale << "\n";
  for (std::size_t s = 0; s < result.seconds.size(); ++s) {
    const auto& at = result.seconds[s];
    std::cout << std::setw(3) << s << " served " << (at.asked > 0 ? at.earned / at.asked : 0) << " txns "
              << at.txns << " late " << at.late << " submissions " << at.submissions << " probes "
              << at.probes << " connections " << at.connections << " declined " << at.declined << "\n";
  }
}
