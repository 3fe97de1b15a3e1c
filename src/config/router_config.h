// The router's own configuration, from environment variables and the file that BALANCER_CONFIG names.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "config/address.h"
#include "config/config_error.h"
#include "config/endpoint_list.h"
#include "deployment/routing_config.h"

namespace gulltrestle::config {

// The validated configuration, with defaults filled in.
struct RouterConfig {
  std::string name;
  Address listen, discovery;
  std::uint64_t seed = 0;
  std::size_t memoryBytes = 0;
  std::size_t descriptors = 0;    // maximum number of open file descriptors
  EndpointList initialEndpoints;  // initial endpoint list, used until discovery responds
  deployment::DeploymentSettings deployment;
};

// Which value takes precedence if both an environment variable and the file have one: the variable at the
// start; the file at a configuration reload, because only the file can have changed.
enum class ValuePrecedence { environment, file };

// Reads the environment and the file that BALANCER_CONFIG names. Lowers the limit on descriptors to that of
// the process. Throws ConfigError.
RouterConfig readRouterConfig(ValuePrecedence precedence = ValuePrecedence::environment);

// Like readRouterConfig(), for the text of a file and without the limits of the process.
RouterConfig parseRouterConfig(std::string_view text,
                               ValuePrecedence precedence = ValuePrecedence::environment);

// Returns the keys whose values have changed and take effect only after a restart.
std::vector<std::string> keysNeedingRestart(const RouterConfig& running, const RouterConfig& reloaded);

}  // namespace gulltrestle::config
