// The interface of the routing decisions. A front end (the simulator's adapter, the gateway or the external
// processor) creates one Router per router process and calls runRound() whenever events have arrived. All
// decisions are made in this folder, without I/O and without reading a clock: the same configuration, seed
// and events yield bit-identical decisions.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace gulltrestle {

// Ids are stored as provided by the front end. Node ids are ordered lexicographically; all other ids are only
// compared for equality.
using TxnId = std::uint64_t;
using NodeId = std::string;
using KindId = std::string;
using GroupId = std::uint64_t;
using SessionId = std::uint64_t;
using ConnectionId = std::uint64_t;

// The consequence of executing a transaction twice: none, none within the deduplication window, or damage.
enum class Effect { idempotent, deduplicated, atMostOnce };
// How fresh the data of a read must be, in increasing order: any age, within the staleness bound of the
// class, including all commits of the session, including all commits. `write` is last, as writes require the
// primary, too.
enum class ReadLevel { any, bounded, session, linearizable, write };

// The settings of one transaction class.
struct TransactionClass {
  Effect effect = Effect::idempotent;
  ReadLevel level = ReadLevel::any;
  Duration maxStaleness;                   // how old the data of a bounded read may be when it is sent
  Duration latencyTarget;                  // an answer within this time yields the full value
  double latencyTargetPerServiceTime = 0;  // added to the latency target per unit of expected service time
  Duration deadline;                       // total time that the client waits, over all its requests
  double priorityWeight = 1;
  double lateValueFraction = 0;  // fraction of the value yielded after the latency target
  // For deduplicated: duplicates are recognised by every node; if false, only by the nodes of the same group.
  bool deduplicatesAcrossGroups = true;
  Duration deduplicationWindow;  // deduplicated: how long duplicates are recognised
  bool operator==(const TransactionClass&) const = default;
};

// The configuration of a router, constant for its lifetime: the parameters of the deployment and the features
// that are allowed.
struct RoutingConfig {
  std::vector<TransactionClass> transactionClasses;
  // The usual time between rounds. Decisions reserve rounds for events that may be late by one round.
  Duration roundInterval;
  unsigned routerCount = 1;  // number of routers that share the nodes

  double slowStartFraction = 1;       // minimum fraction of its capacity that a node has when it starts
  Duration slowStartWindow;           // time after which a node has its full capacity
  bool onlyDrainingExcludes = false;  // a node removed without having been listed as draining stays usable

  bool healthChecksAllowed = false;
  bool hedgingAllowed = false;
  bool cancelAllowed = false;
  bool retryAfterAllowed = false;
  Duration maxRetryAfter;
  unsigned maxAttempts = 1;             // per transaction, over all its known requests
  bool connectionPerAttempt = false;    // each attempt in flight has its own connection, which may hang alone
  std::size_t maxOpenTransactions = 0;  // of clients at this router; 0: unlimited

  // Cost of an attempt in another zone, as a fraction of the value of a transaction.
  double crossZoneCost = 0;
  // Nodes reject reads that require a later position than they have applied, without executing them.
  bool nodesRejectStaleReads = false;
  // Reads carry the age of the session's last write; if false, the router records it.
  bool sessionAgeProvided = false;
  bool endpointListIsPolled = false;
  // Degradation levels define what is rejected in an overload (setDegradation()).
  bool degradationEnabled = false;
  bool operator==(const RoutingConfig&) const = default;

  // Returns the longest deadline of a transaction class.
  Duration longestDeadline() const;
};

// Earlier requests for a transaction that were received by another front end, or by another stream of this
// one.
struct PriorAttempts {
  unsigned attempts = 0;
  std::optional<Duration> firstAttemptAge;      // time since the first request was received; none: unknown
  std::optional<Duration> ambiguousAttemptAge;  // time since the first attempt that may have run was sent
  std::vector<NodeId> attemptedNodes;
};

// A client's request for a transaction, as received.
struct Transaction {
  TxnId id = 0;
  std::size_t type = 0;  // row in RoutingConfig::transactionClasses
  GroupId group = 0;
  std::optional<SessionId> session;
  // Session reads: the position of the session's last write, as a node has named it.
  std::optional<Instant> lastWritePosition;
  // If no position is named: time since the last commit of a write of the session; zero: no write.
  std::optional<Duration> writeAge;
  ConnectionId connection = 0;                  // of the client; 0: unknown
  Duration remainingTime;                       // until the client times out this request
  std::optional<Duration> expectedServiceTime;  // rough estimate of the service time
  PriorAttempts priorAttempts;
  unsigned maxLocalAttempts = 0;         // limit of the front end on attempts; 0: as configured
  std::optional<Duration> maxQueueTime;  // longest time without an attempt; none: remainingTime
};

// Which transactions of a class are admitted under degradation, in decreasing order. withReadyReplica: reads
// that a replica with free capacity can answer immediately; withSpareCapacity: that a replica with half of
// its capacity free can answer immediately.
enum class AdmissionPolicy { all, withReadyReplica, withSpareCapacity, none };

// The rules of one degradation level in one group.
struct DegradationRules {
  std::vector<AdmissionPolicy> admission;  // one per transaction class; empty: all are admitted
  bool limitsBackgroundWork = false;       // no hedges, and position checks half as often
};

// The state of a node in the endpoint list.
enum class Health { live, draining, removed };

// One node of an endpoint list.
struct EndpointEntry {
  NodeId node;
  GroupId group = 0;
  KindId kind;  // machine kind; nodes of one kind are expected to be equally fast
  Health health = Health::live;
  bool primary = false;
  bool sameZone = true;  // the node is in this router's zone
  Instant startedAt;     // never: started long ago
};

// The kind of an endpoint update. delta: only changed nodes; snapshot: all nodes; restored: all nodes of a
// stored endpoint list, which may be outdated.
enum class EndpointUpdateKind { delta, snapshot, restored };

// How an attempt or a health check ended.
enum class AttemptOutcome {
  committed,
  error,           // may have run
  rejected,        // never ran: the node is at capacity or draining
  timeout,         // may have run
  noConnection,    // never ran
  connectionLost,  // may have run
  cancelled,       // may have run
  notSent,         // never ran: not written to the node
  wrongNode,       // never ran: a write at a replica, or a read of data that is too old
};

// A node's role in its group, as reported by the node.
enum class Role { unknown, primary, replica };

// What a node reports about itself, in an answer to an attempt or to a health check.
struct LoadReport {
  Role role = Role::unknown;
  // All commits up to this time are applied. In the answer to a write: its commit time, rounded up.
  std::optional<Instant> position;
  std::optional<double> inFlight = {};  // transactions in flight to the node from all routers
};

class Router;

// Provides the events that arrived since the last round.
class EventSource {
 public:
  virtual ~EventSource() = default;
  // Calls the event functions of the router in the order of arrival. Called once in each round.
  virtual void deliver(Router& router) = 0;
};

// Receives the decisions of a round, in the order in which they are made. Must not call the router.
class DecisionSink {
 public:
  virtual ~DecisionSink() = default;
  // Sends an attempt. It must be written to the node by `sendBy` or not at all, and ends at `abandonAt` with
  // a timeout. The attempts of a transaction are numbered from 0 in the order of these calls.
  virtual void sendAttempt(TxnId txn, const NodeId& node, Instant sendBy, Instant abandonAt) = 0;
  // The node no longer qualifies for an attempt: if the attempt has not been written completely, it must not
  // be written any more, and ends as notSent. Otherwise it continues.
  virtual void withdraw(TxnId txn, unsigned attempt) = 0;
  // Cancels an attempt whose result is no longer needed. Its end must still be reported.
  virtual void cancel(TxnId txn, unsigned attempt) = 0;
  // Final answer: the client may retry after `retryAfter`; zero: no time is given.
  virtual void reject(TxnId txn, Duration retryAfter) = 0;
  // Final answer: the transaction may have been executed, and must not be executed again.
  virtual void rollBack(TxnId txn) = 0;
  // Sends a health check. Its end must be reported by Router::onHealthCheckEnded().
  virtual void sendHealthCheck(const NodeId& node) = 0;
  // Requests a round after this time, regardless of events.
  virtual void wakeAfter(Duration after) = 0;
  // Requests the endpoint list and subscribes to its changes.
  virtual void subscribeToEndpointList() = 0;
  // The node was removed long ago: nothing is sent to it unless an endpoint list contains it again.
  virtual void forgetNode(const NodeId& node) = 0;
};

// Decides for one router process which transaction is sent to which node and when. Not thread-safe.
class Router {
 public:
  // `seed` determines all random choices.
  Router(RoutingConfig config, std::uint64_t seed);
  ~Router();

  // Runs one round: processes the events, then makes the decisions. `now` must not decrease between rounds.
  void runRound(Instant now, EventSource& events, DecisionSink& sink);

  // Whether the node still qualifies for an attempt that was sent to it, as of the last round. Must be called
  // right before an attempt is written that had to wait, and may be called within a round.
  bool isSelectionValid(TxnId txn, unsigned attempt, const NodeId& node) const;

  // Whether an attempt is a read that was sent to the node because it is primary. Called as above.
  bool isReadAtPrimary(TxnId txn, unsigned attempt, const NodeId& node) const;

  // The functions below are events. They must be called only by an EventSource during runRound().
  void onEndpointList(EndpointUpdateKind kind, const std::vector<EndpointEntry>& entries);
  void onEndpointListFailed();
  void onTransaction(const Transaction& transaction);
  // The client has closed its connection: no final answer is required.
  void onClientDisconnected(TxnId txn);
  // The process shuts down and may be killed: no transaction, pending or received from now on, may get its
  // final answer later than `answerBy`.
  void onShutdown(Instant answerBy);
  // The answer of the transaction has started: no further decisions are made for it.
  void onStreamStarted(TxnId txn);
  // Sets the degradation rules of the group. The fraction `relaxedFraction` of its transactions is subject to
  // the less strict rules `relaxed`. Applies to transactions received from now on; admitted ones are subject
  // only to the rules of their class.
  void setDegradation(GroupId group, const DegradationRules& level, const DegradationRules& relaxed,
                      double relaxedFraction);
  // Must be called once for each attempt sent. `isOver`: the transaction has received its final answer.
  // `answer`: what the node reports about itself in the answer; `report`: the load report sent with the
  // answer, if any.
  void onAttemptEnded(TxnId txn, unsigned attempt, const NodeId& node, AttemptOutcome outcome, bool isOver,
                      Duration latency, const LoadReport& answer, const LoadReport& report);
  void onHealthCheckEnded(const NodeId& node, AttemptOutcome outcome, const LoadReport& report);
  // The node refused a connection, or closed the last one.
  void onNodeDisconnected(const NodeId& node);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace gulltrestle
