// The server's connections to nodes: each is opened and served in a separate coroutine, which passes the
// received data to the gateway.
#pragma once

#include <map>
#include <string>

#include "gateway/gateway.h"
#include "runtime/event_loop/event_loop.h"
#include "runtime/server/connection.h"

namespace gulltrestle::server {

// Opens, serves and closes connections to nodes. One per server.
class NodeConnections {
 public:
  // The references must outlive this object.
  NodeConnections(event_loop::EventLoop& loop, gateway::Gateway& gateway, SharedBuffers& buffers)
      : loop_(loop), gateway_(gateway), buffers_(buffers) {}

  // Effects of the gateway.
  // `address`: in the form address:port. The result is reported to the gateway in a later turn.
  void connect(gateway::NodeConnectionId id, const std::string& address);
  // The connection must be established. Returns false if not all data could be sent immediately.
  bool write(gateway::NodeConnectionId id, gateway::ByteSlices slices);
  // Does nothing if the connection is already closed.
  void close(gateway::NodeConnectionId id);

 private:
  event_loop::Task serve(gateway::NodeConnectionId id, std::string address);
  void serveTurn(gateway::NodeConnectionId id, Connection& connection);

  event_loop::EventLoop& loop_;
  gateway::Gateway& gateway_;
  SharedBuffers& buffers_;
  std::map<gateway::NodeConnectionId, Connection*> connections_;  // null if not started yet
};

}  // namespace gulltrestle::server
