// When discovery is called. Run as `calls CASE`: prints the times chosen, and what a fleet of such callers
// brings about.
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "discovery/poll_schedule.h"

using namespace gulltrestle;
using discovery::PollSchedule;

namespace {

std::int64_t inMillis(Duration span) { return span.inMicros() / 1000; }

void times() {
  for (const bool asked : {false, true})
    for (const int grace : {2000, 1000, 500, 250, 0}) {
      PollSchedule one(asked, Duration::millis(grace), 7);
      std::cout << (asked ? "asked for" : "pushed") << ", grace " << grace << ": an answer is waited for "
                << inMillis(one.silence(false, false)) << ", its rest " << inMillis(one.silence(false, true))
                << ", a watch's first word " << inMillis(one.silence(true, false)) << ", its next "
                << inMillis(one.silence(true, true)) << "; pauses";
      for (int i = 0; i < 6; ++i) std::cout << " " << inMillis(one.pause());
      one.answered();
      std::cout << ", after an answer " << inMillis(one.pause()) << "\n";
    }
}

// One service for all, which refuses every call while more than a tenth of the routers have called within the
// last quarter of a second, be they refused or not. All start in one moment and stay once they are answered.
void herd() {
  for (const bool asked : {false, true})
    for (const int routers : {30, 340}) {
      std::vector<PollSchedule> all;
      std::priority_queue<std::pair<Duration, int>, std::vector<std::pair<Duration, int>>, std::greater<>>
          due;
      for (int i = 0; i < routers; ++i) {
        all.emplace_back(asked, Duration::seconds(1), static_cast<std::uint64_t>(i));
        due.push({Duration::micros(i), i});
      }
      std::deque<Duration> lately;
      Duration last;
      long called = 0;
      while (!due.empty() && due.top().first < Duration::seconds(60)) {
        const auto [now, i] = due.top();
        due.pop();
        ++called;
        lately.push_back(now);
        while (now - lately.front() > Duration::millis(250)) lately.pop_front();
        if (std::ssize(lately) * 10 > routers)
          due.push({now + all[static_cast<std::size_t>(i)].pause(), i});
        else
          last = now;
      }
      std::cout << (asked ? "asked for" : "pushed") << ", " << routers << " routers: " << due.size()
                << " without a list after a minute, the last answered after " << inMillis(last) << " ms, "
                << called << " calls\n";
    }
}

}  // namespace

int main(int count, char** words) {
  const std::map<std::string, void (*)()> cases{{"times", times}, {"herd", herd}};
  const auto found = count == 2 ? cases.find(words[1]) : cases.end();
  if (found == cases.end()) return 2;
  found->second();
}
