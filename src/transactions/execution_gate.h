// Interface that decides whether an at-most-once transaction may execute, for installations where a client's
// retry may reach another router, or this router after a crash. The transaction table calls it before it
// passes such a transaction to the router, and notifies it of the outcome. Without an execution gate, all
// transactions may execute.
#pragma once

#include <array>
#include <string_view>

#include "routing/router.h"
#include "transactions/endpoint_registry.h"

namespace gulltrestle::transactions {

// The value that a node returned, as read by the upstream transport, in up to three slices. Valid during the
// call only.
using ResultValue = std::array<std::string_view, 3>;

// The outcome of a transaction at this router, once none of its attempts is in flight any more.
enum class ExecutionOutcome { committed, neverRan, unknown };

// Implemented by components that vote on executions or record them; see above.
class ExecutionGate {
 public:
  virtual ~ExecutionGate() = default;
  // `id`: the id that the client gave to the transaction. The gate must respond later, not from within this
  // call, and within `remainingTime`, by TransactionTable::admit() or one of its answer...() functions,
  // unless onTransactionEnded() is called first.
  virtual void requestExecution(TxnId txn, std::string_view id, Duration remainingTime) = 0;
  // Called when a node has committed the transaction with this value, before onTransactionEnded().
  virtual void onCommitted(TxnId txn, const ResultValue& value) = 0;
  // Called once per transaction for which requestExecution() was called.
  virtual void onTransactionEnded(TxnId txn, ExecutionOutcome outcome) = 0;
  // Called with each endpoint list before it is applied: changes the entries of nodes for which other routers
  // have newer information.
  virtual void amendEndpointList(EndpointUpdateKind kind, std::uint64_t version,
                                 std::vector<ResolvedEndpoint>& list) = 0;
};

}  // namespace gulltrestle::transactions
