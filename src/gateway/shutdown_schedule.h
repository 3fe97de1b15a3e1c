// The points in time of a graceful shutdown. The platform announces the end of a process with SIGTERM and may
// kill it some time later: what clients were not sent by then is lost. No I/O, no clock.
#pragma once

#include "routing/router.h"

namespace gulltrestle::gateway {

// The steps of a shutdown, in this order.
struct ShutdownSchedule {
  Instant stopAt;    // clients are accepted until then
  Instant answerBy;  // every request has its final answer by then, and its connection is closed
  Instant lingerBy;  // closed connections are kept until then for clients that have not read everything
};

// `now`: when the request to shut down was noticed. `requestedSince`: the earliest time at which it may have
// arrived; earlier than `now` if the process was stopped or busy.
ShutdownSchedule scheduleShutdown(Instant now, Instant requestedSince, const RoutingConfig& config);

}  // namespace gulltrestle::gateway
