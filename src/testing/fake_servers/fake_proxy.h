// A fake proxy for tests and examples. For each attempt it requests an endpoint lease from an external
// processor, sends the attempt to the leased node, and reports its outcome. It follows the published
// behaviour of the proxy: it waits for each answer of the processor up to its message timeout, then resets
// the stream and fails the request; it retries up to a number of attempts, each on a stream of its own. It
// has one HTTP/2 connection to the processor, which it reopens when the connection is lost.
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

// Configuration of the fake proxy.
struct FakeProxyConfig {
  std::string processor;  // as address:port
  // True: requests one lease per attempt, as a filter in the upstream chain does. False: one per request.
  bool requestsPerAttempt = true;
  unsigned maxAttempts = 3;  // answers with 503 and attempts that failed before any write are retried
  Duration messageTimeout = Duration::millis(200);
  Duration maxMessageTimeout;  // bound of an extension by the processor; zero: no extension
  Duration attemptTimeout = Duration::millis(400);  // for the node's answer
  Duration retryDelay = Duration::millis(10);
  bool retriesAfterStreamLoss = true;  // after a stream was lost with nothing sent to the node
};

// Faults to inject. Each function is called once per attempt and returns whether the fault occurs; null: it
// never does.
struct FakeProxyFaults {
  std::function<bool()> clientLeavesBeforeDecision;  // right after the request was sent to the processor
  std::function<bool()> waitsBeyondLease;    // waits until the lease has expired, so the attempt is not sent
  std::function<bool()> resetsBeforeReport;  // the stream is reset after the node's answer, without a report
  std::function<bool()> reportsTwice;
};

// A client's request.
struct ClientRequest {
  ext_proc::Headers headers;
  bool isWrite = false;
  Duration remainingTime;  // the client's timeout
};

// The final answer that a client of the proxy receives.
struct Answer {
  std::string transactionId;
  int status = 0;  // of HTTP; 0: the client has left
  std::string outcome;
  std::string nodeAddress;  // of the node that answered; empty: the proxy or the processor did
};

// The fake proxy. Runs on an event loop, which it must not outlive.
class FakeProxy {
 public:
  FakeProxy(event_loop::EventLoop& loop, FakeProxyConfig config);
  ~FakeProxy();

  FakeProxyFaults faults;
  std::optional<Duration> attemptTimeout;  // overrides the configured one
  // Handles a client's request; `onAnswer` is called exactly once, with its answer.
  void send(ClientRequest request, std::function<void(Answer)> onAnswer);
  // Simulates the loss of the connection to the processor.
  void dropConnection();

  std::size_t openRequestCount() const { return openRequests_; }
  std::map<std::string, std::uint64_t> eventCounts;  // by the event's name

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
  std::multimap<std::string, std::unique_ptr<NodeConnection>> idle_;  // idle connections to nodes, by address
  std::size_t openRequests_ = 0;
};

}  // namespace gulltrestle::fake_servers
