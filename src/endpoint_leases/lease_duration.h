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
  Duration notifiedWithin;
};

// The age of the endpoint list.
struct EndpointListAge {
  Instant lastActivityAt;                               // when discovery last sent anything, an empty line
                                                        // included; never: it has sent nothing
  Duration keepaliveInterval = Duration::millis(2000);  // at which a watch sends something
};

// How long from `now` a lease is valid; zero: it would be useless and must not be granted. `sendBy`: by when
// the router wants the attempt sent.
Duration leaseDuration(Instant now, Instant sendBy, const DrainRule& rule, const EndpointListAge& list);

// How long a proxy waits for an answer to its message.
struct MessageTimeout {
  Duration timeout = Duration::millis(200);
  Duration maxExtension;  // how long it may be requested to wait instead, once; zero: it may not
};

// What to do while a proxy's request is held.
struct HoldDeadlines {
  Instant
      extensionRequestAt;  // when an extension is requested, unless it is answered by then; never: none is
  Duration extension;
  Instant answerBy;  // when it is answered in any case
};
// `remainingTime`: how long the client waits from `now`.
HoldDeadlines holdDeadlines(Instant now, Duration remainingTime, const MessageTimeout& message);

}  // namespace gulltrestle::endpoint_leases
