// What the gateway requests: the server carries it out on sockets; a test prints it.
#pragma once

#include <string>

#include "downstream/postgres/client_sessions.h"
#include "upstream/postgres/connection_pool.h"

namespace gulltrestle::gateway {

using downstream::postgres::ClientId;
using transactions::ByteSlices;
using transactions::ConnectionCloseReason;
using upstream::postgres::NodeConnectionId;

// Implemented by the server. Calls may come from within any event and endTurn().
class Effects : public downstream::postgres::Effects, public upstream::postgres::Effects {
 public:
  virtual void stopListening() = 0;
  // The router wants the endpoint list, where lists are polled.
  virtual void requestEndpointList() = 0;
  // Discovery is at this address (address:port) from now on: its whole list is wanted at once.
  virtual void followDiscovery(const std::string& address) = 0;
};

}  // namespace gulltrestle::gateway
