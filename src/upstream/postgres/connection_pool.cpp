#include "upstream/postgres/connection_pool.h"

#include <algorithm>
#include <utility>

namespace gulltrestle::upstream::postgres {

using transactions::ConnectionCloseReason;
using transactions::outcomeOf;
using transactions::outcomeOfUnwritten;
namespace wire = gulltrestle::postgres;

namespace {

// A connection to a node is closed after it was idle for this fraction of the node's idle timeout. The node
// starts to count at another moment than this router, and an attempt on a connection that the node closes at
// that moment may or may not be executed.
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
  NodeConnection& connection = connections_.at(id);
  if (!assignAttempt(id, connection, attemptId)) makeIdle(id, connection);
}

// Opens a connection for each waiting attempt that no other connection will serve soon: one that is being
// opened or resynchronized, or is ready.
// An attempt that can't get a connection ends as not sent, so that the router decides again. Prevents running
// out of descriptors. Trade-off: attempts are not sent while all connections are busy.
void ConnectionPool::openConnections(const NodeId& node, NodeState& state) {
  while (state.opening + state.resyncing + state.ready < state.waiting.size()) {
    if (connections_.size() >= limits_.maxConnections) {
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
    setDeadline(id, connection, transactions_.now() + limits_.connectTimeout);
    effects_.connect(id, endpoints_.find(node)->address);
  }
}

// Closes the connection that has been idle longest: it has the earliest deadline of the idle ones. Returns
// false if none is idle.
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
  effects_.writeNode(id, {wire::nodeStartupMessage()});
}

// --- Writing

// Writes the attempt or health check. Returns false if it must not be sent: it has then ended.
bool ConnectionPool::assignAttempt(NodeConnectionId id, NodeConnection& connection, AttemptId attemptId) {
  const bool isHealthCheck = attemptId.isHealthCheck();
  // The node's timeout is the time that this router waits for the answer, in whole milliseconds.
  const auto* attempt = transactions_.attempt(attemptId);
  const Duration remaining = attempt ? attempt->abandonAt - transactions_.now() : Duration();
  const std::int64_t timeoutMillis = attempt ? std::max<std::int64_t>(1, remaining.inMicros() / 1000) : 0;
  if (!isHealthCheck && !transactions_.maySend(attemptId, connection.node, Duration::millis(timeoutMillis))) {
    transactions_.onAttemptEnded(attemptId, connection.node, AttemptOutcome::notSent);
    return false;
  }
  connection.stage = Stage::busy;
  connection.attemptId = attemptId;
  connection.isFullyWritten = connection.isAnswerPartial = false;
  if (isHealthCheck)
    writeHealthCheck(id, connection);
  else
    writeAttempt(id, connection, timeoutMillis);
  return true;
}

void ConnectionPool::writeHealthCheck(NodeConnectionId id, NodeConnection& connection) {
  setDeadline(id, connection, transactions_.now() + limits_.connectTimeout);
  connection.isFullyWritten =
      effects_.writeNode(id, {wire::queryHeader(wire::kShowReport.size()), wire::kShowReport, {"\0", 1}});
}

void ConnectionPool::writeAttempt(NodeConnectionId id, NodeConnection& connection,
                                  std::int64_t timeoutMillis) {
  const transactions::RequestMessage& message = transactions_.message(connection.attemptId.txn);
  const auto* attempt = transactions_.attempt(connection.attemptId);
  const Instant sendBy = attempt->sendBy, abandonAt = attempt->abandonAt;
  connectionsByAttempt_[connection.attemptId] = id;
  const std::string timeout = std::to_string(timeoutMillis);
  const std::string_view statement = message.bytes;
  connection.isFullyWritten =
      effects_.writeNode(id, {wire::queryHeader(statement.size() - message.timeoutSize + timeout.size()),
                              statement.substr(0, message.timeoutOffset),
                              timeout,
                              statement.substr(message.timeoutOffset + message.timeoutSize),
                              {"\0", 1}});
  // Prevents the node from receiving the rest of a statement, which it reads in parts, after the time until
  // which the statement may be sent. No trade-off: the statement was not executed, and the attempt ends as
  // not sent.
  setDeadline(id, connection, connection.isFullyWritten ? abandonAt : std::min(sendBy, abandonAt));
}

void ConnectionPool::onWritten(NodeConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  NodeConnection& connection = found->second;
  connection.isFullyWritten = true;
  // A connection whose answer has started has an earlier deadline already.
  if (connection.stage == Stage::busy && !connection.attemptId.isHealthCheck() && !connection.isAnswerPartial)
    setDeadline(id, connection, transactions_.attempt(connection.attemptId)->abandonAt);
}

// The connection has no attempt any more. An attempt that waits for it gets it at the end of the turn.
void ConnectionPool::release(NodeConnectionId id, NodeConnection& connection) {
  NodeState& state = nodeStates_.at(connection.node);
  if (state.waiting.size() <= state.ready) return makeIdle(id, connection);
  connection.stage = Stage::ready;
  ++state.ready;
  ready_.push_back(id);
  // The turn ends before this.
  setDeadline(id, connection, transactions_.now() + limits_.connectTimeout);
}

void ConnectionPool::sendWaiting() {
  for (const NodeConnectionId id : std::exchange(ready_, {})) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) continue;
    --nodeStates_.at(found->second.node).ready;
    assignWaiting(id, found->second);
  }
}

// Assigns the attempt that has waited longest and may still be sent, or makes the connection idle.
void ConnectionPool::assignWaiting(NodeConnectionId id, NodeConnection& connection) {
  NodeState& state = nodeStates_.at(connection.node);
  while (!state.waiting.empty()) {
    const AttemptId attemptId = state.waiting.front();
    state.waiting.pop_front();
    const auto* attempt = transactions_.attempt(attemptId);
    const bool isInTime = attemptId.isHealthCheck() || (attempt && attempt->sendBy > transactions_.now());
    if (!isInTime)
      transactions_.onAttemptEnded(attemptId, connection.node, AttemptOutcome::notSent);
    else if (assignAttempt(id, connection, attemptId))
      return;
  }
  makeIdle(id, connection);
}

void ConnectionPool::makeIdle(NodeConnectionId id, NodeConnection& connection) {
  connection.stage = Stage::idle;
  nodeStates_.at(connection.node).idle.push_back(id);
  setDeadline(id, connection, transactions_.now() + limits_.idleTimeout * kIdleFraction);
  if (endpoints_.isDraining(connection.node)) close(id, ConnectionCloseReason::nodeDrained);
}

// --- Closing

void ConnectionPool::onClosed(NodeConnectionId id, ConnectionCloseReason reason) { close(id, reason); }

// Returns whether the node itself is down: it then loses all its connections, whereas a network failure ends
// one.
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

// No effect if the connection is closed already.
void ConnectionPool::close(NodeConnectionId id, ConnectionCloseReason reason) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const NodeConnection closed = found->second;
  transactions_.trace().write([&] {
    return "event=link.closed link=" + std::to_string(id) + " node=" + closed.node + " reason=\"" +
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
    case Stage::ready:
      --state.ready;
      openConnections(closed.node, state);
      break;
    case Stage::busy:
      connectionsByAttempt_.erase(closed.attemptId);
      transactions_.onAttemptEnded(closed.attemptId, closed.node, outcomeOf(reason, closed.isFullyWritten));
      break;
    case Stage::resyncing:
      --state.resyncing;
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
    effects_.log("node " + closed.node + " is unreachable: " + std::string(nameOf(reason)));
  --state.opening;
  if (state.opening + state.resyncing + state.ready >= state.waiting.size()) return;
  const AttemptId attemptId = state.waiting.front();
  state.waiting.pop_front();
  transactions_.onAttemptEnded(attemptId, closed.node, outcomeOfUnwritten(reason));
}

// Closes the connections to the node that carry no attempt.
void ConnectionPool::closeUnused(const NodeId& node, NodeState& state) {
  while (!state.idle.empty()) close(NodeConnectionId(state.idle.back()), ConnectionCloseReason::nodeDrained);
  for (const NodeConnectionId id : std::vector(ready_)) {
    const auto found = connections_.find(id);
    if (found != connections_.end() && found->second.node == node)
      close(id, ConnectionCloseReason::nodeDrained);
  }
}

void ConnectionPool::endWaiting(const NodeId& node, NodeState& state) {
  for (const AttemptId attemptId : std::exchange(state.waiting, {}))
    transactions_.onAttemptEnded(attemptId, node, outcomeOfUnwritten(ConnectionCloseReason::nodeDrained));
}

void ConnectionPool::onEndpointList(const std::vector<NodeId>& moved) {
  for (const NodeId& node : moved)
    if (const auto found = nodeStates_.find(node); found != nodeStates_.end())
      closeUnused(node, found->second);
  for (auto& [node, state] : nodeStates_) {
    if (!endpoints_.isDraining(node)) continue;
    endWaiting(node, state);
    closeUnused(node, state);
  }
}

void ConnectionPool::cancelAttempt(AttemptId attemptId, const NodeId& node) {
  if (const auto busy = connectionsByAttempt_.find(attemptId); busy != connectionsByAttempt_.end())
    return close(NodeConnectionId(busy->second), ConnectionCloseReason::cancelled);
  std::erase(nodeStates_.at(node).waiting, attemptId);
  transactions_.onAttemptEnded(attemptId, node, outcomeOfUnwritten(ConnectionCloseReason::cancelled));
}

void ConnectionPool::withdrawAttempt(AttemptId attemptId, const NodeId& node) {
  if (const auto busy = connectionsByAttempt_.find(attemptId); busy != connectionsByAttempt_.end()) {
    const NodeConnectionId id = busy->second;
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
    if (reason == ConnectionCloseReason::malformed) logMalformed(connection.node, "incomplete answer");
    close(id, reason);
  }
}

ConnectionCloseReason ConnectionPool::overdueReason(const NodeConnection& connection) const {
  switch (connection.stage) {
    case Stage::connecting:
    case Stage::starting:
      return ConnectionCloseReason::connectTimeout;
    case Stage::idle:
    case Stage::ready:
      return ConnectionCloseReason::retired;
    case Stage::resyncing:
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
