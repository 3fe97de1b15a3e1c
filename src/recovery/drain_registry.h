// Which nodes are leaving, as any router of the fleet was told: a drain binds every router from then on, also
// one that starts and is shown a list that is older than the drain. No I/O, no clock.
//
//   what is known of a node   a list of version v names it as            then
//   nothing, or live at w     draining, gone, or leaves it out           leaving at v, told to the others
//   leaving at w              live, v > w                                live at v, told to the others
//   leaving at w              live, v <= w: that list is the older one   taken as draining
//
// News from others carry the version of the list that told them; hearing them twice makes them no fresher. A
// router that tells falsely, with a version from the future, keeps a node out of use until lists reach that
// version: it can cost room, and never sends a txn to a node that leaves.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include "routing/router.h"

namespace gulltrestle::recovery {

using ListVersion = std::uint64_t;

struct DrainUpdate {  // of one node
  NodeId node;
  ListVersion version = 0;  // of the list that said so
  bool isDraining = false;
  bool operator==(const DrainUpdate&) const = default;
};

class DrainRegistry {
 public:
  // Nodes that are remembered, beyond which the oldest go: they are not listed any more.
  explicit DrainRegistry(std::size_t most = 20'000) : most_(most) {}

  // A list came. What it names live and is known to be leaving by a newer one is changed to draining in it.
  // Returns what others are to be told.
  std::vector<DrainUpdate> applyList(EndpointUpdateKind kind, ListVersion version,
                                     std::vector<EndpointEntry*>& entries);
  // Others' news. True: it was news here.
  bool learn(const DrainUpdate& news);

  std::vector<DrainUpdate> all() const;
  // Nodes that went as there were too many, since it was last asked.
  std::vector<NodeId> takeForgotten() { return std::exchange(forgotten_, {}); }
  // Of this node, by its newest news.
  bool isDraining(const NodeId& node) const;
  // Whether the newest list that came is older than one that others were told.
  ListVersion newest() const { return newest_; }

 private:
  bool set(const NodeId& node, ListVersion version, bool leaving);
  struct Known {
    ListVersion version = 0;
    bool leaving = false;
  };
  std::size_t most_;
  std::map<NodeId, Known> nodes_;
  std::vector<NodeId> forgotten_;
  ListVersion newest_ = 0;
};

}  // namespace gulltrestle::recovery
