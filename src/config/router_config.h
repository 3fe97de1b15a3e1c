// The one place where the environment and the configuration file are read, checked and given defaults.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "deployment/routing_config.h"
#include "protocol/json/json.h"

namespace gulltrestle::config {

// What can't be started with; the message names the key and the fault.
class ConfigError : public std::runtime_error {
 public:
  ConfigError(std::string_view key, std::string_view what)
      : std::runtime_error(std::string(key) + ": " + std::string(what)) {}
};

// Address and port of a listening socket or server.
struct Address {  // of IPv4, as there is no name service
  std::string host;
  std::uint16_t port = 0;
  bool operator==(const Address&) const = default;
};

// An endpoint list as discovery serves it: a snapshot, or the changes after an earlier version.
struct EndpointList {
  std::uint64_t version = 0;
  bool isSnapshot = false;
  struct Node {
    EndpointEntry entry;
    std::string address;
  };
  std::vector<Node> nodes;
};

// A router's own configuration, checked and with defaults filled in.
struct RouterConfig {
  std::string name;
  Address listen, discovery;
  std::uint64_t seed = 0;
  std::size_t memoryBytes = 0;
  std::size_t descriptors = 0;
  EndpointList known;
  deployment::DeploymentSettings deployment;
};

// Whose word counts where a variable of the environment and the file both name something: the variable's at
// the start, the file's when it is read anew, as only that can have changed.
enum class ValuePrecedence { environment, file };

// Reads the variables of the environment, and the file that BALANCER_CONFIG names.
RouterConfig readRouterConfig(ValuePrecedence first = ValuePrecedence::environment);

// The same from the text of a file.
RouterConfig parseRouterConfig(std::string_view text, ValuePrecedence first = ValuePrecedence::environment);

// The keys that differ, and that a running router keeps as they were at its start.
std::vector<std::string> keysNeedingRestart(const RouterConfig& running, const RouterConfig& read);

// A list as discovery words it; `zone` is this router's own.
EndpointList readList(const json::Value& value, const std::string& zone);

// Where discovery has the whole list, and its changes after a version.
std::string listPath();
std::string watchPath(std::uint64_t version);

Address readAddress(std::string_view key, std::string_view text);

}  // namespace gulltrestle::config
