// Cases for attempts at nodes: retries, cancellation and partial writes.
#include "gateway/bench.h"
#include "gateway/cases.h"

namespace gulltrestle::gateway_test {

void retriesUnexecutedWrites() {
  GatewayBench bench;
  bench.describe("a write is retried if its connection is refused or breaks before its last byte is written");
  bench.openClient(1, writeQuery("aa"));
  bench.closeConnection(1, ConnectionCloseReason::refused);
  bench.advance(5);
  bench.writesCompletely = false;
  bench.connectNode(2);
  bench.closeConnection(2, ConnectionCloseReason::broken);
  bench.advance(5);
  bench.describe("a completely written write may have run: it is rolled back and never retried");
  bench.connectNode(3);
  bench.finishWrite(3);
  bench.closeConnection(3, ConnectionCloseReason::broken);
  bench.advance(1000);
  GatewayBench other;
  other.describe("a node that does not accept the connection or rejects the write has not run it");
  other.openClient(2, writeQuery("bb"));
  other.advance(250);
  other.connectNode(other.connectionTo("p"));
  other.answer(other.connectionTo("p"),
               postgres::error("ERROR", "53300", "full") + postgres::readyForQuery());
  other.advance(260);
  other.answer(other.connectionTo("p"),
               postgres::error("ERROR", "25006", "read only") + postgres::readyForQuery());
  other.advance(600);
  other.describe("a node that rejects the session has not run the statement either");
  other.openClient(3, readQuery("cc"));
  other.rejectSession(other.connectionTo("a"));
  other.advance(300);
}

void neverRetriesAmbiguousWrites() {
  GatewayBench bench;
  bench.describe("after an error, a malformed answer or no answer the write may have run");
  bench.openClient(1, writeQuery("aa"));
  bench.connectNode(1);
  bench.answer(1, postgres::error("ERROR", "XX000", "no") + postgres::readyForQuery());
  bench.sendFromClient(1, writeQuery("bb"));
  bench.answer(1, postgres::message('D', dataColumn("row before its description")));
  bench.sendFromClient(1, writeQuery("cc"));
  bench.connectNode(2);
  bench.advance(995);
  bench.describe("the late answer is discarded");
  bench.answer(2, rowAnswer("late"));
  bench.describe("a read is retried after a truncated answer; a fatal error closes the connection");
  bench.sendFromClient(1, readQuery("dd"));
  bench.connectNode(bench.connectionTo("a"));
  const NodeConnectionId connection = bench.connectionTo("a");
  bench.answer(connection, rowAnswer("a truncated value").substr(0, 40));
  bench.closeConnection(connection, ConnectionCloseReason::broken);
  bench.advance(5);
  bench.connectNode(bench.connectionTo("a"));
  bench.answer(bench.connectionTo("a"), postgres::error("FATAL", "XX000", "going down"));
  bench.advance(5);
}

void cancelsAbandonedAttempts() {
  GatewayBench bench;
  bench.updateEndpoints(EndpointUpdateKind::delta, {"b"});
  bench.openClient(1, readQuery("aa"));
  bench.connectNode(1);
  bench.answer(1, rowAnswer("quick"));
  bench.describe(
      "a node does not answer: the read is hedged, the first answer is used, the other connection closed");
  bench.sendFromClient(1, readQuery("bb"));
  if (bench.lastConnection() == 1) bench.advance(250);
  bench.connectNode(2);
  bench.answer(2, rowAnswer("body"));
  bench.advance(5);
  bench.answer(1, rowAnswer("too late"));
  bench.describe("clients disconnect: one with its txn in flight, one with its txn waiting for a connection");
  bench.sendFromClient(1, readQuery("cc"));
  bench.openClient(2, readQuery("dd"));
  bench.disconnectClient(1);
  bench.disconnectClient(2);
  bench.advance(5);
  bench.connectNode(bench.lastConnection());
  bench.advance(5);
}

void readOutdatedBeforeConnected() {
  GatewayBench bench;
  bench.printsHealthChecks = true;
  bench.describe(
      "a replica lags by 940 ms, with a staleness bound of 1000 ms: two reads are routed to it at once");
  bench.openClient(1, readQuery("aa", "bounded"));
  bench.connectNode(1);
  bench.answer(1, rowAnswer("x0=" + std::to_string(bench.unixMillis() / 1000 - 1) + ".060,x1=0"));
  bench.openClient(2, readQuery("bb", "bounded"));
  bench.describe(
      "the second waits for its connection until the replica may exceed the bound: it is not sent there");
  bench.advance(70);
  bench.connectNode(2);
  bench.advance(40);
}

// Statements that are only partly written to the node at first.
void partiallyWrittenStatements() {
  for (const bool isWrittenInTime : {false, true}) {
    GatewayBench bench;
    bench.describe(isWrittenInTime ? "the same, but completely written in time: it is answered afterwards"
                                   : "a bounded read is partly written when its replica exceeds the "
                                     "staleness bound: it did not run there");
    bench.openClient(1, readQuery("aa", "bounded"));
    bench.connectNode(1);
    bench.writesCompletely = false;
    bench.answer(1, rowAnswer("x0=" + std::to_string(bench.unixMillis() / 1000 - 1) + ".060,x1=0"));
    if (isWrittenInTime) bench.finishWrite(1);
    bench.advance(70);
    if (isWrittenInTime) bench.answer(1, rowAnswer("body"));
  }
  GatewayBench bench;
  bench.describe("an answer starts before the statement is completely written, and never ends");
  bench.writesCompletely = false;
  bench.openClient(1, readQuery("aa"));
  bench.connectNode(1);
  bench.answer(1, rowAnswer("body").substr(0, 20));
  bench.finishWrite(1);
  bench.advance(260);
}

}  // namespace gulltrestle::gateway_test
