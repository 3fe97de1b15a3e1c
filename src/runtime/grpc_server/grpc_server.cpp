#include "runtime/grpc_server/grpc_server.h"

#include <spdlog/spdlog.h>

#include <system_error>

#include "runtime/event_loop/sockets.h"

namespace gulltrestle::grpc_server {

using event_loop::Io;

namespace {

// A client that takes nothing of what is written to it for so long is gone, or may as well be.
constexpr Duration kStuck = Duration::millis(10000);
// New connections that are taken in a turn.
constexpr int kAcceptsATurn = 8;

event_loop::Descriptor listenAt(const config::Address& at) {
  try {
    return event_loop::listenOn(at.host, at.port);
  } catch (const std::system_error& fault) {
    throw config::ConfigError("listen", at.host + ":" + std::to_string(at.port) + ": " + fault.what());
  }
}

}  // namespace

struct GrpcServer::Connection final : grpc::CallHandler {
  Connection(GrpcServer& owner, ConnectionId number, event_loop::Descriptor descriptor)
      : listener(owner),
        id(number),
        stream(owner.loop_, std::move(descriptor)),
        calls(owner.method_, owner.bounds_.calls, *this) {}

  CallKey key(grpc::CallId call) const {
    return static_cast<CallKey>(id) << 32 | static_cast<std::uint32_t>(call);
  }
  void opened(grpc::CallId call) override {
    listener.receiver_.seen(listener.loop_.now());
    listener.receiver_.opened(key(call));
  }
  void message(grpc::CallId call, std::string_view bytes) override {
    listener.receiver_.message(key(call), bytes);
  }
  void halfClosed(grpc::CallId call) override { listener.receiver_.halfClosed(key(call)); }
  void ended(grpc::CallId call, bool) override { listener.receiver_.ended(key(call)); }

  GrpcServer& listener;
  ConnectionId id;
  event_loop::Stream stream;
  grpc::ServerCalls calls;
  std::string unsent;
  bool broken = false, closing = false;
  Instant idleSince, stuckAt;
};

GrpcServer::GrpcServer(event_loop::EventLoop& loop, const config::Address& at, std::string method,
                       Bounds bounds, std::string name, CallHandler& receiver)
    : loop_(loop),
      method_(std::move(method)),
      bounds_(bounds),
      name_(std::move(name)),
      receiver_(receiver),
      socket_(std::make_unique<event_loop::Stream>(loop, listenAt(at))) {
  loop_.spawn(accept());
}

GrpcServer::Connection* GrpcServer::of(CallKey call) {
  const auto at = connections_.find(static_cast<ConnectionId>(call >> 32));
  if (at == connections_.end()) return nullptr;
  touched_.insert(at->first);
  return at->second;
}

void GrpcServer::send(CallKey call, std::string_view message) {
  if (Connection* connection = of(call))
    connection->calls.send(static_cast<grpc::CallId>(call & 0xFFFFFFFF), message);
}

void GrpcServer::finish(CallKey call, grpc::Status status, std::string_view why) {
  if (Connection* connection = of(call))
    connection->calls.finish(static_cast<grpc::CallId>(call & 0xFFFFFFFF), status, why);
}

void GrpcServer::flush() {
  for (const ConnectionId id : std::exchange(touched_, {}))
    if (const auto at = connections_.find(id); at != connections_.end()) write(*at->second);
}

void GrpcServer::stop() {
  stopped_ = true;
  if (socket_) socket_->wake();
  for (auto& [id, connection] : connections_) {
    connection->calls.goAway();
    touched_.insert(id);
    connection->stream.wake();
  }
}

// What was taken from the session is written before more is: what a client doesn't read waits in the session,
// which bounds it.
void GrpcServer::write(Connection& to) {
  while (!to.broken) {
    if (to.unsent.empty()) to.unsent = to.calls.output();
    if (to.unsent.empty()) break;
    const std::string_view all = to.unsent;
    const auto done = to.stream.write({&all, 1});
    if (done.status == Io::failed) to.broken = true;
    if (done.status != Io::some) break;
    to.unsent.erase(0, done.size);
  }
  if (to.broken || (to.unsent.empty() && to.calls.done())) to.stream.wake();
  if (to.unsent.empty()) to.stuckAt = Instant();
  if (to.unsent.empty() || to.stuckAt != Instant()) return;
  to.stuckAt = loop_.now() + kStuck;
  to.stream.wakeAt(to.stuckAt);
}

// --- Connections

// The one that has had no stream for longest makes room; false: all have some.
bool GrpcServer::makeRoom() {
  Connection* oldest = nullptr;
  for (auto& [id, connection] : connections_)
    if (connection->calls.open() == 0 && !connection->closing &&
        (!oldest || connection->idleSince < oldest->idleSince))
      oldest = connection;
  if (!oldest) return false;
  oldest->closing = true;
  oldest->stream.wake();
  return true;
}

event_loop::Task GrpcServer::accept() {
  int taken = 0;  // in this turn
  while (!stopped_) {
    if (++taken > kAcceptsATurn) {
      taken = 0;
      socket_->wake();
      co_await socket_->changed();
      continue;
    }
    event_loop::Descriptor descriptor;
    const Io how = socket_->accept(descriptor);
    if (how == Io::some) {
      // At the bound a new one is closed at once, and the oldest idle one goes, so that the next comes in.
      if (connections_.size() >= bounds_.mostConnections) {
        const bool room = makeRoom();
        spdlog::warn("event={}.connections_full connections={} one_idle={}", name_, connections_.size(),
                     room);
        continue;
      }
      loop_.spawn(serve(++lastConnection_, std::move(descriptor)));
    } else if (how == Io::wouldBlock) {
      taken = 0;
      co_await socket_->changed();
    } else {
      spdlog::warn("event={}.accept_failed why=\"{}\"", name_,
                   how == Io::noDescriptor ? "no descriptor is left" : "the listening socket failed");
      co_await loop_.sleepUntil(loop_.now() + Duration::millis(10));
    }
  }
  socket_.reset();
}

event_loop::Task GrpcServer::serve(ConnectionId id, event_loop::Descriptor descriptor) {
  try {
    Connection connection(*this, id, std::move(descriptor));
    struct Place {
      GrpcServer& listener;
      Connection& connection;
      ~Place() {
        connection.calls.connectionEnded();
        listener.connections_.erase(connection.id);
      }
    };
    connections_[id] = &connection;
    const Place place{*this, connection};
    connection.idleSince = loop_.now();
    if (stopped_) connection.calls.goAway();
    write(connection);
    bool ended = false;
    while (!connection.broken && !ended && !(connection.unsent.empty() && connection.calls.done()) &&
           !(connection.closing && connection.calls.open() == 0)) {
      if (connection.stuckAt != Instant() && loop_.now() >= connection.stuckAt) break;
      // One read a turn: the others have theirs. What is not written yet holds up what is read: a client that
      // does not take its answers may ask no more.
      if (connection.stream.canRead() && connection.unsent.empty()) {
        const auto got = connection.stream.read(buffer_);
        if (got.status == Io::failed) connection.broken = true;
        if (got.status == Io::ended) ended = true;
        if (got.status == Io::some) {
          const Instant now = loop_.now();
          receiver_.seen(now);
          connection.calls.received(now, {buffer_.data(), got.size});
          if (connection.calls.open() > 0) connection.idleSince = now;
          if (connection.stream.canRead()) connection.stream.wake();
        }
      }
      if (connection.stream.canWrite()) write(connection);
      if (connection.broken || ended || (connection.unsent.empty() && connection.calls.done())) break;
      co_await connection.stream.changed();
    }
  } catch (const std::exception& bad) {
    spdlog::error("event={}.connection_failed why=\"{}\"", name_, bad.what());
  }
  receiver_.seen(loop_.now());
}

}  // namespace gulltrestle::grpc_server
