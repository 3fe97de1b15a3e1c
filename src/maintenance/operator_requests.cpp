#include "maintenance/operator_requests.h"

#include <nlohmann/json.hpp>
#include <set>

#include "maintenance/maintenance_leader.h"

namespace gulltrestle::maintenance {

using Json = nlohmann::ordered_json;

namespace {

constexpr std::int64_t kMostMillis = 7 * 24 * 3'600'000LL;
constexpr std::size_t kLongestName = 200;
// Half of what a message between routers may hold: the other half is for what is said of each machine later.
constexpr std::size_t kLongestPlan = 64 * 1024;

void onlyKeys(const Json& object, const std::string& path, const std::set<std::string>& known) {
  for (const auto& [key, value] : object.items())
    if (!known.contains(key)) throw InvalidRequest(path + key, "is not known");
}

std::string text(const Json& object, const std::string& path, const char* key, bool wanted) {
  const auto at = object.find(key);
  if (at == object.end()) {
    if (wanted) throw InvalidRequest(path + key, "is missing");
    return "";
  }
  if (!at->is_string()) throw InvalidRequest(path + key, "is no text");
  const auto value = at->get<std::string>();
  if (value.empty() && wanted) throw InvalidRequest(path + key, "is empty");
  if (value.size() > kLongestName) throw InvalidRequest(path + key, "is too long");
  return value;
}

Duration millis(const Json& object, const std::string& path, const char* key, Duration otherwise) {
  const auto at = object.find(key);
  if (at == object.end()) return otherwise;
  if (!at->is_number_integer() || at->get<std::int64_t>() < 0 || at->get<std::int64_t>() > kMostMillis)
    throw InvalidRequest(path + key, "is no whole number of milliseconds up to a week");
  return Duration::millis(at->get<std::int64_t>());
}

std::vector<std::string> names(const Json& object, const std::string& path, const char* key) {
  std::vector<std::string> out;
  const auto at = object.find(key);
  if (at == object.end()) return out;
  if (!at->is_array()) throw InvalidRequest(path + key, "is no list of names");
  for (const auto& name : *at) {
    if (!name.is_string() || name.get<std::string>().empty() || name.get<std::string>().size() > kLongestName)
      throw InvalidRequest(path + key, "is no list of names");
    out.push_back(name.get<std::string>());
  }
  return out;
}

}  // namespace

OperatorRequest readOperatorRequest(std::string_view bytes) {
  const Json all = Json::parse(bytes, nullptr, false);
  if (all.is_discarded() || !all.is_object()) throw InvalidRequest("the request", "is no JSON object");
  onlyKeys(all, "", {"what", "by", "machines", "machine"});
  OperatorRequest ask;
  ask.requestedBy = text(all, "", "by", true);
  const std::string what = text(all, "", "what", false);
  if (what == "stop")
    ask.kind = OperatorRequest::Kind::stop;
  else if (what == "done")
    ask.kind = OperatorRequest::Kind::done;
  else if (!what.empty() && what != "ask")
    throw InvalidRequest("what", "'" + what + "' is none of ask, stop and done");
  if (ask.kind != OperatorRequest::Kind::plan) {
    ask.machine = text(all, "", "machine", ask.kind == OperatorRequest::Kind::done);
    return ask;
  }
  const auto machines = all.find("machines");
  if (machines == all.end() || !machines->is_object())
    throw InvalidRequest("machines", "is no object of machines");
  for (const auto& [name, one] : machines->items()) {
    const std::string path = "machines." + name + ".";
    if (!one.is_object()) throw InvalidRequest("machines." + name, "is no object");
    onlyKeys(one, path, {"zone", "nodes", "routers", "takes_ms", "within_ms"});
    if (name.empty() || name.size() > kLongestName)
      throw InvalidRequest("machines", "a name is empty or too long");
    Machine machine;
    machine.name = name;
    machine.requestedBy = ask.requestedBy;
    machine.zone = text(one, path, "zone", false);
    machine.nodes = names(one, path, "nodes");
    machine.routers = names(one, path, "routers");
    machine.expectedDuration = millis(one, path, "takes_ms", Duration::millis(600'000));
    machine.wantedWithin = millis(one, path, "within_ms", Duration());
    if (machine.wantedWithin != Duration() && machine.wantedWithin < machine.expectedDuration)
      throw InvalidRequest(path + "within_ms", "is less than the work takes");
    ask.machines.push_back(std::move(machine));
  }
  return ask;
}

std::string encoded(const OperatorRequest& ask) {
  Json all{{"what", ask.kind == OperatorRequest::Kind::plan   ? "ask"
                    : ask.kind == OperatorRequest::Kind::stop ? "stop"
                                                              : "done"},
           {"by", ask.requestedBy}};
  if (!ask.machine.empty()) all["machine"] = ask.machine;
  for (const auto& m : ask.machines) {
    Json one{{"zone", m.zone},
             {"nodes", m.nodes},
             {"routers", m.routers},
             {"takes_ms", m.expectedDuration.inMicros() / 1000}};
    if (m.wantedWithin != Duration()) one["within_ms"] = m.wantedWithin.inMicros() / 1000;
    all["machines"][m.name] = std::move(one);
  }
  return all.dump(2);
}

std::string applyRequest(Plan& plan, const std::string& request, const OperatorRequest& asked,
                         const FleetState& facts, const Bounds& bounds) {
  switch (asked.kind) {
    case OperatorRequest::Kind::plan: {
      Plan longer = plan;
      const std::string why = ask(longer, request, asked.machines, facts, bounds);
      if (!why.empty()) return why;
      if (encoded(longer).size() > kLongestPlan) return "the plan would be too long: ask for fewer machines";
      plan = std::move(longer);
      return "";
    }
    case OperatorRequest::Kind::stop:
      return stop(plan, request, asked.machine, asked.requestedBy);
    case OperatorRequest::Kind::done:
      break;
  }
  return done(plan, request, asked.machine, asked.requestedBy);
}

}  // namespace gulltrestle::maintenance
