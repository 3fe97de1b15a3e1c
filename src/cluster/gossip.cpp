// The desk's news of nodes and primaries: from lists, from others, to the disk and to keepers.
#include <algorithm>

#include "cluster/chunks.h"
#include "cluster/claim_dispatcher.h"

namespace gulltrestle::cluster {

using idempotency::VotingMember;

void ClaimDispatcher::amendEndpointList(EndpointUpdateKind kind, std::uint64_t version,
                                        std::vector<transactions::ResolvedEndpoint>& list) {
  std::vector<EndpointEntry*> entries;
  std::size_t named = 0, later = 0;
  for (auto& [entry, address] : list) {
    entries.push_back(&entry);
    named += entry.health != Health::live;
  }
  const DrainUpdates news = leaving_.applyList(kind, version, entries);
  for (const EndpointEntry* entry : entries) later += entry->health != Health::live;
  if (later > named)
    effects_.log("peers.old_list", "version=" + std::to_string(version) +
                                       " newest=" + std::to_string(leaving_.newest()) +
                                       " kept_draining=" + std::to_string(later - named));
  service_.listed(kind, version, entries);
  if (news.empty()) return;
  keep(news);
  for (const DrainUpdates& some : slices(news))
    for (std::size_t i = 0; i < setup_.voters.size(); ++i)
      if (i != own_) effects_.sendToVoter(i, some);
}

void ClaimDispatcher::learn(const DrainUpdates& news, std::string_view from) {
  DrainUpdates fresh;
  std::vector<NodeId> leave;
  for (const auto& one : news)
    if (leaving_.learn(one)) {
      fresh.push_back(one);
      if (one.isDraining) leave.push_back(one.node);
    }
  if (fresh.empty()) return;
  effects_.log("peers.nodes_learnt", "from=" + std::string(from) +
                                         " leaving=" + std::to_string(leave.size()) +
                                         " staying=" + std::to_string(fresh.size() - leave.size()));
  keep(fresh);
  ledger_.leave(leave);
}

void ClaimDispatcher::keep(const DrainUpdates& news) {
  const auto forgotten = leaving_.takeForgotten();
  if (setup_.folder.empty()) return;
  std::vector<VotingMember::DiskChange> changes;
  for (const auto& node : forgotten)
    changes.push_back({VotingMember::DiskChange::Kind::node, node, {}, {}, false});
  for (const auto& one : news)
    changes.push_back({VotingMember::DiskChange::Kind::node, one.node, {}, {one.version, 0}, one.isDraining});
  if (!changes.empty()) effects_.write(std::move(changes));
}

void ClaimDispatcher::learn(const PrimaryUpdates& news) {
  PrimaryUpdates fresh;
  for (const auto& one : news)
    if (service_.knew(one)) fresh.push_back(one);
  keep(fresh);
}

void ClaimDispatcher::keep(const PrimaryUpdates& news) {
  if (setup_.folder.empty() || news.empty()) return;
  std::vector<VotingMember::DiskChange> changes;
  for (const auto& one : news)
    changes.push_back({VotingMember::DiskChange::Kind::primary,
                       one.primary.node,
                       {},
                       {one.primary.version, 0},
                       false,
                       one.group});
  effects_.write(std::move(changes));
}

}  // namespace gulltrestle::cluster
