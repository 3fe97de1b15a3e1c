#include "routing/slow_start.h"

#include <algorithm>

namespace gulltrestle::routing {

namespace {

constexpr std::size_t kMaxArrivals = 64;
// Minimum number of arrivals to compute the share of a node.
constexpr std::size_t kMinArrivals = 8;
// Lower bound, as all arrivals of one round have the same time.
constexpr Duration kMinArrivalSpan = Duration::millis(1);

}  // namespace

void SlowStart::recordArrival(std::size_t transactionClass) {
  pushBounded(arrivals_, {state_.now, latencies_.usualLatency(transactionClass).inSeconds()}, kMaxArrivals);
}

double SlowStart::warmUpFraction(const NodeState& node) const {
  const Instant startedAt = node.endpoint.startedAt;
  const Duration window = state_.config.slowStartWindow;
  if (startedAt == Instant() || state_.now - startedAt >= window) return 1;
  const double initial = state_.config.slowStartFraction;
  return initial + (1 - initial) * std::max(0.0, (state_.now - startedAt) / window);
}

// The node receives its warm-up fraction of the share that each node would have if this router spread all
// recent arrivals evenly. Summed over all routers, however unequal their shares, this is far below the
// capacity of the node.
Duration SlowStart::pauseBetweenSends(const NodeState& node, std::size_t transactionClass) const {
  const Duration span = std::max(state_.now - arrivals_.front().at, kMinArrivalSpan);
  const double serviceTimeShare =
      sum(arrivals_) * warmUpFraction(node) / static_cast<double>(state_.nodes.size());
  return span * (latencies_.usualLatency(transactionClass).inSeconds() / serviceTimeShare);
}

// Delays the first transaction after a start by a random fraction of the pause, as all routers learn of the
// start at the same time. Prevents the overload of nodes that start, be it one or a whole group. Trade-off:
// leaves capacity unused where nodes warm up early.
bool SlowStart::hasCapacity(NodeState& node, std::size_t transactionClass) {
  if (warmUpFraction(node) >= 1) return true;
  if (arrivals_.size() < kMinArrivals) return false;
  if (node.nextSlowStartSendAt < node.endpoint.startedAt)
    node.nextSlowStartSendAt =
        state_.now + pauseBetweenSends(node, transactionClass) * state_.random.fraction();
  return state_.now >= node.nextSlowStartSendAt;
}

void SlowStart::recordSent(NodeState& node, std::size_t transactionClass) {
  if (warmUpFraction(node) < 1)
    node.nextSlowStartSendAt = state_.now + pauseBetweenSends(node, transactionClass);
}

}  // namespace gulltrestle::routing
