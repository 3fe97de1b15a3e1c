// Divides the file descriptors and the memory of a process between clients, nodes and other components.
#pragma once

#include <cstddef>

#include "config/router_config.h"
#include "gateway/gateway.h"

namespace gulltrestle::server {

// The resources that other components of the process use, and whether degradation levels are enabled.
struct ReservedResources {
  std::size_t descriptors = 0;
  std::size_t openTransactions = 0;
  bool isDegradationEnabled = false;
};

// Upper bound on the lingering client connections that don't count as clients. They use some of the reserved
// descriptors.
constexpr std::size_t kMaxLingeringClients = 12;

// Returns the deployment's routing settings, completed with the values that depend on this process.
RoutingConfig routingConfigOf(const config::RouterConfig& config, const ReservedResources& reserved);

// Returns the limits of the gateway on connections and buffered bytes.
gateway::GatewayLimits gatewayLimitsOf(const config::RouterConfig& config);

// Returns the upper bound on the received and unsent bytes of all connections.
std::size_t maxBufferedBytes(const config::RouterConfig& config);

// Returns the upper bound on the bytes of incomplete messages that a gRPC server of the process may buffer.
std::size_t maxIncompleteMessageBytes(const config::RouterConfig& config);

// Returns the upper bound on concurrently connected clients. Throws config::ConfigError if the reserved
// descriptors leave none for clients.
std::size_t maxClients(const config::RouterConfig& config, const ReservedResources& reserved);

}  // namespace gulltrestle::server
