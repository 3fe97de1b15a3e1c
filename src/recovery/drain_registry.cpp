#include "recovery/drain_registry.h"

#include <algorithm>
#include <set>

namespace gulltrestle::recovery {

// One that stays is remembered with its version, too: news of its leaving that are older mean nothing.
bool DrainRegistry::set(const NodeId& node, ListVersion version, bool leaving) {
  const auto at = nodes_.find(node);
  // Of two lists of one version, the one that lets it leave counts: a txn less is better than one too many.
  if (at != nodes_.end() &&
      (version < at->second.version || (version == at->second.version && (at->second.leaving || !leaving))))
    return false;
  const bool news = at == nodes_.end() ? leaving : at->second.leaving != leaving;
  nodes_[node] = {version, leaving};
  if (nodes_.size() > most_) {
    const auto oldest = std::min_element(
        nodes_.begin(), nodes_.end(), [](auto& a, auto& b) { return a.second.version < b.second.version; });
    forgotten_.push_back(oldest->first);
    nodes_.erase(oldest);
  }
  return news;
}

std::vector<DrainUpdate> DrainRegistry::applyList(EndpointUpdateKind kind, ListVersion version,
                                                  std::vector<EndpointEntry*>& entries) {
  std::vector<DrainUpdate> out;
  if (kind == EndpointUpdateKind::restored)
    return out;  // told before the start, by whoever kept it: it may be any age
  newest_ = std::max(newest_, version);
  std::set<NodeId> named;
  for (EndpointEntry* entry : entries) {
    named.insert(entry->node);
    const bool leaves = entry->health != Health::live;
    if (set(entry->node, version, leaves)) out.push_back({entry->node, version, leaves});
    if (!leaves && isDraining(entry->node)) entry->health = Health::draining;
  }
  if (kind != EndpointUpdateKind::snapshot) return out;
  std::vector<NodeId> gone;
  for (const auto& [node, known] : nodes_)
    if (!known.leaving && known.version < version && !named.contains(node)) gone.push_back(node);
  for (const auto& node : gone)
    if (set(node, version, true)) out.push_back({node, version, true});
  return out;
}

bool DrainRegistry::learn(const DrainUpdate& news) {
  newest_ = std::max(newest_, news.version);
  return set(news.node, news.version, news.isDraining);
}

std::vector<DrainUpdate> DrainRegistry::all() const {
  std::vector<DrainUpdate> out;
  for (const auto& [node, known] : nodes_) out.push_back({node, known.version, known.leaving});
  return out;
}

bool DrainRegistry::isDraining(const NodeId& node) const {
  const auto at = nodes_.find(node);
  return at != nodes_.end() && at->second.leaving;
}

}  // namespace gulltrestle::recovery
