// The data model that the routing modules share: nodes, groups and the transactions that wait for their final
// answer. It holds what was learnt and answers questions of a line or two; policies stand in the modules.
//
// An Instant that was never set lies before all others ("never"), so that "long ago" needs no special case.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "base/samples.h"
#include "base/time.h"
#include "routing/random_source.h"
#include "routing/router.h"

namespace gulltrestle::routing {

// After this a departed node and a session's commit are forgotten: no transaction, outdated endpoint list or
// replication lag lasts as long.
constexpr Duration kForgetAfter = Duration::seconds(60);

// How many of a node's last outcomes its health is judged by.
constexpr std::size_t kRecentOutcomes = 8;

// Whether samples are too old to describe the present: 2 s, as long as a queue takes to drain. No samples at
// all count as outdated.
bool isOutdated(const Samples& samples, Instant now);

// An attempt that was sent and has not ended.
struct InFlightAttempt {
  TxnId transaction;
  unsigned number;
  std::size_t transactionClass;  // row in RoutingConfig::transactionClasses
  Instant sentAt;
  Instant requiredPosition;  // what the answering node must have applied; never: any position will do
  std::optional<SessionId> session;
};

// An attempt that has ended.
struct EndedAttempt {
  InFlightAttempt sent;
  AttemptOutcome outcome;
  Duration latency;
  // It got no answer and was in flight for much longer than usual, which counts as a failure that took at
  // least as long: else a node that answers nothing, or only what nobody waits for any more, is never found
  // out, and looks as quick as its answers.
  bool isLate;

  bool isCommitted() const { return outcome == AttemptOutcome::committed; }
  bool isUnanswered() const {
    return outcome == AttemptOutcome::cancelled || outcome == AttemptOutcome::timeout;
  }
  // Whether it may have run, and whether it did is not known.
  bool isLost() const { return isUnanswered() || outcome == AttemptOutcome::connectionLost; }
  bool mayHaveRun() const { return isLost() || outcome == AttemptOutcome::error; }
};

// What is known of one node.
struct NodeState {
  EndpointEntry endpoint;  // as last listed; its startedAt is the latest that was ever listed
  Instant lastListedAt;    // when a list last named it as live or draining
  bool wasListedDraining = false;
  bool isHealthCheckInFlight = false;

  Instant appliedPosition;  // all commits up to here are known to be applied
  Duration replicationLag;  // how far that position was behind when it was reported
  Instant lastKnownPrimaryAt, lastKnownReplicaAt;

  Instant lastHeardAt;
  Instant lastCheckedAt;   // when it was last sent a health check, or a write that looks for the primary
  Instant loadReportedAt;  // when it counted reportedInFlight
  double reportedInFlight = 0;

  Instant lastRejectedAt;          // when it last rejected a transaction untouched
  Instant lastRejectedAsStaleAt;   // when it last rejected one as the wrong node for a read
  Instant latestAnsweredSentAt;    // when the latest sent of its answered attempts was sent
  Instant lastTrialAt;             // when it was last sent an attempt while unhealthy
  Instant lastFailedAt;            // when an attempt there last failed
  Instant nextSlowStartSendAt;     // while it warms up, it gets its next transaction after this
  Samples latencyRatios;           // latencies as multiples of what is usual for the transaction class
  std::deque<bool> lastOutcomes;   // true: answered
  unsigned consecutiveErrors = 0;  // since its last answer
  std::vector<InFlightAttempt> inFlightAttempts;  // in the order of sending
};

// The nodes that hold the same data, and what holds for them together.
struct GroupState {
  std::vector<NodeState*> nodes;          // in the order of ids
  Instant lastPositionCheckAt;            // when its replicas were last checked for held reads
  DegradationRules degradation;           // in force
  DegradationRules relaxedDegradation;    // a level less
  double relaxedDegradationFraction = 0;  // of transactions, judged by the level less as a trial
  // Last latencies as fractions of the latency target; a rejection counts as the whole target.
  Samples replicaLatencyPressure, primaryLatencyPressure;
};

// A transaction that is owed its final answer.
struct PendingTransaction {
  Transaction request;
  Instant receivedAt;
  Instant firstTryAt;  // when its client's first try came, as far as can be told
  Instant latencyTargetAt;
  Instant answerBy;          // when its client gives up this try
  Instant requiredPosition;  // session reads: what the answering node must have applied
  unsigned attempts = 0;     // sent from here, and the next one's number; RoutingConfig::maxAttempts: no more
  unsigned attemptsInFlight = 0;
  Instant lastSentAt;
  Instant mayHaveRunAt;  // when the first attempt that may have run was sent; never: none may have
  std::vector<const NodeState*> attemptedNodes;
  NodeState* erringNode = nullptr;  // where it got an error, while the cause of the error is not known
  bool isStreaming = false;         // its answer has begun
  bool isAdmissionDecided = false;  // whether it may be sent at all is decided once

  bool wasAttemptedAt(const NodeState& node) const;
  bool hasRunNowhere() const { return attemptsInFlight == 0 && mayHaveRunAt == Instant(); }
};

// All of it, with the settings and the present round's time.
struct RoutingState {
  RoutingState(RoutingConfig routingConfig, std::uint64_t seed);

  const RoutingConfig config;
  RandomSource random;
  Instant now;                   // of the present round
  DecisionSink* sink = nullptr;  // set while a round runs
  bool isRoundDelayed = false;   // the round came long after it was asked for: measured times are its own
  Duration shortestLatencyTarget;
  Duration shortestStalenessBound;  // of bounded reads
  std::map<NodeId, NodeState> nodes;
  std::map<GroupId, GroupState> groups;
  std::map<TxnId, PendingTransaction> pending;

  // Clients may name any group, but only the list makes one: all others share one that is empty.
  GroupState& groupOf(GroupId id);
  const GroupState& groupOf(GroupId id) const;
  const TransactionClass& classOf(const PendingTransaction& transaction) const;

  // Whether the node gets nothing new since it is being removed.
  bool isDraining(const NodeState& node) const;

  // Whether so many routers share the nodes that each has one transaction or none in flight to a node: its
  // own counts then say next to nothing of the node's load.
  bool isOneOfManyRouters() const;

  // A pause that was tuned where the shortest latency target is 200 ms or more; shorter in proportion where
  // transactions are quicker.
  Duration scaledPause(Duration tuned) const;
  // The same for what each router asks of nodes on its own account: longer in proportion beyond a dozen
  // routers, so that nodes are not asked more often.
  Duration sharedPause(Duration tuned) const;

  // How old the applied data must be at most at this moment. A bounded read's bound moves on while it
  // travels.
  Instant requiredPosition(const PendingTransaction& transaction) const;

 private:
  GroupState unlistedGroup_;
};

}  // namespace gulltrestle::routing
