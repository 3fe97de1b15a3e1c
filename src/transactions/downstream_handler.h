// The client side of the transaction table: whoever opens transactions and receives their final answers.
#pragma once

#include <cstdint>

#include "base/time.h"
#include "transactions/execution_gate.h"

namespace gulltrestle::transactions {

// Identifies the receiver of a final answer; assigned by its downstream handler; never 0.
using OwnerId = std::uint64_t;

// Called by the transaction table with the final answer of each transaction whose client has not left,
// once per transaction. May be called from within other calls to the table, except openTransaction().
class DownstreamHandler {
 public:
  virtual ~DownstreamHandler() = default;
  virtual void committed(OwnerId owner, const ResultValue& value) = 0;
  // A retry is harmless, and welcome after `retryAfter`. `level`: the degradation level that rejected it on
  // arrival; 0: it was rejected for another reason.
  virtual void rejected(OwnerId owner, Duration retryAfter, unsigned level) = 0;
  // Its outcome is rolled back or not known; the client must not assume that a retry is harmless.
  virtual void rolledBack(OwnerId owner) = 0;
  // Whether a commit can be answered only together with the value that the node returned.
  virtual bool requiresValue() const { return true; }
};

}  // namespace gulltrestle::transactions
