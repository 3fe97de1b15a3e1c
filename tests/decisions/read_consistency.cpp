// Decisions on data that reads may be answered from: positions, commits of sessions, staleness bounds.
#include "decisions/cases.h"
#include "decisions/setup.h"

namespace gulltrestle::decisions_test {

void ordinaryPath() {
  RouterHarness harness(defaultConfig({kAny, kBounded, kSession, kWrite}));
  startGroup(harness);
  harness.describe(
      "reads of the levels any and bounded are sent to random replicas, the write to the primary");
  harness.at(10, [&](Router& r) {
    r.onTransaction(harness.txn(1, 0)), r.onTransaction(harness.txn(2, 1)),
        r.onTransaction(harness.txn(3, 3));
  });
  harness.at(60, [&](Router& r) {
    endAttempt(harness, r, 1, AttemptOutcome::committed),
        endAttempt(harness, r, 2, AttemptOutcome::committed);
  });
  harness.describe("a session read whose last write both replicas have applied is sent to a replica");
  harness.at(100, [&](Router& r) { r.onTransaction(harness.sessionRead(4, 2, 200)); });
  harness.describe(
      "one that requires a newer write is queued while replicas are checked, until one has applied it");
  harness.at(110, [&](Router& r) { r.onTransaction(harness.sessionRead(5, 2, 20)); });
  harness.at(130, [&](Router& r) {
    r.onHealthCheckEnded("b", AttemptOutcome::committed, harness.loadReport(Role::replica, 100));
  });
  harness.describe(
      "no replica applies it: queued for a third of the latency target, then sent to the primary");
  harness.at(200, [&](Router& r) { r.onTransaction(harness.sessionRead(6, 2, 20)); });
  harness.run(205, 410);
}

void staleRead() {
  RouterHarness harness(defaultConfig({kBounded, kSession}));
  harness.describe(
      "after a restart with only the restored endpoint list no position is known: reads wait for a health "
      "check");
  harness.at(0, [&](Router& r) {
    r.onEndpointList(EndpointUpdateKind::restored,
                     {harness.entry("p", true), harness.entry("a"), harness.entry("b")});
    r.onTransaction(harness.txn(1, 0)), r.onTransaction(harness.sessionRead(2, 1, 300)),
        r.onTransaction(harness.sessionRead(3, 1, 0));
  });
  harness.describe(
      "a is at the limit of the staleness bound, without a round in reserve; b is well within the bound");
  harness.at(5, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, harness.loadReport(Role::replica, -994));
  });
  harness.at(10, [&](Router& r) {
    r.onHealthCheckEnded("b", AttemptOutcome::committed, harness.loadReport(Role::replica, -100));
  });
}

// A session writes at this router and, a few ms later, at another one: the age in its reads covers the later
// write, the commit recorded by this router does not.
void sessionWriteAtOtherRouter() {
  RouterHarness harness(defaultConfig({kSession, kWrite}));
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "this router's write is committed at 20, the session's last one at 23; a has applied all up to 21, b "
      "reports more at 45");
  harness.at(10, [&](Router& r) {
    auto write = harness.txn(1, 1);
    write.session = 9;
    r.onTransaction(write);
  });
  harness.at(25, [&](Router& r) {
    r.onAttemptEnded(1, 0, "p", AttemptOutcome::committed, true, ms(10), {Role::primary, harness.instant(20)},
                     {});
    r.onHealthCheckEnded("a", AttemptOutcome::committed, harness.loadReport(Role::replica, 21));
  });
  harness.at(30, [&](Router& r) { r.onTransaction(harness.sessionRead(2, 0, 7)); });
  harness.at(45, [&](Router& r) {
    r.onHealthCheckEnded("b", AttemptOutcome::committed, harness.loadReport(Role::replica, 40));
  });
  harness.describe("by the age, this router's write is the session's last one: a may answer");
  harness.at(50, [&](Router& r) { r.onTransaction(harness.sessionRead(3, 0, 30)); });
}

// If reads carry no age, the router records a session's writes, whether or not their answers arrive.
void unansweredSessionWrites() {
  auto config = defaultConfig({kSession, kWrite});
  config.sessionAgeProvided = false;
  for (const std::string writeState : {"the client has left", "it is still in flight",
                                       "the connection is lost", "it was not written to the node"}) {
    RouterHarness harness(config);
    startGroup(harness);
    harness.hidesHealthChecks = true;
    harness.describe("a write is sent at 10, and " + writeState +
                     "; both replicas have applied all up to 30 when the session reads, at 40");
    harness.at(10, [&](Router& r) {
      auto write = harness.txn(1, 1);
      write.session = 9;
      r.onTransaction(write);
    });
    harness.at(25, [&](Router& r) {
      r.onHealthCheckEnded("a", AttemptOutcome::committed, harness.loadReport(Role::replica, 30));
      r.onHealthCheckEnded("b", AttemptOutcome::committed, harness.loadReport(Role::replica, 30));
    });
    const bool clientLeft = writeState == "the client has left",
               notSent = writeState == "it was not written to the node";
    if (clientLeft || notSent) harness.at(30, [&](Router& r) { r.onClientDisconnected(1); });
    if (writeState != "it is still in flight")
      harness.at(35, [&](Router& r) {
        r.onAttemptEnded(1, 0, "p",
                         clientLeft ? AttemptOutcome::committed
                         : notSent  ? AttemptOutcome::notSent
                                    : AttemptOutcome::connectionLost,
                         clientLeft, ms(20),
                         {Role::primary, clientLeft ? std::optional(harness.instant(33)) : std::nullopt}, {});
      });
    harness.at(40, [&](Router& r) {
      auto read = harness.txn(2);
      read.session = 9;
      r.onTransaction(read);
    });
    harness.at(60, [&](Router& r) {
      r.onHealthCheckEnded("b", AttemptOutcome::committed, harness.loadReport(Role::replica, 50));
    });
  }
}

void repeatedSessionReads() {
  auto config = defaultConfig({kAny, kSession, kWrite});
  config.sessionAgeProvided = false;
  RouterHarness harness(config);
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "no available node has applied a session's write; the session sends five reads per second");
  harness.at(5, [&](Router& r) {
    r.onEndpointList(EndpointUpdateKind::delta,
                     {harness.entry("p", true, Health::draining), harness.entry("a"), harness.entry("b")});
  });
  Transaction write = harness.txn(1, 2);
  write.session = 7;
  harness.at(10, [&](Router& r) { r.onTransaction(write); });
  TxnId id = 10;
  for (std::int64_t at = 20; at < 4000; at += 200)
    harness.at(at, [&](Router& r) {
      Transaction read = harness.sessionRead(++id, 1, 0, 7);
      read.remainingTime = ms(400);
      r.onTransaction(read);
    });
  harness.describe("a replica has applied the write from 4 s on: reads are served");
  harness.at(4000, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, harness.loadReport(Role::replica, 3990));
  });
  for (std::int64_t at = 4010; at < 4900; at += 200)
    harness.at(at, [&](Router& r) {
      Transaction read = harness.sessionRead(++id, 1, 500, 7);
      read.remainingTime = ms(400);
      r.onTransaction(read);
    });
}

void primaryClockBehind() {
  auto config = defaultConfig({kAny, kSession, kWrite});
  config.sessionAgeProvided = false;
  RouterHarness harness(config);
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe("the first write of a session is committed by a node whose clock is 100 s behind");
  Transaction write = harness.txn(1, 2);
  write.session = 7;
  harness.at(10, [&](Router& r) { r.onTransaction(write); });
  harness.at(15, [&](Router& r) {
    r.onAttemptEnded(1, 0, "p", AttemptOutcome::committed, true, ms(5),
                     {Role::primary, harness.instant(-100'000)}, {});
  });
  harness.describe("the session's read requires no more than one of a session without writes");
  harness.at(20, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, harness.loadReport(Role::replica, -90'000));
  });
  harness.at(25, [&](Router& r) { r.onTransaction(harness.sessionRead(2, 1, 0, 7)); });
}

// A replica that may have been down may have lost the end of its log.
void replicaLogLoss() {
  RoutingConfig config = defaultConfig({kSession});
  config.slowStartWindow = Duration();
  RouterHarness harness(config);
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "both replicas have applied all up to 90: a session read that requires 50 is sent immediately");
  harness.at(95, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, harness.loadReport(Role::replica, 90));
    r.onHealthCheckEnded("b", AttemptOutcome::committed, harness.loadReport(Role::replica, 90));
  });
  harness.at(100, [&](Router& r) { r.onTransaction(harness.sessionRead(1, 0, 50)); });
  harness.describe(
      "the connections to both are closed: the next read is queued until a replica reports the required "
      "position again");
  harness.at(110, [&](Router& r) {
    r.onNodeDisconnected("a");
    r.onNodeDisconnected("b");
    r.onTransaction(harness.sessionRead(2, 0, 60));
  });
  harness.run(115, 130);
  harness.at(140, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, harness.loadReport(Role::replica, 30));
  });
  harness.run(145, 150);
  harness.at(160, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, harness.loadReport(Role::replica, 155));
  });
  harness.describe("the endpoint list shows a restart of the replica: the next read is queued, too");
  harness.at(170, [&](Router& r) {
    auto entry = harness.entry("a");
    entry.startedAt = harness.instant(165);
    r.onEndpointList(EndpointUpdateKind::delta, {entry});
    r.onTransaction(harness.sessionRead(3, 0, 100));
  });
  harness.run(175, 180);
}

void outdatedPositions() {
  auto config = defaultConfig({kSession, kWrite});
  config.nodesRejectStaleReads = true;
  RouterHarness harness(config);
  startGroup(harness, -5000);
  harness.hidesHealthChecks = true;
  harness.describe(
      "positions are outdated and the primary is at capacity, but nodes reject stale reads: after its hold "
      "the read is sent to a replica");
  harness.at(10, [&](Router& r) {
    for (TxnId id = 1; id <= 3; ++id) r.onTransaction(harness.txn(id, 1));
    r.onTransaction(harness.sessionRead(4, 0, 100));
  });
  harness.run(15, 215);
  harness.describe(
      "the answer contains the replica's position: the next read that requires no later one is sent "
      "immediately");
  harness.at(250, [&](Router& r) {
    endAttempt(harness, r, 4, AttemptOutcome::committed), r.onTransaction(harness.sessionRead(5, 0, 345));
  });
  harness.describe("a rejected read is retried at another replica");
  harness.at(260, [&](Router& r) { r.onTransaction(harness.sessionRead(6, 0, 10)); });
  harness.run(265, 465);
  harness.at(480, [&](Router& r) { endAttempt(harness, r, 6, AttemptOutcome::wrongNode); });
  harness.describe("the replica that rejected it receives no such reads for half a second");
  harness.at(490, [&](Router& r) {
    for (TxnId id = 7; id <= 8; ++id) r.onTransaction(harness.sessionRead(id, 0, 10));
  });
  harness.run(495, 700);
}

void laggingReplica() {
  RouterHarness harness(defaultConfig({kAny, kBounded}));
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "few routers; b reports a lag of 0.6 s, close to the staleness bound of 1 s: it receives half as many "
      "transactions as a");
  harness.at(600, [&](Router& r) {
    r.onHealthCheckEnded("b", AttemptOutcome::committed, harness.loadReport(Role::replica, 0));
    for (TxnId id = 1; id <= 8; ++id) r.onTransaction(harness.txn(id, 0));
  });
}

void sessionReadRetry() {
  RouterHarness harness(defaultConfig({kSession}));
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "no member has applied what session 9 wrote: the read is rejected at its latency target, its retry "
      "immediately");
  harness.at(10, [&](Router& r) {
    r.onEndpointList(EndpointUpdateKind::delta, {harness.entry("p", false, Health::draining)});
    r.onTransaction(harness.sessionRead(1, 0, 20, 9));
  });
  harness.run(15, 445);
  harness.at(450, [&](Router& r) {
    r.onTransaction(harness.sessionRead(2, 0, 460, 9)), r.onTransaction(harness.sessionRead(3, 0, 460, 8));
  });
  harness.run(455, 500);
}

}  // namespace gulltrestle::decisions_test
