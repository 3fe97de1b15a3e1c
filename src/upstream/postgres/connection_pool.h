// Carries attempts and health checks to nodes over the PostgreSQL protocol: owns the connections to nodes,
// the attempts that wait for one, and what each connection carries. It reads no socket and no clock.
//
//   stage       meaning                                        next stage
//   connecting  the connection is being established            starting: it is
//   starting    the node's greeting is awaited                 idle or busy: the node is ready
//   idle        it carries nothing                             busy: it gets an attempt
//   busy        it carries an attempt                          clearing: its answer is complete
//   clearing    more than the answer may still come            idle or busy: an empty query was answered
//
// In every stage it may be closed.
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

// Identifies a connection to a node; never used again for another.
using NodeConnectionId = std::uint64_t;

// What the pool requests of whoever has the sockets.
class Effects {
 public:
  virtual ~Effects() = default;
  // Opens a connection to a node; onConnected() or onClosed() reports the result.
  virtual void connect(NodeConnectionId connection, const std::string& address) = 0;
  // The slices are valid during the call only. True: the last byte is written; else onWritten() reports it.
  virtual bool writeNode(NodeConnectionId connection, transactions::ByteSlices slices) = 0;
  virtual void closeNode(NodeConnectionId connection) = 0;
  virtual void log(std::string line) = 0;
};

// What the settings and the process's limits leave for connections to nodes.
struct Bounds {
  Duration idleLimit;              // nodes close connections that were idle for this long
  Duration connectLimit;           // for a connection to be established; also for a health check
  std::size_t maxConnections = 0;  // that may be open at a time
};

// One per gateway. Added to the table of transactions as an upstream transport.
class ConnectionPool final : public transactions::UpstreamTransport {
 public:
  // The references must outlive this.
  ConnectionPool(transactions::TransactionTable& transactions, Bounds bounds, Effects& effects)
      : transactions_(transactions),
        endpoints_(transactions.endpoints()),
        bounds_(bounds),
        effects_(effects) {}

  void startAttempt(transactions::AttemptId attemptId, const NodeId& node) override;
  void cancelAttempt(transactions::AttemptId attemptId, const NodeId& node) override;
  void withdrawAttempt(transactions::AttemptId attemptId, const NodeId& node) override;
  void onEndpointList(const std::vector<NodeId>& moved) override;
  void forgetNode(const NodeId& node) override;

  // --- Events, after TransactionTable::advanceTo() for their time.

  void onConnected(NodeConnectionId id);
  void onWritten(NodeConnectionId id);
  // Returns how many bytes were consumed; the rest is offered again, with more behind it.
  std::size_t onReceived(NodeConnectionId id, std::string_view bytes);
  void onClosed(NodeConnectionId id, transactions::ConnectionCloseReason reason);

  // Closes the connections whose time is over.
  void endTurn();
  // When endTurn() has something to do; never: nothing is due.
  Instant nextDue() const { return deadlines_.empty() ? Instant() : deadlines_.begin()->at; }

 private:
  using AttemptId = transactions::AttemptId;
  enum class Stage { connecting, starting, idle, busy, clearing };
  struct NodeConnection {
    NodeId node;
    Stage stage = Stage::connecting;
    AttemptId attemptId;           // while busy
    bool isFullyWritten = false;   // the attempt's last byte
    bool isAnswerPartial = false;  // a part of the answer has come
    Instant deadline;              // of its connecting, its attempt, its clearing or its idle time
  };
  struct NodeState {
    std::vector<NodeConnectionId> idle;  // the last used is taken first
    std::deque<AttemptId> waiting;       // for a connection
    std::size_t opening = 0;             // connections that are connecting or starting
    std::size_t clearing = 0;            // connections in that stage
    bool isReachable = true;             // the last connection that was opened was established
    Instant malformedLoggedAt;           // when it was last logged that it sent malformed bytes
    std::size_t malformedCount = 0;      // how often it has done so since
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
  void carry(NodeConnectionId id, NodeConnection& connection, AttemptId attemptId);
  void writeHealthCheck(NodeConnectionId id, NodeConnection& connection);
  void writeAttempt(NodeConnectionId id, NodeConnection& connection, std::int64_t timeoutMillis);
  void setDeadline(NodeConnectionId id, NodeConnection& connection, Instant deadline);

  // Reading. Each returns whether more of the bytes may be consumed.
  bool consume(NodeConnectionId id, NodeConnection& connection, std::string_view& bytes);
  bool consumeGreeting(NodeConnectionId id, NodeConnection& connection, std::string_view& bytes);
  bool consumeAnswer(NodeConnectionId id, NodeConnection& connection, std::string_view& bytes);
  bool consumeClearingAnswer(NodeConnectionId id, NodeConnection& connection, std::string_view& bytes);
  void endCarried(NodeConnectionId id, NodeConnection& connection,
                  const gulltrestle::postgres::Answer& answer, bool hasMoreBytes);
  void startClearing(NodeConnectionId id, NodeConnection& connection, bool hasMoreBytes);
  void release(NodeConnectionId id, NodeConnection& connection);
  void logMalformed(const NodeId& node, std::string_view fault);

  // Closing
  bool isNodeDown(const NodeConnection& closed, transactions::ConnectionCloseReason reason) const;
  void close(NodeConnectionId id, transactions::ConnectionCloseReason reason);
  void onOpeningFailed(const NodeConnection& closed, NodeState& state,
                       transactions::ConnectionCloseReason reason);
  void closeIdle(NodeState& state);
  void endWaiting(const NodeId& node, NodeState& state);
  transactions::ConnectionCloseReason overdueReason(const NodeConnection& connection) const;

  transactions::TransactionTable& transactions_;
  const transactions::EndpointRegistry& endpoints_;
  Bounds bounds_;
  Effects& effects_;
  std::map<NodeConnectionId, NodeConnection> connections_;
  std::map<NodeId, NodeState> nodeStates_;
  std::map<AttemptId, NodeConnectionId, AttemptOrder>
      carryingConnections_;       // by the attempt that each carries
  std::set<Deadline> deadlines_;  // of connections_
  NodeConnectionId lastConnection_ = 0;
};

}  // namespace gulltrestle::upstream::postgres
