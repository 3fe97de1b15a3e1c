#include "routing/latency_statistics.h"

#include <algorithm>

namespace gulltrestle::routing {

namespace {

// Maximum numbers of samples, small enough to follow a change within about a second under load.
constexpr std::size_t kMaxLatenciesPerClass = 32;
constexpr std::size_t kMaxLatenciesOfAllClasses = 64;
constexpr std::size_t kMaxRatiosPerNode = 16;
constexpr std::size_t kMaxRatiosPerKind = 64;
constexpr std::size_t kMaxPressuresPerGroup = 16;

// Fraction of the latency target that is assumed as the usual latency before the first sample.
constexpr double kUnmeasuredLatencyFraction = 0.2;
// Bounds the results of divisions by the usual latency.
constexpr Duration kMinUsualLatency = Duration::millis(1);

// Service times vary widely, so that silence for less than six times the usual latency indicates no fault.
constexpr double kSilenceTimeoutFactor = 6;
// Prevents short delays from counting as silence after a few fast answers.
constexpr Duration kMinSilenceTimeout = Duration::millis(200);

// Number of samples by which the mean of the machine kind is weighted, as a node may have few samples of its
// own.
constexpr double kKindRatioWeight = 4;
// Lower bound, as the weight of a node is divided by the ratio.
constexpr double kMinLatencyRatio = 0.1;

// Minimum number of samples for a median.
constexpr std::size_t kMinPressures = 3;

}  // namespace

LatencyStatistics::LatencyStatistics(RoutingState& state)
    : state_(state), latencies_(state.config.transactionClasses.size()) {}

void LatencyStatistics::startRound() { usualLatency_.assign(latencies_.size(), Duration()); }

void LatencyStatistics::recordLatency(std::size_t transactionClass, Duration latency) {
  Samples& ofClass = latencies_[transactionClass];
  if (isOutdated(ofClass, state_.now)) ofClass.clear();
  pushBounded(ofClass, {state_.now, latency.inSeconds()}, kMaxLatenciesPerClass);
  usualLatency_[transactionClass] = Duration();
  pushBounded(allLatencies_, {state_.now, latency.inSeconds()}, kMaxLatenciesOfAllClasses);
}

void LatencyStatistics::recordAnswer(NodeState& node, std::size_t transactionClass, Duration latency) {
  const Sample ratio{state_.now, latency / usualLatency(transactionClass)};
  pushBounded(node.latencyRatios, ratio, kMaxRatiosPerNode);
  pushBounded(ratiosByKind_[node.endpoint.kind], ratio, kMaxRatiosPerKind);
}

void LatencyStatistics::recordPressure(const NodeState& node, double latencyTargetFraction) {
  GroupState& group = state_.groupOf(node.endpoint.group);
  Samples& fractions = node.isKnownPrimary() ? group.primaryLatencyPressure : group.replicaLatencyPressure;
  pushBounded(fractions, {state_.now, latencyTargetFraction}, kMaxPressuresPerGroup);
}

Duration LatencyStatistics::usualLatency(std::size_t transactionClass) const {
  const Samples& ofClass = latencies_[transactionClass];
  if (ofClass.empty())
    return state_.config.transactionClasses[transactionClass].latencyTarget * kUnmeasuredLatencyFraction;
  Duration& usual = usualLatency_[transactionClass];
  if (usual == Duration())
    usual = std::max(
        Duration::seconds(quantile(ofClass, isOutdated(ofClass, state_.now) ? kLowerQuartile : kMedian)),
        kMinUsualLatency);
  return usual;
}

Duration LatencyStatistics::silenceTimeout(std::size_t transactionClass) const {
  return std::max(usualLatency(transactionClass) * kSilenceTimeoutFactor,
                  state_.scaledPause(kMinSilenceTimeout));
}

double LatencyStatistics::probabilityWithin(std::size_t transactionClass, Duration available) const {
  if (available <= Duration()) return 0;
  const Samples& ofClass = latencies_[transactionClass];
  if (isOutdated(ofClass, state_.now)) return 1;
  const auto inTime = std::count_if(ofClass.begin(), ofClass.end(), [&](const Sample& latency) {
    return latency.value <= available.inSeconds();
  });
  // Counts one additional answer in time, so that a few slow answers leave some probability.
  return static_cast<double>(inTime + 1) / static_cast<double>(ofClass.size() + 1);
}

double LatencyStatistics::smoothedLatencyRatio(const NodeState& node) const {
  const Samples& ofKind = ratiosByKind_.at(node.endpoint.kind);
  const double usualOfKind = ofKind.empty() ? 1 : mean(ofKind);
  return std::max((sum(node.latencyRatios) + kKindRatioWeight * usualOfKind) /
                      (static_cast<double>(node.latencyRatios.size()) + kKindRatioWeight),
                  kMinLatencyRatio);
}

double LatencyStatistics::latencyPressure(const Samples& fractions) const {
  const bool isKnown =
      state_.isOneOfManyRouters() && fractions.size() >= kMinPressures && !isOutdated(fractions, state_.now);
  return isKnown ? quantile(fractions, kMedian) : 0;
}

void LatencyStatistics::retainKinds(const std::set<KindId>& kinds) {
  std::erase_if(ratiosByKind_, [&](const auto& kind) { return !kinds.contains(kind.first); });
}

}  // namespace gulltrestle::routing
