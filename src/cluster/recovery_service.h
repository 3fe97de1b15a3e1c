// Tracks how far service has recovered since this router started: recovery stages, admission ramp and
// observations of nodes. It receives events from the transaction table and from other routers, and is the
// transaction table's admission controller. It is a reducer: it maps events to effects. The decisions are
// made in src/recovery.
#pragma once

#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "recovery/admission_ramp.h"
#include "recovery/peer_observations.h"
#include "recovery/recovery_stages.h"
#include "transactions/admission_controller.h"
#include "transactions/transaction_table.h"

namespace gulltrestle::cluster {

// Observations that a router reports to routers that are starting.
struct ObservationReport {
  std::vector<recovery::Observation> nodes;
  bool hasRecovered = false;  // all groups of that router have admitted everything for some time
};

// The confirmed primary of a group.
struct PrimaryUpdate {
  GroupId group = 0;
  recovery::Primary primary;
};

// Owned by the claim dispatcher, which delivers other routers' messages and calls endTurn().
class RecoveryService final : public transactions::AdmissionController {
 public:
  using Log = std::function<void(std::string_view event, const std::string& fields)>;
  // `initialRatePerNode`: transactions per second that all routers together admit per node when the ramp
  // starts.
  RecoveryService(transactions::TransactionTable& transactions, const RoutingConfig& routing,
                  double initialRatePerNode, std::uint64_t seed, Log log);

  // --- From the transaction table
  std::optional<Duration> retryAfterIfRejected(GroupId group, std::size_t type) override;
  void onTransactionEnded(GroupId group, std::size_t type, const AdmittedResult& result) override;
  void onLoadReport(const NodeId& node, const LoadReport& report) override;
  void onNodeDisconnected(const NodeId& node) override { observations_.onDisconnected(node); }
  // Handles an endpoint list to which the drains that this router knows have been applied.
  void onEndpointList(EndpointUpdateKind kind, recovery::ListVersion version,
                      const std::vector<EndpointEntry*>& entries);

  // --- Other routers, and the store
  // This router's own observations.
  ObservationReport observations() const;
  void onObservations(const std::string& router, const ObservationReport& report);
  // Returns whether the update was new: confirmed by a newer endpoint list than the known primary.
  bool onPrimaryUpdate(const PrimaryUpdate& update);
  // All known primaries.
  std::vector<PrimaryUpdate> primaries() const;

  // Forces every group to this stage or a later one, by order of an operator; none: no stage is forced.
  void force(std::optional<recovery::Stage> stage, const std::string& forcedBy);

  // Called before the router's own turn ends. Returns newly confirmed primaries, for the store and for other
  // routers. `isQuorumReached`: a majority of the voters is reachable.
  std::vector<PrimaryUpdate> endTurn(bool isQuorumReached);
  Instant nextDue() const { return stages_.nextDue(); }
  // The number of the stage that all groups have reached; 0 (closed) while there are no groups.
  unsigned progress() const;

  // --- For the status document
  std::vector<recovery::Observation> ownObservations() const {
    return observations_.ownObservations(transactions_.now());
  }
  // All groups admit everything, and the admission ramp does not hold its rate because of overloaded nodes.
  bool isFullyRecovered() const {
    return stages_.isFinished() && ramp_.state() != recovery::AdmissionRamp::State::steady;
  }
  const recovery::RecoveryStages& stages() const { return stages_; }
  const recovery::AdmissionRamp& ramp() const { return ramp_; }
  const std::map<GroupId, recovery::Primary>& knownPrimaries() const { return knownPrimaries_; }
  const std::string& forcedBy() const { return forcedBy_; }

 private:
  void logStageTransitions(const std::vector<recovery::StageTransition>& transitions);
  std::vector<PrimaryUpdate> recordConfirmedPrimaries();
  void logProgress(Instant now);

  transactions::TransactionTable& transactions_;
  Log log_;
  recovery::PeerObservations observations_;
  recovery::RecoveryStages stages_;
  recovery::AdmissionRamp ramp_;
  Duration stageRetryAfter_;
  std::mt19937_64 random_;
  std::map<GroupId, recovery::Primary> knownPrimaries_;  // by group; at most kMaxKnownPrimaries
  // For the transaction table. Passed on by endTurn(), when the table has the endpoint list.
  std::vector<std::pair<NodeId, LoadReport>> pendingLoadReports_;
  std::set<NodeId> listedNodes_;  // on the endpoint list
  Instant recoveredAt_;           // never: some group has not recovered
  recovery::AdmissionRamp::State loggedRampState_ = recovery::AdmissionRamp::State::doubling;
  std::string forcedBy_;
};

}  // namespace gulltrestle::cluster
