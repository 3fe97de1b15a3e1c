#include "config/endpoint_list.h"

#include <utility>

#include "config/address.h"
#include "config/config_section.h"

namespace gulltrestle::config {

namespace {

using json::Value;

// Integers up to this value are represented exactly by a double.
constexpr double kMaxExactNumber = 9e15;
// Latest valid start time, in milliseconds of Unix time: the year 5138.
constexpr double kMaxUnixMillis = 1e14;

Health readHealth(const std::string& state) {
  if (state == "up") return Health::live;
  if (state == "draining") return Health::draining;
  if (state == "removed") return Health::removed;
  throw ConfigError("servers.state", "'" + state + "' is not known");
}

// Returns an empty string if the value is absent or not a string: discovery may serve values that this
// version does not know.
std::string_view stringOrEmpty(ConfigSection& server, std::string_view key) {
  const Value* value = server.find(key);
  return value && value->kind == Value::Kind::string ? std::string_view(value->text) : std::string_view();
}

// Returns the start time of the node, in Unix time like log positions. 0, also for an absent value, means
// long ago.
Instant readStart(ConfigSection& server) {
  constexpr std::string_view kKey = "started_ms";
  const double millis =
      server.find(kKey) ? server.require(NumberField{.key = kKey, .min = 0, .max = kMaxUnixMillis}) : 0;
  return Instant() + Duration::millis(static_cast<std::int64_t>(millis));
}

EndpointList::Node readNode(const Value& value, const std::string& zone) {
  if (value.kind != Value::Kind::object) throw ConfigError("servers", "has an entry that is not an object");
  ConfigSection server(value, "servers");
  EndpointList::Node node;
  node.entry.node = server.require(StringField{"id"});
  node.entry.health = readHealth(server.require(StringField{"state"}));
  node.address = server.require(StringField{"addr"});
  readAddress("servers.addr", node.address);
  node.entry.group =
      static_cast<GroupId>(server.require(NumberField{.key = "cell", .min = 0, .max = kMaxExactNumber}));
  node.entry.kind = stringOrEmpty(server, "kind");
  node.entry.primary = stringOrEmpty(server, "part") == "master";
  node.entry.sameZone = stringOrEmpty(server, "zone") == zone;
  node.entry.startedAt = readStart(server);
  return node;
}

}  // namespace

EndpointList readEndpointList(const Value& document, const std::string& zone) {
  ConfigSection top(document, "", "the list");
  EndpointList list;
  list.version = static_cast<std::uint64_t>(
      top.require(NumberField{.key = "version", .min = 0, .max = kMaxExactNumber}));
  list.isSnapshot = top.require(BooleanField{"full"});
  for (const Value& server : top.requireList("servers")) list.nodes.push_back(readNode(server, zone));
  return list;
}

std::string endpointListPath() { return "/api/targets"; }

std::string endpointWatchPath(std::uint64_t version) {
  return endpointListPath() + "?stream=1&index=" + std::to_string(version);
}

}  // namespace gulltrestle::config
