// Performs the gateway's socket operations and passes the resulting events to the gateway. Each connection is
// served by one coroutine, which owns its descriptor and its buffers.
#pragma once

#include <memory>
#include <string>

#include "config/router_config.h"
#include "gateway/gateway.h"
#include "runtime/event_loop/event_loop.h"
#include "runtime/server/client_connections.h"
#include "runtime/server/connection.h"
#include "runtime/server/discovery_client.h"
#include "runtime/server/node_connections.h"
#include "runtime/server/resource_limits.h"

namespace gulltrestle::server {

// The network server of a router process, with its event loop. One per process.
class Server final : private gateway::Effects {
 public:
  // Listens from now on. Throws config::ConfigError if the address can't be bound or no descriptor is left
  // for clients.
  explicit Server(config::RouterConfig config, ReservedResources reserved = {});
  ~Server() override;

  // Adds another component of the process. To be called before run(). The component must outlive the server.
  void add(gateway::Component& component) { gateway_.add(component); }
  event_loop::EventLoop& loop() { return loop_; }
  transactions::TransactionTable& transactions() { return gateway_.transactions(); }

  // Serves until a termination signal arrives and the graceful shutdown is complete.
  void run();

 private:
  // --- gateway::Effects
  void connect(gateway::NodeConnectionId id, const std::string& address) override;
  bool writeNode(gateway::NodeConnectionId id, gateway::ByteSlices slices) override;
  void closeNode(gateway::NodeConnectionId id) override;
  void writeClient(gateway::ClientId id, gateway::ByteSlices slices) override;
  void readClient(gateway::ClientId id) override;
  void closeClient(gateway::ClientId id) override;
  bool hasUnreadBytes(gateway::ClientId id) override;
  void stopListening() override;
  void requestEndpointList() override;
  void setDiscoveryAddress(const std::string& address) override;
  void log(std::string line) override;

  event_loop::Task watchSignals();
  void reloadConfig();
  Instant endTurn(Instant now);

  config::RouterConfig config_;
  event_loop::EventLoop loop_;
  Instant startedAt_ = loop_.now();
  std::unique_ptr<event_loop::Stream> signals_;
  SharedBuffers buffers_;
  gateway::Gateway gateway_;
  ClientConnections clients_;
  NodeConnections nodes_;
  DiscoveryClient discovery_;
};

}  // namespace gulltrestle::server
