// The router's own configuration, from the environment and the file that BALANCER_CONFIG names.
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

// Checked, with defaults filled in.
struct RouterConfig {
  std::string name;
  Address listen, discovery;
  std::uint64_t seed = 0;
  std::size_t memoryBytes = 0;
  std::size_t descriptors = 0;
  EndpointList known;  // to start from until discovery answers
  deployment::DeploymentSettings deployment;
};

// Which one counts where both a variable of the environment and the file have a value: the variable at the
// start; the file when it is read again, as only the file can have changed.
enum class ValuePrecedence { environment, file };

// Reads the environment and the file that BALANCER_CONFIG names. The limit on descriptors is no higher than
// the process's own. Throws ConfigError.
RouterConfig readRouterConfig(ValuePrecedence precedence = ValuePrecedence::environment);

// The same from the text of a file, without the process's own limits.
RouterConfig parseRouterConfig(std::string_view text,
                               ValuePrecedence precedence = ValuePrecedence::environment);

// The keys of values that have changed and take effect only after a restart.
std::vector<std::string> keysNeedingRestart(const RouterConfig& running, const RouterConfig& reloaded);

}  // namespace gulltrestle::config
