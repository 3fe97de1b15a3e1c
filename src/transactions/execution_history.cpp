#include "transactions/execution_history.h"

#include <algorithm>

namespace gulltrestle::transactions {

namespace {

// Memory of a remembered execution in addition to its id: the nodes of both containers, rounded up.
constexpr std::size_t kOverheadBytes = 256;

}  // namespace

void ExecutionHistory::record(std::string_view id, Instant sentAt, Instant expiresAt) {
  if (const auto found = executions_.find(std::string(id)); found != executions_.end()) {
    sentAt = std::min(sentAt, found->second.sentAt);
    expiresAt = std::max(expiresAt, found->second.expiresAt);
    erase(found);
  }
  const auto added = executions_.emplace(std::string(id), Execution{sentAt, expiresAt}).first;
  expiries_.emplace(expiresAt, added->first);
  usedBytes_ += id.size() + kOverheadBytes;
}

std::optional<Instant> ExecutionHistory::firstSentAt(std::string_view id) const {
  const auto found = executions_.find(std::string(id));
  if (found == executions_.end()) return std::nullopt;
  return found->second.sentAt;
}

void ExecutionHistory::dropExpired(Instant now) {
  while (!expiries_.empty() && expiries_.begin()->first <= now)
    erase(executions_.find(std::string(expiries_.begin()->second)));
}

void ExecutionHistory::erase(Executions::iterator execution) {
  const auto [first, last] = expiries_.equal_range(execution->second.expiresAt);
  expiries_.erase(
      std::find_if(first, last, [&](const auto& expiry) { return expiry.second == execution->first; }));
  usedBytes_ -= execution->first.size() + kOverheadBytes;
  executions_.erase(execution);
}

}  // namespace gulltrestle::transactions
