#include "maintenance/maintenance_plan.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace gulltrestle::maintenance {

using Json = nlohmann::json;

namespace {

constexpr std::string_view kPhases[] = {"waits", "next", "leaves", "free", "returns", "over"};

}  // namespace

std::string_view nameOf(Phase phase) { return kPhases[static_cast<int>(phase)]; }

bool phaseNamed(std::string_view name, Phase& phase) {
  const auto at = std::find(std::begin(kPhases), std::end(kPhases), name);
  if (at == std::end(kPhases)) return false;
  phase = static_cast<Phase>(at - std::begin(kPhases));
  return true;
}

const Machine* Plan::find(const std::string& machine) const {
  const auto at =
      std::find_if(machines.begin(), machines.end(), [&](const auto& one) { return one.name == machine; });
  return at == machines.end() ? nullptr : &*at;
}
Machine* Plan::find(const std::string& machine) {
  return const_cast<Machine*>(std::as_const(*this).find(machine));
}

std::string encoded(const Plan& plan) {
  Json all{{"version", plan.version}, {"taken", plan.appliedRequests}, {"machines", Json::array()}};
  for (const auto& m : plan.machines)
    all["machines"].push_back({{"name", m.name},
                               {"zone", m.zone},
                               {"nodes", m.nodes},
                               {"routers", m.routers},
                               {"takes_us", m.expectedDuration.inMicros()},
                               {"within_us", m.wantedWithin.inMicros()},
                               {"order", m.request},
                               {"by", m.requestedBy},
                               {"phase", nameOf(m.phase)},
                               {"since", m.since},
                               {"tries", m.attempts},
                               {"why", m.reason}});
  return all.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Plan readPlan(const std::string& text) {
  Plan plan;
  if (text.empty()) return plan;
  try {
    const Json all = Json::parse(text);
    plan.version = all.at("version");
    plan.appliedRequests = all.at("taken").get<std::vector<std::string>>();
    for (const auto& one : all.at("machines")) {
      Machine m;
      m.name = one.at("name");
      m.zone = one.at("zone");
      m.nodes = one.at("nodes").get<std::vector<std::string>>();
      m.routers = one.at("routers").get<std::vector<std::string>>();
      m.expectedDuration = Duration::micros(one.at("takes_us"));
      m.wantedWithin = Duration::micros(one.at("within_us"));
      m.request = one.at("order");
      m.requestedBy = one.at("by");
      if (!phaseNamed(one.at("phase").get<std::string>(), m.phase)) throw std::runtime_error("a phase");
      m.since = one.at("since");
      m.attempts = one.at("tries");
      m.reason = one.at("why");
      plan.machines.push_back(std::move(m));
    }
  } catch (const std::exception& bad) { throw std::runtime_error(std::string("no plan: ") + bad.what()); }
  return plan;
}

}  // namespace gulltrestle::maintenance
