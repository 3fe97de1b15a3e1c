// Admits or rejects new transactions, such as during the time after a start, when not all may come at once.
// Called by the transaction table for each new transaction, and notified of the outcome of those admitted.
// Without an admission controller all are admitted.
#pragma once

#include <optional>

#include "routing/router.h"

namespace gulltrestle::transactions {

// Implemented by whoever limits new transactions; see above.
class AdmissionController {
 public:
  virtual ~AdmissionController() = default;
  // None: the transaction is admitted. Else it is rejected at once, and its client may retry after this.
  // `transactionClass`: row in RoutingConfig::transactionClasses.
  virtual std::optional<Duration> rejectsWithRetryAfter(GroupId group, std::size_t transactionClass) = 0;
  // How an admitted transaction ended.
  struct AdmittedResult {
    bool wasSent = false;  // at least one attempt of it started
    bool isCommitted = false;
    double latencyTargetFraction = 0;  // the time that it took, as a fraction of its latency target
  };
  // Notified once per admitted transaction, when it has its final answer or its client left.
  virtual void onTransactionEnded(GroupId group, std::size_t transactionClass,
                                  const AdmittedResult& result) = 0;
  // A node reported this of itself, with an answer or to a health check.
  virtual void onLoadReport(const NodeId& node, const LoadReport& report) = 0;
  // The node took no connection, or ended the last one: it may have been down, and have lost the end of its
  // log.
  virtual void onNodeDisconnected(const NodeId& node) = 0;
};

}  // namespace gulltrestle::transactions
