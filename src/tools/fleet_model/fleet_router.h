// Simulated router processes. Internal to the fleet model.
#pragma once

#include <map>
#include <optional>

#include "recovery/admission_ramp.h"
#include "tools/fleet_model/fleet.h"

namespace gulltrestle::fleet_model {

// Duration of a simulation step, which is also the interval of routing rounds.
constexpr Duration kStep = Duration::millis(5);

// Returns the routing configuration, which is the same for all routers.
RoutingConfig routingConfigOf(const FleetParameters& parameters);

// Returns a random index, with probabilities in proportion to the weights.
inline std::size_t drawIndex(const std::vector<double>& weights, std::mt19937_64& random) {
  return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
}

// One router process: its transaction table, degradation controller and admission ramp, and the open requests
// of its clients.
struct Fleet::Router final : transactions::DownstreamHandler,
                             transactions::UpstreamTransport,
                             transactions::AdmissionController {
  Router(Fleet& owningFleet, std::size_t routerIndex, unsigned routerIncarnation)
      : fleet(owningFleet),
        index(routerIndex),
        incarnation(routerIncarnation),
        routing(routingConfigOf(owningFleet.parameters_)),
        levels({}, owningFleet.parameters_.seed + routerIndex),
        transactions(routing, owningFleet.parameters_.seed * 1000 + routerIndex, 1 << 20, [] {}) {
    transactions.addTransport(*this);
    if (owningFleet.parameters_.loadShedding == LoadShedding::byLevels)
      transactions.enableDegradation(levels, degradation::defaultAdmissionTable(routing.transactionClasses),
                                     [this](const degradation::Change&) { ++levelChanges; });
    if (!owningFleet.parameters_.hasAdmissionRamp) return;
    const recovery::AdmissionRampConfig rampConfig{.routers = routing.routerCount,
                                                   .initialRatePerNode = recovery::kInitialRatePerNode,
                                                   .maxRetryAfter = routing.maxRetryAfter,
                                                   .seed = owningFleet.parameters_.seed * 1000 + routerIndex};
    ramp.emplace(owningFleet.now_, rampConfig);
    ramp->setNodeCount(owningFleet.nodes_.nodes().size());
    transactions.setAdmissionController(this);
  }

  void onTransactionCommitted(transactions::OwnerId owner, const transactions::ResultValue&) override {
    fleet.onAnswer(*this, owner, true, false, {});
  }
  void onTransactionRejected(transactions::OwnerId owner, Duration retryAfter, unsigned level) override {
    if (level > 0) fleet.classifyRejection(openRequests.at(owner).request);
    fleet.onAnswer(*this, owner, false, true, retryAfter);
  }
  void onTransactionRolledBack(transactions::OwnerId owner) override {
    fleet.onAnswer(*this, owner, false, false, {});
  }
  void startAttempt(transactions::AttemptId attempt, const NodeId& node) override {
    fleet.executeAttempt(*this, attempt, node);
  }
  void cancelAttempt(transactions::AttemptId attempt, const NodeId& node) override {
    transactions.onAttemptEnded(attempt, node, AttemptOutcome::cancelled);
  }
  void onEndpointList(const std::vector<NodeId>&) override {}
  void forgetNode(const NodeId&) override {}
  std::optional<Duration> retryAfterIfRejected(GroupId, std::size_t) override {
    return ramp->retryAfterIfRejected(fleet.now_);
  }
  void onTransactionEnded(GroupId, std::size_t, const AdmittedResult& result) override {
    ramp->onTransactionEnded(
        fleet.now_,
        {.isForwarded = result.wasSent, .isInTime = result.isCommitted && result.latencyTargetFraction <= 1});
  }
  void onLoadReport(const NodeId&, const LoadReport&) override {}
  void onNodeDisconnected(const NodeId&) override {}

  // A submitted request without a final answer.
  struct OpenRequest {
    ClientRequest request;
    Instant submittedAt;
    Instant requiredPosition;  // time of the last commit of its session before it was submitted
    TxnId txn;
  };
  // Identifies the connections of this incarnation at the nodes.
  std::uint64_t connectionKey() const { return index * 1'000'000 + incarnation; }

  Fleet& fleet;
  std::size_t index;
  unsigned incarnation;
  RoutingConfig routing;
  degradation::DegradationController levels;
  transactions::TransactionTable transactions;
  std::optional<recovery::AdmissionRamp> ramp;
  Instant due;          // time of its next turn, if no event occurs before
  bool isDirty = true;  // an event has occurred since its last turn
  unsigned levelChanges = 0;
  std::map<transactions::OwnerId, OpenRequest> openRequests;
  std::map<TxnId, transactions::OwnerId> owners;
  std::map<TxnId, unsigned> executions;  // number of executions of each at-most-once transaction
  transactions::OwnerId lastOwner = 0;
};

}  // namespace gulltrestle::fleet_model
