#include "runtime/server/client_connections.h"

#include <utility>

#include "protocol/postgres/messages.h"
#include "runtime/server/client_connection.h"
#include "runtime/server/server_log.h"

namespace gulltrestle::server {

using gateway::ClientId;
using gateway::ConnectionCloseReason;

namespace {

// Turns are some milliseconds apart; a process that sees nothing for longer was held up.
constexpr Duration kStallThreshold = Duration::millis(50);
// A client that is gone answers a notice with a reset, within a network round trip.
constexpr Duration kResetDelay = Duration::millis(25);
// A client that is told the end ends its side within a round trip, or is idle: it is waited for this many
// times the time limit of a connect.
constexpr double kLingerFactor = 2;
// What a client may send ahead of an answer: some short statements, or the start of a long one.
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
  client->mayOffer = true;
  client->stream.wake();
}

void ClientConnections::close(ClientId id) {
  Client* client = find(id);
  if (!client) return;
  client->isClosing = true;
  client->stream.wake();
}

// --- Serving

event_loop::Task ClientConnections::serve(ClientId id, event_loop::Descriptor descriptor, bool isAccepted,
                                          Instant maybeWaitingSince) {
  ConnectionCloseReason reason = ConnectionCloseReason::broken;
  try {
    Client client(loop_, std::move(descriptor), buffers_);
    const ConnectionEntry<ClientId, Client> entry(clients_, id, client);
    open(id, client, isAccepted);
    // Where the first report says that something can be read, it may have come with the connection.
    client.unreadSince = maybeWaitingSince;
    // One that sends no more is still there as long as nothing reports a reset. One that was reset is gone,
    // also where what it sent before could still be read.
    while (!client.isBroken && !client.stream.hungUp()) {
      const TurnResult result = serveTurn(id, client);
      if (result == TurnResult::closeStalled) reason = ConnectionCloseReason::clientStalled;
      if (result == TurnResult::close || result == TurnResult::closeStalled) break;
      if (result == TurnResult::repeat) continue;
      co_await client.stream.changed();
      if (!client.stream.canRead()) client.unreadSince = Instant();
    }
    // Guards against bytes that come as this end closes, or are not read yet: a close over them resets the
    // connection, and the answer that is in transit is lost with it. Nothing of them is forwarded. May hurt
    // where the descriptor is wanted meanwhile.
    if (client.isClosing && !client.isBroken && !client.stream.hungUp() &&
        reason != ConnectionCloseReason::clientStalled) {
      const Instant until = startLingering(id, client);
      while (isLingering(client, until)) {
        if (client.stream.canRead()) client.read([](std::string_view bytes) { return bytes.size(); });
        if (client.hasEnded || client.isBroken) break;
        if (client.stream.canRead()) client.stream.wake();
        co_await client.stream.changed();
      }
    }
  } catch (const std::exception& error) { logClientFailed(error.what()); }
  clients_.erase(id);
  std::erase(closing_, id);
  gateway_.clientClosed(loop_.now(), id, reason);
}

void ClientConnections::open(ClientId id, Client& client, bool isAccepted) {
  if (isAccepted) {
    gateway_.clientOpened(loop_.now(), id);
  } else {
    client.send({postgres::error("FATAL", postgres::kRefused, "refused: too many clients")});
    client.isClosing = true;
  }
}

// One step of a client's connection: the others have their turns in between. `wait`: until something changes.
ClientConnections::TurnResult ClientConnections::serveTurn(ClientId id, Client& client) {
  client.flush();
  if (client.isBroken || (client.isClosing && !client.hasUnsent())) return TurnResult::close;
  if (!client.hasUnsent()) client.stalledAt = Instant();
  if (client.stream.canRead() && client.unreadSince == Instant()) client.unreadSince = earliestArrival();
  if (client.hasUnsent()) return hasStalled(client) ? TurnResult::closeStalled : TurnResult::wait;
  if (std::exchange(client.mayOffer, false)) return offerReceived(id, client);
  if (mayBeGone(client)) {
    sendNotice(client);
    return TurnResult::wait;
  }
  if (client.stream.canRead() && !client.hasEnded && mayRead(id, client)) return readClient(id, client);
  // Its end is behind what is not read yet, as it waits and has sent much ahead.
  if (client.stream.isPeerHalfClosed() && !client.hasEnded && gateway_.isWaiting(id))
    gateway_.clientHalfClosed(loop_.now(), id);
  return TurnResult::wait;
}

std::size_t ClientConnections::deliver(ClientId id, Client& client, std::string_view bytes) {
  return gateway_.clientReceived(loop_.now(), id, bytes, client.unreadSince);
}

ClientConnections::TurnResult ClientConnections::offerReceived(ClientId id, Client& client) {
  client.offerReceived([&](std::string_view bytes) { return deliver(id, client, bytes); });
  if (client.hasEnded && !client.mayOffer) gateway_.clientHalfClosed(loop_.now(), id);
  if (!client.mayOffer) return TurnResult::repeat;
  client.stream.wake();  // the rest in another turn
  return TurnResult::wait;
}

ClientConnections::TurnResult ClientConnections::readClient(ClientId id, Client& client) {
  client.read([&](std::string_view bytes) { return deliver(id, client, bytes); });
  // Only once all is read: what one read leaves behind has been there as long as what it took.
  if (!client.stream.canRead()) client.unreadSince = Instant();
  if (client.hasEnded && !client.mayOffer) gateway_.clientHalfClosed(loop_.now(), id);
  // Reported in this turn, before anything more is sent for it.
  if (client.isBroken) return TurnResult::close;
  if (client.stream.canRead() || client.mayOffer) client.stream.wake();
  return TurnResult::wait;
}

// Guards against clients that send requests and never read, which would keep a descriptor and an answer for
// good.
bool ClientConnections::hasStalled(Client& client) const {
  if (client.stalledAt != Instant()) return loop_.now() >= client.stalledAt;
  client.stalledAt = loop_.now() + longestDeadline_;
  client.stream.wakeAt(client.stalledAt);
  return false;
}

// What can be read now came no earlier than this. Guards against statements that came while this process was
// held up: their clients have less time left than they say, and may have gone. May hurt those that came just
// now.
Instant ClientConnections::earliestArrival() const {
  const Instant now = loop_.now(), since = loop_.arrivedSince();
  return now - since > kStallThreshold ? since : now;
}

// Whether its end came with a statement that has been there for a while. Guards against attempts for clients
// that closed long ago: a notice, which clients skip, brings a reset if it is gone. Costs one that only ended
// its sending that delay.
bool ClientConnections::mayBeGone(const Client& client) const {
  const Instant now = loop_.now();
  if (!client.stream.canRead() || !client.stream.isPeerHalfClosed() || client.hasEnded) return false;
  if (client.unreadSince == Instant() || now - client.unreadSince <= kStallThreshold) return false;
  return client.noticeSentAt == Instant() || now < client.noticeSentAt + kResetDelay;
}

// Sent once.
void ClientConnections::sendNotice(Client& client) const {
  if (client.noticeSentAt != Instant()) return;
  client.noticeSentAt = loop_.now();
  client.stream.wakeAt(client.noticeSentAt + kResetDelay);
  client.send({postgres::notice("still there?")});
}

// Whether more of what a client sends may be read. Guards the memory limit: what a client sends ahead waits
// in the kernel while its answer is pending, and where too much is buffered one that goes on with a long
// message is rejected here. May hurt clients with long values when many send them at a time.
bool ClientConnections::mayRead(ClientId id, const Client& client) {
  if (client.receivedBytes() == 0) return true;
  if (gateway_.isWaiting(id)) return client.receivedBytes() < kMaxPipelinedBytes && !buffers_.areFull();
  if (buffers_.areFull()) gateway_.rejectClient(loop_.now(), id);
  return !buffers_.areFull();
}

// --- Closing

// Sends the end, and returns until when the client's end is waited for.
Instant ClientConnections::startLingering(ClientId id, Client& client) {
  event_loop::shutDownWriting(client.stream.descriptor());
  const Instant until = loop_.now() + connectLimit_ * kLingerFactor;
  client.stream.wakeAt(until);
  closing_.push_back(id);
  return until;
}

bool ClientConnections::isLingering(const Client& client, Instant until) const {
  return !client.hasEnded && !client.isBroken && !client.stream.hungUp() && !client.isHurried &&
         loop_.now() < until;
}

}  // namespace gulltrestle::server
