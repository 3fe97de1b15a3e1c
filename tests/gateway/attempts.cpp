// Attempts at nodes: which may be retried, which are cancelled, and what is sent in time.
#include "gateway/bench.h"
#include "gateway/cases.h"

namespace gulltrestle::gateway_test {

void retriesUnexecutedWrites() {
  GatewayBench bench;
  bench.say("a write whose connection is refused, or breaks before its last byte is written, is sent again");
  bench.openClient(1, writeQuery("aa"));
  bench.closeConnection(1, ConnectionCloseReason::refused);
  bench.advance(5);
  bench.writesCompletely = false;
  bench.connectNode(2);
  bench.closeConnection(2, ConnectionCloseReason::broken);
  bench.advance(5);
  bench.say("once it is written it may have run: rolled back, and never sent again");
  bench.connectNode(3);
  bench.finishWrite(3);
  bench.closeConnection(3, ConnectionCloseReason::broken);
  bench.advance(1000);
  GatewayBench other;
  other.say("a node that never comes up, or turns the write away, has not run it");
  other.openClient(2, writeQuery("bb"));
  other.advance(250);
  other.connectNode(other.connectionTo("p"));
  other.answer(other.connectionTo("p"),
               postgres::error("ERROR", "53300", "full") + postgres::readyForQuery());
  other.advance(260);
  other.answer(other.connectionTo("p"),
               postgres::error("ERROR", "25006", "read only") + postgres::readyForQuery());
  other.advance(600);
  other.say("nor has one that refuses the session");
  other.openClient(3, readQuery("cc"));
  other.rejectSession(other.connectionTo("a"));
  other.advance(300);
}

void neverRetriesAmbiguousWrites() {
  GatewayBench bench;
  bench.say("an error, a malformed answer and silence each leave a write that may have run");
  bench.openClient(1, writeQuery("aa"));
  bench.connectNode(1);
  bench.answer(1, postgres::error("ERROR", "XX000", "no") + postgres::readyForQuery());
  bench.sendFromClient(1, writeQuery("bb"));
  bench.answer(1, postgres::message('D', dataColumn("row before its description")));
  bench.sendFromClient(1, writeQuery("cc"));
  bench.connectNode(2);
  bench.advance(995);
  bench.say("and the late answer reaches nobody");
  bench.answer(2, rowAnswer("late"));
  bench.say("a fatal error ends the connection, an answer that is cut off ends nothing");
  bench.sendFromClient(1, readQuery("dd"));
  bench.connectNode(bench.connectionTo("a"));
  const NodeConnectionId connection = bench.connectionTo("a");
  bench.answer(connection, rowAnswer("a value that breaks off").substr(0, 40));
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
  bench.say("a silent node: a copy goes elsewhere, the first answer counts, the other connection is closed");
  bench.sendFromClient(1, readQuery("bb"));
  if (bench.lastConnection() == 1) bench.advance(250);
  bench.connectNode(2);
  bench.answer(2, rowAnswer("body"));
  bench.advance(5);
  bench.answer(1, rowAnswer("too late"));
  bench.say("clients that leave: one whose txn is out, one whose txn waits for a connection");
  bench.sendFromClient(1, readQuery("cc"));
  bench.openClient(2, readQuery("dd"));
  bench.closeClientSide(1);
  bench.closeClientSide(2);
  bench.advance(5);
  bench.connectNode(bench.lastConnection());
  bench.advance(5);
}

void readOutdatedBeforeConnected() {
  GatewayBench bench;
  bench.printsHealthChecks = true;
  bench.say("a replica is known to be 940 ms behind, of 1000 that are allowed: two reads are for it at once");
  bench.openClient(1, readQuery("aa", "bounded"));
  bench.connectNode(1);
  bench.answer(1, rowAnswer("x0=" + std::to_string(bench.unixMillis() / 1000 - 1) + ".060,x1=0"));
  bench.openClient(2, readQuery("bb", "bounded"));
  bench.say(
      "the second waits for its connection until the replica may be out of the bound: it is not sent there");
  bench.advance(70);
  bench.connectNode(2);
  bench.advance(40);
}

// Statements of which the node takes a part at a time.
void partiallyWrittenStatements() {
  for (const bool inTime : {false, true}) {
    GatewayBench bench;
    bench.say(
        inTime
            ? "the same, written whole in time: it is answered after that"
            : "a bounded read is written in part as its replica falls out of the bound: it never ran there");
    bench.openClient(1, readQuery("aa", "bounded"));
    bench.connectNode(1);
    bench.writesCompletely = false;
    bench.answer(1, rowAnswer("x0=" + std::to_string(bench.unixMillis() / 1000 - 1) + ".060,x1=0"));
    if (inTime) bench.finishWrite(1);
    bench.advance(70);
    if (inTime) bench.answer(1, rowAnswer("body"));
  }
  GatewayBench bench;
  bench.say("an answer begins before the statement is written whole, and does not end");
  bench.writesCompletely = false;
  bench.openClient(1, readQuery("aa"));
  bench.connectNode(1);
  bench.answer(1, rowAnswer("body").substr(0, 20));
  bench.finishWrite(1);
  bench.advance(260);
}

}  // namespace gulltrestle::gateway_test
