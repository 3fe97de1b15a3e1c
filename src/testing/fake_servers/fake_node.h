// A stand-in for a database node behind a proxy: HTTP/1.1 on a loopback address, one request at a time on a
// connection. It counts how often each txn ran, by the id that its client gave it, and when it was sent what.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/time.h"
#include "runtime/event_loop/event_loop.h"

namespace gulltrestle::fake_servers {

// What a node does with a request, on command.
enum class Fault {
  none,
  turnAway,    // answers 503 untouched, and says so
  missAnswer,  // answers that it is the wrong node, untouched
  error,       // runs it, then answers 500
  cutBefore,   // closes before it runs anything
  cutAfter,    // runs it, then closes without an answer
  hang,        // runs it, and never answers
};

// Runs on an event loop, which it must not outlive.
class FakeNode {
 public:
  FakeNode(event_loop::EventLoop& loop, std::string id, bool primary);
  ~FakeNode();

  const std::string& id() const { return id_; }
  std::string address() const;

  // For each request in turn; none once it gives none.
  std::function<Fault(const std::string& txn)> fault;
  Duration work = Duration::millis(1);
  bool primary;
  bool down = false;  // takes connections and ends them
  // How far a replica is behind.
  Duration lag = Duration::millis(2);

  // --- What was seen
  std::map<std::string, unsigned> runs;  // by the client's id
  std::uint64_t requests = 0, writesAsReplica = 0, probes = 0;

 private:
  event_loop::Task serve(event_loop::Descriptor descriptor);
  std::string head(int status, const std::string& outcome) const;

  event_loop::EventLoop& loop_;
  std::string id_;
  std::unique_ptr<event_loop::Stream> listener_;
};

// A stand-in for discovery: the list over HTTP, whole or as a watch that brings each change.
class FakeDiscovery {
 public:
  // Any port: one that is free.
  explicit FakeDiscovery(event_loop::EventLoop& loop, unsigned short port = 0);
  ~FakeDiscovery();
  std::string address() const;

  struct Entry {
    std::string id, address, state = "up";
    bool primary = false;
    std::uint64_t group = 1;
  };
  // The entry counts from now on, and is told to all that watch.
  void set(const Entry& entry);
  // As if it had been started again at its address: it knows no entry, counts from 1, and its watches end.
  void beginAnew();
  bool silent = false;  // tells nothing, and goes on accepting

 private:
  event_loop::Task serve(event_loop::Descriptor descriptor);
  std::string list(std::uint64_t after, bool whole) const;

  event_loop::EventLoop& loop_;
  std::unique_ptr<event_loop::Stream> listener_;
  std::map<std::string, std::pair<std::uint64_t, Entry>> entries_;  // with the version that last changed each
  std::uint64_t version_ = 1, starts_ = 1;
};

}  // namespace gulltrestle::fake_servers
