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
    if (!known.contains(key)) throw BadAsk(path + key, "is not known");
}

std::string text(const Json& object, const std::string& path, const char* key, bool wanted) {
  const auto at = object.find(key);
  if (at == object.end()) {
    if (wanted) throw BadAsk(path + key, "is missing");
    return "";
  }
  if (!at->is_string()) throw BadAsk(path + key, "is no text");
  const auto value = at->get<std::string>();
  if (value.empty() && wanted) throw BadAsk(path + key, "is empty");
  if (value.size() > kLongestName) throw BadAsk(path + key, "is too long");
  return value;
}

Span millis(const Json& object, const std::string& path, const char* key, Span otherwise) {
  const auto at = object.find(key);
  if (at == object.end()) return otherwise;
  if (!at->is_number_integer() || at->get<std::int64_t>() < 0 || at->get<std::int64_t>() > kMostMillis)
    throw BadAsk(path + key, "is no whole number of milliseconds up to a week");
  return Span::millis(at->get<std::int64_t>());
}

std::vector<std::string> names(const Json& object, const std::string& path, const char* key) {
  std::vector<std::string> out;
  const auto at = object.find(key);
  if (at == object.end()) return out;
  if (!at->is_array()) throw BadAsk(path + key, "is no list of names");
  for (const auto& name : *at) {
    if (!name.is_string() || name.get<std::string>().empty() || name.get<std::string>().size() > kLongestName)
      throw BadAsk(path + key, "is no list of names");
    out.push_back(name.get<std::string>());
  }
  return out;
}

}  // namespace

Ask readAsk(std::string_view bytes) {
  const Json all = Json::parse(bytes, nullptr, false);
  if (all.is_discarded() || !all.is_object()) throw BadAsk("the request", "is no JSON object");
  onlyKeys(all, "", {"what", "by", "machines", "machine"});
  Ask ask;
  ask.by = text(all, "", "by", true);
  const std::string what = text(all, "", "what", false);
  if (what == "stop")
    ask.what = Ask::What::stop;
  else if (what == "done")
    ask.what = Ask::What::done;
  else if (!what.empty() && what != "ask")
    throw BadAsk("what", "'" + what + "' is none of ask, stop and done");
  if (ask.what != Ask::What::ask) {
    ask.machine = text(all, "", "machine", ask.what == Ask::What::done);
    return ask;
  }
  const auto machines = all.find("machines");
  if (machines == all.end() || !machines->is_object()) throw BadAsk("machines", "is no object of machines");
  for (const auto& [name, one] : machines->items()) {
    const std::string path = "machines." + name + ".";
    if (!one.is_object()) throw BadAsk("machines." + name, "is no object");
    onlyKeys(one, path, {"zone", "nodes", "routers", "takes_ms", "within_ms"});
    if (name.empty() || name.size() > kLongestName) throw BadAsk("machines", "a name is empty or too long");
    Machine machine;
    machine.name = name;
    machine.by = ask.by;
    machine.zone = text(one, path, "zone", false);
    machine.nodes = names(one, path, "nodes");
    machine.routers = names(one, path, "routers");
    machine.takes = millis(one, path, "takes_ms", Span::millis(600'000));
    machine.within = millis(one, path, "within_ms", Span());
    if (machine.within != Span() && machine.within < machine.takes)
      throw BadAsk(path + "within_ms", "is less than the work takes");
    ask.machines.push_back(std::move(machine));
  }
  return ask;
}

std::string encoded(const Ask& ask) {
  Json all{{"what", ask.what == Ask::What::ask    ? "ask"
                    : ask.what == Ask::What::stop ? "stop"
                                                  : "done"},
           {"by", ask.by}};
  if (!ask.machine.empty()) all["machine"] = ask.machine;
  for (const auto& m : ask.machines) {
    Json one{{"zone", m.zone},
             {"nodes", m.nodes},
             {"routers", m.routers},
             {"takes_ms", m.takes.inMicros() / 1000}};
    if (m.within != Span()) one["within_ms"] = m.within.inMicros() / 1000;
    all["machines"][m.name] = std::move(one);
  }
  return all.dump(2);
}

std::string carryOut(Plan& plan, const std::string& request, const Ask& asked, const Facts& facts,
                     const Bounds& bounds) {
  switch (asked.what) {
    case Ask::What::ask: {
      Plan longer = plan;
      const std::string why = ask(longer, request, asked.machines, facts, bounds);
      if (!why.empty()) return why;
      if (encoded(longer).size() > kLongestPlan) return "the plan would be too long: ask for fewer machines";
      plan = std::move(longer);
      return "";
    }
    case Ask::What::stop:
      return stop(plan, request, asked.machine, asked.by);
    case Ask::What::done:
      break;
  }
  return done(plan, request, asked.machine, asked.by);
}

}  // namespace gulltrestle::maintenance
