// Streaming gRPC calls of one method on a listening socket. Each connection is one coroutine, which owns its
// descriptor; unsent bytes and the number of connections are bounded.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "config/address.h"
#include "protocol/grpc/server_calls.h"
#include "runtime/event_loop/event_loop.h"

namespace gulltrestle::grpc_server {

// Identifies a call among those of all connections; never 0.
using CallKey = std::uint64_t;

// Receives the events of all calls, in the order in which they happen. May call the server from within any of
// these.
class CallHandler {
 public:
  virtual ~CallHandler() = default;
  // The time of the events that follow.
  virtual void advanceTo(Instant now) = 0;
  virtual void opened(CallKey call) = 0;
  virtual void message(CallKey call, std::string_view bytes) = 0;
  // The client sends no more.
  virtual void halfClosed(CallKey call) = 0;
  // Reported once for each call that was opened, however it ended.
  virtual void ended(CallKey call) = 0;
};

// Limits on connections and on the calls of each.
struct Bounds {
  grpc::Bounds calls;
  std::size_t maxConnections = 16;
};

// Accepts connections and serves one gRPC method on them. Runs on an event loop, which it must not outlive.
class GrpcServer {
 public:
  // Listens from now on. `name`: before the events in the log. Throws config::ConfigError where the address
  // can't be bound.
  GrpcServer(event_loop::EventLoop& loop, const config::Address& address, std::string method, Bounds bounds,
             std::string name, CallHandler& handler);
  GrpcServer(const GrpcServer&) = delete;
  GrpcServer& operator=(const GrpcServer&) = delete;
  // Its connections' coroutines refer to it: the loop's tasks must have been ended.
  ~GrpcServer() = default;

  // Both are queued until flush(); without effect for a call that has ended.
  void send(CallKey call, std::string_view message);
  void finish(CallKey call, grpc::Status status, std::string_view text);
  // Writes what was sent and finished since.
  void flush();
  // No more connections and calls are accepted; those that are open go on.
  void stop();
  // No connection is open.
  bool empty() const { return connections_.empty(); }

 private:
  using ConnectionId = std::uint32_t;
  struct Connection;
  class ConnectionEntry;

  event_loop::Task acceptConnections();
  void accepted(event_loop::Descriptor descriptor);
  event_loop::Task serve(ConnectionId id, event_loop::Descriptor descriptor);
  void receive(Connection& connection);
  void write(Connection& connection);
  bool closeIdleConnection();
  Connection* find(CallKey call);

  event_loop::EventLoop& loop_;
  std::string method_;
  Bounds bounds_;
  std::string name_;
  CallHandler& handler_;
  std::unique_ptr<event_loop::Stream> listener_;
  std::map<ConnectionId, Connection*> connections_;
  std::set<ConnectionId> unflushed_;  // may have something to write
  ConnectionId lastConnection_ = 0;
  bool isStopped_ = false;
  std::array<char, 64 * 1024> readBuffer_;  // for one read at a time, of any connection
};

}  // namespace gulltrestle::grpc_server
