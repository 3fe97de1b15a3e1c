// The interface of the routing decisions. A front end (the simulator's adapter, the gateway or the external
// processor) makes one Router for each router process and calls runRound() whenever something has come in.
// All decisions are made in this folder, without I/O and without a clock of their own: the same
// configuration, seed and events give the same decisions, to the last bit.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace gulltrestle {

// Ids are stored as the front end gives them. Node ids are ordered as text; else they are only compared for
// equality.
using TxnId = std::uint64_t;
using NodeId = std::string;
using KindId = std::string;
using GroupId = std::uint64_t;
using SessionId = std::uint64_t;

// What may happen if a transaction is executed twice: nothing, nothing within the deduplication window, or
// damage.
enum class Effect { idempotent, deduplicated, atMostOnce };
// How fresh a read's data has to be, in rising order: any age, within the class's bound, including all that
// the session has committed, including all that anyone has committed. Writes come last, as they need the
// primary, too.
enum class ReadLevel { any, bounded, session, linearizable, write };

// The settings of one transaction class.
struct TransactionClass {
  Effect effect = Effect::idempotent;
  ReadLevel level = ReadLevel::any;
  Duration maxStaleness;            // how old the data of a bounded read may be when it is sent
  Duration latencyTarget;           // full value when answered within this
  double latencyTargetPerWork = 0;  // the latency target grows by this many times the expected work
  Duration deadline;                // the client's whole wait, over all its tries
  double priorityWeight = 1;
  double lateValueFraction = 0;  // fraction of the value that is left after the latency target
  bool deduplicatesAcrossGroups =
      true;                      // deduplicated: by every node, else by the transaction's own group only
  Duration deduplicationWindow;  // deduplicated: for how long repeats are recognised
  bool operator==(const TransactionClass&) const = default;
};

// The configuration of a router, fixed for its life: the deployment's figures and what is allowed.
struct RoutingConfig {
  std::vector<TransactionClass> transactionClasses;
  // The usual time between rounds. Decisions leave rounds in reserve for what may come late by one.
  Duration roundInterval;
  unsigned routerCount = 1;  // that share the nodes

  double slowStartFraction = 1;       // of its capacity that a node has when it starts, at least
  Duration slowStartWindow;           // after this a node has all of its capacity
  bool onlyDrainingExcludes = false;  // a node removed without having been listed as draining may be sent to

  bool healthChecksAllowed = false;
  bool hedgingAllowed = false;
  bool cancelAllowed = false;
  bool retryAfterAllowed = false;
  Duration maxRetryAfter;
  unsigned maxAttempts = 1;             // for one transaction, over all its tries that are known
  bool connectionPerAttempt = false;    // each attempt in flight has a connection, which may hang by itself
  std::size_t maxOpenTransactions = 0;  // that clients can have here at a time; 0: unlimited

  double crossZoneCost = 0;  // of an attempt in another zone, as a fraction of a transaction's value
  bool nodesRejectStaleReads = false;  // nodes reject untouched a read that they are too far behind for
  bool sessionAgeProvided = false;  // reads carry the age of their session's last write; else it is recorded
  bool endpointListIsPolled = false;
  bool degradationEnabled = false;  // levels say what is rejected in an overload (setDegradation())
  bool operator==(const RoutingConfig&) const = default;
};

// What is known of earlier tries of a transaction that came through another front end, or another stream of
// it.
struct PriorAttempts {
  unsigned attempts = 0;
  std::optional<Duration> firstAttemptAge;      // how long ago the first try came; none: unknown
  std::optional<Duration> ambiguousAttemptAge;  // how long ago the first attempt that may have run was sent
  std::vector<NodeId> attemptedNodes;
};

// A try of a client's transaction, as it comes in.
struct Transaction {
  TxnId id = 0;
  std::size_t type = 0;  // row in RoutingConfig::transactionClasses
  GroupId group = 0;
  std::optional<SessionId> session;
  std::optional<Duration> writeAge;  // how long ago the session's last write was committed; zero: it has none
  Duration remainingTime;            // until the client gives up this try
  std::optional<Duration> expectedWork;  // a rough estimate of its service time
  PriorAttempts priorAttempts;
  unsigned maxLocalAttempts = 0;    // attempts that the front end can carry; 0: as many as configured
  std::optional<Duration> maxHold;  // the longest time without an attempt; none: as remainingTime
};

// Which transactions of a class are admitted under degradation, in falling order. withReadyReplica: reads
// that some replica with capacity can answer at once; withSpareCapacity: one with half of its capacity free.
enum class AdmissionPolicy { all, withReadyReplica, withSpareCapacity, none };

// What one degradation level asks for, in one group.
struct DegradationRules {
  std::vector<AdmissionPolicy> admission;  // a row a transaction class; empty: all are admitted
  bool limitsBackgroundWork = false;       // no hedges, and position checks half as often
};

// What the endpoint list says of a node.
enum class Health { live, draining, removed };

// One node of an endpoint list.
struct EndpointEntry {
  NodeId node;
  GroupId group = 0;
  KindId kind;  // of machine: nodes of one kind are expected to be equally fast
  Health health = Health::live;
  bool primary = false;
  bool sameZone = true;  // the node is in this router's zone
  Instant startedAt;     // never: long ago
};

// delta: changed nodes only; snapshot: all nodes; restored: all nodes of a list that was stored, which may be
// old.
enum class EndpointUpdateKind { delta, snapshot, restored };

// How an attempt or a health check ended.
enum class AttemptOutcome {
  committed,
  error,           // may have run
  rejected,        // never ran: full, or draining
  timeout,         // may have run
  noConnection,    // never ran
  connectionLost,  // may have run
  cancelled,       // may have run
  notSent,         // never ran: it was not sent
  wrongNode,       // never ran: a write at a replica, or a read where data is too old
};

// A node's role in its group, by its own word.
enum class Role { unknown, primary, replica };

// What a node reports of itself, in an answer or in a health check.
struct LoadReport {
  Role role = Role::unknown;
  std::optional<Instant> position;  // all commits up to here are applied; of a write, its commit rounded up
  std::optional<double> inFlight = {};  // transactions at the node, of all routers
};

class Router;

// The events that came in since the last round. Called once in each round.
class EventSource {
 public:
  virtual ~EventSource() = default;
  // Calls the router's event functions, in the order of arrival.
  virtual void deliver(Router& router) = 0;
};

// Takes the decisions of a round, in the order that they were made in. Must not call the router.
class DecisionSink {
 public:
  virtual ~DecisionSink() = default;
  // The attempt must be written to the node by `sendBy`, else not at all, and ends at `abandonAt` as a
  // timeout. Attempts of a transaction are numbered from 0 in the order of these calls.
  virtual void sendAttempt(TxnId txn, const NodeId& node, Instant sendBy, Instant abandonAt) = 0;
  // The result of the attempt is of no use any more; its end is still to be reported.
  virtual void cancel(TxnId txn, unsigned attempt) = 0;
  // Final answer: the client may try again after `retryAfter`; zero: no time is given.
  virtual void reject(TxnId txn, Duration retryAfter) = 0;
  // Final answer: the transaction may have been executed, and must not be executed again.
  virtual void rollBack(TxnId txn) = 0;
  virtual void sendHealthCheck(const NodeId& node) = 0;
  // Asks for a round after this time, whether or not an event comes.
  virtual void wakeAfter(Duration after) = 0;
  // Asks for the endpoint list, and all its changes from then on.
  virtual void followEndpointList() = 0;
  // The node was removed long ago: nothing is sent there unless a list names it again.
  virtual void forgetNode(const NodeId& node) = 0;
};

// Decides for one router process which transaction goes to which node and when. Not safe for concurrent use.
class Router {
 public:
  // `seed` sets all random choices.
  Router(RoutingConfig config, std::uint64_t seed);
  ~Router();

  // One round: takes the events, then decides. `now` never falls from round to round.
  void runRound(Instant now, EventSource& events, DecisionSink& sink);

  // The functions below are events, to be called by an EventSource from within runRound() only.
  void onEndpointList(EndpointUpdateKind kind, const std::vector<EndpointEntry>& entries);
  void onEndpointListFailed();
  void onTransaction(const Transaction& transaction);
  // The client has closed its connection: no final answer is owed.
  void onClientLeft(TxnId txn);
  // The transaction's answer has begun: no more is decided for it.
  void onStreamStarted(TxnId txn);
  // Sets the group's degradation from now on; the fraction `trial` of its transactions is judged by the less
  // strict level `below`. Applies to transactions that come in: admitted ones keep to the rules of their
  // class.
  void setDegradation(GroupId group, const DegradationRules& level, const DegradationRules& below,
                      double trial);
  // Must come once for each attempt sent. `isOver`: the transaction has got its final answer. `answer`: what
  // the node's answer says of the node; `report`: its load report, if one came along.
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
