// The state of one client's connection. Internal to the implementation of ClientConnections.
#pragma once

#include "runtime/server/client_connections.h"
#include "runtime/server/connection.h"

namespace gulltrestle::server {

// One client's connection. Owned by the coroutine that serves the client.
struct ClientConnections::Client : Connection {
  using Connection::Connection;

  bool isRedeliveryRequested = false;  // the gateway requests the received bytes that it has not consumed
  bool isClosing = false;              // the connection is closed once all data is sent
  bool mustCloseNow = false;           // the descriptor is needed: lingering ends immediately
  Instant unreadSince;   // the time since which received data may be unread; Instant() if none is
  Instant noticeSentAt;  // when a notice was sent to check the connection; Instant() if none was
  Instant nextCheckAt;   // when to check next whether the client is connected; Instant() if it doesn't wait
  bool hasUndelivered = false;  // the client may not have received all that it was sent
  Instant lingerUntil;    // how long the client may take to close its end after the end of stream was sent
  Instant deliverUntil;   // how long it may take to receive everything
  Instant stallDeadline;  // the connection is closed if data is still unsent then; Instant() if none is
};

}  // namespace gulltrestle::server
