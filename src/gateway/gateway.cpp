#include "gateway/gateway.h"

#include <algorithm>
#include <utility>

namespace gulltrestle::gateway {

namespace {

// For this long after the signal to terminate, the router continues as before: the load balancer still sends
// new clients for up to 0.4 s, and the rest is for data in transit.
constexpr Duration kShutdownGracePeriod = Duration::millis(500);

}  // namespace

Gateway::Gateway(const RoutingConfig& config, const std::vector<std::string>& classNames, std::uint64_t seed,
                 GatewayLimits limits, Effects& effects)
    : limits_(limits),
      effects_(effects),
      transactions_(config, seed, limits.maxBufferedBytes, [&effects] { effects.requestEndpointList(); }),
      connectionPool_(transactions_,
                      {.idleTimeout = limits.idleTimeout,
                       .connectTimeout = limits.connectTimeout,
                       .maxConnections = limits.maxNodeConnections},
                      effects),
      clientSessions_(transactions_, connectionPool_, config, classNames,
                      {.connectTimeout = limits.connectTimeout, .maxActiveClients = limits.maxActiveClients},
                      effects) {
  transactions_.addTransport(connectionPool_);
  transactions_.invariants().setListener(
      [&effects](const invariants::Violation& violation, std::uint64_t count) {
        effects.log("event=invariant.broken check=" + std::string(nameOf(violation.check)) + " rule=\"" +
                    std::string(violation.rule) + "\" subject=\"" + violation.subject +
                    "\" count=" + std::to_string(count));
      });
}

// --- Events

void Gateway::clientOpened(Instant now, ClientId id) {
  transactions_.advanceTo(now);
  clientSessions_.onOpened(id);
}

std::size_t Gateway::clientReceived(Instant now, ClientId id, std::string_view bytes, Instant unreadSince) {
  transactions_.advanceTo(now);
  return clientSessions_.onReceived(id, bytes, unreadSince);
}

void Gateway::clientHalfClosed(Instant now, ClientId id) {
  transactions_.advanceTo(now);
  clientSessions_.onHalfClosed(id);
}

void Gateway::clientClosed(Instant now, ClientId id, ConnectionCloseReason) {
  transactions_.advanceTo(now);
  clientSessions_.onClosed(id);
}

void Gateway::rejectClient(Instant now, ClientId id) {
  transactions_.advanceTo(now);
  clientSessions_.reject(id);
}

void Gateway::nodeConnected(Instant now, NodeConnectionId id) {
  transactions_.advanceTo(now);
  connectionPool_.onConnected(id);
}

void Gateway::nodeWritten(Instant now, NodeConnectionId id) {
  transactions_.advanceTo(now);
  connectionPool_.onWritten(id);
}

std::size_t Gateway::nodeReceived(Instant now, NodeConnectionId id, std::string_view bytes) {
  transactions_.advanceTo(now);
  return connectionPool_.onReceived(id, bytes);
}

void Gateway::nodeConnectionClosed(Instant now, NodeConnectionId id, ConnectionCloseReason reason) {
  transactions_.advanceTo(now);
  connectionPool_.onClosed(id, reason);
}

void Gateway::onEndpointList(Instant now, EndpointUpdateKind kind, std::vector<ResolvedEndpoint> list,
                             std::uint64_t version) {
  transactions_.advanceTo(now);
  transactions_.onEndpointList(kind, std::move(list), version);
  if (!transactions_.endpoints().all().empty()) clientSessions_.onEndpointListKnown();
}

void Gateway::onEndpointListFailed(Instant now) {
  transactions_.advanceTo(now);
  transactions_.onEndpointListFailed();
}

void Gateway::onDiscoveryActivity(Instant now) {
  transactions_.advanceTo(now);
  for (Component* component : components_) component->onDiscoveryActivity();
}

// --- The configuration

void Gateway::onConfigLoaded(Instant now, const std::string& discovery,
                             const std::vector<std::string>& keysNeedingRestart) {
  transactions_.advanceTo(now);
  const bool isMoved = discoveryAddress_ != discovery;
  const bool isReload = !discoveryAddress_.empty();
  for (const std::string& key : keysNeedingRestart)
    effects_.log("configuration: " + key + " has changed, takes effect after a restart");
  if (isReload)
    effects_.log("configuration reloaded: discovery at " + discovery + (isMoved ? "" : ", unchanged"));
  if (!isMoved) return;
  discoveryAddress_ = discovery;
  effects_.setDiscoveryAddress(discovery);
}

void Gateway::onConfigRejected(Instant now, std::string_view fault) {
  transactions_.advanceTo(now);
  effects_.log("configuration rejected, keeping the previous one: " + std::string(fault));
}

void Gateway::reloadConfig(Instant now) {
  transactions_.advanceTo(now);
  for (Component* component : components_) component->reloadConfig();
}

// --- Turns

void Gateway::shutDown(Instant now) {
  transactions_.advanceTo(now);
  if (std::exchange(isShuttingDown_, true)) return;
  stopAt_ = transactions_.now() + kShutdownGracePeriod;
  effects_.log("shutdown requested: serving for a grace period, then answering accepted transactions");
}

bool Gateway::isFinished() const {
  return isStopped_ && clientSessions_.empty() &&
         std::all_of(components_.begin(), components_.end(),
                     [](const Component* component) { return component->isDrained(); });
}

// The order matters: due connections and clients end first, then the components run their turns, so that the
// router's decisions take all of that into account. What had to wait for a connection is written last.
Instant Gateway::endTurn(Instant now) {
  transactions_.advanceTo(now);
  connectionPool_.endTurn();
  clientSessions_.endTurn();
  for (Component* component : components_) component->endTurn();
  // Stops one turn after the stop is due, so that events that arrived while the process was stalled are
  // handled first.
  const bool stopsNow = std::exchange(isStopDue_, isShuttingDown_ && transactions_.now() >= stopAt_);
  if (stopsNow) stop();
  transactions_.endTurn();
  connectionPool_.sendWaiting();
  for (Component* component : components_) component->flush();
  return nextDue();
}

void Gateway::stop() {
  if (!std::exchange(isStopped_, true)) {
    effects_.stopListening();
    effects_.log("shutdown: accepts no more clients, clients=" + std::to_string(clientSessions_.count()) +
                 " transactions=" + std::to_string(transactions_.openCount()));
    clientSessions_.stop();
    for (Component* component : components_) component->stop();
  }
  // Runs in each turn, for clients that had just connected and have sent nothing since.
  clientSessions_.closeIdleAtShutDown();
}

Instant Gateway::nextDue() const {
  Instant next = transactions_.nextDue();
  const auto include = [&](Instant due) {
    if (due != Instant() && (next == Instant() || due < next)) next = due;
  };
  include(connectionPool_.nextDue());
  include(clientSessions_.nextDue());
  for (const Component* component : components_) include(component->nextDue());
  if (isShuttingDown_) include(nextShutDownStep());
  return next;
}

Instant Gateway::nextShutDownStep() const {
  if (isStopped_) return transactions_.now() + limits_.connectTimeout;
  return isStopDue_ ? transactions_.now() : stopAt_;
}

}  // namespace gulltrestle::gateway
