// Requests of proxies: how they are served, held and retried.
#include "ext_proc/bench.h"
#include "ext_proc/cases.h"

namespace gulltrestle::ext_proc_test {

void servesRequests() {
  ExtProcBench bench;
  bench.say("a read goes to a replica, its answer passes; bodies and trailers go on");
  bench.request(1, "r1", "any");
  bench.sendPhase(1, Phase::requestBody);
  bench.sendPhase(1, Phase::requestTrailers);
  bench.advance(5);
  bench.report(1, "committed", bench.loadReport("replica", 3));
  bench.sendPhase(1, Phase::responseBody);
  bench.sendPhase(1, Phase::responseTrailers);
  bench.say("a write goes to the primary; the session's read is held until a replica is known to have it");
  bench.request(2, "w1", "charge");
  bench.advance(5);
  bench.report(2, "committed", bench.loadReport("primary", 0));
  bench.request(3, "r2", "session", {{"x-txn-write-age-ms", "1"}});
  bench.advance(30);
  bench.say("another read brings the news that one has it");
  for (StreamKey stream = 10; stream < 13; ++stream) {
    bench.request(stream, "x" + std::to_string(stream), "any");
    bench.report(stream, "committed", bench.loadReport("replica", 0));
  }
  bench.report(3, "committed", bench.loadReport("replica", 0));
  bench.say("values in the old form; a header's name in any case; a proxy that only shows what passes");
  bench.request(4, "r3", "any", {{"X-Txn-Group", "1"}}, ValueForm::text);
  bench.openStream(5);
  bench.sendMessage(5, {Phase::requestHeaders, {{"x-txn-id", "r4"}}, true});
  bench.printCounts();
}

void heldRequests() {
  ExtProcSetup longer;
  longer.messageTimeout.maxExtension = ms(600);
  ExtProcBench bench(longer);
  bench.updateEndpoints({"p", "a", "b"}, Health::draining);
  bench.say("held: more time is asked for once, at half of the message timeout; then a node is there");
  bench.request(1, "r1", "any");
  bench.advance(150);
  bench.updateEndpoints({"a"});
  bench.report(1, "committed", bench.loadReport("replica", 0));
  bench.updateEndpoints({"a"}, Health::draining);
  bench.say("none comes: the answer is there before the proxy stops waiting");
  bench.request(2, "r2", "any");
  bench.advance(1000);
  bench.say("no more is asked for than its client waits, and nothing where that gains nothing");
  bench.request(3, "r3", "any", {{"x-txn-patience-ms", "300"}});
  bench.advance(300);
  bench.request(4, "r4", "any", {{"x-txn-patience-ms", "100"}});
  bench.advance(200);
  ExtProcBench other;
  other.updateEndpoints({"p", "a", "b"}, Health::draining);
  other.say("where it may not be asked for more");
  other.request(1, "r1", "charge");
  other.advance(250);
  other.say("the proxy's time is up while it is held: nothing is granted after the reset");
  other.request(2, "r2", "charge");
  other.advance(20);
  other.resetStream(2);
  other.updateEndpoints({"p", "a", "b"});
  other.advance(300);
  other.say("a reset that is read together with the question: nothing is granted at all");
  other.requestAndReset(3, "r3", "any");
  other.advance(300);
  other.printCounts();
}

void resetsCrossingDecisions() {
  ExtProcBench bench;
  bench.say(
      "the reset crosses the decision: granted, may have run; a later try of a once-only txn is rolled back");
  bench.request(1, "w1", "charge");
  bench.resetStream(1);
  bench.request(2, "w1", "charge", attemptHeaders(2));
  bench.say("a repeatable one goes on");
  bench.request(3, "r1", "any");
  bench.resetStream(3);
  bench.request(4, "r1", "any", attemptHeaders(2));
  bench.report(4, "committed", bench.loadReport("replica", 0));
  bench.say("the later try comes before the earlier one's reset: it waits for that");
  bench.request(5, "w2", "charge");
  bench.request(6, "w2", "charge", attemptHeaders(2));
  bench.advance(10);
  bench.resetStream(5);
  bench.advance(1);
  bench.say("or for its end, and then goes on as nothing ran");
  bench.request(7, "w3", "charge");
  bench.request(8, "w3", "charge", attemptHeaders(2));
  bench.advance(10);
  bench.report(7, "", {{"x-txn-written", "none"}}, "503");
  bench.advance(30);
  bench.report(8, "committed", bench.loadReport("primary", 0));
  bench.say(
      "neither comes: after a moment the earlier one may have run, and its late answer changes nothing");
  bench.request(9, "w4", "charge");
  bench.request(10, "w4", "charge", attemptHeaders(2));
  bench.advance(60);
  bench.report(9, "committed", bench.loadReport("primary", 0));
  bench.say("a try that waits, and a later one that takes its place");
  bench.advance(300);
  bench.updateEndpoints({"p"}, Health::draining);
  bench.request(11, "w5", "charge");
  bench.request(12, "w5", "charge", attemptHeaders(2, "none"));
  bench.updateEndpoints({"p"});
  bench.advance(10);
  bench.report(12, "committed", bench.loadReport("primary", 0));
  bench.printCounts();
}

namespace {

void retryOfRejectedAttempts(ExtProcBench& bench) {
  bench.say("rejected: refused, and the next try goes to another node");
  bench.request(1, "r1", "any");
  bench.report(1, "turned-away", bench.loadReport("replica", 0), "503");
  bench.request(2, "r1", "any", attemptHeaders(2, "none"));
  bench.report(2, "", {{"x-txn-written", "none"}}, "503");
  bench.request(3, "r1", "any", attemptHeaders(3, "none"));
  bench.report(3, "committed", bench.loadReport("replica", 0));
  bench.say("a once-only one that was never written goes on, one that was is rolled back, and stays it");
  bench.request(4, "w1", "charge");
  bench.report(4, "", {{"x-txn-written", "none"}}, "503");
  bench.advance(300);
  bench.request(5, "w1", "charge", attemptHeaders(2, "none"));
  bench.report(5, "", {{"x-txn-written", "whole"}}, "503");
  bench.request(6, "w1", "charge", attemptHeaders(3, "whole"));
}

void statusesWithoutNodeOutcome() {
  ExtProcBench bench;
  bench.say("a bare 503 of a node may have run; a 421 of a node never did");
  bench.request(7, "w2", "charge");
  bench.report(7, "", bench.loadReport("primary", 0), "503");
  bench.request(8, "w3", "charge");
  bench.report(8, "", bench.loadReport("replica", 0), "421");
}

void reusedIds(ExtProcBench& bench) {
  bench.say("ids: one that is open, one that is used again after its end");
  bench.request(9, "r2", "any");
  bench.request(10, "r2", "any");
  bench.request(11, "r2", "charge");
  bench.report(9, "committed", bench.loadReport("replica", 0));
  bench.request(12, "r2", "any");
  bench.report(12, "committed", bench.loadReport("replica", 0));
}

void expiredIds() {
  ExtProcBench bench;
  bench.request(13, "w4", "charge");
  bench.request(14, "w4", "charge");
  bench.report(13, "committed", bench.loadReport("primary", 0));
  bench.request(15, "w4", "charge");
  bench.say("after the expiry it is forgotten");
  bench.advance(2100);
  bench.onDiscoveryActivity();
  bench.request(16, "w4", "charge");
  bench.printCounts();
}

void proxyThatRequestsOnce() {
  ExtProcSetup once;
  once.placement = endpoint_leases::ProxyPlacement::perRequest;
  ExtProcBench bench(once);
  bench.say("asked once a request: what is refused after a grant is over");
  bench.request(1, "r1", "any");
  bench.report(1, "turned-away", bench.loadReport("replica", 0), "503");
  bench.request(2, "r1", "any", attemptHeaders(2, "none"));
  bench.printCounts();
}

}  // namespace

void retriesOfTransactions() {
  ExtProcBench bench;
  retryOfRejectedAttempts(bench);
  statusesWithoutNodeOutcome();
  reusedIds(bench);
  expiredIds();
  proxyThatRequestsOnce();
}

void retriesAfterRestart() {
  ExtProcBench before;
  before.say("before the restart");
  before.request(1, "w1", "charge");
  ExtProcSetup setup;
  setup.incarnation = "two";
  ExtProcBench bench(setup);
  bench.say("after it: the count or another start's grant tells that it may have run");
  bench.request(1, "w1", "charge", attemptHeaders(2, "", before.token(1)));
  bench.request(2, "w2", "charge", attemptHeaders(1, "", before.token(1)));
  bench.request(3, "w3", "charge", attemptHeaders(2, "whole"));
  bench.say("unless the proxy says that nothing was written");
  bench.request(4, "w4", "charge", attemptHeaders(2, "none", before.token(1)));
  bench.report(4, "committed", bench.loadReport("primary", 0));
  bench.say("what may run again goes on");
  bench.request(5, "r1", "any", attemptHeaders(2, "whole", before.token(1)));
  bench.say("told to end: what comes is not taken, what was taken is answered");
  bench.stop();
  bench.request(6, "r2", "any");
  bench.report(5, "committed", bench.loadReport("replica", 0));
  bench.printCounts();
}

}  // namespace gulltrestle::ext_proc_test
