// Carries attempts and health checks to nodes over the PostgreSQL protocol: owns the connections to nodes,
// the queue of attempts that wait for a connection, and the attempt of each connection. Reads no socket and
// no clock.
//
//   stage       meaning                                        next stage
//   connecting  the connection is being established            starting: it is established
//   starting    the node's startup answer is awaited           idle or ready: the node is ready
//   idle        the connection has no attempt                  busy: an attempt was assigned
//   ready       the same, and attempts wait for a connection   busy or idle: the turn ends
//   busy        an attempt or health check is in flight        resyncing: its answer is complete
//   resyncing   more bytes than the answer may still arrive    idle or ready: an empty query was answered
//
// A connection may be closed in every stage.
//
// Attempts that wait are written at the end of a turn, after the router's round: by then all events of the
// turn are known, in whichever order they arrived, and the router has withdrawn what they make invalid.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/postgres/answer.h"
#include "transactions/transaction_table.h"

namespace gulltrestle::upstream::postgres {

// Identifies a connection to a node. Ids are never reused.
using NodeConnectionId = std::uint64_t;

// Actions that the pool requests from the owner of the sockets.
class Effects {
 public:
  virtual ~Effects() = default;
  // Opens a connection to a node; onConnected() or onClosed() reports the result.
  virtual void connect(NodeConnectionId connection, const std::string& address) = 0;
  // The slices are valid only during the call. Returns true if the last byte was written; otherwise
  // onWritten() reports it later.
  virtual bool writeNode(NodeConnectionId connection, transactions::ByteSlices slices) = 0;
  virtual void closeNode(NodeConnectionId connection) = 0;
  virtual void log(std::string line) = 0;
};

// Limits for connections to nodes, derived from the settings and the process's resource limits.
struct NodeConnectionLimits {
  Duration idleTimeout;            // nodes close connections that were idle for this long
  Duration connectTimeout;         // time limit for establishing a connection, and for a health check
  std::size_t maxConnections = 0;  // open at the same time
};

// Pool of connections to all nodes. One instance per gateway, added to the transaction table as an upstream
// transport.
class ConnectionPool final : public transactions::UpstreamTransport {
 public:
  // The references must outlive this.
  ConnectionPool(transactions::TransactionTable& transactions, NodeConnectionLimits limits, Effects& effects)
      : transactions_(transactions),
        endpoints_(transactions.endpoints()),
        limits_(limits),
        effects_(effects) {}

  void startAttempt(transactions::AttemptId attemptId, const NodeId& node) override;
  void cancelAttempt(transactions::AttemptId attemptId, const NodeId& node) override;
  void withdrawAttempt(transactions::AttemptId attemptId, const NodeId& node) override;
  void onEndpointList(const std::vector<NodeId>& moved) override;
  void forgetNode(const NodeId& node) override;

  // --- Events. TransactionTable::advanceTo() must be called with the time of the event first.

  void onConnected(NodeConnectionId id);
  void onWritten(NodeConnectionId id);
  // Returns the number of consumed bytes. The rest is passed again, followed by newer bytes.
  std::size_t onReceived(NodeConnectionId id, std::string_view bytes);
  void onClosed(NodeConnectionId id, transactions::ConnectionCloseReason reason);

  // Closes the connections whose deadline has expired.
  void endTurn();
  // Assigns waiting attempts to the connections that became free in this turn. Must be called after the
  // router's round.
  void sendWaiting();
  // Returns when endTurn() has to be called next; never: no timer is pending.
  Instant nextDue() const { return deadlines_.empty() ? Instant() : deadlines_.begin()->at; }

 private:
  using AttemptId = transactions::AttemptId;
  enum class Stage { connecting, starting, idle, ready, busy, resyncing };
  struct NodeConnection {
    NodeId node;
    Stage stage = Stage::connecting;
    AttemptId attemptId;           // valid in stage busy
    bool isFullyWritten = false;   // the last byte of the attempt was written
    bool isAnswerPartial = false;  // a part of the answer was received
    Instant deadline;              // of the current stage
  };
  struct NodeState {
    std::vector<NodeConnectionId> idle;  // most recently used last, and reused first
    std::deque<AttemptId> waiting;       // attempts that wait for a connection
    std::size_t opening = 0;             // connections in stage connecting or starting
    std::size_t resyncing = 0;           // connections in stage resyncing
    std::size_t ready = 0;               // connections in stage ready
    bool isReachable = true;             // the latest connection was established
    Instant malformedLoggedAt;           // when malformed bytes of the node were last logged
    std::size_t malformedCount = 0;      // number of occurrences since then
  };
  struct Deadline {
    Instant at;
    NodeConnectionId id = 0;
    auto operator<=>(const Deadline&) const = default;
  };
  struct AttemptOrder {
    bool operator()(const AttemptId& a, const AttemptId& b) const {
      return a.txn != b.txn ? a.txn < b.txn : a.attempt < b.attempt;
    }
  };

  // Opening, writing
  void openConnections(const NodeId& node, NodeState& state);
  bool closeLongestIdle();
  bool assignAttempt(NodeConnectionId id, NodeConnection& connection, AttemptId attemptId);
  void writeHealthCheck(NodeConnectionId id, NodeConnection& connection);
  void writeAttempt(NodeConnectionId id, NodeConnection& connection, std::int64_t timeoutMillis);
  void setDeadline(NodeConnectionId id, NodeConnection& connection, Instant deadline);

  // Reading. A bool result tells whether more of the bytes may be consumed.
  bool consume(NodeConnectionId id, NodeConnection& connection, std::string_view& bytes);
  bool consumeStartupResult(NodeConnectionId id, NodeConnection& connection, std::string_view& bytes);
  bool consumeAnswer(NodeConnectionId id, NodeConnection& connection, std::string_view& bytes);
  bool consumeResyncAnswer(NodeConnectionId id, NodeConnection& connection, std::string_view& bytes);
  void onCompleteAnswer(NodeConnectionId id, NodeConnection& connection,
                        const gulltrestle::postgres::Answer& answer, bool hasMoreBytes);
  void startResync(NodeConnectionId id, NodeConnection& connection, bool hasMoreBytes);
  void release(NodeConnectionId id, NodeConnection& connection);
  void assignWaiting(NodeConnectionId id, NodeConnection& connection);
  void makeIdle(NodeConnectionId id, NodeConnection& connection);
  void logMalformed(const NodeId& node, std::string_view fault);

  // Closing
  bool isNodeDown(const NodeConnection& closed, transactions::ConnectionCloseReason reason) const;
  void close(NodeConnectionId id, transactions::ConnectionCloseReason reason);
  void onOpeningFailed(const NodeConnection& closed, NodeState& state,
                       transactions::ConnectionCloseReason reason);
  void closeUnused(const NodeId& node, NodeState& state);
  void endWaiting(const NodeId& node, NodeState& state);
  transactions::ConnectionCloseReason overdueReason(const NodeConnection& connection) const;

  transactions::TransactionTable& transactions_;
  const transactions::EndpointRegistry& endpoints_;
  NodeConnectionLimits limits_;
  Effects& effects_;
  std::map<NodeConnectionId, NodeConnection> connections_;
  std::map<NodeId, NodeState> nodeStates_;
  std::vector<NodeConnectionId> ready_;  // connections that entered stage ready in this turn, in that order
  std::map<AttemptId, NodeConnectionId, AttemptOrder>
      connectionsByAttempt_;      // connection of each attempt in flight
  std::set<Deadline> deadlines_;  // deadlines of connections_
  NodeConnectionId lastConnection_ = 0;
};

}  // namespace gulltrestle::upstream::postgres
