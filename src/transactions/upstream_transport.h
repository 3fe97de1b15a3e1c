// The node side of the transaction table: whatever carries attempts and health checks to nodes.
#pragma once

#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "routing/router.h"

namespace gulltrestle::transactions {

// A message in consecutive slices, written without being copied into one buffer. Valid during the call only.
using ByteSlices = std::initializer_list<std::string_view>;

// Identifies one attempt of a transaction, or a health check.
struct AttemptId {
  TxnId txn = 0;  // 0: a health check
  unsigned attempt = 0;
  bool isHealthCheck() const { return txn == 0; }
  bool operator==(const AttemptId&) const = default;
};

// The part of a transaction that is forwarded to nodes. Offsets and sizes are in bytes. A transport that
// sends the node a time limit writes it in place of the timeout's digits.
struct RequestMessage {
  std::string bytes;
  std::size_t timeoutOffset = 0, timeoutSize = 0;
  std::size_t idOffset = 0, idSize = 0;  // the client's own id of the transaction
};

// Carries attempts to nodes. Reports the end of each by one call of TransactionTable::onAttemptEnded(), from
// within startAttempt() or later.
class UpstreamTransport {
 public:
  virtual ~UpstreamTransport() = default;
  // Also starts health checks.
  virtual void startAttempt(AttemptId attemptId, const NodeId& node) = 0;
  // The answer is no longer awaited. The attempt has not ended yet and must end soon.
  virtual void cancelAttempt(AttemptId attemptId, const NodeId& node) = 0;
  // Its transaction has its final answer, or its client left. An attempt that the node has not received
  // completely must not reach it any more, and ends at once; any other goes on to its end.
  virtual void withdrawAttempt(AttemptId, const NodeId&) {}
  // The endpoint registry has applied a list. `moved`: the nodes whose address has changed; others may be
  // draining now.
  virtual void onEndpointList(const std::vector<NodeId>& moved) = 0;
  // The node is no longer known: whatever waits for it must end.
  virtual void forgetNode(const NodeId& node) = 0;
};

}  // namespace gulltrestle::transactions
