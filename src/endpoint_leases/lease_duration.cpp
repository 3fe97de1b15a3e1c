#include "endpoint_leases/lease_duration.h"

#include <algorithm>

namespace gulltrestle::endpoint_leases {

namespace {

// The fraction that a lease may use of a drain's grace period, and of the time until a reported role counts
// as known. The other half covers the delays between granting the lease and the node: the answer's transit to
// the proxy, the proxy's queue, and the transit of the first byte to the node. Prevents new attempts at a
// draining node after its grace period if the announcement of a drain and a lease cross in transit.
// Trade-off: proxies that wait longer for a connection must retry, with nothing written.
constexpr double kGraceFraction = 0.5;

// A role that a node reports counts as known this long after the report was written.
constexpr Duration kRoleReportDelay = Duration::millis(100);

// A shorter lease is not granted because it would expire in transit.
constexpr Duration kMinLease = Duration::millis(5);

// An extension is requested after this fraction of the timeout: most requests are answered long before, and
// the rest is ample time for the message to arrive.
constexpr double kExtensionRequestFraction = 0.5;

// An answer is sent this long before the proxy's timeout: a twentieth of the timeout, and at least 5 ms, to
// allow for one turn on either side.
constexpr double kAnswerMarginFraction = 0.05;
constexpr Duration kMinAnswerMargin = Duration::millis(5);

Duration answerMargin(Duration timeout) {
  return std::max(timeout * kAnswerMarginFraction, kMinAnswerMargin);
}

}  // namespace

// Handles drains that are announced late: if discovery was silent for longer than its keepalive interval, a
// drain may be pending that counts as announced `notificationBound` after it was due. The grace period runs
// from then on, and a lease must be used before that period can end. Trade-off: during a long outage of
// discovery, if the rule counts lists that were never received, no lease is granted eventually and requests
// are rejected.
Duration leaseDuration(Instant now, Instant sendBy, RoleRequirement role, const DrainRule& rule,
                       const EndpointListAge& list) {
  const Duration graceForLease = rule.grace * kGraceFraction;
  Duration duration = std::min(graceForLease, sendBy - now);
  // Prevents reads of old data at a former primary. Trade-off: proxies that wait longer for a connection must
  // request another lease for such a read.
  if (role == RoleRequirement::primaryForRead)
    duration = std::min(duration, kRoleReportDelay * kGraceFraction);
  const bool isListOverdue =
      list.lastActivityAt != Instant() && now - list.lastActivityAt > list.keepaliveInterval;
  if (rule.notificationBound > Duration() && isListOverdue)
    duration = std::min(duration, list.lastActivityAt + rule.notificationBound + graceForLease - now);
  return duration < kMinLease ? Duration() : duration;
}

DecisionDeadlines decisionDeadlines(Instant now, Duration remainingTime, const MessageTimeout& message) {
  DecisionDeadlines deadlines;
  deadlines.answerBy = now + std::min(remainingTime, message.timeout - answerMargin(message.timeout));
  // An extension never exceeds the time that the client waits, and none is requested if it gains nothing.
  const Duration untilRequest = message.timeout * kExtensionRequestFraction;
  const Duration extension = std::min(message.maxExtension, remainingTime - untilRequest);
  if (remainingTime <= message.timeout || untilRequest + extension <= message.timeout) return deadlines;
  deadlines.extensionRequestAt = now + untilRequest;
  deadlines.extension = extension;
  deadlines.answerBy = deadlines.extensionRequestAt + (extension - answerMargin(extension));
  return deadlines;
}

}  // namespace gulltrestle::endpoint_leases
