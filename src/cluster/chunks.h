// Splits lists of updates into messages that stay well below the maximum message size of a stream
// (kMaxMessageBytes in cluster/peer_stream.h).
#pragma once

#include <vector>

#include "cluster/messages.h"

namespace gulltrestle::cluster {

// Encoded size at which a chunk is closed. A message may have up to 128 KiB.
constexpr std::size_t kChunkBytes = 32 * 1024;
// Encoded size of an item without its text: field tags, lengths and numbers.
constexpr std::size_t kItemOverheadBytes = 48;

// Splits `items` into consecutive chunks. `textBytesOf` returns the length of an item's text in bytes. An
// empty list has no chunks.
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

// Returns at least one chunk: whether the router has recovered is reported even without observations.
inline std::vector<ObservationReport> chunked(const ObservationReport& report) {
  std::vector<ObservationReport> chunks;
  for (auto& nodes : chunked(report.nodes, [](const auto& observation) { return observation.node.size(); }))
    chunks.push_back({std::move(nodes), report.hasRecovered});
  if (chunks.empty()) chunks.push_back(report);
  return chunks;
}

}  // namespace gulltrestle::cluster
