// Cases for clients: startup, statements, limits, and clients that disconnect.
#include "gateway/bench.h"
#include "gateway/cases.h"

namespace gulltrestle::gateway_test {

void servesReadsAndWrites() {
  GatewayBench bench;
  bench.describe("a query sent with the startup message goes to a replica, with d set to the remaining time");
  bench.openClient(1, readQuery("aa"));
  bench.advance(20);
  bench.connectNode(1);
  bench.advance(30);
  bench.answer(1, rowAnswer("body", parameterStatus("part", "replica")));
  bench.describe("the connection is reused; two queries sent at once are answered in order");
  bench.sendFromClient(1, readQuery("bb") + readQuery("cc"));
  bench.advance(10);
  bench.answer(1, rowAnswer("second"));
  bench.answer(1, rowAnswer("third"));
  bench.describe("a query is received in pieces");
  for (const char c : readQuery("dd")) bench.sendFromClient(1, std::string(1, c));
  bench.describe(
      "a write goes to the primary; the session read that must see it is queued until a health check");
  bench.printsHealthChecks = true;
  bench.answer(1, rowAnswer("fourth"));
  bench.sendFromClient(1, writeQuery("ee"));
  bench.connectNode(2);
  const auto commit = bench.unixMillis();
  bench.answer(2, rowAnswer("written", parameterStatus("part", "master") +
                                           parameterStatus("caught_up_to", std::to_string(commit))));
  bench.sendFromClient(1, readQuery("ff", "session", ",after=" + std::to_string(commit)));
  bench.answer(1, rowAnswer("x0=" + std::to_string(commit / 1000) + ".99,x1=0,inflight=3,util=0.5"));
  bench.answer(1, rowAnswer("fifth"));
  bench.describe("the client terminates the session");
  bench.sendFromClient(1, postgres::terminate());
}

void startupMessages() {
  GatewayBench bench({.hasEndpointList = false});
  bench.describe("encryption is declined; an empty query is answered once the endpoint list is known");
  const std::string ssl("\0\0\0\10\4\322\26\57", 8), gss("\0\0\0\10\4\322\26\60", 8);
  bench.acceptClient(1, ssl + postgres::startup("worker", "catalog"));
  bench.openClient(2, queryMessage(";"));
  bench.openClient(3);
  bench.sendFromClient(3, queryMessage(""));
  bench.updateEndpoints(EndpointUpdateKind::snapshot, {"p", "a"});
  bench.sendFromClient(2, queryMessage(" ; "));
  bench.describe("unsupported versions, cancel requests, malformed messages");
  bench.openClient(5);
  bench.sendFromClient(5, "GET / HTTP/1.1\r\n\r\n");
  ClientId next = 10;
  for (const std::string& bytes :
       {gss + std::string("\0\0\0\10\0\2\0\0", 8), std::string("\0\0\0\20\4\322\26\56\0\0\0\0\0\0\0\0", 16),
        std::string("\0\0\0\3\0\3\0\0", 8), std::string("\377\377\377\377\0\3\0\0", 8)}) {
    bench.acceptClient(next++, bytes);
  }
  bench.describe("extended-protocol messages are rejected up to the Sync; the connection remains usable");
  bench.openClient(7);
  bench.sendFromClient(7, postgres::message('P', "x") + postgres::message('B', "x") +
                              postgres::message('E', "x") + postgres::message('S', "") + queryMessage(""));
  bench.sendFromClient(7,
                       postgres::message('F', "x") + postgres::message('H', "") + postgres::message('S', ""));
}

void rejectsInvalidStatements() {
  GatewayBench bench;
  bench.openClient(1);
  const std::string select = "SELECT body FROM objects WHERE oid = 'k'";
  for (const std::string& text :
       {std::string("DROP TABLE objects"), select, select + " /* id=1,c=any,d=5,cluster=1",
        select + " /* id=1,c=any,d=5,cluster=1 */; DROP TABLE objects",
        select + " /* id=1,c=any,cluster=1 */", select + " /* id=1,c=any,d=soon,cluster=1 */",
        select + " /* id=1,c=any,d=-5,cluster=1 */",
        select + " /* id=1,c=any,d=99999999999999999999,cluster=1 */",
        select + " /* id=1,c=any,d=5,cluster=x */", select + " /* id=1,c=any,d=5 */",
        select + " /* c=any,d=5,cluster=1 */", select + " /* id=1,d=5,cluster=1 */",
        select + " /* id=1,c=rare,d=5,cluster=1 */", select + " /* id=1,c=charge,d=5,cluster=1 */",
        select + " /* id=1,c=any,d=5,cluster=1,after=1e9 */", select + " /* id */",
        std::string("SELECT body FROM objects WHERE oid = 'k"),
        "INSERT INTO objects (oid, body) VALUES ('k', '\\x" + std::string(2 * 64 * 1024 + 2, '0') +
            "') RETURNING body"})
    bench.sendFromClient(1, queryMessage(text));
  bench.describe("a message longer than any statement closes the connection");
  bench.sendFromClient(1, std::string("Q\0\7\0\0", 5));
  bench.describe("a query text without its terminating zero byte");
  bench.openClient(2);
  bench.sendFromClient(2, postgres::message('Q', "SELECT"));
}

void slowAndFloodingClients() {
  GatewayBench bench;
  bench.describe(
      "clients that send nothing, half a startup message, half a query, only an encryption request");
  bench.acceptClient(1, "");
  bench.acceptClient(2, postgres::startup("worker", "catalog").substr(0, 9));
  bench.openClient(3, readQuery("aa").substr(0, 20));
  bench.acceptClient(4, std::string("\0\0\0\10\4\322\26\57", 8));
  bench.openClient(5);
  bench.advance(1999);
  bench.describe(
      "the time of the incomplete query counts from its first byte; an idle client stays connected");
  bench.sendFromClient(3, readQuery("aa").substr(20, 20));
  bench.advance(1);
  bench.describe(
      "the id of another client's open txn is an error; that txn is answered, then its id may be reused");
  bench.openClient(6, readQuery("bb"));
  bench.openClient(7, readQuery("bb"));
  bench.connectNode(1);
  bench.answer(1, rowAnswer("body"));
  bench.sendFromClient(7, readQuery("bb"));
  bench.answer(1, rowAnswer("again"));
  bench.describe("ten messages at once: each turn handles some of them");
  bench.printsReads = true;
  std::string syncMessages;
  for (int i = 0; i < 10; ++i) syncMessages += postgres::message('S', "");
  bench.sendFromClient(7, syncMessages + readQuery("cc"));
  bench.answer(1, rowAnswer("third"));
  bench.printsReads = false;
  bench.describe("at the limit, the clients idle longest are closed, but none that has just connected");
  bench.acceptClient(8, "");
  bench.advance(24);
  std::cout << bench.closeIdleClients(2) << "\n";
  bench.acceptClient(9, "");
  bench.advance(1);
  std::cout << bench.closeIdleClients(9) << "\n";
  bench.advance(2000);
}

void closesIdleClientsAtLimit() {
  GatewayLimits bounds = kDefaultLimits;
  bounds.maxActiveClients = 8;
  GatewayBench bench({.bounds = bounds});
  bench.describe(
      "limit of eight active clients: above six the longest idle is closed, but none that waits or is "
      "inactive");
  bench.openClient(20);
  bench.openClient(1, readQuery("slow"));
  bench.connectNode(1);
  for (ClientId client = 2; client <= 9; ++client) {
    bench.advance(1);
    bench.openClient(client, readQuery("r" + std::to_string(client)));
    if (client == 2) bench.connectNode(bench.lastConnection());
    bench.answer(2, rowAnswer("body"));
  }
  bench.describe("a client that has sent more statements meanwhile is not closed");
  bench.sendFromClient(9, readQuery("ss") + readQuery("tt"));
  bench.openClient(10, readQuery("uu"));
  bench.answer(2, rowAnswer("body"));
  bench.answer(2, rowAnswer("body"));
  bench.answer(2, rowAnswer("body"));
}

void halfClosedClients() {
  GatewayBench bench;
  bench.describe(
      "a half-closed client that waits: a notice checks whether it is still connected; it is answered");
  bench.openClient(1, readQuery("aa"));
  bench.halfCloseClient(1);
  bench.connectNode(1);
  bench.answer(1, rowAnswer("body"));
  bench.halfCloseClient(1);
  bench.describe("a half-closed client that does not wait for an answer");
  bench.openClient(2);
  bench.halfCloseClient(2);
}

// The time limit of each statement counts from its arrival, not from when the gateway handles it.
void pipelinedStatements() {
  GatewayBench bench;
  bench.openClient(1, readQuery("aa") + readQuery("bb") + readQuery("cc"));
  bench.connectNode(1);
  bench.advance(400);
  bench.describe("the second has waited 400 ms behind the first; the remaining time is passed to the node");
  bench.answer(1, rowAnswer("first"));
  bench.advance(580);
  bench.describe("the third has 20 ms left; it is answered within that time");
  bench.answer(1, rowAnswer("second"));
  bench.describe(
      "the time of a query received in pieces counts from its last byte, also behind another query");
  bench.advance(20);
  bench.sendFromClient(1, readQuery("dd") + readQuery("ee").substr(0, 30));
  bench.connectNode(2);
  bench.advance(100);
  bench.sendFromClient(1, readQuery("ee").substr(30));
  bench.advance(100);
  bench.answer(2, rowAnswer("fourth"));
  bench.answer(2, rowAnswer("fifth"));
  bench.describe(
      "shutdown: statements received before are served, later ones from the same client are rejected");
  bench.sendFromClient(1, readQuery("ff") + readQuery("gg"));
  bench.shutDown();
  bench.advance(500);
  bench.sendFromClient(1, readQuery("hh"));
  bench.answer(2, rowAnswer("sixth"));
  std::cout << "finished: " << bench.isFinished() << "\n";
  bench.answer(2, rowAnswer("seventh"));
  std::cout << "finished: " << bench.isFinished() << "\n";
}

// If a client disconnects while its transaction waits for a connection or is only partly written, no attempt
// runs at the node.
void withdrawsUnsentAttempts() {
  GatewayBench bench;
  bench.describe("a client disconnects while the node connection for its write is being established");
  bench.openClient(1, writeQuery("aa"));
  bench.disconnectClient(1);
  bench.connectNode(1);
  bench.describe("the next write uses the connection");
  bench.openClient(2, writeQuery("bb"));
  bench.describe(
      "a client disconnects while its write is partly written: the connection is closed, it did not run");
  bench.answer(1, rowAnswer("second"));
  bench.writesCompletely = false;
  bench.openClient(3, writeQuery("cc"));
  bench.disconnectClient(3);
  bench.describe("a completely written write continues");
  bench.writesCompletely = true;
  bench.openClient(4, writeQuery("dd"));
  bench.connectNode(bench.connectionTo("p"));
  bench.disconnectClient(4);
  bench.answer(bench.connectionTo("p"), rowAnswer("fourth"));
}

}  // namespace gulltrestle::gateway_test
