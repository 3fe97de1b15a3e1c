// How far service has recovered at this router since it started: recovery stages, admission ramp and
// observations of nodes. It is fed by the transaction table and by other routers, and is the transaction
// table's admission controller. A reducer: events in, effects out; the decisions stand in src/recovery.
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

// What one router reports to those that start.
struct ObservationReport {
  std::vector<recovery::Observation> nodes;
  bool hasRecovered = false;  // all groups admit everything there, and have for a while
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
  // `initialRatePerNode`: transactions a second that all routers together admit per node when the ramp
  // begins.
  RecoveryService(transactions::TransactionTable& transactions, const RoutingConfig& routing,
                  double initialRatePerNode, std::uint64_t seed, Log log);

  // --- From the transaction table
  std::optional<Duration> rejectsWithRetryAfter(GroupId group, std::size_t type) override;
  void onTransactionEnded(GroupId group, std::size_t type, const AdmittedResult& result) override;
  void onLoadReport(const NodeId& node, const LoadReport& report) override;
  void onNodeDisconnected(const NodeId& node) override { observations_.onDisconnected(node); }
  // The endpoint list, with the drains that are known here applied to it.
  void onEndpointList(EndpointUpdateKind kind, recovery::ListVersion version,
                      const std::vector<EndpointEntry*>& entries);

  // --- Other routers, and the store
  ObservationReport observations() const;
  void onObservations(const std::string& router, const ObservationReport& report);
  // Returns whether it was new: confirmed by a newer endpoint list than the primary that was known.
  bool onPrimaryUpdate(const PrimaryUpdate& update);
  // All primaries that are known here.
  std::vector<PrimaryUpdate> primaries() const;

  // An operator forces every group on to this stage at least; none: no longer.
  void force(std::optional<recovery::Stage> stage, const std::string& forcedBy);

  // Before the router's own turn ends. Returns the primaries that were confirmed, for the store and for other
  // routers. `isQuorumReached`: a majority of the voters is reachable.
  std::vector<PrimaryUpdate> endTurn(bool isQuorumReached);
  Instant nextDue() const { return stages_.nextDue(); }
  // The stage that all groups have reached, as its number; 0, closed, while there are no groups.
  unsigned progress() const;

  // --- For the status document
  std::vector<recovery::Observation> firstHand() const {
    return observations_.firstHand(transactions_.now());
  }
  // All groups admit everything, and the ramp does not hold its rate because nodes are overloaded.
  bool hasReturned() const {
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
  std::map<GroupId, recovery::Primary> knownPrimaries_;  // at most kMaxKnownPrimaries
  std::vector<std::pair<NodeId, LoadReport>>
      learntReports_;             // for the transaction table, once it has the list
  std::set<NodeId> listedNodes_;  // by the endpoint list
  Instant recoveredAt_;           // never: some group has not
  recovery::AdmissionRamp::State loggedRampState_ = recovery::AdmissionRamp::State::doubling;
  std::string forcedBy_;
};

}  // namespace gulltrestle::cluster
