// Interface that admits or rejects new transactions, e.g. during the admission ramp after a start, when not
// all of them may be served at once. The transaction table calls it for each new transaction and notifies it
// of the outcome of each admitted one. Without an admission controller, all transactions are admitted.
#pragma once

#include <optional>

#include "routing/router.h"

namespace gulltrestle::transactions {

// Implemented by components that limit new transactions; see above.
class AdmissionController {
 public:
  virtual ~AdmissionController() = default;
  // Returns nullopt if the transaction is admitted. Otherwise the transaction is rejected at once, and its
  // client may retry after the returned time. `transactionClass`: index into
  // RoutingConfig::transactionClasses.
  virtual std::optional<Duration> retryAfterIfRejected(GroupId group, std::size_t transactionClass) = 0;
  // The outcome of an admitted transaction.
  struct AdmittedResult {
    bool wasSent = false;  // at least one of its attempts was started
    bool isCommitted = false;
    double latencyTargetFraction = 0;  // the time it took, as a fraction of its latency target
  };
  // Called once per admitted transaction, when it gets its final answer or its client leaves.
  virtual void onTransactionEnded(GroupId group, std::size_t transactionClass,
                                  const AdmittedResult& result) = 0;
  // Called when a node sends a load report, with an answer or in response to a health check.
  virtual void onLoadReport(const NodeId& node, const LoadReport& report) = 0;
  // Called when the node accepts no connection or closes the last one: it may have been down and may have
  // lost the end of its log.
  virtual void onNodeDisconnected(const NodeId& node) = 0;
};

}  // namespace gulltrestle::transactions
