// The log lines of the server: one function per kind of event.
#pragma once

#include <exception>
#include <string_view>

#include "config/router_config.h"
#include "runtime/event_loop/sockets.h"
#include "runtime/server/client_connections.h"

namespace gulltrestle::server {

// --- Process
void logListening(const config::RouterConfig& config);
// `closed`: the clients whose connections this process has closed since its start.
void logEnded(const ClosedClients& closed);
// A line that the gateway has formatted.
void logGatewayLine(std::string_view line);
// A turn of the event loop was aborted by an exception. `error`: the text of that exception.
void logTurnFailed(std::string_view error);
// A task has ended with an exception.
void logTaskFailed(const std::exception_ptr& failure);

// --- Connections. `error`: the text of the exception that ended the connection.
void logClientFailed(std::string_view error);
void logNodeConnectionFailed(std::string_view error);
// Accepting a client failed. `result`: the status of that call.
void logAcceptFailed(event_loop::IoStatus result);

// --- Discovery
// `failedCall`: the kind of the call and the reason for its failure.
void logDiscoveryFailed(const config::Address& address, std::string_view failedCall);
// An endpoint list with nodes was received.
void logEndpointList(const config::EndpointList& list);

}  // namespace gulltrestle::server
