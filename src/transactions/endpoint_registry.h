// The nodes that endpoint lists have named: the address of each, and its health by the last list. Upstream
// transports read it, and store what concerns only them elsewhere. Has one entry per node until the router
// forgets that node. No I/O, no clock.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "routing/router.h"

namespace gulltrestle::transactions {

// An entry of an endpoint list, and where that node is reached, as address:port.
struct ResolvedEndpoint {
  EndpointEntry entry;
  std::string address;
};

// One per transaction table, which alone changes it.
class EndpointRegistry {
 public:
  struct Node {
    std::string address;
    Health health = Health::live;
  };

  // `excludesRemovedNodes`: removed nodes count as draining, too; else only those listed as draining do.
  explicit EndpointRegistry(bool excludesRemovedNodes) : excludesRemovedNodes_(excludesRemovedNodes) {}

  // Applies a list. Returns the nodes whose address has changed (new ones are not among them), in the list's
  // order.
  std::vector<NodeId> apply(EndpointUpdateKind kind, const std::vector<ResolvedEndpoint>& list);

  const Node* find(const NodeId& id) const;
  // The node that has this address and is not removed; null: none has.
  const NodeId* findByAddress(const std::string& address) const;
  // Whether nothing new may go to the node; true for one that no list named.
  bool isDraining(const NodeId& id) const;
  // Drops a removed node's entry. False, without effect, if there is none or a newer list names the node.
  bool forget(const NodeId& id);

  const std::map<NodeId, Node>& all() const { return nodes_; }

 private:
  bool excludesRemovedNodes_;
  std::map<NodeId, Node> nodes_;
};

}  // namespace gulltrestle::transactions
