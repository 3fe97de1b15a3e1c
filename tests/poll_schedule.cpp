// The schedule of calls to discovery. Run as `poll_schedule CASE`: prints its times, and the load that many
// routers with this schedule cause.
#include "discovery/poll_schedule.h"

#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <queue>
#include <string>
#include <vector>

using namespace gulltrestle;
using discovery::PollSchedule;

namespace {

std::int64_t inMillis(Duration duration) { return duration.inMicros() / 1000; }

void pollIntervals() {
  for (const bool isPolled : {false, true})
    for (const int drainGrace : {2000, 1000, 500, 250, 0}) {
      PollSchedule schedule(isPolled, Duration::millis(drainGrace), 7);
      std::cout << (isPolled ? "polled" : "pushed") << ", drain grace " << drainGrace
                << ": timeout of a list request " << inMillis(schedule.idleTimeout(false, false))
                << ", of the rest of its answer " << inMillis(schedule.idleTimeout(false, true))
                << ", of a watch " << inMillis(schedule.idleTimeout(true, false)) << ", of its next data "
                << inMillis(schedule.idleTimeout(true, true)) << "; pauses";
      for (int i = 0; i < 6; ++i) std::cout << " " << inMillis(schedule.nextBackoff());
      schedule.resetBackoff();
      std::cout << ", after an answer " << inMillis(schedule.nextBackoff()) << "\n";
    }
}

// One discovery service for all routers. It rejects every call while more than a tenth of the routers have
// called within the last quarter of a second; rejected calls count, too. All routers start at once, and each
// stops when it is answered.
void manyRoutersAtOnce() {
  for (const bool isPolled : {false, true})
    for (const int routerCount : {30, 340}) {
      std::vector<PollSchedule> schedules;
      std::priority_queue<std::pair<Duration, int>, std::vector<std::pair<Duration, int>>, std::greater<>>
          due;
      for (int i = 0; i < routerCount; ++i) {
        schedules.emplace_back(isPolled, Duration::seconds(1), static_cast<std::uint64_t>(i));
        due.push({Duration::micros(i), i});
      }
      std::deque<Duration> recentCalls;
      Duration lastAnsweredAt;
      long callCount = 0;
      while (!due.empty() && due.top().first < Duration::seconds(60)) {
        const auto [now, i] = due.top();
        due.pop();
        ++callCount;
        recentCalls.push_back(now);
        while (now - recentCalls.front() > Duration::millis(250)) recentCalls.pop_front();
        if (std::ssize(recentCalls) * 10 > routerCount)
          due.push({now + schedules[static_cast<std::size_t>(i)].nextBackoff(), i});
        else
          lastAnsweredAt = now;
      }
      std::cout << (isPolled ? "polled" : "pushed") << ", " << routerCount << " routers: " << due.size()
                << " without an endpoint list after a minute, the last answered after "
                << inMillis(lastAnsweredAt) << " ms, " << callCount << " calls\n";
    }
}

}  // namespace

int main(int argc, char** argv) {
  const std::map<std::string, void (*)()> cases{{"poll-intervals", pollIntervals},
                                                {"many-routers-at-once", manyRoutersAtOnce}};
  const auto found = argc == 2 ? cases.find(argv[1]) : cases.end();
  if (found == cases.end()) return 2;
  found->second();
}
