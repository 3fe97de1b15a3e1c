#include "runtime/grpc_server/grpc_server_log.h"

#include <spdlog/spdlog.h>

namespace gulltrestle::grpc_server {

void logConnectionsFull(std::string_view server, std::size_t connections, bool closesIdle) {
  spdlog::warn("event={}.connections_full connections={} closes_idle={}", server, connections, closesIdle);
}

void logAcceptFailed(std::string_view server, event_loop::IoStatus result) {
  spdlog::warn(
      "event={}.accept_failed reason=\"{}\"", server,
      result == event_loop::IoStatus::noDescriptor ? "no descriptor is left" : "the listening socket failed");
}

void logConnectionFailed(std::string_view server, std::string_view error) {
  spdlog::error("event={}.connection_failed reason=\"{}\"", server, error);
}

}  // namespace gulltrestle::grpc_server
