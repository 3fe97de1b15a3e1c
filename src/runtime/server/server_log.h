// The log lines of the server: one function per kind of event.
#pragma once

#include <exception>
#include <string_view>

#include "config/router_config.h"
#include "runtime/event_loop/sockets.h"

namespace gulltrestle::server {

// --- The process
void logListening(const config::RouterConfig& config);
void logEnded();
// A line of the gateway, which puts it together.
void logGatewayLine(std::string_view line);
// A turn was broken off by an exception.
void logTurnFailed(std::string_view error);
// A task has ended by an exception.
void logTaskFailed(const std::exception_ptr& failure);

// --- Connections. `error`: of the exception that ended one.
void logClientFailed(std::string_view error);
void logNodeConnectionFailed(std::string_view error);
// `result`: of the accept that failed.
void logAcceptFailed(event_loop::Io result);

// --- Discovery
// `failedCall`: the call and its failure, in words.
void logDiscoveryFailed(const config::Address& address, std::string_view failedCall);
void logEndpointList(const config::EndpointList& list);

}  // namespace gulltrestle::server
