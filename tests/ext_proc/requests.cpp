// How requests of proxies are served, queued and retried.
#include "ext_proc/bench.h"
#include "ext_proc/cases.h"

namespace gulltrestle::ext_proc_test {

void servesRequests() {
  ExtProcHarness harness;
  harness.describe("a read is sent to a replica and its answer passes through; bodies and trailers continue");
  harness.request(1, "r1", "any");
  harness.sendPhase(1, Phase::requestBody);
  harness.sendPhase(1, Phase::requestTrailers);
  harness.advance(5);
  harness.report(1, "committed", harness.loadReport("replica", 3));
  harness.sendPhase(1, Phase::responseBody);
  harness.sendPhase(1, Phase::responseTrailers);
  harness.describe(
      "a write is sent to the primary; the session's read is queued until a replica has applied it");
  harness.request(2, "w1", "charge");
  harness.advance(5);
  harness.report(2, "committed", harness.loadReport("primary", 0));
  harness.request(3, "r2", "session", {{"x-txn-write-age-ms", "1"}});
  harness.advance(30);
  harness.describe("the load report of another read shows that a replica has applied it");
  for (StreamKey stream = 10; stream < 13; ++stream) {
    harness.request(stream, "x" + std::to_string(stream), "any");
    harness.report(stream, "committed", harness.loadReport("replica", 0));
  }
  harness.report(3, "committed", harness.loadReport("replica", 0));
  harness.describe("header values as text; header names in mixed case; a proxy in observability mode");
  harness.request(4, "r3", "any", {{"X-Txn-Group", "1"}}, ValueForm::text);
  harness.openStream(5);
  harness.sendMessage(5, {Phase::requestHeaders, {{"x-txn-id", "r4"}}, true});
  harness.printCounts();
}

void queuedRequests() {
  ExtProcSetup extensible;
  extensible.messageTimeout.maxExtension = ms(600);
  ExtProcHarness harness(extensible);
  harness.updateEndpoints({"p", "a", "b"}, Health::draining);
  harness.describe(
      "queued: one extension is requested, at half of the message timeout; then a node is available");
  harness.request(1, "r1", "any");
  harness.advance(150);
  harness.updateEndpoints({"a"});
  harness.report(1, "committed", harness.loadReport("replica", 0));
  harness.updateEndpoints({"a"}, Health::draining);
  harness.describe("no node becomes available: the answer is sent before the proxy stops waiting");
  harness.request(2, "r2", "any");
  harness.advance(1000);
  harness.describe("no extension beyond the client's deadline, and none if it gains no time");
  harness.request(3, "r3", "any", {{"x-txn-patience-ms", "300"}});
  harness.advance(300);
  harness.request(4, "r4", "any", {{"x-txn-patience-ms", "100"}});
  harness.advance(200);
  ExtProcHarness withoutExtension;
  withoutExtension.updateEndpoints({"p", "a", "b"}, Health::draining);
  withoutExtension.describe("a proxy that allows no extension");
  withoutExtension.request(1, "r1", "charge");
  withoutExtension.advance(250);
  withoutExtension.describe(
      "the proxy times out while the request is queued: no lease is granted after the reset");
  withoutExtension.request(2, "r2", "charge");
  withoutExtension.advance(20);
  withoutExtension.resetStream(2);
  withoutExtension.updateEndpoints({"p", "a", "b"});
  withoutExtension.advance(300);
  withoutExtension.describe("a reset that is read together with the request: no lease is granted");
  withoutExtension.requestAndReset(3, "r3", "any");
  withoutExtension.advance(300);
  withoutExtension.printCounts();
}

void resetsCrossingDecisions() {
  ExtProcHarness harness;
  harness.describe(
      "the reset crosses the granted lease, which may have run: an at-most-once retry is rolled back");
  harness.request(1, "w1", "charge");
  harness.resetStream(1);
  harness.request(2, "w1", "charge", attemptHeaders(2));
  harness.describe("a retry of an idempotent transaction continues");
  harness.request(3, "r1", "any");
  harness.resetStream(3);
  harness.request(4, "r1", "any", attemptHeaders(2));
  harness.report(4, "committed", harness.loadReport("replica", 0));
  harness.describe("the retry arrives before the reset of the earlier attempt, and waits for it");
  harness.request(5, "w2", "charge");
  harness.request(6, "w2", "charge", attemptHeaders(2));
  harness.advance(10);
  harness.resetStream(5);
  harness.advance(1);
  harness.describe("or it waits for the end of the earlier attempt, and continues as nothing has run");
  harness.request(7, "w3", "charge");
  harness.request(8, "w3", "charge", attemptHeaders(2));
  harness.advance(10);
  harness.report(7, "", {{"x-txn-written", "none"}}, "503");
  harness.advance(30);
  harness.report(8, "committed", harness.loadReport("primary", 0));
  harness.describe(
      "neither arrives in time: the earlier attempt may have run, and its late answer has no effect");
  harness.request(9, "w4", "charge");
  harness.request(10, "w4", "charge", attemptHeaders(2));
  harness.advance(60);
  harness.report(9, "committed", harness.loadReport("primary", 0));
  harness.describe("a waiting attempt that is superseded by a later one");
  harness.advance(300);
  harness.updateEndpoints({"p"}, Health::draining);
  harness.request(11, "w5", "charge");
  harness.request(12, "w5", "charge", attemptHeaders(2, "none"));
  harness.updateEndpoints({"p"});
  harness.advance(10);
  harness.report(12, "committed", harness.loadReport("primary", 0));
  harness.printCounts();
}

namespace {

void retryOfRejectedAttempts(ExtProcHarness& harness) {
  harness.describe(
      "rejected by the node: the transaction is rejected, and its retry is sent to another node");
  harness.request(1, "r1", "any");
  harness.report(1, "turned-away", harness.loadReport("replica", 0), "503");
  harness.request(2, "r1", "any", attemptHeaders(2, "none"));
  harness.report(2, "", {{"x-txn-written", "none"}}, "503");
  harness.request(3, "r1", "any", attemptHeaders(3, "none"));
  harness.report(3, "committed", harness.loadReport("replica", 0));
  harness.describe(
      "at most once: the retry continues if nothing was written, otherwise every retry is rolled back");
  harness.request(4, "w1", "charge");
  harness.report(4, "", {{"x-txn-written", "none"}}, "503");
  harness.advance(300);
  harness.request(5, "w1", "charge", attemptHeaders(2, "none"));
  harness.report(5, "", {{"x-txn-written", "whole"}}, "503");
  harness.request(6, "w1", "charge", attemptHeaders(3, "whole"));
}

void statusesWithoutNodeOutcome() {
  ExtProcHarness harness;
  harness.describe(
      "after a node's 503 without an outcome the attempt may have run; after a node's 421 it has not");
  harness.request(7, "w2", "charge");
  harness.report(7, "", harness.loadReport("primary", 0), "503");
  harness.request(8, "w3", "charge");
  harness.report(8, "", harness.loadReport("replica", 0), "421");
}

void reusedIds(ExtProcHarness& harness) {
  harness.describe("reused ids: of an open transaction, and of a finished one");
  harness.request(9, "r2", "any");
  harness.request(10, "r2", "any");
  harness.request(11, "r2", "charge");
  harness.report(9, "committed", harness.loadReport("replica", 0));
  harness.request(12, "r2", "any");
  harness.report(12, "committed", harness.loadReport("replica", 0));
}

void expiredIds() {
  ExtProcHarness harness;
  harness.request(13, "w4", "charge");
  harness.request(14, "w4", "charge");
  harness.report(13, "committed", harness.loadReport("primary", 0));
  harness.request(15, "w4", "charge");
  harness.describe("after the expiry the id is forgotten");
  harness.advance(2100);
  harness.onDiscoveryActivity();
  harness.request(16, "w4", "charge");
  harness.printCounts();
}

void proxyThatRequestsOnce() {
  ExtProcSetup setup;
  setup.placement = endpoint_leases::ProxyPlacement::perRequest;
  ExtProcHarness harness(setup);
  harness.describe("a proxy that requests one lease per request: a rejection after the lease is final");
  harness.request(1, "r1", "any");
  harness.report(1, "turned-away", harness.loadReport("replica", 0), "503");
  harness.request(2, "r1", "any", attemptHeaders(2, "none"));
  harness.printCounts();
}

}  // namespace

void retriesOfTransactions() {
  ExtProcHarness harness;
  retryOfRejectedAttempts(harness);
  statusesWithoutNodeOutcome();
  reusedIds(harness);
  expiredIds();
  proxyThatRequestsOnce();
}

void retriesAfterRestart() {
  ExtProcHarness beforeRestart;
  beforeRestart.describe("before the restart");
  beforeRestart.request(1, "w1", "charge");
  ExtProcSetup setup;
  setup.incarnation = "two";
  ExtProcHarness harness(setup);
  harness.describe(
      "after it: the attempt count or a token of another incarnation shows that it may have run");
  harness.request(1, "w1", "charge", attemptHeaders(2, "", beforeRestart.token(1)));
  harness.request(2, "w2", "charge", attemptHeaders(1, "", beforeRestart.token(1)));
  harness.request(3, "w3", "charge", attemptHeaders(2, "whole"));
  harness.describe("unless the proxy reports that nothing was written");
  harness.request(4, "w4", "charge", attemptHeaders(2, "none", beforeRestart.token(1)));
  harness.report(4, "committed", harness.loadReport("primary", 0));
  harness.describe("an idempotent transaction continues");
  harness.request(5, "r1", "any", attemptHeaders(2, "whole", beforeRestart.token(1)));
  harness.describe("graceful shutdown: new requests are rejected, accepted ones are answered");
  harness.stop();
  harness.request(6, "r2", "any");
  harness.report(5, "committed", harness.loadReport("replica", 0));
  harness.printCounts();
}

// Guards against requests without an answer when SIGKILL comes: proxies wait longer than the process may
// live.
void shutdownAnswersBeforeKill() {
  ExtProcSetup setup;
  setup.messageTimeout = {.timeout = ms(200), .maxExtension = ms(5000)};
  ExtProcHarness harness(setup);
  const wire::Headers inUnknownGroup{{"x-txn-patience-ms", "5000"}, {"x-txn-group", "2"}};
  harness.describe("before the shutdown: a request that no node can serve, and a stream without a request");
  harness.request(1, "w1", "charge", inUnknownGroup);
  harness.openStream(2);
  harness.describe("answers are due within 1 s; the request of the other stream comes");
  harness.shutDown(1000);
  harness.stop();
  harness.sendRequest(2, "w2", "charge", inUnknownGroup);
  harness.advance(1000);
  harness.printCounts();
}

// Guards against a retry that is rejected, and would be sent once more, although the earlier attempt may have
// run: it comes when all answers are due.
void retryAfterShutdownDeadline() {
  ExtProcHarness harness;
  harness.openStream(1);
  harness.openStream(2);
  harness.shutDown(40);
  harness.advance(50);
  harness.describe("a first attempt that nothing was written of, and one that may have run");
  harness.sendRequest(1, "w1", "charge", {});
  harness.sendRequest(2, "w2", "charge", attemptHeaders(2, "whole"));
  harness.printCounts();
}

// Guards against streams that are open when SIGKILL comes, and end without a status.
void shutdownClosesStreams() {
  ExtProcSetup setup;
  setup.messageTimeout = {.timeout = ms(200), .maxExtension = ms(5000)};
  ExtProcHarness harness(setup);
  const wire::Headers patient{{"x-txn-patience-ms", "5000"}};
  harness.describe("nothing requested; a lease without a report; a request that waits for its end; answered");
  harness.openStream(1);
  harness.request(2, "r2", "any", patient);
  harness.request(3, "w3", "charge", patient);
  harness.request(4, "w3", "charge", attemptHeaders(2));
  harness.request(5, "r5", "any");
  harness.report(5, "committed", harness.loadReport("replica", 0));
  harness.describe("all answers are due within 40 ms");
  harness.shutDown(40);
  harness.stop();
  harness.advance(39);
  harness.advance(1);
  harness.closeRemaining();
  harness.resetStream(2);
  harness.printCounts();
}

}  // namespace gulltrestle::ext_proc_test
