#include "transactions/execution_history.h"

#include <algorithm>

namespace gulltrestle::transactions {

namespace {

// Memory of an entry in addition to its id: the nodes of both containers, rounded up.
constexpr std::size_t kEntryBytes = 256;

}  // namespace

void ExecutionHistory::record(std::string_view id, Instant sentAt, Instant expiresAt) {
  if (const auto found = entries_.find(std::string(id)); found != entries_.end()) {
    sentAt = std::min(sentAt, found->second.sentAt);
    expiresAt = std::max(expiresAt, found->second.expiresAt);
    erase(found);
  }
  const auto added = entries_.emplace(std::string(id), Entry{sentAt, expiresAt}).first;
  expiries_.emplace(expiresAt, added->first);
  usedBytes_ += id.size() + kEntryBytes;
}

std::optional<Instant> ExecutionHistory::firstSentAt(std::string_view id) const {
  const auto found = entries_.find(std::string(id));
  if (found == entries_.end()) return std::nullopt;
  return found->second.sentAt;
}

void ExecutionHistory::dropExpired(Instant now) {
  while (!expiries_.empty() && expiries_.begin()->first <= now)
    erase(entries_.find(std::string(expiries_.begin()->second)));
}

void ExecutionHistory::erase(Entries::iterator entry) {
  const auto [first, last] = expiries_.equal_range(entry->second.expiresAt);
  expiries_.erase(
      std::find_if(first, last, [&](const auto& expiry) { return expiry.second == entry->first; }));
  usedBytes_ -= entry->first.size() + kEntryBytes;
  entries_.erase(entry);
}

}  // namespace gulltrestle::transactions
