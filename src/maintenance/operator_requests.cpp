#include "maintenance/operator_requests.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "maintenance/scheduling.h"

namespace gulltrestle::maintenance {

using Json = nlohmann::ordered_json;

namespace {

constexpr std::int64_t kMaxMillis = 7 * 24 * 3'600'000LL;
constexpr std::size_t kMaxNameLength = 200;
// Half of the size limit of a message between routers. The other half is reserved for reasons that are added
// later.
constexpr std::size_t kMaxPlanBytes = 64 * 1024;
// Maximum number of unfinished machines. Limited so that the plan fits into a message between routers.
constexpr std::size_t kMaxUnfinishedMachines = 200;
// Number of request ids that are kept to detect duplicates. Requests are repeated only by an operator's retry
// or by a router that restarts, so far fewer than this are repeated.
constexpr std::size_t kMaxAppliedRequests = 200;

// --- Parsing

void rejectUnknownKeys(const Json& object, const std::string& path, const std::set<std::string>& known) {
  for (const auto& [key, value] : object.items())
    if (!known.contains(key)) throw InvalidRequest(path + key, "is not known");
}

std::string readText(const Json& object, const std::string& path, const char* key, bool isRequired) {
  const auto found = object.find(key);
  if (found == object.end()) {
    if (isRequired) throw InvalidRequest(path + key, "is missing");
    return "";
  }
  if (!found->is_string()) throw InvalidRequest(path + key, "is no text");
  const auto value = found->get<std::string>();
  if (value.empty() && isRequired) throw InvalidRequest(path + key, "is empty");
  if (value.size() > kMaxNameLength) throw InvalidRequest(path + key, "is too long");
  return value;
}

Duration readMillis(const Json& object, const std::string& path, const char* key, Duration defaultValue) {
  const auto found = object.find(key);
  if (found == object.end()) return defaultValue;
  if (!found->is_number_integer() || found->get<std::int64_t>() < 0 ||
      found->get<std::int64_t>() > kMaxMillis)
    throw InvalidRequest(path + key, "is no whole number of milliseconds up to a week");
  return Duration::millis(found->get<std::int64_t>());
}

std::vector<std::string> readNames(const Json& object, const std::string& path, const char* key) {
  std::vector<std::string> names;
  const auto found = object.find(key);
  if (found == object.end()) return names;
  if (!found->is_array()) throw InvalidRequest(path + key, "is no list of names");
  for (const auto& name : *found) {
    if (!name.is_string() || name.get<std::string>().empty() ||
        name.get<std::string>().size() > kMaxNameLength)
      throw InvalidRequest(path + key, "is no list of names");
    names.push_back(name.get<std::string>());
  }
  return names;
}

Machine readMachine(const std::string& name, const Json& object) {
  const std::string path = "machines." + name + ".";
  if (!object.is_object()) throw InvalidRequest("machines." + name, "is no object");
  rejectUnknownKeys(object, path, {"zone", "nodes", "routers", "takes_ms", "within_ms"});
  if (name.empty() || name.size() > kMaxNameLength)
    throw InvalidRequest("machines", "a name is empty or too long");
  Machine machine;
  machine.name = name;
  machine.zone = readText(object, path, "zone", false);
  machine.nodes = readNames(object, path, "nodes");
  machine.routers = readNames(object, path, "routers");
  machine.expectedDuration = readMillis(object, path, "takes_ms", Duration::millis(600'000));
  machine.completeWithin = readMillis(object, path, "within_ms", Duration());
  if (machine.completeWithin != Duration() && machine.completeWithin < machine.expectedDuration)
    throw InvalidRequest(path + "within_ms", "is less than the work takes");
  return machine;
}

OperatorRequest::Kind readKind(const Json& object) {
  const std::string kind = readText(object, "", "what", false);
  if (kind == "stop") return OperatorRequest::Kind::stop;
  if (kind == "done") return OperatorRequest::Kind::done;
  if (!kind.empty() && kind != "ask")
    throw InvalidRequest("what", "'" + kind + "' is none of ask, stop and done");
  return OperatorRequest::Kind::plan;
}

std::string_view nameOf(OperatorRequest::Kind kind) {
  switch (kind) {
    case OperatorRequest::Kind::plan:
      return "ask";
    case OperatorRequest::Kind::stop:
      return "stop";
    case OperatorRequest::Kind::done:
      break;
  }
  return "done";
}

// --- Applying

void markApplied(Plan& plan, const std::string& requestId) {
  plan.appliedRequests.push_back(requestId);
  if (plan.appliedRequests.size() > kMaxAppliedRequests)
    plan.appliedRequests.erase(plan.appliedRequests.begin());
}
bool wasApplied(const Plan& plan, const std::string& requestId) {
  return std::find(plan.appliedRequests.begin(), plan.appliedRequests.end(), requestId) !=
         plan.appliedRequests.end();
}

std::vector<std::string> namesOn(const Machine& machine) {
  std::vector<std::string> names = machine.nodes;
  names.insert(names.end(), machine.routers.begin(), machine.routers.end());
  return names;
}

// Returns why the nodes and routers of the machine cannot be requested, or an empty string if they can: a
// name occurs twice in the request, or belongs to another unfinished machine of the plan. `named` collects
// the names of the request.
std::string conflictReason(const Plan& plan, const Machine& machine, std::set<std::string>& named) {
  for (const auto& name : namesOn(machine)) {
    if (!named.insert(name).second) return "'" + name + "' is named twice";
    for (const Machine& other : plan.machines) {
      if (other.phase == Phase::finished || other.name == machine.name) continue;
      const auto otherNames = namesOn(other);
      if (std::find(otherNames.begin(), otherNames.end(), name) != otherNames.end())
        return "'" + name + "' stands on '" + other.name + "', by '" + other.requestedBy + "'";
    }
  }
  return "";
}

// Returns why the machines cannot be added to the plan, or an empty string if they can.
std::string rejectionReason(const Plan& plan, const std::vector<Machine>& machines, const FleetState& fleet,
                            const MaintenanceLimits& bounds) {
  if (machines.empty()) return "it names no machine";
  const auto unfinished = static_cast<std::size_t>(
      std::count_if(plan.machines.begin(), plan.machines.end(),
                    [](const Machine& machine) { return machine.phase != Phase::finished; }));
  if (unfinished + machines.size() > kMaxUnfinishedMachines)
    return "more than " + std::to_string(kMaxUnfinishedMachines) + " machines would be open";
  std::set<std::string> machineNames, namesOnThem;
  for (const Machine& machine : machines) {
    const std::string prefix = "machine '" + machine.name + "': ";
    if (machine.name.empty()) return "a machine has no name";
    if (!machineNames.insert(machine.name).second) return prefix + "it is named twice";
    const Machine* known = plan.find(machine.name);
    if (known && known->phase != Phase::finished)
      return prefix + "'" + known->requestedBy + "' has asked for it already";
    if (const auto reason = permanentBlockingReason(machine, fleet, bounds); !reason.empty())
      return prefix + reason;
    if (const auto reason = conflictReason(plan, machine, namesOnThem); !reason.empty())
      return prefix + reason;
  }
  return "";
}

}  // namespace

OperatorRequest readOperatorRequest(std::string_view text) {
  const Json object = Json::parse(text, nullptr, false);
  if (object.is_discarded() || !object.is_object()) throw InvalidRequest("the request", "is no JSON object");
  rejectUnknownKeys(object, "", {"what", "by", "machines", "machine"});
  OperatorRequest request;
  request.requestedBy = readText(object, "", "by", true);
  request.kind = readKind(object);
  if (request.kind != OperatorRequest::Kind::plan) {
    request.machine = readText(object, "", "machine", request.kind == OperatorRequest::Kind::done);
    return request;
  }
  const auto machines = object.find("machines");
  if (machines == object.end() || !machines->is_object())
    throw InvalidRequest("machines", "is no object of machines");
  for (const auto& [name, machine] : machines->items()) {
    request.machines.push_back(readMachine(name, machine));
    request.machines.back().requestedBy = request.requestedBy;
  }
  return request;
}

std::string encoded(const OperatorRequest& request) {
  Json object{{"what", nameOf(request.kind)}, {"by", request.requestedBy}};
  if (!request.machine.empty()) object["machine"] = request.machine;
  for (const Machine& machine : request.machines) {
    Json encodedMachine{{"zone", machine.zone},
                        {"nodes", machine.nodes},
                        {"routers", machine.routers},
                        {"takes_ms", machine.expectedDuration.inMicros() / 1000}};
    if (machine.completeWithin != Duration())
      encodedMachine["within_ms"] = machine.completeWithin.inMicros() / 1000;
    object["machines"][machine.name] = std::move(encodedMachine);
  }
  return object.dump(2);
}

std::string applyRequest(Plan& plan, const std::string& requestId, const OperatorRequest& request,
                         const FleetState& fleet, const MaintenanceLimits& bounds) {
  switch (request.kind) {
    case OperatorRequest::Kind::plan: {
      Plan extended = plan;
      const std::string reason = addMachines(extended, requestId, request.machines, fleet, bounds);
      if (!reason.empty()) return reason;
      if (encoded(extended).size() > kMaxPlanBytes)
        return "the plan would be too long: ask for fewer machines";
      plan = std::move(extended);
      return "";
    }
    case OperatorRequest::Kind::stop:
      return stopMaintenance(plan, requestId, request.machine, request.requestedBy);
    case OperatorRequest::Kind::done:
      break;
  }
  return completeMaintenance(plan, requestId, request.machine, request.requestedBy);
}

std::string addMachines(Plan& plan, const std::string& requestId, const std::vector<Machine>& machines,
                        const FleetState& fleet, const MaintenanceLimits& bounds) {
  if (wasApplied(plan, requestId)) return "";
  if (const auto reason = rejectionReason(plan, machines, fleet, bounds); !reason.empty()) return reason;
  for (const Machine& machine : machines) {
    std::erase_if(plan.machines, [&](const Machine& old) { return old.name == machine.name; });
    plan.machines.push_back(machine);
    Machine& added = plan.machines.back();
    added.request = requestId;
    added.phase = Phase::waiting;
    added.phaseVersion = plan.version;
    added.reason = kRequestedReason;
  }
  markApplied(plan, requestId);
  return "";
}

std::string stopMaintenance(Plan& plan, const std::string& requestId, const std::string& machine,
                            const std::string& requestedBy) {
  if (wasApplied(plan, requestId)) return "";
  bool hasStopped = false;
  for (Machine& candidate : plan.machines) {
    if (!machine.empty() && candidate.name != machine) continue;
    if (candidate.phase == Phase::finished || candidate.phase == Phase::returning) continue;
    hasStopped = true;
    moveToPhase(plan, candidate, candidate.phase == Phase::released ? Phase::returning : Phase::finished,
                "stopped by " + requestedBy);
  }
  if (!hasStopped) return machine.empty() ? "nothing is in work" : "'" + machine + "' is not in work";
  markApplied(plan, requestId);
  return "";
}

std::string completeMaintenance(Plan& plan, const std::string& requestId, const std::string& machine,
                                const std::string& requestedBy) {
  if (wasApplied(plan, requestId)) return "";
  Machine* found = plan.find(machine);
  if (!found || found->phase == Phase::finished) return "'" + machine + "' is not in work";
  if (found->phase == Phase::returning) return "'" + machine + "' is done already";
  if (found->phase != Phase::released) return "'" + machine + "' has not been told free";
  moveToPhase(plan, *found, Phase::returning, "done by " + requestedBy);
  markApplied(plan, requestId);
  return "";
}

}  // namespace gulltrestle::maintenance
