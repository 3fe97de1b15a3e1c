// A server for streaming gRPC calls of one method. Each connection is served by one coroutine, which owns its
// descriptor. The unsent bytes and the number of connections are bounded.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "base/memory_budget.h"
#include "config/address.h"
#include "protocol/grpc/server_calls.h"
#include "runtime/event_loop/event_loop.h"

namespace gulltrestle::grpc_server {

// Identifies a call among the calls of all connections. Never 0.
using CallKey = std::uint64_t;

// The load of the connection on which a call was opened.
struct ConnectionLoad {
  std::uint32_t connection = 0;  // identifies it among those of the server; never reused
  std::size_t openCalls = 1;     // on this connection, with the one that was opened
  bool isOnlyConnection = true;
};

// Receives the events of all calls in order of occurrence. May call the server from any of these functions.
class CallHandler {
 public:
  virtual ~CallHandler() = default;
  // Sets the time of the events that follow.
  virtual void advanceTo(Instant now) = 0;
  virtual void opened(CallKey call, const ConnectionLoad& load) = 0;
  virtual void message(CallKey call, std::string_view bytes) = 0;
  // The client sends no more messages on the call.
  virtual void halfClosed(CallKey call) = 0;
  // Called once for each opened call, regardless of how it ended.
  virtual void ended(CallKey call) = 0;
};

// Limits on the number of connections and on the calls of each connection.
struct Bounds {
  grpc::Bounds calls;
  std::size_t maxConnections = 16;
  // Bytes of incomplete header blocks and messages that all connections together may buffer.
  std::size_t maxIncompleteBytes = 8 * 1024 * 1024;
};

// Accepts connections and serves one gRPC method on them. Runs on an event loop, which must outlive it.
class GrpcServer {
 public:
  // Listens from now on. `method`: the path of the served method. `name`: the prefix of the log events.
  // Throws config::ConfigError if the address can't be bound.
  GrpcServer(event_loop::EventLoop& loop, const config::Address& address, std::string method, Bounds bounds,
             std::string name, CallHandler& handler);
  GrpcServer(const GrpcServer&) = delete;
  GrpcServer& operator=(const GrpcServer&) = delete;
  // The coroutines of connections refer to the server: EventLoop::destroyTasks() must have been called
  // before.
  ~GrpcServer() = default;

  // Both queue their output until flush(). They have no effect if the call has ended.
  void send(CallKey call, std::string_view message);
  void finish(CallKey call, grpc::Status status, std::string_view text);
  // Writes the output that was queued since the last flush().
  void flush();
  // Stops accepting connections, but for those that the kernel has accepted, and asks the clients of all
  // others to open no further calls. Calls that are open, or in transit, are still served.
  void stop();
  // After stop(): closes the connections of clients that have not acknowledged that yet.
  void closeRemaining();
  // Returns whether it has stopped and no connection is open.
  bool empty() const { return !listener_ && startingConnections_ == 0 && connections_.empty(); }

 private:
  using ConnectionId = std::uint32_t;
  static constexpr std::size_t kReadBytes = 4096;
  struct Connection;
  class ConnectionRegistration;

  event_loop::Task acceptConnections();
  void handleAccepted(event_loop::Descriptor descriptor);
  event_loop::Task serve(ConnectionId id, event_loop::Descriptor descriptor);
  void receive(Connection& connection);
  void startGoingAway(Connection& connection);
  void startLingering(Connection& connection);
  void discard(Connection& connection);
  void write(Connection& connection);
  bool closeIdleConnection();
  Connection* find(CallKey call);

  event_loop::EventLoop& loop_;
  std::string method_;
  Bounds bounds_;
  MemoryBudget incompleteBytes_;  // must outlive the connections
  std::string name_;
  CallHandler& handler_;
  std::unique_ptr<event_loop::Stream> listener_;
  std::map<ConnectionId, Connection*> connections_;
  std::set<ConnectionId> unflushed_;  // connections that may have output to write
  ConnectionId lastConnectionId_ = 0;
  std::size_t startingConnections_ = 0;  // accepted, and not in connections_ yet
  bool isStopped_ = false, isClosingRemaining_ = false;
  std::array<char, kReadBytes> readBuffer_;  // shared by all connections, for one read at a time
};

}  // namespace gulltrestle::grpc_server
