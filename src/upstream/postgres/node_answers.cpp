// The part of the connection pool that reads what nodes send.
#include <algorithm>
#include <utility>

#include "upstream/postgres/connection_pool.h"

namespace gulltrestle::upstream::postgres {

using transactions::ConnectionCloseReason;
namespace wire = gulltrestle::postgres;

namespace {

// At most one line per node and this time reports malformed bytes: a few lines a minute are read, more are
// not.
constexpr Duration kMalformedLogInterval = Duration::millis(10'000);

LoadReport loadReportOf(const wire::Answer& answer) {
  LoadReport report;
  if (answer.fromPrimary) report.role = *answer.fromPrimary ? Role::primary : Role::replica;
  if (answer.positionMs)
    report.position = Instant() + Duration::millis(static_cast<std::int64_t>(*answer.positionMs));
  return report;
}

LoadReport loadReportOf(const wire::Report& gauges) {
  LoadReport report;
  if (gauges.primary) report.role = *gauges.primary ? Role::primary : Role::replica;
  if (gauges.positionSeconds) report.position = Instant() + Duration::seconds(*gauges.positionSeconds);
  report.inFlight = gauges.inFlight;
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
      return consumeGreeting(id, connection, bytes);
    case Stage::busy:
      return consumeAnswer(id, connection, bytes);
    case Stage::clearing:
      return consumeClearingAnswer(id, connection, bytes);
    case Stage::connecting:
    case Stage::idle:
      break;
  }
  if (bytes.empty()) return false;
  // They must not be taken for the next attempt's answer.
  throw wire::Malformed("bytes that nobody asked for");
}

bool ConnectionPool::consumeGreeting(NodeConnectionId id, NodeConnection& connection,
                                     std::string_view& bytes) {
  const auto greeting = wire::takeGreeting(bytes);
  if (!greeting) return false;
  if (*greeting != wire::Greeting::welcome) {
    close(id, *greeting == wire::Greeting::rejected ? ConnectionCloseReason::rejected
                                                    : ConnectionCloseReason::broken);
    return true;
  }
  NodeState& state = nodeStates_.at(connection.node);
  --state.opening;
  if (!std::exchange(state.isReachable, true)) effects_.log("node " + connection.node + " is reached again");
  release(id, connection);
  return true;
}

bool ConnectionPool::consumeAnswer(NodeConnectionId id, NodeConnection& connection, std::string_view& bytes) {
  const auto answer = wire::takeAnswer(bytes);
  if (answer) {
    endCarried(id, connection, *answer, !bytes.empty());
    return true;
  }
  // Guards against answers that start and don't end, which would take all of the transaction's time: what has
  // started is complete soon. May hurt where the network takes longer for one than for a connection.
  if (!bytes.empty() && !std::exchange(connection.isAnswerPartial, true))
    setDeadline(id, connection, std::min(connection.deadline, transactions_.now() + bounds_.connectLimit));
  return false;
}

bool ConnectionPool::consumeClearingAnswer(NodeConnectionId id, NodeConnection& connection,
                                           std::string_view& bytes) {
  if (!wire::takeAllClear(bytes)) return false;
  if (!bytes.empty()) throw wire::Malformed("more than an answer");
  --nodeStates_.at(connection.node).clearing;
  release(id, connection);
  return true;
}

// The attempt or health check has its complete answer.
void ConnectionPool::endCarried(NodeConnectionId id, NodeConnection& connection, const wire::Answer& answer,
                                bool hasMoreBytes) {
  const AttemptId attemptId = connection.attemptId;
  const bool isHealthCheck = attemptId.isHealthCheck();
  const NodeId node = connection.node;
  const AttemptOutcome outcome = attemptOutcomeOf(answer.kind);
  // Ahead of the commit, which withdraws the attempts that are carried: the transaction's others.
  carryingConnections_.erase(attemptId);
  if (outcome == AttemptOutcome::committed && !isHealthCheck)
    transactions_.commit(attemptId.txn, {answer.description, answer.row, answer.complete});
  LoadReport report = loadReportOf(answer.report);
  if (isHealthCheck && outcome == AttemptOutcome::committed)
    report = loadReportOf(wire::readReport(answer.value));
  transactions_.onAttemptEnded(attemptId, node, outcome, loadReportOf(answer), report);
  if (answer.fatal) {
    close(id, ConnectionCloseReason::broken);
  } else {
    startClearing(id, connection, hasMoreBytes);
  }
}

// Guards against more than the answer, the same again or noise, which must not be taken for the next
// attempt's answer, however late it comes: an empty query is sent, and once its answer has come nothing older
// is in transit. Costs a message each way; may hurt at nodes that answer empty queries late.
void ConnectionPool::startClearing(NodeConnectionId id, NodeConnection& connection, bool hasMoreBytes) {
  connection.stage = Stage::clearing;
  connection.attemptId = {};
  ++nodeStates_.at(connection.node).clearing;
  setDeadline(id, connection, transactions_.now() + bounds_.connectLimit);
  if (hasMoreBytes) throw wire::Malformed("more than an answer");
  if (endpoints_.isDraining(connection.node)) return close(id, ConnectionCloseReason::nodeDrained);
  effects_.writeNode(id, {wire::queryHead(0), {"\0", 1}});
}

void ConnectionPool::logMalformed(const NodeId& node, std::string_view fault) {
  NodeState& state = nodeStates_.at(node);
  ++state.malformedCount;
  const Instant now = transactions_.now();
  if (state.malformedLoggedAt != Instant() && now - state.malformedLoggedAt < kMalformedLogInterval) return;
  state.malformedLoggedAt = now;
  std::string line = "node " + node + " sent what can't be read: " + std::string(fault);
  if (state.malformedCount > 1)
    line += ", " + std::to_string(state.malformedCount) + " times since the last such line";
  effects_.log(std::move(line));
  state.malformedCount = 0;
}

}  // namespace gulltrestle::upstream::postgres
