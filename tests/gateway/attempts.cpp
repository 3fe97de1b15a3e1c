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

// Guards against an effect twice: a write whose client had left was forgotten with its last attempt, and ran
// again when the same id came again.
void idRepeatedAfterClientLeft() {
  const std::string error = postgres::error("ERROR", "XX000", "no") + postgres::readyForQuery();
  const std::string rejection = postgres::error("ERROR", "53300", "full") + postgres::readyForQuery();
  struct FirstResult {
    std::string description, answer;
  };
  for (const FirstResult& first :
       {FirstResult{"committed", rowAnswer("v")}, FirstResult{"answered with an error", error},
        FirstResult{"rejected without a run", rejection}}) {
    GatewayBench bench;
    bench.describe("the client leaves, its write is " + first.description + ", and the same id comes again");
    bench.openClient(1, writeQuery("aa"));
    bench.connectNode(1);
    bench.disconnectClient(1);
    bench.answer(1, first.answer);
    bench.advance(200);
    bench.openClient(2, writeQuery("aa"));
    bench.advance(100);  // a node that rejected a write receives none for 250 ms
  }
  GatewayBench lost;
  lost.describe("the connection to the node is lost with the answer");
  lost.openClient(1, writeQuery("aa"));
  lost.connectNode(1);
  lost.disconnectClient(1);
  lost.closeConnection(1, ConnectionCloseReason::broken);
  lost.openClient(2, writeQuery("aa"));
  lost.advance(50);
  GatewayBench expired;
  expired.describe("another id, a read, and the same id after the deadline of its class, 2 s, are sent");
  expired.openClient(1, writeQuery("aa"));
  expired.connectNode(1);
  expired.answer(1, rowAnswer("v"));
  expired.sendFromClient(1, writeQuery("bb"));
  expired.answer(1, rowAnswer("v"));
  expired.sendFromClient(1, readQuery("rr", "latest"));
  expired.answer(1, rowAnswer("v"));
  expired.sendFromClient(1, readQuery("rr", "latest"));
  expired.answer(1, rowAnswer("v"));
  expired.advance(1990);
  expired.sendFromClient(1, writeQuery("aa"));
  expired.advance(20);
  expired.sendFromClient(1, writeQuery("aa"));
}

// The ids that must be remembered are bounded: beyond that, writes are rejected without being sent.
void repeatedIdsAtLimit() {
  GatewaySetup setup;
  setup.bounds.maxBufferedBytes = 4096;  // a quarter is for the ids of writes that have ended
  GatewayBench bench(setup);
  bench.openClient(1, writeQuery("w1"));
  bench.connectNode(1);
  bench.answer(1, rowAnswer("v"));
  for (int number = 2; number <= 4; ++number) {
    bench.sendFromClient(1, writeQuery("w" + std::to_string(number)));
    bench.answer(1, rowAnswer("v"));
  }
  bench.describe("the fifth write is rejected, one that is remembered is rolled back");
  bench.sendFromClient(1, writeQuery("w5"));
  bench.sendFromClient(1, writeQuery("w2"));
  bench.describe("a read is sent, and writes again once the ids have expired");
  bench.sendFromClient(1, readQuery("r1", "latest"));
  bench.answer(1, rowAnswer("v"));
  bench.advance(2005);
  bench.sendFromClient(1, writeQuery("w6"));
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
