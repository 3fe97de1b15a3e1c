#include "upstream/postgres/connection_pool.h"

#include <algorithm>
#include <utility>

namespace gulltrestle::upstream::postgres {

using transactions::ConnectionCloseReason;
using transactions::outcomeOf;
using transactions::outcomeOfUnwritten;
namespace wire = gulltrestle::postgres;

namespace {

// A connection to a node is closed after it was idle for this fraction of the limit: the node counts from
// another moment than this router, and an attempt on one that the node closes at that moment may or may not
// run.
constexpr double kIdleFraction = 0.5;

}  // namespace

// --- Opening

void ConnectionPool::startAttempt(AttemptId attemptId, const NodeId& node) {
  if (!endpoints_.find(node)) return transactions_.onAttemptEnded(attemptId, node, AttemptOutcome::notSent);
  NodeState& state = nodeStates_[node];
  if (state.idle.empty()) {
    state.waiting.push_back(attemptId);
    return openConnections(node, state);
  }
  const NodeConnectionId id = state.idle.back();
  state.idle.pop_back();
  carry(id, connections_.at(id), attemptId);
}

// Opens a connection for each attempt that waits for one, and for which none is about to be clear. An attempt
// that can't get one ends as not sent, so that the router decides anew. Guards against running out of
// descriptors; may hurt where all connections are busy.
void ConnectionPool::openConnections(const NodeId& node, NodeState& state) {
  while (state.opening + state.clearing < state.waiting.size()) {
    if (connections_.size() >= bounds_.maxConnections) {
      if (closeLongestIdle()) continue;
      const AttemptId attemptId = state.waiting.back();
      state.waiting.pop_back();
      transactions_.onAttemptEnded(attemptId, node, outcomeOfUnwritten(ConnectionCloseReason::noDescriptor));
      continue;
    }
    const NodeConnectionId id = ++lastConnection_;
    ++state.opening;
    NodeConnection& connection = connections_[id];
    connection.node = node;
    setDeadline(id, connection, transactions_.now() + bounds_.connectLimit);
    effects_.connect(id, endpoints_.find(node)->address);
  }
}

// False if none is idle. The one that was used longest ago is due first.
bool ConnectionPool::closeLongestIdle() {
  const auto idle = std::find_if(deadlines_.begin(), deadlines_.end(), [&](const Deadline& deadline) {
    return connections_.at(deadline.id).stage == Stage::idle;
  });
  if (idle == deadlines_.end()) return false;
  close(NodeConnectionId(idle->id), ConnectionCloseReason::retired);
  return true;
}

void ConnectionPool::setDeadline(NodeConnectionId id, NodeConnection& connection, Instant deadline) {
  deadlines_.erase({connection.deadline, id});
  connection.deadline = deadline;
  deadlines_.insert({deadline, id});
}

void ConnectionPool::onConnected(NodeConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  found->second.stage = Stage::starting;
  effects_.writeNode(id, {wire::login()});
}

// --- Writing

void ConnectionPool::carry(NodeConnectionId id, NodeConnection& connection, AttemptId attemptId) {
  const bool isHealthCheck = attemptId.isHealthCheck();
  // The node's time limit is how long this router will wait, in whole milliseconds.
  const auto* attempt = transactions_.attempt(attemptId);
  const Duration remaining = attempt ? attempt->abandonAt - transactions_.now() : Duration();
  const std::int64_t timeoutMillis = attempt ? std::max<std::int64_t>(1, remaining.inMicros() / 1000) : 0;
  if (!isHealthCheck && !transactions_.maySend(attemptId, connection.node, Duration::millis(timeoutMillis))) {
    transactions_.onAttemptEnded(attemptId, connection.node, AttemptOutcome::notSent);
    return release(id, connection);
  }
  connection.stage = Stage::busy;
  connection.attemptId = attemptId;
  connection.isFullyWritten = connection.isAnswerPartial = false;
  if (isHealthCheck) return writeHealthCheck(id, connection);
  writeAttempt(id, connection, timeoutMillis);
}

void ConnectionPool::writeHealthCheck(NodeConnectionId id, NodeConnection& connection) {
  setDeadline(id, connection, transactions_.now() + bounds_.connectLimit);
  connection.isFullyWritten =
      effects_.writeNode(id, {wire::queryHead(wire::kShowReport.size()), wire::kShowReport, {"\0", 1}});
}

void ConnectionPool::writeAttempt(NodeConnectionId id, NodeConnection& connection,
                                  std::int64_t timeoutMillis) {
  const transactions::RequestMessage& message = transactions_.message(connection.attemptId.txn);
  const auto* attempt = transactions_.attempt(connection.attemptId);
  const Instant sendBy = attempt->sendBy, abandonAt = attempt->abandonAt;
  carryingConnections_[connection.attemptId] = id;
  const std::string timeout = std::to_string(timeoutMillis);
  const std::string_view statement = message.bytes;
  connection.isFullyWritten =
      effects_.writeNode(id, {wire::queryHead(statement.size() - message.timeoutSize + timeout.size()),
                              statement.substr(0, message.timeoutOffset),
                              timeout,
                              statement.substr(message.timeoutOffset + message.timeoutSize),
                              {"\0", 1}});
  // Guards against a statement of which the node takes a part at a time: the rest would complete it there
  // when it may not be sent any more. Harmless: it has not run, and ends as not sent.
  setDeadline(id, connection, connection.isFullyWritten ? abandonAt : std::min(sendBy, abandonAt));
}

void ConnectionPool::onWritten(NodeConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  NodeConnection& connection = found->second;
  connection.isFullyWritten = true;
  // One that answers already has less time than that.
  if (connection.stage == Stage::busy && !connection.attemptId.isHealthCheck() && !connection.isAnswerPartial)
    setDeadline(id, connection, transactions_.attempt(connection.attemptId)->abandonAt);
}

// The connection carries nothing: it takes the next waiting attempt, or is idle.
void ConnectionPool::release(NodeConnectionId id, NodeConnection& connection) {
  NodeState& state = nodeStates_.at(connection.node);
  connection.stage = Stage::idle;
  while (!state.waiting.empty()) {
    const AttemptId attemptId = state.waiting.front();
    state.waiting.pop_front();
    const auto* attempt = transactions_.attempt(attemptId);
    const bool isHealthCheck = attemptId.isHealthCheck();
    if (isHealthCheck || (attempt && attempt->sendBy > transactions_.now()))
      return carry(id, connection, attemptId);
    transactions_.onAttemptEnded(attemptId, connection.node, AttemptOutcome::notSent);
  }
  state.idle.push_back(id);
  setDeadline(id, connection, transactions_.now() + bounds_.idleLimit * kIdleFraction);
  if (endpoints_.isDraining(connection.node)) close(id, ConnectionCloseReason::nodeDrained);
}

// --- Closing

void ConnectionPool::onClosed(NodeConnectionId id, ConnectionCloseReason reason) { close(id, reason); }

// A node that goes down ends all its connections; a failure of the network, one.
bool ConnectionPool::isNodeDown(const NodeConnection& closed, ConnectionCloseReason reason) const {
  if (reason == ConnectionCloseReason::refused) return true;
  const auto isEstablished = [](const NodeConnection& connection) {
    return connection.stage != Stage::connecting && connection.stage != Stage::starting;
  };
  return reason == ConnectionCloseReason::broken && isEstablished(closed) &&
         std::none_of(connections_.begin(), connections_.end(), [&](const auto& other) {
           return other.second.node == closed.node && isEstablished(other.second);
         });
}

// Without effect for one that is closed already.
void ConnectionPool::close(NodeConnectionId id, ConnectionCloseReason reason) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const NodeConnection closed = found->second;
  transactions_.trace().write([&] {
    return "event=link.closed link=" + std::to_string(id) + " node=" + closed.node + " why=\"" +
           std::string(nameOf(reason)) + "\"";
  });
  deadlines_.erase({closed.deadline, id});
  connections_.erase(found);
  effects_.closeNode(id);
  NodeState& state = nodeStates_.at(closed.node);
  if (isNodeDown(closed, reason)) transactions_.onNodeDisconnected(closed.node);
  switch (closed.stage) {
    case Stage::idle:
      std::erase(state.idle, id);
      break;
    case Stage::busy:
      carryingConnections_.erase(closed.attemptId);
      transactions_.onAttemptEnded(closed.attemptId, closed.node, outcomeOf(reason, closed.isFullyWritten));
      break;
    case Stage::clearing:
      --state.clearing;
      openConnections(closed.node, state);
      break;
    case Stage::connecting:
    case Stage::starting:
      onOpeningFailed(closed, state, reason);
      break;
  }
}

void ConnectionPool::onOpeningFailed(const NodeConnection& closed, NodeState& state,
                                     ConnectionCloseReason reason) {
  if (reason != ConnectionCloseReason::nodeDrained && std::exchange(state.isReachable, false))
    effects_.log("node " + closed.node + " is not reached: " + std::string(nameOf(reason)));
  --state.opening;
  if (state.opening + state.clearing >= state.waiting.size()) return;
  const AttemptId attemptId = state.waiting.front();
  state.waiting.pop_front();
  transactions_.onAttemptEnded(attemptId, closed.node, outcomeOfUnwritten(reason));
}

void ConnectionPool::closeIdle(NodeState& state) {
  while (!state.idle.empty()) close(NodeConnectionId(state.idle.back()), ConnectionCloseReason::nodeDrained);
}

void ConnectionPool::endWaiting(const NodeId& node, NodeState& state) {
  for (const AttemptId attemptId : std::exchange(state.waiting, {}))
    transactions_.onAttemptEnded(attemptId, node, outcomeOfUnwritten(ConnectionCloseReason::nodeDrained));
}

void ConnectionPool::onEndpointList(const std::vector<NodeId>& moved) {
  for (const NodeId& node : moved)
    if (const auto found = nodeStates_.find(node); found != nodeStates_.end()) closeIdle(found->second);
  for (auto& [node, state] : nodeStates_) {
    if (!endpoints_.isDraining(node)) continue;
    endWaiting(node, state);
    closeIdle(state);
  }
}

void ConnectionPool::cancelAttempt(AttemptId attemptId, const NodeId& node) {
  if (const auto carrying = carryingConnections_.find(attemptId); carrying != carryingConnections_.end())
    return close(NodeConnectionId(carrying->second), ConnectionCloseReason::cancelled);
  std::erase(nodeStates_.at(node).waiting, attemptId);
  transactions_.onAttemptEnded(attemptId, node, outcomeOfUnwritten(ConnectionCloseReason::cancelled));
}

void ConnectionPool::withdrawAttempt(AttemptId attemptId, const NodeId& node) {
  if (const auto carrying = carryingConnections_.find(attemptId); carrying != carryingConnections_.end()) {
    const NodeConnectionId id = carrying->second;
    if (!connections_.at(id).isFullyWritten) close(id, ConnectionCloseReason::cancelled);
    return;
  }
  const auto found = nodeStates_.find(node);
  if (found == nodeStates_.end()) return;
  const bool wasWaiting = std::erase(found->second.waiting, attemptId) > 0;
  if (wasWaiting)
    transactions_.onAttemptEnded(attemptId, node, outcomeOfUnwritten(ConnectionCloseReason::cancelled));
}

void ConnectionPool::forgetNode(const NodeId& node) {
  const auto found = nodeStates_.find(node);
  if (found == nodeStates_.end()) return;
  endWaiting(node, found->second);
  std::vector<NodeConnectionId> remaining;
  for (const auto& [id, connection] : connections_)
    if (connection.node == node) remaining.push_back(id);
  for (const NodeConnectionId id : remaining) close(id, ConnectionCloseReason::nodeDrained);
  nodeStates_.erase(found);
}

// --- Turns

void ConnectionPool::endTurn() {
  while (!deadlines_.empty() && deadlines_.begin()->at <= transactions_.now()) {
    const NodeConnectionId id = deadlines_.begin()->id;
    const NodeConnection& connection = connections_.at(id);
    const ConnectionCloseReason reason = overdueReason(connection);
    if (reason == ConnectionCloseReason::malformed) logMalformed(connection.node, "an answer without an end");
    close(id, reason);
  }
}

ConnectionCloseReason ConnectionPool::overdueReason(const NodeConnection& connection) const {
  switch (connection.stage) {
    case Stage::connecting:
    case Stage::starting:
      return ConnectionCloseReason::connectTimeout;
    case Stage::idle:
      return ConnectionCloseReason::retired;
    case Stage::clearing:
      return ConnectionCloseReason::malformed;
    case Stage::busy:
      break;
  }
  if (connection.isAnswerPartial) return ConnectionCloseReason::malformed;
  const auto* attempt = transactions_.attempt(connection.attemptId);
  const bool isTooLateToSend =
      attempt && !connection.isFullyWritten && transactions_.now() < attempt->abandonAt;
  return isTooLateToSend ? ConnectionCloseReason::cancelled : ConnectionCloseReason::unanswered;
}

}  // namespace gulltrestle::upstream::postgres
