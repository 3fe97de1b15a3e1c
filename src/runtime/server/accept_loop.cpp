// The part of ClientConnections that accepts client connections.
#include <algorithm>
#include <system_error>
#include <utility>

#include "runtime/server/client_connection.h"
#include "runtime/server/client_connections.h"
#include "runtime/server/server_log.h"

namespace gulltrestle::server {

using event_loop::IoStatus;
using gateway::ClientId;

namespace {

// To free capacity, idle clients are closed in batches of the client limit divided by this: closing them one
// by one would require one search per client.
constexpr std::size_t kIdleCloseDivisor = 32;
// Upper bound on new clients per turn: existing clients take precedence over a burst of connections.
constexpr int kMaxAcceptsPerTurn = 8;
// Pause after a failed accept, to avoid a busy loop. The shortage ends when other connections close.
constexpr Duration kAcceptRetryDelay = Duration::millis(10);

event_loop::Descriptor listenAt(const config::Address& address) {
  try {
    return event_loop::listenOn(address.host, address.port);
  } catch (const std::system_error& error) {
    throw config::ConfigError("listen",
                              address.host + ":" + std::to_string(address.port) + ": " + error.what());
  }
}

}  // namespace

ClientConnections::ClientConnections(event_loop::EventLoop& loop, gateway::Gateway& gateway,
                                     SharedBuffers& buffers, const config::RouterConfig& config,
                                     const ReservedResources& reserved)
    : loop_(loop),
      gateway_(gateway),
      buffers_(buffers),
      connectTimeout_(config.deployment.connectTimeout),
      longestDeadline_(config.deployment.routing.longestDeadline()),
      listener_(std::make_unique<event_loop::Stream>(loop, listenAt(config.listen))),
      maxClients_(maxClients(config, reserved)) {}

void ClientConnections::stopListening() {
  isListening_ = false;
  listener_->wake();
}

bool ClientConnections::isFull() const {
  return clients_.size() >= maxClients_ + std::min(lingering_.size(), kMaxLingeringClients);
}

// Prevents running out of descriptors: at the limit the clients that have been idle longest are closed, and
// if none is idle the new client is rejected. Trade-off: clients that return often must reconnect each time.
event_loop::Task ClientConnections::acceptClients() {
  int acceptedThisTurn = 0;
  bool hasFailed = false;  // the last accept failed, and the failure was logged
  Instant failingSince;    // clients that are accepted now may have been waiting since then; Instant() if not
  // Connections that the kernel has accepted when listening stops are served too.
  for (bool isAccepting = true; isAccepting;) {
    const bool isFullNow = isFull();
    const bool freesCapacity = isFullNow && (closeOldestLingering() ||
                                             gateway_.closeIdleClients(1 + maxClients_ / kIdleCloseDivisor));
    if (freesCapacity || ++acceptedThisTurn > kMaxAcceptsPerTurn) {
      acceptedThisTurn = 0;
      listener_->wake();
      co_await listener_->changed();
      continue;
    }
    event_loop::Descriptor descriptor;
    const IoStatus result = listener_->accept(descriptor);
    if (result == IoStatus::ok || result == IoStatus::wouldBlock) hasFailed = false;
    if (result == IoStatus::wouldBlock) failingSince = Instant();
    if (result == IoStatus::ok) {
      clients_.emplace(++lastClientId_, nullptr);
      const Instant maybeWaitingSince = failingSince == Instant() ? earliestArrival() : failingSince;
      loop_.spawn(serve(lastClientId_, std::move(descriptor), !isFullNow, maybeWaitingSince));
    } else if (result == IoStatus::wouldBlock) {
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

// Closes the oldest lingering client in the next turn if too many linger, but if possible none that has not
// received everything. Returns false if not too many linger.
bool ClientConnections::closeOldestLingering() {
  if (lingering_.size() <= kMaxLingeringClients) return false;
  const auto delivered = std::find_if(lingering_.begin(), lingering_.end(),
                                      [this](ClientId id) { return !clients_.at(id)->hasUndelivered; });
  Client& oldest = *clients_.at(delivered == lingering_.end() ? lingering_.front() : *delivered);
  oldest.mustCloseNow = true;
  oldest.stream.wake();
  return true;
}

}  // namespace gulltrestle::server
