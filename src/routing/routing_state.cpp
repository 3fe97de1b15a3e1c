#include "routing/routing_state.h"

#include <algorithm>
#include <utility>

namespace gulltrestle::routing {

namespace {

constexpr Duration kSampleLifetime = Duration::seconds(2);

// Used where no class is a bounded read, because sessions read soon after they write.
constexpr Duration kDefaultStalenessBound = Duration::seconds(2);

// One transaction in flight from each of a dozen routers is twice the minimum concurrency limit of a node
// (six over all routers, see concurrency_limit.cpp).
constexpr unsigned kManyRouters = 12;

// The shortest latency target for which pauses are specified.
constexpr Duration kReferenceLatencyTarget = Duration::millis(200);

}  // namespace

bool isOutdated(const Samples& samples, Instant now) {
  return samples.empty() || now - samples.back().at > kSampleLifetime;
}

const InFlightAttempt* NodeState::findInFlight(TxnId transaction, unsigned number) const {
  const auto found =
      std::find_if(inFlightAttempts.begin(), inFlightAttempts.end(), [&](const InFlightAttempt& attempt) {
        return attempt.transaction == transaction && attempt.number == number;
      });
  return found == inFlightAttempts.end() ? nullptr : &*found;
}

bool PendingTransaction::wasAttemptedAt(const NodeState& node) const {
  return std::find(attemptedNodes.begin(), attemptedNodes.end(), &node) != attemptedNodes.end();
}

RoutingState::RoutingState(RoutingConfig routingConfig, std::uint64_t seed)
    : config(std::move(routingConfig)), random(seed), shortestStalenessBound(kDefaultStalenessBound) {
  for (const TransactionClass& type : config.transactionClasses) {
    shortestLatencyTarget = shortestLatencyTarget == Duration()
                                ? type.latencyTarget
                                : std::min(shortestLatencyTarget, type.latencyTarget);
    if (type.level == ReadLevel::bounded)
      shortestStalenessBound = std::min(shortestStalenessBound, type.maxStaleness);
  }
}

GroupState& RoutingState::groupOf(GroupId id) {
  const auto found = groups.find(id);
  return found == groups.end() ? unlistedGroup_ : found->second;
}

const GroupState& RoutingState::groupOf(GroupId id) const {
  const auto found = groups.find(id);
  return found == groups.end() ? unlistedGroup_ : found->second;
}

const TransactionClass& RoutingState::classOf(const PendingTransaction& transaction) const {
  return config.transactionClasses[transaction.request.type];
}

Instant RoutingState::answerDue(Instant clientTimeoutAt) const {
  return std::min(clientTimeoutAt, shutdownAnswerBy.value_or(clientTimeoutAt));
}

bool RoutingState::isDraining(const NodeState& node) const {
  return config.onlyDrainingExcludes ? node.wasListedDraining : node.endpoint.health != Health::live;
}

bool RoutingState::isOneOfManyRouters() const { return config.routerCount > kManyRouters; }

Duration RoutingState::scaledPause(Duration pause) const {
  return pause * std::min(1.0, shortestLatencyTarget / kReferenceLatencyTarget);
}

Duration RoutingState::sharedPause(Duration pause) const {
  return scaledPause(pause) * std::max(1.0, config.routerCount / static_cast<double>(kManyRouters));
}

Instant RoutingState::presentPosition(GroupId group) const {
  return groupOf(group).positionClock.readingAt(now);
}

Instant RoutingState::requiredPosition(const PendingTransaction& transaction) const {
  const TransactionClass& type = classOf(transaction);
  // One round is reserved for the transit to the node.
  return type.level == ReadLevel::bounded
             ? presentPosition(transaction.request.group) - type.maxStaleness + config.roundInterval
             : transaction.requiredPosition;
}

}  // namespace gulltrestle::routing
