#include "recovery/recovery_stages.h"

#include <algorithm>

namespace gulltrestle::recovery {

namespace {

// Maximum wait of each stage.
//   list       discovery responds within a second if it is running at all; without it, the previously known
//              nodes are better than none
//   positions  a few times the duration of a request to a node
//   primary    discovery publishes a new primary within seconds
//   quorum     the time that the routers of one site take to start; at-most-once transactions are rejected
//              anyway while too few voters are reachable
constexpr Duration kMaxListWait = Duration::millis(5000);
constexpr Duration kMaxPositionsWait = Duration::millis(2000);
constexpr Duration kMaxPrimaryWait = Duration::millis(5000);
constexpr Duration kMaxQuorumWait = Duration::millis(10'000);
// Limit per node over all routers: a small fraction of the capacity of even a cold node.
constexpr double kMaxRequestsPerSecond = 100;
// Minimum interval between requests from one router to one node.
constexpr Duration kMinRequestInterval = Duration::millis(300);

bool isNonLinearizableRead(const TransactionClass& type) { return type.level < ReadLevel::linearizable; }

}  // namespace

std::string_view nameOf(Stage stage) {
  constexpr std::string_view kNames[] = {"shut", "any_reads", "owed_reads", "writes", "all"};
  return kNames[static_cast<int>(stage)];
}

std::string_view nameOf(TransitionReason reason) {
  constexpr std::string_view kNames[] = {"known", "gave_up", "forced"};
  return kNames[static_cast<int>(reason)];
}

RecoveryStages::RecoveryStages(RecoveryStagesConfig config)
    : classes_(std::move(config.classes)),
      routers_(std::max(1u, config.routers)),
      mayRequestReports_(config.mayRequestReports),
      random_(config.seed) {}

Duration RecoveryStages::requestInterval() const {
  return std::max(kMinRequestInterval,
                  Duration::seconds(static_cast<double>(routers_) / kMaxRequestsPerSecond));
}

// --- Evidence

void RecoveryStages::onEndpointList(Instant now, EndpointUpdateKind kind, ListVersion version,
                                    const std::vector<EndpointEntry*>& entries) {
  // The age of a restored list is unknown, so its version is ignored.
  const bool isRestored = kind == EndpointUpdateKind::restored;
  if (!isRestored) newestVersion_ = std::max(newestVersion_, version);
  if (kind == EndpointUpdateKind::snapshot)
    for (auto& [id, group] : groups_)
      for (auto& [node, member] : group.members) member.isLive = false;
  for (const EndpointEntry* entry : entries) updateMember(now, *entry, isRestored);
  removeUnlisted();
  scheduleDecision(now);
}

void RecoveryStages::updateMember(Instant now, const EndpointEntry& entry, bool isRestored) {
  Group& group = groups_[entry.group];
  if (group.since == Instant()) group.since = now;
  group.isListed = group.isListed || !isRestored;
  const auto [found, isNew] = group.members.try_emplace(entry.node);
  Member& member = found->second;
  member.isLive = entry.health == Health::live;
  member.isPrimary = entry.primary;
  if (isNew) member.nextRequestAt = now + requestInterval() * std::uniform_real_distribution<>()(random_);
}

void RecoveryStages::removeUnlisted() {
  for (auto& [id, group] : groups_)
    std::erase_if(group.members, [](const auto& member) { return !member.second.isLive; });
  std::erase_if(groups_, [](const auto& group) { return group.second.members.empty(); });
}

void RecoveryStages::onKnownPrimary(GroupId id, const Primary& primary) {
  const auto found = groups_.find(id);
  if (found == groups_.end()) return;
  auto& known = found->second.knownPrimary;
  if (!known || primary.version > known->version) known = primary;
}

// --- The primary

std::optional<NodeId> RecoveryStages::primaryOf(Group& group, const PeerObservations& observations) const {
  group.contenders.clear();
  std::vector<NodeId> reported;
  for (const auto& [node, member] : group.members)
    if (observations.role(node) == Role::primary) reported.push_back(node);
  if (reported.empty()) return {};
  const bool isOnlyOne = reported.size() == 1;
  const bool isOutdated = isOnlyOne && mayBeOutdated(reported.front(), group, observations);
  if (isOnlyOne && !isOutdated) return reported.front();
  group.contenders = reported;
  if (isOutdated) group.contenders.push_back(group.knownPrimary->node);
  return {};
}

// True if another node was last known as primary under a list at least as new as the current one, and has not
// reported itself as a replica since.
bool RecoveryStages::mayBeOutdated(const NodeId& reported, const Group& group,
                                   const PeerObservations& observations) const {
  const auto& known = group.knownPrimary;
  return known && known->version >= newestVersion_ && known->node != reported &&
         observations.role(known->node) != Role::replica;
}

void RecoveryStages::confirm(GroupId id, Group& group, const NodeId& primary) {
  const Primary confirmed{.node = primary, .version = newestVersion_};
  if (!group.knownPrimary || group.knownPrimary->node != primary)
    confirmed_.push_back({.group = id, .primary = confirmed});
  group.knownPrimary = confirmed;
}

// Confirms a primary that changed after the group had passed the consistentReads stage, once its own report
// and the endpoint list agree.
void RecoveryStages::confirmListed(GroupId id, Group& group, const PeerObservations& observations) {
  for (const auto& [node, member] : group.members) {
    const bool isKnown = group.knownPrimary && group.knownPrimary->node == node;
    if (member.isPrimary && !isKnown && observations.role(node) == Role::primary) confirm(id, group, node);
  }
}

// --- Transitions

std::vector<StageTransition> RecoveryStages::decide(Instant now, const PeerObservations& observations) {
  nextDue_ = Instant();
  std::vector<StageTransition> transitions;
  for (auto& [id, group] : groups_) {
    advance(now, id, group, observations, transitions);
    if (group.stage == Stage::anyReads || group.stage == Stage::consistentReads)
      requestReports(now, group, observations);
    if (group.stage >= Stage::writes) confirmListed(id, group, observations);
  }
  return transitions;
}

void RecoveryStages::advance(Instant now, GroupId id, Group& group, const PeerObservations& observations,
                             std::vector<StageTransition>& transitions) {
  while (group.stage != Stage::all) {
    auto reason = reasonToAdvance(now, group, observations);
    if (!reason && forced_ && group.stage < *forced_) reason = TransitionReason::forced;
    if (!reason) return;
    const Stage to = static_cast<Stage>(static_cast<int>(group.stage) + 1);
    transitions.push_back(
        {.group = id, .from = group.stage, .to = to, .reason = *reason, .waited = now - group.since});
    if (group.stage == Stage::consistentReads && *reason == TransitionReason::evidence)
      if (const auto primary = primaryOf(group, observations)) confirm(id, group, *primary);
    group.stage = to;
    group.since = now;
  }
}

std::optional<TransitionReason> RecoveryStages::reasonToAdvance(Instant now, Group& group,
                                                                const PeerObservations& observations) {
  switch (group.stage) {
    case Stage::closed:
      if (group.isListed) return TransitionReason::evidence;
      return timedOutAfter(kMaxListWait, now, group);
    case Stage::anyReads:
      if (hasPositions(group, observations)) return TransitionReason::evidence;
      return timedOutAfter(kMaxPositionsWait, now, group);
    case Stage::consistentReads:
      if (primaryOf(group, observations)) return TransitionReason::evidence;
      if (!group.contenders.empty()) return {};
      return timedOutAfter(kMaxPrimaryWait, now, group);
    case Stage::writes:
      if (isQuorumReached_) return TransitionReason::evidence;
      return timedOutAfter(kMaxQuorumWait, now, group);
    case Stage::all:
      break;
  }
  return {};
}

bool RecoveryStages::hasPositions(const Group& group, const PeerObservations& observations) const {
  std::size_t replicas = 0, known = 0;
  for (const auto& [node, member] : group.members) {
    if (observations.role(node) == Role::primary && observations.hasObserved(node)) return true;
    if (member.isPrimary) continue;
    ++replicas;
    if (observations.knowsPosition(node)) ++known;
  }
  return replicas > 0 && known * 2 >= replicas;
}

std::optional<TransitionReason> RecoveryStages::timedOutAfter(Duration maxWait, Instant now,
                                                              const Group& group) {
  if (now - group.since >= maxWait) return TransitionReason::timedOut;
  scheduleDecision(group.since + maxWait);
  return {};
}

void RecoveryStages::requestReports(Instant now, Group& group, const PeerObservations& observations) {
  if (!mayRequestReports_) return;
  for (auto& [node, member] : group.members) {
    if (!needsReport(node, member, group, observations)) continue;
    if (member.nextRequestAt <= now) {
      reportRequests_.push_back(node);
      member.nextRequestAt = now + requestInterval();
    }
    scheduleDecision(member.nextRequestAt);
  }
}

// To learn positions, requests reports from every node whose position is unknown. To find the primary,
// requests reports from the primary of the endpoint list, the last known primary, and every node that has not
// reported itself as a replica.
bool RecoveryStages::needsReport(const NodeId& node, const Member& member, const Group& group,
                                 const PeerObservations& observations) const {
  if (group.stage == Stage::anyReads) return !observations.knowsPosition(node);
  const bool isKnownPrimary = group.knownPrimary && group.knownPrimary->node == node;
  return member.isPrimary || isKnownPrimary || observations.role(node) != Role::replica;
}

void RecoveryStages::scheduleDecision(Instant when) {
  if (nextDue_ == Instant() || when < nextDue_) nextDue_ = when;
}

// --- Admission and status

bool RecoveryStages::admits(GroupId id, std::size_t classIndex) const {
  const auto found = groups_.find(id);
  // No group is known before the first list. After it, the routing module rejects transactions for groups
  // that the list does not contain.
  if (found == groups_.end()) return !groups_.empty();
  const TransactionClass& type = classes_.at(classIndex);
  switch (found->second.stage) {
    case Stage::closed:
      return false;
    case Stage::anyReads:
      return type.level == ReadLevel::any;
    case Stage::consistentReads:
      return isNonLinearizableRead(type);
    case Stage::writes:
      return isNonLinearizableRead(type) || type.effect != Effect::atMostOnce;
    case Stage::all:
      return true;
  }
  return true;
}

RecoveryStages::GroupStatus RecoveryStages::statusOf(GroupId id) const {
  const auto found = groups_.find(id);
  if (found == groups_.end()) return {};
  const Group& group = found->second;
  constexpr std::string_view kWaitingFor[] = {"list", "positions", "primary", "keepers", ""};
  const bool mayBeContested = group.stage == Stage::consistentReads;
  return {.stage = group.stage,
          .since = group.since,
          .waitingFor = kWaitingFor[static_cast<int>(group.stage)],
          .contenders = mayBeContested ? group.contenders : std::vector<NodeId>()};
}

std::vector<GroupId> RecoveryStages::groups() const {
  std::vector<GroupId> ids;
  for (const auto& [id, group] : groups_) ids.push_back(id);
  return ids;
}

bool RecoveryStages::isFinished() const {
  return !groups_.empty() && std::all_of(groups_.begin(), groups_.end(),
                                         [](const auto& group) { return group.second.stage == Stage::all; });
}

}  // namespace gulltrestle::recovery
