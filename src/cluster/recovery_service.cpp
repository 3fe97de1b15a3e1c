#include "cluster/recovery_service.h"

namespace gulltrestle::cluster {

using recovery::AdmissionRamp;
using recovery::Stage;

namespace {

// Delay between a router's own recovery and its first report that it has recovered. The recovery of a router
// that has only just started says nothing about the fleet.
constexpr Duration kRecoveredDelay = Duration::millis(15'000);
// Maximum retry time for clients that a recovery stage rejects; the minimum is half of it. Most stages end
// within a second or two.
constexpr Duration kMaxStageRetryAfter = Duration::millis(1000);

// Well above the number of groups.
constexpr std::size_t kMaxKnownPrimaries = 10'000;

Duration maxRetryAfterOf(const RoutingConfig& routing) {
  return routing.retryAfterAllowed ? routing.maxRetryAfter : Duration();
}

std::int64_t millis(Duration span) { return span.inMicros() / 1000; }

}  // namespace

RecoveryService::RecoveryService(transactions::TransactionTable& transactions, const RoutingConfig& routing,
                                 double initialRatePerNode, std::uint64_t seed, Log log)
    : transactions_(transactions),
      log_(std::move(log)),
      stages_({.classes = routing.transactionClasses,
               .routers = routing.routerCount,
               .mayRequestReports = routing.healthChecksAllowed,
               .seed = seed}),
      ramp_(transactions.now(), {.routers = routing.routerCount,
                                 .initialRatePerNode = initialRatePerNode,
                                 .maxRetryAfter = maxRetryAfterOf(routing),
                                 .seed = seed}),
      stageRetryAfter_(std::min(kMaxStageRetryAfter, maxRetryAfterOf(routing))),
      random_(seed) {}

// --- From the transaction table

std::optional<Duration> RecoveryService::retryAfterIfRejected(GroupId group, std::size_t type) {
  if (!stages_.admits(group, type))
    return stageRetryAfter_ * std::uniform_real_distribution<>(0.5, 1)(random_);
  return ramp_.retryAfterIfRejected(transactions_.now());
}

void RecoveryService::onTransactionEnded(GroupId, std::size_t, const AdmittedResult& result) {
  ramp_.onTransactionEnded(
      transactions_.now(),
      {.isForwarded = result.wasSent, .isInTime = result.isCommitted && result.latencyTargetFraction <= 1});
}

void RecoveryService::onLoadReport(const NodeId& node, const LoadReport& report) {
  observations_.observe(transactions_.now(), node, report);
}

void RecoveryService::onEndpointList(EndpointUpdateKind kind, recovery::ListVersion version,
                                     const std::vector<EndpointEntry*>& entries) {
  // Nodes that are not in a snapshot are forgotten.
  std::set<NodeId> forgotten;
  if (kind == EndpointUpdateKind::snapshot) forgotten = listedNodes_;
  std::size_t proven = 0;
  for (const EndpointEntry* entry : entries) {
    forgotten.erase(entry->node);
    if (entry->health == Health::removed) {
      forgotten.insert(entry->node);
      continue;
    }
    listedNodes_.insert(entry->node);
    if (const auto loadReport = observations_.onListed(entry->node, entry->startedAt)) {
      pendingLoadReports_.emplace_back(entry->node, *loadReport);
      ++proven;
    }
  }
  // Two other routers had observed these nodes before an endpoint list contained them.
  if (proven > 0) log_("recovery.proven", "proven=" + std::to_string(proven) + " ahead_of=list");
  for (const auto& node : forgotten) {
    listedNodes_.erase(node);
    observations_.forget(node);
  }
  stages_.onEndpointList(transactions_.now(), kind, version, entries);
  ramp_.setNodeCount(listedNodes_.size());
  for (const auto& [group, primary] : knownPrimaries_) stages_.onKnownPrimary(group, primary);
}

// --- Other routers

ObservationReport RecoveryService::observations() const {
  const Instant now = transactions_.now();
  return {observations_.ownObservations(now), recoveredAt_ != Instant() &&
                                                  now - recoveredAt_ >= kRecoveredDelay &&
                                                  ramp_.state() == AdmissionRamp::State::finished};
}

void RecoveryService::onObservations(const std::string& router, const ObservationReport& report) {
  std::size_t proven = 0;
  for (const auto& observation : report.nodes)
    if (const auto loadReport = observations_.onObservation(transactions_.now(), router, observation)) {
      pendingLoadReports_.emplace_back(observation.node, *loadReport);
      ++proven;
    }
  if (report.hasRecovered) ramp_.skip();
  log_("recovery.observation", "by=" + router + " nodes=" + std::to_string(report.nodes.size()) +
                                   " proven=" + std::to_string(proven) +
                                   " recovered=" + (report.hasRecovered ? "yes" : "no"));
}

bool RecoveryService::onPrimaryUpdate(const PrimaryUpdate& update) {
  const auto known = knownPrimaries_.find(update.group);
  const bool isFirst = known == knownPrimaries_.end();
  if (!isFirst && known->second.version >= update.primary.version) return false;
  if (isFirst && knownPrimaries_.size() >= kMaxKnownPrimaries) return false;
  if (isFirst || known->second.node != update.primary.node)
    log_("recovery.primary", "group=" + std::to_string(update.group) + " primary=" + update.primary.node +
                                 " list=" + std::to_string(update.primary.version) + " reported=yes");
  knownPrimaries_[update.group] = update.primary;
  stages_.onKnownPrimary(update.group, update.primary);
  return true;
}

std::vector<PrimaryUpdate> RecoveryService::primaries() const {
  std::vector<PrimaryUpdate> all;
  for (const auto& [group, primary] : knownPrimaries_) all.push_back({group, primary});
  return all;
}

// --- The operator, and turns

void RecoveryService::force(std::optional<Stage> stage, const std::string& forcedBy) {
  stages_.force(stage);
  if (stage)
    log_("recovery.forced", "stage=" + std::string(recovery::nameOf(*stage)) + " by=\"" + forcedBy + "\"");
  forcedBy_ = stage ? forcedBy : "";
}

std::vector<PrimaryUpdate> RecoveryService::endTurn(bool isQuorumReached) {
  const Instant now = transactions_.now();
  for (const auto& [node, loadReport] : std::exchange(pendingLoadReports_, {}))
    transactions_.onPeerLoadReport(node, loadReport);
  stages_.setQuorumReached(isQuorumReached);
  logStageTransitions(stages_.decide(now, observations_));
  for (const auto& node : stages_.takeReportRequests()) transactions_.requestLoadReport(node);
  std::vector<PrimaryUpdate> confirmed = recordConfirmedPrimaries();
  logProgress(now);
  return confirmed;
}

void RecoveryService::logStageTransitions(const std::vector<recovery::StageTransition>& transitions) {
  for (const auto& transition : transitions) {
    std::string fields = "group=" + std::to_string(transition.group) +
                         " from=" + std::string(recovery::nameOf(transition.from)) +
                         " to=" + std::string(recovery::nameOf(transition.to)) +
                         " reason=" + std::string(recovery::nameOf(transition.reason)) +
                         " elapsed_ms=" + std::to_string(millis(transition.waited));
    if (transition.reason == recovery::TransitionReason::forced) fields += " by=\"" + forcedBy_ + "\"";
    log_("recovery.stage", fields);
  }
}

std::vector<PrimaryUpdate> RecoveryService::recordConfirmedPrimaries() {
  std::vector<PrimaryUpdate> confirmed;
  for (const auto& [group, primary] : stages_.takeConfirmed()) {
    knownPrimaries_[group] = primary;
    confirmed.push_back({group, primary});
    log_("recovery.primary", "group=" + std::to_string(group) + " primary=" + primary.node +
                                 " list=" + std::to_string(primary.version));
  }
  return confirmed;
}

void RecoveryService::logProgress(Instant now) {
  if (!stages_.isFinished()) recoveredAt_ = Instant();
  if (stages_.isFinished() && recoveredAt_ == Instant()) {
    recoveredAt_ = now;
    log_("recovery.completed", "groups=" + std::to_string(stages_.groups().size()));
  }
  if (ramp_.state() != loggedRampState_) {
    loggedRampState_ = ramp_.state();
    log_("recovery.ramp", "state=" + std::string(nameOf(loggedRampState_)) +
                              " turned_away=" + std::to_string(ramp_.rejected()) +
                              " elapsed_ms=" + std::to_string(millis(now - ramp_.startedAt())));
  }
}

unsigned RecoveryService::progress() const {
  auto minStage = recovery::Stage::all;
  const auto groups = stages_.groups();
  for (const GroupId id : groups) minStage = std::min(minStage, stages_.statusOf(id).stage);
  return groups.empty() ? 0 : static_cast<unsigned>(minStage);
}

}  // namespace gulltrestle::cluster
