// Reads the configuration of a cluster of routers: validates each key and fills in defaults.
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

// The contents of the cluster's configuration file. All routers of a cluster have the same voters.
struct ClusterConfig {
  struct VoterAddress {
    std::string name;
    config::Address address;
  };
  std::vector<VoterAddress> voters;                // sorted by name
  std::vector<idempotency::VoterList> voterLists;  // former lists, oldest first, then the current one
  std::set<std::string> routers;                   // all members, voters included
  std::string storeFolder;                         // of this router's store; empty: it is not a voter
  idempotency::VotingMemberLimits votingMember;
  idempotency::ClaimCoordinatorLimits coordinator;
  // Maximum number of connections to this voter. The default is twice the number of routers, since an old
  // connection may linger beside its successor.
  std::size_t maxConnections = 0;
  // Not in the file: bytes of incomplete messages that all connections together may buffer.
  std::size_t maxIncompleteBytes = 8 * 1024 * 1024;

  // --- Recovery
  // Transactions per second that all routers together admit per node after a start.
  double initialRatePerNode = recovery::kInitialRatePerNode;
  std::string statusFile;  // empty: no status document is written
  Duration statusInterval = Duration::millis(1000);
  std::optional<recovery::Stage> forcedStage;  // recovery is at this stage at least; none: not forced
  std::string forcedBy;                        // name of the operator who forced the stage

  // --- Maintenance
  maintenance::MaintenanceLimits maintenance;
  Duration proposalTimeout = Duration::millis(2000);  // well below the retention time
  std::string requestFolder;  // where operators put requests; empty: this router accepts none
  std::string announceFile;   // excluded nodes, for the system that feeds discovery; empty: not written

  // The number of the current voter list and its names. Both ends of a stream must have the same text.
  std::string voterListText() const;
};

// `name`: name of this router; `longestDeadline`: the longest deadline of an at-most-once transaction. Throw
// config::ConfigError, which names the key, if a value is invalid or a key is unknown.
ClusterConfig readClusterConfig(std::string_view text, const std::string& name, Duration longestDeadline);
ClusterConfig readClusterConfigFile(const std::string& path, const std::string& name,
                                    Duration longestDeadline);

}  // namespace gulltrestle::cluster
