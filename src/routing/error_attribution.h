// Whose fault an error is: the node's, or the transaction's own, which then fails everywhere.
#pragma once

#include <deque>

#include "routing/routing_state.h"

namespace gulltrestle::routing {

// Learns from retries at other nodes whether errors are inherent to transactions.
class ErrorAttribution {
 public:
  explicit ErrorAttribution(RoutingState& state) : state_(state) {}

  // An attempt at the node ended with an error. Ends the transaction's attempts where another would most
  // likely fail, too; `transaction` is null if nobody waits for it any more. May draw a fraction.
  void recordError(NodeState& node, PendingTransaction* transaction);

  // The node committed the transaction: an error that it got at another node was that one's fault.
  void recordCommit(const NodeState& node, const PendingTransaction& transaction);

 private:
  bool areErrorsInherent() const;

  RoutingState& state_;
  std::deque<bool> retrySuccesses_;  // of the last transactions with an error: another node committed them
};

}  // namespace gulltrestle::routing
