// Cases for the graceful shutdown. The longest deadline is 2 s unless a case says otherwise, so the process
// may be killed 2.7 s after the request to shut down.
#include "gateway/bench.h"
#include "gateway/cases.h"

namespace gulltrestle::gateway_test {

void shutdownSequence() {
  GatewayBench bench;
  bench.openClient(1, readQuery("aa"));
  bench.openClient(2);
  bench.connectNode(1);
  bench.describe("shutdown: service continues for half a second");
  bench.shutDown();
  bench.advance(100);
  bench.openClient(3, readQuery("bb"));
  bench.connectNode(2);
  bench.answer(2, rowAnswer("body"));
  bench.advance(399);
  bench.acceptClient(4, postgres::startup("worker", "catalog").substr(0, 9));
  bench.acceptClient(5, "");
  bench.advance(1);
  bench.describe(
      "then idle clients are closed, others once answered; of two that just connected one sends a query");
  bench.sendFromClient(4, postgres::startup("worker", "catalog").substr(9) + readQuery("cc"));
  bench.answer(2, rowAnswer("body"));
  bench.advance(250);
  std::cout << "finished: " << bench.isFinished() << "\n";
  bench.answer(1, rowAnswer("body"));
  bench.advance(0);
  std::cout << "finished: " << bench.isFinished() << "\n";
}

// Guards against requests without an answer when SIGKILL comes: clients wait longer than the process may
// live.
void shutdownAnswersBeforeKill() {
  GatewayBench bench({.healthChecksAllowed = false});
  const std::string startup = postgres::startup("worker", "catalog");
  bench.describe("there before, with 5 s each: a write and a read at nodes that hang");
  bench.openClient(1, writeQuery("aa", 5000));
  bench.connectNode(1);
  bench.openClient(2, readQuery("bb", "any", "", 5000));
  bench.connectNode(2);
  bench.shutDown();
  bench.advance(400);
  bench.describe("within the grace period: a client with a read, and one whose startup comes in pieces");
  bench.openClient(3, readQuery("cc", "any", "", 5000));
  bench.connectNode(3);
  bench.acceptClient(4, startup.substr(0, 8));
  bench.advance(160);
  bench.sendFromClient(4, startup.substr(8) + writeQuery("dd", 5000));
  bench.describe("all are answered 0.2 s before the process may be killed");
  bench.advance(2140);
  std::cout << "finished: " << bench.isFinished() << "\n";
}

// Guards against the same where the longest deadline is above the 3 s that the platform waits, and where the
// process was stopped when the request to shut down came.
void shutdownAfterStall() {
  for (const std::int64_t stalledMillis : {0, 300}) {
    GatewayBench bench({.deadline = Duration::millis(8000)});
    bench.describe("noticed after " + std::to_string(stalledMillis) +
                   " ms; answered 3.5 s after the request");
    bench.openClient(1, writeQuery("aa", 8000));
    bench.connectNode(bench.lastConnection());
    bench.advance(stalledMillis);
    bench.shutDown(stalledMillis);
    bench.advance(3600 - stalledMillis);
    std::cout << "finished: " << bench.isFinished() << "\n";
  }
}

// Guards against connections that the shutdown ends in the middle of a message: each is answered.
void shutdownWithPartialMessages() {
  GatewayBench bench;
  const std::string startup = postgres::startup("worker", "catalog");
  const std::string tlsRequest("\0\0\0\x08\x04\xd2\x16\x2f", 8);
  bench.openClient(1, readQuery("aa"));
  bench.connectNode(1);
  bench.answer(1, rowAnswer("body"));
  bench.shutDown();
  bench.advance(100);
  bench.describe("in pieces: a second statement, a startup, a TLS request, a startup that never ends");
  bench.sendFromClient(1, readQuery("bb").substr(0, 30));
  bench.acceptClient(2, startup.substr(0, 8));
  bench.acceptClient(3, tlsRequest.substr(0, 4));
  bench.acceptClient(4, startup.substr(0, 20));
  bench.advance(350);
  bench.openClient(5);
  bench.describe("after the stop: the rest of the second statement, of the startup and of the TLS request");
  bench.advance(200);
  bench.sendFromClient(1, readQuery("bb").substr(30));
  bench.sendFromClient(2, startup.substr(8) + readQuery("cc"));
  bench.answer(1, rowAnswer("body"));
  bench.sendFromClient(3, tlsRequest.substr(4));
  bench.describe("a first statement, on a connection with a completed startup");
  bench.sendFromClient(5, readQuery("dd"));
  bench.answer(1, rowAnswer("body"));
  bench.describe("the startup behind the TLS request, and then a first statement in pieces");
  bench.advance(200);
  bench.sendFromClient(3, startup + readQuery("ee").substr(0, 9));
  bench.advance(1000);
  bench.sendFromClient(3, readQuery("ee").substr(9, 9));
  bench.advance(650);
  std::cout << "finished: " << bench.isFinished() << "\n";
}

// Guards against connections that the shutdown ends while a request lies in their socket: the router stood
// still after it had looked for events.
void shutdownWithUnreadBytes() {
  GatewayBench bench;
  bench.openClient(1, queryMessage(""));
  bench.openClient(2, queryMessage(""));
  bench.shutDown();
  bench.advance(499);
  bench.clientsWithUnreadBytes = {1, 2};
  bench.describe("the grace period ends");
  bench.advance(1);
  bench.describe("the request of the first is read");
  bench.clientsWithUnreadBytes = {2};
  bench.sendFromClient(1, readQuery("aa"));
  bench.connectNode(1);
  bench.answer(1, rowAnswer("body"));
  bench.describe("that of the second still isn't when all answers are due: its client can repeat it");
  bench.advance(2000);
  std::cout << "finished: " << bench.isFinished() << "\n";
}

// Guards against a process that never ends: empty queries wait for the first endpoint list, which never
// comes.
void shutdownBeforeFirstList() {
  GatewayBench bench({.hasEndpointList = false});
  bench.openClient(1, queryMessage("") + queryMessage(""));
  bench.advance(2000);
  bench.shutDown();
  bench.advance(450);
  bench.acceptClient(2, postgres::startup("worker", "catalog").substr(0, 8));
  bench.describe("the grace period ends");
  bench.advance(50);
  bench.describe("an empty query that comes later");
  bench.advance(100);
  bench.sendFromClient(2, postgres::startup("worker", "catalog").substr(8) + queryMessage(""));
  bench.advance(0);
  std::cout << "finished: " << bench.isFinished() << "\n";
}

}  // namespace gulltrestle::gateway_test
