// What the transaction table stores of one open transaction and of its attempts. No I/O, no clock.
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
  Instant sentAt;     // when the router decided it
  Instant sendBy;     // it must not be written later than this
  Instant abandonAt;  // its answer is not awaited beyond this
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
  std::size_t transactionClass = 0;  // row in RoutingConfig::transactionClasses
  Instant openedAt;
  Duration latencyTarget;        // at least 1 us
  bool usesGate = false;         // the execution gate decides, and is notified of the outcome
  Instant ambiguousPriorSentAt;  // when the first prior attempt that may have run was sent; never: none was
  bool isAdmitted = false;       // the admission controller has yet to be notified of the outcome
  std::optional<Transaction> awaitingGate;  // set until the gate decides: the router has not seen it yet

  // The client's own id; empty where the message has none.
  std::string_view id() const {
    return std::string_view(message.bytes).substr(message.idOffset, message.idSize);
  }
  // The time since it was opened, as a fraction of its latency target.
  double elapsedTargetFraction(Instant now) const { return (now - openedAt) / latencyTarget; }
  // None of its attempts is in flight any more.
  bool haveAllAttemptsEnded() const;
  bool hasAttemptInFlightAt(const std::set<NodeId>& nodes) const;
  // When the first attempt other than `attempt` that may have run, or is in flight, was sent; never: none
  // was.
  Instant firstAmbiguousSentAt(unsigned attempt) const;
  // What its attempts amount to. Call it once all have ended.
  ExecutionOutcome executionOutcome() const;
};

}  // namespace gulltrestle::transactions
