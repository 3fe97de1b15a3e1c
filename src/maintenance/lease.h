// A router's lease on nodes whose maintenance is next: it may send to them for as long as a majority of the
// voters has lately answered its heartbeats. No I/O, no clock.
//
// The lease counts from when the answered heartbeat was sent: of whatever plan was chosen before that moment,
// one of the voters that answered had accepted it, and reported it ahead of its answer. A voter takes a
// router for silent after membership::FailureDetector::kTimeout, by its own monotonic clock, from when it
// received the heartbeat: that is after it was sent, and the timeout is half a second longer than a lease,
// more than two clocks drift apart in that time. So once a majority takes a router for silent, that router
// holds no lease.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "maintenance/maintenance_plan.h"

namespace gulltrestle::maintenance {

// Each router has one, fed by the heartbeats that it sends and the replies of voters that count.
class Lease {
 public:
  // Below membership::FailureDetector::kTimeout, above the time that two lost heartbeats take.
  static constexpr Duration kDuration = Duration::millis(3000);

  explicit Lease(std::size_t voters) : voters_(voters) {}

  // `number`: identifies the heartbeat; the reply carries it. Numbers grow.
  void onHeartbeatSent(Instant now, VoterIndex voter, std::uint64_t number) {
    auto& unanswered = unanswered_[voter];
    unanswered.push_back({number, now});
    // An older one is of no use: a lease counted from then has expired.
    if (unanswered.size() > kMaxUnanswered) unanswered.pop_front();
  }
  void onHeartbeatReply(VoterIndex voter, std::uint64_t number) {
    auto& unanswered = unanswered_[voter];
    while (!unanswered.empty() && unanswered.front().number <= number) {
      if (unanswered.front().number == number) lastAnswered_[voter] = unanswered.front().sentAt;
      unanswered.pop_front();
    }
  }
  // Heartbeats on a stream that ended are not answered any more.
  void onVoterLost(VoterIndex voter) { unanswered_.erase(voter); }

  // When the lease expires or has expired; never: there was none yet.
  Instant until() const {
    if (lastAnswered_.size() < majorityOf(voters_)) return Instant();
    std::vector<Instant> newestFirst;
    for (const auto& [voter, sentAt] : lastAnswered_) newestFirst.push_back(sentAt);
    std::sort(newestFirst.begin(), newestFirst.end(), std::greater<>());
    return newestFirst[majorityOf(voters_) - 1] + kDuration;
  }

 private:
  struct SentHeartbeat {
    std::uint64_t number = 0;
    Instant sentAt;
  };
  // At one heartbeat a second, more than fit into kDuration.
  static constexpr std::size_t kMaxUnanswered = 8;
  std::size_t voters_;
  std::map<VoterIndex, std::deque<SentHeartbeat>> unanswered_;
  std::map<VoterIndex, Instant> lastAnswered_;  // when the last heartbeat that was answered was sent
};

}  // namespace gulltrestle::maintenance
