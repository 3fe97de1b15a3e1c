#include "runtime/server/resource_limits.h"

namespace gulltrestle::server {

namespace {

// Descriptors that are reserved for other uses than clients and nodes: standard streams, epoll, signals,
// listener, discovery, and lingering client connections.
constexpr std::size_t kReservedDescriptors = 32;
// One descriptor in this many is for node connections, as a router has few transactions in flight per node.
// The rest is for clients, which keep their connections open.
constexpr std::size_t kNodeConnectionDivisor = 4;
// Clients may have at most one open transaction per this many descriptors. The deployment prescribes this
// rule, but has no setting for it.
constexpr std::size_t kTransactionDivisor = 3;
// A quarter of the memory is for queued statements, and another quarter for the buffers of connections.
// Buffers grow by doubling, which may need the same amount again, and responses of nodes need more memory.
constexpr std::size_t kMemoryDivisor = 4;
// An eighth is for the incomplete messages of each gRPC server: of proxies, and of other routers.
constexpr std::size_t kIncompleteMessagesDivisor = 8;

std::size_t maxNodeConnections(const config::RouterConfig& config) {
  return (config.descriptors - kReservedDescriptors) / kNodeConnectionDivisor;
}

}  // namespace

RoutingConfig routingConfigOf(const config::RouterConfig& config, const ReservedResources& reserved) {
  RoutingConfig routing = config.deployment.routing;
  routing.connectionPerAttempt = true;
  routing.maxOpenTransactions = config.descriptors / kTransactionDivisor + reserved.openTransactions;
  routing.degradationEnabled = reserved.isDegradationEnabled;
  return routing;
}

std::size_t maxBufferedBytes(const config::RouterConfig& config) {
  return config.memoryBytes / kMemoryDivisor;
}

std::size_t maxIncompleteMessageBytes(const config::RouterConfig& config) {
  return config.memoryBytes / kIncompleteMessagesDivisor;
}

gateway::GatewayLimits gatewayLimitsOf(const config::RouterConfig& config) {
  return {.idleTimeout = config.deployment.idleTimeout,
          .connectTimeout = config.deployment.connectTimeout,
          .maxNodeConnections = maxNodeConnections(config),
          .maxBufferedBytes = maxBufferedBytes(config),
          .maxActiveClients = config.descriptors / kTransactionDivisor};
}

std::size_t maxClients(const config::RouterConfig& config, const ReservedResources& reserved) {
  const std::size_t available = config.descriptors - kReservedDescriptors - maxNodeConnections(config);
  if (available <= reserved.descriptors)
    throw config::ConfigError("limits.sockets",
                              "leaves no descriptor for clients after those reserved for other components");
  return available - reserved.descriptors;
}

}  // namespace gulltrestle::server
