#include "endpoint_leases/lease_duration.h"

#include <algorithm>

namespace gulltrestle::endpoint_leases {

namespace {

// The fraction of the grace period that a lease may use. The other half is for what lies between granting it
// and the node: the answer's way to the proxy, its queue, and the first byte's way on. Guards the drain rule
// where the announcement of a drain crosses a lease; may hurt proxies that wait longer for a connection: they
// retry with nothing written.
constexpr double kGraceFraction = 0.5;

// A shorter lease is not worth granting: it would expire in transit.
constexpr Duration kMinLease = Duration::millis(5);

// An extension is requested after this fraction of the timeout: most requests are answered long before, and
// what is left is ample for the message to arrive.
constexpr double kExtensionRequestFraction = 0.5;

// An answer leaves this long before the proxy's timeout: a twentieth of it, and at least 5 ms for a turn on
// either side.
constexpr double kAnswerMarginFraction = 0.05;
constexpr Duration kMinAnswerMargin = Duration::millis(5);

Duration answerMargin(Duration timeout) {
  return std::max(timeout * kAnswerMarginFraction, kMinAnswerMargin);
}

}  // namespace

// Guards against drains that are announced late: a list that was silent for longer than its keepalive
// interval may hold back a drain that counts as announced `notifiedWithin` after it was due. From then on the
// grace period is running, and a lease must be used before it can be over. May hurt while discovery is
// unavailable for long: where the rule counts what was never received, no lease is granted in the end, and
// requests are rejected.
Duration leaseDuration(Instant now, Instant sendBy, const DrainRule& rule, const EndpointListAge& list) {
  const Duration graceForLease = rule.grace * kGraceFraction;
  Duration duration = std::min(graceForLease, sendBy - now);
  const bool isListOverdue =
      list.lastActivityAt != Instant() && now - list.lastActivityAt > list.keepaliveInterval;
  if (rule.notifiedWithin > Duration() && isListOverdue)
    duration = std::min(duration, list.lastActivityAt + rule.notifiedWithin + graceForLease - now);
  return duration < kMinLease ? Duration() : duration;
}

HoldDeadlines holdDeadlines(Instant now, Duration remainingTime, const MessageTimeout& message) {
  HoldDeadlines hold;
  hold.answerBy = now + std::min(remainingTime, message.timeout - answerMargin(message.timeout));
  // No extension exceeds what the client waits, and none is requested if it gains nothing.
  const Duration untilRequest = message.timeout * kExtensionRequestFraction;
  const Duration extension = std::min(message.maxExtension, remainingTime - untilRequest);
  if (remainingTime <= message.timeout || untilRequest + extension <= message.timeout) return hold;
  hold.extensionRequestAt = now + untilRequest;
  hold.extension = extension;
  hold.answerBy = hold.extensionRequestAt + (extension - answerMargin(extension));
  return hold;
}

}  // namespace gulltrestle::endpoint_leases
