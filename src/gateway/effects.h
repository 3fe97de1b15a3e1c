// The I/O actions that the gateway requests. The server performs them on sockets; tests print them.
#pragma once

#include <string>

#include "downstream/postgres/client_sessions.h"
#include "upstream/postgres/connection_pool.h"

namespace gulltrestle::gateway {

using downstream::postgres::ClientId;
using transactions::ByteSlices;
using transactions::ConnectionCloseReason;
using upstream::postgres::NodeConnectionId;

// Implemented by the server. May be called from within any event and endTurn().
class Effects : public downstream::postgres::Effects, public upstream::postgres::Effects {
 public:
  // Stops accepting connections of clients.
  virtual void stopListening() = 0;
  // Requests the endpoint list, if lists are polled.
  virtual void requestEndpointList() = 0;
  // Discovery is at this address (address:port) from now on; its full list must be fetched at once.
  virtual void setDiscoveryAddress(const std::string& address) = 0;
};

}  // namespace gulltrestle::gateway
