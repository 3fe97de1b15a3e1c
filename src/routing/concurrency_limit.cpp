#include "routing/concurrency_limit.h"

#include <algorithm>

namespace gulltrestle::routing {

namespace {

constexpr std::size_t kReportAges = 16;
constexpr std::size_t kReportedLoads = 32;

// A node's report gives way to the mean of all reports over this time.
constexpr double kReportLifetimeSeconds = 2;

// In flight to a node over all routers, at least: fewer don't measure a rate.
constexpr double kFewestInFlight = 6;
// What may stay longer has room for as many times the rate, but for three times the least at most: ten times
// the least is seconds of queue. Twice cost an overload 0.004 of its value, three times nothing.
constexpr double kMostStretchOfFewest = 3;
// Fewer answers are no rate of a node, fewer latencies no mean over nodes.
constexpr std::size_t kAnswersForRate = 4;
constexpr std::size_t kLatenciesForMean = 8;

}  // namespace

void ConcurrencyLimit::recordLoadReport(NodeState& node, const LoadReport& report) {
  if (!report.position || !report.inFlight) return;
  // Reports are about as old as the newest position among the last of them: one node or other keeps up.
  pushBounded(reportAges_, (state_.now - *report.position).inSeconds(), kReportAges);
  node.reportedInFlight = *report.inFlight;
  node.loadReportedAt =
      state_.now - Duration::seconds(*std::min_element(reportAges_.begin(), reportAges_.end()));
  pushBounded(reportedLoads_, {node.loadReportedAt, node.reportedInFlight}, kReportedLoads);
}

void ConcurrencyLimit::recordAnswer(NodeState& node, const InFlightAttempt& attempt) const {
  node.latestAnsweredSentAt = std::max(node.latestAnsweredSentAt, attempt.sentAt);
}

// Without at-most-once attempts that were overtaken long ago, where each attempt has a connection: what was
// sent long after them has been answered. Guards capacity against silent connections; may hurt where it is
// the work that takes long.
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

// At one of many routers its own attempts are next to nothing, so that reports count where they are more.
// With age a report turns into the mean of all: a node that has not been asked is not idle.
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

// Little's law: the node's rate of answers times the time that a transaction may spend there.
double ConcurrencyLimit::inFlightLimit(const NodeState& node, double stretch) const {
  const double fewest =
      std::max(1.0, kFewestInFlight / state_.config.routerCount) * std::min(stretch, kMostStretchOfFewest);
  if (node.latencyRatios.size() < kAnswersForRate) return fewest;
  const double answersPerSecond = static_cast<double>(node.latencyRatios.size()) /
                                  (state_.now - node.latencyRatios.front().at).inSeconds();
  return std::max(fewest, answersPerSecond * targetTimeAtNode().inSeconds() * stretch);
}

// The same law over all routers, where nodes report their load: the rate is the load over the time it takes.
// Guards against a node in more demand than others; may hurt when reports are late.
bool ConcurrencyLimit::isOverloaded(const NodeState& node) const {
  const Samples& latencies = latencies_.allLatencies();
  if (!state_.isOneOfManyRouters() || isOutdated(reportedLoads_, state_.now) ||
      latencies.size() < kLatenciesForMean)
    return false;
  const double meanLoad = mean(reportedLoads_);
  return load(node) > std::max({1.0, meanLoad, meanLoad / mean(latencies) * targetTimeAtNode().inSeconds()});
}

}  // namespace gulltrestle::routing
