#include "runtime/server/connection.h"

namespace gulltrestle::server {

using event_loop::IoStatus;

void Connection::send(gateway::ByteSlices slices) {
  if (isBroken || isAborted) return;
  std::size_t sent = 0;
  if (unsent_.empty()) {
    const auto result = stream.write({slices.begin(), slices.size()});
    if (result.status == IoStatus::failed) {
      isBroken = true;
      stream.wake();
      return;
    }
    sent = result.size;
  }
  for (const std::string_view slice : slices) {
    const std::size_t skipped = std::min(sent, slice.size());
    sent -= skipped;
    unsent_ += slice.substr(skipped);
  }
  if (!unsent_.empty()) updateSharedUsage();
}

void Connection::flush() {
  while (!isBroken && !unsent_.empty() && stream.canWrite()) {
    const std::string_view unsent = unsent_;
    const auto result = stream.write({&unsent, 1});
    if (result.status == IoStatus::failed) isBroken = true;
    unsent_.erase(0, result.size);
    if (unsent_.empty()) unsent_.shrink_to_fit();
  }
  updateSharedUsage();
}

void Connection::updateSharedUsage() {
  const std::size_t bytes = received_.size() + unsent_.size();
  shared_.usedBytes += bytes - accountedBytes_;
  accountedBytes_ = bytes;
}

}  // namespace gulltrestle::server
