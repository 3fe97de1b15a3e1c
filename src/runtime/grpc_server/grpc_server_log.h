// The log lines of gRPC servers: one function per kind of event.
#pragma once

#include <cstddef>
#include <string_view>

#include "runtime/event_loop/sockets.h"

namespace gulltrestle::grpc_server {

// `server`: the name of the server, which events begin with.

// A new connection was closed at once. `closesIdle`: an idle one is closed as well, so that the next one can
// be accepted.
void logConnectionsFull(std::string_view server, std::size_t connections, bool closesIdle);

// `result`: of the accept that failed.
void logAcceptFailed(std::string_view server, event_loop::Io result);

// A connection was closed because of an exception.
void logConnectionFailed(std::string_view server, std::string_view error);

}  // namespace gulltrestle::grpc_server
