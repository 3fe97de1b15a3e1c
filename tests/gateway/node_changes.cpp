// Cases for nodes that lose, while attempts wait for a connection to them, what these attempts were sent
// there for: the role of primary, or a known position.
#include "gateway/bench.h"
#include "gateway/cases.h"

namespace gulltrestle::gateway_test {

namespace {

std::string answerOf(const std::string& value, const std::string& role) {
  return rowAnswer(value, parameterStatus("part", role));
}

// A read at the primary p on the only connection to it, and `waiting` queued for a second one.
void queueAtPrimary(GatewayBench& bench, const std::string& waiting) {
  bench.openClient(1, readQuery("first", "latest"));
  bench.connectNode(1);
  bench.openClient(2, waiting);
}

}  // namespace

// Guards against data from before the hand-over: a read that waits for a connection to the primary was
// written to it long after it had reported that it is a replica.
void roleLostBeforeConnected() {
  for (const std::string role : {"master", "replica"}) {
    GatewayBench bench;
    bench.describe("p answers as " + role + " while a linearizable read waits for a connection to it");
    bench.answersEmptyQueries = false;
    queueAtPrimary(bench, readQuery("second", "latest"));
    bench.advance(40);
    bench.answer(1, answerOf("v", role));
    bench.advance(60);
    bench.connectNode(2);
    if (role == "master") continue;
    bench.answersEmptyQueries = true;
    bench.describe("a reports that it is primary: the read is sent there");
    bench.connectNode(bench.connectionTo("a"));
    bench.answer(bench.connectionTo("a"), healthReport(bench.unixMillis(), true));
  }
  GatewayBench write;
  write.describe("a write that waits for the connection is not sent to the replica either");
  queueAtPrimary(write, writeQuery("second"));
  write.answer(1, answerOf("v", "replica"));
  write.connectNode(2);
  GatewayBench session;
  session.describe("a session read was not answered by a replica in time, and waits for the primary");
  session.openClient(1, readQuery("first", "latest"));
  session.connectNode(1);
  session.openClient(2, readQuery("second", "session", ",after=" + std::to_string(session.unixMillis())));
  session.advance(145);
  session.answer(1, answerOf("v", "replica"));
  session.advance(50);
  session.connectNode(session.connectionTo("p"));
}

// The same, where another source than the answer of p shows that p is not the primary.
void primaryReplacedBeforeConnected() {
  GatewayBench reported;
  reported.describe("a reports that it is primary while a read waits for a connection to p");
  queueAtPrimary(reported, readQuery("second", "latest"));
  reported.openClient(3, readQuery("third"));
  reported.connectNode(reported.connectionTo("a"));
  reported.advance(40);
  reported.answer(reported.connectionTo("a"), answerOf("v", "master"));
  reported.connectNode(2);
  GatewayBench listed;
  listed.describe("the endpoint list names another primary while a read waits for a connection to p");
  listed.openClient(1, readQuery("second", "latest"));
  listed.updatePrimary("a");
  listed.connectNode(1);
  listed.connectNode(listed.connectionTo("a"));
}

// Guards against data of a node that may have restarted without the end of its log: a session read that
// waits for a connection to it was written although the node's position was no longer known.
void positionLostBeforeConnected() {
  for (const bool losesPosition : {false, true}) {
    GatewayBench bench;
    bench.describe(losesPosition ? "the replica closes its only open connection: its position is unknown"
                                 : "a session read waits for a connection to a replica with its position");
    bench.openClient(1, readQuery("first", "session", ",after=" + std::to_string(bench.unixMillis() - 100)));
    bench.connectNode(1);
    bench.answer(1, healthReport(bench.unixMillis() - 50, false));
    bench.openClient(2, readQuery("second", "session", ",after=" + std::to_string(bench.unixMillis() - 100)));
    bench.advance(20);
    if (losesPosition) bench.closeConnection(1, ConnectionCloseReason::broken);
    bench.advance(20);
    bench.connectNode(2);
  }
}

// Guards against data from before the hand-over at a router that stood still: it found the report of the
// loss and the connection in one turn, and wrote the read before it took the report into account.
void roleLostInTurnOfConnection() {
  for (const bool isAnswerFirst : {true, false}) {
    GatewayBench bench;
    bench.answersEmptyQueries = false;
    bench.describe(isAnswerFirst ? "in one turn: p reports that it is a replica, then the connection is up"
                                 : "the same, the connection first");
    queueAtPrimary(bench, readQuery("second", "latest"));
    bench.advance(40);
    bench.inOneTurn([&] {
      if (!isAnswerFirst) bench.connectNode(2);
      bench.answer(1, answerOf("v", "replica"));
      if (isAnswerFirst) bench.connectNode(2);
    });
  }
}

// Guards against a hedge that is written although the first attempt's answer has arrived, in the same turn as
// the connection for the hedge.
void answerInTurnOfHedgeConnection() {
  for (const bool isAnswerFirst : {true, false}) {
    GatewayBench bench;
    bench.openClient(1, readQuery("usual"));
    bench.connectNode(1);
    bench.answer(1, rowAnswer("quick"));
    bench.describe(isAnswerFirst ? "in one turn: the answer to the read, then the connection for its hedge"
                                 : "the same, the connection first");
    bench.sendFromClient(1, readQuery("second"));
    bench.updateEndpoints(EndpointUpdateKind::delta, {"b"});
    bench.advance(250);
    bench.inOneTurn([&] {
      if (!isAnswerFirst) bench.connectNode(bench.connectionTo("b"));
      bench.answer(1, rowAnswer("body"));
      if (isAnswerFirst) bench.connectNode(bench.connectionTo("b"));
    });
  }
}

// Bytes of a statement that the node has not received completely can be withheld, as it was not executed.
void roleLostWhilePartlyWritten() {
  GatewayBench bench;
  bench.describe("p reports that it is a replica while a linearizable read is partly written to it");
  queueAtPrimary(bench, readQuery("second", "latest"));
  bench.writesCompletely = false;
  bench.connectNode(2);
  bench.answer(1, answerOf("v", "replica"));
  bench.finishWrite(2);
}

}  // namespace gulltrestle::gateway_test
