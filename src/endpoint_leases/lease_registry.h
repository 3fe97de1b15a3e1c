// Decides which ext_proc streams are attempts of one transaction, and stores what is known of its earlier
// ones: whether a stream's request goes to the router at all, with which prior attempts, or what it is
// answered instead. The choice of a node, retries and rejections are the router's, which is given the prior
// attempts (PriorAttempts). No I/O, no clock.
//
// A transaction is identified by the id that its client gave it. Its states, and what a further stream with
// its id gets:
//
//   state            meaning                        a retry of it            any other stream
//   requested        a stream waits, no lease       replaces the one that    denied: rejected, or rolled
//                    granted                        waits                    back if it is not idempotent
//   leased           a lease is outstanding, its    waits a moment for the   denied likewise
//                    end not reported               end, then goes on as
//                                                   one that may have run
//   betweenAttempts  the last attempt ended, and    goes on, with what is    denied likewise; a new
//                    another may come               known of the earlier     transaction if no lease was
//                                                   ones                     granted
//   finished         it had its final answer        the same answer again    a new transaction if it is
//                                                                            idempotent or never ran;
//                                                                            else denied
//   (unknown)        never seen, or by another      treated as new; with a retry's count or another
//                    start of this program, or      start's lease, as one that may have run unless
//                    forgotten                      nothing was written
//
// A retry is a stream whose attempt count is above the last that was seen. What is not idempotent is
// remembered until its client's time is up by its class's deadline; where there is no capacity for that, no
// such transaction is admitted.
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

using StreamKey = std::uint64_t;  // a stream's own number; never 0

// A transaction's final answer.
enum class FinalOutcome { committed, rejected, rolledBack };

// Where in its filter chain a proxy calls the processor: it requests once per HTTP request, and what ends
// without effect is over; or once per attempt, and the next attempt may go on.
enum class ProxyPlacement { perRequest, perAttempt };

// What a stream requests.
struct LeaseRequest {
  std::string id;                                        // of the transaction, as its client gave it
  std::size_t transactionClass = 0;                      // row in RoutingConfig::transactionClasses
  unsigned attempt = 1;                                  // the proxy's count, from 1
  WriteProgress writeProgress = WriteProgress::unknown;  // of the earlier attempts
  std::string token;  // of the last lease that the proxy knows of; empty: none
  Duration remainingTime;
};

// What a stream gets. The comments name the actions that each field belongs to.
struct LeaseDecision {
  enum class Action {
    route,  // pass the request to the router
    wait,   // request again at `waitUntil`: an earlier attempt's end is awaited
    answer  // it gets `outcome` without the router
  } action = Action::route;
  PriorAttempts priorAttempts;                    // route
  Instant waitUntil;                              // wait
  FinalOutcome outcome = FinalOutcome::rejected;  // answer
  std::string_view reason;                        // answer; static
  // Route: this stream waited for the same transaction, and is to be rejected; 0: none did.
  StreamKey supersededStream = 0;
  // Route: this stream's lease counts as ended, and its attempt may have run; 0: none does.
  StreamKey unreportedStream = 0;
};

// Of the registry's memory.
struct RegistryBounds {
  // Remembered transactions: as many idempotent ones, and as many others.
  std::size_t maxTransactionsPerKind = 65536;
};

// Called by the ext_proc request streams, in the order of their events.
class LeaseRegistry {
 public:
  // `incarnation`: names this start of the program in tokens; no other start has the same.
  LeaseRegistry(std::vector<TransactionClass> classes, ProxyPlacement placement, RegistryBounds bounds,
                std::string incarnation);

  // A stream requests a lease. Called again for one that was to wait.
  LeaseDecision requestLease(Instant now, StreamKey stream, const LeaseRequest& request);
  // The requesting stream was granted a lease at the node. Returns the lease's token; empty, without effect,
  // if the stream's request is superseded.
  std::string onLeaseGranted(Instant now, const std::string& id, StreamKey stream, const NodeId& node);
  // That attempt has ended.
  void onAttemptEnded(Instant now, const std::string& id, StreamKey stream, AttemptOutcome outcome);
  // The router answered the stream; that is the transaction's final answer unless another attempt may come.
  void onAnswered(Instant now, const std::string& id, StreamKey stream, FinalOutcome outcome);
  // The stream ended without an answer: its proxy cancelled it, or its connection was lost.
  void onStreamCancelled(Instant now, const std::string& id, StreamKey stream);

  // Drops expired transactions. Returns when the next ones expire; never: none is left.
  Instant dropExpired(Instant now);

  // The number of remembered transactions.
  std::size_t size() const { return entries_.size(); }

 private:
  enum class State { requested, leased, betweenAttempts, finished };
  // A retry that waits for the end of the attempt before it, until a point in time.
  struct WaitingRetry {
    StreamKey stream = 0;
    Instant until;
  };
  struct Entry {
    State state = State::requested;
    std::size_t transactionClass = 0;
    StreamKey stream = 0;  // that requests or has the lease; 0: none
    unsigned attempt = 1, leaseCount = 0;
    Instant firstRequestedAt;  // by its first attempt; never: not known
    Instant mayHaveRunAt;      // when the first attempt that may have run was granted; never: none was
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

  Entry* find(const std::string& id, StreamKey stream);
  Entry& startEntry(Instant now, StreamKey stream, const LeaseRequest& request);
  LeaseDecision route(Instant now, const Entry& entry) const;
  LeaseDecision routeUnknown(Instant now, StreamKey stream, const LeaseRequest& request);
  LeaseDecision routeRetry(Instant now, StreamKey stream, const LeaseRequest& request, Entry& entry);
  LeaseDecision deny(const Entry& entry, std::string_view reason) const;
  std::optional<LeaseDecision> denyRetryOfFinished(const Entry& entry) const;
  std::optional<LeaseDecision> denyReuseOfFinished(const Entry& entry) const;
  void remember(Instant now, const std::string& id, Entry& entry, State state);
  bool isIdempotent(std::size_t transactionClass) const {
    return classes_[transactionClass].effect == Effect::idempotent;
  }

  std::vector<TransactionClass> classes_;
  ProxyPlacement placement_;
  RegistryBounds bounds_;
  std::string incarnation_;
  std::unordered_map<std::string, Entry> entries_;
  // When entries in state betweenAttempts or finished expire.
  ExpiryQueue idempotentExpiries_, otherExpiries_;
};

}  // namespace gulltrestle::endpoint_leases
