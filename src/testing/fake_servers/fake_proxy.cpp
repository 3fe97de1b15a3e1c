#include "testing/fake_servers/fake_proxy.h"

#include <deque>

#include "config/router_config.h"
#include "protocol/grpc/server_calls.h"
#include "runtime/event_loop/sockets.h"

namespace gulltrestle::fake_servers {

namespace {

constexpr Duration kTick = Duration::millis(1);              // how often a waiting step looks again
constexpr Duration kConnectTimeout = Duration::millis(100);  // for the connection to the processor

using ext_proc::Phase;

}  // namespace

// One stream to the processor.
struct FakeProxy::Call {
  std::string kept;
  std::deque<ext_proc::Response> answers;
  bool over = false;
};

// The connection to the processor.
struct FakeProxy::Link final : http2::Handler {
  Link(event_loop::EventLoop& onLoop, event_loop::Descriptor descriptor)
      : stream(onLoop, std::move(descriptor)), session(http2::Session::Side::client, {}, *this) {}

  void headers(http2::StreamId id, http2::Headers) override { (void)id; }
  void data(http2::StreamId id, std::string_view bytes) override {
    const auto at = calls.find(id);
    if (at == calls.end()) return;
    Call& call = *at->second;
    call.kept += bytes;
    std::string_view left = call.kept, message;
    while (grpc::takeMessage(left, 1 << 20, message) == grpc::FrameStatus::complete)
      call.answers.push_back(ext_proc::readResponse(message));
    call.kept.erase(0, call.kept.size() - left.size());
  }
  void halfClosed(http2::StreamId) override {}
  void closed(http2::StreamId id, http2::ErrorCode) override {
    const auto at = calls.find(id);
    if (at == calls.end()) return;
    at->second->over = true;
    calls.erase(at);
  }

  std::shared_ptr<Call> open(http2::StreamId& id) {
    id = session.request({{":method", "POST"},
                          {":scheme", "http"},
                          {":path", std::string(ext_proc::kMethod)},
                          {":authority", "processor"},
                          {"content-type", "application/grpc"},
                          {"te", "trailers"}});
    auto call = std::make_shared<Call>();
    if (id == 0)
      call->over = true;
    else
      calls[id] = call;
    return call;
  }
  void send(http2::StreamId id, const ext_proc::Request& request) {
    session.send(id, grpc::framed(ext_proc::request(request)));
    flush();
  }
  void flush() {
    if (!up || over) return;
    unsent += session.output();
    while (!unsent.empty()) {
      const std::string_view all = unsent;
      const auto done = stream.write({&all, 1});
      if (done.status == event_loop::Io::failed) over = true;
      if (done.status != event_loop::Io::some) break;
      unsent.erase(0, done.size);
    }
  }

  event_loop::Stream stream;
  http2::Session session;
  std::map<http2::StreamId, std::shared_ptr<Call>> calls;
  std::string unsent;
  bool up = false, over = false;
};

struct FakeProxy::Upstream {
  Upstream(event_loop::EventLoop& onLoop, event_loop::Descriptor descriptor)
      : stream(onLoop, std::move(descriptor)) {}
  event_loop::Stream stream;
};

FakeProxy::FakeProxy(event_loop::EventLoop& loop, FakeProxyConfig setup)
    : loop_(loop), setup_(std::move(setup)) {}
FakeProxy::~FakeProxy() = default;

void FakeProxy::ask(ext_proc::Headers headers, bool isWrite, Duration patience,
                    std::function<void(Answer)> done) {
  ++open_;
  loop_.spawn(exchange(std::move(headers), isWrite, loop_.now() + patience, std::move(done)));
}

void FakeProxy::drop() {
  if (!link_) return;
  link_->over = true;
  link_->stream.wake();
  link_.reset();
}

std::shared_ptr<FakeProxy::Link> FakeProxy::link() {
  if (link_ && !link_->over && !link_->session.done()) return link_;
  const auto at = config::readAddress("processor", setup_.processor);
  link_ = std::make_shared<Link>(loop_, event_loop::startConnecting(at.host, at.port));
  loop_.spawn(runLink(link_));
  return link_;
}

event_loop::Task FakeProxy::runLink(std::shared_ptr<Link> link) {
  while (!link->stream.canWrite()) co_await link->stream.changed();
  link->up = event_loop::isConnected(link->stream.descriptor());
  if (!link->up) link->over = true;
  link->flush();
  while (!link->over) {
    char bytes[16384];
    if (link->stream.canRead()) {
      const auto got = link->stream.read(bytes);
      if (got.status == event_loop::Io::some && !link->session.received(loop_.now(), {bytes, got.size}))
        link->over = true;
      if (got.status == event_loop::Io::ended || got.status == event_loop::Io::failed) link->over = true;
    }
    link->flush();
    if (link->session.done() && link->calls.empty()) link->over = true;
    if (!link->over && !link->stream.canRead()) co_await link->stream.changed();
  }
  link->session.ended();
}

// One request of a client, over all its attempts: what is known so far, and the steps between two waits. The
// coroutine exchange() does the waiting.
struct FakeProxy::Exchange {
  // What follows after a step.
  enum class Next { proceed, retry, finish };

  Exchange(FakeProxy& ofProxy, ext_proc::Headers requestHeaders, bool write, Instant deadline)
      : proxy(ofProxy), headers(std::move(requestHeaders)), isWrite(write), until(deadline) {
    answer.status = 504;
    for (const auto& header : headers)
      if (header.name == "x-txn-id") answer.txn = header.value;
  }

  Instant now() const { return proxy.loop_.now(); }
  void count(const std::string& event) { ++proxy.seen[event]; }
  void resetStream() {
    link->session.reset(streamId, http2::ErrorCode::cancel);
    link->flush();
  }

  // --- The question

  // False where the client's time is over.
  bool askProcessor(unsigned attempt) {
    ext_proc::Request question;
    question.phase = Phase::requestHeaders;
    question.headers = headers;
    const auto left = (until - now()).inMicros() / 1000;
    if (left <= 0) return false;
    question.headers.push_back({"x-txn-patience-ms", std::to_string(left)});
    if (proxy.setup_.asksForTries)
      question.headers.push_back({"x-envoy-attempt-count", std::to_string(attempt)});
    if (attempt > 1) question.headers.push_back({"x-txn-written", written});
    if (!token.empty()) question.headers.push_back({"x-txn-submission", token});
    call = link->open(streamId);
    link->send(streamId, question);
    messageDeadline = now() + proxy.setup_.messageTimeout;
    wasExtended = false;
    return true;
  }

  void clientLeaves() {
    resetStream();
    count("gave up before a decision");
    answer.status = 0;
  }

  // Takes over a request for more time, which counts once.
  bool hasDecision() {
    if (!call->answers.empty() && call->answers.front().wait > Duration()) {
      if (!wasExtended && proxy.setup_.mostMessageTimeout > Duration())
        messageDeadline = now() + std::min(call->answers.front().wait, proxy.setup_.mostMessageTimeout);
      wasExtended = true;
      call->answers.pop_front();
    }
    return !call->answers.empty();
  }
  bool awaitsDecision() { return !hasDecision() && !call->over && now() < messageDeadline; }

  Next takeDecision() {
    if (call->answers.empty()) return withoutDecision();
    const ext_proc::Response decision = call->answers.front();
    call->answers.pop_front();
    if (!decision.isImmediate) {
      takeLease(decision);
      return Next::proceed;
    }
    answer.status = decision.immediate.status;
    for (const auto& header : decision.immediate.headers)
      if (header.name == "x-txn-outcome") answer.outcome = header.value;
    count("answered " + answer.outcome);
    return Next::finish;
  }
  Next withoutDecision() {
    count(call->over ? "stream broke before a decision" : "message timeout");
    resetStream();
    answer.status = call->over ? 503 : 504;
    // Nothing was sent by this attempt, so what is known of the earlier ones holds.
    return call->over && proxy.setup_.triesAgainAfterProcessorFails ? Next::retry : Next::finish;
  }
  void takeLease(const ext_proc::Response& decision) {
    leasedAt = now();
    endpoint.clear();
    withinMillis = 0;
    for (const auto& header : decision.set) {
      if (header.name == "x-gateway-destination-endpoint") endpoint = header.value;
      if (header.name == "x-txn-submission") token = header.value;
      if (header.name == "x-txn-send-within-ms") withinMillis = std::stoll(header.value);
    }
    count("granted");
    // From here on it may run: what an earlier attempt was told is no answer to this one.
    answer.outcome.clear();
    head.clear();
    writtenNow = "none";
    status = 503;
  }

  // --- The node

  bool isLeaseValid() const { return now() - leasedAt < Duration::millis(withinMillis); }

  void connectToNode() {
    if (const auto idle = proxy.idle_.find(endpoint); idle != proxy.idle_.end()) {
      upstream = std::move(idle->second);
      proxy.idle_.erase(idle);
      isConnecting = false;
      return;
    }
    const auto address = config::readAddress("endpoint", endpoint);
    upstream =
        std::make_unique<Upstream>(proxy.loop_, event_loop::startConnecting(address.host, address.port));
    isConnecting = true;
  }
  bool awaitsConnection() const { return isConnecting && !upstream->stream.canWrite(); }

  void writeToNode() {
    if (event_loop::isConnected(upstream->stream.descriptor()) && isLeaseValid()) {
      const std::string request =
          std::string(isWrite ? "POST" : "GET") + " / HTTP/1.1\r\nx-txn-id: " + answer.txn + "\r\n\r\n";
      const std::string_view all = request;
      if (upstream->stream.write({&all, 1}).status == event_loop::Io::some) writtenNow = "whole";
    }
    hasEnded = writtenNow == "none";
    answerDeadline = std::min(until, now() + proxy.patient.value_or(proxy.setup_.tryTimeout));
  }
  bool hasHead() const { return head.find("\r\n\r\n") != std::string::npos; }
  bool awaitsHead() const { return !hasEnded && !hasHead() && now() < answerDeadline; }
  // False where there is nothing to read yet.
  bool readFromNode() {
    char bytes[1024];
    const auto result = upstream->stream.read(bytes);
    if (result.status == event_loop::Io::some) head.append(bytes, result.size);
    if (result.status == event_loop::Io::ended || result.status == event_loop::Io::failed) hasEnded = true;
    return result.status != event_loop::Io::wouldBlock;
  }
  void takeHead() {
    if (hasHead()) {
      status = std::stoi(head.substr(9, 3));
      proxy.idle_.emplace(endpoint, std::move(upstream));
      return;
    }
    if (!hasEnded) status = 504;
    head.clear();
  }

  // --- The report

  void report() {
    ext_proc::Request message;
    message.phase = Phase::responseHeaders;
    message.headers = {{":status", std::to_string(status)}, {"x-txn-written", writtenNow}};
    for (const std::string name : {"x-node-role", "x-node-position", "x-node-outcome"}) {
      const auto at = head.find("\r\n" + name + ": ");
      if (at == std::string::npos) continue;
      const auto from = at + name.size() + 4;
      message.headers.push_back({name, head.substr(from, head.find("\r\n", from) - from)});
    }
    link->send(streamId, message);
    if (proxy.faults.reportTwice && proxy.faults.reportTwice()) {
      count("reported twice");
      link->send(streamId, message);
    }
    messageDeadline = now() + proxy.setup_.messageTimeout;
  }
  bool awaitsFinalAnswer() const { return call->answers.empty() && !call->over && now() < messageDeadline; }

  Next takeFinalAnswer() {
    if (call->answers.empty()) {
      count(call->over ? "stream broke after a grant" : "message timeout after a grant");
      resetStream();
      answer.status = 500;
      answer.outcome.clear();
      // The filter failed, so the attempt did: as published, another may follow.
      return call->over && proxy.setup_.triesAgainAfterProcessorFails ? Next::retry : Next::finish;
    }
    const ext_proc::Response last = call->answers.front();
    link->session.end(streamId);
    link->flush();
    answer.outcome.clear();
    for (const auto& header : last.isImmediate ? last.immediate.headers : last.set)
      if (header.name == "x-txn-outcome") answer.outcome = header.value;
    answer.status = last.isImmediate ? last.immediate.status : status;
    answer.from = last.isImmediate || head.empty() ? "" : endpoint;
    count("ended " + answer.outcome);
    return answer.status == 503 && proxy.setup_.asksForTries ? Next::retry : Next::finish;
  }

  FakeProxy& proxy;
  ext_proc::Headers headers;
  bool isWrite;
  Instant until;
  Answer answer;
  std::string token, written = "none";  // of the last lease; by all attempts so far
  // --- Of the present attempt
  std::shared_ptr<Link> link;
  std::shared_ptr<Call> call;
  http2::StreamId streamId = 0;
  Instant messageDeadline, answerDeadline, leasedAt;
  bool wasExtended = false, isConnecting = false, hasEnded = false;
  std::string endpoint, head, writtenNow = "none";
  std::int64_t withinMillis = 0;
  int status = 503;
  std::unique_ptr<Upstream> upstream;
};

event_loop::Task FakeProxy::exchange(ext_proc::Headers headers, bool isWrite, Instant until,
                                     std::function<void(Answer)> done) {
  using Next = Exchange::Next;
  Exchange request(*this, std::move(headers), isWrite, until);
  Next next = Next::retry;
  for (unsigned attempt = 1; next == Next::retry && attempt <= setup_.mostTries && loop_.now() < until;
       ++attempt) {
    if (attempt > 1) co_await loop_.sleepUntil(loop_.now() + setup_.pauseBetween);
    request.link = link();
    for (const Instant by = loop_.now() + kConnectTimeout;
         !request.link->up && !request.link->over && loop_.now() < by;)
      co_await loop_.sleepUntil(loop_.now() + kTick);
    if (!request.askProcessor(attempt)) break;
    if (faults.giveUpBeforeDecision && faults.giveUpBeforeDecision()) {
      co_await loop_.sleepUntil(loop_.now() + kTick);
      request.clientLeaves();
      break;
    }
    while (request.awaitsDecision()) co_await loop_.sleepUntil(loop_.now() + kTick);
    next = request.takeDecision();
    if (next != Next::proceed) continue;
    if (faults.sendLate && faults.sendLate()) {
      ++seen["too late to send"];
      co_await loop_.sleepUntil(request.leasedAt + Duration::millis(request.withinMillis + 1));
    }
    if (request.isLeaseValid()) {
      request.connectToNode();
      while (request.awaitsConnection()) co_await request.upstream->stream.changed();
      request.writeToNode();
      while (request.awaitsHead())
        if (!request.readFromNode()) co_await loop_.sleepUntil(loop_.now() + kTick);
      request.takeHead();
    }
    request.upstream.reset();
    if (request.writtenNow == "whole") request.written = "whole";
    if (faults.neverReport && faults.neverReport()) {
      ++seen["never reported"];
      request.resetStream();
      request.answer.status = 502;
      break;
    }
    request.report();
    while (request.awaitsFinalAnswer()) co_await loop_.sleepUntil(loop_.now() + kTick);
    next = request.takeFinalAnswer();
  }
  --open_;
  done(request.answer);
}

}  // namespace gulltrestle::fake_servers
