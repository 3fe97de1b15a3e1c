// Which nodes are draining, as any router of the fleet has learned: a drain binds every router from then on,
// also one that starts and is shown a list that is older than the drain. No I/O, no clock.
//
//   what is known of a node   a list of version v names it as            then
//   nothing, or live at w     draining, gone, or leaves it out           draining at v, others are notified
//   draining at w             live, v > w                                live at v, others are notified
//   draining at w             live, v <= w: that list is the older one   taken as draining
//
// Updates from others carry the version of the list that they come from; receiving them twice makes them no
// fresher. A router that sends a false one, with a version from the future, keeps a node out of use until
// lists reach that version: it can cost capacity, and never sends a txn to a node that drains.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "routing/router.h"

namespace gulltrestle::recovery {

using ListVersion = std::uint64_t;

// What one list said of one node.
struct DrainUpdate {
  NodeId node;
  ListVersion version = 0;  // of that list
  bool isDraining = false;
  bool operator==(const DrainUpdate&) const = default;
};

// What one router knows of drains. Used by cluster/claim_dispatcher.h for lists before anything else sees
// them.
class DrainRegistry {
 public:
  // Nodes that are remembered, beyond which those of the oldest lists are forgotten: they are not listed any
  // more.
  static constexpr std::size_t kMaxNodes = 20'000;
  explicit DrainRegistry(std::size_t maxNodes = kMaxNodes) : maxNodes_(maxNodes) {}

  // A list came. What it names live and is known to be draining by a newer one is changed to draining in it.
  // Returns what others are to be notified of.
  std::vector<DrainUpdate> applyList(EndpointUpdateKind kind, ListVersion version,
                                     std::vector<EndpointEntry*>& entries);
  // An update from others, or from the disk. True: it was new here.
  bool learn(const DrainUpdate& update);

  // All that is known, of draining and of live nodes.
  std::vector<DrainUpdate> all() const;
  // Nodes that were forgotten as there were too many, since the last call.
  std::vector<NodeId> takeForgotten() { return std::exchange(forgotten_, {}); }
  // By its newest update.
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
  // Nodes that a full list of that version leaves out are gone.
  std::vector<NodeId> leftOut(ListVersion version, const std::vector<EndpointEntry*>& entries) const;
  void forgetOldest();

  std::size_t maxNodes_;
  std::map<NodeId, Node> nodes_;
  std::vector<NodeId> forgotten_;
  ListVersion newest_ = 0;
};

}  // namespace gulltrestle::recovery
