// The data model shared by the routing modules: nodes, groups and pending transactions. It stores what has
// been observed and provides simple queries; policies are implemented in the modules.
//
// An Instant that was never set ("never") is earlier than all others, so that "long ago" needs no special
// case.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/samples.h"
#include "base/time.h"
#include "routing/position_clock.h"
#include "routing/random_source.h"
#include "routing/router.h"

namespace gulltrestle::routing {

// Time after which a departed node and a session's commit are deleted. No transaction, outdated endpoint list
// or replication lag lasts that long.
constexpr Duration kRetentionTime = Duration::seconds(60);

// Number of last outcomes that determine the health of a node.
constexpr std::size_t kRecentOutcomes = 8;

// Whether the last sample is older than 2 s, the time that a queue takes to drain, and thus says nothing
// about the present. An empty series is outdated.
bool isOutdated(const Samples& samples, Instant now);

// What the selection of a node for an attempt relies on (selection_validity.h).
enum class SelectionBasis { none, primary, primaryForRead, appliedPosition };

// An attempt that was sent and has not ended.
struct InFlightAttempt {
  TxnId transaction;
  unsigned number;
  std::size_t transactionClass;  // row in RoutingConfig::transactionClasses
  Instant sentAt;
  Instant requiredPosition;  // position that the answering node must have applied; never: any
  std::optional<SessionId> session;
  SelectionBasis basis = SelectionBasis::none;
};

// An attempt that has ended.
struct EndedAttempt {
  InFlightAttempt sent;
  AttemptOutcome outcome;
  Duration latency;
  // Whether it ended unanswered after much longer than the usual latency. It then counts as a failure with at
  // least that latency; otherwise a node that answers nothing, or only attempts that are no longer needed,
  // would never be detected and would look as fast as its answers.
  bool isLate;

  bool isCommitted() const { return outcome == AttemptOutcome::committed; }
  bool isUnanswered() const {
    return outcome == AttemptOutcome::cancelled || outcome == AttemptOutcome::timeout;
  }
  // Whether it may have run, but its outcome is unknown.
  bool isLost() const { return isUnanswered() || outcome == AttemptOutcome::connectionLost; }
  bool mayHaveRun() const { return isLost() || outcome == AttemptOutcome::error; }
};

// The state of one node as known to this router.
struct NodeState {
  EndpointEntry endpoint;  // as last listed; startedAt is the latest ever listed
  Instant lastListedAt;    // when it was last listed as live or draining
  bool wasListedDraining = false;
  bool isHealthCheckInFlight = false;

  Instant appliedPosition;  // all commits up to this time are known to be applied
  Duration replicationLag;  // lag of that position when it was reported
  Instant lastKnownPrimaryAt, lastKnownReplicaAt;
  // Last rejection of a write as the wrong node; never: none, or it has committed a write that was sent
  // later.
  Instant rejectedWriteAt;

  Instant lastResponseAt;
  Instant lastCheckedAt;   // last health check, or write that searches for the primary
  Instant loadReportedAt;  // when reportedInFlight was counted
  double reportedInFlight = 0;

  Instant lastRejectedAt;          // last rejection of a transaction without execution
  Instant lastRejectedAsStaleAt;   // last rejection of a read as the wrong node
  Instant latestAnsweredSentAt;    // latest send time among its answered attempts
  Instant lastTrialAt;             // last attempt sent while it was unhealthy
  Instant lastFailedAt;            // last failure of an attempt
  Instant nextSlowStartSendAt;     // earliest time of its next transaction during slow start
  Samples latencyRatios;           // latencies as multiples of the usual latency of the transaction class
  std::deque<bool> lastOutcomes;   // true: answered
  unsigned consecutiveErrors = 0;  // since its last answer
  std::vector<InFlightAttempt> inFlightAttempts;  // in the order of sending

  // Null if the attempt is not in flight at this node.
  const InFlightAttempt* findInFlight(TxnId transaction, unsigned number) const;
  // Whether it was primary according to its latest report.
  bool isKnownPrimary() const { return lastKnownPrimaryAt > lastKnownReplicaAt; }
  // Whether it is listed as primary and has not been known as a replica: endpoint lists are late.
  bool isListedPrimary() const { return endpoint.primary && lastKnownReplicaAt == Instant(); }
  // Whether it has rejected a write because it is a replica, and has not been primary since. Answers may
  // carry no roles.
  bool rejectsWrites() const { return rejectedWriteAt != Instant() && rejectedWriteAt >= lastKnownPrimaryAt; }
};

// The nodes that store the same data, and the state that they share.
struct GroupState {
  std::vector<NodeState*> nodes;          // in the order of ids
  PositionClock positionClock;            // by which its nodes date their positions
  Instant lastPositionCheckAt;            // last position check of its replicas for queued reads
  DegradationRules degradation;           // in force
  DegradationRules relaxedDegradation;    // of the next less strict level
  double relaxedDegradationFraction = 0;  // fraction of transactions subject to it, as a trial
  // Last latencies as fractions of the latency target; a rejection counts as the whole target.
  Samples replicaLatencyPressure, primaryLatencyPressure;
};

// A transaction that has not received its final answer.
struct PendingTransaction {
  Transaction request;
  Instant receivedAt;
  Instant firstRequestAt;  // when the client's first request was received, as far as known
  Instant latencyTargetAt;
  Instant answerBy;          // when the client times out, or all answers of a shutdown are due
  Instant requiredPosition;  // session reads: position that the answering node must have applied
  // Number sent by this router, and the number of the next one; RoutingConfig::maxAttempts: no more are
  // allowed.
  unsigned attempts = 0;
  unsigned attemptsInFlight = 0;
  Instant lastSentAt;
  Instant mayHaveRunAt;  // when the first attempt that may have run was sent; never: none
  std::vector<const NodeState*> attemptedNodes;
  NodeState* erringNode = nullptr;  // node that returned an error, while its cause is unknown
  bool isStreaming = false;         // its answer has started
  bool isAdmissionDecided = false;  // admission is decided once

  bool wasAttemptedAt(const NodeState& node) const;
  bool hasNotRun() const { return attemptsInFlight == 0 && mayHaveRunAt == Instant(); }
};

// The whole routing state, with the configuration and the time of the present round.
struct RoutingState {
  RoutingState(RoutingConfig routingConfig, std::uint64_t seed);

  const RoutingConfig config;
  RandomSource random;
  Instant now;                              // time of the present round
  DecisionSink* sink = nullptr;             // set during a round
  bool isRoundDelayed = false;              // the round started late: measured times include its delay
  std::optional<Instant> shutdownAnswerBy;  // all final answers are due by then; none: no shutdown
  Duration shortestLatencyTarget;
  Duration shortestStalenessBound;  // of bounded reads
  std::map<NodeId, NodeState> nodes;
  std::map<GroupId, GroupState> groups;
  std::map<TxnId, PendingTransaction> pending;
  // Groups with a node whose role changed, or whose position became unknown, in this round.
  std::set<GroupId> changedGroups;

  // Clients may name any group, but only the endpoint list creates groups: all unlisted groups share an empty
  // one.
  GroupState& groupOf(GroupId id);
  const GroupState& groupOf(GroupId id) const;
  const TransactionClass& classOf(const PendingTransaction& transaction) const;

  // Returns when the final answer of a transaction is due whose client waits until `clientTimeoutAt`.
  Instant answerDue(Instant clientTimeoutAt) const;

  // Whether the node receives no new attempts because it is being removed.
  bool isDraining(const NodeState& node) const;

  // Whether so many routers share the nodes that each has at most one transaction in flight to a node. The
  // own counts of a router then say next to nothing about the load of the node.
  bool isOneOfManyRouters() const;

  // Scales a pause that applies where the shortest latency target is 200 ms or more: proportionally shorter
  // where the target is shorter.
  Duration scaledPause(Duration pause) const;
  // The same for requests that each router sends to nodes independently: proportionally longer for more than
  // a dozen routers, so that nodes don't receive more requests.
  Duration sharedPause(Duration pause) const;

  // The present by the clock that dates the positions of the group.
  Instant presentPosition(GroupId group) const;

  // The position that a node must have applied at this time to answer the transaction. The position that a
  // bounded read requires advances while the read is in transit.
  Instant requiredPosition(const PendingTransaction& transaction) const;

 private:
  GroupState unlistedGroup_;
};

}  // namespace gulltrestle::routing
