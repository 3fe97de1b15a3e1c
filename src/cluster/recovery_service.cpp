#include "cluster/recovery_service.h"

namespace gulltrestle::cluster {

using recovery::AdmissionRamp;
using recovery::Stage;

namespace {

// A router tells others that all is as usual once it has been so for a while: one that has only just come
// back itself says nothing of the fleet.
constexpr Duration kUsual = Duration::millis(15'000);
// When those that a stage does not let in yet may come back, at most; half of it at least. Most stages end
// within a second or two.
constexpr Duration kBack = Duration::millis(1000);

// Of whose primaries something is remembered: far more than there are.
constexpr std::size_t kMostGroups = 10'000;

Duration longestBackOf(const RoutingConfig& terms) {
  return terms.retryAfterAllowed ? terms.maxRetryAfter : Duration();
}

std::int64_t millis(Duration span) { return span.inMicros() / 1000; }

}  // namespace

RecoveryService::RecoveryService(transactions::TransactionTable& ledger, const RoutingConfig& terms,
                                 double firstTxns, std::uint64_t seed, Log log)
    : ledger_(ledger),
      log_(std::move(log)),
      stages_(terms.transactionClasses, terms.routerCount, terms.healthChecksAllowed, seed),
      ramp_(ledger.now(), terms.routerCount, firstTxns, longestBackOf(terms), seed),
      back_(std::min(kBack, longestBackOf(terms))),
      chance_(seed) {}

// --- The ledger

std::optional<Duration> RecoveryService::rejectsWithRetryAfter(GroupId group, std::size_t type) {
  if (!stages_.admits(group, type)) return back_ * std::uniform_real_distribution<>(0.5, 1)(chance_);
  return ramp_.rejectsWithRetryAfter(ledger_.now());
}

void RecoveryService::onTransactionEnded(GroupId, std::size_t, const AdmittedResult& how) {
  ramp_.onTransactionEnded(ledger_.now(), how.sent, how.committed && how.share <= 1);
}

void RecoveryService::onLoadReport(const NodeId& node, const LoadReport& said) {
  sightings_.observe(ledger_.now(), node, said);
}

void RecoveryService::listed(EndpointUpdateKind kind, recovery::ListVersion version,
                             const std::vector<EndpointEntry*>& entries) {
  std::set<NodeId> before;
  if (kind == EndpointUpdateKind::snapshot) before = nodes_;
  std::size_t proven = 0;
  for (const EndpointEntry* entry : entries) {
    before.erase(entry->node);
    if (entry->health == Health::removed) {
      before.insert(entry->node);
      continue;
    }
    nodes_.insert(entry->node);
    if (const auto standing = sightings_.onListed(entry->node, entry->startedAt)) {
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
  stages_.onEndpointList(ledger_.now(), kind, version, entries);
  ramp_.setNodeCount(nodes_.size());
  for (const auto& [group, primary] : known_) stages_.onKnownPrimary(group, primary);
}

// --- Others

ObservationReport RecoveryService::seen() const {
  const Instant now = ledger_.now();
  return {sightings_.firstHand(now),
          doneAt_ != Instant() && now - doneAt_ >= kUsual && ramp_.state() == AdmissionRamp::State::finished};
}

void RecoveryService::told(const std::string& by, const ObservationReport& seen) {
  std::size_t proven = 0;
  for (const auto& sighting : seen.nodes)
    if (const auto standing = sightings_.onObservation(ledger_.now(), by, sighting)) {
      learnt_.emplace_back(sighting.node, *standing);
      ++proven;
    }
  if (seen.serves) ramp_.skip();
  log_("recovery.told", "by=" + by + " nodes=" + std::to_string(seen.nodes.size()) +
                            " proven=" + std::to_string(proven) + " serves=" + (seen.serves ? "yes" : "no"));
}

bool RecoveryService::knew(const PrimaryUpdate& news) {
  const auto at = known_.find(news.group);
  if (at != known_.end() && at->second.version >= news.primary.version) return false;
  if (at == known_.end() && known_.size() >= kMostGroups) return false;
  if (at == known_.end() || at->second.node != news.primary.node)
    log_("recovery.primary", "group=" + std::to_string(news.group) + " primary=" + news.primary.node +
                                 " list=" + std::to_string(news.primary.version) + " told=yes");
  known_[news.group] = news.primary;
  stages_.onKnownPrimary(news.group, news.primary);
  return true;
}

std::vector<PrimaryUpdate> RecoveryService::primaries() const {
  std::vector<PrimaryUpdate> all;
  for (const auto& [group, primary] : known_) all.push_back({group, primary});
  return all;
}

// --- The operator, and turns

void RecoveryService::force(std::optional<Stage> stage, const std::string& by) {
  stages_.force(stage);
  if (stage) log_("recovery.forced", "stage=" + std::string(recovery::nameOf(*stage)) + " by=\"" + by + "\"");
  forcedBy_ = stage ? by : "";
}

std::vector<PrimaryUpdate> RecoveryService::endTurn(bool keepersReached) {
  const Instant now = ledger_.now();
  for (const auto& [node, standing] : std::exchange(learnt_, {})) ledger_.learnLoadReport(node, standing);
  stages_.setQuorumReached(keepersReached);
  for (const auto& step : stages_.decide(now, sightings_)) {
    std::string fields = "group=" + std::to_string(step.group) +
                         " from=" + std::string(recovery::nameOf(step.from)) +
                         " to=" + std::string(recovery::nameOf(step.to)) +
                         " why=" + std::string(recovery::nameOf(step.reason)) +
                         " after_ms=" + std::to_string(millis(step.waited));
    if (step.reason == recovery::TransitionReason::forced) fields += " by=\"" + forcedBy_ + "\"";
    log_("recovery.stage", fields);
  }
  for (const auto& node : stages_.takeReportRequests()) ledger_.requestLoadReport(node);
  std::vector<PrimaryUpdate> confirmed;
  for (const auto& [group, primary] : stages_.takeConfirmed()) {
    known_[group] = primary;
    confirmed.push_back({group, primary});
    log_("recovery.primary", "group=" + std::to_string(group) + " primary=" + primary.node +
                                 " list=" + std::to_string(primary.version));
  }
  if (!stages_.isFinished()) doneAt_ = Instant();
  if (stages_.isFinished() && doneAt_ == Instant()) {
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

unsigned RecoveryService::progress() const {
  auto least = recovery::Stage::all;
  const auto groups = stages_.groups();
  for (const GroupId id : groups) least = std::min(least, stages_.statusOf(id).stage);
  return groups.empty() ? 0 : static_cast<unsigned>(least);
}

}  // namespace gulltrestle::cluster
