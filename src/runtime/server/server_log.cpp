#include "runtime/server/server_log.h"

#include <spdlog/spdlog.h>

namespace gulltrestle::server {

void logListening(const config::RouterConfig& config) {
  spdlog::info("{} listens on {}:{}, {} nodes known", config.name, config.listen.host, config.listen.port,
               config.initialEndpoints.nodes.size());
}

void logEnded(const ClosedClients& closed) {
  spdlog::info("event=clients.closed clients={} with_unread_bytes={} with_partial_message={}", closed.clients,
               closed.withUnreadBytes, closed.withPartialMessage);
  spdlog::info("ended");
}

void logGatewayLine(std::string_view line) { spdlog::info("{}", line); }

void logTurnFailed(std::string_view error) { spdlog::error("event loop turn failed: {}", error); }

void logTaskFailed(const std::exception_ptr& failure) {
  try {
    std::rethrow_exception(failure);
  } catch (const std::exception& error) { spdlog::error("connection task failed: {}", error.what()); }
}

void logClientFailed(std::string_view error) { spdlog::error("client connection failed: {}", error); }

void logNodeConnectionFailed(std::string_view error) { spdlog::error("node connection failed: {}", error); }

void logAcceptFailed(event_loop::IoStatus result) {
  spdlog::warn("no new client can be accepted: {}", result == event_loop::IoStatus::noDescriptor
                                                        ? "no descriptor is left"
                                                        : "the listening socket failed");
}

void logDiscoveryFailed(const config::Address& address, std::string_view failedCall) {
  spdlog::warn("discovery at {}:{}: {}", address.host, address.port, failedCall);
}

void logEndpointList(const config::EndpointList& list) {
  spdlog::info("list version {}: {} nodes{}", list.version, list.nodes.size(),
               list.isSnapshot ? "" : " changed");
}

}  // namespace gulltrestle::server
