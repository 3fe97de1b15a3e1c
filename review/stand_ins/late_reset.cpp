// Case 2: a proxy gives up an attempt and tries again, while the reset of the first attempt is still on its
// way. `late_reset FOLDER TROUBLE`
//
// A proxy with two workers, each with an HTTP/2 connection of its own to the processor. A booking's first
// attempt goes through the first worker; the node is slow, the attempt's time is over, and the second worker
// makes the second attempt. The reset of the first stream takes 100 ms longer than that (with TROUBLE=0: it
// comes first).
#include <csignal>
#include <deque>
#include <memory>

#include "config/address.h"
#include "installation.h"
#include "protocol/ext_proc/messages.h"
#include "protocol/grpc/server_calls.h"
#include "protocol/http2/session.h"

using namespace gulltrestle;

namespace {

constexpr int kBookings = 3;
constexpr int kMessageTimeoutMs = 40;  // of the proxy, and told to the processor
constexpr Duration kAttemptTime = Duration::millis(150);
constexpr Duration kSlowWork = Duration::millis(300);  // of the node: 4 times its usual work
constexpr Duration kResetDelay = Duration::millis(100);

// A worker's connection to the processor. Waits poll, as in the project's own proxy.
class Worker final : http2::Handler {
 public:
  Worker(event_loop::EventLoop& loop, const std::string& processor)
      : loop_(loop), address_(config::readAddress("processor", processor)) {
    loop_.spawn(serve());
  }
  struct Call {
    http2::StreamId id = 0;
    std::string received;
    std::deque<ext_proc::Response> responses;
    bool hasEnded = false;
  };
  bool isConnected() const { return isConnected_; }
  std::shared_ptr<Call> request(const ext_proc::Headers& headers) {
    auto call = std::make_shared<Call>();
    call->id = session_.request({{":method", "POST"},
                                 {":scheme", "http"},
                                 {":path", std::string(ext_proc::kMethod)},
                                 {":authority", "processor"},
                                 {"content-type", "application/grpc"},
                                 {"te", "trailers"}});
    calls_[call->id] = call;
    send(*call, {.phase = ext_proc::Phase::requestHeaders, .headers = headers});
    return call;
  }
  void send(const Call& call, const ext_proc::Request& message) {
    session_.send(call.id, grpc::framed(ext_proc::encodeRequest(message)));
    flush();
  }
  void end(const Call& call) {
    session_.end(call.id);
    flush();
  }
  void reset(const Call& call) {
    session_.reset(call.id, http2::ErrorCode::cancel);
    flush();
  }

 private:
  event_loop::Task serve() {
    while (!isConnected_) {
      stream_ = std::make_unique<event_loop::Stream>(
          loop_, event_loop::startConnecting(address_.host, address_.port));
      while (!stream_->canWrite()) co_await stream_->changed();
      isConnected_ = event_loop::isConnected(stream_->descriptor());
      if (!isConnected_) co_await loop_.sleepUntil(loop_.now() + Duration::millis(50));
    }
    for (;;) {
      char bytes[16384];
      if (stream_->canRead()) {
        const auto got = stream_->read(bytes);
        if (got.status == event_loop::IoStatus::ok) session_.received(loop_.now(), {bytes, got.size});
        if (got.status == event_loop::IoStatus::endOfStream || got.status == event_loop::IoStatus::failed)
          break;
      }
      flush();
      if (!stream_->canRead()) co_await stream_->changed();
    }
    session_.connectionEnded();
  }
  void flush() {
    if (!isConnected_) return;
    unsent_ += session_.output();
    const std::string_view bytes = unsent_;
    const auto written = stream_->write({&bytes, 1});
    if (written.status == event_loop::IoStatus::ok) unsent_.erase(0, written.size);
  }

  void headers(http2::StreamId, http2::Headers) override {}
  void data(http2::StreamId id, std::string_view bytes) override {
    const auto found = calls_.find(id);
    if (found == calls_.end()) return;
    Call& call = *found->second;
    call.received += bytes;
    std::string_view rest = call.received, message;
    while (grpc::takeMessage(rest, 1 << 20, message) == grpc::FrameStatus::complete)
      call.responses.push_back(ext_proc::readResponse(message));
    call.received.erase(0, call.received.size() - rest.size());
  }
  void halfClosed(http2::StreamId) override {}
  void closed(http2::StreamId id, http2::ErrorCode) override {
    const auto found = calls_.find(id);
    if (found == calls_.end()) return;
    found->second->hasEnded = true;
    calls_.erase(found);
  }

  event_loop::EventLoop& loop_;
  config::Address address_;
  std::unique_ptr<event_loop::Stream> stream_;
  http2::Session session_{http2::Session::Perspective::client, {}, *this};
  std::map<http2::StreamId, std::shared_ptr<Call>> calls_;
  std::string unsent_;
  bool isConnected_ = false;
};

class Run {
  auto tick() { return loop_.sleepUntil(loop_.now() + Duration::millis(1)); }

 public:
  Run(event_loop::EventLoop& loop, const std::string& folder, bool hasTrouble)
      : loop_(loop),
        world_(loop, folder, kMessageTimeoutMs, review::Coordination::none),
        hasTrouble_(hasTrouble) {}

  event_loop::Task play() {
    command("start r1");
    Worker first(loop_, world_.processors[0]), second(loop_, world_.processors[0]);
    first_ = &first;
    second_ = &second;
    for (const Instant until = loop_.now() + Duration::seconds(10);
         !first.isConnected() || !second.isConnected();) {
      if (loop_.now() > until) co_return finish(2);
      co_await tick();
    }
    std::vector<Booking> bookings(kBookings + 1);
    // Until bookings are taken: the node works as usual, and no attempt is given up.
    for (int n = 1; bookings[0].requests.empty() || bookings[0].requests.back().outcome != "committed"; ++n) {
      if (n > 50) co_return finish(2);
      isOver_ = false;
      loop_.spawn(send(bookings[0], "warm-" + std::to_string(n)));
      while (!isOver_) co_await tick();
      co_await loop_.sleepUntil(loop_.now() + Duration::millis(100));
    }
    bookings.erase(bookings.begin());
    for (int k = 0; k < kBookings; ++k) {
      Booking& booking = bookings[static_cast<std::size_t>(k)];
      for (int attempt = 1; attempt <= 2; ++attempt) {
        // The node is slow for the first request of each booking.
        world_.primary.executionTime = attempt == 1 ? kSlowWork : Duration::millis(60);
        isOver_ = false;
        loop_.spawn(send(booking, "b" + std::to_string(k + 1) + "-" + std::to_string(attempt)));
        while (!isOver_) co_await tick();
        if (booking.requests.back().outcome != "refused") break;  // only a refusal is tried again
        co_await loop_.sleepUntil(loop_.now() + Duration::millis(400));
      }
      co_await loop_.sleepUntil(loop_.now() + Duration::millis(400));
    }
    finish(verdict(world_, bookings));
  }

 private:
  using Installation = review::Installation;
  using Booking = review::Booking;
  static void command(const std::string& line) { review::command(line); }
  void finish(int code) {
    command("end " + std::to_string(code));
    loop_.stop();
  }

  static std::string headerOf(const ext_proc::Headers& headers, const std::string& name) {
    for (const auto& header : headers)
      if (header.name == name) return header.value;
    return "";
  }
  static std::string outcomeOf(const ext_proc::Response& response) {
    return headerOf(response.isImmediate ? response.immediate.headers : response.set, "x-txn-outcome");
  }
  void answer(Booking& booking, const std::string& outcome, const std::string& text) {
    booking.requests.back().outcome = outcome;
    world_.record("client is answered " + booking.requests.back().id + ": " + text);
    isOver_ = true;
  }

  // One client request: up to two attempts.
  event_loop::Task send(Booking& booking, std::string id) {
    booking.requests.push_back({id, ""});
    world_.record("client sends " + id);
    currentId_ = id;
    const Instant deadline = loop_.now() + Duration::millis(3000);
    std::string token, written = "none";
    for (unsigned attempt = 1; attempt <= 2; ++attempt) {
      Worker& worker = attempt == 1 ? *first_ : *second_;
      ext_proc::Headers headers = Installation::bookCharge(id);
      headers.push_back({"x-txn-patience-ms", std::to_string((deadline - loop_.now()).inMicros() / 1000)});
      headers.push_back({"x-envoy-attempt-count", std::to_string(attempt)});
      if (attempt > 1) headers.push_back({"x-txn-written", written});
      if (!token.empty()) headers.push_back({"x-txn-submission", token});
      const auto call = worker.request(headers);
      const Instant messageDeadline = loop_.now() + Duration::millis(kMessageTimeoutMs);
      while (call->responses.empty() && !call->hasEnded && loop_.now() < messageDeadline) co_await tick();
      if (call->responses.empty()) {
        worker.reset(*call);
        co_return answer(booking, "", "504, no decision in the proxy's message timeout");
      }
      const ext_proc::Response decision = call->responses.front();
      call->responses.pop_front();
      if (decision.isImmediate)
        co_return answer(
            booking, outcomeOf(decision),
            std::to_string(decision.immediate.status) + ", outcome '" + outcomeOf(decision) + "'");
      token = headerOf(decision.set, "x-txn-submission");
      world_.record("attempt " + std::to_string(attempt) + " of " + id + " goes to " +
                    headerOf(decision.set, "x-gateway-destination-endpoint"));
      written = "whole";
      nodeHead_.clear();
      loop_.spawn(callNode(headerOf(decision.set, "x-gateway-destination-endpoint"), id));
      for (const Instant until = loop_.now() + kAttemptTime; loop_.now() < until && nodeHead_.empty();)
        co_await tick();
      if (!nodeHead_.empty()) {
        ext_proc::Request report{
            .phase = ext_proc::Phase::responseHeaders,
            .headers = {{":status", nodeHead_.substr(9, 3)}, {"x-txn-written", written}}};
        for (const std::string name : {"x-node-role", "x-node-position", "x-node-outcome"}) {
          const auto found = nodeHead_.find("\r\n" + name + ": ");
          if (found == std::string::npos) continue;
          const auto begin = found + name.size() + 4;
          report.headers.push_back({name, nodeHead_.substr(begin, nodeHead_.find("\r\n", begin) - begin)});
        }
        worker.send(*call, report);
        const Instant until = loop_.now() + Duration::millis(kMessageTimeoutMs);
        while (call->responses.empty() && loop_.now() < until) co_await tick();
        const std::string outcome = call->responses.empty() ? "" : outcomeOf(call->responses.front());
        worker.end(*call);
        co_return answer(booking, outcome, "the node's answer, outcome '" + outcome + "'");
      }
      world_.record("the time of attempt " + std::to_string(attempt) + " of " + id + " is over");
      if (attempt == 1 && hasTrouble_) {
        loop_.spawn(resetLater(worker, call, id));
      } else {
        worker.reset(*call);
        co_await loop_.sleepUntil(loop_.now() + Duration::millis(5));
      }
    }
    answer(booking, "", "504, the attempts are over");
  }

  event_loop::Task resetLater(Worker& worker, std::shared_ptr<Worker::Call> call, std::string id) {
    co_await loop_.sleepUntil(loop_.now() + kResetDelay);
    world_.record("TROUBLE: the reset of attempt 1 of " + id + " reaches the processor only now");
    worker.reset(*call);
  }

  event_loop::Task callNode(std::string endpoint, std::string id) {
    const auto address = config::readAddress("endpoint", endpoint);
    event_loop::Stream stream(loop_, event_loop::startConnecting(address.host, address.port));
    while (!stream.canWrite()) co_await stream.changed();
    const std::string request = "POST / HTTP/1.1\r\nx-txn-id: " + id + "\r\n\r\n";
    const std::string_view bytes = request;
    stream.write({&bytes, 1});
    std::string head;
    for (;;) {
      char buffer[1024];
      const auto got = stream.read(buffer);
      if (got.status == event_loop::IoStatus::ok) head.append(buffer, got.size);
      if (got.status == event_loop::IoStatus::endOfStream || got.status == event_loop::IoStatus::failed)
        break;
      if (head.find("\r\n\r\n") != std::string::npos) break;
      if (got.status == event_loop::IoStatus::wouldBlock) co_await stream.changed();
    }
    if (currentId_ == id) nodeHead_ = head;
  }

  event_loop::EventLoop& loop_;
  Installation world_;
  bool hasTrouble_, isOver_ = false;
  Worker *first_ = nullptr, *second_ = nullptr;
  std::string nodeHead_, currentId_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  std::signal(SIGPIPE, SIG_IGN);
  event_loop::EventLoop loop;
  Run run(loop, argv[1], std::string(argv[2]) != "0");
  loop.spawn(run.play());
  loop.run([](Instant) { return Instant(); },
           [](std::exception_ptr failure) { std::rethrow_exception(failure); });
}
