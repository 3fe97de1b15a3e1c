// Interface between the transaction table and the components that open transactions for clients and receive
// their final answers.
#pragma once

#include <cstdint>

#include "base/time.h"
#include "transactions/execution_gate.h"

namespace gulltrestle::transactions {

// Identifies the recipient of a final answer. Assigned by the downstream handler; never 0.
using OwnerId = std::uint64_t;

// The transaction table calls it with the final answer of each transaction whose client has not left, exactly
// once per transaction. The call may be made from within any other call to the table except
// openTransaction().
class DownstreamHandler {
 public:
  virtual ~DownstreamHandler() = default;
  virtual void onTransactionCommitted(OwnerId owner, const ResultValue& value) = 0;
  // A retry is safe, and may be sent after `retryAfter`. `level`: the degradation level that rejected the
  // transaction on arrival; 0 if it was rejected for another reason.
  virtual void onTransactionRejected(OwnerId owner, Duration retryAfter, unsigned level) = 0;
  // The transaction was rolled back or its outcome is unknown; the client must not assume that a retry is
  // safe.
  virtual void onTransactionRolledBack(OwnerId owner) = 0;
  // Returns whether a commit can only be answered together with the value that the node returned.
  virtual bool requiresValue() const { return true; }
};

}  // namespace gulltrestle::transactions
