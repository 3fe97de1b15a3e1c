// The network server of the external processor: listens for proxies, passes their gRPC messages to the
// request streams, sends the replies, and sends health checks to nodes over HTTP.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "deployment/routing_config.h"
#include "downstream/ext_proc/request_streams.h"
#include "gateway/gateway.h"
#include "runtime/event_loop/event_loop.h"
#include "runtime/ext_proc_server/ext_proc_config.h"
#include "runtime/grpc_server/grpc_server.h"
#include "upstream/http/health_checker.h"

namespace gulltrestle::ext_proc_server {

// Upper bound on the descriptors, and so the concurrent connections, of health checks over HTTP.
constexpr std::size_t kMaxHealthChecks = 32;

// Runs on the event loop of the server that it is added to. One per process.
class ExtProcServer final : public gateway::Component,
                            private grpc_server::CallHandler,
                            private downstream::ext_proc::Effects,
                            private upstream::http::Effects {
 public:
  // Listens from now on. `incarnation`: identifies this run of the process; unique among all runs. The
  // references must outlive this object. Throws config::ConfigError if the address can't be bound.
  ExtProcServer(event_loop::EventLoop& loop, transactions::TransactionTable& transactions,
                const deployment::DeploymentSettings& settings, const ExtProcConfig& config,
                const std::string& incarnation);
  ~ExtProcServer() override;

  // --- gateway::Component
  void onDiscoveryActivity() override { streams_.onDiscoveryActivity(); }
  void endTurn() override;
  void flush() override { grpcServer_.flush(); }
  Instant nextDue() const override;
  void stop() override;
  void closeRemaining() override;
  bool isDrained() const override { return streams_.empty() && grpcServer_.empty(); }

 private:
  // --- grpc_server::CallHandler
  void advanceTo(Instant now) override { transactions_.advanceTo(now); }
  void opened(grpc_server::CallKey call, const grpc_server::ConnectionLoad& load) override {
    streams_.onOpened(call, {load.connection, load.openCalls, load.isOnlyConnection});
  }
  void message(grpc_server::CallKey call, std::string_view bytes) override {
    streams_.onMessage(call, bytes);
  }
  void halfClosed(grpc_server::CallKey call) override { streams_.onHalfClosed(call); }
  void ended(grpc_server::CallKey call) override { streams_.onEnded(call); }

  // --- downstream::ext_proc::Effects
  void send(downstream::ext_proc::StreamKey stream, std::string_view message) override;
  void close(downstream::ext_proc::StreamKey stream, downstream::ext_proc::StreamCloseReason reason,
             std::string_view text) override;
  void log(std::string_view event, const std::string& fields) override;

  // --- upstream::http::Effects
  void requestLoadReport(upstream::http::HealthCheckId id, const std::string& address) override;
  void cancelHealthCheck(upstream::http::HealthCheckId id) override;

  struct HealthCheckCall;
  event_loop::Task runHealthCheck(upstream::http::HealthCheckId id, std::string address);
  bool isInFlight(upstream::http::HealthCheckId id) const { return healthCheckStreams_.contains(id); }
  void logNewCounts();

  event_loop::EventLoop& loop_;
  transactions::TransactionTable& transactions_;
  ExtProcConfig config_;
  grpc_server::GrpcServer grpcServer_;
  downstream::ext_proc::RequestStreams streams_;
  upstream::http::HealthChecker healthChecker_;
  // Health checks in flight and their connections; null if the connection has not been started yet.
  std::map<upstream::http::HealthCheckId, event_loop::Stream*> healthCheckStreams_;
  Instant countsLoggedAt_;
  downstream::ext_proc::RequestStreams::Counts loggedCounts_;
};

}  // namespace gulltrestle::ext_proc_server
