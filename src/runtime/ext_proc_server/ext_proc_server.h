// The external processor on sockets: listens for proxies, carries their gRPC streams to the front and its
// answers back.
#pragma once

#include <map>
#include <string>

#include "downstream/ext_proc/request_streams.h"
#include "gateway/gateway.h"
#include "runtime/event_loop/event_loop.h"
#include "runtime/ext_proc_server/ext_proc_config.h"
#include "runtime/grpc_server/grpc_server.h"
#include "upstream/http/health_checker.h"

namespace gulltrestle::ext_proc_server {

// Descriptors that probes over HTTP may take.
constexpr std::size_t kMostProbes = 32;

class ExtProcServer final : public gateway::Component,
                            private grpc_server::CallHandler,
                            private downstream::ext_proc::Effects,
                            private upstream::http::Effects {
 public:
  // Throws where the address to listen on can't be had. `start`: no other start of the program has the same.
  ExtProcServer(event_loop::EventLoop& loop, transactions::TransactionTable& transactions,
                const deployment::DeploymentSettings& settings, const ExtProcConfig& config,
                const std::string& start);
  ~ExtProcServer() override;

  void onDiscoveryActivity() override { streams_.onDiscoveryActivity(); }
  void endTurn() override;
  void flush() override { grpcServer_.flush(); }
  Instant nextDue() const override;
  void stop() override;
  bool empty() const override { return streams_.empty() && grpcServer_.empty(); }

 private:
  void seen(Instant now) override { transactions_.advanceTo(now); }
  void opened(grpc_server::CallKey call) override { streams_.onOpened(call); }
  void message(grpc_server::CallKey call, std::string_view bytes) override {
    streams_.onMessage(call, bytes);
  }
  void halfClosed(grpc_server::CallKey call) override { streams_.onHalfClosed(call); }
  void ended(grpc_server::CallKey call) override { streams_.onEnded(call); }

  void send(downstream::ext_proc::StreamKey stream, std::string_view message) override;
  void close(downstream::ext_proc::StreamKey stream, downstream::ext_proc::StreamCloseReason how,
             std::string_view why) override;
  void log(std::string_view event, const std::string& fields) override;

  void requestLoadReport(upstream::http::HealthCheckId probe, const std::string& address) override;
  void cancelHealthCheck(upstream::http::HealthCheckId probe) override;

  event_loop::Task probe(upstream::http::HealthCheckId id, std::string address);

  event_loop::EventLoop& loop_;
  transactions::TransactionTable& transactions_;
  ExtProcConfig config_;
  grpc_server::GrpcServer grpcServer_;
  downstream::ext_proc::RequestStreams streams_;
  upstream::http::HealthChecker healthChecker_;
  std::map<upstream::http::HealthCheckId, event_loop::Stream*>
      healthCheckStreams_;  // probes that are out, and their connections
  Instant countsLoggedAt_;
  downstream::ext_proc::RequestStreams::Counts loggedCounts_;
};

}  // namespace gulltrestle::ext_proc_server
