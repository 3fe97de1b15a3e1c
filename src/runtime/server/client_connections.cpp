#include "runtime/server/client_connections.h"

#include <utility>

#include "protocol/postgres/messages.h"
#include "runtime/server/client_connection.h"
#include "runtime/server/server_log.h"

namespace gulltrestle::server {

using gateway::ClientId;
using gateway::ConnectionCloseReason;

namespace {

// Turns are a few milliseconds apart. A longer gap means that the process was stopped or busy.
constexpr Duration kStallThreshold = Duration::millis(50);
// If a client has closed its connection, a notice is answered with a reset within a network round trip.
constexpr Duration kResetDelay = Duration::millis(25);
// Interval of the checks whether a client with unread data is still connected: nothing may be sent for a
// client 100 ms after it has closed its connection.
constexpr Duration kConnectionCheckInterval = Duration::millis(40);
// After the end of stream is sent, a client closes its end within a round trip unless it is idle. The server
// waits for it for this multiple of the connect time limit.
constexpr double kLingerFactor = 2;
// Interval of the checks whether a client has received everything, once nothing else keeps its connection.
constexpr Duration kDeliveryCheckInterval = Duration::millis(10);
// TCP counts the end of stream as a byte.
constexpr std::size_t kEndOfStreamBytes = 1;
// Bytes that a client may send ahead of a response: some short statements, or the start of a long one.
constexpr std::size_t kMaxPipelinedBytes = 16 * 1024;

}  // namespace

// --- Effects

ClientConnections::Client* ClientConnections::find(ClientId id) {
  const auto found = clients_.find(id);
  return found == clients_.end() ? nullptr : found->second;
}

void ClientConnections::write(ClientId id, gateway::ByteSlices slices) {
  if (Client* client = find(id)) client->send(slices);
}

void ClientConnections::read(ClientId id) {
  Client* client = find(id);
  if (!client) return;
  client->isRedeliveryRequested = true;
  client->stream.wake();
}

void ClientConnections::close(ClientId id) {
  Client* client = find(id);
  if (!client) return;
  client->isClosing = true;
  client->stream.wake();
}

bool ClientConnections::hasUnreadBytes(ClientId id) {
  const Client* client = find(id);
  return client && event_loop::unreadBytes(client->stream.descriptor()) > 0;
}

// --- Serving

event_loop::Task ClientConnections::serve(ClientId id, event_loop::Descriptor descriptor, bool isAccepted,
                                          Instant maybeWaitingSince) {
  ConnectionCloseReason reason = ConnectionCloseReason::broken;
  try {
    Client client(loop_, std::move(descriptor), buffers_);
    const ConnectionRegistration<ClientId, Client> registration(clients_, id, client);
    open(id, client, isAccepted);
    // Data that is readable at the first report may have arrived together with the connection.
    client.unreadSince = maybeWaitingSince;
    // A client that has only shut down its sending direction stays connected until a reset is reported. A
    // connection that was reset is closed even if data that arrived before the reset could still be read.
    while (!client.isBroken && !client.stream.hungUp()) {
      const TurnResult result = serveTurn(id, client);
      if (result == TurnResult::closeStalled) reason = ConnectionCloseReason::clientStalled;
      if (result == TurnResult::close || result == TurnResult::closeStalled) break;
      if (result == TurnResult::repeat) continue;
      co_await client.stream.changed();
      if (!client.stream.canRead()) client.unreadSince = Instant();
    }
    if (client.isClosing && !client.isBroken && !client.stream.hungUp() &&
        reason != ConnectionCloseReason::clientStalled) {
      startLingering(id, client);
      while (isLingering(client)) co_await client.stream.changed();
    }
    recordDisconnect(id, client);
  } catch (const std::exception& error) { logClientFailed(error.what()); }
  clients_.erase(id);
  std::erase(lingering_, id);
  gateway_.clientClosed(loop_.now(), id, reason);
}

void ClientConnections::open(ClientId id, Client& client, bool isAccepted) {
  if (isAccepted) {
    gateway_.clientOpened(loop_.now(), id);
  } else {
    client.send({postgres::error("FATAL", postgres::kRejected, "refused: too many clients")});
    client.isClosing = true;
  }
}

// Runs one step of a client's connection, so that other connections are served in between. After the result
// `wait`, the client is served again when its stream changes.
ClientConnections::TurnResult ClientConnections::serveTurn(ClientId id, Client& client) {
  client.flush();
  if (client.isBroken || (client.isClosing && !client.hasUnsent())) return TurnResult::close;
  if (!client.hasUnsent()) client.stallDeadline = Instant();
  if (client.stream.canRead() && client.unreadSince == Instant()) client.unreadSince = earliestArrival();
  if (client.hasUnsent()) return hasStalled(client) ? TurnResult::closeStalled : TurnResult::wait;
  if (std::exchange(client.isRedeliveryRequested, false)) return redeliverReceived(id, client);
  if (mayBeDisconnected(client)) {
    sendNotice(client);
    return TurnResult::wait;
  }
  const bool hasUnread = client.stream.canRead() && !client.hasEnded;
  if (hasUnread && mayRead(id, client)) return readClient(id, client);
  if (hasUnread && gateway_.isWaiting(id)) checkConnection(client);
  // The end of stream follows data that is not read yet: the client has sent much data ahead while it waits.
  if (client.stream.isPeerHalfClosed() && !client.hasEnded && gateway_.isWaiting(id))
    gateway_.clientHalfClosed(loop_.now(), id);
  return TurnResult::wait;
}

std::size_t ClientConnections::deliver(ClientId id, Client& client, std::string_view bytes) {
  return gateway_.clientReceived(loop_.now(), id, bytes, client.unreadSince);
}

ClientConnections::TurnResult ClientConnections::redeliverReceived(ClientId id, Client& client) {
  client.nextCheckAt = Instant();
  client.redeliverReceived([&](std::string_view bytes) { return deliver(id, client, bytes); });
  if (client.hasEnded && !client.isRedeliveryRequested) gateway_.clientHalfClosed(loop_.now(), id);
  if (!client.isRedeliveryRequested) return TurnResult::repeat;
  client.stream.wake();  // the rest is delivered in another turn
  return TurnResult::wait;
}

ClientConnections::TurnResult ClientConnections::readClient(ClientId id, Client& client) {
  client.read([&](std::string_view bytes) { return deliver(id, client, bytes); });
  // Reset only once everything is read: data that a read leaves over is as old as the data it returned.
  if (!client.stream.canRead()) client.unreadSince = Instant();
  if (client.hasEnded && !client.isRedeliveryRequested) gateway_.clientHalfClosed(loop_.now(), id);
  // Reported in this turn, before anything more is sent for this client.
  if (client.isBroken) return TurnResult::close;
  if (client.stream.canRead() || client.isRedeliveryRequested) client.stream.wake();
  return TurnResult::wait;
}

// Returns whether the client has not read its responses in time. Prevents clients that send requests and
// never read from occupying a descriptor and a buffered response forever.
bool ClientConnections::hasStalled(Client& client) const {
  if (client.stallDeadline != Instant()) return loop_.now() >= client.stallDeadline;
  client.stallDeadline = loop_.now() + longestDeadline_;
  client.stream.wakeAt(client.stallDeadline);
  return false;
}

// Returns a lower bound on the arrival time of the data that can be read now. Prevents treating statements
// that arrived while this process was stopped or busy as new: their clients have less time left than they
// state, and may have disconnected. Trade-off: statements that have just arrived count as older too.
Instant ClientConnections::earliestArrival() const {
  const Instant now = loop_.now(), since = loop_.arrivalLowerBound();
  return now - since > kStallThreshold ? since : now;
}

// Returns whether the client may have disconnected: its end of stream arrived together with a statement that
// has been waiting for some time. Prevents attempts for clients that closed their connections long ago: a
// notice, which clients ignore, causes a reset if the client is no longer connected. Trade-off: a client that
// has only shut down its sending direction is delayed by kResetDelay.
bool ClientConnections::mayBeDisconnected(const Client& client) const {
  const Instant now = loop_.now();
  if (!client.stream.canRead() || !client.stream.isPeerHalfClosed() || client.hasEnded) return false;
  if (client.unreadSince == Instant() || now - client.unreadSince <= kStallThreshold) return false;
  return client.noticeSentAt == Instant() || now < client.noticeSentAt + kResetDelay;
}

// Sends a notice, once per connection, to find out whether the client is still connected.
void ClientConnections::sendNotice(Client& client) const {
  if (client.noticeSentAt != Instant()) return;
  client.noticeSentAt = loop_.now();
  client.stream.wakeAt(client.noticeSentAt + kResetDelay);
  client.send({postgres::notice("still there?")});
}

// Sends a notice at intervals while the client waits for an answer and data is left unread. Its end of stream
// may lie behind that data, even in the client's own send buffer, where it isn't reported: a client that has
// closed its connection answers the notice with a reset. Trade-off: clients that send much ahead receive
// notices.
void ClientConnections::checkConnection(Client& client) const {
  const Instant now = loop_.now();
  if (now < client.nextCheckAt) return;
  if (client.nextCheckAt != Instant()) client.send({postgres::notice("still there?")});
  client.nextCheckAt = now + kConnectionCheckInterval;
  client.stream.wakeAt(client.nextCheckAt);
}

// Returns whether more data may be read from the client. Enforces the memory limit: data that a client sends
// ahead stays in the kernel while its response is pending, and a client that continues a long message while
// the buffers are full is rejected here. Trade-off: clients with long values are rejected when many send them
// simultaneously.
bool ClientConnections::mayRead(ClientId id, const Client& client) {
  if (client.receivedBytes() == 0) return true;
  if (gateway_.isWaiting(id)) return client.receivedBytes() < kMaxPipelinedBytes && !buffers_.areFull();
  if (buffers_.areFull()) gateway_.rejectClient(loop_.now(), id);
  return !buffers_.areFull();
}

// --- Closing

// Records what this server has not read of the client, and what it has read in part only.
void ClientConnections::recordDisconnect(ClientId id, const Client& client) {
  const std::size_t unreadBytes = event_loop::unreadBytes(client.stream.descriptor());
  if (client.isClosing) {
    ++closedClients_.clients;
    if (unreadBytes > 0) ++closedClients_.withUnreadBytes;
    if (client.receivedBytes() > 0) ++closedClients_.withPartialMessage;
  }
  gateway_.transactions().trace().write([&] {
    return "event=client.disconnected client=" + std::to_string(id) +
           " closed_by=" + (client.isClosing ? "router" : "client") +
           " unread_bytes=" + std::to_string(unreadBytes) +
           " unhandled_bytes=" + std::to_string(client.receivedBytes());
  });
}

// Starts the lingering close: sends the end of stream, and keeps the connection for a while. Prevents that
// the client loses an answer in transit: closing a socket with unread bytes, or with bytes that arrive later,
// resets the connection. Nothing is read from now on: a request that crosses the end of stream can't be
// answered, and its client may repeat it only if it was not read. Trade-off: the descriptor stays in use.
void ClientConnections::startLingering(ClientId id, Client& client) {
  const Instant now = loop_.now();
  client.hasUndelivered = event_loop::undeliveredBytes(client.stream.descriptor()) > 0;
  event_loop::shutDownWriting(client.stream.descriptor());
  client.lingerUntil = gateway_.lingerLimit(now + connectTimeout_ * kLingerFactor);
  client.deliverUntil = now + longestDeadline_;
  client.stream.wakeAt(client.lingerUntil);
  lingering_.push_back(id);
}

// Returns whether the connection has to stay open: until the client has closed its end or has not done so in
// time, and has received everything that it was sent.
bool ClientConnections::isLingering(Client& client) const {
  const Instant now = loop_.now();
  if (client.isBroken || client.mustCloseNow) return false;
  // Both ends have sent the end of stream, or the connection was reset.
  if (client.stream.hungUp() && !event_loop::isConnected(client.stream.descriptor())) return false;
  if (!client.stream.isPeerHalfClosed() && now < client.lingerUntil) return true;
  const std::size_t undelivered = event_loop::undeliveredBytes(client.stream.descriptor());
  client.hasUndelivered = client.hasUndelivered && undelivered > kEndOfStreamBytes;
  if (!client.hasUndelivered || now >= gateway_.lingerLimit(client.deliverUntil)) return false;
  client.stream.wakeAt(now + kDeliveryCheckInterval);
  return true;
}

}  // namespace gulltrestle::server
