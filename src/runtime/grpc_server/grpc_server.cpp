#include "runtime/grpc_server/grpc_server.h"

#include <system_error>
#include <utility>

#include "config/config_error.h"
#include "runtime/event_loop/sockets.h"
#include "runtime/grpc_server/grpc_server_log.h"

namespace gulltrestle::grpc_server {

using event_loop::IoStatus;

namespace {

// A connection whose client reads nothing of the unsent data for this long is closed.
constexpr Duration kWriteTimeout = Duration::millis(10000);
// A client that has not acknowledged the end of its connection by then is not waited for any longer.
constexpr Duration kGoAwayTimeout = Duration::millis(1000);
// After the end of stream is sent, the server waits for this long until the client closes its end; the second
// one applies once the process may be killed soon.
constexpr Duration kLingerTime = Duration::millis(500), kShortLingerTime = Duration::millis(50);
// Pause after a failed accept, to avoid a busy loop.
constexpr Duration kAcceptRetryDelay = Duration::millis(10);
constexpr int kMaxAcceptsPerTurn = 8;
// What is received from one connection in a turn: at most this much, and in reads of kReadBytes until this
// time has passed.
constexpr std::size_t kMaxReceiveBytes = 64 * 1024;
constexpr Duration kMaxReceiveTime = Duration::millis(1);
// One connection may use this fraction of what all may buffer of incomplete messages, so that a single client
// doesn't keep others from sending theirs.
constexpr std::size_t kIncompleteBytesDivisor = 4;

// The high bits of a CallKey are the id of the connection, the low bits are the id of the call on it.
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

// State of one connection. Owned by the coroutine that serves it.
struct GrpcServer::Connection final : grpc::CallHandler {
  Connection(GrpcServer& owner, ConnectionId connectionId, event_loop::Descriptor descriptor)
      : server(owner),
        id(connectionId),
        stream(owner.loop_, std::move(descriptor)),
        incompleteBytes(owner.incompleteBytes_.maxBytes() / kIncompleteBytesDivisor, &owner.incompleteBytes_),
        calls(owner.method_, owner.bounds_.calls, incompleteBytes, *this) {}

  CallKey keyOf(grpc::CallId call) const {
    return static_cast<CallKey>(id) << kCallIdBits | static_cast<std::uint32_t>(call);
  }
  void opened(grpc::CallId call) override {
    server.handler_.advanceTo(server.loop_.now());
    server.handler_.opened(keyOf(call), {id, calls.open(), server.connections_.size() == 1});
  }
  void message(grpc::CallId call, std::string_view bytes) override {
    server.handler_.message(keyOf(call), bytes);
  }
  void halfClosed(grpc::CallId call) override { server.handler_.halfClosed(keyOf(call)); }
  void ended(grpc::CallId call, bool) override { server.handler_.ended(keyOf(call)); }

  // Everything is answered, and the client knows which of its calls were received.
  bool isFinished() const { return unsent.empty() && calls.done(); }
  bool isUsable() const { return !isBroken && !hasEnded && !isFinished(); }
  bool isLingering() const { return !isBroken && !hasEnded && server.loop_.now() < lingerUntil; }
  bool isIdle() const { return calls.open() == 0; }
  bool hasStalled() const { return stallDeadline != Instant() && server.loop_.now() >= stallDeadline; }

  GrpcServer& server;
  ConnectionId id;
  event_loop::Stream stream;
  MemoryBudget incompleteBytes;  // of this connection
  grpc::ServerCalls calls;
  std::string unsent;
  bool isBroken = false;   // a read or write has failed
  bool hasEnded = false;   // the client has shut down its sending direction
  bool isClosing = false;  // the client was asked to open no further calls
  Instant goAwayDeadline;  // when the connection is closed if the client has not acknowledged that
  Instant lingerUntil;     // when it is closed if the client has not closed its end; Instant(): not lingering
  Instant idleSince;       // the time since which no call has been open
  Instant stallDeadline;   // the connection is closed if data is still unsent then; Instant() if none is
};

// Registers a connection with its server for as long as its coroutine runs.
class GrpcServer::ConnectionRegistration {
 public:
  explicit ConnectionRegistration(Connection& connection) : connection_(connection) {
    connection.server.connections_[connection.id] = &connection;
  }
  ConnectionRegistration(const ConnectionRegistration&) = delete;
  ConnectionRegistration& operator=(const ConnectionRegistration&) = delete;
  ~ConnectionRegistration() {
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
      incompleteBytes_(bounds.maxIncompleteBytes),
      name_(std::move(name)),
      handler_(handler),
      listener_(std::make_unique<event_loop::Stream>(loop, listenAt(address))) {
  loop_.spawn(acceptConnections());
}

// --- Calls

// Returns the connection of the call, or null if it is closed, and marks it for flush(): each caller is about
// to send on it.
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
  for (auto& [id, connection] : connections_) startGoingAway(*connection);
}

void GrpcServer::closeRemaining() {
  if (std::exchange(isClosingRemaining_, true)) return;
  for (auto& [id, connection] : connections_) connection->stream.wake();
}

// Prevents that calls in transit are lost when a connection is closed: its client learns of it first, and
// what it has sent before is served. Trade-off: the connection stays open for a round trip.
void GrpcServer::startGoingAway(Connection& connection) {
  connection.isClosing = true;
  connection.calls.goAway();
  connection.goAwayDeadline = loop_.now() + kGoAwayTimeout;
  connection.stream.wakeAt(connection.goAwayDeadline);
  connection.stream.wake();
  unflushed_.insert(connection.id);
}

// --- Accepting

event_loop::Task GrpcServer::acceptConnections() {
  int acceptedThisTurn = 0;
  // Connections that the kernel has accepted by stop() are served too.
  for (bool isAccepting = true; isAccepting;) {
    if (++acceptedThisTurn > kMaxAcceptsPerTurn) {
      acceptedThisTurn = 0;
      listener_->wake();
      co_await listener_->changed();
      continue;
    }
    event_loop::Descriptor descriptor;
    const IoStatus result = listener_->accept(descriptor);
    if (result == IoStatus::ok) {
      handleAccepted(std::move(descriptor));
    } else if (result == IoStatus::wouldBlock) {
      acceptedThisTurn = 0;
      isAccepting = !isStopped_;
      if (isAccepting) co_await listener_->changed();
    } else {
      logAcceptFailed(name_, result);
      co_await loop_.sleepUntil(loop_.now() + kAcceptRetryDelay);
    }
  }
  listener_.reset();
}

// Serves a new connection. At the limit the new connection is closed immediately, and so is the connection
// that has been idle longest, so that the next one can be accepted.
void GrpcServer::handleAccepted(event_loop::Descriptor descriptor) {
  if (connections_.size() < bounds_.maxConnections) {
    ++startingConnections_;
    loop_.spawn(serve(++lastConnectionId_, std::move(descriptor)));
  } else {
    const bool closesIdle = closeIdleConnection();
    logConnectionsFull(name_, connections_.size(), closesIdle);
  }
}

// Closes the connection that has had no call for the longest time. Returns false if all have open calls.
bool GrpcServer::closeIdleConnection() {
  Connection* oldest = nullptr;
  for (auto& [id, connection] : connections_)
    if (connection->isIdle() && !connection->isClosing &&
        (!oldest || connection->idleSince < oldest->idleSince))
      oldest = connection;
  if (!oldest) return false;
  startGoingAway(*oldest);
  return true;
}

// --- Connections

event_loop::Task GrpcServer::serve(ConnectionId id, event_loop::Descriptor descriptor) {
  --startingConnections_;
  try {
    Connection connection(*this, id, std::move(descriptor));
    const ConnectionRegistration registration(connection);
    connection.idleSince = loop_.now();
    if (isStopped_) startGoingAway(connection);
    write(connection);
    while (connection.isUsable()) {
      if (connection.hasStalled()) break;
      if (connection.isClosing && (isClosingRemaining_ || loop_.now() >= connection.goAwayDeadline))
        connection.calls.finishGoingAway();
      // Nothing is read while data is unsent: a client that doesn't read replies can't send requests.
      if (connection.stream.canRead() && connection.unsent.empty()) receive(connection);
      if (connection.stream.canWrite()) write(connection);
      if (!connection.isUsable()) break;
      co_await connection.stream.changed();
    }
    if (connection.isFinished() && !connection.isBroken && !connection.hasEnded) {
      startLingering(connection);
      while (connection.isLingering()) {
        if (connection.stream.canRead()) discard(connection);
        co_await connection.stream.changed();
      }
    }
  } catch (const std::exception& error) { logConnectionFailed(name_, error.what()); }
  handler_.advanceTo(loop_.now());
}

// Reads for a limited time and size per turn, so that other connections are served in between. The work that
// some bytes cause may differ by orders of magnitude.
void GrpcServer::receive(Connection& connection) {
  const Instant until = loop_.now() + kMaxReceiveTime;
  for (std::size_t bytes = 0; bytes < kMaxReceiveBytes && connection.stream.canRead();) {
    const auto result = connection.stream.read(readBuffer_);
    if (result.status == IoStatus::failed) connection.isBroken = true;
    if (result.status == IoStatus::endOfStream) connection.hasEnded = true;
    if (result.status != IoStatus::ok) return;
    const Instant now = loop_.now();
    handler_.advanceTo(now);
    connection.calls.received(now, {readBuffer_.data(), result.size});
    if (!connection.isIdle()) connection.idleSince = now;
    bytes += result.size;
    if (loop_.now() >= until || !connection.isUsable()) break;
  }
  if (connection.stream.canRead()) connection.stream.wake();
}

// Starts the lingering close: sends the end of stream, and waits for the client to close its end, so that
// bytes that it sends meanwhile don't reset the connection, with the last replies in transit. Calls among
// them were not received: the GOAWAY has told the client so.
void GrpcServer::startLingering(Connection& connection) {
  connection.calls.connectionEnded();
  event_loop::shutDownWriting(connection.stream.descriptor());
  connection.lingerUntil = loop_.now() + (isClosingRemaining_ ? kShortLingerTime : kLingerTime);
  connection.stream.wakeAt(connection.lingerUntil);
}

void GrpcServer::discard(Connection& connection) {
  const auto result = connection.stream.read(readBuffer_);
  if (result.status == IoStatus::failed) connection.isBroken = true;
  if (result.status == IoStatus::endOfStream) connection.hasEnded = true;
  if (connection.stream.canRead()) connection.stream.wake();
}

// Writes all output that was taken from the session before it takes more. Output that the client doesn't read
// stays in the session, which limits its size.
void GrpcServer::write(Connection& connection) {
  while (!connection.isBroken) {
    if (connection.unsent.empty()) connection.unsent = connection.calls.output();
    if (connection.unsent.empty()) break;
    const std::string_view bytes = connection.unsent;
    const auto result = connection.stream.write({&bytes, 1});
    if (result.status == IoStatus::failed) connection.isBroken = true;
    if (result.status != IoStatus::ok) break;
    connection.unsent.erase(0, result.size);
  }
  if (connection.isBroken || connection.isFinished()) connection.stream.wake();
  if (connection.unsent.empty()) connection.stallDeadline = Instant();
  if (connection.unsent.empty() || connection.stallDeadline != Instant()) return;
  connection.stallDeadline = loop_.now() + kWriteTimeout;
  connection.stream.wakeAt(connection.stallDeadline);
}

}  // namespace gulltrestle::grpc_server
