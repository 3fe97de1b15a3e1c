// The maintenance leader's view of the fleet: the state of each node and router as observed by its own
// router, and the limits that maintenance has to respect. Plain values: no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace gulltrestle::maintenance {

// A node whose last load report is older than this is not considered to be serving.
constexpr Duration kServingTimeout = Duration::millis(5000);
// Interval between requests for load reports from nodes of groups with maintenance.
constexpr Duration kReportInterval = Duration::millis(1000);

// One database node.
struct NodeState {
  std::uint64_t group = 0;
  std::string zone;
  bool isLive = false;      // according to the endpoint list
  bool isServing = false;   // live, and its last load report is newer than kServingTimeout
  bool isPrimary = false;   // from its own load report, or from the endpoint list while it sends none
  Duration replicationLag;  // relative to the newest known log position of its group
};

// One router, as seen by the voters' failure detectors.
struct RouterState {
  bool isAlive = false;     // a majority of the voters receives its heartbeats
  bool isSilent = false;    // a majority of the voters does not, so it holds no lease
  bool wasRemoved = false;  // an operator removed it from the member list; its process has ended
  bool isVoter = false;
  std::uint64_t incarnation = 0;  // incarnation that has joined
  // From its own heartbeats: the plan version that it applies, and the version up to which it has no attempt
  // in flight to excluded nodes.
  std::uint64_t planVersion = 0, drainedVersion = 0;
};

// All nodes of the endpoint list, and all routers, including those that were removed.
struct FleetState {
  std::map<std::string, NodeState> nodes;
  std::map<std::string, RouterState> routers;
  bool isDegraded = false;  // a degradation level is active, or recovery has not finished
};

// Time after a router has lost its lease during which one of its attempts may still be in flight: the longest
// deadline of a transaction class plus the age of the last heartbeat reply. Replies arrive once per second,
// and a stream is closed after three seconds without a reply to a heartbeat.
constexpr Duration fenceDurationFor(Duration longestDeadline) {
  return longestDeadline + Duration::millis(5'000);
}

// Limits and timeouts of maintenance, from the configuration.
struct MaintenanceLimits {
  unsigned maxNodesOutPerGroup = 1;                     // unavailable at a time, for any reason
  unsigned maxMachinesInProgress = 2;                   // at a time, all in the same zone
  unsigned maxRoutersOut = 1;                           // unavailable at a time, for any reason
  Duration announceTimeout = Duration::millis(60'000);  // in Phase::next, until the attempt is abandoned
  Duration drainTimeout = Duration::millis(120'000);    // in Phase::draining, likewise
  Duration returnTimeout = Duration::millis(300'000);   // in Phase::returning, likewise
  // Time that a returned machine has to serve before it counts as finished.
  Duration warmUpDuration = Duration::millis(10'000);
  Duration maxReplicationLag = Duration::millis(1000);  // of a node that counts as serving again
  bool notifiesDiscovery = false;  // a machine is released only once the endpoint list shows it as draining
  unsigned maxAttempts = 3;        // abandoned attempts until the machine is finished without success
  Duration retryDelay = Duration::millis(30'000);  // after an abandoned attempt
  Duration fenceDuration = fenceDurationFor(Duration::millis(5'000));
};

}  // namespace gulltrestle::maintenance
