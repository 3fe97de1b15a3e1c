// Cases for connections to nodes: answers, draining and removed nodes, limits.
#include "gateway/bench.h"
#include "gateway/cases.h"

namespace gulltrestle::gateway_test {

void idleNodeConnections() {
  GatewayBench bench;
  bench.openClient(1, readQuery("aa"));
  bench.connectNode(1);
  bench.answer(1, rowAnswer("body"));
  bench.describe("unexpected bytes close an idle connection: the next txn gets another");
  bench.answer(1, rowAnswer("unexpected"));
  bench.sendFromClient(1, readQuery("bb"));
  bench.connectNode(2);
  bench.answer(2, rowAnswer("body"));
  bench.describe(
      "the same after the node closes it; the next one is retired after half of the node's idle limit");
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
  bench.describe("an empty query follows each answer; the next statement is written once it is answered");
  bench.openClient(1, readQuery("aa"));
  bench.connectNode(1);
  bench.answer(1, rowAnswer("body"));
  bench.sendFromClient(1, readQuery("bb"));
  bench.answer(1, emptyQueryAnswer().substr(0, 3));
  bench.answer(1, emptyQueryAnswer());
  bench.answer(1, rowAnswer("second"));
  bench.describe(
      "an answer sent twice, in the same read or later: the value is used, the connection is closed");
  bench.sendFromClient(1, readQuery("cc"));
  bench.answer(1, emptyQueryAnswer());
  bench.answer(1, rowAnswer("third") + rowAnswer("third"));
  bench.sendFromClient(1, readQuery("dd"));
  bench.connectNode(bench.lastConnection());
  bench.answer(bench.lastConnection(), rowAnswer("fourth"));
  bench.sendFromClient(1, readQuery("ee"));
  bench.answer(bench.lastConnection(), rowAnswer("fourth") + emptyQueryAnswer());
  bench.connectNode(bench.lastConnection());
  bench.describe("extra bytes after the answer to the empty query; an empty query without an answer");
  bench.answer(bench.lastConnection(), rowAnswer("fifth"));
  bench.answer(bench.lastConnection(), emptyQueryAnswer() + "noise");
  bench.sendFromClient(1, readQuery("ff"));
  bench.connectNode(bench.lastConnection());
  bench.answer(bench.lastConnection(), rowAnswer("sixth"));
  bench.advance(250);
  bench.describe("a malformed load report and log position within a valid answer");
  bench.sendFromClient(1, readQuery("gg"));
  bench.connectNode(bench.lastConnection());
  bench.answer(bench.lastConnection(), rowAnswer("seventh", parameterStatus("gauges", "=,=") +
                                                                parameterStatus("caught_up_to", "soon") +
                                                                parameterStatus("part", "replica")));
}

void malformedAnswers() {
  GatewayBench bench;
  const std::string validAnswer = rowAnswer("body");
  bench.describe(
      "each may have run, and is detected as early as possible: by a type, a length, a row's length");
  bench.openClient(1);
  for (const auto& [id, bytes] :
       {std::pair<const char*, std::string>{"a", "x"},
        {"b", std::string("T\0\1\0\0", 5)},
        {"c", validAnswer.substr(0, 30) + "D" + std::string("\xb2\xd0\x5e\0", 4)},
        {"d", validAnswer.substr(0, validAnswer.find('D') + 7) + std::string("\0\0\0\5", 4)}}) {
    bench.sendFromClient(1, writeQuery(std::string("good-") + id));
    bench.connectNode(bench.connectionTo("p"));
    bench.answer(bench.connectionTo("p"), validAnswer);
    bench.sendFromClient(1, writeQuery(id));
    bench.answer(bench.connectionTo("p"), bytes);
  }
  bench.describe(
      "an incomplete answer: an idempotent statement is retried on another connection after a timeout");
  bench.sendFromClient(1, readQuery("f"));
  bench.connectNode(bench.lastConnection());
  bench.answer(bench.lastConnection(), validAnswer.substr(0, 40));
  bench.advance(260);
  bench.connectNode(bench.lastConnection());
  bench.answer(bench.lastConnection(), validAnswer);
  bench.describe("repeated malformed answers: one log line per node every 10 s");
  bench.answer(bench.lastConnection(), "x");
  for (int i = 0; i < 4; ++i) {
    bench.advance(3600);
    bench.sendFromClient(1, readQuery("g" + std::to_string(i)));
    bench.connectNode(bench.lastConnection());
    bench.answer(bench.lastConnection(), validAnswer);
    bench.answer(bench.lastConnection(), "x");
  }
}

void drainingNodes() {
  GatewayBench bench;
  bench.openClient(1, readQuery("aa"));
  bench.connectNode(1);
  bench.answer(1, rowAnswer("body"));
  bench.describe(
      "three txns at the only replica, which drains: one is in flight, two waiting ones are sent elsewhere");
  for (ClientId client = 2; client <= 4; ++client)
    bench.openClient(client, readQuery("b" + std::to_string(client)));
  bench.updateEndpoints(EndpointUpdateKind::delta, {"b"});
  bench.updateEndpoints(EndpointUpdateKind::delta, {"a"}, Health::draining);
  bench.connectNode(bench.connectionTo("b"));
  bench.describe(
      "the txn in flight may finish, its connection is then closed; one established later is closed at once");
  bench.answer(1, rowAnswer("from a"));
  bench.connectNode(2);
  bench.answer(bench.connectionTo("b"), rowAnswer("from b"));
  bench.describe("the address of b changes: its idle connection is closed");
  bench.answer(bench.connectionTo("b"), rowAnswer("from b"));
  bench.updateEndpoints(EndpointUpdateKind::snapshot, {"B"});
  GatewayBench other({.onlyDrainingExcludes = true});
  other.describe("if only draining excludes nodes, a node listed as removed keeps its connections");
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
  bench.describe(
      "a is unreachable, drains and is removed, b is added: added again after a minute, a counts as new");
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
  GatewayLimits oneConnection = kDefaultLimits;
  oneConnection.maxNodeConnections = 1;
  oneConnection.maxBufferedBytes = 300;
  GatewayBench bench({.bounds = oneConnection});
  bench.describe("limit of one connection: the second txn gets none, and is rejected after its last attempt");
  bench.openClient(1, readQuery("aa"));
  bench.openClient(2, writeQuery("bb"));
  bench.connectNode(1);
  bench.advance(100);
  bench.describe("an idle connection is closed in favor of a new one");
  bench.answer(1, rowAnswer("body"));
  bench.sendFromClient(2, writeQuery("cc"));
  bench.describe("the memory limit admits no further statement");
  bench.sendFromClient(1, readQuery("dd"));
  bench.openClient(3, readQuery("ee"));
  bench.describe("no descriptor: reported as not sent");
  bench.closeConnection(bench.connectionTo("a"), ConnectionCloseReason::noDescriptor);
  bench.describe("the client that has been idle longest is closed first");
  bench.advance(1000);
  bench.sendFromClient(3, queryMessage(""));
  for (int i = 0; i < 4; ++i)
    std::cout << (bench.closeIdleClients() ? "closed a client\n" : "no idle client\n");
  GatewayLimits twoConnections = kDefaultLimits;
  twoConnections.maxNodeConnections = 2;
  GatewayBench other({.bounds = twoConnections});
  other.describe("limit of two connections: of two idle ones the least recently used is closed first");
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
