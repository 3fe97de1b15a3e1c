#include "gateway/shutdown_schedule.h"

#include <algorithm>

namespace gulltrestle::gateway {

namespace {

// For this long after the request, the router continues as before: the load balancer still sends new clients
// for up to 0.4 s, and the rest is for data in transit.
constexpr Duration kGracePeriod = Duration::millis(500);

// The platform kills the process no earlier than the longest deadline of a transaction class, limited to
// kMaxAwaitedDeadline, plus kKillDelay after the request.
constexpr Duration kMaxAwaitedDeadline = Duration::seconds(3);
constexpr Duration kKillDelay = Duration::millis(700);

// Reserved before the process may be killed: for answers that are late because the process is busy, and for
// clients that read them late.
constexpr Duration kAnswerReserve = Duration::millis(200);
constexpr Duration kLingerReserve = Duration::millis(100);

}  // namespace

ShutdownSchedule scheduleShutdown(Instant now, Instant requestedSince, const RoutingConfig& config) {
  const Instant earliestKill =
      requestedSince + std::min(config.longestDeadline(), kMaxAwaitedDeadline) + kKillDelay;
  ShutdownSchedule schedule;
  schedule.answerBy = earliestKill - kAnswerReserve;
  schedule.lingerBy = earliestKill - kLingerReserve;
  schedule.stopAt = std::min(now + kGracePeriod, schedule.answerBy);
  return schedule;
}

}  // namespace gulltrestle::gateway
