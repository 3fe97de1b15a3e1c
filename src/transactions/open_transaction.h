// The state that the transaction table stores for one open transaction and its attempts. No I/O, no clock.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "routing/router.h"
#include "transactions/downstream_handler.h"
#include "transactions/execution_gate.h"
#include "transactions/upstream_transport.h"

namespace gulltrestle::transactions {

// One attempt, from the router's decision to its end.
struct AttemptRecord {
  NodeId node;
  Instant sentAt;     // when the router decided to send it
  Instant sendBy;     // it must not be written later than this
  Instant abandonAt;  // its answer is not awaited longer than this
  bool hasEnded = false;
  AttemptOutcome outcome = AttemptOutcome::notSent;  // valid once it has ended
};

// A transaction that awaits its final answer, or still has attempts in flight.
struct OpenTransaction {
  DownstreamHandler* handler = nullptr;  // null: the final answer was given, or the client left
  OwnerId owner = 0;
  UpstreamTransport* transport = nullptr;
  RequestMessage message;
  std::vector<AttemptRecord> attempts;
  GroupId group = 0;
  std::size_t transactionClass = 0;  // index into RoutingConfig::transactionClasses
  Instant openedAt;
  Duration latencyTarget;        // at least 1 us
  bool usesGate = false;         // the execution gate decides, and is notified of the outcome
  Instant ambiguousPriorSentAt;  // when the first prior attempt that may have run was sent; Instant(): none
  bool isAdmitted = false;       // the admission controller has yet to be notified of the outcome
  std::optional<Transaction> awaitingGate;  // set until the gate decides; not yet passed to the router

  // The id that the client gave to the transaction; empty if the message contains none.
  std::string_view id() const {
    return std::string_view(message.bytes).substr(message.idOffset, message.idSize);
  }
  // The time since the transaction was opened, as a fraction of its latency target.
  double elapsedTargetFraction(Instant now) const { return (now - openedAt) / latencyTarget; }
  // Returns whether none of its attempts is in flight any more.
  bool haveAllAttemptsEnded() const;
  bool hasAttemptInFlightAt(const std::set<NodeId>& nodes) const;
  // Returns when the first attempt other than `attempt` was sent that may have run or is in flight; Instant()
  // if there is none.
  Instant firstAmbiguousSentAt(unsigned attempt) const;
  // Returns the outcome that results from its attempts. Must be called only after all of them have ended.
  ExecutionOutcome executionOutcome() const;
};

}  // namespace gulltrestle::transactions
