// Until when a router may send to machines whose turn is next: while more than half of the keepers have
// answered it lately. No I/O, no clock.
//
// Counted from when the word was said that was answered: whatever was settled before that moment, one of
// those that answered held it, and told it ahead of its answer. A keeper counts a router as silent after
// membership::FailureDetector::kSilence, by its own running clock, from when it heard the word: later than it
// was said, and half a second more than a lease lasts, which is what two running clocks may differ in that
// time. So once more than half call a router silent it has no lease.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "maintenance/maintenance_plan.h"

namespace gulltrestle::maintenance {

class Lease {
 public:
  // Below membership::FailureDetector::kSilence, above what two lost words take.
  static constexpr Duration kDuration = Duration::millis(3000);

  explicit Lease(std::size_t keepers) : keepers_(keepers) {}

  // A word of that number went to the keeper, and will be answered by its number.
  void onHeartbeatSent(Instant now, VoterIndex keeper, std::uint64_t number) {
    auto& out = out_[keeper];
    out.emplace_back(number, now);
    // Those before are not answered any more: a lease that old is over.
    if (out.size() > kMostOut) out.pop_front();
  }
  void onHeartbeatReply(VoterIndex keeper, std::uint64_t number) {
    auto& out = out_[keeper];
    while (!out.empty() && out.front().first <= number) {
      if (out.front().first == number) at_[keeper] = out.front().second;
      out.pop_front();
    }
  }
  // Kind is out on a stream that ended is not answered.
  void onVoterLost(VoterIndex keeper) { out_.erase(keeper); }

  // Never: it has had none yet.
  Instant until() const {
    if (at_.size() < majorityOf(keepers_)) return Instant();
    std::vector<Instant> all;
    for (const auto& [keeper, at] : at_) all.push_back(at);
    std::sort(all.begin(), all.end(), std::greater<>());
    return all[majorityOf(keepers_) - 1] + kDuration;
  }

 private:
  static constexpr std::size_t kMostOut = 8;
  std::size_t keepers_;
  std::map<VoterIndex, std::deque<std::pair<std::uint64_t, Instant>>> out_;
  std::map<VoterIndex, Instant> at_;
};

}  // namespace gulltrestle::maintenance
