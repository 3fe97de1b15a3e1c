// A stand-in for a proxy that asks an external processor for each request where it goes, sends it there, and
// tells the processor what came of it. As published: it waits for each answer as long as its message timeout
// says, resets the stream after that and fails the request; it retries by count, each try with a stream of
// its own. One HTTP/2 connection to the processor, opened anew when it is gone.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "protocol/ext_proc/messages.h"
#include "protocol/http2/session.h"
#include "runtime/event_loop/event_loop.h"

namespace gulltrestle::fake_servers {

// How the proxy behaves.
struct FakeProxyConfig {
  std::string processor;     // address:port
  bool asksForTries = true;  // a filter in the upstream chain: once a try; else once a request
  unsigned mostTries = 3;    // retried: what is answered 503, and what failed unwritten
  Duration messageTimeout = Duration::millis(200), mostMessageTimeout;
  Duration tryTimeout = Duration::millis(400);  // for a node's answer
  Duration pauseBetween = Duration::millis(10);
  bool triesAgainAfterProcessorFails = true;  // a try whose stream broke, with nothing sent
};

// What goes wrong on command, each asked for once a try.
struct FakeProxyFaults {
  std::function<bool()> giveUpBeforeDecision;  // the client goes right after the question was sent
  std::function<bool()> sendLate;     // a grant is used only after its time: not sent, and asked anew
  std::function<bool()> neverReport;  // the stream is reset after the node's answer, without a word
  std::function<bool()> reportTwice;
};

// What a client of the proxy got.
struct Answer {
  std::string txn;
  int status = 0;  // 0: the client had gone
  std::string outcome;
  std::string from;  // the node whose answer it is; empty: the proxy's or the processor's own
};

// Runs on an event loop, which it must not outlive.
class FakeProxy {
 public:
  FakeProxy(event_loop::EventLoop& loop, FakeProxyConfig setup);
  ~FakeProxy();

  FakeProxyFaults faults;
  std::optional<Duration> patient;  // in place of the setup's time for a node's answer
  // A request with these headers comes in; `done` is called with its one answer.
  void ask(ext_proc::Headers headers, bool isWrite, Duration patience, std::function<void(Answer)> done);
  // The connection to the processor is broken off.
  void drop();

  std::size_t open() const { return open_; }
  std::map<std::string, std::uint64_t> seen;  // counts of what happened, by name

 private:
  struct Link;
  struct Call;
  struct Upstream;
  struct Exchange;
  event_loop::Task exchange(ext_proc::Headers headers, bool isWrite, Instant until,
                            std::function<void(Answer)> done);
  event_loop::Task runLink(std::shared_ptr<Link> link);
  std::shared_ptr<Link> link();

  event_loop::EventLoop& loop_;
  FakeProxyConfig setup_;
  std::shared_ptr<Link> link_;
  std::multimap<std::string, std::unique_ptr<Upstream>> idle_;  // connections to nodes that may be used again
  std::size_t open_ = 0;
};

}  // namespace gulltrestle::fake_servers
