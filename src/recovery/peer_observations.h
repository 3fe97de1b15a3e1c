// What nodes reported of themselves, by who observed it: this router first hand, or its peers, by gossip. No
// I/O, no clock.
//
//   what is known of a node's position        counts as
//   its own report to this router             fact; the routing module has it by itself
//   two peers saw it reach P or beyond        proven up to P: a lower bound, handed to the routing module
//   one peer saw it                           a hint: whom to ask first
//   seen before the node's newest start       worthless: a node that lost power may have lost its log's end
//   seen longer ago than kMaxAge              worthless
//
// The same of its role. What peers sent is never forwarded: two hops make nothing fresher, and an observation
// does not come back as a second witness. One router that sends false ones changes nothing; two that agree
// can have reads sent to a replica that is behind, or a write to a node that rejects it.
//
// A node's start is the one that the list names, compared for being the same and never with a clock: those of
// routers may differ by minutes.
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

// One router's own observation of a node, as it is sent to its peers.
struct Observation {
  NodeId node;
  Instant nodeStart;  // as the list named it when the node was observed; never: long ago
  Role role = Role::unknown;
  std::optional<Instant> position;
  Duration age;  // how long ago, when it is sent
};

// What one router knows of nodes by its own observations and its peers'. Used by cluster/recovery_service.h.
class PeerObservations {
 public:
  // What is older is neither sent nor believed: roles and starts change within minutes.
  static constexpr Duration kMaxAge = Duration::millis(60'000);

  // Nodes that peers may have observed and no list has named yet; beyond it they are passed over.
  static constexpr std::size_t kMaxUnlisted = 20'000;
  explicit PeerObservations(std::size_t maxUnlisted = kMaxUnlisted) : maxUnlisted_(maxUnlisted) {}

  // A list names the node with this start. What was seen of an earlier one is forgotten. Returns what peers
  // have proven of it ahead of the list.
  std::optional<LoadReport> onListed(const NodeId& node, Instant start);
  // No list names it any more.
  void forget(const NodeId& node);
  // It may have been down: what it reported before is void, and nothing is proven of it.
  void disconnected(const NodeId& node);
  // Its own report to this router.
  void observe(Instant now, const NodeId& node, const LoadReport& report);
  // A peer's own; its later one replaces an earlier one. Returns what is proven by it now; none: nothing new.
  std::optional<LoadReport> onObservation(Instant now, const std::string& peer,
                                          const Observation& observation);

  // All that was observed by this router itself, for its peers.
  std::vector<Observation> firstHand(Instant now) const;
  bool hasObserved(const NodeId& node) const;
  // By its own report, else by two peers; unknown: by neither.
  Role role(const NodeId& node) const;
  // Whether its position is known, in the same way.
  bool knowsPosition(const NodeId& node) const;

 private:
  struct Seen {
    Instant when;
    Role role = Role::unknown;
    std::optional<Instant> position;
  };
  struct Node {
    Instant start;
    bool isListed = false;
    std::optional<Seen> own;
    std::map<std::string, Seen> byPeer;  // bounded by the fleet's list
    LoadReport proven;
  };
  // The node, begun if there is room; null: there is none, or it is of another start.
  Node* nodeOf(const Observation& observation);
  // What at least two of the peers confirm.
  static LoadReport confirmedBy(const std::map<std::string, Seen>& peers);

  std::size_t maxUnlisted_, unlisted_ = 0;
  std::map<NodeId, Node> nodes_;
};

}  // namespace gulltrestle::recovery
