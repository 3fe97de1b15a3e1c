// The part of the claim dispatcher for updates on draining nodes and on primaries: receives them from
// endpoint lists and other routers, stores them and sends them to the voters.
#include <algorithm>

#include "cluster/chunks.h"
#include "cluster/claim_dispatcher.h"

namespace gulltrestle::cluster {

namespace {

std::size_t countNotLive(const std::vector<EndpointEntry*>& entries) {
  return static_cast<std::size_t>(std::count_if(
      entries.begin(), entries.end(), [](const auto* entry) { return entry->health != Health::live; }));
}

}  // namespace

void ClaimDispatcher::amendEndpointList(EndpointUpdateKind kind, std::uint64_t version,
                                        std::vector<transactions::ResolvedEndpoint>& list) {
  std::vector<EndpointEntry*> entries;
  for (auto& [entry, address] : list) entries.push_back(&entry);
  const std::size_t notLiveInList = countNotLive(entries);
  const DrainUpdates updates = drains_.applyList(kind, version, entries);
  const std::size_t notLive = countNotLive(entries);
  if (notLive > notLiveInList)
    effects_.log("peers.outdated_endpoint_list",
                 "version=" + std::to_string(version) + " newest=" + std::to_string(drains_.newestVersion()) +
                     " kept_draining=" + std::to_string(notLive - notLiveInList));
  recovery_.onEndpointList(kind, version, entries);
  if (updates.empty()) return;
  storeDrains(updates);
  for (const DrainUpdates& chunk : chunked(updates)) sendToOtherVoters(chunk);
}

void ClaimDispatcher::onDrainUpdates(const DrainUpdates& updates, std::string_view from) {
  DrainUpdates newUpdates;
  std::vector<NodeId> draining;
  for (const auto& update : updates)
    if (drains_.applyUpdate(update)) {
      newUpdates.push_back(update);
      if (update.isDraining) draining.push_back(update.node);
    }
  if (newUpdates.empty()) return;
  effects_.log("peers.drains_received",
               "from=" + std::string(from) + " draining=" + std::to_string(draining.size()) +
                   " not_draining=" + std::to_string(newUpdates.size() - draining.size()));
  storeDrains(newUpdates);
  transactions_.markDraining(draining);
}

void ClaimDispatcher::storeDrains(const DrainUpdates& updates) {
  const auto forgotten = drains_.takeForgotten();
  if (config_.storeFolder.empty()) return;
  std::vector<idempotency::DiskChange> changes;
  for (const auto& node : forgotten)
    changes.push_back(idempotency::NodeDrainRecord{.node = node, .listVersion = 0, .isDraining = false});
  for (const auto& update : updates)
    changes.push_back(idempotency::NodeDrainRecord{
        .node = update.node, .listVersion = update.version, .isDraining = update.isDraining});
  if (!changes.empty()) effects_.write(std::move(changes));
}

void ClaimDispatcher::onPrimaryUpdates(const PrimaryUpdates& updates) {
  PrimaryUpdates newUpdates;
  for (const auto& update : updates)
    if (recovery_.onPrimaryUpdate(update)) newUpdates.push_back(update);
  storePrimaries(newUpdates);
}

void ClaimDispatcher::storePrimaries(const PrimaryUpdates& updates) {
  if (config_.storeFolder.empty() || updates.empty()) return;
  std::vector<idempotency::DiskChange> changes;
  for (const auto& [group, primary] : updates)
    changes.push_back(
        idempotency::PrimaryRecord{.group = group, .node = primary.node, .listVersion = primary.version});
  effects_.write(std::move(changes));
}

}  // namespace gulltrestle::cluster
