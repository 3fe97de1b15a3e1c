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
grpc_server::Bounds boundsOf(const ExtProcConfig& setup) {
  grpc_server::Bounds bounds;
  bounds.calls.connection.mostStreams = static_cast<std::uint32_t>(setup.streams.mostStreams);
  bounds.calls.longestMessage = setup.longestMessage;
  bounds.mostConnections = setup.mostConnections;
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

ExtProcServer::ExtProcServer(event_loop::EventLoop& loop, transactions::TransactionTable& ledger,
                             const deployment::DeploymentSettings& told, const ExtProcConfig& setup,
                             const std::string& start)
    : loop_(loop),
      ledger_(ledger),
      setup_(setup),
      listener_(loop, setup.listen, std::string(ext_proc::kMethod), boundsOf(setup), "ext_proc", *this),
      streams_(ledger, downstream::ext_proc::HeaderMapping(setup.headers, told.routing, told.typeNames),
               endpoint_leases::LeaseRegistry(told.routing.transactionClasses, setup.placement,
                                              setup.remembered, start),
               {told.drainGrace, told.notifiedWithin}, setup.streams, *this),
      probes_(ledger, told.connectLimit, kMostProbes, *this) {
  ledger_.addTransport(streams_.carrier());
  if (!setup_.probePath.empty()) {
    ledger_.addTransport(probes_);
    ledger_.setHealthCheckTransport(probes_);
  }
  spdlog::info("event=ext_proc.listening address={}:{} placement={} start={}", setup.listen.host,
               setup.listen.port,
               setup.placement == endpoint_leases::ProxyPlacement::attempts ? "try" : "request", start);
}

// Its connections' coroutines refer to it.
ExtProcServer::~ExtProcServer() { loop_.endTasks(); }

// --- Effects

void ExtProcServer::send(StreamKey stream, std::string_view message) { listener_.send(stream, message); }

void ExtProcServer::close(StreamKey stream, StreamCloseReason how, std::string_view why) {
  listener_.finish(stream, statusOf(how), why);
}

void ExtProcServer::log(std::string_view event, const std::string& fields) {
  spdlog::info("event={} {}", event, fields);
}

// --- Turns

Instant ExtProcServer::nextDue() const {
  const Instant one = streams_.nextDue(), other = probes_.nextDue();
  return one == Instant() || (other != Instant() && other < one) ? other : one;
}

void ExtProcServer::endTurn() {
  streams_.endTurn();
  probes_.endTurn();
  const auto& counts = streams_.counts();
  if (counts.asked == said_.asked || ledger_.now() - saidAt_ < kCountsPause) return;
  if (saidAt_ != Instant())
    spdlog::info(
        "event=ext_proc.counts asked={} granted={} committed={} refused={} rolled_back={} denied={} "
        "unreported={} misused={} malformed={} remembered={} grants_out={}",
        counts.asked, counts.granted, counts.committed, counts.refused, counts.rolledBack, counts.denied,
        counts.unreported, counts.misused, counts.malformed, streams_.remembered(), streams_.grantsOut());
  saidAt_ = ledger_.now();
  said_ = counts;
}

void ExtProcServer::stop() {
  streams_.stop();
  listener_.stop();
}

// --- Probes

void ExtProcServer::requestLoadReport(upstream::http::HealthCheckId id, const std::string& address) {
  asking_[id] = nullptr;
  loop_.spawn(probe(id, address));
}

void ExtProcServer::cancelHealthCheck(upstream::http::HealthCheckId id) {
  const auto at = asking_.find(id);
  if (at == asking_.end()) return;
  event_loop::Stream* stream = at->second;
  asking_.erase(at);
  if (stream) stream->wake();
}

// One connection a probe: they are few, and a node's word must be of this moment.
event_loop::Task ExtProcServer::probe(upstream::http::HealthCheckId id, std::string address) {
  LoadReport said;
  int status = 0;
  try {
    const auto at = config::readAddress("addr", address);
    event_loop::Descriptor descriptor;
    if (asking_.contains(id)) descriptor = event_loop::startConnecting(at.host, at.port);
    if (descriptor) {
      event_loop::Stream stream(loop_, std::move(descriptor));
      asking_[id] = &stream;
      while (asking_.contains(id) && !stream.canWrite()) co_await stream.changed();
      http1::Response response;
      response.field = [&](std::string_view name, std::string_view value) {
        load_report::readField(setup_.headers.node, name, value, said);
      };
      bool on = asking_.contains(id) && event_loop::isConnected(stream.descriptor());
      std::string unsent = http1::get(setup_.probePath, address);
      while (on && asking_.contains(id) && !unsent.empty()) {
        const std::string_view all = unsent;
        const auto done = stream.write({&all, 1});
        unsent.erase(0, done.size);
        on = done.how == Io::some || done.how == Io::wouldBlock;
        if (on && !unsent.empty()) co_await stream.changed();
      }
      while (on && asking_.contains(id) && !response.done()) {
        char bytes[2048];
        const auto got = stream.read(bytes);
        if (got.how == Io::some) {
          response.feed({bytes, got.size}, [](std::string_view) {});
          continue;
        }
        if (got.how == Io::ended) response.end();
        on = got.how == Io::wouldBlock;
        if (on) co_await stream.changed();
      }
      if (response.done()) status = response.status();
    }
  } catch (const std::exception& bad) {
    spdlog::warn("event=ext_proc.probe_failed address={} why=\"{}\"", address, bad.what());
  }
  ledger_.advanceTo(loop_.now());
  if (asking_.erase(id) == 0) co_return;  // nobody waits for it
  if (status != 0)
    probes_.answered(id, status, said);
  else
    probes_.failed(id);
}

}  // namespace gulltrestle::ext_proc_server
