// Whether a transaction may be sent, once or again, and what can still be earned by it.
//
//   effect       | sent again after an attempt that may have run | given up after such an attempt
//   idempotent   | yes                                           | rejected
//   deduplicated | within the deduplication window               | rejected if repeats are known everywhere
//   atMostOnce   | no                                            | rolled back
#pragma once

#include <deque>

#include "routing/latency_statistics.h"
#include "routing/routing_state.h"

namespace gulltrestle::routing {

// Judges one transaction by its effect, its attempts and the time that its client has left.
class RetryPolicy {
 public:
  RetryPolicy(const RoutingState& state, const LatencyStatistics& latencies)
      : state_(state), latencies_(latencies) {}

  // How long the transaction's client has waited in earlier tries, as far as can be told. Called once for
  // each transaction that comes without that figure.
  Duration timeInEarlierTries(const Transaction& transaction);

  // The transaction ends here without a result; its client may come back with it.
  void recordAbandoned(const PendingTransaction& transaction);

  // Whether one more attempt is allowed at all.
  bool maySend(const PendingTransaction& transaction) const;

  // Whether so little can be earned that the transaction is better not sent.
  bool isHopeless(const PendingTransaction& transaction) const;

  // The fraction of its value that the transaction can be expected to earn if it is sent now.
  double expectedValueFraction(const PendingTransaction& transaction) const;

  // Whether a second attempt may be in flight beside the first once hedgeAt() is past.
  bool mayHedge(const PendingTransaction& transaction) const;
  // When the attempt in flight has been silent for too long.
  Instant hedgeAt(const PendingTransaction& transaction) const;

  // By when an attempt at the node has to be written, else it must not be.
  Instant sendBy(const PendingTransaction& transaction, const NodeState& node) const;

  // Whether the client may be told to try again: the transaction has not run, or may run twice.
  bool isSafeToReject(const PendingTransaction& transaction) const;

 private:
  struct AbandonedTransaction {
    SessionId session;
    std::size_t transactionClass;
    Instant firstTryAt, abandonedAt;
  };
  struct ClientTimeout {
    double deadlineFraction;
    bool isCommon;  // among the ones before it
  };

  Instant resendBy(const PendingTransaction& transaction) const;
  bool isLaterTry(const Transaction& transaction);

  const RoutingState& state_;
  const LatencyStatistics& latencies_;
  std::deque<AbandonedTransaction> abandoned_;  // the last ones of sessions
  std::deque<ClientTimeout> clientTimeouts_;    // of the last transactions
};

}  // namespace gulltrestle::routing
