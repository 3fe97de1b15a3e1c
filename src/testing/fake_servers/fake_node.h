// Fake database nodes behind a proxy, and a fake discovery service, for tests and examples: HTTP/1.1 on
// loopback addresses.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/time.h"
#include "runtime/event_loop/event_loop.h"

namespace gulltrestle::fake_servers {

// The fault that a fake node injects into its handling of a request.
enum class Fault {
  none,
  rejection,       // answers 503 without executing it, and reports that it was not executed
  wrongNode,       // answers that it is the wrong node, without executing it
  error,           // executes it, then answers 500
  closeBeforeRun,  // closes the connection before it executes anything
  closeAfterRun,   // executes it, then closes the connection without an answer
  hang,            // executes it, and never answers
};

// A fake database node. Counts how often it executed each transaction, by the id that the client assigned.
// Serves one request at a time on each connection. Runs on an event loop, which it must not outlive.
class FakeNode {
 public:
  FakeNode(event_loop::EventLoop& loop, std::string id, bool startsAsPrimary);
  ~FakeNode();

  const std::string& id() const { return id_; }
  std::string address() const;

  // Called for each request with the transaction's id; null: no faults.
  std::function<Fault(const std::string& txn)> chooseFault;
  Duration executionTime = Duration::millis(1);
  bool isPrimary;
  bool isDown = false;                 // accepts connections and closes them at the first request
  Duration lag = Duration::millis(2);  // of a replica, behind its primary

  // --- Counters

  std::map<std::string, unsigned> runCounts;  // by the transaction's id
  std::uint64_t requestCount = 0, writesAsReplicaCount = 0, healthCheckCount = 0;

 private:
  event_loop::Task serve(event_loop::Descriptor descriptor);
  std::string responseHead(int status, const std::string& outcome) const;

  event_loop::EventLoop& loop_;
  std::string id_;
  std::unique_ptr<event_loop::Stream> listener_;
};

// A fake discovery service. Serves the endpoint list over HTTP, either in full or as a watch that streams
// each change. Runs on an event loop, which it must not outlive.
class FakeDiscovery {
 public:
  // `port` 0 selects any free port.
  explicit FakeDiscovery(event_loop::EventLoop& loop, unsigned short port = 0);
  ~FakeDiscovery();
  std::string address() const;

  struct Entry {
    std::string id, address, state = "up";
    bool isPrimary = false;
    std::uint64_t group = 1;
  };
  // Adds or replaces the entry, and sends it to all watches.
  void set(const Entry& entry);
  // Simulates a restart at the same address: all entries are removed, versions start from 1 again, and the
  // open watches end.
  void restart();
  bool isSilent = false;  // accepts connections, but sends nothing

 private:
  struct VersionedEntry {
    std::uint64_t version = 0;  // of the last change to it
    Entry entry;
  };
  event_loop::Task serve(event_loop::Descriptor descriptor);
  std::string fullList() const;
  std::string changesAfter(std::uint64_t version) const;
  std::string documentOf(const std::string& entries, bool isFull) const;

  event_loop::EventLoop& loop_;
  std::unique_ptr<event_loop::Stream> listener_;
  std::map<std::string, VersionedEntry> entries_;  // by id
  std::uint64_t version_ = 1, incarnation_ = 1;
};

}  // namespace gulltrestle::fake_servers
