#include "config/router_config.h"

#include <arpa/inet.h>
#include <sys/resource.h>

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>

namespace gulltrestle::config {

namespace {

using json::Value;

// Below this there is no room for a router: its own descriptors and a few connections.
constexpr std::size_t kFewestDescriptors = 64;
// Nor below this, in MiB, for its code, its buffers and a few long values: it takes one to six in service.
constexpr double kLeastMemory = 8;

// The settings as deployment::SettingsSource words them.
class Flat final : public deployment::SettingsSource {
 public:
  explicit Flat(const Value& settings) { add("", settings); }
  std::optional<std::string_view> find(std::string_view name) const override {
    const auto at = values_.find(name);
    return at == values_.end() ? std::nullopt : std::optional<std::string_view>(at->second);
  }

 private:
  void add(const std::string& name, const Value& value) {
    const std::string prefix = name.empty() ? name : name + ".";
    if (value.kind == Value::Kind::object) {
      for (std::size_t i = 0; i < value.items.size(); ++i) add(prefix + value.names[i], value.items[i]);
    } else if (value.kind == Value::Kind::array) {
      std::string joined;
      bool plain = !value.items.empty();
      for (const Value& item : value.items) {
        plain = plain && item.kind != Value::Kind::object && item.kind != Value::Kind::array;
        joined += (joined.empty() ? "" : ",") + item.text;
      }
      if (plain) values_[name] = joined;
      values_[prefix + "count"] = std::to_string(value.items.size());
      for (std::size_t i = 0; i < value.items.size() && !plain; ++i)
        add(prefix + std::to_string(i), value.items[i]);
    } else if (value.kind != Value::Kind::null) {
      values_[name] = value.text;
    }
  }

  std::map<std::string, std::string, std::less<>> values_;
};

// A value of an object, checked for its kind.
const Value& need(const Value& in, std::string_view key, std::string_view path, Value::Kind kind,
                  const char* wanted) {
  const Value* value = in.find(key);
  if (!value) throw ConfigError(path, "is missing");
  if (value->kind != kind) throw ConfigError(path, std::string("is not ") + wanted);
  return *value;
}

std::string text(const Value& in, std::string_view key, std::string_view path) {
  const auto& found = need(in, key, path, Value::Kind::string, "a text").text;
  if (found.empty()) throw ConfigError(path, "is empty");
  return found;
}

double number(const Value& in, std::string_view key, std::string_view path, double least, double most) {
  const auto& found = need(in, key, path, Value::Kind::number, "a number").text;
  double value = 0;
  const auto [end, error] = std::from_chars(found.data(), found.data() + found.size(), value);
  if (error != std::errc{} || end != found.data() + found.size() || !(value >= least) || !(value <= most))
    throw ConfigError(path, "'" + found + "' is out of range");
  return value;
}

// A variable of the environment or a key of the file: the one that comes first, else the other.
std::string variableOrKey(const char* variable, const Value& in, std::string_view key,
                          ValuePrecedence first) {
  const char* set = std::getenv(variable);
  return set && *set && (first == ValuePrecedence::environment || !in.find(key)) ? set : text(in, key, key);
}

std::uint64_t readSeed(const Value& in) {
  const std::string found = text(in, "seed", "seed");
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(found.data(), found.data() + found.size(), seed, 16);
  if (error != std::errc{} || end != found.data() + found.size())
    throw ConfigError("seed", "'" + found + "' is not a number in hex");
  return seed;
}

Health readHealth(const std::string& word) {
  if (word == "up") return Health::live;
  if (word == "draining") return Health::draining;
  if (word == "removed") return Health::removed;
  throw ConfigError("servers.state", "'" + word + "' is not known");
}

std::string textOr(const Value& in, std::string_view key, const char* otherwise) {
  const Value* value = in.find(key);
  return value && value->kind == Value::Kind::string ? value->text : otherwise;
}

}  // namespace

Address readAddress(std::string_view key, std::string_view found) {
  Address address;
  const auto colon = found.rfind(':');
  address.host = found.substr(0, colon);
  in_addr ignored{};
  if (colon == std::string_view::npos || inet_pton(AF_INET, address.host.c_str(), &ignored) != 1)
    throw ConfigError(key, "'" + std::string(found) + "' is not an address:port of IPv4");
  const auto port = found.substr(colon + 1);
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (error != std::errc{} || end != port.data() + port.size() || address.port == 0)
    throw ConfigError(key, "'" + std::string(found) + "' has no port from 1 to 65535");
  return address;
}

EndpointList readList(const Value& value, const std::string& zone) {
  if (value.kind != Value::Kind::object) throw ConfigError("the list", "is not an object");
  EndpointList list;
  list.version = static_cast<std::uint64_t>(number(value, "version", "version", 0, 9e15));
  list.isSnapshot = need(value, "full", "full", Value::Kind::boolean, "true or false").text == "true";
  for (const Value& server : need(value, "servers", "servers", Value::Kind::array, "a list").items) {
    if (server.kind != Value::Kind::object)
      throw ConfigError("servers", "has an entry that is not an object");
    EndpointList::Node node;
    node.entry.node = text(server, "id", "servers.id");
    node.entry.health = readHealth(text(server, "state", "servers.state"));
    node.address = text(server, "addr", "servers.addr");
    readAddress("servers.addr", node.address);
    node.entry.group = static_cast<GroupId>(number(server, "cell", "servers.cell", 0, 9e15));
    node.entry.kind = textOr(server, "kind", "");
    node.entry.primary = textOr(server, "part", "") == "master";
    node.entry.sameZone = textOr(server, "zone", "") == zone;
    // Unix time, as positions are; 0 is long ago. Nothing starts after the year 5138.
    const double started =
        server.find("started_ms") ? number(server, "started_ms", "servers.started_ms", 0, 1e14) : 0;
    node.entry.startedAt = Instant() + Duration::millis(static_cast<std::int64_t>(started));
    list.nodes.push_back(std::move(node));
  }
  return list;
}

std::string listPath() { return "/api/targets"; }
std::string watchPath(std::uint64_t version) {
  return listPath() + "?stream=1&index=" + std::to_string(version);
}

RouterConfig parseRouterConfig(std::string_view file, ValuePrecedence first) {
  json::Parser parser;
  try {
    parser.feed(file);
    parser.finish();
  } catch (const json::Malformed& bad) {
    throw ConfigError("BALANCER_CONFIG", std::string("is no JSON: ") + bad.what());
  }
  const Value all = parser.take();
  if (all.kind != Value::Kind::object) throw ConfigError("BALANCER_CONFIG", "is not an object");
  RouterConfig start;
  start.name = variableOrKey("BALANCER_NAME", all, "name", first);
  start.listen = readAddress("listen", variableOrKey("BALANCER_LISTEN", all, "listen", first));
  start.discovery = readAddress("discovery", variableOrKey("BALANCER_DISCOVERY", all, "discovery", first));
  start.seed = readSeed(all);
  const Value& limits = need(all, "limits", "limits", Value::Kind::object, "an object");
  start.memoryBytes =
      static_cast<std::size_t>(number(limits, "memory_mb", "limits.memory_mb", kLeastMemory, 1e6)) << 20;
  start.descriptors =
      static_cast<std::size_t>(number(limits, "sockets", "limits.sockets", kFewestDescriptors, 1e7));
  try {
    start.deployment =
        deployment::read(Flat(need(all, "settings", "settings", Value::Kind::object, "an object")));
  } catch (const deployment::InvalidField& bad) { throw ConfigError("settings", bad.what()); }
  if (const Value* known = all.find("known"); known && known->kind != Value::Kind::null) {
    try {
      start.known = readList(*known, start.deployment.zone);
    } catch (const ConfigError& bad) { throw ConfigError("known", bad.what()); }
  }
  return start;
}

RouterConfig readRouterConfig(ValuePrecedence first) {
  const char* path = std::getenv("BALANCER_CONFIG");
  if (!path || !*path) throw ConfigError("BALANCER_CONFIG", "is not set");
  std::ifstream file(path, std::ios::binary);
  std::ostringstream all;
  if (!file || !(all << file.rdbuf()))
    throw ConfigError("BALANCER_CONFIG", std::string("'") + path + "' can't be read");
  RouterConfig start = parseRouterConfig(all.str(), first);
  // The process may be allowed fewer than the configuration says.
  rlimit allowed{};
  if (getrlimit(RLIMIT_NOFILE, &allowed) == 0 && allowed.rlim_cur < start.descriptors)
    start.descriptors = static_cast<std::size_t>(allowed.rlim_cur);
  if (start.descriptors < kFewestDescriptors)
    throw ConfigError("limits.sockets", "the process is allowed too few");
  return start;
}

std::vector<std::string> keysNeedingRestart(const RouterConfig& running, const RouterConfig& read) {
  std::vector<std::string> kept;
  for (const auto& [key, same] : {std::pair{"name", running.name == read.name},
                                  {"listen", running.listen == read.listen},
                                  {"seed", running.seed == read.seed},
                                  {"limits.memory_mb", running.memoryBytes == read.memoryBytes},
                                  {"limits.sockets", running.descriptors == read.descriptors},
                                  {"settings", running.deployment == read.deployment}})
    if (!same) kept.emplace_back(key);
  return kept;
}

}  // namespace gulltrestle::config
