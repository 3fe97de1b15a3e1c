#include "routing/retry_policy.h"

#include <algorithm>
#include <cmath>

namespace gulltrestle::routing {

namespace {

constexpr std::size_t kAbandoned = 256;
// A client that comes back does so within this time.
constexpr Duration kReturnsWithin = Duration::seconds(1);

// First tries of all classes are given up after one fraction of the deadline. A client's timeout is common if
// one in six of the last ones was the same but for 1%; the rule holds while one in four was common.
constexpr std::size_t kClientTimeouts = 64;
constexpr std::size_t kFewestClientTimeouts = 16;
constexpr double kSameTimeout = 0.01;
constexpr int kCommonOneIn = 6;
constexpr int kRuleHoldsOneIn = 4;

// What is sent at worse odds than a fifth is mostly wasted.
constexpr double kHopelessBelow = 0.2;

// A repeat gets older on its way: so many rounds of the deduplication window are left for it.
constexpr double kResendReserveRounds = 2;

}  // namespace

// A later try has what the deadline leaves, which dates it. May hurt the few clients whose timeout is their
// own.
bool RetryPolicy::isLaterTry(const Transaction& transaction) {
  const double fraction =
      transaction.remainingTime / state_.config.transactionClasses[transaction.type].deadline;
  const auto same = std::count_if(
      clientTimeouts_.begin(), clientTimeouts_.end(),
      [&](const ClientTimeout& other) { return std::abs(other.deadlineFraction - fraction) < kSameTimeout; });
  const bool isCommon = same * kCommonOneIn >= std::ssize(clientTimeouts_);
  pushBounded(clientTimeouts_, {fraction, isCommon}, kClientTimeouts);
  const auto common = std::count_if(clientTimeouts_.begin(), clientTimeouts_.end(),
                                    [](const ClientTimeout& other) { return other.isCommon; });
  return !isCommon && clientTimeouts_.size() >= kFewestClientTimeouts &&
         common * kRuleHoldsOneIn >= std::ssize(clientTimeouts_);
}

// The latency target runs from the first try; tries that come when it is past earn nothing, and crowd out
// others in an overload. A session that asks for the same soon after it was abandoned comes back, unless the
// first try has expired: then it asks anew.
Duration RetryPolicy::timeInEarlierTries(const Transaction& transaction) {
  const Duration deadline = state_.config.transactionClasses[transaction.type].deadline;
  const auto earlier =
      std::find_if(abandoned_.rbegin(), abandoned_.rend(), [&](const AbandonedTransaction& other) {
        return transaction.session == other.session && transaction.type == other.transactionClass &&
               state_.now - other.abandonedAt < kReturnsWithin && state_.now - other.firstTryAt < deadline;
      });
  if (earlier != abandoned_.rend()) {
    const Duration waited = state_.now - earlier->firstTryAt;
    abandoned_.erase(std::next(earlier).base());
    return waited;
  }
  return isLaterTry(transaction) ? deadline - transaction.remainingTime : Duration();
}

void RetryPolicy::recordAbandoned(const PendingTransaction& transaction) {
  const Transaction& request = transaction.request;
  if (request.session && !transaction.erringNode)
    pushBounded(abandoned_, {*request.session, request.type, transaction.firstTryAt, state_.now}, kAbandoned);
}

// A repeat is known for a window from the first send on.
Instant RetryPolicy::resendBy(const PendingTransaction& transaction) const {
  return transaction.mayHaveRunAt + state_.classOf(transaction).deduplicationWindow -
         state_.config.roundInterval * kResendReserveRounds;
}

bool RetryPolicy::maySend(const PendingTransaction& transaction) const {
  const Effect effect = state_.classOf(transaction).effect;
  const bool isSafe = transaction.mayHaveRunAt == Instant() || effect == Effect::idempotent ||
                      (effect == Effect::deduplicated && state_.now < resendBy(transaction));
  const unsigned earlier = transaction.request.priorAttempts.attempts;
  const unsigned localLimit = transaction.request.maxLocalAttempts;
  return isSafe && transaction.attempts + earlier < state_.config.maxAttempts &&
         (localLimit == 0 || transaction.attempts < localLimit);
}

bool RetryPolicy::isHopeless(const PendingTransaction& transaction) const {
  return !maySend(transaction) || expectedValueFraction(transaction) < kHopelessBelow;
}

double RetryPolicy::expectedValueFraction(const PendingTransaction& transaction) const {
  const std::size_t type = transaction.request.type;
  const double inTime = latencies_.probabilityWithin(type, transaction.latencyTargetAt - state_.now);
  const double late = latencies_.probabilityWithin(type, transaction.answerBy - state_.now) - inTime;
  return inTime + std::max(0.0, late) * state_.classOf(transaction).lateValueFraction;
}

bool RetryPolicy::mayHedge(const PendingTransaction& transaction) const {
  return transaction.attemptsInFlight == 1 && transaction.attempts == 1 && state_.config.hedgingAllowed &&
         !state_.groupOf(transaction.request.group).degradation.limitsBackgroundWork &&
         state_.classOf(transaction).effect == Effect::idempotent && !isHopeless(transaction);
}

Instant RetryPolicy::hedgeAt(const PendingTransaction& transaction) const {
  return transaction.lastSentAt + latencies_.silenceTimeout(transaction.request.type);
}

Instant RetryPolicy::sendBy(const PendingTransaction& transaction, const NodeState& node) const {
  const TransactionClass& type = state_.classOf(transaction);
  Instant latest = transaction.answerBy;
  // A bounded read may wait for a connection, but not until what its replica has falls out of the bound.
  if (type.level == ReadLevel::bounded && node.appliedPosition >= state_.requiredPosition(transaction))
    latest = std::min(latest, node.appliedPosition + type.maxStaleness);
  // Nor may a repeat, once its first is forgotten.
  if (type.effect == Effect::deduplicated && transaction.mayHaveRunAt != Instant())
    latest = std::min(latest, resendBy(transaction));
  return latest;
}

bool RetryPolicy::isSafeToReject(const PendingTransaction& transaction) const {
  const TransactionClass& type = state_.classOf(transaction);
  const bool isRepeatDropped = type.effect == Effect::deduplicated && type.deduplicatesAcrossGroups;
  return type.effect == Effect::idempotent || transaction.hasRunNowhere() || isRepeatDropped;
}

}  // namespace gulltrestle::routing
