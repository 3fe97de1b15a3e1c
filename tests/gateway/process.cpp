// Cases for the whole process: configuration, close reasons, trace lines.
#include "gateway/bench.h"
#include "gateway/cases.h"

namespace gulltrestle::gateway_test {

void configReload() {
  GatewayBench bench;
  bench.describe("the first, a changed discovery address, no change, changed keys that require a restart");
  bench.loadConfig("10.0.0.1:8500");
  bench.loadConfig("10.0.0.2:8500");
  bench.loadConfig("10.0.0.2:8500");
  bench.loadConfig("10.0.0.2:8500", {"listen", "settings"});
  bench.describe("an invalid configuration is rejected; a txn is served as before");
  bench.rejectConfig("discovery: is missing");
  bench.openClient(1, readQuery("aa"));
  bench.connectNode(1);
  bench.answer(1, rowAnswer("body"));
}

void closeReasonOutcomes() {
  // In the order of AttemptOutcome.
  constexpr const char* kOutcomes[] = {"committed", "error",         "rejected",
                                       "timeout",   "no connection", "connection lost",
                                       "cancelled", "not sent",      "wrong node"};
  for (int i = 0; i <= static_cast<int>(ConnectionCloseReason::shuttingDown); ++i) {
    const auto reason = static_cast<ConnectionCloseReason>(i);
    std::cout << nameOf(reason) << ": " << kOutcomes[static_cast<int>(outcomeOfUnwritten(reason))]
              << ", completely written: " << kOutcomes[static_cast<int>(outcomeOf(reason, true))] << "\n";
  }
}

// With the trace enabled, each transaction can be followed from its arrival to its answer, and each closed
// connection has a reason.
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
  bench.disconnectClient(3);
  bench.shutDown();
  bench.advance(1000);
}

}  // namespace gulltrestle::gateway_test
