// The part of ConnectionPool that reads answers of nodes.
#include <algorithm>
#include <utility>

#include "upstream/postgres/connection_pool.h"

namespace gulltrestle::upstream::postgres {

using transactions::ConnectionCloseReason;
namespace wire = gulltrestle::postgres;

namespace {

// Malformed bytes of a node are logged at most once in this interval: operators read a few lines a minute,
// not more.
constexpr Duration kMalformedLogInterval = Duration::millis(10'000);

LoadReport loadReportOf(const wire::Answer& answer) {
  LoadReport report;
  if (answer.fromPrimary) report.role = *answer.fromPrimary ? Role::primary : Role::replica;
  if (answer.positionMs)
    report.position = Instant() + Duration::millis(static_cast<std::int64_t>(*answer.positionMs));
  return report;
}

LoadReport loadReportOf(const wire::Report& nodeReport) {
  LoadReport report;
  if (nodeReport.primary) report.role = *nodeReport.primary ? Role::primary : Role::replica;
  if (nodeReport.positionSeconds)
    report.position = Instant() + Duration::seconds(*nodeReport.positionSeconds);
  report.inFlight = nodeReport.inFlight;
  return report;
}

AttemptOutcome attemptOutcomeOf(wire::AnswerKind kind) {
  switch (kind) {
    case wire::AnswerKind::row:
      return AttemptOutcome::committed;
    case wire::AnswerKind::wrongNode:
      return AttemptOutcome::wrongNode;
    case wire::AnswerKind::rejected:
      return AttemptOutcome::rejected;
    default:
      return AttemptOutcome::error;
  }
}

}  // namespace

std::size_t ConnectionPool::onReceived(NodeConnectionId id, std::string_view bytes) {
  const std::size_t size = bytes.size();
  try {
    for (;;) {
      const auto found = connections_.find(id);
      if (found == connections_.end()) return size;
      if (!consume(id, found->second, bytes)) return size - bytes.size();
    }
  } catch (const wire::Malformed& malformed) {
    logMalformed(connections_.at(id).node, malformed.what());
    close(id, ConnectionCloseReason::malformed);
    return size;
  }
}

bool ConnectionPool::consume(NodeConnectionId id, NodeConnection& connection, std::string_view& bytes) {
  switch (connection.stage) {
    case Stage::starting:
      return consumeStartupResult(id, connection, bytes);
    case Stage::busy:
      return consumeAnswer(id, connection, bytes);
    case Stage::resyncing:
      return consumeResyncAnswer(id, connection, bytes);
    case Stage::connecting:
    case Stage::idle:
    case Stage::ready:
      break;
  }
  if (bytes.empty()) return false;
  // Must not be mistaken for the answer to the next attempt.
  throw wire::Malformed("unexpected bytes without a request in flight");
}

bool ConnectionPool::consumeStartupResult(NodeConnectionId id, NodeConnection& connection,
                                          std::string_view& bytes) {
  const auto startupResult = wire::takeStartupResult(bytes);
  if (!startupResult) return false;
  if (*startupResult != wire::StartupResult::accepted) {
    close(id, *startupResult == wire::StartupResult::rejected ? ConnectionCloseReason::rejected
                                                              : ConnectionCloseReason::broken);
    return true;
  }
  NodeState& state = nodeStates_.at(connection.node);
  --state.opening;
  if (!std::exchange(state.isReachable, true))
    effects_.log("node " + connection.node + " is reachable again");
  release(id, connection);
  return true;
}

bool ConnectionPool::consumeAnswer(NodeConnectionId id, NodeConnection& connection, std::string_view& bytes) {
  const auto answer = wire::takeAnswer(bytes);
  if (answer) {
    onCompleteAnswer(id, connection, *answer, !bytes.empty());
    return true;
  }
  // An answer that has started must be complete within the connect timeout. Prevents an answer that never
  // ends from using up all of the transaction's time. Trade-off: fails if the network takes longer for an
  // answer than for establishing a connection.
  if (!bytes.empty() && !std::exchange(connection.isAnswerPartial, true))
    setDeadline(id, connection, std::min(connection.deadline, transactions_.now() + limits_.connectTimeout));
  return false;
}

bool ConnectionPool::consumeResyncAnswer(NodeConnectionId id, NodeConnection& connection,
                                         std::string_view& bytes) {
  if (!wire::takeEmptyQueryAnswer(bytes)) return false;
  if (!bytes.empty()) throw wire::Malformed("unexpected bytes after the answer");
  --nodeStates_.at(connection.node).resyncing;
  release(id, connection);
  return true;
}

// Handles the complete answer to the attempt or health check of the connection.
void ConnectionPool::onCompleteAnswer(NodeConnectionId id, NodeConnection& connection,
                                      const wire::Answer& answer, bool hasMoreBytes) {
  const AttemptId attemptId = connection.attemptId;
  const bool isHealthCheck = attemptId.isHealthCheck();
  const NodeId node = connection.node;
  const AttemptOutcome outcome = attemptOutcomeOf(answer.kind);
  // Precedes the commit, which withdraws the attempts that are still in the map: the transaction's other
  // ones.
  connectionsByAttempt_.erase(attemptId);
  if (outcome == AttemptOutcome::committed && !isHealthCheck)
    transactions_.commit(attemptId.txn, {answer.description, answer.row, answer.completion});
  LoadReport report = loadReportOf(answer.report);
  if (isHealthCheck && outcome == AttemptOutcome::committed)
    report = loadReportOf(wire::readReport(answer.value));
  transactions_.onAttemptEnded(attemptId, node, outcome, loadReportOf(answer), report);
  if (answer.fatal) {
    close(id, ConnectionCloseReason::broken);
  } else {
    startResync(id, connection, hasMoreBytes);
  }
}

// Prevents bytes after the answer, such as a duplicate or garbage, from being mistaken for the next attempt's
// answer, however late they arrive: an empty query is sent, and once it is answered no older bytes are in
// transit. Costs one message each way. Trade-off: loses connections to nodes that answer empty queries late.
void ConnectionPool::startResync(NodeConnectionId id, NodeConnection& connection, bool hasMoreBytes) {
  connection.stage = Stage::resyncing;
  connection.attemptId = {};
  ++nodeStates_.at(connection.node).resyncing;
  setDeadline(id, connection, transactions_.now() + limits_.connectTimeout);
  if (hasMoreBytes) throw wire::Malformed("unexpected bytes after the answer");
  if (endpoints_.isDraining(connection.node)) return close(id, ConnectionCloseReason::nodeDrained);
  effects_.writeNode(id, {wire::queryHeader(0), {"\0", 1}});
}

void ConnectionPool::logMalformed(const NodeId& node, std::string_view fault) {
  NodeState& state = nodeStates_.at(node);
  ++state.malformedCount;
  const Instant now = transactions_.now();
  if (state.malformedLoggedAt != Instant() && now - state.malformedLoggedAt < kMalformedLogInterval) return;
  state.malformedLoggedAt = now;
  std::string line = "node " + node + " sent invalid data: " + std::string(fault);
  if (state.malformedCount > 1)
    line += ", " + std::to_string(state.malformedCount) + " times since the last such line";
  effects_.log(std::move(line));
  state.malformedCount = 0;
}

}  // namespace gulltrestle::upstream::postgres
