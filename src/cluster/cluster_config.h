// The configuration of what several routers settle among themselves: read, checked key by key, and given
// defaults.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "config/router_config.h"
#include "idempotency/claim_coordinator.h"
#include "idempotency/voting_member.h"
#include "maintenance/fleet_state.h"
#include "recovery/admission_ramp.h"
#include "recovery/recovery_stages.h"

namespace gulltrestle::cluster {

struct ClusterConfig {
  struct VoterAddress {
    std::string name;
    config::Address address;
  };
  std::vector<VoterAddress> voters;           // in the order of their names
  std::vector<idempotency::VoterList> lists;  // all that there were of keepers, the present one last
  std::set<std::string> routers;              // all that belong, keepers included
  std::string folder;                         // of this router's store; empty: it is no keeper
  idempotency::VotingMemberLimits votingMember;
  idempotency::ClaimCoordinatorLimits coordinator;
  std::size_t mostConnections =
      0;  // to this keeper; by default twice as many as there are routers, for what lingers

  double firstTxns =
      recovery::AdmissionRamp::kInitialRatePerNode;  // a second and node, over all routers, after a start
  std::string statusFile;                            // empty: none is written
  Duration statusEvery = Duration::millis(1000);
  std::optional<recovery::Stage> forced;  // by an operator, whose name is said
  std::string forcedBy;

  // --- Work on machines
  maintenance::Bounds work;
  Duration mostRound = Duration::millis(2000);  // well below retention
  std::string workFolder;    // operators' requests are put there; empty: none are taken here
  std::string announceFile;  // nodes that are out, for whoever feeds discovery; empty: none

  // All keepers, as both ends of a stream must have them.
  std::string list() const;
};

// `name`: of this router; `longest`: that a client waits for a txn that may run only once. Throws
// config::BadKey, which names the key. Keys that are not known are faults, too.
ClusterConfig readClusterConfig(std::string_view text, const std::string& name, Duration longest);
ClusterConfig readClusterConfigFile(const std::string& path, const std::string& name, Duration longest);

}  // namespace gulltrestle::cluster
