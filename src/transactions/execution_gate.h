// Whether a txn that may run only once may run at all: asked by the ledger before such a txn comes to the
// module, told what became of it. For installations where a client's repeat may reach another router, or this
// one after a crash. Where there is none, nothing is asked.
#pragma once

#include <array>
#include <string_view>

#include "routing/router.h"
#include "transactions/endpoint_registry.h"

namespace gulltrestle::transactions {

// What a node answered, as its carrier read it, in up to three slices. Valid during the call only.
using ResultValue = std::array<std::string_view, 3>;

// What became of a txn here, once nothing of it is out any more.
enum class ExecutionOutcome { committed, neverRan, unknown };

class ExecutionGate {
 public:
  virtual ~ExecutionGate() = default;
  // The client named the txn so, and waits for it for `patience` from now. Answered in a later call, by
  // TransactionTable::admit() or TransactionTable::refuse(), unless over() comes first; within its patience.
  virtual void requestExecution(TxnId txn, std::string_view id, Duration patience) = 0;
  // A node committed it, with this value. Comes ahead of over().
  virtual void onCommitted(TxnId txn, const ResultValue& value) = 0;
  // Told once for each that was asked for.
  virtual void onTransactionEnded(TxnId txn, ExecutionOutcome fate) = 0;
  // A list came, before anybody has taken it over. Where others know better of a node, its entry is changed.
  virtual void amendEndpointList(EndpointUpdateKind kind, std::uint64_t version,
                                 std::vector<ResolvedEndpoint>& list) = 0;
};

}  // namespace gulltrestle::transactions
