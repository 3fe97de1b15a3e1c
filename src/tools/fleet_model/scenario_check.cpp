#include "tools/fleet_model/scenario_check.h"

#include <cstdio>

namespace gulltrestle::fleet_model {

namespace {

// Of what one router that sees all serves, as in the users' standing test; where that is little it says
// nothing, and neither does a type of which few come.
constexpr double kPart = 0.5, kLittle = 0.3, kFew = 0.05;
// Probes a txn, over all routers: twice as many as txns are more than what is asked for.
constexpr double kMostProbes = 2;

std::string figure(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", value);
  return text;
}

double part(std::pair<double, double> askedAndEarned) {
  return askedAndEarned.first > 0 ? askedAndEarned.second / askedAndEarned.first : 0;
}

double probesATxn(const Result& result) {
  double probes = 0, txns = 0;
  for (const Second& second : result.seconds) probes += second.probes, txns += second.txns;
  return txns > 0 ? probes / txns : 0;
}

}  // namespace

std::vector<std::string> faultsOf(const Scenario& day, const Result& result, const Result& whole) {
  std::vector<std::string> faults;
  const RuleViolations& broken = result.broken;
  for (const auto& [count, what] : {std::pair{broken.late, "answered too late"},
                                    {broken.unanswered, "never answered"},
                                    {broken.twice, "ran twice"},
                                    {broken.refused, "ran and were refused"},
                                    {broken.stale, "read data that is too old"},
                                    {broken.drained, "were sent to a drained node"}})
    if (count > 0) faults.push_back(std::to_string(count) + " txns " + what);
  if (result.fellOver > whole.fellOver)
    faults.push_back(std::to_string(result.fellOver - whole.fellOver) + " cold nodes were pushed over");
  for (std::size_t row = 0; row < day.sheet.kinds.size(); ++row) {
    const double served = part(result.kinds[row]), could = part(whole.kinds[row]);
    if (day.sheet.kinds[row].share < kFew || could < kLittle || served >= could * kPart) continue;
    faults.push_back("of txn type " + std::to_string(row) + " " + figure(served) + " is served where " +
                     figure(could) + " could be");
  }
  if (const double probes = probesATxn(result); probes > kMostProbes)
    faults.push_back(figure(probes) + " probes a txn");
  return faults;
}

ScenarioResult checkScenario(const Scenario& day) {
  ScenarioResult verdict;
  verdict.result = Fleet(day.sheet).run(day.seconds, day.demand);
  const Scenario seen = seenWhole(day);
  const Result whole = Fleet(seen.sheet).run(seen.seconds, seen.demand);
  verdict.faults = faultsOf(day, verdict.result, whole);
  verdict.value = verdict.result.value;
  verdict.whole = whole.value;
  verdict.probesATxn = probesATxn(verdict.result);
  return verdict;
}

}  // namespace gulltrestle::fleet_model
