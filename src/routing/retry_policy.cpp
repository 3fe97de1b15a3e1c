#include "routing/retry_policy.h"

#include <algorithm>
#include <cmath>

namespace gulltrestle::routing {

namespace {

constexpr std::size_t kMaxAbandoned = 256;
// A client that retries an abandoned transaction does so within this time.
constexpr Duration kClientRetryWindow = Duration::seconds(1);

// For first requests of all classes, the client timeout is the same fraction of the deadline. A client
// timeout is common if one in six of the last ones differs from it by less than 1% of the deadline; the rule
// is applied while one in four of them is common.
constexpr std::size_t kMaxClientTimeouts = 64;
constexpr std::size_t kMinClientTimeouts = 16;
constexpr double kTimeoutTolerance = 0.01;
constexpr std::size_t kMaxTimeoutsPerConnection = 8;
constexpr int kCommonTimeoutOneIn = 6;
constexpr int kRuleAppliesOneIn = 4;

// A transaction that is expected to yield less than a fifth of its value is mostly wasted work.
constexpr double kMinExpectedValueFraction = 0.2;

// Rounds reserved at the end of the deduplication window for the time that a retry is in transit.
constexpr double kResendReserveRounds = 2;

}  // namespace

// One connection has fewer of the timeouts than make one common. Prevents a client that sends at full speed
// from making its own timeout the only common one, by which all others look like retries.
void RetryPolicy::recordClientTimeout(const ClientTimeout& timeout) {
  const auto isOfSameConnection = [&](const ClientTimeout& other) {
    return timeout.connection != 0 && other.connection == timeout.connection;
  };
  const auto recorded = std::count_if(clientTimeouts_.begin(), clientTimeouts_.end(), isOfSameConnection);
  if (static_cast<std::size_t>(recorded) >= kMaxTimeoutsPerConnection)
    clientTimeouts_.erase(std::find_if(clientTimeouts_.begin(), clientTimeouts_.end(), isOfSameConnection));
  pushBounded(clientTimeouts_, timeout, kMaxClientTimeouts);
}

// A client's retry has the rest of the deadline as its remaining time, which tells when the first request was
// sent. Trade-off: misjudges the few clients that have a timeout of their own.
bool RetryPolicy::isClientRetry(const Transaction& transaction) {
  const double fraction =
      transaction.remainingTime / state_.config.transactionClasses[transaction.type].deadline;
  const auto same =
      std::count_if(clientTimeouts_.begin(), clientTimeouts_.end(), [&](const ClientTimeout& other) {
        return std::abs(other.deadlineFraction - fraction) < kTimeoutTolerance;
      });
  const bool isCommon = same * kCommonTimeoutOneIn >= std::ssize(clientTimeouts_);
  recordClientTimeout({fraction, isCommon, transaction.connection});
  const auto common = std::count_if(clientTimeouts_.begin(), clientTimeouts_.end(),
                                    [](const ClientTimeout& other) { return other.isCommon; });
  return !isCommon && clientTimeouts_.size() >= kMinClientTimeouts &&
         common * kRuleAppliesOneIn >= std::ssize(clientTimeouts_);
}

// The latency target is measured from the client's first request; retries after it yield nothing, and
// displace other transactions in an overload. A request of the same session and class soon after an abandoned
// one is treated as its retry, unless the deadline of the first request has passed: then it is a new
// transaction.
Duration RetryPolicy::estimateEarlierWait(const Transaction& transaction) {
  const Duration deadline = state_.config.transactionClasses[transaction.type].deadline;
  const auto earlier =
      std::find_if(abandoned_.rbegin(), abandoned_.rend(), [&](const AbandonedTransaction& other) {
        return transaction.session == other.session && transaction.type == other.transactionClass &&
               state_.now - other.abandonedAt < kClientRetryWindow &&
               state_.now - other.firstRequestAt < deadline;
      });
  if (earlier != abandoned_.rend()) {
    const Duration waited = state_.now - earlier->firstRequestAt;
    abandoned_.erase(std::next(earlier).base());
    return waited;
  }
  return isClientRetry(transaction) ? deadline - transaction.remainingTime : Duration();
}

void RetryPolicy::recordAbandoned(const PendingTransaction& transaction) {
  const Transaction& request = transaction.request;
  if (request.session && !transaction.erringNode)
    pushBounded(abandoned_, {*request.session, request.type, transaction.firstRequestAt, state_.now},
                kMaxAbandoned);
}

// Nodes recognise a duplicate for one deduplication window, measured from the time the first attempt was
// sent.
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
  return !maySend(transaction) || expectedValueFraction(transaction) < kMinExpectedValueFraction;
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
  // A bounded read may wait for a connection only while the data of its replica is within the staleness
  // bound.
  if (type.level == ReadLevel::bounded && node.appliedPosition >= state_.requiredPosition(transaction))
    latest = std::min(latest, state_.groupOf(transaction.request.group)
                                  .positionClock.timeOf(node.appliedPosition + type.maxStaleness));
  // A retry may wait only within the deduplication window of the first attempt.
  if (type.effect == Effect::deduplicated && transaction.mayHaveRunAt != Instant())
    latest = std::min(latest, resendBy(transaction));
  return latest;
}

bool RetryPolicy::isSafeToReject(const PendingTransaction& transaction) const {
  const TransactionClass& type = state_.classOf(transaction);
  const bool isRetryDeduplicated = type.effect == Effect::deduplicated && type.deduplicatesAcrossGroups;
  return type.effect == Effect::idempotent || transaction.hasNotRun() || isRetryDeduplicated;
}

}  // namespace gulltrestle::routing
