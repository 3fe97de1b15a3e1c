// Decides whether an at-most-once transaction may execute at all, for installations where a client's retry
// may reach another router, or this one after a crash. Called by the transaction table before such a
// transaction goes to the router, and notified of its outcome. Without an execution gate all may execute.
#pragma once

#include <array>
#include <string_view>

#include "routing/router.h"
#include "transactions/endpoint_registry.h"

namespace gulltrestle::transactions {

// What a node returned, as its upstream transport read it, in up to three slices. Valid during the call only.
using ResultValue = std::array<std::string_view, 3>;

// The outcome of a transaction here, once none of its attempts is in flight any more.
enum class ExecutionOutcome { committed, neverRan, unknown };

// Implemented by whoever votes on or remembers executions; see above.
class ExecutionGate {
 public:
  virtual ~ExecutionGate() = default;
  // `id`: the client's own name of the transaction. To be answered in a later call, within `remainingTime`,
  // by TransactionTable::admit() or one of its answer...() functions, unless onTransactionEnded() comes
  // first.
  virtual void requestExecution(TxnId txn, std::string_view id, Duration remainingTime) = 0;
  // A node committed it, with this value. Called ahead of onTransactionEnded().
  virtual void onCommitted(TxnId txn, const ResultValue& value) = 0;
  // Called once per transaction that was requested.
  virtual void onTransactionEnded(TxnId txn, ExecutionOutcome outcome) = 0;
  // Called with each endpoint list before it is applied: changes the entries of nodes of which other routers
  // have newer knowledge.
  virtual void amendEndpointList(EndpointUpdateKind kind, std::uint64_t version,
                                 std::vector<ResolvedEndpoint>& list) = 0;
};

}  // namespace gulltrestle::transactions
