#include "routing/latency_statistics.h"

#include <algorithm>

namespace gulltrestle::routing {

namespace {

// How many samples are kept: few enough to follow a change within a second or so under load.
constexpr std::size_t kLatenciesPerClass = 32;
constexpr std::size_t kLatenciesOfAllClasses = 64;
constexpr std::size_t kRatiosPerNode = 16;
constexpr std::size_t kRatiosPerKind = 64;
constexpr std::size_t kPressuresPerGroup = 16;

// Of the latency target: the guess before there is any sample.
constexpr double kUnmeasuredLatencyFraction = 0.2;
// Keeps divisions by the usual latency in bounds.
constexpr Duration kShortestUsualLatency = Duration::millis(1);

// Service times spread widely, so that less than six times the usual says nothing.
constexpr double kSilenceFactor = 6;
// A few quick answers must not make short delays look like silence.
constexpr Duration kShortestSilence = Duration::millis(200);

// A node may have next to no answers of its own: so many of its kind are counted in.
constexpr double kRatiosOfKindCountedIn = 4;
// A lower bound, as the ratio divides the weight of a node.
constexpr double kLowestLatencyRatio = 0.1;

// Fewer latencies than this are no median.
constexpr std::size_t kFewestPressures = 3;

}  // namespace

LatencyStatistics::LatencyStatistics(RoutingState& state)
    : state_(state), latencies_(state.config.transactionClasses.size()) {}

void LatencyStatistics::startRound() { usualLatency_.assign(latencies_.size(), Duration()); }

void LatencyStatistics::recordLatency(std::size_t transactionClass, Duration latency) {
  Samples& ofClass = latencies_[transactionClass];
  if (isOutdated(ofClass, state_.now)) ofClass.clear();
  pushBounded(ofClass, {state_.now, latency.inSeconds()}, kLatenciesPerClass);
  usualLatency_[transactionClass] = Duration();
  pushBounded(allLatencies_, {state_.now, latency.inSeconds()}, kLatenciesOfAllClasses);
}

void LatencyStatistics::recordAnswer(NodeState& node, std::size_t transactionClass, Duration latency) {
  const Sample ratio{state_.now, latency / usualLatency(transactionClass)};
  pushBounded(node.latencyRatios, ratio, kRatiosPerNode);
  pushBounded(ratiosByKind_[node.endpoint.kind], ratio, kRatiosPerKind);
}

void LatencyStatistics::recordPressure(const NodeState& node, double latencyTargetFraction) {
  GroupState& group = state_.groupOf(node.endpoint.group);
  Samples& fractions = node.lastKnownPrimaryAt > node.lastKnownReplicaAt ? group.primaryLatencyPressure
                                                                         : group.replicaLatencyPressure;
  pushBounded(fractions, {state_.now, latencyTargetFraction}, kPressuresPerGroup);
}

Duration LatencyStatistics::usualLatency(std::size_t transactionClass) const {
  const Samples& ofClass = latencies_[transactionClass];
  if (ofClass.empty())
    return state_.config.transactionClasses[transactionClass].latencyTarget * kUnmeasuredLatencyFraction;
  Duration& usual = usualLatency_[transactionClass];
  if (usual == Duration())
    usual = std::max(
        Duration::seconds(quantile(ofClass, isOutdated(ofClass, state_.now) ? kLowerQuartile : kMedian)),
        kShortestUsualLatency);
  return usual;
}

Duration LatencyStatistics::silenceTimeout(std::size_t transactionClass) const {
  return std::max(usualLatency(transactionClass) * kSilenceFactor, state_.scaledPause(kShortestSilence));
}

double LatencyStatistics::probabilityWithin(std::size_t transactionClass, Duration available) const {
  if (available <= Duration()) return 0;
  const Samples& ofClass = latencies_[transactionClass];
  if (isOutdated(ofClass, state_.now)) return 1;
  const auto inTime = std::count_if(ofClass.begin(), ofClass.end(), [&](const Sample& latency) {
    return latency.value <= available.inSeconds();
  });
  // One more that was in time: a few slow answers leave some probability.
  return static_cast<double>(inTime + 1) / static_cast<double>(ofClass.size() + 1);
}

double LatencyStatistics::smoothedLatencyRatio(const NodeState& node) const {
  const Samples& ofKind = ratiosByKind_.at(node.endpoint.kind);
  const double usualOfKind = ofKind.empty() ? 1 : mean(ofKind);
  return std::max((sum(node.latencyRatios) + kRatiosOfKindCountedIn * usualOfKind) /
                      (static_cast<double>(node.latencyRatios.size()) + kRatiosOfKindCountedIn),
                  kLowestLatencyRatio);
}

double LatencyStatistics::latencyPressure(const Samples& fractions) const {
  const bool isKnown = state_.isOneOfManyRouters() && fractions.size() >= kFewestPressures &&
                       !isOutdated(fractions, state_.now);
  return isKnown ? quantile(fractions, kMedian) : 0;
}

void LatencyStatistics::retainKinds(const std::set<KindId>& kinds) {
  std::erase_if(ratiosByKind_, [&](const auto& kind) { return !kinds.contains(kind.first); });
}

}  // namespace gulltrestle::routing
