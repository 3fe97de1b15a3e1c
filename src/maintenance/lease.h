// A router's lease on nodes of machines in Phase::next: the router may send to them while a majority of the
// voters has recently replied to its heartbeats. No I/O, no clock.
//
// The lease starts when the answered heartbeat was sent. If a plan was chosen before that moment, at least
// one of the voters that replied had accepted it and reported it before its reply. A voter considers a router
// silent membership::FailureDetector::kTimeout after receiving its last heartbeat, by the voter's own
// monotonic clock. The heartbeat is received after it was sent, and the timeout is half a second longer than
// a lease, which exceeds the drift between two clocks in that time. So once a majority considers a router
// silent, that router holds no lease.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "maintenance/maintenance_plan.h"

namespace gulltrestle::maintenance {

// Each router has one. It processes the heartbeats that the router sends and the replies of voters whose
// state is complete.
class Lease {
 public:
  // Less than membership::FailureDetector::kTimeout, and long enough to tolerate two lost heartbeats.
  static constexpr Duration kDuration = Duration::millis(3000);

  explicit Lease(std::size_t voters) : voters_(voters) {}

  // `number` identifies the heartbeat and is repeated in the reply. Numbers increase.
  void onHeartbeatSent(Instant now, VoterIndex voter, std::uint64_t number) {
    auto& unanswered = unanswered_[voter];
    unanswered.push_back({number, now});
    // Older heartbeats can be dropped: a lease that starts when they were sent has expired.
    if (unanswered.size() > kMaxUnanswered) unanswered.pop_front();
  }
  void onHeartbeatReply(VoterIndex voter, std::uint64_t number) {
    auto& unanswered = unanswered_[voter];
    while (!unanswered.empty() && unanswered.front().number <= number) {
      if (unanswered.front().number == number) lastAnswered_[voter] = unanswered.front().sentAt;
      unanswered.pop_front();
    }
  }
  // Drops the unanswered heartbeats of a closed stream, since no reply to them can arrive.
  void onVoterLost(VoterIndex voter) { unanswered_.erase(voter); }

  // When the lease expires or has expired; never if there has been no lease yet.
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
  // At one heartbeat per second, more than are sent within kDuration.
  static constexpr std::size_t kMaxUnanswered = 8;
  std::size_t voters_;
  std::map<VoterIndex, std::deque<SentHeartbeat>> unanswered_;
  std::map<VoterIndex, Instant> lastAnswered_;  // send time of the newest answered heartbeat
};

}  // namespace gulltrestle::maintenance
