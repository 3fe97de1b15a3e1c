// Determines which ext_proc streams are attempts of the same transaction, and records its earlier attempts.
// Decides whether a stream's request is passed to the router, and with which prior attempts, or which answer
// it gets instead. The router, which is given the prior attempts (PriorAttempts), selects nodes and decides
// on retries and rejections. No I/O, no clock.
//
// A transaction is identified by the id that its client gave to it. Its states, and the result for a further
// stream with the same id:
//
//   state            meaning                        a retry of it            any other stream
//   requested        a stream waits, no lease       replaces the waiting     denied: rejected, or rolled
//                    granted                        stream                   back if it is not idempotent
//   leased           a lease is outstanding, its    waits briefly for the    denied likewise
//                    end not reported               end, then proceeds as
//                                                   one that may have run
//   betweenAttempts  the last attempt ended, and    proceeds, with the       denied likewise; a new
//                    another may follow             record of the earlier    transaction if no lease was
//                                                   attempts                 granted
//   finished         the final answer was given     the same answer again    a new transaction if it is
//                                                                            idempotent or never ran;
//                                                                            otherwise denied
//   (unknown)        never seen, or only by         treated as new; if its attempt count is above 1 or it
//                    another incarnation, or        has a lease token, as one that may have run, unless
//                    forgotten                      nothing was written
//
// A retry is a stream whose attempt count is above the last one seen. Transactions that are not idempotent
// are remembered until the deadline of their class, when their clients stop waiting. Without capacity for
// that, no such transaction is admitted.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "endpoint_leases/attempt_outcome.h"
#include "routing/router.h"

namespace gulltrestle::endpoint_leases {

using StreamKey = std::uint64_t;  // unique number of a stream; never 0

// A transaction's final answer.
enum class FinalOutcome { committed, rejected, rolledBack };

// Where in its filter chain a proxy calls the processor. perRequest: it requests a lease once per HTTP
// request, and an attempt that ends without effect is final. perAttempt: it requests one per attempt, and
// another attempt may follow.
enum class ProxyPlacement { perRequest, perAttempt };

// A stream's request for a lease.
struct LeaseRequest {
  std::string id;                                        // of the transaction, as given by its client
  std::size_t transactionClass = 0;                      // index into RoutingConfig::transactionClasses
  unsigned attempt = 1;                                  // the proxy's attempt count, from 1
  WriteProgress writeProgress = WriteProgress::unknown;  // of the earlier attempts
  std::string token;                                     // of the last lease known to the proxy; empty: none
  Duration remainingTime;
};

// The response to a stream's request. The comments name the action that each field belongs to.
struct LeaseDecision {
  enum class Action {
    route,  // pass the request to the router
    wait,   // request again at `waitUntil`: the end of an earlier attempt is awaited
    answer  // answer with `outcome`, without the router
  } action = Action::route;
  PriorAttempts priorAttempts;                    // route
  Instant waitUntil;                              // wait
  FinalOutcome outcome = FinalOutcome::rejected;  // answer
  std::string_view reason;                        // answer; static
  // Route: this stream waited for the same transaction and must be rejected; 0: none.
  StreamKey supersededStream = 0;
  // Route: this stream's lease counts as ended, and its attempt may have run; 0: none.
  StreamKey unreportedStream = 0;
};

// Limits on the registry's memory.
struct RegistryLimits {
  // Number of remembered transactions: this many idempotent ones, and this many others.
  std::size_t maxTransactionsPerKind = 65536;
};

// The ext_proc request streams call it in the order of their events.
class LeaseRegistry {
 public:
  // `incarnation`: identifies this run of the program in tokens; unique to each start.
  LeaseRegistry(std::vector<TransactionClass> classes, ProxyPlacement placement, RegistryLimits limits,
                std::string incarnation);

  // A stream requests a lease. Must be called again after a decision to wait.
  LeaseDecision requestLease(Instant now, StreamKey stream, const LeaseRequest& request);
  // The requesting stream was granted a lease for the node. Returns the lease's token; empty, without effect,
  // if the stream's request was superseded.
  std::string onLeaseGranted(Instant now, const std::string& id, StreamKey stream, const NodeId& node);
  // The attempt under the stream's lease has ended.
  void onAttemptEnded(Instant now, const std::string& id, StreamKey stream, AttemptOutcome outcome);
  // The router answered the stream; this is the transaction's final answer unless another attempt may follow.
  void onAnswered(Instant now, const std::string& id, StreamKey stream, FinalOutcome outcome);
  // The stream ended without an answer: its proxy cancelled it, or its connection was lost.
  void onStreamCancelled(Instant now, const std::string& id, StreamKey stream);

  // Drops expired transactions. Returns when the next ones expire; Instant() if none is left.
  Instant dropExpired(Instant now);

  // The number of remembered transactions.
  std::size_t size() const { return records_.size(); }

 private:
  enum class State { requested, leased, betweenAttempts, finished };
  // A retry that waits for the end of the previous attempt, at most until `until`.
  struct WaitingRetry {
    StreamKey stream = 0;
    Instant until;
  };
  struct TransactionRecord {
    State state = State::requested;
    std::size_t transactionClass = 0;
    StreamKey stream = 0;  // the stream that requests or has the lease; 0: none
    unsigned attempt = 1, leaseCount = 0;
    Instant firstRequestedAt;  // by the first attempt; Instant(): unknown
    Instant mayHaveRunAt;      // when the first attempt that may have run was granted; Instant(): none
    Instant grantedAt, expiresAt;
    std::vector<NodeId> attemptedNodes;
    std::string token;  // of the last lease
    FinalOutcome outcome = FinalOutcome::rejected;
    std::optional<WaitingRetry> waitingRetry;
  };
  struct Expiry {
    Instant at;
    std::string id;
  };
  using ExpiryQueue = std::deque<Expiry>;  // oldest first

  TransactionRecord* find(const std::string& id, StreamKey stream);
  TransactionRecord& startRecord(Instant now, StreamKey stream, const LeaseRequest& request);
  LeaseDecision route(Instant now, const TransactionRecord& record) const;
  LeaseDecision routeUnknown(Instant now, StreamKey stream, const LeaseRequest& request);
  LeaseDecision routeRetry(Instant now, StreamKey stream, const LeaseRequest& request,
                           TransactionRecord& record);
  LeaseDecision deny(const TransactionRecord& record, std::string_view reason) const;
  std::optional<LeaseDecision> denyRetryOfFinished(const TransactionRecord& record) const;
  std::optional<LeaseDecision> denyReuseOfFinished(const TransactionRecord& record) const;
  void remember(Instant now, const std::string& id, TransactionRecord& record, State state);
  bool isIdempotent(std::size_t transactionClass) const {
    return classes_[transactionClass].effect == Effect::idempotent;
  }

  std::vector<TransactionClass> classes_;
  ProxyPlacement placement_;
  RegistryLimits limits_;
  std::string incarnation_;
  std::unordered_map<std::string, TransactionRecord> records_;
  // When records in state betweenAttempts or finished expire.
  ExpiryQueue idempotentExpiries_, otherExpiries_;
};

}  // namespace gulltrestle::endpoint_leases
