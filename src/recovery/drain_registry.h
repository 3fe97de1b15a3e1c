// Which nodes are draining, as any router of the fleet has learned: a drain binds every router from then on,
// also one that starts and reads an endpoint list older than the drain. No I/O, no clock.
//
//   known of a node           a list of version v                        then
//   nothing, or live at w     names it draining or removed, or omits it  draining at v, others are notified
//   draining at w             names it live, v > w                       live at v, others are notified
//   draining at w             names it live, v <= w: an older list       changed to draining in the list
//
// Updates from other routers carry the version of the list that they come from; receiving one twice changes
// nothing. A router that sends a false one, with a version from the future, keeps a node out of use until
// lists reach that version: it can cost capacity, and never sends a transaction to a node that drains.
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
  ListVersion version = 0;  // of that list
  bool isDraining = false;
  bool operator==(const DrainUpdate&) const = default;
};

// One router's knowledge of drains. Used by cluster/claim_dispatcher.h, which applies it to endpoint lists
// before any other module receives them.
class DrainRegistry {
 public:
  // Nodes that are stored. Beyond it those of the oldest lists are forgotten: they are not listed any more.
  static constexpr std::size_t kMaxNodes = 20'000;
  explicit DrainRegistry(std::size_t maxNodes = kMaxNodes) : maxNodes_(maxNodes) {}

  // A list came. A node that it names live and that is known to be draining by a newer one is changed to
  // draining in it. Returns the updates for other routers.
  [[nodiscard]] std::vector<DrainUpdate> applyList(EndpointUpdateKind kind, ListVersion version,
                                                   std::vector<EndpointEntry*>& entries);
  // An update from another router, or from the disk. True: it changed whether the node drains.
  bool learn(const DrainUpdate& update);

  // The newest update of each node, draining or live.
  std::vector<DrainUpdate> all() const;
  // Nodes that were forgotten as there were more than the limit, since the last call.
  [[nodiscard]] std::vector<NodeId> takeForgotten() { return std::exchange(forgotten_, {}); }
  // By the node's newest update.
  bool isDraining(const NodeId& node) const;
  // The newest version that any list or update had.
  ListVersion newest() const { return newest_; }

 private:
  struct Node {
    ListVersion version = 0;
    bool isDraining = false;
  };
  // True: whether the node drains has changed.
  bool apply(const DrainUpdate& update);
  // Live nodes that a full list of that version no longer names.
  std::vector<NodeId> unlistedNodes(ListVersion version, const std::vector<EndpointEntry*>& entries) const;
  void forgetOldest();

  std::size_t maxNodes_;
  std::map<NodeId, Node> nodes_;
  std::vector<NodeId> forgotten_;
  ListVersion newest_ = 0;
};

}  // namespace gulltrestle::recovery
