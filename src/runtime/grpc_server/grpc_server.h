// Streaming gRPC calls of one method on a listening socket. Each connection is one coroutine, which owns its
// descriptor; what a client doesn't read, and how many connections there are, is bounded.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "config/router_config.h"
#include "protocol/grpc/server_calls.h"
#include "runtime/event_loop/event_loop.h"

namespace gulltrestle::grpc_server {

using CallKey = std::uint64_t;  // of all connections; never 0

// What happens, in the time that seen() told last. May call the listener from within any of these.
class CallHandler {
 public:
  virtual ~CallHandler() = default;
  virtual void seen(Instant now) = 0;
  virtual void opened(CallKey call) = 0;
  virtual void message(CallKey call, std::string_view bytes) = 0;
  virtual void halfClosed(CallKey call) = 0;
  // It is over, however. Told once for each that was opened.
  virtual void ended(CallKey call) = 0;
};

// Limits on connections and on the calls of each.
struct Bounds {
  grpc::Bounds calls;
  std::size_t mostConnections = 16;
};

// Accepts connections and serves one gRPC method on them. Runs on an event loop, which it must not outlive.
class GrpcServer {
 public:
  // `name` goes before the events that are logged. Throws config::BadKey where the address can't be had.
  GrpcServer(event_loop::EventLoop& loop, const config::Address& at, std::string method, Bounds bounds,
             std::string name, CallHandler& receiver);
  GrpcServer(const GrpcServer&) = delete;
  GrpcServer& operator=(const GrpcServer&) = delete;
  // Its connections' coroutines refer to it: the loop's tasks must have been ended.
  ~GrpcServer() = default;

  void send(CallKey call, std::string_view message);
  void finish(CallKey call, grpc::Status status, std::string_view why);
  // Writes what was sent and finished since.
  void flush();
  // Nothing new is taken; the calls that are open go on.
  void stop();
  bool empty() const { return connections_.empty(); }

 private:
  using ConnectionId = std::uint32_t;
  struct Connection;
  event_loop::Task accept();
  event_loop::Task serve(ConnectionId id, event_loop::Descriptor descriptor);
  void write(Connection& connection);
  bool makeRoom();
  Connection* of(CallKey call);

  event_loop::EventLoop& loop_;
  std::string method_;
  Bounds bounds_;
  std::string name_;
  CallHandler& receiver_;
  std::unique_ptr<event_loop::Stream> socket_;
  std::map<ConnectionId, Connection*> connections_;
  std::set<ConnectionId> touched_;  // may have something to write
  ConnectionId lastConnection_ = 0;
  bool stopped_ = false;
  std::array<char, 64 * 1024> buffer_;  // what was just read, of any connection
};

}  // namespace gulltrestle::grpc_server
