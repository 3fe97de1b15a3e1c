// The configuration of a cluster of routers: read, validated key by key, and given defaults.
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

// What the fleet's settings file says. All routers of a cluster have the same voters.
struct ClusterConfig {
  struct VoterAddress {
    std::string name;
    config::Address address;
  };
  std::vector<VoterAddress> voters;                // in the order of their names
  std::vector<idempotency::VoterList> voterLists;  // the former ones, the oldest first, and the present one
  std::set<std::string> routers;                   // all members, voters included
  std::string storeFolder;                         // of this router's store; empty: it is no voter
  idempotency::VotingMemberLimits votingMember;
  idempotency::ClaimCoordinatorLimits coordinator;
  // To this voter; by default twice as many as there are routers, for connections that linger.
  std::size_t maxConnections = 0;

  // --- Recovery
  // Transactions a second that all routers together admit per node after a start.
  double initialRatePerNode = recovery::kInitialRatePerNode;
  std::string statusFile;  // empty: no status document is written
  Duration statusInterval = Duration::millis(1000);
  std::optional<recovery::Stage> forcedStage;  // by the operator who is named
  std::string forcedBy;

  // --- Maintenance
  maintenance::Bounds maintenance;
  Duration proposalTimeout = Duration::millis(2000);  // well below the retention time
  std::string requestFolder;  // where operators put requests; empty: none are taken here
  std::string announceFile;   // of excluded nodes, for whoever feeds discovery; empty: none is written

  // The number of the present voter list and its names: the same on both ends of a stream.
  std::string voterListText() const;
};

// `name`: this router's; `longestDeadline`: of a transaction that runs at most once. Throws
// config::ConfigError, which names the key. A key that is not known is a fault, too.
ClusterConfig readClusterConfig(std::string_view text, const std::string& name, Duration longestDeadline);
ClusterConfig readClusterConfigFile(const std::string& path, const std::string& name,
                                    Duration longestDeadline);

}  // namespace gulltrestle::cluster
