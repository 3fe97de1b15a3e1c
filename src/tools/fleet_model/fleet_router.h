// The modelled routers, for the files of the fleet model alone.
#pragma once

#include <map>
#include <optional>

#include "recovery/admission_ramp.h"
#include "tools/fleet_model/fleet.h"

namespace gulltrestle::fleet_model {

// The length of a simulated step: the interval of routing rounds.
constexpr Duration kStep = Duration::millis(5);

// The routing settings of all routers.
RoutingConfig routingConfigOf(const FleetParameters& parameters);

// Draws an index with these weights.
inline std::size_t drawIndex(const std::vector<double>& weights, std::mt19937_64& random) {
  return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
}

// One router process: its transaction table, degradation controller and the requests of its clients.
struct Fleet::Router final : transactions::DownstreamHandler,
                             transactions::UpstreamTransport,
                             transactions::AdmissionController {
  Router(Fleet& ofFleet, std::size_t ofIndex, unsigned ofIncarnation)
      : fleet(ofFleet),
        index(ofIndex),
        incarnation(ofIncarnation),
        routing(routingConfigOf(ofFleet.parameters_)),
        levels({}, ofFleet.parameters_.seed + ofIndex),
        transactions(routing, ofFleet.parameters_.seed * 1000 + ofIndex, 1 << 20, [] {}) {
    transactions.addTransport(*this);
    if (ofFleet.parameters_.loadShedding == LoadShedding::byLevels)
      transactions.enableDegradation(levels, degradation::defaultAdmissionTable(routing.transactionClasses),
                                     [this](const degradation::Change&) { ++levelChanges; });
    if (!ofFleet.parameters_.hasAdmissionRamp) return;
    const recovery::AdmissionRampConfig rampConfig{.routers = routing.routerCount,
                                                   .initialRatePerNode = recovery::kInitialRatePerNode,
                                                   .maxRetryAfter = routing.maxRetryAfter,
                                                   .seed = ofFleet.parameters_.seed * 1000 + ofIndex};
    ramp.emplace(ofFleet.now_, rampConfig);
    ramp->setNodeCount(ofFleet.nodes_.nodes().size());
    transactions.setAdmissionController(this);
  }

  void committed(transactions::OwnerId owner, const transactions::ResultValue&) override {
    fleet.onAnswer(*this, owner, true, false, {});
  }
  void rejected(transactions::OwnerId owner, Duration retryAfter, unsigned level) override {
    if (level > 0) fleet.judgeRejection(openRequests.at(owner).request);
    fleet.onAnswer(*this, owner, false, true, retryAfter);
  }
  void rolledBack(transactions::OwnerId owner) override { fleet.onAnswer(*this, owner, false, false, {}); }
  void startAttempt(transactions::AttemptId attempt, const NodeId& node) override {
    fleet.executeAttempt(*this, attempt, node);
  }
  void cancelAttempt(transactions::AttemptId attempt, const NodeId& node) override {
    transactions.onAttemptEnded(attempt, node, AttemptOutcome::cancelled);
  }
  void onEndpointList(const std::vector<NodeId>&) override {}
  void forgetNode(const NodeId&) override {}
  std::optional<Duration> rejectsWithRetryAfter(GroupId, std::size_t) override {
    return ramp->rejectsWithRetryAfter(fleet.now_);
  }
  void onTransactionEnded(GroupId, std::size_t, const AdmittedResult& result) override {
    ramp->onTransactionEnded(
        fleet.now_,
        {.isForwarded = result.wasSent, .isInTime = result.isCommitted && result.latencyTargetFraction <= 1});
  }
  void onLoadReport(const NodeId&, const LoadReport&) override {}
  void onNodeDisconnected(const NodeId&) override {}

  struct OpenRequest {
    ClientRequest request;
    Instant submittedAt;
    Instant mustReflect;  // when its session had committed last
    TxnId txn;
  };
  // Names this incarnation at the nodes, for its connections.
  std::uint64_t connectionKey() const { return index * 1'000'000 + incarnation; }

  Fleet& fleet;
  std::size_t index;
  unsigned incarnation;
  RoutingConfig routing;
  degradation::DegradationController levels;
  transactions::TransactionTable transactions;
  std::optional<recovery::AdmissionRamp> ramp;
  Instant due;          // of its next turn, if nothing happens
  bool isDirty = true;  // something has happened since its last turn
  unsigned levelChanges = 0;
  std::map<transactions::OwnerId, OpenRequest> openRequests;
  std::map<TxnId, transactions::OwnerId> owners;
  std::map<TxnId, unsigned> executions;  // of at-most-once transactions
  transactions::OwnerId lastOwner = 0;
};

}  // namespace gulltrestle::fleet_model
