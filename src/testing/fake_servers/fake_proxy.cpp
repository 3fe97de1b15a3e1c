#include "testing/fake_servers/fake_proxy.h"

#include <deque>

#include "config/router_config.h"
#include "protocol/grpc/server_calls.h"
#include "runtime/event_loop/sockets.h"

namespace gulltrestle::fake_servers {

namespace {

constexpr Duration kTick = Duration::millis(1);  // how often what waits looks again

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
    while (grpc::cutMessage(left, 1 << 20, message) == grpc::Cut::message)
      call.answers.push_back(ext_proc::readResponse(message));
    call.kept.erase(0, call.kept.size() - left.size());
  }
  void halfClosed(http2::StreamId) override {}
  void closed(http2::StreamId id, http2::Code) override {
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
      if (done.how == event_loop::Io::failed) over = true;
      if (done.how != event_loop::Io::some) break;
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
      if (got.how == event_loop::Io::some && !link->session.received(loop_.now(), {bytes, got.size}))
        link->over = true;
      if (got.how == event_loop::Io::ended || got.how == event_loop::Io::failed) link->over = true;
    }
    link->flush();
    if (link->session.done() && link->calls.empty()) link->over = true;
    if (!link->over && !link->stream.canRead()) co_await link->stream.changed();
  }
  link->session.ended();
}

event_loop::Task FakeProxy::exchange(ext_proc::Headers headers, bool isWrite, Instant until,
                                     std::function<void(Answer)> done) {
  Answer answer;
  for (const auto& header : headers)
    if (header.name == "x-txn-id") answer.txn = header.value;
  std::string token, written = "none";
  answer.status = 504;
  for (unsigned attempt = 1; attempt <= setup_.mostTries && loop_.now() < until; ++attempt) {
    if (attempt > 1) co_await loop_.sleepUntil(loop_.now() + setup_.pauseBetween);
    // --- The question.
    const auto link = this->link();
    for (const Instant by = loop_.now() + Duration::millis(100);
         !link->up && !link->over && loop_.now() < by;)
      co_await loop_.sleepUntil(loop_.now() + kTick);
    ext_proc::Request question;
    question.phase = Phase::requestHeaders;
    question.headers = headers;
    const auto left = (until - loop_.now()).inMicros() / 1000;
    if (left <= 0) break;
    question.headers.push_back({"x-txn-patience-ms", std::to_string(left)});
    if (setup_.asksForTries) question.headers.push_back({"x-envoy-attempt-count", std::to_string(attempt)});
    if (attempt > 1) question.headers.push_back({"x-txn-written", written});
    if (!token.empty()) question.headers.push_back({"x-txn-submission", token});
    http2::StreamId id = 0;
    const auto call = link->open(id);
    link->send(id, question);
    const auto reset = [&] {
      link->session.reset(id, http2::Code::cancel);
      link->flush();
    };
    if (faults.giveUpBeforeDecision && faults.giveUpBeforeDecision()) {
      co_await loop_.sleepUntil(loop_.now() + kTick);
      reset();
      ++seen["gave up before a decision"];
      answer.status = 0;
      break;
    }
    Instant by = loop_.now() + setup_.messageTimeout;
    bool extended = false;
    const auto decisionCame = [&] {
      if (!call->answers.empty() && call->answers.front().wait > Duration()) {
        if (!extended && setup_.mostMessageTimeout > Duration())
          by = loop_.now() + std::min(call->answers.front().wait, setup_.mostMessageTimeout);
        extended = true;
        call->answers.pop_front();
      }
      return !call->answers.empty();
    };
    while (!decisionCame() && !call->over && loop_.now() < by) co_await loop_.sleepUntil(loop_.now() + kTick);
    if (call->answers.empty()) {
      ++seen[call->over ? "stream broke before a decision" : "message timeout"];
      reset();
      answer.status = call->over ? 503 : 504;
      // Nothing was sent by this try, so what is known of the earlier ones holds.
      if (call->over && setup_.triesAgainAfterProcessorFails) continue;
      break;
    }
    const ext_proc::Response decision = call->answers.front();
    call->answers.pop_front();
    if (decision.isImmediate) {
      answer.status = decision.immediate.status;
      for (const auto& header : decision.immediate.headers)
        if (header.name == "x-txn-outcome") answer.outcome = header.value;
      ++seen["answered " + answer.outcome];
      break;
    }
    const Instant grantedAt = loop_.now();
    std::string endpoint;
    std::int64_t within = 0;
    for (const auto& header : decision.set) {
      if (header.name == "x-gateway-destination-endpoint") endpoint = header.value;
      if (header.name == "x-txn-submission") token = header.value;
      if (header.name == "x-txn-send-within-ms") within = std::stoll(header.value);
    }
    ++seen["granted"];
    // From here on it may run: what an earlier try was told is no answer to this one.
    answer.outcome.clear();
    // --- The node.
    if (faults.sendLate && faults.sendLate()) {
      ++seen["too late to send"];
      co_await loop_.sleepUntil(grantedAt + Duration::millis(within + 1));
    }
    std::string head;
    std::string now = "none";  // what this try has written
    int status = 503;
    if (loop_.now() - grantedAt < Duration::millis(within)) {
      std::unique_ptr<Upstream> upstream;
      if (const auto idle = idle_.find(endpoint); idle != idle_.end()) {
        upstream = std::move(idle->second);
        idle_.erase(idle);
      } else {
        const auto at = config::readAddress("endpoint", endpoint);
        upstream = std::make_unique<Upstream>(loop_, event_loop::startConnecting(at.host, at.port));
        while (!upstream->stream.canWrite()) co_await upstream->stream.changed();
      }
      if (event_loop::isConnected(upstream->stream.descriptor()) &&
          loop_.now() - grantedAt < Duration::millis(within)) {
        const std::string request =
            std::string(isWrite ? "POST" : "GET") + " / HTTP/1.1\r\nx-txn-id: " + answer.txn + "\r\n\r\n";
        const std::string_view all = request;
        if (upstream->stream.write({&all, 1}).how == event_loop::Io::some) now = "whole";
      }
      bool ended = now == "none";
      for (const Instant last = std::min(until, loop_.now() + patient.value_or(setup_.tryTimeout));
           !ended && head.find("\r\n\r\n") == std::string::npos && loop_.now() < last;) {
        char bytes[1024];
        const auto got = upstream->stream.read(bytes);
        if (got.how == event_loop::Io::some) head.append(bytes, got.size);
        if (got.how == event_loop::Io::ended || got.how == event_loop::Io::failed) ended = true;
        if (got.how == event_loop::Io::wouldBlock) co_await loop_.sleepUntil(loop_.now() + kTick);
      }
      if (head.find("\r\n\r\n") != std::string::npos) {
        status = std::stoi(head.substr(9, 3));
        idle_.emplace(endpoint, std::move(upstream));
      } else if (!ended) {
        status = 504;
        head.clear();
      } else {
        head.clear();
      }
    }
    if (now == "whole") written = "whole";
    // --- The report.
    if (faults.neverReport && faults.neverReport()) {
      ++seen["never reported"];
      reset();
      answer.status = 502;
      break;
    }
    ext_proc::Request told;
    told.phase = Phase::responseHeaders;
    told.headers = {{":status", std::to_string(status)}, {"x-txn-written", now}};
    for (const std::string name : {"x-node-role", "x-node-position", "x-node-outcome"}) {
      const auto at = head.find("\r\n" + name + ": ");
      if (at == std::string::npos) continue;
      const auto from = at + name.size() + 4;
      told.headers.push_back({name, head.substr(from, head.find("\r\n", from) - from)});
    }
    link->send(id, told);
    if (faults.reportTwice && faults.reportTwice()) {
      ++seen["reported twice"];
      link->send(id, told);
    }
    by = loop_.now() + setup_.messageTimeout;
    while (call->answers.empty() && !call->over && loop_.now() < by)
      co_await loop_.sleepUntil(loop_.now() + kTick);
    if (call->answers.empty()) {
      ++seen[call->over ? "stream broke after a grant" : "message timeout after a grant"];
      reset();
      answer.status = 500;
      answer.outcome.clear();
      // The filter failed, so the try did: as published, another may follow.
      if (call->over && setup_.triesAgainAfterProcessorFails) continue;
      break;
    }
    const ext_proc::Response last = call->answers.front();
    link->session.end(id);
    link->flush();
    const auto& set = last.isImmediate ? last.immediate.headers : last.set;
    answer.outcome.clear();
    for (const auto& header : set)
      if (header.name == "x-txn-outcome") answer.outcome = header.value;
    answer.status = last.isImmediate ? last.immediate.status : status;
    answer.from = last.isImmediate || head.empty() ? "" : endpoint;
    ++seen["ended " + answer.outcome];
    if (answer.status == 503 && setup_.asksForTries) continue;
    break;
  }
  --open_;
  done(answer);
}

}  // namespace gulltrestle::fake_servers
