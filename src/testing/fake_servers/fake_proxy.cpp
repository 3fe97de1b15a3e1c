#include "testing/fake_servers/fake_proxy.h"

#include "config/router_config.h"
#include "runtime/event_loop/sockets.h"
#include "testing/fake_servers/fake_proxy_connections.h"

namespace gulltrestle::fake_servers {

namespace {

constexpr Duration kPollInterval = Duration::millis(1);      // polling interval of the steps that wait
constexpr Duration kConnectTimeout = Duration::millis(100);  // for the connection to the processor

using ext_proc::Phase;

// Returns whether the fault is injected now.
bool occurs(const std::function<bool()>& fault) { return fault && fault(); }

}  // namespace

FakeProxy::FakeProxy(event_loop::EventLoop& loop, FakeProxyConfig config)
    : loop_(loop), config_(std::move(config)) {}
FakeProxy::~FakeProxy() = default;

void FakeProxy::send(ClientRequest request, std::function<void(Answer)> onAnswer) {
  ++openRequests_;
  const Instant deadline = loop_.now() + request.remainingTime;
  loop_.spawn(exchange(std::move(request), deadline, std::move(onAnswer)));
}

void FakeProxy::dropConnection() {
  if (!connection_) return;
  connection_->hasEnded = true;
  connection_->stream.wake();
  connection_.reset();
}

std::shared_ptr<FakeProxy::ProcessorConnection> FakeProxy::connection() {
  if (connection_ && !connection_->hasEnded && !connection_->session.done()) return connection_;
  const auto address = config::readAddress("processor", config_.processor);
  connection_ =
      std::make_shared<ProcessorConnection>(loop_, event_loop::startConnecting(address.host, address.port));
  loop_.spawn(serveConnection(connection_));
  return connection_;
}

event_loop::Task FakeProxy::serveConnection(std::shared_ptr<ProcessorConnection> connection) {
  while (!connection->stream.canWrite()) co_await connection->stream.changed();
  connection->isConnected = event_loop::isConnected(connection->stream.descriptor());
  if (!connection->isConnected) connection->hasEnded = true;
  connection->flush();
  while (!connection->hasEnded) {
    char bytes[16384];
    if (connection->stream.canRead()) {
      const auto got = connection->stream.read(bytes);
      if (got.status == event_loop::IoStatus::ok &&
          !connection->session.received(loop_.now(), {bytes, got.size}))
        connection->hasEnded = true;
      if (got.status == event_loop::IoStatus::endOfStream || got.status == event_loop::IoStatus::failed)
        connection->hasEnded = true;
    }
    connection->flush();
    if (connection->session.done() && connection->streams.empty()) connection->hasEnded = true;
    if (!connection->hasEnded && !connection->stream.canRead()) co_await connection->stream.changed();
  }
  connection->session.connectionEnded();
}

// One client request with all its attempts: the state so far, and the steps between two waits. The coroutine
// exchange() runs the steps and does the waiting.
struct FakeProxy::Exchange {
  // What exchange() does after a step.
  enum class Next { proceed, retry, finish };

  Exchange(FakeProxy& ofProxy, ClientRequest ofClient, Instant clientDeadline)
      : proxy(ofProxy), request(std::move(ofClient)), deadline(clientDeadline) {
    answer.status = 504;
    for (const auto& header : request.headers)
      if (header.name == "x-txn-id") answer.transactionId = header.value;
  }

  Instant now() const { return proxy.loop_.now(); }
  void count(const std::string& event) { ++proxy.eventCounts[event]; }
  void resetStream() {
    connection->session.reset(streamId, http2::ErrorCode::cancel);
    connection->flush();
  }

  bool awaitsProcessor() const { return !connection->isConnected && !connection->hasEnded; }

  // --- The lease

  // Returns false if the client's deadline has passed.
  bool requestLease(unsigned attempt) {
    ext_proc::Request message;
    message.phase = Phase::requestHeaders;
    message.headers = request.headers;
    const auto remainingMillis = (deadline - now()).inMicros() / 1000;
    if (remainingMillis <= 0) return false;
    message.headers.push_back({"x-txn-patience-ms", std::to_string(remainingMillis)});
    if (proxy.config_.requestsPerAttempt)
      message.headers.push_back({"x-envoy-attempt-count", std::to_string(attempt)});
    if (attempt > 1) message.headers.push_back({"x-txn-written", writtenByAnyAttempt});
    if (!token.empty()) message.headers.push_back({"x-txn-submission", token});
    stream = connection->open(streamId);
    connection->send(streamId, message);
    messageDeadline = now() + proxy.config_.messageTimeout;
    wasExtended = false;
    return true;
  }

  void leaveBeforeDecision() {
    resetStream();
    count("client left before a decision");
    answer.status = 0;
  }

  // Also applies an extension of the message timeout. Only the first extension of an attempt has an effect.
  bool hasDecision() {
    if (!stream->responses.empty() && stream->responses.front().timeoutOverride > Duration()) {
      if (!wasExtended && proxy.config_.maxMessageTimeout > Duration())
        messageDeadline =
            now() + std::min(stream->responses.front().timeoutOverride, proxy.config_.maxMessageTimeout);
      wasExtended = true;
      stream->responses.pop_front();
    }
    return !stream->responses.empty();
  }
  bool awaitsDecision() { return !hasDecision() && !stream->hasEnded && now() < messageDeadline; }

  Next handleDecision() {
    if (stream->responses.empty()) return handleMissingDecision();
    const ext_proc::Response decision = stream->responses.front();
    stream->responses.pop_front();
    if (!decision.isImmediate) {
      applyLease(decision);
      return Next::proceed;
    }
    answer.status = decision.immediate.status;
    for (const auto& header : decision.immediate.headers)
      if (header.name == "x-txn-outcome") answer.outcome = header.value;
    count("immediate answer " + answer.outcome);
    return Next::finish;
  }
  Next handleMissingDecision() {
    count(stream->hasEnded ? "stream lost before a decision" : "message timeout");
    resetStream();
    answer.status = stream->hasEnded ? 503 : 504;
    // This attempt sent nothing, so the result of the earlier attempts is still valid.
    return stream->hasEnded && proxy.config_.retriesAfterStreamLoss ? Next::retry : Next::finish;
  }
  void applyLease(const ext_proc::Response& decision) {
    leasedAt = now();
    endpoint.clear();
    leaseMillis = 0;
    for (const auto& header : decision.set) {
      if (header.name == "x-gateway-destination-endpoint") endpoint = header.value;
      if (header.name == "x-txn-submission") token = header.value;
      if (header.name == "x-txn-send-within-ms") leaseMillis = std::stoll(header.value);
    }
    count("granted");
    // From here on this attempt may be executed, so the answer to an earlier attempt is no longer valid.
    answer.outcome.clear();
    responseHead.clear();
    written = "none";
    status = 503;
  }

  // --- The node

  bool isLeaseValid() const { return now() - leasedAt < Duration::millis(leaseMillis); }

  void connectToNode() {
    if (const auto idle = proxy.idle_.find(endpoint); idle != proxy.idle_.end()) {
      nodeConnection = std::move(idle->second);
      proxy.idle_.erase(idle);
      isConnecting = false;
      return;
    }
    const auto address = config::readAddress("endpoint", endpoint);
    nodeConnection = std::make_unique<NodeConnection>(
        proxy.loop_, event_loop::startConnecting(address.host, address.port));
    isConnecting = true;
  }
  bool awaitsConnection() const { return isConnecting && !nodeConnection->stream.canWrite(); }

  void writeToNode() {
    if (event_loop::isConnected(nodeConnection->stream.descriptor()) && isLeaseValid()) {
      const std::string requestHead = std::string(request.isWrite ? "POST" : "GET") +
                                      " / HTTP/1.1\r\nx-txn-id: " + answer.transactionId + "\r\n\r\n";
      const std::string_view bytes = requestHead;
      if (nodeConnection->stream.write({&bytes, 1}).status == event_loop::IoStatus::ok) written = "whole";
    }
    hasEnded = written == "none";
    answerDeadline = std::min(deadline, now() + proxy.attemptTimeout.value_or(proxy.config_.attemptTimeout));
  }
  bool hasHead() const { return responseHead.find("\r\n\r\n") != std::string::npos; }
  bool awaitsHead() const { return !hasEnded && !hasHead() && now() < answerDeadline; }
  // Returns false if there is nothing to read yet.
  bool readFromNode() {
    char bytes[1024];
    const auto got = nodeConnection->stream.read(bytes);
    if (got.status == event_loop::IoStatus::ok) responseHead.append(bytes, got.size);
    if (got.status == event_loop::IoStatus::endOfStream || got.status == event_loop::IoStatus::failed)
      hasEnded = true;
    return got.status != event_loop::IoStatus::wouldBlock;
  }
  void handleHead() {
    if (hasHead()) {
      status = std::stoi(responseHead.substr(9, 3));
      proxy.idle_.emplace(endpoint, std::move(nodeConnection));
      return;
    }
    if (!hasEnded) status = 504;
    responseHead.clear();
  }

  // --- The report

  void resetBeforeReport() {
    count("reset before report");
    resetStream();
    answer.status = 502;
  }

  void report() {
    ext_proc::Request message;
    message.phase = Phase::responseHeaders;
    message.headers = {{":status", std::to_string(status)}, {"x-txn-written", written}};
    for (const std::string name : {"x-node-role", "x-node-position", "x-node-outcome"}) {
      const std::string prefix = "\r\n" + name + ": ";
      const auto found = responseHead.find(prefix);
      if (found == std::string::npos) continue;
      const auto begin = found + prefix.size();
      message.headers.push_back({name, responseHead.substr(begin, responseHead.find("\r\n", begin) - begin)});
    }
    connection->send(streamId, message);
    if (occurs(proxy.faults.reportsTwice)) {
      count("reported twice");
      connection->send(streamId, message);
    }
    messageDeadline = now() + proxy.config_.messageTimeout;
  }
  bool awaitsFinalAnswer() const {
    return stream->responses.empty() && !stream->hasEnded && now() < messageDeadline;
  }

  Next handleFinalAnswer() {
    if (stream->responses.empty()) {
      count(stream->hasEnded ? "stream lost after a grant" : "message timeout after a grant");
      resetStream();
      answer.status = 500;
      answer.outcome.clear();
      // A failed filter fails the attempt: as documented for the proxy, a retry may follow.
      return stream->hasEnded && proxy.config_.retriesAfterStreamLoss ? Next::retry : Next::finish;
    }
    const ext_proc::Response response = stream->responses.front();
    connection->session.end(streamId);
    connection->flush();
    answer.outcome.clear();
    for (const auto& header : response.isImmediate ? response.immediate.headers : response.set)
      if (header.name == "x-txn-outcome") answer.outcome = header.value;
    answer.status = response.isImmediate ? response.immediate.status : status;
    answer.nodeAddress = response.isImmediate || responseHead.empty() ? "" : endpoint;
    count("final outcome " + answer.outcome);
    return answer.status == 503 && proxy.config_.requestsPerAttempt ? Next::retry : Next::finish;
  }

  FakeProxy& proxy;
  ClientRequest request;
  Instant deadline;  // of the client
  Answer answer;
  std::string token;                         // submission token of the last lease
  std::string writtenByAnyAttempt = "none";  // over all attempts so far
  // --- State of the current attempt
  std::shared_ptr<ProcessorConnection> connection;
  std::shared_ptr<ProcessorStream> stream;
  http2::StreamId streamId = 0;
  Instant messageDeadline, answerDeadline, leasedAt;
  bool wasExtended = false, isConnecting = false, hasEnded = false;
  std::string endpoint, responseHead, written = "none";
  std::int64_t leaseMillis = 0;
  int status = 503;
  std::unique_ptr<NodeConnection> nodeConnection;
};

event_loop::Task FakeProxy::exchange(ClientRequest clientRequest, Instant deadline,
                                     std::function<void(Answer)> onAnswer) {
  using Next = Exchange::Next;
  Exchange request(*this, std::move(clientRequest), deadline);
  Next next = Next::retry;
  for (unsigned attempt = 1; next == Next::retry && attempt <= config_.maxAttempts && loop_.now() < deadline;
       ++attempt) {
    if (attempt > 1) co_await loop_.sleepUntil(loop_.now() + config_.retryDelay);
    request.connection = connection();
    for (const Instant connectDeadline = loop_.now() + kConnectTimeout;
         request.awaitsProcessor() && loop_.now() < connectDeadline;)
      co_await loop_.sleepUntil(loop_.now() + kPollInterval);
    if (!request.requestLease(attempt)) break;
    if (occurs(faults.clientLeavesBeforeDecision)) {
      co_await loop_.sleepUntil(loop_.now() + kPollInterval);
      request.leaveBeforeDecision();
      break;
    }
    while (request.awaitsDecision()) co_await loop_.sleepUntil(loop_.now() + kPollInterval);
    next = request.handleDecision();
    if (next != Next::proceed) continue;
    if (occurs(faults.waitsBeyondLease)) {
      request.count("lease expired before sending");
      co_await loop_.sleepUntil(request.leasedAt + Duration::millis(request.leaseMillis + 1));
    }
    if (request.isLeaseValid()) {
      request.connectToNode();
      while (request.awaitsConnection()) co_await request.nodeConnection->stream.changed();
      request.writeToNode();
      while (request.awaitsHead())
        if (!request.readFromNode()) co_await loop_.sleepUntil(loop_.now() + kPollInterval);
      request.handleHead();
    }
    request.nodeConnection.reset();
    if (request.written == "whole") request.writtenByAnyAttempt = "whole";
    if (occurs(faults.resetsBeforeReport)) {
      request.resetBeforeReport();
      break;
    }
    request.report();
    while (request.awaitsFinalAnswer()) co_await loop_.sleepUntil(loop_.now() + kPollInterval);
    next = request.handleFinalAnswer();
  }
  --openRequests_;
  onAnswer(request.answer);
}

}  // namespace gulltrestle::fake_servers
