#include "recovery/recovery_stages.h"

#include <algorithm>

namespace gulltrestle::recovery {

namespace {

// How long a stage waits. A list: discovery answers within a second where it lives at all, and without it
// what was known before is better than nothing. Positions: a few times what it takes to ask a node.
// Primaries: discovery names a new one within seconds. Keepers: as long as routers of one room take to start;
// once-only txns are refused anyway while too few keepers are there.
constexpr Duration kList = Duration::millis(5000), kPositions = Duration::millis(2000),
                   kPrimary = Duration::millis(5000), kKeepers = Duration::millis(10'000);
// A node is asked so often over all routers, at most: a small part of what even a cold one can do.
constexpr double kAsksASecond = 100;
// And by one router no more often than this.
constexpr Duration kAskAgain = Duration::millis(300);

bool isRead(const TransactionClass& type) { return type.level < ReadLevel::linearizable; }

}  // namespace

std::string_view nameOf(Stage stage) {
  constexpr std::string_view kNames[] = {"shut", "any_reads", "owed_reads", "writes", "all"};
  return kNames[static_cast<int>(stage)];
}

std::string_view nameOf(TransitionReason why) {
  constexpr std::string_view kNames[] = {"known", "gave_up", "forced"};
  return kNames[static_cast<int>(why)];
}

RecoveryStages::RecoveryStages(std::vector<TransactionClass> types, unsigned routers, bool mayAsk,
                               std::uint64_t seed)
    : types_(std::move(types)), routers_(std::max(1u, routers)), mayAsk_(mayAsk), chance_(seed) {}

Duration RecoveryStages::spacing() const {
  return std::max(kAskAgain, Duration::seconds(static_cast<double>(routers_) / kAsksASecond));
}

void RecoveryStages::onEndpointList(Instant now, EndpointUpdateKind kind, ListVersion version,
                                    const std::vector<EndpointEntry*>& entries) {
  const bool isFromBefore =
      kind == EndpointUpdateKind::restored;  // it may be of any age: its version counts for nothing
  if (!isFromBefore) version_ = std::max(version_, version);
  if (kind == EndpointUpdateKind::snapshot)
    for (auto& [id, group] : groups_)
      for (auto& [node, member] : group.members) member.live = false;
  for (const EndpointEntry* entry : entries) {
    Group& group = groups_[entry->group];
    if (group.since == Instant()) group.since = now;
    group.listed = group.listed || !isFromBefore;
    const auto [at, isNew] = group.members.try_emplace(entry->node);
    at->second.live = entry->health == Health::live;
    at->second.primary = entry->primary;
    if (isNew) at->second.askAt = now + spacing() * std::uniform_real_distribution<>()(chance_);
  }
  for (auto& [id, group] : groups_)
    std::erase_if(group.members, [&](const auto& member) { return !member.second.live; });
  std::erase_if(groups_, [](const auto& group) { return group.second.members.empty(); });
  dueBy(now);
}

void RecoveryStages::onKnownPrimary(GroupId id, const Primary& primary) {
  const auto at = groups_.find(id);
  if (at == groups_.end()) return;
  auto& known = at->second.known;
  if (!known || primary.version > known->version) known = primary;
}

// Who is primary, beyond doubt. Sets who claims to be it where that is contested.
std::optional<NodeId> RecoveryStages::primaryOf(Group& group, const PeerObservations& seen) const {
  group.claimed.clear();
  std::vector<NodeId> claim;
  for (const auto& [node, member] : group.members)
    if (seen.role(node) == Role::primary) claim.push_back(node);
  if (claim.empty()) return {};
  // One that was known later than the list that names the other has not said that it is no more.
  const auto& known = group.known;
  const bool doubted = known && known->version >= version_ && known->node != claim.front() &&
                       seen.role(known->node) != Role::replica && claim.size() == 1;
  if (claim.size() == 1 && !doubted) return claim.front();
  group.claimed = claim;
  if (doubted) group.claimed.push_back(known->node);
  return {};
}

// Why the group may go on to its next stage; none: not yet.
std::optional<TransitionReason> RecoveryStages::next(Instant now, Group& group,
                                                     const PeerObservations& seen) {
  const auto within = [&](Duration most) -> std::optional<TransitionReason> {
    if (now - group.since >= most) return TransitionReason::timedOut;
    dueBy(group.since + most);
    return {};
  };
  switch (group.stage) {
    case Stage::closed:
      if (group.listed) return TransitionReason::evidence;
      return within(kList);
    case Stage::anyReads: {
      std::size_t replicas = 0, known = 0;
      for (const auto& [node, member] : group.members) {
        if (seen.role(node) == Role::primary && seen.hasObserved(node)) return TransitionReason::evidence;
        if (member.primary) continue;
        ++replicas;
        known += seen.knowsPosition(node);
      }
      if (replicas > 0 && known * 2 >= replicas) return TransitionReason::evidence;
      return within(kPositions);
    }
    case Stage::consistentReads:
      if (primaryOf(group, seen)) return TransitionReason::evidence;
      if (!group.claimed.empty()) return {};
      return within(kPrimary);
    case Stage::writes:
      if (keepers_) return TransitionReason::evidence;
      return within(kKeepers);
    case Stage::all:
      break;
  }
  return {};
}

std::vector<StageTransition> RecoveryStages::decide(Instant now, const PeerObservations& seen) {
  due_ = Instant();
  std::vector<StageTransition> steps;
  for (auto& [id, group] : groups_) {
    while (group.stage != Stage::all) {
      auto why = next(now, group, seen);
      if (!why && forced_ && group.stage < *forced_) why = TransitionReason::forced;
      if (!why) break;
      const Stage to = static_cast<Stage>(static_cast<int>(group.stage) + 1);
      steps.push_back({id, group.stage, to, *why, now - group.since});
      if (group.stage == Stage::consistentReads && *why == TransitionReason::evidence)
        if (const auto primary = primaryOf(group, seen)) confirm(id, group, *primary);
      group.stage = to;
      group.since = now;
    }
    if (group.stage == Stage::anyReads || group.stage == Stage::consistentReads) ask(now, group, seen);
    if (group.stage < Stage::writes) continue;
    for (const auto& [node, member] : group.members)
      if (member.primary && (!group.known || group.known->node != node) && seen.role(node) == Role::primary)
        confirm(id, group, node);
  }
  return steps;
}

void RecoveryStages::confirm(GroupId id, Group& group, const NodeId& primary) {
  const Primary confirmed{primary, version_};
  if (!group.known || group.known->node != primary) confirmed_.emplace_back(id, confirmed);
  group.known = confirmed;
}

void RecoveryStages::ask(Instant now, Group& group, const PeerObservations& seen) {
  if (!mayAsk_) return;
  for (auto& [node, member] : group.members) {
    // For a primary: whoever the list or others say is it, and whoever claims to be. Nobody is asked twice
    // for a position.
    const bool matters = group.stage == Stage::anyReads
                             ? !seen.knowsPosition(node)
                             : member.primary || (group.known && group.known->node == node) ||
                                   seen.role(node) != Role::replica;
    if (!matters) continue;
    if (member.askAt <= now) {
      asks_.push_back(node);
      member.askAt = now + spacing();
    }
    dueBy(member.askAt);
  }
}

void RecoveryStages::dueBy(Instant at) {
  if (due_ == Instant() || at < due_) due_ = at;
}

bool RecoveryStages::admits(GroupId id, std::size_t row) const {
  const auto at = groups_.find(id);
  // Before the first list there is nothing to go by; after it, what no list names is the module's to refuse.
  if (at == groups_.end()) return !groups_.empty();
  const TransactionClass& type = types_.at(row);
  switch (at->second.stage) {
    case Stage::closed:
      return false;
    case Stage::anyReads:
      return type.level == ReadLevel::any;
    case Stage::consistentReads:
      return isRead(type);
    case Stage::writes:
      return isRead(type) || type.effect != Effect::atMostOnce;
    case Stage::all:
      return true;
  }
  return true;
}

RecoveryStages::GroupStatus RecoveryStages::statusOf(GroupId id) const {
  const auto at = groups_.find(id);
  if (at == groups_.end()) return {};
  constexpr std::string_view kAwaits[] = {"list", "positions", "primary", "keepers", ""};
  return {at->second.stage, at->second.since, kAwaits[static_cast<int>(at->second.stage)],
          at->second.stage == Stage::consistentReads ? at->second.claimed : std::vector<NodeId>()};
}

std::vector<GroupId> RecoveryStages::groups() const {
  std::vector<GroupId> all;
  for (const auto& [id, group] : groups_) all.push_back(id);
  return all;
}

bool RecoveryStages::isFinished() const {
  return !groups_.empty() &&
         std::all_of(groups_.begin(), groups_.end(), [](auto& g) { return g.second.stage == Stage::all; });
}

}  // namespace gulltrestle::recovery
