#include "config/router_config.h"

#include <sys/resource.h>

#include <charconv>
#include <cstdlib>
#include <utility>

#include "config/config_section.h"
#include "config/json_document.h"
#include "config/json_settings.h"

namespace gulltrestle::config {

namespace {

using json::Value;

// The environment variable with the path of the file. Errors that concern the whole file name this variable.
constexpr const char* kFileVariable = "BALANCER_CONFIG";
// Minimum for a router: its own descriptors and a few connections.
constexpr std::size_t kMinDescriptors = 64;
constexpr double kMaxDescriptors = 1e7;
// The minimum covers code, buffers and a few long values. A router in service uses one to six MiB.
constexpr double kMinMemoryMiB = 8, kMaxMemoryMiB = 1e6;
constexpr unsigned kBytesPerMiBShift = 20;

// Returns the value of an environment variable or of a key of the file, depending on the precedence. Throws
// ConfigError if neither has a value.
std::string readVariableOrKey(const char* variable, ConfigSection& file, std::string_view key,
                              ValuePrecedence precedence) {
  const char* value = std::getenv(variable);
  const bool usesVariable =
      value && *value && (precedence == ValuePrecedence::environment || !file.find(key));
  return usesVariable ? value : file.require(StringField{key});
}

std::uint64_t readSeed(ConfigSection& file) {
  const std::string text = file.require(StringField{"seed"});
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc{} || end != text.data() + text.size())
    throw ConfigError("seed", "'" + text + "' is not a hexadecimal number");
  return seed;
}

void readLimits(ConfigSection limits, RouterConfig& config) {
  const double memoryMiB =
      limits.require(NumberField{.key = "memory_mb", .min = kMinMemoryMiB, .max = kMaxMemoryMiB});
  config.memoryBytes = static_cast<std::size_t>(memoryMiB) << kBytesPerMiBShift;
  config.descriptors = static_cast<std::size_t>(
      limits.require(NumberField{.key = "sockets", .min = kMinDescriptors, .max = kMaxDescriptors}));
}

deployment::DeploymentSettings readDeployment(const Value& settings) {
  try {
    return deployment::read(JsonSettings(settings));
  } catch (const deployment::InvalidField& error) { throw ConfigError("settings", error.what()); }
}

EndpointList readKnownEndpoints(const Value& list, const std::string& zone) {
  try {
    return readEndpointList(list, zone);
  } catch (const ConfigError& error) { throw ConfigError("known", error.what()); }
}

RouterConfig readDocument(const Value& document, ValuePrecedence precedence) {
  ConfigSection file(document, "", kFileVariable);
  RouterConfig config;
  config.name = readVariableOrKey("BALANCER_NAME", file, "name", precedence);
  config.listen = readAddress("listen", readVariableOrKey("BALANCER_LISTEN", file, "listen", precedence));
  config.discovery =
      readAddress("discovery", readVariableOrKey("BALANCER_DISCOVERY", file, "discovery", precedence));
  config.seed = readSeed(file);
  readLimits(file.requireSection("limits"), config);
  config.deployment = readDeployment(file.requireSection("settings").value());
  if (file.has("known"))
    config.initialEndpoints = readKnownEndpoints(*file.find("known"), config.deployment.zone);
  return config;
}

}  // namespace

RouterConfig parseRouterConfig(std::string_view text, ValuePrecedence precedence) {
  return readDocument(parseDocument(text, kFileVariable), precedence);
}

RouterConfig readRouterConfig(ValuePrecedence precedence) {
  const char* path = std::getenv(kFileVariable);
  if (!path || !*path) throw ConfigError(kFileVariable, "is not set");
  RouterConfig config = readDocument(loadDocument(path, kFileVariable), precedence);
  // The limit of the process (RLIMIT_NOFILE) may be lower than the configured one.
  rlimit processLimit{};
  if (getrlimit(RLIMIT_NOFILE, &processLimit) == 0 && processLimit.rlim_cur < config.descriptors)
    config.descriptors = static_cast<std::size_t>(processLimit.rlim_cur);
  if (config.descriptors < kMinDescriptors)
    throw ConfigError("limits.sockets", "the open file limit of the process (RLIMIT_NOFILE) is too low");
  return config;
}

std::vector<std::string> keysNeedingRestart(const RouterConfig& running, const RouterConfig& reloaded) {
  std::vector<std::string> changed;
  for (const auto& [key, isSame] : {std::pair{"name", running.name == reloaded.name},
                                    {"listen", running.listen == reloaded.listen},
                                    {"seed", running.seed == reloaded.seed},
                                    {"limits.memory_mb", running.memoryBytes == reloaded.memoryBytes},
                                    {"limits.sockets", running.descriptors == reloaded.descriptors},
                                    {"settings", running.deployment == reloaded.deployment}})
    if (!isSame) changed.emplace_back(key);
  return changed;
}

}  // namespace gulltrestle::config
