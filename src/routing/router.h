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

enum class Effect { repeatable, referenced, onceOnly };
enum class ReadLevel { any, bounded, session, fresh, write };

// What the start settings say of one txn type.
struct TxnType {
  Effect effect = Effect::repeatable;
  ReadLevel level = ReadLevel::any;
  Span bound;                       // how old the data of a bounded read may be when it is sent
  Span latencyTarget;               // full value when answered within this
  double latencyTargetStretch = 0;  // the latency target grows by this many times the expected work
  Span deadline;                    // the client's whole wait, over all its tries
  double value = 1;
  double lateShare = 0;              // part of the value that is left after the latency target
  bool dropsRepeatsAnywhere = true;  // referenced: every node drops repeats, or only the txn's own group
  Span referenceWindow;              // referenced: how long a repeat is known
  bool operator==(const TxnType&) const = default;
};

// What the front says when a router starts: the rules' figures and what is allowed here.
struct Terms {
  std::vector<TxnType> types;
  Span roundLength;
  unsigned routers = 1;
  double coldShare = 1;  // a node starts at this share of its capacity or above
  Span coldTime;         // and is warm after this
  bool onlyDrainingBinds =
      false;  // a node that is gone without having been listed as draining may be sent to
  bool probesAllowed = false;
  bool hedges = false;
  bool cancelAllowed = false;
  bool retryAfterAllowed = false;
  Span longestRetryAfter;
  unsigned mostAttempts = 1;
  bool ownConnections = false;  // each attempt out has a connection, which may fall silent by itself
  std::size_t mostOpen = 0;     // txns that clients can have open here at a time; 0: any number
  double crossZonePrice = 0;    // what an attempt into another zone costs, as a part of the value of a txn
  bool nodesGuard = false;      // a node rejects untouched a read that it is too far behind for
  bool sessionAgeCarried =
      false;  // reads carry the age of their session's last write; else it is remembered here
  bool listMustBeAsked = false;
  bool reducedByLevel = false;  // levels say what is refused in an overload, in place of chance (reduced())
  bool operator==(const Terms&) const = default;
};

// What is known of tries of a txn that came to another front, or to another stream of it, before this one.
struct Earlier {
  unsigned attempts = 0;
  std::optional<Span> since;          // how long ago the first try came; none: not known
  std::optional<Span> mayHaveRunFor;  // how long ago the first attempt that may have run was sent
  std::vector<NodeId> tried;
};

struct Txn {
  TxnId id = 0;
  std::size_t type = 0;  // row in Terms::types
  GroupId group = 0;
  std::optional<SessionId> session;
  std::optional<Span> writeAge;  // how long ago the session's last write was committed; zero: it has none
  Span patience;                 // how long until the client gives up this try
  std::optional<Span> work;      // expected, rough
  Earlier earlier;
  unsigned mostHere = 0;     // attempts that can be carried for this try; 0: as many as the terms allow
  std::optional<Span> hold;  // how long it may go without an attempt; none: as long as its patience
};

// Which txns of a type are let in while service is reduced; the further down, the fewer.
// Ready: reads that some replica with room can answer at once; spare: that one with half of its room free
// can.
enum class Admit { all, ready, spare, none };

// What one level of reduced service asks for, in one group.
struct Reduction {
  std::vector<Admit> admits;  // a row a txn type; empty: all are let in
  bool sparing = false;       // no hedges, and replicas are asked for their position half as often
};

enum class Health { live, draining, gone };

struct ListEntry {
  NodeId node;
  GroupId group = 0;
  KindId kind;  // of machine: members of one kind are alike
  Health health = Health::live;
  bool primary = false;
  bool sameZone = true;  // it stands in this router's own zone
  Instant startedAt;     // never: long ago
};

enum class ListKind { changes, whole, disk };

// How an attempt or a probe ended.
enum class End {
  committed,
  error,           // may have run
  rejected,        // never ran: full, or draining
  timeout,         // may have run
  noConnection,    // never ran
  connectionLost,  // may have run
  cancelled,       // may have run
  notSent,         // never ran: it was not sent at all
  notHere,         // never ran: a write at a node that is no primary, or a read where data is too old
};

enum class Role { unknown, primary, replica };

// What a node said of itself, in an answer or in a report.
struct Standing {
  Role role = Role::unknown;
  std::optional<Instant> position;    // all commits up to here are applied; of a write, its commit rounded up
  std::optional<double> inHand = {};  // txns that the node holds, of all routers
};

class Router;

// All that came in since the last round. deliver() makes the calls on the router, in arrival order.
class Feed {
 public:
  virtual ~Feed() = default;
  virtual void deliver(Router& router) = 0;
};

// Takes the decisions of a round, in order.
class Writer {
 public:
  virtual ~Writer() = default;
  // To be written to the node by `sendBy`, else it is not sent; given up at `cutAt`.
  virtual void submit(TxnId txn, const NodeId& node, Instant sendBy, Instant cutAt) = 0;
  virtual void cancel(TxnId txn, unsigned attempt) = 0;
  virtual void refuse(TxnId txn, Span retryAfter) = 0;
  virtual void rollBack(TxnId txn) = 0;
  virtual void probe(const NodeId& node) = 0;
  virtual void wakeAfter(Span after) = 0;
  virtual void followList() = 0;
  // The node left long ago and is known no more: nothing goes there unless a list names it again.
  virtual void forget(const NodeId& node) = 0;
};

class Router {
 public:
  Router(Terms terms, std::uint64_t seed);
  ~Router();

  // One round: takes what the feed delivers, then decides.
  void round(Instant now, Feed& feed, Writer& writer);

  // Called by a Feed from within round().
  void listed(ListKind kind, const std::vector<ListEntry>& entries);
  void listFailed();
  void taken(const Txn& txn);
  void clientLeft(TxnId txn);
  void streamStarted(TxnId txn);
  // Service of the group is reduced so from now on; `trial` of its txns are judged by the level `below`. It
  // can only refuse what comes: what is let in, and what was, keeps to the rules of its type.
  void reduced(GroupId group, const Reduction& level, const Reduction& below, double trial);
  void ended(TxnId txn, unsigned attempt, const NodeId& node, End how, bool txnOver, Span latency,
             const Standing& answer, const Standing& report);
  void probed(const NodeId& node, End how, const Standing& report);
  // The node took no connection, or the last one to it was ended from there.
  void disconnected(const NodeId& node);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace gulltrestle
