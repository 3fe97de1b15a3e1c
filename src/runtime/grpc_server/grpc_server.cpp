#include "runtime/grpc_server/grpc_server.h"

#include <system_error>
#include <utility>

#include "config/config_error.h"
#include "runtime/event_loop/sockets.h"
#include "runtime/grpc_server/grpc_server_log.h"

namespace gulltrestle::grpc_server {

using event_loop::Io;

namespace {

// A client that takes nothing of what is written to it for so long is gone, or may as well be.
constexpr Duration kWriteTimeout = Duration::millis(10000);
// After a failed accept, lest the loop spins.
constexpr Duration kAcceptRetryDelay = Duration::millis(10);
constexpr int kMaxAcceptsPerTurn = 8;

// A key is the id of the connection, then the id of the call on it.
constexpr int kCallIdBits = 32;
constexpr CallKey kCallIdMask = 0xFFFFFFFF;

grpc::CallId callIdOf(CallKey call) { return static_cast<grpc::CallId>(call & kCallIdMask); }

event_loop::Descriptor listenAt(const config::Address& address) {
  try {
    return event_loop::listenOn(address.host, address.port);
  } catch (const std::system_error& error) {
    throw config::ConfigError("listen",
                              address.host + ":" + std::to_string(address.port) + ": " + error.what());
  }
}

}  // namespace

// The state of one connection, owned by the coroutine that serves it.
struct GrpcServer::Connection final : grpc::CallHandler {
  Connection(GrpcServer& owner, ConnectionId connectionId, event_loop::Descriptor descriptor)
      : server(owner),
        id(connectionId),
        stream(owner.loop_, std::move(descriptor)),
        calls(owner.method_, owner.bounds_.calls, *this) {}

  CallKey keyOf(grpc::CallId call) const {
    return static_cast<CallKey>(id) << kCallIdBits | static_cast<std::uint32_t>(call);
  }
  void opened(grpc::CallId call) override {
    server.handler_.advanceTo(server.loop_.now());
    server.handler_.opened(keyOf(call));
  }
  void message(grpc::CallId call, std::string_view bytes) override {
    server.handler_.message(keyOf(call), bytes);
  }
  void halfClosed(grpc::CallId call) override { server.handler_.halfClosed(keyOf(call)); }
  void ended(grpc::CallId call, bool) override { server.handler_.ended(keyOf(call)); }

  bool isFinished() const { return unsent.empty() && calls.done(); }
  bool isUsable() const { return !isBroken && !hasEnded && !isFinished(); }
  bool isIdle() const { return calls.open() == 0; }
  bool hasStalled() const { return stalledAt != Instant() && server.loop_.now() >= stalledAt; }

  GrpcServer& server;
  ConnectionId id;
  event_loop::Stream stream;
  grpc::ServerCalls calls;
  std::string unsent;
  bool isBroken = false;   // a read or write has failed
  bool hasEnded = false;   // the client sends no more
  bool isClosing = false;  // to be closed once it is idle
  Instant idleSince;       // without a call
  Instant stalledAt;       // when it is closed unless it takes what is unsent; never: nothing is unsent
};

// A connection's entry among those of the server, for as long as its coroutine runs.
class GrpcServer::ConnectionEntry {
 public:
  explicit ConnectionEntry(Connection& connection) : connection_(connection) {
    connection.server.connections_[connection.id] = &connection;
  }
  ConnectionEntry(const ConnectionEntry&) = delete;
  ConnectionEntry& operator=(const ConnectionEntry&) = delete;
  ~ConnectionEntry() {
    connection_.calls.connectionEnded();
    connection_.server.connections_.erase(connection_.id);
  }

 private:
  Connection& connection_;
};

GrpcServer::GrpcServer(event_loop::EventLoop& loop, const config::Address& address, std::string method,
                       Bounds bounds, std::string name, CallHandler& handler)
    : loop_(loop),
      method_(std::move(method)),
      bounds_(bounds),
      name_(std::move(name)),
      handler_(handler),
      listener_(std::make_unique<event_loop::Stream>(loop, listenAt(address))) {
  loop_.spawn(acceptConnections());
}

// --- Calls

// Whoever asks for the connection is about to send on it.
GrpcServer::Connection* GrpcServer::find(CallKey call) {
  const auto found = connections_.find(static_cast<ConnectionId>(call >> kCallIdBits));
  if (found == connections_.end()) return nullptr;
  unflushed_.insert(found->first);
  return found->second;
}

void GrpcServer::send(CallKey call, std::string_view message) {
  if (Connection* connection = find(call)) connection->calls.send(callIdOf(call), message);
}

void GrpcServer::finish(CallKey call, grpc::Status status, std::string_view text) {
  if (Connection* connection = find(call)) connection->calls.finish(callIdOf(call), status, text);
}

void GrpcServer::flush() {
  for (const ConnectionId id : std::exchange(unflushed_, {}))
    if (const auto found = connections_.find(id); found != connections_.end()) write(*found->second);
}

void GrpcServer::stop() {
  isStopped_ = true;
  if (listener_) listener_->wake();
  for (auto& [id, connection] : connections_) {
    connection->calls.goAway();
    unflushed_.insert(id);
    connection->stream.wake();
  }
}

// --- Accepting

event_loop::Task GrpcServer::acceptConnections() {
  int acceptedThisTurn = 0;
  while (!isStopped_) {
    if (++acceptedThisTurn > kMaxAcceptsPerTurn) {
      acceptedThisTurn = 0;
      listener_->wake();
      co_await listener_->changed();
      continue;
    }
    event_loop::Descriptor descriptor;
    const Io result = listener_->accept(descriptor);
    if (result == Io::some) {
      accepted(std::move(descriptor));
    } else if (result == Io::wouldBlock) {
      acceptedThisTurn = 0;
      co_await listener_->changed();
    } else {
      logAcceptFailed(name_, result);
      co_await loop_.sleepUntil(loop_.now() + kAcceptRetryDelay);
    }
  }
  listener_.reset();
}

// At the limit a new connection is closed at once, and the oldest idle one goes, so that the next comes in.
void GrpcServer::accepted(event_loop::Descriptor descriptor) {
  if (connections_.size() < bounds_.maxConnections) {
    loop_.spawn(serve(++lastConnection_, std::move(descriptor)));
  } else {
    const bool closesIdle = closeIdleConnection();
    logConnectionsFull(name_, connections_.size(), closesIdle);
  }
}

// Closes the connection that has had no call for longest. False: all have some.
bool GrpcServer::closeIdleConnection() {
  Connection* oldest = nullptr;
  for (auto& [id, connection] : connections_)
    if (connection->isIdle() && !connection->isClosing &&
        (!oldest || connection->idleSince < oldest->idleSince))
      oldest = connection;
  if (!oldest) return false;
  oldest->isClosing = true;
  oldest->stream.wake();
  return true;
}

// --- Connections

event_loop::Task GrpcServer::serve(ConnectionId id, event_loop::Descriptor descriptor) {
  try {
    Connection connection(*this, id, std::move(descriptor));
    const ConnectionEntry entry(connection);
    connection.idleSince = loop_.now();
    if (isStopped_) connection.calls.goAway();
    write(connection);
    while (connection.isUsable() && !(connection.isClosing && connection.isIdle())) {
      if (connection.hasStalled()) break;
      // What is not written yet holds up reads: a client that does not take its answers may ask no more.
      if (connection.stream.canRead() && connection.unsent.empty()) receive(connection);
      if (connection.stream.canWrite()) write(connection);
      if (!connection.isUsable()) break;
      co_await connection.stream.changed();
    }
  } catch (const std::exception& error) { logConnectionFailed(name_, error.what()); }
  handler_.advanceTo(loop_.now());
}

// Reads once: the other connections have their turns in between.
void GrpcServer::receive(Connection& connection) {
  const auto result = connection.stream.read(readBuffer_);
  if (result.status == Io::failed) connection.isBroken = true;
  if (result.status == Io::ended) connection.hasEnded = true;
  if (result.status != Io::some) return;
  const Instant now = loop_.now();
  handler_.advanceTo(now);
  connection.calls.received(now, {readBuffer_.data(), result.size});
  if (!connection.isIdle()) connection.idleSince = now;
  if (connection.stream.canRead()) connection.stream.wake();
}

// What was taken from the session is written before more is: what a client doesn't read waits in the session,
// which bounds it.
void GrpcServer::write(Connection& connection) {
  while (!connection.isBroken) {
    if (connection.unsent.empty()) connection.unsent = connection.calls.output();
    if (connection.unsent.empty()) break;
    const std::string_view bytes = connection.unsent;
    const auto result = connection.stream.write({&bytes, 1});
    if (result.status == Io::failed) connection.isBroken = true;
    if (result.status != Io::some) break;
    connection.unsent.erase(0, result.size);
  }
  if (connection.isBroken || connection.isFinished()) connection.stream.wake();
  if (connection.unsent.empty()) connection.stalledAt = Instant();
  if (connection.unsent.empty() || connection.stalledAt != Instant()) return;
  connection.stalledAt = loop_.now() + kWriteTimeout;
  connection.stream.wakeAt(connection.stalledAt);
}

}  // namespace gulltrestle::grpc_server
