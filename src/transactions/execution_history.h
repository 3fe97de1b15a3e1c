// Remembers the transactions that have ended here and may have run, by the id that their client gave to them:
// a client may send a transaction again after it left. Without this, a transaction whose client has left is
// forgotten with its last attempt, and would be a new one. No I/O, no clock.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/time.h"

namespace gulltrestle::transactions {

// Bounded: transactions that have to be remembered must not be admitted without capacity for them.
class ExecutionHistory {
 public:
  explicit ExecutionHistory(std::size_t maxBytes) : maxBytes_(maxBytes) {}
  ExecutionHistory(const ExecutionHistory&) = delete;
  ExecutionHistory& operator=(const ExecutionHistory&) = delete;

  // Remembers until `expiresAt` that an attempt which may have run was first sent at `sentAt`. An earlier
  // time that is remembered for the id stays.
  void record(std::string_view id, Instant sentAt, Instant expiresAt);
  // Returns when the first attempt was sent that may have run; none if none is remembered.
  std::optional<Instant> firstSentAt(std::string_view id) const;
  bool hasCapacity() const { return usedBytes_ < maxBytes_; }
  void dropExpired(Instant now);

 private:
  struct Execution {
    Instant sentAt, expiresAt;
  };
  using Executions = std::unordered_map<std::string, Execution>;
  void erase(Executions::iterator execution);

  std::size_t maxBytes_;
  std::size_t usedBytes_ = 0;
  Executions executions_;
  std::multimap<Instant, std::string_view> expiries_;  // of executions_, whose keys they refer to
};

}  // namespace gulltrestle::transactions
