// How a process divides its file descriptors and memory between clients, nodes and other parts of itself.
#pragma once

#include <cstddef>

#include "config/router_config.h"
#include "gateway/gateway.h"

namespace gulltrestle::server {

// What other parts of the same process take of its limits, and whether degradation levels are enabled.
struct ReservedResources {
  std::size_t descriptors = 0;
  std::size_t openTransactions = 0;
  bool isDegradationEnabled = false;
};

// Clients that are being closed no longer count as clients, and use some of the reserved descriptors: this
// many at most.
constexpr std::size_t kMaxClosingClients = 12;

// The deployment's settings for the router, with what this process decides.
RoutingConfig routingConfigOf(const config::RouterConfig& config, const ReservedResources& reserved);

gateway::Bounds gatewayBoundsOf(const config::RouterConfig& config);

// For the received and unsent bytes of all connections.
std::size_t maxBufferedBytes(const config::RouterConfig& config);

// Clients that may be connected at a time. Throws config::ConfigError if none is left beside what is
// reserved.
std::size_t maxClients(const config::RouterConfig& config, const ReservedResources& reserved);

}  // namespace gulltrestle::server
