// What clients send: startup, statements, limits on them, and clients that leave.
#include "gateway/bench.h"
#include "gateway/cases.h"

namespace gulltrestle::gateway_test {

void servesReadsAndWrites() {
  GatewayBench bench;
  bench.say("a query that comes with the startup message goes to a replica, with d as the router will wait");
  bench.openClient(1, readQuery("aa"));
  bench.advance(20);
  bench.connectNode(1);
  bench.advance(30);
  bench.answer(1, rowAnswer("body", parameterStatus("part", "replica")));
  bench.say("the connection is used again; two queries at once are answered in order");
  bench.sendFromClient(1, readQuery("bb") + readQuery("cc"));
  bench.advance(10);
  bench.answer(1, rowAnswer("second"));
  bench.answer(1, rowAnswer("third"));
  bench.say("one that comes in pieces");
  for (const char c : readQuery("dd")) bench.sendFromClient(1, std::string(1, c));
  bench.say(
      "a write goes to the primary; the session's read that must see it is held while replicas are asked");
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
  bench.say("good-bye");
  bench.sendFromClient(1, postgres::terminate());
}

void startupMessages() {
  GatewayBench bench({.knowsEndpoints = false});
  bench.say("no encryption; an empty query is answered once the list is known");
  const std::string ssl("\0\0\0\10\4\322\26\57", 8), gss("\0\0\0\10\4\322\26\60", 8);
  bench.acceptClient(1, ssl + postgres::startup("worker", "catalog"));
  bench.openClient(2, queryMessage(";"));
  bench.openClient(3);
  bench.sendFromClient(3, queryMessage(""));
  bench.updateEndpoints(EndpointUpdateKind::snapshot, {"p", "a"});
  bench.sendFromClient(2, queryMessage(" ; "));
  bench.say("versions, cancel requests, nonsense");
  bench.openClient(5);
  bench.sendFromClient(5, "GET / HTTP/1.1\r\n\r\n");
  ClientId next = 10;
  for (const std::string& bytes :
       {gss + std::string("\0\0\0\10\0\2\0\0", 8), std::string("\0\0\0\20\4\322\26\56\0\0\0\0\0\0\0\0", 16),
        std::string("\0\0\0\3\0\3\0\0", 8), std::string("\377\377\377\377\0\3\0\0", 8)}) {
    bench.acceptClient(next++, bytes);
  }
  bench.say("the extended protocol is refused up to its Sync, then the connection goes on");
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
  bench.say("longer than any statement: the connection ends");
  bench.sendFromClient(1, std::string("Q\0\7\0\0", 5));
  bench.say("a query whose text has no end");
  bench.openClient(2);
  bench.sendFromClient(2, postgres::message('Q', "SELECT"));
}

void slowAndFloodingClients() {
  GatewayBench bench;
  bench.say("one says nothing, one half of its greeting, one half of a query, one asks for encryption only");
  bench.acceptClient(1, "");
  bench.acceptClient(2, postgres::startup("worker", "catalog").substr(0, 9));
  bench.openClient(3, readQuery("aa").substr(0, 20));
  bench.acceptClient(4, std::string("\0\0\0\10\4\322\26\57", 8));
  bench.openClient(5);
  bench.advance(1999);
  bench.say("the half query goes on: it counts from its begin; one that asks for nothing may stay");
  bench.sendFromClient(3, readQuery("aa").substr(20, 20));
  bench.advance(1);
  bench.say(
      "the id of another client's open txn: an error, and that txn its own answer; later the id is free");
  bench.openClient(6, readQuery("bb"));
  bench.openClient(7, readQuery("bb"));
  bench.connectNode(1);
  bench.answer(1, rowAnswer("body"));
  bench.sendFromClient(7, readQuery("bb"));
  bench.answer(1, rowAnswer("again"));
  bench.say("ten messages at once: some in a turn");
  bench.printsReads = true;
  std::string many;
  for (int i = 0; i < 10; ++i) many += postgres::message('S', "");
  bench.sendFromClient(7, many + readQuery("cc"));
  bench.answer(1, rowAnswer("third"));
  bench.printsReads = false;
  bench.say("full: those that said nothing make room once they had time for it, then the idle ones");
  bench.acceptClient(8, "");
  bench.advance(24);
  std::cout << bench.closeIdleClients(2) << "\n";
  bench.acceptClient(9, "");
  bench.advance(1);
  std::cout << bench.closeIdleClients(9) << "\n";
  bench.advance(2000);
}

void closesIdleClientsAtLimit() {
  Bounds bounds = kUsualBounds;
  bounds.maxActiveClients = 8;
  GatewayBench bench({.bounds = bounds});
  bench.say(
      "clients keep eight connections for txns: beyond six the one idle longest makes room, but not two that "
      "wait");
  bench.openClient(20);
  bench.openClient(1, readQuery("slow"));
  bench.connectNode(1);
  for (ClientId client = 2; client <= 9; ++client) {
    bench.advance(1);
    bench.openClient(client, readQuery("r" + std::to_string(client)));
    if (client == 2) bench.connectNode(bench.lastConnection());
    bench.answer(2, rowAnswer("body"));
  }
  bench.say("one that has sent more meanwhile stays");
  bench.sendFromClient(9, readQuery("ss") + readQuery("tt"));
  bench.openClient(10, readQuery("uu"));
  bench.answer(2, rowAnswer("body"));
  bench.answer(2, rowAnswer("body"));
  bench.answer(2, rowAnswer("body"));
}

void halfClosedClients() {
  GatewayBench bench;
  bench.say(
      "a client that sends no more, and waits: a notice tells whether it is still there; it gets its answer");
  bench.openClient(1, readQuery("aa"));
  bench.halfCloseClient(1);
  bench.connectNode(1);
  bench.answer(1, rowAnswer("body"));
  bench.halfCloseClient(1);
  bench.say("one that waits for nothing");
  bench.openClient(2);
  bench.halfCloseClient(2);
}

// The time of each statement of a connection starts when it has arrived, not when it is handled.
void pipelinedStatements() {
  GatewayBench bench;
  bench.openClient(1, readQuery("aa") + readQuery("bb") + readQuery("cc"));
  bench.connectNode(1);
  bench.advance(400);
  bench.say("the second has waited 400 ms behind the first, and the node is told what is left");
  bench.answer(1, rowAnswer("first"));
  bench.advance(580);
  bench.say("the third has 20 ms left; it is answered before they are over");
  bench.answer(1, rowAnswer("second"));
  bench.say("one that comes in pieces counts from its last byte, also where it lies behind another");
  bench.advance(20);
  bench.sendFromClient(1, readQuery("dd") + readQuery("ee").substr(0, 30));
  bench.connectNode(2);
  bench.advance(100);
  bench.sendFromClient(1, readQuery("ee").substr(30));
  bench.advance(100);
  bench.answer(2, rowAnswer("fourth"));
  bench.answer(2, rowAnswer("fifth"));
  bench.say("told to end: what had come is served, what comes later from the same client is refused");
  bench.sendFromClient(1, readQuery("ff") + readQuery("gg"));
  bench.shutDown();
  bench.advance(500);
  bench.sendFromClient(1, readQuery("hh"));
  bench.answer(2, rowAnswer("sixth"));
  std::cout << "finished: " << bench.finished() << "\n";
  bench.answer(2, rowAnswer("seventh"));
  std::cout << "finished: " << bench.finished() << "\n";
}

// A client that leaves while its transaction waits for a connection, or is written in part: no attempt
// starts.
void withdrawsUnsentAttempts() {
  GatewayBench bench;
  bench.say("a write whose client leaves while its connection comes up");
  bench.openClient(1, writeQuery("aa"));
  bench.closeClientSide(1);
  bench.connectNode(1);
  bench.say("its connection serves the next");
  bench.openClient(2, writeQuery("bb"));
  bench.say("one that is written in part: its connection ends, and it never ran");
  bench.answer(1, rowAnswer("second"));
  bench.writesCompletely = false;
  bench.openClient(3, writeQuery("cc"));
  bench.closeClientSide(3);
  bench.say("one that is written whole goes on");
  bench.writesCompletely = true;
  bench.openClient(4, writeQuery("dd"));
  bench.connectNode(bench.connectionTo("p"));
  bench.closeClientSide(4);
  bench.answer(bench.connectionTo("p"), rowAnswer("fourth"));
}

}  // namespace gulltrestle::gateway_test
