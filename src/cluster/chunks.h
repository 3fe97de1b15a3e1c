// News in messages that are well below what a stream takes.
#pragma once

#include <vector>

#include "cluster/messages.h"

namespace gulltrestle::cluster {

// `sizeOf`: about how many bytes one takes.
template <typename All, typename Size>
std::vector<All> slices(const All& all, Size sizeOf) {
  constexpr std::size_t kBytes = 32 * 1024;
  std::vector<All> out;
  std::size_t bytes = kBytes;
  for (const auto& one : all) {
    if (bytes >= kBytes) out.emplace_back(), bytes = 0;
    out.back().push_back(one);
    bytes += sizeOf(one) + 48;
  }
  return out;
}
inline std::vector<DrainUpdates> slices(const DrainUpdates& all) {
  return slices(all, [](const auto& news) { return news.node.size(); });
}
inline std::vector<PrimaryUpdates> slices(const PrimaryUpdates& all) {
  return slices(all, [](const auto& news) { return news.primary.node.size(); });
}
inline std::vector<ObservationReport> slices(const ObservationReport& all) {
  std::vector<ObservationReport> out;
  for (auto& some : slices(all.nodes, [](const auto& one) { return one.node.size(); }))
    out.push_back({std::move(some), all.serves});
  if (out.empty()) out.push_back(all);
  return out;
}

}  // namespace gulltrestle::cluster
