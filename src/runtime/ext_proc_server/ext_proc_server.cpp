#include "runtime/ext_proc_server/ext_proc_server.h"

#include <spdlog/spdlog.h>

#include <system_error>

#include "protocol/http1/response.h"
#include "runtime/event_loop/sockets.h"

namespace gulltrestle::ext_proc_server {

using downstream::ext_proc::StreamCloseReason;
using downstream::ext_proc::StreamKey;
using event_loop::Io;

namespace {

// How often the counts are logged while there is anything new.
constexpr Duration kCountsPause = Duration::millis(60000);
grpc_server::Bounds boundsOf(const ExtProcConfig& config) {
  grpc_server::Bounds bounds;
  bounds.calls.connection.maxStreams = static_cast<std::uint32_t>(config.streams.mostStreams);
  bounds.calls.maxMessageBytes = config.longestMessage;
  bounds.mostConnections = config.mostConnections;
  return bounds;
}

grpc::Status statusOf(StreamCloseReason how) {
  switch (how) {
    case StreamCloseReason::done:
      return grpc::Status::ok;
    case StreamCloseReason::invalid:
      return grpc::Status::invalidArgument;
    case StreamCloseReason::overdue:
      return grpc::Status::deadlineExceeded;
    case StreamCloseReason::full:
      return grpc::Status::resourceExhausted;
    case StreamCloseReason::unavailable:
      return grpc::Status::unavailable;
  }
  return grpc::Status::internal;
}

}  // namespace

ExtProcServer::ExtProcServer(event_loop::EventLoop& loop, transactions::TransactionTable& transactions,
                             const deployment::DeploymentSettings& settings, const ExtProcConfig& config,
                             const std::string& start)
    : loop_(loop),
      transactions_(transactions),
      config_(config),
      grpcServer_(loop, config.listen, std::string(ext_proc::kMethod), boundsOf(config), "ext_proc", *this),
      streams_(transactions,
               downstream::ext_proc::HeaderMapping(config.headers, settings.routing, settings.typeNames),
               endpoint_leases::LeaseRegistry(settings.routing.transactionClasses, config.placement,
                                              config.remembered, start),
               {settings.drainGrace, settings.notifiedWithin}, config.streams, *this),
      healthChecker_(transactions, settings.connectLimit, kMostProbes, *this) {
  transactions_.addTransport(streams_.transport());
  if (!config_.probePath.empty()) {
    transactions_.addTransport(healthChecker_);
    transactions_.setHealthCheckTransport(healthChecker_);
  }
  spdlog::info("event=ext_proc.listening address={}:{} placement={} start={}", config.listen.host,
               config.listen.port,
               config.placement == endpoint_leases::ProxyPlacement::attempts ? "try" : "request", start);
}

// Its connections' coroutines refer to it.
ExtProcServer::~ExtProcServer() { loop_.endTasks(); }

// --- Effects

void ExtProcServer::send(StreamKey stream, std::string_view message) { grpcServer_.send(stream, message); }

void ExtProcServer::close(StreamKey stream, StreamCloseReason how, std::string_view why) {
  grpcServer_.finish(stream, statusOf(how), why);
}

void ExtProcServer::log(std::string_view event, const std::string& fields) {
  spdlog::info("event={} {}", event, fields);
}

// --- Turns

Instant ExtProcServer::nextDue() const {
  const Instant one = streams_.nextDue(), other = healthChecker_.nextDue();
  return one == Instant() || (other != Instant() && other < one) ? other : one;
}

void ExtProcServer::endTurn() {
  streams_.endTurn();
  healthChecker_.endTurn();
  const auto& counts = streams_.counts();
  if (counts.asked == loggedCounts_.asked || transactions_.now() - countsLoggedAt_ < kCountsPause) return;
  if (countsLoggedAt_ != Instant())
    spdlog::info(
        "event=ext_proc.counts asked={} granted={} committed={} refused={} rolled_back={} denied={} "
        "unreported={} misused={} malformed={} remembered={} grants_out={}",
        counts.asked, counts.granted, counts.committed, counts.refused, counts.rolledBack, counts.denied,
        counts.unreported, counts.misused, counts.malformed, streams_.remembered(), streams_.grantsOut());
  countsLoggedAt_ = transactions_.now();
  loggedCounts_ = counts;
}

void ExtProcServer::stop() {
  streams_.stop();
  grpcServer_.stop();
}

// --- Probes

void ExtProcServer::requestLoadReport(upstream::http::HealthCheckId id, const std::string& address) {
  healthCheckStreams_[id] = nullptr;
  loop_.spawn(probe(id, address));
}

void ExtProcServer::cancelHealthCheck(upstream::http::HealthCheckId id) {
  const auto at = healthCheckStreams_.find(id);
  if (at == healthCheckStreams_.end()) return;
  event_loop::Stream* stream = at->second;
  healthCheckStreams_.erase(at);
  if (stream) stream->wake();
}

// One connection a probe: they are few, and a node's word must be of this moment.
event_loop::Task ExtProcServer::probe(upstream::http::HealthCheckId id, std::string address) {
  LoadReport said;
  int status = 0;
  try {
    const auto at = config::readAddress("addr", address);
    event_loop::Descriptor descriptor;
    if (healthCheckStreams_.contains(id)) descriptor = event_loop::startConnecting(at.host, at.port);
    if (descriptor) {
      event_loop::Stream stream(loop_, std::move(descriptor));
      healthCheckStreams_[id] = &stream;
      while (healthCheckStreams_.contains(id) && !stream.canWrite()) co_await stream.changed();
      http1::Response response;
      response.onHeader = [&](std::string_view name, std::string_view value) {
        load_report::readField(config_.headers.node, name, value, said);
      };
      bool on = healthCheckStreams_.contains(id) && event_loop::isConnected(stream.descriptor());
      std::string unsent = http1::get(config_.probePath, address);
      while (on && healthCheckStreams_.contains(id) && !unsent.empty()) {
        const std::string_view all = unsent;
        const auto done = stream.write({&all, 1});
        unsent.erase(0, done.size);
        on = done.status == Io::some || done.status == Io::wouldBlock;
        if (on && !unsent.empty()) co_await stream.changed();
      }
      while (on && healthCheckStreams_.contains(id) && !response.done()) {
        char bytes[2048];
        const auto got = stream.read(bytes);
        if (got.status == Io::some) {
          response.feed({bytes, got.size}, [](std::string_view) {});
          continue;
        }
        if (got.status == Io::ended) response.connectionEnded();
        on = got.status == Io::wouldBlock;
        if (on) co_await stream.changed();
      }
      if (response.done()) status = response.status();
    }
  } catch (const std::exception& bad) {
    spdlog::warn("event=ext_proc.probe_failed address={} why=\"{}\"", address, bad.what());
  }
  transactions_.advanceTo(loop_.now());
  if (healthCheckStreams_.erase(id) == 0) co_return;  // nobody waits for it
  if (status != 0)
    healthChecker_.answered(id, status, said);
  else
    healthChecker_.failed(id);
}

}  // namespace gulltrestle::ext_proc_server
