#include "gateway/gateway.h"

#include <algorithm>
#include <utility>

#include "base/due_time.h"

namespace gulltrestle::gateway {

Gateway::Gateway(const RoutingConfig& config, const std::vector<std::string>& classNames, std::uint64_t seed,
                 GatewayLimits limits, Effects& effects)
    : config_(config),
      limits_(limits),
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

void Gateway::shutDown(Instant now, Instant requestedSince) {
  transactions_.advanceTo(now);
  if (shutdown_) return;
  shutdown_ = scheduleShutdown(transactions_.now(), requestedSince, config_);
  transactions_.shutDown(shutdown_->answerBy);
  effects_.log("shutdown requested: serving for a grace period, then answering accepted transactions");
}

// A process that outlives the limit is not about to be killed.
Instant Gateway::lingerLimit(Instant until) const {
  const bool applies = shutdown_ && transactions_.now() < shutdown_->lingerBy;
  return applies ? std::min(until, shutdown_->lingerBy) : until;
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
  const bool stopsNow = std::exchange(isStopDue_, shutdown_ && transactions_.now() >= shutdown_->stopAt);
  if (stopsNow) stop();
  transactions_.endTurn();
  connectionPool_.sendWaiting();
  if (isStopped_ && isAnswerTimeOver())
    for (Component* component : components_) component->closeRemaining();
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
  // Runs in each turn, for clients that were still sending or waiting.
  using TimeToAnswer = downstream::postgres::ClientSessions::TimeToAnswer;
  clientSessions_.closeAtShutDown(isAnswerTimeOver() ? TimeToAnswer::over : TimeToAnswer::left);
}

Instant Gateway::nextDue() const {
  Instant next = transactions_.nextDue();
  next = earlierDue(next, connectionPool_.nextDue());
  next = earlierDue(next, clientSessions_.nextDue());
  for (const Component* component : components_) next = earlierDue(next, component->nextDue());
  return shutdown_ ? earlierDue(next, nextShutDownStep()) : next;
}

Instant Gateway::nextShutDownStep() const {
  const Instant now = transactions_.now();
  if (!isStopped_) return isStopDue_ ? now : shutdown_->stopAt;
  const Instant nextCheck = now + limits_.connectTimeout;
  return now < shutdown_->answerBy ? std::min(nextCheck, shutdown_->answerBy) : nextCheck;
}

}  // namespace gulltrestle::gateway
