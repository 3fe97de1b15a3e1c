#include "routing/slow_start.h"

#include <algorithm>

namespace gulltrestle::routing {

namespace {

constexpr std::size_t kArrivals = 64;
// Fewer arrivals don't tell a share.
constexpr std::size_t kFewestArrivals = 8;
// Arrivals of one round have no time between them.
constexpr Duration kShortestArrivalSpan = Duration::millis(1);

}  // namespace

void SlowStart::recordArrival(std::size_t transactionClass) {
  pushBounded(arrivals_, {state_.now, latencies_.usualLatency(transactionClass).inSeconds()}, kArrivals);
}

double SlowStart::warmUpFraction(const NodeState& node) const {
  const Instant startedAt = node.endpoint.startedAt;
  const Duration window = state_.config.slowStartWindow;
  if (startedAt == Instant() || state_.now - startedAt >= window) return 1;
  const double initial = state_.config.slowStartFraction;
  return initial + (1 - initial) * std::max(0.0, (state_.now - startedAt) / window);
}

// The node gets its warm fraction of what this router would send each if all recent arrivals were spread
// evenly. Over all routers, however unequal their shares, that is far from too much.
Duration SlowStart::pauseBetweenSends(const NodeState& node, std::size_t transactionClass) const {
  const Duration span = std::max(state_.now - arrivals_.front().at, kShortestArrivalSpan);
  const double workOfNode = sum(arrivals_) * warmUpFraction(node) / static_cast<double>(state_.nodes.size());
  return span * (latencies_.usualLatency(transactionClass).inSeconds() / workOfNode);
}

// The first send after a start waits for a random part of the pause, as all routers hear of a start at once.
// Guards what starts, one node or a whole group; may hurt where nodes warm up early.
bool SlowStart::hasCapacity(NodeState& node, std::size_t transactionClass) {
  if (warmUpFraction(node) >= 1) return true;
  if (arrivals_.size() < kFewestArrivals) return false;
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
