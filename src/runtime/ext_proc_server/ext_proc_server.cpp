#include "runtime/ext_proc_server/ext_proc_server.h"

#include <array>
#include <utility>

#include "base/due_time.h"
#include "protocol/http1/response.h"
#include "runtime/event_loop/sockets.h"
#include "runtime/ext_proc_server/ext_proc_log.h"

namespace gulltrestle::ext_proc_server {

using downstream::ext_proc::StreamCloseReason;
using downstream::ext_proc::StreamKey;
using event_loop::IoStatus;
using upstream::http::HealthCheckId;

namespace {

// Interval at which the counts are logged while requests arrive.
constexpr Duration kCountsInterval = Duration::millis(60000);
// Buffer size for one read of a health check response.
constexpr std::size_t kReadBytes = 2048;

grpc_server::Bounds boundsOf(const ExtProcConfig& config) {
  grpc_server::Bounds bounds;
  bounds.calls.connection.maxStreams = static_cast<std::uint32_t>(config.streams.maxStreams);
  bounds.calls.maxMessageBytes = config.maxMessageBytes;
  bounds.maxConnections = config.maxConnections;
  bounds.maxIncompleteBytes = config.maxIncompleteBytes;
  return bounds;
}

grpc::Status statusOf(StreamCloseReason reason) {
  switch (reason) {
    case StreamCloseReason::finished:
      return grpc::Status::ok;
    case StreamCloseReason::invalidMessage:
      return grpc::Status::invalidArgument;
    case StreamCloseReason::timedOut:
      return grpc::Status::deadlineExceeded;
    case StreamCloseReason::tooManyStreams:
      return grpc::Status::resourceExhausted;
    case StreamCloseReason::unavailable:
      return grpc::Status::unavailable;
  }
  return grpc::Status::internal;
}

}  // namespace

ExtProcServer::ExtProcServer(event_loop::EventLoop& loop, transactions::TransactionTable& transactions,
                             const deployment::DeploymentSettings& settings, const ExtProcConfig& config,
                             const std::string& incarnation)
    : loop_(loop),
      transactions_(transactions),
      config_(config),
      grpcServer_(loop, config.listen, std::string(ext_proc::kMethod), boundsOf(config), "ext_proc", *this),
      streams_(transactions,
               downstream::ext_proc::HeaderMapping(config.headers, settings.routing, settings.classNames),
               endpoint_leases::LeaseRegistry(settings.routing.transactionClasses, config.placement,
                                              config.registryLimits, incarnation),
               {settings.drainGrace, settings.notificationBound}, config.streams, *this),
      healthChecker_(transactions, settings.connectTimeout, kMaxHealthChecks, *this) {
  transactions_.addTransport(streams_.transport());
  if (!config_.healthCheckPath.empty()) {
    transactions_.addTransport(healthChecker_);
    transactions_.setHealthCheckTransport(healthChecker_);
  }
  logListening(config, incarnation);
}

// The coroutines of connections refer to the server, so they are destroyed first.
ExtProcServer::~ExtProcServer() { loop_.destroyTasks(); }

// --- Effects

void ExtProcServer::send(StreamKey stream, std::string_view message) { grpcServer_.send(stream, message); }

void ExtProcServer::close(StreamKey stream, StreamCloseReason reason, std::string_view text) {
  grpcServer_.finish(stream, statusOf(reason), text);
}

void ExtProcServer::log(std::string_view event, const std::string& fields) { logStreamEvent(event, fields); }

// --- Turns

Instant ExtProcServer::nextDue() const { return earlierDue(streams_.nextDue(), healthChecker_.nextDue()); }

void ExtProcServer::endTurn() {
  streams_.endTurn();
  healthChecker_.endTurn();
  logNewCounts();
}

// Logs the counts once per interval. The first turn with a request only starts the interval.
void ExtProcServer::logNewCounts() {
  const auto& counts = streams_.counts();
  if (counts.requested == loggedCounts_.requested || transactions_.now() - countsLoggedAt_ < kCountsInterval)
    return;
  if (countsLoggedAt_ != Instant())
    logCounts(counts, streams_.rememberedTransactionCount(), streams_.outstandingLeaseCount());
  countsLoggedAt_ = transactions_.now();
  loggedCounts_ = counts;
}

void ExtProcServer::stop() {
  streams_.stop();
  grpcServer_.stop();
}

void ExtProcServer::closeRemaining() {
  streams_.closeRemaining();
  grpcServer_.closeRemaining();
}

// --- Health checks

// One HTTP request on a separate connection: health checks are few, and a load report must be current.
struct ExtProcServer::HealthCheckCall {
  HealthCheckCall(event_loop::EventLoop& loop, event_loop::Descriptor descriptor, std::string request)
      : stream(loop, std::move(descriptor)), unsent(std::move(request)) {}

  // Writes as much of the request as possible. Returns false if the connection has failed.
  [[nodiscard]] bool sendRequest() {
    const std::string_view bytes = unsent;
    const auto result = stream.write({&bytes, 1});
    unsent.erase(0, result.size);
    return result.status == IoStatus::ok || result.status == IoStatus::wouldBlock;
  }

  // Reads the available data, up to the end of the response. Returns false if no more data can follow.
  [[nodiscard]] bool receive() {
    std::array<char, kReadBytes> buffer;
    while (!response.done()) {
      const auto result = stream.read(buffer);
      if (result.status == IoStatus::endOfStream) response.connectionEnded();
      if (result.status != IoStatus::ok) return result.status == IoStatus::wouldBlock;
      response.feed({buffer.data(), result.size}, [](std::string_view) {});
    }
    return true;
  }

  event_loop::Stream stream;
  std::string unsent;
  http1::Response response;
};

void ExtProcServer::requestLoadReport(HealthCheckId id, const std::string& address) {
  healthCheckStreams_[id] = nullptr;
  loop_.spawn(runHealthCheck(id, address));
}

void ExtProcServer::cancelHealthCheck(HealthCheckId id) {
  const auto found = healthCheckStreams_.find(id);
  if (found == healthCheckStreams_.end()) return;
  event_loop::Stream* stream = found->second;
  healthCheckStreams_.erase(found);
  if (stream) stream->wake();
}

event_loop::Task ExtProcServer::runHealthCheck(HealthCheckId id, std::string addressText) {
  LoadReport report;
  int httpStatus = 0;  // 0: no response
  try {
    const config::Address address = config::readAddress("addr", addressText);
    event_loop::Descriptor descriptor;
    if (isInFlight(id)) descriptor = event_loop::startConnecting(address.host, address.port);
    if (descriptor) {
      HealthCheckCall call(loop_, std::move(descriptor),
                           http1::encodeGetRequest(config_.healthCheckPath, addressText));
      call.response.onHeader = [&](std::string_view name, std::string_view value) {
        load_report::readField(config_.headers.loadReport, name, value, report);
      };
      healthCheckStreams_[id] = &call.stream;
      while (isInFlight(id) && !call.stream.canWrite()) co_await call.stream.changed();
      bool isUsable = isInFlight(id) && event_loop::isConnected(call.stream.descriptor());
      while (isUsable && isInFlight(id) && !call.unsent.empty()) {
        isUsable = call.sendRequest();
        if (isUsable && !call.unsent.empty()) co_await call.stream.changed();
      }
      while (isUsable && isInFlight(id) && !call.response.done()) {
        isUsable = call.receive();
        if (isUsable && !call.response.done()) co_await call.stream.changed();
      }
      if (call.response.done()) httpStatus = call.response.status();
    }
  } catch (const std::exception& error) { logHealthCheckFailed(addressText, error.what()); }
  transactions_.advanceTo(loop_.now());
  if (healthCheckStreams_.erase(id) == 0) co_return;  // the health check was cancelled
  if (httpStatus != 0)
    healthChecker_.onAnswered(id, httpStatus, report);
  else
    healthChecker_.onFailed(id);
}

}  // namespace gulltrestle::ext_proc_server
