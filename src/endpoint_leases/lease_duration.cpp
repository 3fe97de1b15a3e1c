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

// Guards against drains that are announced late: a list that was silent for longer than its pulse may hold
// back a drain that counts as announced `toldWithin` after it was due. From then on the grace period is
// running, and a lease must be used before it can be over. May hurt while discovery is unavailable for long:
// where the rule counts what was never received, no lease is granted in the end, and requests are rejected.
Duration sendWithin(Instant now, Instant sendBy, const DrainRule& rule, const ListAge& list) {
  const Duration graceForLease = rule.grace * kGraceFraction;
  Duration within = std::min(graceForLease, sendBy - now);
  const bool isListOverdue = list.heardAt != Instant() && now - list.heardAt > list.pulse;
  if (rule.toldWithin > Duration() && isListOverdue)
    within = std::min(within, list.heardAt + rule.toldWithin + graceForLease - now);
  return within < kMinLease ? Duration() : within;
}

HoldDeadlines holdDeadlines(Instant now, Duration remainingTime, const MessageTime& time) {
  HoldDeadlines hold;
  hold.answerBy = now + std::min(remainingTime, time.timeout - answerMargin(time.timeout));
  // No extension exceeds what the client waits, and none is requested if it gains nothing.
  const Duration untilRequest = time.timeout * kExtensionRequestFraction;
  const Duration extension = std::min(time.most, remainingTime - untilRequest);
  if (remainingTime <= time.timeout || untilRequest + extension <= time.timeout) return hold;
  hold.askAt = now + untilRequest;
  hold.ask = extension;
  hold.answerBy = hold.askAt + (extension - answerMargin(extension));
  return hold;
}

}  // namespace gulltrestle::endpoint_leases
