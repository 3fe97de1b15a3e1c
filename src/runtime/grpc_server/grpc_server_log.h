// The log lines of gRPC servers: one function per kind of event.
#pragma once

#include <cstddef>
#include <string_view>

#include "runtime/event_loop/sockets.h"

namespace gulltrestle::grpc_server {

// `server`: the name of the server, the prefix of its events.

// A new connection was closed immediately, as the limit was reached. `connections`: the number of open
// connections. `closesIdle`: an idle connection is closed as well, so that the next one can be accepted.
void logConnectionsFull(std::string_view server, std::size_t connections, bool closesIdle);

// Accepting a connection failed. `result`: the status of that call.
void logAcceptFailed(std::string_view server, event_loop::IoStatus result);

// A connection was closed because of an exception. `error`: the text of that exception.
void logConnectionFailed(std::string_view server, std::string_view error);

}  // namespace gulltrestle::grpc_server
