// Connections to nodes: what is read on them, draining and removed nodes, limits.
#include "gateway/bench.h"
#include "gateway/cases.h"

namespace gulltrestle::gateway_test {

void idleNodeConnections() {
  GatewayBench bench;
  bench.openClient(1, readQuery("aa"));
  bench.connectNode(1);
  bench.answer(1, rowAnswer("body"));
  bench.say("bytes that nobody asked for end an idle connection: the next txn gets another");
  bench.answer(1, rowAnswer("whose?"));
  bench.sendFromClient(1, readQuery("bb"));
  bench.connectNode(2);
  bench.answer(2, rowAnswer("body"));
  bench.say("so does its end; the next is retired at half of the node's limit");
  bench.closeConnection(2, ConnectionCloseReason::broken);
  bench.sendFromClient(1, readQuery("cc"));
  bench.connectNode(3);
  bench.answer(3, rowAnswer("body"));
  bench.advance(4999);
  bench.sendFromClient(1, readQuery("dd"));
  bench.answer(3, rowAnswer("body"));
  bench.advance(5000);
}

void bytesAfterAnswers() {
  GatewayBench bench;
  bench.answersEmptyQueries = false;
  bench.say(
      "after an answer an empty query is asked; what waits meanwhile is written once its answer is there");
  bench.openClient(1, readQuery("aa"));
  bench.connectNode(1);
  bench.answer(1, rowAnswer("body"));
  bench.sendFromClient(1, readQuery("bb"));
  bench.answer(1, emptyQueryAnswer().substr(0, 3));
  bench.answer(1, emptyQueryAnswer());
  bench.answer(1, rowAnswer("second"));
  bench.say(
      "an answer twice in the same read, and one that comes later: the value is kept, the connection is not");
  bench.sendFromClient(1, readQuery("cc"));
  bench.answer(1, emptyQueryAnswer());
  bench.answer(1, rowAnswer("third") + rowAnswer("third"));
  bench.sendFromClient(1, readQuery("dd"));
  bench.connectNode(bench.lastConnection());
  bench.answer(bench.lastConnection(), rowAnswer("fourth"));
  bench.sendFromClient(1, readQuery("ee"));
  bench.answer(bench.lastConnection(), rowAnswer("fourth") + emptyQueryAnswer());
  bench.connectNode(bench.lastConnection());
  bench.say("noise behind the answer to the empty query, a node that does not answer it");
  bench.answer(bench.lastConnection(), rowAnswer("fifth"));
  bench.answer(bench.lastConnection(), emptyQueryAnswer() + "noise");
  bench.sendFromClient(1, readQuery("ff"));
  bench.connectNode(bench.lastConnection());
  bench.answer(bench.lastConnection(), rowAnswer("sixth"));
  bench.advance(250);
  bench.say("a report and a position that can't be read within a good answer");
  bench.sendFromClient(1, readQuery("gg"));
  bench.connectNode(bench.lastConnection());
  bench.answer(bench.lastConnection(), rowAnswer("seventh", parameterStatus("gauges", "=,=") +
                                                                parameterStatus("caught_up_to", "soon") +
                                                                parameterStatus("part", "replica")));
}

void malformedAnswers() {
  GatewayBench bench;
  const std::string good = rowAnswer("body");
  bench.say("each may have run, and is found as early as its bytes allow: a type, a length, a row's length");
  bench.openClient(1);
  for (const auto& [id, bytes] : {std::pair<const char*, std::string>{"a", "x"},
                                  {"b", std::string("T\0\1\0\0", 5)},
                                  {"c", good.substr(0, 30) + "D" + std::string("\xb2\xd0\x5e\0", 4)},
                                  {"d", good.substr(0, good.find('D') + 7) + std::string("\0\0\0\5", 4)}}) {
    bench.sendFromClient(1, writeQuery(std::string("good-") + id));
    bench.connectNode(bench.connectionTo("p"));
    bench.answer(bench.connectionTo("p"), good);
    bench.sendFromClient(1, writeQuery(id));
    bench.answer(bench.connectionTo("p"), bytes);
  }
  bench.say("one that begins and does not end: what can be repeated goes on elsewhere after a while");
  bench.sendFromClient(1, readQuery("f"));
  bench.connectNode(bench.lastConnection());
  bench.answer(bench.lastConnection(), good.substr(0, 40));
  bench.advance(260);
  bench.connectNode(bench.lastConnection());
  bench.answer(bench.lastConnection(), good);
  bench.say("noise over and over: a line a node each 10 s");
  bench.answer(bench.lastConnection(), "x");
  for (int i = 0; i < 4; ++i) {
    bench.advance(3600);
    bench.sendFromClient(1, readQuery("g" + std::to_string(i)));
    bench.connectNode(bench.lastConnection());
    bench.answer(bench.lastConnection(), good);
    bench.answer(bench.lastConnection(), "x");
  }
}

void drainingNodes() {
  GatewayBench bench;
  bench.openClient(1, readQuery("aa"));
  bench.connectNode(1);
  bench.answer(1, rowAnswer("body"));
  bench.say(
      "three are for the only replica, which drains: one is out, two wait for a connection and go elsewhere");
  for (ClientId client = 2; client <= 4; ++client)
    bench.openClient(client, readQuery("b" + std::to_string(client)));
  bench.updateEndpoints(EndpointUpdateKind::delta, {"b"});
  bench.updateEndpoints(EndpointUpdateKind::delta, {"a"}, Health::draining);
  bench.connectNode(bench.connectionTo("b"));
  bench.say("what is out may end there, and its connection is not kept; what comes up late is closed");
  bench.answer(1, rowAnswer("from a"));
  bench.connectNode(2);
  bench.answer(bench.connectionTo("b"), rowAnswer("from b"));
  bench.say("b has another address: its idle connection is closed");
  bench.answer(bench.connectionTo("b"), rowAnswer("from b"));
  bench.updateEndpoints(EndpointUpdateKind::snapshot, {"B"});
  GatewayBench other({.onlyDrainingExcludes = true});
  other.say("where only draining binds, a node that is listed as gone keeps its connections");
  other.openClient(1, readQuery("aa"));
  other.connectNode(1);
  other.answer(1, rowAnswer("body"));
  other.updateEndpoints(EndpointUpdateKind::delta, {"a"}, Health::removed);
  other.sendFromClient(1, readQuery("bb"));
  other.answer(1, rowAnswer("body"));
  other.updateEndpoints(EndpointUpdateKind::delta, {"a"}, Health::draining);
}

void forgetsRemovedNodes() {
  GatewayBench bench;
  bench.say("a is not reached, drains and leaves, b comes: a comes back after a minute, as one that is new");
  bench.openClient(1, readQuery("aa"));
  bench.closeConnection(1, ConnectionCloseReason::refused);
  bench.advance(1000);
  bench.updateEndpoints(EndpointUpdateKind::delta, {"a"}, Health::draining);
  bench.updateEndpoints(EndpointUpdateKind::delta, {"a"}, Health::removed);
  bench.updateEndpoints(EndpointUpdateKind::delta, {"b"});
  bench.advance(61000);
  bench.updateEndpoints(EndpointUpdateKind::delta, {"b"});
  bench.updateEndpoints(EndpointUpdateKind::delta, {"a"});
  bench.updateEndpoints(EndpointUpdateKind::delta, {"b"}, Health::draining);
  bench.sendFromClient(1, readQuery("bb"));
  bench.connectNode(bench.connectionTo("a"));
  bench.answer(bench.connectionTo("a"), rowAnswer("body"));
}

void connectionAndMemoryLimits() {
  Bounds oneConnection = kUsualBounds;
  oneConnection.maxNodeConnections = 1;
  oneConnection.maxBufferedBytes = 300;
  GatewayBench bench({.bounds = oneConnection});
  bench.say("one connection may be open: the second txn gets none, and is refused when it has no more tries");
  bench.openClient(1, readQuery("aa"));
  bench.openClient(2, writeQuery("bb"));
  bench.connectNode(1);
  bench.advance(100);
  bench.say("an idle one makes room");
  bench.answer(1, rowAnswer("body"));
  bench.sendFromClient(2, writeQuery("cc"));
  bench.say("no room for one more statement");
  bench.sendFromClient(1, readQuery("dd"));
  bench.openClient(3, readQuery("ee"));
  bench.say("no descriptor: told as not sent");
  bench.closeConnection(bench.connectionTo("a"), ConnectionCloseReason::noDescriptor);
  bench.say("of the idle clients the one that was idle longest makes room");
  bench.advance(1000);
  bench.sendFromClient(3, queryMessage(""));
  for (int i = 0; i < 4; ++i) std::cout << (bench.closeIdleClients() ? "one was closed\n" : "none is idle\n");
  Bounds twoConnections = kUsualBounds;
  twoConnections.maxNodeConnections = 2;
  GatewayBench other({.bounds = twoConnections});
  other.say("two may be open: of two idle ones that goes first which was used longer ago");
  other.openClient(1, readQuery("aa"));
  other.connectNode(1);
  other.answer(1, rowAnswer("body"));
  other.sendFromClient(1, writeQuery("bb"));
  other.connectNode(2);
  other.answer(2, rowAnswer("body"));
  other.advance(1);
  other.sendFromClient(1, readQuery("cc"));
  other.answer(1, rowAnswer("body"));
  other.updateEndpoints(EndpointUpdateKind::delta, {"b"});
  other.sendFromClient(1, readQuery("dd"));
  if (other.lastConnection() == 2) {
    other.answer(1, rowAnswer("body"));
    other.sendFromClient(1, readQuery("ee"));
  }
}

}  // namespace gulltrestle::gateway_test
