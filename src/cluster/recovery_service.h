// How far service has returned at this router since it started: stages, ramp and sightings, told what the
// ledger and the other routers tell, asked by the ledger as its door. A reducer: events in, effects out; the
// decisions stand in src/recovery.
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

// Of one router, as it tells those that start.
struct ObservationReport {
  std::vector<recovery::Observation> nodes;
  bool serves = false;  // all groups let all in there, and have for a while
};

struct PrimaryUpdate {
  GroupId group = 0;
  recovery::Primary primary;
};

class RecoveryService final : public transactions::AdmissionController {
 public:
  using Log = std::function<void(std::string_view event, const std::string& fields)>;
  // `firstTxns`: a second and node, over all routers, that the ramp begins with.
  RecoveryService(transactions::TransactionTable& ledger, const RoutingConfig& terms, double firstTxns,
                  std::uint64_t seed, Log log);

  // --- The ledger
  std::optional<Duration> rejectsWithRetryAfter(GroupId group, std::size_t type) override;
  void onTransactionEnded(GroupId group, std::size_t type, const AdmittedResult& how) override;
  void onLoadReport(const NodeId& node, const LoadReport& said) override;
  void onNodeDisconnected(const NodeId& node) override { sightings_.disconnected(node); }
  // As the drains that bind have changed it.
  void listed(EndpointUpdateKind kind, recovery::ListVersion version,
              const std::vector<EndpointEntry*>& entries);

  // --- Others, and the disk
  ObservationReport seen() const;
  void told(const std::string& by, const ObservationReport& seen);
  // Returns whether it was news: of a list newer than that of what was known.
  bool knew(const PrimaryUpdate& news);
  // All primaries that are known here.
  std::vector<PrimaryUpdate> primaries() const;

  // By an operator: every group goes on to this stage at least. None: no more.
  void force(std::optional<recovery::Stage> stage, const std::string& by);

  // Ahead of the module's round. Returns primaries that were confirmed, for the disk and for others.
  std::vector<PrimaryUpdate> endTurn(bool keepersReached);
  Instant nextDue() const { return stages_.due(); }
  // The stage that all groups have reached, counted from 0: shut.
  unsigned progress() const;

  // --- For the status document
  std::vector<recovery::Observation> firstHand() const { return sightings_.firstHand(ledger_.now()); }
  // All groups let all in, and nodes are not overloaded as far as the ramp knows.
  bool hasReturned() const {
    return stages_.isFinished() && ramp_.state() != recovery::AdmissionRamp::State::steady;
  }
  const recovery::RecoveryStages& stages() const { return stages_; }
  const recovery::AdmissionRamp& ramp() const { return ramp_; }
  const std::map<GroupId, recovery::Primary>& known() const { return known_; }
  const std::string& forcedBy() const { return forcedBy_; }

 private:
  transactions::TransactionTable& ledger_;
  Log log_;
  recovery::PeerObservations sightings_;
  recovery::RecoveryStages stages_;
  recovery::AdmissionRamp ramp_;
  Duration back_;
  std::mt19937_64 chance_;
  std::map<GroupId, recovery::Primary> known_;         // bounded by the groups that lists name
  std::vector<std::pair<NodeId, LoadReport>> learnt_;  // for the module, once it has the list
  std::set<NodeId> nodes_;                             // those that the list names
  Instant doneAt_;                                     // never: some group waits
  recovery::AdmissionRamp::State rampLogged_ = recovery::AdmissionRamp::State::opening;
  std::string forcedBy_;
};

}  // namespace gulltrestle::cluster
