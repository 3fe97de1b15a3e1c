// Tracks which nodes are draining, from the endpoint lists that any router of the fleet has received. Once a
// drain is known it applies to every router, including one that starts later and reads an endpoint list older
// than the drain. No I/O, no clock.
//
//   known state of a node     received list of version v                 result
//   unknown, or live at w     shows it draining or removed, or omits it  draining at v, peers are notified
//   draining at w             shows it live, v > w                       live at v, peers are notified
//   draining at w             shows it live, v <= w: an older list       changed to draining in the list
//
// Updates from other routers carry the version of the list that they originate from; applying one twice has
// no effect. A router that sends a false update with a future version keeps a node out of use until lists
// reach that version. This can cost capacity, but never sends a transaction to a draining node.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "routing/router.h"

namespace gulltrestle::recovery {

using ListVersion = std::uint64_t;

// The state of a node in one endpoint list.
struct DrainUpdate {
  NodeId node;
  ListVersion version = 0;  // version of that list
  bool isDraining = false;
  bool operator==(const DrainUpdate&) const = default;
};

// The drains known to one router. cluster/claim_dispatcher.h applies them to endpoint lists before any other
// module receives those lists.
class DrainRegistry {
 public:
  // Maximum number of stored nodes. Beyond it the nodes with the oldest list versions are evicted; these are
  // no longer listed.
  static constexpr std::size_t kMaxNodes = 20'000;
  explicit DrainRegistry(std::size_t maxNodes = kMaxNodes) : maxNodes_(maxNodes) {}

  // Applies a received list. A node that the list shows as live, but that a list at least as new showed as
  // draining, is changed to draining in `entries`. Returns the updates to send to other routers.
  [[nodiscard]] std::vector<DrainUpdate> applyList(EndpointUpdateKind kind, ListVersion version,
                                                   std::vector<EndpointEntry*>& entries);
  // Applies an update from another router or from disk. Returns whether the node's draining state changed.
  bool applyUpdate(const DrainUpdate& update);

  // The newest update for each node, draining or live.
  std::vector<DrainUpdate> all() const;
  // Returns the nodes evicted since the last call because the limit was exceeded.
  [[nodiscard]] std::vector<NodeId> takeForgotten() { return std::exchange(forgotten_, {}); }
  // Whether the node is draining according to its newest update.
  bool isDraining(const NodeId& node) const;
  // The newest version of any list or update.
  ListVersion newestVersion() const { return newest_; }

 private:
  struct Node {
    ListVersion version = 0;
    bool isDraining = false;
  };
  // Returns whether the node's draining state changed.
  bool apply(const DrainUpdate& update);
  // Live nodes that are missing from a full list of that version.
  std::vector<NodeId> unlistedNodes(ListVersion version, const std::vector<EndpointEntry*>& entries) const;
  void forgetOldest();

  std::size_t maxNodes_;
  std::map<NodeId, Node> nodes_;
  std::vector<NodeId> forgotten_;
  ListVersion newest_ = 0;
};

}  // namespace gulltrestle::recovery
