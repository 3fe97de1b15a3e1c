// Whether a txn is let in at all: asked by the ledger as each comes, told what became of those that were.
// For the time after a start, when not all may come at once. Where there is none, all are let in.
#pragma once

#include <optional>

#include "routing/router.h"

namespace gulltrestle::transactions {

class AdmissionController {
 public:
  virtual ~AdmissionController() = default;
  // None: it is let in. Else it is refused at once; its client may retry after this.
  virtual std::optional<Duration> rejectsWithRetryAfter(GroupId group, std::size_t type) = 0;
  // One that was let in has its final answer, or its client left; told once for each. `sent`: on to a node,
  // at least once; `share`: of its latency target that it took.
  struct AdmittedResult {
    bool sent = false, committed = false;
    double share = 0;
  };
  virtual void onTransactionEnded(GroupId group, std::size_t type, const AdmittedResult& how) = 0;
  // A node told this of itself, in an answer or to a probe.
  virtual void onLoadReport(const NodeId& node, const LoadReport& said) = 0;
  // It took no connection, or ended the last one: it may have been down, and have lost the end of its log.
  virtual void onNodeDisconnected(const NodeId& node) = 0;
};

}  // namespace gulltrestle::transactions
