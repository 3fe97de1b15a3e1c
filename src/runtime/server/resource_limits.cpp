#include "runtime/server/resource_limits.h"

namespace gulltrestle::server {

namespace {

// Descriptors for neither clients nor nodes: standard streams, epoll, signals, listener, discovery, and
// connections that are being closed.
constexpr std::size_t kReservedDescriptors = 32;
// One descriptor in this many is for nodes: a router has few transactions in flight per node; the rest is for
// clients, who hold on to connections.
constexpr std::size_t kNodeConnectionDivisor = 4;
// Clients have at most one transaction per this many descriptors: a rule of the deployment that is not among
// its settings.
constexpr std::size_t kTransactionDivisor = 3;
// A quarter of the memory is for statements that are held, and another for what connections buffer: buffers
// grow by doubling, which may take as much again, and nodes' answers come on top.
constexpr std::size_t kMemoryDivisor = 4;

std::size_t maxNodeConnections(const config::RouterConfig& config) {
  return (config.descriptors - kReservedDescriptors) / kNodeConnectionDivisor;
}

}  // namespace

RoutingConfig routingConfigOf(const config::RouterConfig& config, const ReservedResources& reserved) {
  RoutingConfig routing = config.deployment.routing;
  routing.connectionPerAttempt = true;
  routing.maxOpenTransactions = config.descriptors / kTransactionDivisor + reserved.openTransactions;
  routing.degradationEnabled = reserved.degradationEnabled;
  return routing;
}

std::size_t maxBufferedBytes(const config::RouterConfig& config) {
  return config.memoryBytes / kMemoryDivisor;
}

gateway::Bounds gatewayBoundsOf(const config::RouterConfig& config) {
  return {.idleLimit = config.deployment.idleLimit,
          .connectLimit = config.deployment.connectLimit,
          .maxNodeConnections = maxNodeConnections(config),
          .maxBufferedBytes = maxBufferedBytes(config),
          .maxActiveClients = config.descriptors / kTransactionDivisor};
}

std::size_t maxClients(const config::RouterConfig& config, const ReservedResources& reserved) {
  const std::size_t available = config.descriptors - kReservedDescriptors - maxNodeConnections(config);
  if (available <= reserved.descriptors)
    throw config::ConfigError("limits.sockets",
                              "leaves none for clients beside the other fronts' connections");
  return available - reserved.descriptors;
}

}  // namespace gulltrestle::server
