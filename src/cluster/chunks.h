// Splits updates into messages that stay well below what a stream accepts.
#pragma once

#include <vector>

#include "cluster/messages.h"

namespace gulltrestle::cluster {

// A chunk is closed once its items take this much; a message may hold 128 KiB.
constexpr std::size_t kChunkBytes = 32 * 1024;
// What an item's encoding takes beside its text: field tags, lengths and numbers.
constexpr std::size_t kItemOverheadBytes = 48;

// `textBytesOf`: of one item, the length of its text.
template <typename Items, typename TextBytes>
std::vector<Items> chunked(const Items& items, TextBytes textBytesOf) {
  std::vector<Items> chunks;
  std::size_t bytes = kChunkBytes;
  for (const auto& item : items) {
    if (bytes >= kChunkBytes) {
      chunks.emplace_back();
      bytes = 0;
    }
    chunks.back().push_back(item);
    bytes += textBytesOf(item) + kItemOverheadBytes;
  }
  return chunks;
}

inline std::vector<DrainUpdates> chunked(const DrainUpdates& updates) {
  return chunked(updates, [](const auto& update) { return update.node.size(); });
}

inline std::vector<PrimaryUpdates> chunked(const PrimaryUpdates& updates) {
  return chunked(updates, [](const auto& update) { return update.primary.node.size(); });
}

// At least one: whether the router has recovered is reported without observations, too.
inline std::vector<ObservationReport> chunked(const ObservationReport& report) {
  std::vector<ObservationReport> chunks;
  for (auto& nodes : chunked(report.nodes, [](const auto& observation) { return observation.node.size(); }))
    chunks.push_back({std::move(nodes), report.hasRecovered});
  if (chunks.empty()) chunks.push_back(report);
  return chunks;
}

}  // namespace gulltrestle::cluster
