// The state of one client's connection. For the files of ClientConnections only.
#pragma once

#include "runtime/server/client_connections.h"
#include "runtime/server/connection.h"

namespace gulltrestle::server {

// Owned by the coroutine that serves the client.
struct ClientConnections::Client : Connection {
  using Connection::Connection;

  bool mayOffer = false;   // the gateway wants what was received and not consumed
  bool isClosing = false;  // to be closed once all is sent
  bool isHurried = false;  // its descriptor is wanted: what it still sends is waited for no longer
  Instant unreadSince;     // when what it sends was first left unread; never: it is not
  Instant noticeSentAt;    // when it was sent a notice, as it may be gone; never: it was not
  Instant stalledAt;       // when it is closed unless it takes what is unsent; never: nothing is unsent
};

}  // namespace gulltrestle::server
