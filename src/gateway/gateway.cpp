#include "gateway/gateway.h"

#include <algorithm>
#include <utility>

namespace gulltrestle::gateway {

namespace {

// For this long after it was told to end a router goes on as before: the front still sends new clients. It
// does so for 0.4 s at most; the rest is for what is on its way.
constexpr Span kGraceAtEnd = Span::millis(500);

}  // namespace

Gateway::Gateway(const Terms& terms, const std::vector<std::string>& typeNames, std::uint64_t seed,
                 Bounds bounds, Effects& effects)
    : bounds_(bounds),
      effects_(effects),
      ledger_(terms, seed, bounds.mostBytes, [&effects] { effects.askForList(); }),
      links_(ledger_, {bounds.idleLimit, bounds.connectLimit, bounds.mostLinks}, effects),
      clients_(ledger_, links_, terms, typeNames, {bounds.connectLimit, bounds.mostAsking}, effects) {
  ledger_.add(links_);
  ledger_.invariants().tell([&effects](const invariants::Violation& broken, std::uint64_t count) {
    effects.log("event=invariant.broken check=" + std::string(nameOf(broken.check)) + " rule=\"" +
                std::string(broken.rule) + "\" subject=\"" + broken.subject +
                "\" count=" + std::to_string(count));
  });
}

// --- Events

void Gateway::clientOpened(Instant now, ClientId id) {
  ledger_.see(now);
  clients_.opened(id);
}

std::size_t Gateway::clientSent(Instant now, ClientId id, std::string_view bytes, Instant unreadSince) {
  ledger_.see(now);
  return clients_.sent(id, bytes, unreadSince);
}

void Gateway::clientSendsNoMore(Instant now, ClientId id) {
  ledger_.see(now);
  clients_.sendsNoMore(id);
}

void Gateway::clientEnded(Instant now, ClientId id, ConnectionEnd) {
  ledger_.see(now);
  clients_.ended(id);
}

void Gateway::refuse(Instant now, ClientId id) {
  ledger_.see(now);
  clients_.refuse(id);
}

void Gateway::linkUp(Instant now, LinkId id) {
  ledger_.see(now);
  links_.up(id);
}

void Gateway::linkWritten(Instant now, LinkId id) {
  ledger_.see(now);
  links_.written(id);
}

std::size_t Gateway::linkSent(Instant now, LinkId id, std::string_view bytes) {
  ledger_.see(now);
  return links_.sent(id, bytes);
}

void Gateway::linkEnded(Instant now, LinkId id, ConnectionEnd how) {
  ledger_.see(now);
  links_.ended(id, how);
}

void Gateway::listed(Instant now, ListKind kind, std::vector<Addressed> list, std::uint64_t version) {
  ledger_.see(now);
  ledger_.listed(kind, std::move(list), version);
  if (!ledger_.nodes().all().empty()) clients_.listKnown();
}

void Gateway::listFailed(Instant now) {
  ledger_.see(now);
  ledger_.listFailed();
}

void Gateway::listHeard(Instant now) {
  ledger_.see(now);
  for (Part* part : parts_) part->listHeard();
}

// --- The configuration

void Gateway::configured(Instant now, const std::string& discovery, const std::vector<std::string>& kept) {
  ledger_.see(now);
  const bool moved = discovery_ != discovery, anew = !discovery_.empty();
  for (const auto& key : kept) effects_.log("configuration: " + key + " has changed: after a restart");
  if (anew) effects_.log("configuration read anew: discovery at " + discovery + (moved ? "" : ", as before"));
  if (!moved) return;
  discovery_ = discovery;
  effects_.followDiscovery(discovery);
}

void Gateway::misconfigured(Instant now, std::string_view fault) {
  ledger_.see(now);
  effects_.log("configuration not taken, all goes on as it was: " + std::string(fault));
}

void Gateway::readAnew(Instant now) {
  ledger_.see(now);
  for (Part* part : parts_) part->readAnew();
}

// --- Turns

void Gateway::shutDown(Instant now) {
  ledger_.see(now);
  if (std::exchange(stopping_, true)) return;
  stopAt_ = ledger_.now() + kGraceAtEnd;
  effects_.log("told to end: serving on for a while, then answering what was taken");
}

bool Gateway::finished() const {
  return stopped_ && clients_.empty() &&
         std::all_of(parts_.begin(), parts_.end(), [](const Part* part) { return part->empty(); });
}

Instant Gateway::endTurn(Instant now) {
  ledger_.see(now);
  links_.endTurn();
  clients_.endTurn();
  for (Part* part : parts_) part->endTurn();
  // A turn later than its time: what came while this process stood still is seen first.
  const bool stops = std::exchange(stopDue_, stopping_ && ledger_.now() >= stopAt_);
  if (stops) {
    if (!std::exchange(stopped_, true)) {
      effects_.stopListening();
      clients_.stop();
      for (Part* part : parts_) part->stop();
    }
    // Once more, for those that had just come and have asked for nothing since.
    clients_.closeIdleAtEnd();
  }
  Instant next = ledger_.endTurn();
  for (Part* part : parts_) part->flush();
  const auto sooner = [&](Instant at) {
    if (at != Instant() && (next == Instant() || at < next)) next = at;
  };
  sooner(links_.nextDue());
  sooner(clients_.nextDue());
  for (const Part* part : parts_) sooner(part->nextDue());
  if (stopping_) sooner(stopped_ ? ledger_.now() + bounds_.connectLimit : stopDue_ ? ledger_.now() : stopAt_);
  return next;
}

}  // namespace gulltrestle::gateway
