// The router as a whole: shutdown, configuration, close reasons, trace lines.
#include "gateway/bench.h"
#include "gateway/cases.h"

namespace gulltrestle::gateway_test {

void shutdownSequence() {
  GatewayBench bench;
  bench.openClient(1, readQuery("aa"));
  bench.openClient(2);
  bench.connectNode(1);
  bench.say("told to end: served as before for half a second");
  bench.shutDown();
  bench.advance(100);
  bench.openClient(3, readQuery("bb"));
  bench.connectNode(2);
  bench.answer(2, rowAnswer("body"));
  bench.advance(399);
  bench.acceptClient(4, postgres::startup("worker", "catalog").substr(0, 9));
  bench.acceptClient(5, "");
  bench.advance(1);
  bench.say(
      "then idle clients are closed, the others once they are answered; two had just come, one of them asks");
  bench.sendFromClient(4, postgres::startup("worker", "catalog").substr(9) + readQuery("cc"));
  bench.answer(2, rowAnswer("body"));
  bench.advance(250);
  std::cout << "finished: " << bench.finished() << "\n";
  bench.answer(1, rowAnswer("body"));
  bench.advance(0);
  std::cout << "finished: " << bench.finished() << "\n";
}

void configReload() {
  GatewayBench bench;
  bench.say("the first, one that moves discovery, one that changes nothing, one that changes what waits");
  bench.loadConfig("10.0.0.1:8500");
  bench.loadConfig("10.0.0.2:8500");
  bench.loadConfig("10.0.0.2:8500");
  bench.loadConfig("10.0.0.2:8500", {"listen", "settings"});
  bench.say("one that can't be used: a txn meanwhile is served as ever");
  bench.rejectConfig("discovery: is missing");
  bench.openClient(1, readQuery("aa"));
  bench.connectNode(1);
  bench.answer(1, rowAnswer("body"));
}

void closeReasonOutcomes() {
  // In the order of AttemptOutcome.
  constexpr const char* kOutcomes[] = {"committed", "error",         "rejected",
                                       "no answer", "no connection", "connection lost",
                                       "cancelled", "not sent",      "not here"};
  for (int i = 0; i <= static_cast<int>(ConnectionCloseReason::shuttingDown); ++i) {
    const auto reason = static_cast<ConnectionCloseReason>(i);
    std::cout << nameOf(reason) << ": " << kOutcomes[static_cast<int>(outcomeOfUnwritten(reason))]
              << ", written whole: " << kOutcomes[static_cast<int>(outcomeOf(reason, true))] << "\n";
  }
}

// Each transaction can be followed from its arrival to its answer, and each close has its reason, once the
// trace is on.
void transactionTrace() {
  GatewayBench bench;
  bench.printTrace();
  bench.openClient(1, readQuery("a"));
  bench.connectNode(bench.lastConnection());
  bench.answer(bench.lastConnection(), rowAnswer("v"));
  bench.openClient(2, writeQuery("b"));
  bench.connectNode(bench.lastConnection());
  bench.closeConnection(bench.lastConnection(), ConnectionCloseReason::broken);
  bench.openClient(3, readQuery("c", "bounded"));
  bench.closeClientSide(3);
  bench.shutDown();
  bench.advance(1000);
}

}  // namespace gulltrestle::gateway_test
