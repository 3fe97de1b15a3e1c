// The nodes that lists have named: where each is reached, and what the last list said of it. Carriers read it
// and keep what is their own beside it. Holds one entry a node until the decision module forgets that node.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "routing/router.h"

namespace gulltrestle::transactions {

// An entry of a list, and where that node is reached, as address:port.
struct ResolvedEndpoint {
  EndpointEntry entry;
  std::string address;
};

class EndpointRegistry {
 public:
  struct Node {
    std::string address;
    Health health = Health::live;
  };

  // `goneBinds`: nothing new may go to a node that is listed as gone; else only to one listed as draining.
  explicit EndpointRegistry(bool goneBinds) : goneBinds_(goneBinds) {}

  // Takes a list over. Returns the nodes that have moved to another address (new ones are not among them),
  // in the list's order.
  std::vector<NodeId> apply(EndpointUpdateKind kind, const std::vector<ResolvedEndpoint>& list);

  const Node* find(const NodeId& id) const;
  // The node that is reached there, other than as gone; null: none is.
  const NodeId* findByAddress(const std::string& address) const;
  // Nothing new may go to it; true for one that no list named.
  bool isDraining(const NodeId& id) const;
  // False, and nothing is forgotten, where a newer list names it.
  bool forget(const NodeId& id);

  const std::map<NodeId, Node>& all() const { return nodes_; }

 private:
  bool goneBinds_;
  std::map<NodeId, Node> nodes_;
};

}  // namespace gulltrestle::transactions
