#include "endpoint_leases/lease_duration.h"

#include <algorithm>

namespace gulltrestle::endpoint_leases {

namespace {

// The part of the grace that a grant may use. The other half is for what lies between the telling of a grant
// and the node: the answer's way to the proxy, its queue, and the first byte's way on. Guards the rule on
// drains where news of a drain crosses a grant; may hurt proxies that wait longer for a connection: they come
// again with nothing written.
constexpr double kGracePart = 0.5;

// Below this a grant is not worth telling: it would run out on its way.
constexpr Duration kLeastWorth = Duration::millis(5);

// Asked for when this part of the timeout is over: most questions have their answer long before, and what is
// left is ample for the message to arrive.
constexpr double kAskPart = 0.5;

// An answer leaves so long before the proxy stops waiting: a twentieth of its time, and 5 ms at least for a
// turn on either side.
constexpr double kAnswerPart = 0.05;
constexpr Duration kLeastAnswer = Duration::millis(5);

}  // namespace

// Guards against drains whose news is late: a list that said nothing for longer than its pulse may hold back
// a drain that counts as told `toldWithin` after it was due. From then on the grace is running, and a grant
// must be used before it can be over. May hurt while discovery is away for long: where the rule counts
// what was never told, nothing is granted in the end, and what is asked is refused.
Duration sendWithin(Instant now, Instant sendBy, const DrainRule& rule, const ListAge& list) {
  Duration within = std::min(rule.grace * kGracePart, sendBy - now);
  if (rule.toldWithin > Duration() && list.heardAt != Instant() && now - list.heardAt > list.pulse)
    within = std::min(within, list.heardAt + rule.toldWithin + rule.grace * kGracePart - now);
  return within < kLeastWorth ? Duration() : within;
}

HoldDeadlines holdDeadlines(Instant now, Duration patience, const MessageTime& time) {
  const auto before = [](Duration span) { return std::max(span * kAnswerPart, kLeastAnswer); };
  HoldDeadlines hold;
  hold.answerBy = now + std::min(patience, time.timeout - before(time.timeout));
  // No more than its client waits is asked for, and nothing if that gains nothing.
  const Duration asked = std::min(time.most, patience - time.timeout * kAskPart);
  if (patience <= time.timeout || time.timeout * kAskPart + asked <= time.timeout) return hold;
  hold.askAt = now + time.timeout * kAskPart;
  hold.ask = asked;
  hold.answerBy = hold.askAt + (asked - before(asked));
  return hold;
}

}  // namespace gulltrestle::endpoint_leases
