#include "runtime/server/discovery_client.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "protocol/http1/response.h"
#include "runtime/server/server_log.h"

namespace gulltrestle::server {

namespace {

// A list of a thousand nodes takes a fifth of this.
constexpr std::size_t kMaxListBytes = 1024 * 1024;
// A wake-up is scheduled this long after its deadline, so that the deadline has passed when it runs.
constexpr Duration kWakeUpMargin = Duration::millis(1);

bool isWhitespace(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }

std::string textOf(const config::Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

}  // namespace

std::vector<gateway::ResolvedEndpoint> resolvedEndpoints(config::EndpointList list) {
  std::vector<gateway::ResolvedEndpoint> endpoints;
  for (auto& node : list.nodes) endpoints.push_back({std::move(node.entry), std::move(node.address)});
  return endpoints;
}

// One HTTP request on a separate connection, and its result so far.
struct DiscoveryClient::Call {
  Call(event_loop::EventLoop& loop, event_loop::Descriptor descriptor, SharedBuffers& buffers,
       config::Address calledAddress, bool watches)
      : connection(loop, std::move(descriptor), buffers),
        address(std::move(calledAddress)),
        isWatch(watches),
        startedAt(loop.now()),
        lastReceivedAt(startedAt) {}

  bool hasConnectionEnded() const { return connection.isBroken || connection.hasEnded; }
  bool isOver() const { return hasConnectionEnded() || response.done(); }

  Connection connection;
  config::Address address;
  bool isWatch;
  Instant startedAt;
  Instant lastReceivedAt;  // before data is received: when the request was sent, or the call started
  bool isSent = false;
  bool hasReceived = false;
  http1::Response response;
  json::Parser parser;
  std::size_t documentBytes = 0;  // of the document that is being parsed
  CallResult result;
};

DiscoveryClient::DiscoveryClient(event_loop::EventLoop& loop, gateway::Gateway& gateway,
                                 SharedBuffers& buffers, const config::RouterConfig& config)
    : loop_(loop),
      gateway_(gateway),
      buffers_(buffers),
      config_(config),
      schedule_(config.deployment.routing.endpointListIsPolled, config.deployment.drainGrace, config.seed) {}

void DiscoveryClient::start(std::uint64_t listVersion) {
  listVersion_ = listVersion;
  isWatching_ = schedule_.startsWithWatch() && !config_.initialEndpoints.nodes.empty();
  loop_.spawn(subscribeToEndpointList());
}

void DiscoveryClient::setAddress(const std::string& address) {
  address_ = config::readAddress("discovery", address);
  if (stream_) stream_->wake();
}

// When the address of discovery changes, the whole list is requested from the new address without a pause, as
// data that the old address still sends may be outdated.
event_loop::Task DiscoveryClient::subscribeToEndpointList() {
  for (;;) {
    const config::Address address = address_;
    CallResult result;
    if (event_loop::Descriptor descriptor = event_loop::startConnecting(address.host, address.port)) {
      Call call(loop_, std::move(descriptor), buffers_, address, isWatching_);
      stream_ = &call.connection.stream;
      // A drain that arrives in a turn is applied before anything is sent in that turn.
      call.connection.stream.prioritize();
      try {
        while (!call.isOver() && address == address_) {
          const Duration idleTimeout = schedule_.idleTimeout(call.isWatch, call.hasReceived);
          if (hasTimedOut(call, idleTimeout)) break;
          sendAndReceive(call, idleTimeout);
          if (!call.isOver()) co_await call.connection.stream.changed();
        }
        finish(call);
      } catch (const std::runtime_error& error) {
        call.result = {error.what(), call.response.status() == 200};
      }
      stream_ = nullptr;
      result = call.result;
    } else {
      result.failure = "no descriptor, port or memory is available";
    }
    if (address != address_) isWatching_ = false;
    if (address != address_ || result.failure.empty()) continue;
    reportFailure(address, result.failure);
    isWatching_ = isWatching_ && !result.isContentInvalid && schedule_.startsWithWatch();
    co_await loop_.sleepUntil(loop_.now() + schedule_.nextBackoff());
  }
}

// Prevents a router that was stopped or busy from abandoning a response that has arrived in the meantime: a
// readable response to a request for the whole list is read before the timeout applies. This doesn't apply to
// a watch, as data that is read late may have arrived before the watch stopped sending.
bool DiscoveryClient::hasTimedOut(Call& call, Duration idleTimeout) const {
  const event_loop::Stream& stream = call.connection.stream;
  const bool isResponseReadable = !call.isWatch && stream.canRead();
  const bool isConnecting = !call.isSent && !stream.canWrite();
  if (loop_.now() - call.lastReceivedAt > idleTimeout && !isResponseReadable && (call.isSent || isConnecting))
    return true;
  if (!isConnecting || loop_.now() - call.startedAt <= config_.deployment.connectTimeout) return false;
  call.result.failure = "the connection was not established in time";
  return true;
}

// Sends the request once the connection is writable, reads the available data, and sets the next wake-up.
void DiscoveryClient::sendAndReceive(Call& call, Duration idleTimeout) {
  Connection& connection = call.connection;
  if (connection.stream.canWrite() && !call.isSent) {
    call.isSent = true;
    call.lastReceivedAt = loop_.now();
    const std::string path =
        call.isWatch ? config::endpointWatchPath(listVersion_) : config::endpointListPath();
    connection.send({http1::encodeGetRequest(path, textOf(call.address))});
  }
  connection.flush();
  if (call.isSent && connection.stream.canRead())
    connection.read([&](std::string_view bytes) { return receive(call, bytes); });
  if (connection.stream.canRead() && !call.hasConnectionEnded()) connection.stream.wake();
  const Instant deadline =
      call.isSent ? call.lastReceivedAt + idleTimeout : call.startedAt + config_.deployment.connectTimeout;
  connection.stream.wakeAt(deadline + kWakeUpMargin);
}

std::size_t DiscoveryClient::receive(Call& call, std::string_view bytes) {
  call.lastReceivedAt = loop_.now();
  call.hasReceived = true;
  gateway_.onDiscoveryActivity(call.lastReceivedAt);
  const std::size_t used = call.response.feed(bytes, [&](std::string_view body) { receiveBody(call, body); });
  const int status = call.response.status();
  if (status != 0 && status != 200)
    throw http1::Malformed("unexpected HTTP status " + std::to_string(status));
  if (status == 200) schedule_.resetBackoff();
  return used;
}

// Lists may be split and indented in any way: a list ends with its closing bracket. The response to a request
// for the whole list is applied once it is complete, as a truncated response may lack more than is visible.
void DiscoveryClient::receiveBody(Call& call, std::string_view body) {
  while (!body.empty()) {
    if (call.parser.done() && !call.isWatch) {
      if (!std::all_of(body.begin(), body.end(), isWhitespace))
        throw http1::Malformed("unexpected data after the endpoint list");
      return;
    }
    if (call.documentBytes == 0 && isWhitespace(body.front())) {
      body.remove_prefix(1);
      continue;
    }
    const std::size_t used = call.parser.feed(body);
    body.remove_prefix(used);
    call.documentBytes += used;
    if (call.documentBytes > kMaxListBytes)
      throw http1::Malformed("the endpoint list exceeds the size limit");
    if (!call.isWatch || !call.parser.done()) continue;
    call.documentBytes = 0;
    applyList(call.parser.take(), true);
    lastFailure_.clear();
  }
}

// Handles the end of a call: it is over, has timed out, or the address of discovery has changed.
void DiscoveryClient::finish(Call& call) {
  if (call.connection.hasEnded) call.response.connectionEnded();
  if (call.address == address_ && call.response.done() && !call.isWatch) {
    call.parser.finish();
    applyList(call.parser.take(), false);
    isWatching_ = true;
    call.result.failure.clear();
    lastFailure_.clear();
  } else if (call.isOver()) {
    call.result.failure = "the connection or the response ended";
  }
}

void DiscoveryClient::applyList(json::Value document, bool isWatchEvent) {
  config::EndpointList list = config::readEndpointList(document, config_.deployment.zone);
  if (isWatchEvent && !list.isSnapshot && list.version < listVersion_)
    throw config::ConfigError("version", "is lower than that of the previous list");
  listVersion_ = list.version;
  const auto kind = list.isSnapshot ? EndpointUpdateKind::snapshot : EndpointUpdateKind::delta;
  if (!list.nodes.empty()) logEndpointList(list);
  gateway_.onEndpointList(loop_.now(), kind, resolvedEndpoints(std::move(list)), listVersion_);
}

void DiscoveryClient::reportFailure(const config::Address& address, const std::string& failure) {
  const std::string failedCall = (isWatching_ ? "watch failed: " : "list request failed: ") + failure;
  if (failedCall != lastFailure_) logDiscoveryFailed(address, failedCall);
  lastFailure_ = failedCall;
  gateway_.onEndpointListFailed(loop_.now());
}

}  // namespace gulltrestle::server
