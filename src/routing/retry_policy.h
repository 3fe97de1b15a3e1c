// Retry policy: whether a transaction may be sent for the first time or again, and the value that it can
// still yield.
//
//   effect       | retried after an attempt that may have run | final answer when abandoned after it
//   idempotent   | yes                                        | rejection
//   deduplicated | within the deduplication window            | rejection if every node deduplicates it
//   atMostOnce   | no                                         | rollback
#pragma once

#include <deque>

#include "routing/latency_statistics.h"
#include "routing/routing_state.h"

namespace gulltrestle::routing {

// Evaluates a transaction by its effect, its attempts and its remaining time.
class RetryPolicy {
 public:
  RetryPolicy(const RoutingState& state, const LatencyStatistics& latencies)
      : state_(state), latencies_(latencies) {}

  // Estimates how long the client has already waited for the transaction in earlier requests. Must be called
  // once for each transaction that is received without that time.
  Duration estimateEarlierWait(const Transaction& transaction);

  // Records that the transaction ended without a result; its client may send it again.
  void recordAbandoned(const PendingTransaction& transaction);

  // Whether another attempt is allowed.
  bool maySend(const PendingTransaction& transaction) const;

  // Whether no attempt is allowed any more, or the expected value is too low to send the transaction.
  bool isHopeless(const PendingTransaction& transaction) const;

  // The fraction of its full value that the transaction is expected to yield if it is sent now.
  double expectedValueFraction(const PendingTransaction& transaction) const;

  // Whether a hedge may be sent after hedgeAt().
  bool mayHedge(const PendingTransaction& transaction) const;
  // The time at which the attempt in flight exceeds the silence timeout.
  Instant hedgeAt(const PendingTransaction& transaction) const;

  // The latest time at which an attempt may be written to the node.
  Instant sendBy(const PendingTransaction& transaction, const NodeState& node) const;

  // Whether a rejection is safe, after which the client may retry: the transaction has not run, or may run
  // twice.
  bool isSafeToReject(const PendingTransaction& transaction) const;

 private:
  struct AbandonedTransaction {
    SessionId session;
    std::size_t transactionClass;
    Instant firstRequestAt, abandonedAt;
  };
  struct ClientTimeout {
    double deadlineFraction;
    bool isCommon;  // among the timeouts before it
    ConnectionId connection;
  };

  Instant resendBy(const PendingTransaction& transaction) const;
  bool isClientRetry(const Transaction& transaction);
  void recordClientTimeout(const ClientTimeout& timeout);

  const RoutingState& state_;
  const LatencyStatistics& latencies_;
  std::deque<AbandonedTransaction> abandoned_;  // the last ones that have a session
  std::deque<ClientTimeout> clientTimeouts_;    // of the last transactions, some of each connection
};

}  // namespace gulltrestle::routing
