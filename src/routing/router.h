// The interface of the decision module. A front (today the bench's wire, later a socket service or an
// external processor) makes one Router for each router process and calls round() whenever something has come
// in. It holds no decision: those all stand in router.cpp.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace gulltrestle {

// Ids are kept as the front gives them and mean nothing beyond being equal or not.
using TxnId = std::uint64_t;
using NodeId = std::string;
using KindId = std::string;
using GroupId = std::uint64_t;
using SessionId = std::uint64_t;

enum class Effect { idempotent, deduplicated, atMostOnce };
enum class ReadLevel { any, bounded, session, linearizable, write };

// What the start settings say of one txn type.
struct TransactionClass {
  Effect effect = Effect::idempotent;
  ReadLevel level = ReadLevel::any;
  Duration maxStaleness;            // how old the data of a bounded read may be when it is sent
  Duration latencyTarget;           // full value when answered within this
  double latencyTargetPerWork = 0;  // the latency target grows by this many times the expected work
  Duration deadline;                // the client's whole wait, over all its tries
  double priorityWeight = 1;
  double lateValueFraction = 0;          // part of the value that is left after the latency target
  bool deduplicatesAcrossGroups = true;  // referenced: every node drops repeats, or only the txn's own group
  Duration deduplicationWindow;          // referenced: how long a repeat is known
  bool operator==(const TransactionClass&) const = default;
};

// What the front says when a router starts: the rules' figures and what is allowed here.
struct RoutingConfig {
  std::vector<TransactionClass> transactionClasses;
  Duration roundInterval;
  unsigned routerCount = 1;
  double slowStartFraction = 1;  // a node starts at this share of its capacity or above
  Duration slowStartWindow;      // and is warm after this
  bool onlyDrainingExcludes =
      false;  // a node that is gone without having been listed as draining may be sent to
  bool healthChecksAllowed = false;
  bool hedgingAllowed = false;
  bool cancelAllowed = false;
  bool retryAfterAllowed = false;
  Duration maxRetryAfter;
  unsigned maxAttempts = 1;
  bool connectionPerAttempt = false;    // each attempt out has a connection, which may fall silent by itself
  std::size_t maxOpenTransactions = 0;  // txns that clients can have open here at a time; 0: any number
  double crossZoneCost = 0;  // what an attempt into another zone costs, as a part of the value of a txn
  bool nodesRejectStaleReads = false;  // a node rejects untouched a read that it is too far behind for
  bool sessionAgeProvided =
      false;  // reads carry the age of their session's last write; else it is remembered here
  bool endpointListIsPolled = false;
  bool degradationEnabled =
      false;  // levels say what is refused in an overload, in place of chance (reduced())
  bool operator==(const RoutingConfig&) const = default;
};

// What is known of tries of a txn that came to another front, or to another stream of it, before this one.
struct PriorAttempts {
  unsigned attempts = 0;
  std::optional<Duration> firstAttemptAge;      // how long ago the first try came; none: not known
  std::optional<Duration> ambiguousAttemptAge;  // how long ago the first attempt that may have run was sent
  std::vector<NodeId> attemptedNodes;
};

struct Transaction {
  TxnId id = 0;
  std::size_t type = 0;  // row in RoutingConfig::types
  GroupId group = 0;
  std::optional<SessionId> session;
  std::optional<Duration> writeAge;  // how long ago the session's last write was committed; zero: it has none
  Duration remainingTime;            // how long until the client gives up this try
  std::optional<Duration> expectedWork;  // expected, rough
  PriorAttempts priorAttempts;
  unsigned maxLocalAttempts = 0;  // attempts that can be carried for this try; 0: as many as the terms allow
  std::optional<Duration> maxHold;  // how long it may go without an attempt; none: as long as its patience
};

// Which txns of a type are let in while service is reduced; the further down, the fewer.
// Ready: reads that some replica with room can answer at once; spare: that one with half of its room free
// can.
enum class AdmissionPolicy { all, withReadyReplica, withSpareCapacity, none };

// What one level of reduced service asks for, in one group.
struct DegradationRules {
  std::vector<AdmissionPolicy> admission;  // a row a txn type; empty: all are let in
  bool limitsBackgroundWork = false;  // no hedges, and replicas are asked for their position half as often
};

enum class Health { live, draining, removed };

struct EndpointEntry {
  NodeId node;
  GroupId group = 0;
  KindId kind;  // of machine: members of one kind are alike
  Health health = Health::live;
  bool primary = false;
  bool sameZone = true;  // it stands in this router's own zone
  Instant startedAt;     // never: long ago
};

enum class EndpointUpdateKind { delta, snapshot, restored };

// How an attempt or a probe ended.
enum class AttemptOutcome {
  committed,
  error,           // may have run
  rejected,        // never ran: full, or draining
  timeout,         // may have run
  noConnection,    // never ran
  connectionLost,  // may have run
  cancelled,       // may have run
  notSent,         // never ran: it was not sent at all
  wrongNode,       // never ran: a write at a node that is no primary, or a read where data is too old
};

enum class Role { unknown, primary, replica };

// What a node said of itself, in an answer or in a report.
struct LoadReport {
  Role role = Role::unknown;
  std::optional<Instant> position;  // all commits up to here are applied; of a write, its commit rounded up
  std::optional<double> inFlight = {};  // txns that the node holds, of all routers
};

class Router;

// All that came in since the last round. deliver() makes the calls on the router, in arrival order.
class EventSource {
 public:
  virtual ~EventSource() = default;
  virtual void deliver(Router& router) = 0;
};

// Takes the decisions of a round, in order.
class DecisionSink {
 public:
  virtual ~DecisionSink() = default;
  // To be written to the node by `sendBy`, else it is not sent; given up at `cutAt`.
  virtual void sendAttempt(TxnId txn, const NodeId& node, Instant sendBy, Instant cutAt) = 0;
  virtual void cancel(TxnId txn, unsigned attempt) = 0;
  virtual void reject(TxnId txn, Duration retryAfter) = 0;
  virtual void rollBack(TxnId txn) = 0;
  virtual void sendHealthCheck(const NodeId& node) = 0;
  virtual void wakeAfter(Duration after) = 0;
  virtual void followEndpointList() = 0;
  // The node left long ago and is known no more: nothing goes there unless a list names it again.
  virtual void forgetNode(const NodeId& node) = 0;
};

class Router {
 public:
  Router(RoutingConfig terms, std::uint64_t seed);
  ~Router();

  // One round: takes what the feed delivers, then decides.
  void runRound(Instant now, EventSource& feed, DecisionSink& writer);

  // Called by a Feed from within round().
  void onEndpointList(EndpointUpdateKind kind, const std::vector<EndpointEntry>& entries);
  void onEndpointListFailed();
  void onTransaction(const Transaction& txn);
  void onClientLeft(TxnId txn);
  void onStreamStarted(TxnId txn);
  // Service of the group is reduced so from now on; `trial` of its txns are judged by the level `below`. It
  // can only refuse what comes: what is let in, and what was, keeps to the rules of its type.
  void setDegradation(GroupId group, const DegradationRules& level, const DegradationRules& below,
                      double trial);
  void onAttemptEnded(TxnId txn, unsigned attempt, const NodeId& node, AttemptOutcome how, bool txnOver,
                      Duration latency, const LoadReport& answer, const LoadReport& report);
  void onHealthCheckEnded(const NodeId& node, AttemptOutcome how, const LoadReport& report);
  // The node took no connection, or the last one to it was ended from there.
  void onNodeDisconnected(const NodeId& node);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace gulltrestle
