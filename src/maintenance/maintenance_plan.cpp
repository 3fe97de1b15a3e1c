#include "maintenance/maintenance_plan.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace gulltrestle::maintenance {

using Json = nlohmann::json;

namespace {

// The names of the phases in stored plans, logs and status documents, in the order of the enum.
constexpr std::string_view kPhaseNames[] = {"waits", "next", "leaves", "free", "returns", "over"};

// In bytes. Limited so that a plan of many machines fits into a message between routers.
constexpr std::size_t kMaxReasonLength = 160;

Json encodedMachine(const Machine& machine) {
  return {{"name", machine.name},
          {"zone", machine.zone},
          {"nodes", machine.nodes},
          {"routers", machine.routers},
          {"takes_us", machine.expectedDuration.inMicros()},
          {"within_us", machine.completeWithin.inMicros()},
          {"order", machine.request},
          {"by", machine.requestedBy},
          {"phase", nameOf(machine.phase)},
          {"since", machine.phaseVersion},
          {"tries", machine.attempts},
          {"why", machine.reason}};
}

Machine readMachine(const Json& object) {
  Machine machine;
  machine.name = object.at("name");
  machine.zone = object.at("zone");
  machine.nodes = object.at("nodes").get<std::vector<std::string>>();
  machine.routers = object.at("routers").get<std::vector<std::string>>();
  machine.expectedDuration = Duration::micros(object.at("takes_us"));
  machine.completeWithin = Duration::micros(object.at("within_us"));
  machine.request = object.at("order");
  machine.requestedBy = object.at("by");
  const auto phase = phaseNamed(object.at("phase").get<std::string>());
  if (!phase) throw MalformedPlan("a phase");
  machine.phase = *phase;
  machine.phaseVersion = object.at("since");
  machine.attempts = object.at("tries");
  machine.reason = object.at("why");
  return machine;
}

}  // namespace

std::string_view nameOf(Phase phase) { return kPhaseNames[static_cast<int>(phase)]; }

std::optional<Phase> phaseNamed(std::string_view name) {
  const auto found = std::find(std::begin(kPhaseNames), std::end(kPhaseNames), name);
  if (found == std::end(kPhaseNames)) return std::nullopt;
  return static_cast<Phase>(found - std::begin(kPhaseNames));
}

const Machine* Plan::find(const std::string& machine) const {
  const auto found = std::find_if(machines.begin(), machines.end(),
                                  [&](const Machine& candidate) { return candidate.name == machine; });
  return found == machines.end() ? nullptr : &*found;
}
Machine* Plan::find(const std::string& machine) {
  return const_cast<Machine*>(std::as_const(*this).find(machine));
}

PhaseTransition moveToPhase(const Plan& plan, Machine& machine, Phase to, std::string reason) {
  if (reason.size() > kMaxReasonLength) reason.resize(kMaxReasonLength);
  PhaseTransition transition{machine.name, machine.phase, to, reason};
  machine.phase = to;
  machine.phaseVersion = plan.version;
  machine.reason = std::move(reason);
  return transition;
}

std::string encoded(const Plan& plan) {
  Json object{{"version", plan.version}, {"taken", plan.appliedRequests}, {"machines", Json::array()}};
  for (const Machine& machine : plan.machines) object["machines"].push_back(encodedMachine(machine));
  return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Plan readPlan(const std::string& text) {
  Plan plan;
  if (text.empty()) return plan;
  try {
    const Json object = Json::parse(text);
    plan.version = object.at("version");
    plan.appliedRequests = object.at("taken").get<std::vector<std::string>>();
    for (const Json& machine : object.at("machines")) plan.machines.push_back(readMachine(machine));
  } catch (const Json::exception& error) { throw MalformedPlan(error.what()); }
  return plan;
}

}  // namespace gulltrestle::maintenance
