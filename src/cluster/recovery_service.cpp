#include "cluster/recovery_service.h"

namespace gulltrestle::cluster {

using recovery::Ramp;
using recovery::Stage;

namespace {

// A router tells others that all is as usual once it has been so for a while: one that has only just come
// back itself says nothing of the fleet.
constexpr Span kUsual = Span::millis(15'000);
// When those that a stage does not let in yet may come back, at most; half of it at least. Most stages end
// within a second or two.
constexpr Span kBack = Span::millis(1000);

// Of whose primaries something is remembered: far more than there are.
constexpr std::size_t kMostGroups = 10'000;

Span longestBackOf(const Terms& terms) { return terms.retryAfterAllowed ? terms.longestRetryAfter : Span(); }

std::int64_t millis(Span span) { return span.inMicros() / 1000; }

}  // namespace

Service::Service(transactions::Ledger& ledger, const Terms& terms, double firstTxns, std::uint64_t seed,
                 Log log)
    : ledger_(ledger),
      log_(std::move(log)),
      stages_(terms.types, terms.routers, terms.probesAllowed, seed),
      ramp_(ledger.now(), terms.routers, firstTxns, longestBackOf(terms), seed),
      back_(std::min(kBack, longestBackOf(terms))),
      chance_(seed) {}

// --- The ledger

std::optional<Span> Service::rejects(GroupId group, std::size_t type) {
  if (!stages_.lets(group, type)) return back_ * std::uniform_real_distribution<>(0.5, 1)(chance_);
  return ramp_.rejects(ledger_.now());
}

void Service::passed(GroupId, std::size_t, const Passage& how) {
  ramp_.passed(ledger_.now(), how.sent, how.committed && how.share <= 1);
}

void Service::told(const NodeId& node, const Standing& said) { sightings_.saw(ledger_.now(), node, said); }

void Service::listed(ListKind kind, recovery::ListVersion version, const std::vector<ListEntry*>& entries) {
  std::set<NodeId> before;
  if (kind == ListKind::whole) before = nodes_;
  std::size_t proven = 0;
  for (const ListEntry* entry : entries) {
    before.erase(entry->node);
    if (entry->health == Health::gone) {
      before.insert(entry->node);
      continue;
    }
    nodes_.insert(entry->node);
    if (const auto standing = sightings_.listed(entry->node, entry->startedAt)) {
      learnt_.emplace_back(entry->node, *standing);
      ++proven;
    }
  }
  // Two others told of them before any list named them.
  if (proven > 0) log_("recovery.proven", "proven=" + std::to_string(proven) + " ahead_of=list");
  for (const auto& node : before) {
    nodes_.erase(node);
    sightings_.forget(node);
  }
  stages_.listed(ledger_.now(), kind, version, entries);
  ramp_.listed(nodes_.size());
  for (const auto& [group, primary] : known_) stages_.knew(group, primary);
}

// --- Others

Seen Service::seen() const {
  const Instant now = ledger_.now();
  return {sightings_.firstHand(now),
          doneAt_ != Instant() && now - doneAt_ >= kUsual && ramp_.state() == Ramp::State::over};
}

void Service::told(const std::string& by, const Seen& seen) {
  std::size_t proven = 0;
  for (const auto& sighting : seen.nodes)
    if (const auto standing = sightings_.told(ledger_.now(), by, sighting)) {
      learnt_.emplace_back(sighting.node, *standing);
      ++proven;
    }
  if (seen.serves) ramp_.alone();
  log_("recovery.told", "by=" + by + " nodes=" + std::to_string(seen.nodes.size()) +
                            " proven=" + std::to_string(proven) + " serves=" + (seen.serves ? "yes" : "no"));
}

bool Service::knew(const PrimaryNews& news) {
  const auto at = known_.find(news.group);
  if (at != known_.end() && at->second.version >= news.primary.version) return false;
  if (at == known_.end() && known_.size() >= kMostGroups) return false;
  if (at == known_.end() || at->second.node != news.primary.node)
    log_("recovery.primary", "group=" + std::to_string(news.group) + " primary=" + news.primary.node +
                                 " list=" + std::to_string(news.primary.version) + " told=yes");
  known_[news.group] = news.primary;
  stages_.knew(news.group, news.primary);
  return true;
}

std::vector<PrimaryNews> Service::primaries() const {
  std::vector<PrimaryNews> all;
  for (const auto& [group, primary] : known_) all.push_back({group, primary});
  return all;
}

// --- The operator, and turns

void Service::force(std::optional<Stage> stage, const std::string& by) {
  stages_.force(stage);
  if (stage) log_("recovery.forced", "stage=" + std::string(recovery::nameOf(*stage)) + " by=\"" + by + "\"");
  forcedBy_ = stage ? by : "";
}

std::vector<PrimaryNews> Service::endTurn(bool keepersReached) {
  const Instant now = ledger_.now();
  for (const auto& [node, standing] : std::exchange(learnt_, {})) ledger_.learn(node, standing);
  stages_.keepers(keepersReached);
  for (const auto& step : stages_.decide(now, sightings_)) {
    std::string fields =
        "group=" + std::to_string(step.group) + " from=" + std::string(recovery::nameOf(step.from)) +
        " to=" + std::string(recovery::nameOf(step.to)) + " why=" + std::string(recovery::nameOf(step.why)) +
        " after_ms=" + std::to_string(millis(step.waited));
    if (step.why == recovery::Why::forced) fields += " by=\"" + forcedBy_ + "\"";
    log_("recovery.stage", fields);
  }
  for (const auto& node : stages_.takeAsks()) ledger_.ask(node);
  std::vector<PrimaryNews> confirmed;
  for (const auto& [group, primary] : stages_.takeConfirmed()) {
    known_[group] = primary;
    confirmed.push_back({group, primary});
    log_("recovery.primary", "group=" + std::to_string(group) + " primary=" + primary.node +
                                 " list=" + std::to_string(primary.version));
  }
  if (!stages_.done()) doneAt_ = Instant();
  if (stages_.done() && doneAt_ == Instant()) {
    doneAt_ = now;
    log_("recovery.all_in", "groups=" + std::to_string(stages_.groups().size()));
  }
  if (ramp_.state() != rampLogged_) {
    rampLogged_ = ramp_.state();
    log_("recovery.ramp", "state=" + std::string(nameOf(rampLogged_)) +
                              " turned_away=" + std::to_string(ramp_.rejected()) +
                              " after_ms=" + std::to_string(millis(now - ramp_.startedAt())));
  }
  return confirmed;
}

unsigned Service::progress() const {
  auto least = recovery::Stage::all;
  const auto groups = stages_.groups();
  for (const GroupId id : groups) least = std::min(least, stages_.of(id).stage);
  return groups.empty() ? 0 : static_cast<unsigned>(least);
}

}  // namespace gulltrestle::cluster
