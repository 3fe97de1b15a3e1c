// Log positions and roles that nodes reported, observed by this router directly or received by gossip from
// its peers. No I/O, no clock.
//
//   source of a node's position                trust
//   its own report to this router              trusted; the routing module receives it separately
//   two peers observed it at P or beyond       proven up to P: a lower bound, passed to the routing module
//   one peer observed it                       not used until a second peer confirms it
//   observed before the node's newest start    discarded: a power loss may have truncated the node's log
//   observed longer ago than kMaxAge           discarded
//
// The same rules apply to the node's role. Observations received from peers are never forwarded: forwarding
// does not make them more recent, and an observation could return as if a second peer had made it. A single
// router that sends false observations has no effect. Two that agree can cause reads to be sent to a replica
// that lags behind, or a write to a node that rejects it.
//
// The start time of a node is taken from the endpoint list and only compared for equality, never with a
// clock: the clocks of routers may differ by minutes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/router.h"

namespace gulltrestle::recovery {

// A router's own observation of a node, as sent to its peers.
struct Observation {
  NodeId node;
  Instant nodeStart;  // start time in the endpoint list when the node was observed; never: long ago
  Role role = Role::unknown;
  std::optional<Instant> position;
  Duration age;  // at the time of sending
};

// The states of nodes known to one router, from its own observations and those of its peers. Used by
// cluster/recovery_service.h.
class PeerObservations {
 public:
  // Older observations are neither sent nor used: roles and start times change within minutes.
  static constexpr Duration kMaxAge = Duration::millis(60'000);

  // Maximum number of nodes that peers have observed but no endpoint list has contained yet. Observations of
  // further unlisted nodes are dropped.
  static constexpr std::size_t kMaxUnlisted = 20'000;
  explicit PeerObservations(std::size_t maxUnlisted = kMaxUnlisted) : maxUnlisted_(maxUnlisted) {}

  // The endpoint list contains the node with this start time; observations of an earlier start are dropped.
  // Returns the state that peers had proven before the list arrived, or nullopt if there is none.
  std::optional<LoadReport> onListed(const NodeId& node, Instant start);
  // The endpoint list no longer contains the node.
  void forget(const NodeId& node);
  // Discards earlier observations, since the node may have been down.
  void onDisconnected(const NodeId& node);
  // Records the node's own report to this router.
  void observe(Instant now, const NodeId& node, const LoadReport& report);
  // Records a peer's own observation, which replaces the peer's earlier one of that node. Returns the proven
  // state if this observation advanced it, and nullopt otherwise.
  std::optional<LoadReport> onObservation(Instant now, const std::string& peer,
                                          const Observation& observation);

  // This router's own observations, to be sent to its peers.
  std::vector<Observation> ownObservations(Instant now) const;
  bool hasObserved(const NodeId& node) const;
  // The role from the node's own report, or else the one that two peers agree on; unknown if there is
  // neither.
  Role role(const NodeId& node) const;
  // Whether the node's position is known from its own report or from two peers.
  bool knowsPosition(const NodeId& node) const;

 private:
  struct ObservedState {
    Instant when;
    Role role = Role::unknown;
    std::optional<Instant> position;
  };
  struct Node {
    Instant start;
    bool isListed = false;
    std::optional<ObservedState> own;
    std::map<std::string, ObservedState> byPeer;  // at most one for each router of the fleet
    LoadReport proven;
  };
  // Finds the observed node, or adds it within the limit on unlisted nodes. Returns null if the limit is
  // reached, or if the observation belongs to another start of the node.
  Node* findOrAddNode(const Observation& observation);
  // The state that at least two of the peers agree on.
  static LoadReport agreedState(const std::map<std::string, ObservedState>& peers);

  std::size_t maxUnlisted_;
  std::size_t unlisted_ = 0;
  std::map<NodeId, Node> nodes_;
};

}  // namespace gulltrestle::recovery
