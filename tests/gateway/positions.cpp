// Cases for positions that nodes and clients name by another clock than that of the router.
#include "gateway/bench.h"
#include "gateway/cases.h"

namespace gulltrestle::gateway_test {

// Guards against reads that miss the session's own write after a step of the wall clock: the position that
// the client named was limited to the router's time, which replicas behind that write had seemingly reached.
void sessionReadAfterClockStep() {
  for (const std::int64_t stepMillis : {0, 50, 350, 700, 900, 1'500, 3'600'000}) {
    GatewayBench bench;
    bench.describe("the clock of the positions is " + std::to_string(stepMillis) +
                   " ms ahead: a read must see a commit that is 150 ms old, the replica is 400 ms behind");
    const std::int64_t now = bench.unixMillis() + stepMillis;
    bench.openClient(1, readQuery("first", "any"));
    bench.connectNode(1);
    bench.answer(1, rowAnswer("v"));
    bench.openClient(2, readQuery("own", "session", ",after=" + std::to_string(now - 150)));
    bench.answer(1, healthReport(now - 400, false));
    bench.describe("the replica has applied it");
    bench.advance(125);
    bench.answer(1, healthReport(now - 149, false));
    bench.answer(1, rowAnswer("own"));
  }
}

}  // namespace gulltrestle::gateway_test
