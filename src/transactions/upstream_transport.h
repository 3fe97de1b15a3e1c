// Interface between the transaction table and the components that carry attempts and health checks to nodes.
#pragma once

#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "routing/router.h"

namespace gulltrestle::transactions {

// A message in consecutive slices, so that it is written without a copy into one buffer. Valid during the
// call only.
using ByteSlices = std::initializer_list<std::string_view>;

// Identifies one attempt of a transaction, or a health check.
struct AttemptId {
  TxnId txn = 0;  // 0: a health check
  unsigned attempt = 0;
  bool isHealthCheck() const { return txn == 0; }
  bool operator==(const AttemptId&) const = default;
};

// The part of a transaction that is forwarded to nodes. Offsets and sizes are in bytes. A transport that
// sends a time limit to the node writes it in place of the timeout's digits.
struct RequestMessage {
  std::string bytes;
  std::size_t timeoutOffset = 0, timeoutSize = 0;
  std::size_t idOffset = 0, idSize = 0;  // the id that the client gave to the transaction
};

// Carries attempts to nodes. Reports the end of each attempt by one call of
// TransactionTable::onAttemptEnded(), from within startAttempt() or later.
class UpstreamTransport {
 public:
  virtual ~UpstreamTransport() = default;
  // Also starts health checks.
  virtual void startAttempt(AttemptId attemptId, const NodeId& node) = 0;
  // The answer is no longer awaited. The attempt has not ended yet and must end soon.
  virtual void cancelAttempt(AttemptId attemptId, const NodeId& node) = 0;
  // The transaction has its final answer, its client has left, or the node no longer qualifies. An attempt
  // that the node has not received completely must not reach it any more and ends at once; any other attempt
  // continues to its end.
  virtual void withdrawAttempt(AttemptId, const NodeId&) {}
  // The endpoint registry has applied an endpoint list. `moved`: the nodes whose address has changed. Other
  // nodes may have started to drain.
  virtual void onEndpointList(const std::vector<NodeId>& moved) = 0;
  // The node is not known any more: attempts and health checks that wait for it must end.
  virtual void forgetNode(const NodeId& node) = 0;
};

}  // namespace gulltrestle::transactions
