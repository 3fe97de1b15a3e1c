// The part of the server's client side that accepts connections.
#include <algorithm>
#include <system_error>
#include <utility>

#include "runtime/server/client_connection.h"
#include "runtime/server/client_connections.h"
#include "runtime/server/server_log.h"

namespace gulltrestle::server {

using event_loop::Io;
using gateway::ClientId;

namespace {

// One in this many idle clients is closed at a time to free capacity: closing them one by one would cost a
// search each.
constexpr std::size_t kIdleCloseDivisor = 32;
// New clients that are accepted per turn: existing ones take precedence over a burst of connections.
constexpr int kMaxAcceptsPerTurn = 8;
// After a failed accept, lest the loop spins: what is in the way goes as clients and nodes come and go.
constexpr Duration kAcceptRetryDelay = Duration::millis(10);

event_loop::Descriptor listenAt(const config::Address& address) {
  try {
    return event_loop::listenOn(address.host, address.port);
  } catch (const std::system_error& error) {
    throw config::ConfigError("listen",
                              address.host + ":" + std::to_string(address.port) + ": " + error.what());
  }
}

Duration longestDeadlineOf(const RoutingConfig& routing) {
  Duration longest;
  for (const TransactionClass& transactionClass : routing.transactionClasses)
    longest = std::max(longest, transactionClass.deadline);
  return longest;
}

}  // namespace

ClientConnections::ClientConnections(event_loop::EventLoop& loop, gateway::Gateway& gateway,
                                     SharedBuffers& buffers, const config::RouterConfig& config,
                                     const ReservedResources& reserved)
    : loop_(loop),
      gateway_(gateway),
      buffers_(buffers),
      connectLimit_(config.deployment.connectLimit),
      longestDeadline_(longestDeadlineOf(config.deployment.routing)),
      listener_(std::make_unique<event_loop::Stream>(loop, listenAt(config.listen))),
      maxClients_(maxClients(config, reserved)) {}

void ClientConnections::stopListening() {
  isListening_ = false;
  listener_->wake();
}

bool ClientConnections::isFull() const {
  return clients_.size() >= maxClients_ + std::min(closing_.size(), kMaxClosingClients);
}

// Guards against running out of descriptors: at the limit the client that was idle longest is closed, and
// where none is idle the new one is rejected. May hurt clients that come back often, which connect anew each
// time.
event_loop::Task ClientConnections::acceptClients() {
  int acceptedThisTurn = 0;
  bool hasFailed = false;  // the last accept failed, which was logged
  Instant failingSince;    // whoever is accepted now may have been waiting since then; never: none was
  // What the kernel has accepted when listening stops is served, too.
  for (bool isAccepting = true; isAccepting;) {
    const bool isFullNow = isFull();
    const bool freesCapacity =
        isFullNow && (hurryOldestClosing() || gateway_.closeIdleClients(1 + maxClients_ / kIdleCloseDivisor));
    if (freesCapacity || ++acceptedThisTurn > kMaxAcceptsPerTurn) {
      acceptedThisTurn = 0;
      listener_->wake();
      co_await listener_->changed();
      continue;
    }
    event_loop::Descriptor descriptor;
    const Io result = listener_->accept(descriptor);
    if (result == Io::some || result == Io::wouldBlock) hasFailed = false;
    if (result == Io::wouldBlock) failingSince = Instant();
    if (result == Io::some) {
      clients_.emplace(++lastClient_, nullptr);
      const Instant maybeWaitingSince = failingSince == Instant() ? earliestArrival() : failingSince;
      loop_.spawn(serve(lastClient_, std::move(descriptor), !isFullNow, maybeWaitingSince));
    } else if (result == Io::wouldBlock) {
      isAccepting = isListening_;
      acceptedThisTurn = 0;
      if (isAccepting) co_await listener_->changed();
    } else {
      if (failingSince == Instant()) failingSince = earliestArrival();
      if (!std::exchange(hasFailed, true)) logAcceptFailed(result);
      gateway_.closeIdleClients();
      co_await loop_.sleepUntil(loop_.now() + kAcceptRetryDelay);
    }
  }
  listener_.reset();
}

// Has the oldest of too many closing clients go within a turn; false if there are not too many.
bool ClientConnections::hurryOldestClosing() {
  if (closing_.size() <= kMaxClosingClients) return false;
  Client& oldest = *clients_.at(closing_.front());
  oldest.isHurried = true;
  oldest.stream.wake();
  return true;
}

}  // namespace gulltrestle::server
