// How long an endpoint lease is valid, and how long a proxy's request may be held before the proxy's own
// timeout. No I/O, no clock.
//
// A lease can't be revoked: what is decided when it is granted holds for as long as it is valid. So it is
// short enough that a drain which is announced the moment after still finds nothing sent past its grace
// period.
#pragma once

#include "base/time.h"

namespace gulltrestle::endpoint_leases {

// What limits a lease, from the deployment's settings.
struct DrainRule {
  // Nothing new goes to a node later than this after its drain was announced here.
  Duration grace = Duration::millis(1000);
  // An endpoint list counts as received this long after it was due, whether it came or not; zero: only what
  // was received counts.
  Duration toldWithin;
};

// The age of the endpoint list. `heardAt`: when discovery last sent anything, an empty line included.
// `pulse`: the interval at which a watch sends something.
struct ListAge {
  Instant heardAt;
  Duration pulse = Duration::millis(2000);
};

// How long from `now` a lease is valid; zero or less: it is useless and must not be granted. `sendBy`: by
// when the router wants the attempt sent.
Duration sendWithin(Instant now, Instant sendBy, const DrainRule& rule, const ListAge& list);

// The time limits of a proxy's request: the proxy waits for `timeout`, which may be extended once, by `most`
// at the longest (zero: it may not).
struct MessageTime {
  Duration timeout = Duration::millis(200);
  Duration most;
};

// What to do while a proxy's request is held.
struct HoldDeadlines {
  Instant askAt;     // when an extension is requested, unless it is answered by then; never: none is
  Duration ask;      // the extension
  Instant answerBy;  // when it is answered in any case
};
// `remainingTime`: how long the client waits from `now`.
HoldDeadlines holdDeadlines(Instant now, Duration remainingTime, const MessageTime& time);

}  // namespace gulltrestle::endpoint_leases
