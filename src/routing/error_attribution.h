// Attributes errors either to the node or to the transaction, which in that case fails at every node.
#pragma once

#include <deque>

#include "routing/routing_state.h"

namespace gulltrestle::routing {

// Infers from the outcomes of retries at other nodes whether errors are inherent to transactions.
class ErrorAttribution {
 public:
  explicit ErrorAttribution(RoutingState& state) : state_(state) {}

  // Records that an attempt at the node ended with an error. Prevents further attempts of the transaction if
  // they would most likely fail, too. `transaction` is null if it isn't pending any more. May draw a random
  // fraction.
  void recordError(NodeState& node, PendingTransaction* transaction);

  // Records that the node committed the transaction: an earlier error at another node is attributed to that
  // node.
  void recordCommit(const NodeState& node, const PendingTransaction& transaction);

 private:
  bool areErrorsInherent() const;

  RoutingState& state_;
  std::deque<bool> retrySuccesses_;  // true: another node committed a transaction after an error
};

}  // namespace gulltrestle::routing
