// What the maintenance leader knows of the fleet: the state of each node and router as its own router
// observes them, and the limits that maintenance has to keep to. Plain values: no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace gulltrestle::maintenance {

// A node whose last load report is older than this does not count as serving.
constexpr Duration kServingTimeout = Duration::millis(5000);
// How often load reports are requested from nodes of groups with maintenance.
constexpr Duration kReportInterval = Duration::millis(1000);

// One database node.
struct NodeState {
  std::uint64_t group = 0;
  std::string zone;
  bool isLive = false;      // by the endpoint list
  bool isServing = false;   // live, and it has reported within kServingTimeout
  bool isPrimary = false;   // by its own load report, or by the endpoint list while it sends none
  Duration replicationLag;  // behind the newest position that its group is known to have reached
};

// One router, as the voters' failure detectors see it.
struct RouterState {
  bool isAlive = false;     // a majority of the voters receives its heartbeats
  bool isSilent = false;    // a majority does not: it holds no lease
  bool wasRemoved = false;  // an operator removed it from the member list: its process has ended
  bool isVoter = false;
  std::uint64_t incarnation = 0;  // the one that has joined
  // By its own heartbeats: the plan version that it obeys, and the version up to which it has no attempt in
  // flight at excluded nodes.
  std::uint64_t planVersion = 0, drainedVersion = 0;
};

// All nodes of the endpoint list, and all routers: members, and those that were removed.
struct FleetState {
  std::map<std::string, NodeState> nodes;
  std::map<std::string, RouterState> routers;
  bool isDegraded = false;  // a degradation level is in force, or recovery has not finished
};

// How long after a router lost its lease an attempt of it may still be in flight: the longest deadline of a
// transaction class, and the age of the last heartbeat reply. Replies come once a second, and a stream that
// answers no heartbeat ends after three.
constexpr Duration fenceDurationFor(Duration longestDeadline) {
  return longestDeadline + Duration::millis(5'000);
}

// Limits and timeouts of maintenance, from the configuration.
struct Bounds {
  unsigned maxNodesOutPerGroup = 1;                     // unavailable at a time, for whatever reason
  unsigned maxMachinesInProgress = 2;                   // at a time, all in one zone
  unsigned maxRoutersOut = 1;                           // unavailable at a time, for whatever reason
  Duration announceTimeout = Duration::millis(60'000);  // Phase::next, before the attempt is abandoned
  Duration drainTimeout = Duration::millis(120'000);    // Phase::draining, likewise
  Duration returnTimeout = Duration::millis(300'000);   // Phase::returning, likewise
  // How long a machine that returned has to serve before it counts as finished.
  Duration warmUpDuration = Duration::millis(10'000);
  Duration maxReplicationLag = Duration::millis(1000);  // of a node that counts as having returned
  bool notifiesDiscovery = false;  // a machine is released only once the endpoint list shows it draining
  unsigned maxAttempts = 3;        // abandoned ones, after which the machine is finished without success
  Duration retryDelay = Duration::millis(30'000);  // after an abandoned attempt
  Duration fenceDuration = fenceDurationFor(Duration::millis(5'000));
};

}  // namespace gulltrestle::maintenance
