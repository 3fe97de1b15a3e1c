// A fake proxy for tests and examples: it requests an endpoint lease of an external processor for each
// attempt, sends the attempt to the leased node, and reports its outcome. As published: it waits for each
// answer as long as its message timeout says, resets the stream after that and fails the request; it retries
// by count, each attempt with a stream of its own. One HTTP/2 connection to the processor, opened anew when
// it is lost.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "protocol/ext_proc/messages.h"
#include "protocol/http2/session.h"
#include "runtime/event_loop/event_loop.h"

namespace gulltrestle::fake_servers {

// How the proxy behaves.
struct FakeProxyConfig {
  std::string processor;           // its address, as address:port
  bool requestsPerAttempt = true;  // a filter in the upstream chain; else once per request
  unsigned maxAttempts = 3;        // what is answered 503, and what failed unwritten, is retried
  Duration messageTimeout = Duration::millis(200);
  Duration maxMessageTimeout;                       // to which the processor may extend it; zero: it may not
  Duration attemptTimeout = Duration::millis(400);  // for a node's answer
  Duration retryDelay = Duration::millis(10);
  bool retriesAfterStreamLoss = true;  // an attempt whose stream broke, with nothing sent
};

// What goes wrong on command; each is called once per attempt. Null: it never does.
struct FakeProxyFaults {
  std::function<bool()> clientLeavesBeforeDecision;  // right after the request was sent to the processor
  std::function<bool()>
      waitsBeyondLease;  // a lease is used only after it has expired: the attempt is not sent
  std::function<bool()> resetsBeforeReport;  // the stream is reset after the node's answer, without a report
  std::function<bool()> reportsTwice;
};

// A client's request.
struct ClientRequest {
  ext_proc::Headers headers;
  bool isWrite = false;
  Duration remainingTime;  // how long the client waits
};

// What a client of the proxy got.
struct Answer {
  std::string transactionId;
  int status = 0;  // of HTTP; 0: the client had left
  std::string outcome;
  std::string nodeAddress;  // of the node whose answer it is; empty: the proxy's or the processor's own
};

// Runs on an event loop, which it must not outlive.
class FakeProxy {
 public:
  FakeProxy(event_loop::EventLoop& loop, FakeProxyConfig config);
  ~FakeProxy();

  FakeProxyFaults faults;
  std::optional<Duration> attemptTimeout;  // in place of the configured one
  // A client sends the request; `onAnswer` is called with its one answer.
  void send(ClientRequest request, std::function<void(Answer)> onAnswer);
  // The connection to the processor is lost.
  void dropConnection();

  std::size_t openRequestCount() const { return openRequests_; }
  std::map<std::string, std::uint64_t> eventCounts;  // of what happened, by name

 private:
  struct ProcessorConnection;
  struct ProcessorStream;
  struct NodeConnection;
  struct Exchange;
  event_loop::Task exchange(ClientRequest request, Instant deadline, std::function<void(Answer)> onAnswer);
  event_loop::Task serveConnection(std::shared_ptr<ProcessorConnection> connection);
  std::shared_ptr<ProcessorConnection> connection();

  event_loop::EventLoop& loop_;
  FakeProxyConfig config_;
  std::shared_ptr<ProcessorConnection> connection_;
  std::multimap<std::string, std::unique_ptr<NodeConnection>> idle_;  // connections to nodes, by address
  std::size_t openRequests_ = 0;
};

}  // namespace gulltrestle::fake_servers
