#include "routing/concurrency_limit.h"

#include <algorithm>

namespace gulltrestle::routing {

namespace {

constexpr std::size_t kMaxReportAges = 16;
constexpr std::size_t kMaxReportedLoads = 32;

// Over this time the weight of a node's last load report falls to 0 in favour of the mean of all load
// reports.
constexpr double kReportLifetimeSeconds = 2;

// Minimum of the concurrency limit of a node, summed over all routers: fewer transactions in flight are too
// few to measure a response rate.
constexpr double kMinInFlight = 6;
// A transaction that may stay longer scales the rate-based limit by its whole stretch, but the minimum limit
// only up to this factor: ten times the minimum is a queue of several seconds. In an overload a factor of two
// cost 0.004 of the value, a factor of three cost nothing.
constexpr double kMaxStretchOfMinimum = 3;
// Minimum number of samples for the response rate of a node and for the mean latency over all nodes.
constexpr std::size_t kMinAnswersForRate = 4;
constexpr std::size_t kMinLatenciesForMean = 8;

}  // namespace

void ConcurrencyLimit::recordLoadReport(NodeState& node, const LoadReport& report) {
  if (!report.position || !report.inFlight) return;
  // The smallest lag among the last load reports approximates the age of a report, as at least one node keeps
  // up with replication.
  const Duration age = state_.presentPosition(node.endpoint.group) - *report.position;
  pushBounded(reportAges_, age.inSeconds(), kMaxReportAges);
  node.reportedInFlight = *report.inFlight;
  node.loadReportedAt =
      state_.now - Duration::seconds(*std::min_element(reportAges_.begin(), reportAges_.end()));
  pushBounded(reportedLoads_, {node.loadReportedAt, node.reportedInFlight}, kMaxReportedLoads);
}

void ConcurrencyLimit::recordAnswer(NodeState& node, const InFlightAttempt& attempt) const {
  node.latestAnsweredSentAt = std::max(node.latestAnsweredSentAt, attempt.sentAt);
}

// Where each attempt has its own connection, excludes at-most-once attempts that were overtaken long ago: the
// node has answered attempts that were sent long after them. Prevents silent connections from using up the
// node's capacity. Trade-off: may overload the node when the transaction itself takes long.
double ConcurrencyLimit::ownInFlight(const NodeState& node) const {
  const auto counts = [&](const InFlightAttempt& attempt) {
    const Effect effect = state_.config.transactionClasses[attempt.transactionClass].effect;
    const bool mayBeSilent = state_.config.connectionPerAttempt && effect == Effect::atMostOnce;
    return !mayBeSilent ||
           node.latestAnsweredSentAt - attempt.sentAt <= latencies_.silenceTimeout(attempt.transactionClass);
  };
  return static_cast<double>(
      std::count_if(node.inFlightAttempts.begin(), node.inFlightAttempts.end(), counts));
}

// The attempts of one router among many are a negligible part of a node's load, so the reported load counts
// where it is higher. An ageing load report is blended into the mean of all reports, because a node that has
// not reported recently is not necessarily idle.
double ConcurrencyLimit::load(const NodeState& node) const {
  const double meanLoad = isOutdated(reportedLoads_, state_.now) ? 0 : mean(reportedLoads_);
  const double freshness =
      std::max(0.0, 1 - (state_.now - node.loadReportedAt).inSeconds() / kReportLifetimeSeconds);
  return std::max(meanLoad + (node.reportedInFlight - meanLoad) * freshness, ownInFlight(node));
}

Duration ConcurrencyLimit::targetTimeAtNode() const {
  return state_.shortestLatencyTarget * kNodeTimeFraction;
}

bool ConcurrencyLimit::isAtLimit(const NodeState& node, double stretch) const {
  return ownInFlight(node) >= inFlightLimit(node, stretch);
}

// Little's law: the response rate of the node times the time that a transaction may spend there.
double ConcurrencyLimit::inFlightLimit(const NodeState& node, double stretch) const {
  const double minimum =
      std::max(1.0, kMinInFlight / state_.config.routerCount) * std::min(stretch, kMaxStretchOfMinimum);
  if (node.latencyRatios.size() < kMinAnswersForRate) return minimum;
  const double answersPerSecond = static_cast<double>(node.latencyRatios.size()) /
                                  (state_.now - node.latencyRatios.front().at).inSeconds();
  return std::max(minimum, answersPerSecond * targetTimeAtNode().inSeconds() * stretch);
}

// Applies Little's law over all routers, where nodes report their load: the rate is the load divided by the
// latency. Prevents the overload of a node that is in higher demand than others. Trade-off: may reject a node
// with free capacity when load reports are late.
bool ConcurrencyLimit::isOverloaded(const NodeState& node) const {
  const Samples& latencies = latencies_.allLatencies();
  if (!state_.isOneOfManyRouters() || isOutdated(reportedLoads_, state_.now) ||
      latencies.size() < kMinLatenciesForMean)
    return false;
  const double meanLoad = mean(reportedLoads_);
  return load(node) > std::max({1.0, meanLoad, meanLoad / mean(latencies) * targetTimeAtNode().inSeconds()});
}

}  // namespace gulltrestle::routing
