#include "tools/fleet_model/scenarios.h"

#include <stdexcept>

namespace gulltrestle::fleet_model {

namespace {

TrafficClass kindOf(ReadLevel level, Effect effect, std::int64_t sla, std::int64_t deadline, double value,
                    double share, std::int64_t work) {
  TrafficClass kind;
  kind.type.level = level;
  kind.type.effect = effect;
  kind.type.latencyTarget = Duration::millis(sla);
  kind.type.deadline = Duration::millis(deadline);
  kind.type.priorityWeight = value;
  kind.type.lateValueFraction = 0.2;
  kind.type.maxStaleness = Duration::millis(3000);
  kind.share = share;
  kind.work = Duration::millis(work);
  return kind;
}

// As the users' traffic is made up: mostly reads, of each kind of freshness, and a few writes.
std::vector<TrafficClass> usualKinds() {
  return {kindOf(ReadLevel::bounded, Effect::idempotent, 300, 1500, 1, 0.30, 20),
          kindOf(ReadLevel::session, Effect::idempotent, 400, 2000, 1, 0.25, 20),
          kindOf(ReadLevel::any, Effect::idempotent, 300, 1500, 1, 0.29, 20),
          kindOf(ReadLevel::any, Effect::idempotent, 3000, 8000, 4, 0.03, 200),
          kindOf(ReadLevel::write, Effect::idempotent, 400, 2000, 2, 0.08, 20),
          kindOf(ReadLevel::write, Effect::atMostOnce, 400, 3000, 3, 0.05, 20)};
}

}  // namespace

const std::vector<std::string>& scenarioNames() {
  static const std::vector<std::string> names{"calm", "herd", "split", "join",
                                              "roll", "torn", "start", "storm"};
  return names;
}

Scenario scenarioNamed(const std::string& name, std::size_t routers, std::size_t nodes, std::uint64_t seed) {
  Scenario day;
  FleetParameters& sheet = day.sheet;
  sheet.kinds = usualKinds();
  sheet.routers = routers;
  sheet.machines.groups = std::max<std::size_t>(1, nodes / 4);
  sheet.machines.replicas = 3;
  sheet.machines.coldShare = 0.2;
  sheet.machines.coldTime = Duration::millis(10'000);
  // A process a connection: what PostgreSQL's documentation describes, at the cost of some milliseconds.
  sheet.machines.connection = Duration::millis(3);
  sheet.machines.pushOver = Duration::millis(2500);
  sheet.probes = true;
  sheet.uneven = 3;
  sheet.sessions = static_cast<unsigned>(nodes * 50);
  sheet.seed = seed;
  FaultPlan& trouble = sheet.trouble;
  trouble.insist = true;
  trouble.heed = false;
  trouble.listLate = 0.5;
  day.seconds = 30;
  day.demand = [](double) { return 0.5; };
  if (name == "calm") {
    day.demand = [](double t) { return t >= 5 && t < 10 ? 0.75 : 0.5; };
  } else if (name == "herd") {
    trouble.routersLost = {8, 0.7, 0.5, 3};
  } else if (name == "split") {
    trouble.cut = {8, 14, 0.33, 0.33};
    trouble.listLate = 2;
  } else if (name == "join") {
    trouble.nodesLost = {8, 0.6, 0.5, 7};
  } else if (name == "roll") {
    trouble.nodesLost = {8, 0.5, 0.5, 9};
    trouble.routersLost = {8, 1, 0.5, 9};
  } else if (name == "torn") {
    trouble.nodesLost = {8, 0.5, 0.2, 1};
    trouble.logLost = Duration::millis(2000);
    trouble.listLate = 2;
  } else if (name == "start") {
    trouble.nodesLost = {8, 1, 1, 4};
    trouble.routersLost = {8, 1, 1, 5};
    day.seconds = 45;
  } else if (name == "storm") {
    trouble.nodesLost = {8, 1, 1, 4};
    trouble.routersLost = {8, 1, 1, 5};
    sheet.machines.pushOver = Duration::millis(1500);
    trouble.again = Duration::millis(20);
    day.seconds = 45;
  } else {
    throw std::invalid_argument("'" + name + "' is no day");
  }
  return day;
}

Scenario seenWhole(Scenario day) {
  day.sheet.routers = 1;
  day.sheet.uneven = 0;
  day.sheet.trouble.newsLate = std::max(day.sheet.trouble.newsLate, 0.1);
  return day;
}

}  // namespace gulltrestle::fleet_model
