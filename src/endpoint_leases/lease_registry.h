// Decides which ext_proc streams are attempts of one transaction, and stores what is known of its earlier
// ones: whether a stream's request goes to the router at all, with which prior attempts, or what it is
// answered instead. The choice of a node, retries and rejections are the router's, which is given the prior
// attempts (PriorAttempts). No I/O, no clock.
//
// A transaction is identified by the id that its client gave it. Its states, and what a further stream with
// its id gets:
//
//   state      meaning                           a retry of it               any other stream
//   asked      a stream waits, no lease granted  replaces the one that       denied: rejected, or rolled
//                                                waits                       back if it is not idempotent
//   granted    a lease is out, no end reported   waits a moment for the      denied likewise
//                                                end, then goes on as one
//                                                that may have run
//   between    the last attempt ended, and       goes on, with what is       denied likewise; a new
//              another may come                  known of the earlier ones   transaction if none was granted
//   over       it had its final answer           the same answer again       a new transaction if it is
//                                                                            idempotent or never ran; else
//                                                                            denied
//   (unknown)  never seen, or by another start   treated as new; with a retry's count or another start's
//              of this program, or forgotten     lease, as one that may have run unless nothing was written
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

// How a proxy is placed: it requests once per HTTP request, and what ends without effect is over; or once per
// attempt, and the next attempt may go on.
enum class ProxyPlacement { request, attempts };

// What a stream requests.
struct LeaseRequest {
  std::string id;
  std::size_t type = 0;                // row of the transaction classes
  unsigned attempt = 1;                // the proxy's count, from 1
  Written written = Written::unknown;  // by the earlier attempts
  std::string token;                   // of the last lease that the proxy knows of; empty: none
  Duration remainingTime;
};

// What a stream gets. The comments name the actions that each field belongs to.
struct LeaseDecision {
  enum class Action {
    take,   // pass it to the router
    wait,   // request again at `until`: an earlier attempt's end is awaited
    answer  // it gets `outcome` without the router
  } action = Action::take;
  PriorAttempts earlier;                          // take
  Instant until;                                  // wait
  FinalOutcome outcome = FinalOutcome::rejected;  // answer
  std::string_view reason;                        // answer; static
  StreamKey supersedes = 0;      // take: this stream waited for the same transaction, and is to be rejected
  StreamKey endsUnreported = 0;  // take: this stream's lease counts as ended, and may have run
};

// Of the registry's memory.
struct Bounds {
  std::size_t most = 65536;  // remembered transactions, each: those that are idempotent, and all others
};

// Called by the ext_proc request streams, in the order of their events.
class LeaseRegistry {
 public:
  // `start`: names this start of the program in tokens; no other start has the same.
  LeaseRegistry(std::vector<TransactionClass> classes, ProxyPlacement placement, Bounds bounds,
                std::string start);

  // A stream requests a lease. Called again for one that was told to wait.
  LeaseDecision asked(Instant now, StreamKey stream, const LeaseRequest& request);
  // The requesting stream was granted a lease at the node. Returns the lease's token.
  std::string granted(Instant now, const std::string& id, StreamKey stream, const NodeId& node);
  // That attempt has ended.
  void ended(Instant now, const std::string& id, StreamKey stream, AttemptOutcome attemptOutcome);
  // The router answered the stream; that is the transaction's final answer unless another attempt may come.
  void answered(Instant now, const std::string& id, StreamKey stream, FinalOutcome outcome);
  // The stream ended without an answer: its proxy cancelled it, or its connection was lost.
  void left(Instant now, const std::string& id, StreamKey stream);

  // Drops expired transactions. Returns when the next ones expire; never: none is left.
  Instant forget(Instant now);

  std::size_t size() const { return entries_.size(); }

 private:
  enum class State { asked, granted, between, over };
  // A retry that waits for the end of the attempt before it, until a point in time.
  struct WaitingRetry {
    StreamKey stream = 0;
    Instant until;
  };
  struct Entry {
    State state = State::asked;
    std::size_t type = 0;
    StreamKey stream = 0;  // that requests or has the lease; 0: none
    unsigned attempt = 1, leases = 0;
    Instant firstAt;       // when its first attempt came; never: not known
    Instant mayHaveRunAt;  // when the first attempt that may have run was granted; never: none was
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
  LeaseDecision take(Instant now, const Entry& entry) const;
  LeaseDecision takeUnknown(Instant now, StreamKey stream, const LeaseRequest& request);
  LeaseDecision takeRetry(Instant now, StreamKey stream, const LeaseRequest& request, Entry& entry);
  LeaseDecision deny(const Entry& entry, std::string_view reason) const;
  std::optional<LeaseDecision> denyRetryOfFinished(const Entry& entry) const;
  std::optional<LeaseDecision> denyReuseOfFinished(const Entry& entry) const;
  void remember(Instant now, const std::string& id, Entry& entry, State state);
  bool isIdempotent(std::size_t type) const { return classes_[type].effect == Effect::idempotent; }

  std::vector<TransactionClass> classes_;
  ProxyPlacement placement_;
  Bounds bounds_;
  std::string start_;
  std::unordered_map<std::string, Entry> entries_;
  // When entries in state between or over expire.
  ExpiryQueue idempotentExpiries_, otherExpiries_;
};

}  // namespace gulltrestle::endpoint_leases
