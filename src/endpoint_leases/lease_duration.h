// Computes how long an endpoint lease is valid, and how long a proxy's request may be held before the proxy's
// own timeout. No I/O, no clock.
//
// A lease can't be revoked: the decision made when it is granted applies for as long as it is valid. The
// lease is therefore short enough that, if a drain is announced right after it was granted, nothing is sent
// past the drain's grace period, and if the node reports then that it is not primary, no read that needs the
// primary is sent once that report counts as known.
#pragma once

#include "base/time.h"

namespace gulltrestle::endpoint_leases {

// The limits on a lease, from the deployment's settings.
struct DrainRule {
  // No new attempt may be sent to a node later than this after its drain was announced to this router.
  Duration grace = Duration::millis(1000);
  // An endpoint list counts as received this long after it was due, whether it arrived or not. Zero: only
  // lists that were received count.
  Duration notificationBound;
};

// The age of the endpoint list.
struct EndpointListAge {
  Instant lastActivityAt;                               // when discovery last sent anything, including an
                                                        // empty line; Instant(): nothing yet
  Duration keepaliveInterval = Duration::millis(2000);  // interval at which a watch sends data
};

// Whether a lease is for a read that the node may answer only while it is primary.
enum class RoleRequirement { none, primaryForRead };

// Returns how long from `now` a lease is valid; zero if it would be useless and must not be granted.
// `sendBy`: the time by which the router requires the attempt to be sent.
Duration leaseDuration(Instant now, Instant sendBy, RoleRequirement role, const DrainRule& rule,
                       const EndpointListAge& list);

// How long a proxy waits for an answer to its message.
struct MessageTimeout {
  Duration timeout = Duration::millis(200);
  // The longest wait that an extension may request in place of the timeout, once; zero: no extension.
  Duration maxExtension;
};

// The deadlines while a proxy's request is held.
struct DecisionDeadlines {
  Instant extensionRequestAt;  // when an extension is requested, unless answered by then; Instant(): none
  Duration extension;
  Instant answerBy;  // when the request is answered in any case
};
// `remainingTime`: how long the client waits from `now`.
DecisionDeadlines decisionDeadlines(Instant now, Duration remainingTime, const MessageTimeout& message);

}  // namespace gulltrestle::endpoint_leases
