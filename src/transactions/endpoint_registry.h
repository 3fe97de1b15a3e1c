// The nodes named by endpoint lists, each with its address and its health according to the last list.
// Upstream transports read the registry and store their own state of a node elsewhere. It has one entry per
// node until the router forgets that node. No I/O, no clock.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "routing/router.h"

namespace gulltrestle::transactions {

// An entry of an endpoint list with the node's network address, as address:port.
struct ResolvedEndpoint {
  EndpointEntry entry;
  std::string address;
};

// One per transaction table, which is the only one to change it.
class EndpointRegistry {
 public:
  struct Node {
    std::string address;
    Health health = Health::live;
  };

  // `excludesRemovedNodes`: removed nodes count as draining, too; otherwise only those listed as draining do.
  explicit EndpointRegistry(bool excludesRemovedNodes) : excludesRemovedNodes_(excludesRemovedNodes) {}

  // Applies an endpoint list. Returns the nodes whose address has changed, in the list's order; new nodes are
  // not included.
  std::vector<NodeId> apply(EndpointUpdateKind kind, const std::vector<ResolvedEndpoint>& list);

  const Node* find(const NodeId& id) const;
  // Returns the node that has this address and is not removed, or null.
  const NodeId* findByAddress(const std::string& address) const;
  // Returns whether the node must not get new attempts; true for a node that is in no list.
  bool isDraining(const NodeId& id) const;
  // Drops a removed node's entry. Returns false, without effect, if there is none or if a newer list names
  // the node.
  bool forget(const NodeId& id);

  const std::map<NodeId, Node>& all() const { return nodes_; }

 private:
  bool excludesRemovedNodes_;
  std::map<NodeId, Node> nodes_;
};

}  // namespace gulltrestle::transactions
