#include "gateway/gateway.h"

#include <algorithm>
#include <utility>

namespace gulltrestle::gateway {

namespace {

// For this long after it was told to end a router goes on as before: the front still sends new clients. It
// does so for 0.4 s at most; the rest is for what is on its way.
constexpr Duration kGraceAtEnd = Duration::millis(500);

}  // namespace

Gateway::Gateway(const RoutingConfig& terms, const std::vector<std::string>& typeNames, std::uint64_t seed,
                 Bounds bounds, Effects& effects)
    : bounds_(bounds),
      effects_(effects),
      ledger_(terms, seed, bounds.maxBufferedBytes, [&effects] { effects.requestEndpointList(); }),
      links_(ledger_, {bounds.idleLimit, bounds.connectLimit, bounds.maxNodeConnections}, effects),
      clients_(ledger_, links_, terms, typeNames, {bounds.connectLimit, bounds.maxActiveClients}, effects) {
  ledger_.addTransport(links_);
  ledger_.invariants().setListener([&effects](const invariants::Violation& broken, std::uint64_t count) {
    effects.log("event=invariant.broken check=" + std::string(nameOf(broken.check)) + " rule=\"" +
                std::string(broken.rule) + "\" subject=\"" + broken.subject +
                "\" count=" + std::to_string(count));
  });
}

// --- Events

void Gateway::clientOpened(Instant now, ClientId id) {
  ledger_.advanceTo(now);
  clients_.opened(id);
}

std::size_t Gateway::clientReceived(Instant now, ClientId id, std::string_view bytes, Instant unreadSince) {
  ledger_.advanceTo(now);
  return clients_.sent(id, bytes, unreadSince);
}

void Gateway::clientHalfClosed(Instant now, ClientId id) {
  ledger_.advanceTo(now);
  clients_.sendsNoMore(id);
}

void Gateway::clientClosed(Instant now, ClientId id, ConnectionCloseReason) {
  ledger_.advanceTo(now);
  clients_.ended(id);
}

void Gateway::rejectClient(Instant now, ClientId id) {
  ledger_.advanceTo(now);
  clients_.refuse(id);
}

void Gateway::nodeConnected(Instant now, NodeConnectionId id) {
  ledger_.advanceTo(now);
  links_.onConnected(id);
}

void Gateway::nodeWritten(Instant now, NodeConnectionId id) {
  ledger_.advanceTo(now);
  links_.onWritten(id);
}

std::size_t Gateway::nodeReceived(Instant now, NodeConnectionId id, std::string_view bytes) {
  ledger_.advanceTo(now);
  return links_.onReceived(id, bytes);
}

void Gateway::nodeConnectionClosed(Instant now, NodeConnectionId id, ConnectionCloseReason how) {
  ledger_.advanceTo(now);
  links_.onClosed(id, how);
}

void Gateway::onEndpointList(Instant now, EndpointUpdateKind kind, std::vector<ResolvedEndpoint> list,
                             std::uint64_t version) {
  ledger_.advanceTo(now);
  ledger_.onEndpointList(kind, std::move(list), version);
  if (!ledger_.endpoints().all().empty()) clients_.listKnown();
}

void Gateway::onEndpointListFailed(Instant now) {
  ledger_.advanceTo(now);
  ledger_.onEndpointListFailed();
}

void Gateway::onDiscoveryActivity(Instant now) {
  ledger_.advanceTo(now);
  for (Component* part : parts_) part->onDiscoveryActivity();
}

// --- The configuration

void Gateway::onConfigLoaded(Instant now, const std::string& discovery,
                             const std::vector<std::string>& kept) {
  ledger_.advanceTo(now);
  const bool moved = discovery_ != discovery, anew = !discovery_.empty();
  for (const auto& key : kept) effects_.log("configuration: " + key + " has changed: after a restart");
  if (anew) effects_.log("configuration read anew: discovery at " + discovery + (moved ? "" : ", as before"));
  if (!moved) return;
  discovery_ = discovery;
  effects_.followDiscovery(discovery);
}

void Gateway::onConfigRejected(Instant now, std::string_view fault) {
  ledger_.advanceTo(now);
  effects_.log("configuration not taken, all goes on as it was: " + std::string(fault));
}

void Gateway::reloadConfig(Instant now) {
  ledger_.advanceTo(now);
  for (Component* part : parts_) part->reloadConfig();
}

// --- Turns

void Gateway::shutDown(Instant now) {
  ledger_.advanceTo(now);
  if (std::exchange(stopping_, true)) return;
  stopAt_ = ledger_.now() + kGraceAtEnd;
  effects_.log("told to end: serving on for a while, then answering what was taken");
}

bool Gateway::finished() const {
  return stopped_ && clients_.empty() &&
         std::all_of(parts_.begin(), parts_.end(), [](const Component* part) { return part->empty(); });
}

Instant Gateway::endTurn(Instant now) {
  ledger_.advanceTo(now);
  links_.endTurn();
  clients_.endTurn();
  for (Component* part : parts_) part->endTurn();
  // A turn later than its time: what came while this process stood still is seen first.
  const bool stops = std::exchange(stopDue_, stopping_ && ledger_.now() >= stopAt_);
  if (stops) {
    if (!std::exchange(stopped_, true)) {
      effects_.stopListening();
      clients_.stop();
      for (Component* part : parts_) part->stop();
    }
    // Once more, for those that had just come and have asked for nothing since.
    clients_.closeIdleAtEnd();
  }
  Instant next = ledger_.endTurn();
  for (Component* part : parts_) part->flush();
  const auto sooner = [&](Instant at) {
    if (at != Instant() && (next == Instant() || at < next)) next = at;
  };
  sooner(links_.nextDue());
  sooner(clients_.nextDue());
  for (const Component* part : parts_) sooner(part->nextDue());
  if (stopping_) sooner(stopped_ ? ledger_.now() + bounds_.connectLimit : stopDue_ ? ledger_.now() : stopAt_);
  return next;
}

}  // namespace gulltrestle::gateway
