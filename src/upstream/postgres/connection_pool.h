// Takes attempts and probes to nodes over the PostgreSQL protocol: owns the connections to nodes, what
// waits for one, and what each carries. It reads no socket and no clock.
#pragma once

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

using NodeConnectionId = std::uint64_t;  // a connection to a node

// What it asks for.
class Effects {
 public:
  virtual ~Effects() = default;
  // Opens a connection to a node; up() or ended() tells what became of it.
  virtual void connect(NodeConnectionId link, const std::string& address) = 0;
  // The parts are valid during the call only. True: the last byte is written; else written() tells of it.
  virtual bool writeNode(NodeConnectionId link, transactions::ByteSlices parts) = 0;
  virtual void closeNode(NodeConnectionId link) = 0;
  virtual void log(std::string line) = 0;
};

struct Bounds {
  Duration idleLimit;              // nodes close connections that were idle for this long
  Duration connectLimit;           // what is not up by then does not come up; a probe waits no longer either
  std::size_t maxConnections = 0;  // connections that may be open at one time
};

class ConnectionPool final : public transactions::UpstreamTransport {
 public:
  ConnectionPool(transactions::TransactionTable& ledger, Bounds bounds, Effects& effects)
      : ledger_(ledger), nodes_(ledger.endpoints()), bounds_(bounds), effects_(effects) {}

  void startAttempt(transactions::AttemptId job, const NodeId& node) override;
  void cancelAttempt(transactions::AttemptId job, const NodeId& node) override;
  void withdrawAttempt(transactions::AttemptId job, const NodeId& node) override;
  void onEndpointList(const std::vector<NodeId>& moved) override;
  void forgetNode(const NodeId& node) override;

  // Events. The ledger has been told when.
  void onConnected(NodeConnectionId link);
  void onWritten(NodeConnectionId link);
  // Returns how much was taken; the rest is offered again, with more behind it.
  std::size_t onReceived(NodeConnectionId link, std::string_view bytes);
  void onClosed(NodeConnectionId link, transactions::ConnectionCloseReason how);

  // What has come due ends.
  void endTurn();
  // When something is due; never: nothing is.
  Instant nextDue() const { return due_.empty() ? Instant() : due_.begin()->first; }

 private:
  using AttemptId = transactions::AttemptId;
  // Clearing: its answer has come; whether more than that comes is not known yet.
  enum class Stage { connecting, starting, idle, busy, clearing };
  struct NodeConnection {
    NodeId node;
    Stage stage = Stage::connecting;
    AttemptId job;
    bool written = false;
    bool answering = false;  // a part of the answer is there
    Instant due;             // when its connecting, its job or its idling ends
  };
  struct NodeState {                     // at a node
    std::vector<NodeConnectionId> idle;  // the last used is taken first
    std::deque<AttemptId> waiting;       // for a connection
    std::size_t opening = 0;             // connections that are not up yet
    std::size_t clearing = 0;            // and that have just answered
    bool reached = true;                 // the last connection that was opened came up
    Instant spoiltAt;                    // when it was last logged that it sent what can't be read
    std::size_t spoilt = 0;              // and how often it did so since
  };

  bool wasDown(const NodeConnection& ended, transactions::ConnectionCloseReason how) const;
  void openFor(const NodeId& id, NodeState& place);
  void write(NodeConnectionId id, NodeConnection& link, AttemptId job);
  void release(NodeConnectionId id, NodeConnection& link);
  void clear(NodeConnectionId id, NodeConnection& link, bool more);
  void logSpoilt(const NodeId& id, std::string_view what);
  void endLink(NodeConnectionId id, transactions::ConnectionCloseReason how);
  void endIdle(NodeState& place);
  void endWaiting(const NodeId& id, NodeState& place, transactions::ConnectionCloseReason how);
  void takeAnswer(NodeConnectionId id, NodeConnection& link, const gulltrestle::postgres::Answer& answer,
                  bool more);
  void setDue(NodeConnectionId id, NodeConnection& link, Instant due);

  transactions::TransactionTable& ledger_;
  const transactions::EndpointRegistry& nodes_;
  Bounds bounds_;
  Effects& effects_;
  std::map<NodeConnectionId, NodeConnection> links_;
  std::map<NodeId, NodeState> places_;
  std::map<AttemptId, NodeConnectionId, bool (*)(const AttemptId&, const AttemptId&)> carried_{
      [](const AttemptId& a, const AttemptId& b) {
        return std::pair(a.txn, a.attempt) < std::pair(b.txn, b.attempt);
      }};  // the link that has an attempt in hand
  std::set<std::pair<Instant, NodeConnectionId>> due_;
  NodeConnectionId lastLink_ = 0;
};

}  // namespace gulltrestle::upstream::postgres
