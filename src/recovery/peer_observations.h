// What nodes reported of themselves, observed by this router itself or by its peers, which send it by gossip.
// No I/O, no clock.
//
//   source of a node's position                counts as
//   its own report to this router              fact; the routing module receives it on its own
//   two peers observed it at P or beyond       proven up to P: a lower bound, handed to the routing module
//   one peer observed it                       nothing yet
//   observed before the node's newest start    void: a node that lost power may have lost the end of its log
//   observed longer ago than kMaxAge           void
//
// The same holds for its role. Observations of peers are never forwarded: that would make them no fresher,
// and one could come back as if by a second witness. One router that sends false ones changes nothing; two
// that agree can have reads sent to a replica that is behind, or a write to a node that rejects it.
//
// A node's start is the one that the endpoint list names, and is compared for equality only, never with a
// clock: those of routers may differ by minutes.
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

// A router's own observation of a node, as it is sent to its peers.
struct Observation {
  NodeId node;
  Instant nodeStart;  // as the endpoint list named it when the node was observed; never: long ago
  Role role = Role::unknown;
  std::optional<Instant> position;
  Duration age;  // when it is sent
};

// One router's knowledge of nodes, by its own observations and its peers'. Used by
// cluster/recovery_service.h.
class PeerObservations {
 public:
  // Older observations are neither sent nor used: roles and starts change within minutes.
  static constexpr Duration kMaxAge = Duration::millis(60'000);

  // Nodes that peers have observed and no list has named yet; beyond it their observations are dropped.
  static constexpr std::size_t kMaxUnlisted = 20'000;
  explicit PeerObservations(std::size_t maxUnlisted = kMaxUnlisted) : maxUnlisted_(maxUnlisted) {}

  // A list names the node with this start; observations of an earlier one are dropped. Returns what peers
  // have proven about it ahead of the list; none: nothing.
  std::optional<LoadReport> onListed(const NodeId& node, Instant start);
  // No list names the node any more.
  void forget(const NodeId& node);
  // The node may have been down: earlier observations are void.
  void onDisconnected(const NodeId& node);
  // The node's own report to this router.
  void observe(Instant now, const NodeId& node, const LoadReport& report);
  // A peer's own observation, which replaces its earlier one of that node. Returns what is proven now; none:
  // no more than before.
  std::optional<LoadReport> onObservation(Instant now, const std::string& peer,
                                          const Observation& observation);

  // This router's own observations, for its peers.
  std::vector<Observation> firstHand(Instant now) const;
  bool hasObserved(const NodeId& node) const;
  // By the node's own report, else by two peers; unknown: by neither.
  Role role(const NodeId& node) const;
  // Whether the node's position is known, in the same way.
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
  // The node, added if there is room; null: there is none, or the observation is of another start.
  Node* nodeOf(const Observation& observation);
  // What at least two of the peers agree on.
  static LoadReport confirmedBy(const std::map<std::string, ObservedState>& peers);

  std::size_t maxUnlisted_;
  std::size_t unlisted_ = 0;
  std::map<NodeId, Node> nodes_;
};

}  // namespace gulltrestle::recovery
