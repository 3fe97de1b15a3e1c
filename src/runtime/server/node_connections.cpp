#include "runtime/server/node_connections.h"

#include <utility>

#include "config/address.h"
#include "runtime/server/server_log.h"

namespace gulltrestle::server {

using gateway::ConnectionCloseReason;
using gateway::NodeConnectionId;

namespace {

// Reads of a connection in one turn. Several times what the largest answer takes, so that a turn sees all of
// an answer that has arrived: its end reports the node's role and position. Bounds what a flooding node
// costs.
constexpr int kMaxReadsPerTurn = 4;

}  // namespace

void NodeConnections::connect(NodeConnectionId id, const std::string& address) {
  connections_[id] = nullptr;
  loop_.spawn(serve(id, address));
}

bool NodeConnections::write(NodeConnectionId id, gateway::ByteSlices slices) {
  Connection& connection = *connections_.at(id);
  connection.send(slices);
  return !connection.hasUnsent() && !connection.isBroken;
}

void NodeConnections::close(NodeConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  if (Connection* connection = found->second) {
    connection->isAborted = true;
    connection->stream.wake();
  } else {
    connections_.erase(found);
  }
}

event_loop::Task NodeConnections::serve(NodeConnectionId id, std::string addressText) {
  ConnectionCloseReason reason = ConnectionCloseReason::broken;
  try {
    const config::Address address = config::readAddress("addr", addressText);
    event_loop::Descriptor descriptor;
    const bool wasClosed = !connections_.contains(id);
    if (!wasClosed) descriptor = event_loop::startConnecting(address.host, address.port);
    if (!descriptor) {
      reason = ConnectionCloseReason::noDescriptor;
    } else {
      Connection connection(loop_, std::move(descriptor), buffers_);
      const ConnectionRegistration<NodeConnectionId, Connection> registration(connections_, id, connection);
      while (!connection.isAborted && !connection.stream.canWrite()) co_await connection.stream.changed();
      const bool isConnected =
          !connection.isAborted && event_loop::isConnected(connection.stream.descriptor());
      if (isConnected) {
        gateway_.nodeConnected(loop_.now(), id);
      } else {
        reason = ConnectionCloseReason::refused;
      }
      while (isConnected && !connection.isAborted && !connection.isBroken && !connection.hasEnded) {
        serveTurn(id, connection);
        // Reported in this turn, before any further decision, so that nothing is written on this connection.
        if (connection.isBroken || connection.hasEnded) break;
        if (connection.stream.canRead()) connection.stream.wake();
        co_await connection.stream.changed();
      }
    }
  } catch (const std::exception& error) { logNodeConnectionFailed(error.what()); }
  connections_.erase(id);
  gateway_.nodeConnectionClosed(loop_.now(), id, reason);
}

void NodeConnections::serveTurn(NodeConnectionId id, Connection& connection) {
  if (connection.hasUnsent()) {
    connection.flush();
    if (!connection.hasUnsent() && !connection.isBroken) gateway_.nodeWritten(loop_.now(), id);
  }
  const auto mayRead = [&] {
    return connection.stream.canRead() && !connection.isBroken && !connection.hasEnded &&
           !connection.isAborted;
  };
  for (int reads = 0; reads < kMaxReadsPerTurn && mayRead(); ++reads)
    connection.read([&](std::string_view bytes) { return gateway_.nodeReceived(loop_.now(), id, bytes); });
}

}  // namespace gulltrestle::server
