// Routing decisions: one small case for each rule, effect and protection. Run as `decisions CASE`: prints the
// trace of the case.
#include <map>

#include "trace.h"

using namespace gulltrestle;
using namespace gulltrestle::trace;

namespace {

const TransactionClass kAny = transactionClass(ReadLevel::any),
                       kBounded = transactionClass(ReadLevel::bounded),
                       kSession = transactionClass(ReadLevel::session),
                       kWrite = transactionClass(ReadLevel::write, Effect::atMostOnce),
                       kDeduplicatedWrite = transactionClass(ReadLevel::write, Effect::deduplicated);

// A group of three members with p as the primary, as listed in the restored endpoint list. Each member has
// sent one load report.
void startGroup(RouterHarness& harness, std::int64_t position = -50) {
  harness.at(0, [&](Router& r) {
    r.onEndpointList(EndpointUpdateKind::restored,
                     {harness.entry("p", true), harness.entry("a"), harness.entry("b")});
  });
  harness.at(5, [&](Router& r) {
    r.onHealthCheckEnded("p", AttemptOutcome::committed, harness.loadReport(Role::primary, 0));
    r.onHealthCheckEnded("a", AttemptOutcome::committed, harness.loadReport(Role::replica, position));
    r.onHealthCheckEnded("b", AttemptOutcome::committed, harness.loadReport(Role::replica, position));
  });
}

// Ends an attempt of the transaction at the node that the transaction was last sent to.
void endAttempt(RouterHarness& harness, Router& r, TxnId txn, AttemptOutcome outcome,
                Role role = Role::replica, unsigned attempt = 0) {
  r.onAttemptEnded(txn, attempt, harness.nodeOf(txn), outcome, outcome == AttemptOutcome::committed, ms(50),
                   {role, std::nullopt}, {});
}

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

void atMostOnceWrite() {
  RouterHarness harness(defaultConfig({kWrite}));
  startGroup(harness);
  harness.describe(
      "rejected without execution: retried after the pause of a node at capacity. Connection lost in flight: "
      "it may have run, so it is rolled back immediately");
  harness.at(10, [&](Router& r) { r.onTransaction(harness.txn(1)); });
  harness.at(20, [&](Router& r) { endAttempt(harness, r, 1, AttemptOutcome::rejected, Role::primary); });
  harness.run(25, 275);
  harness.at(280,
             [&](Router& r) { endAttempt(harness, r, 1, AttemptOutcome::connectionLost, Role::unknown, 1); });
  harness.describe("no answer by the deadline: rolled back, never rejected");
  harness.at(290, [&](Router& r) { r.onTransaction(harness.txn(2, 0, 100)); });
  harness.run(295, 390);
}

void idempotentRead() {
  RouterHarness harness(defaultConfig({kAny}));
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "connection lost in flight: retried at the other replica; the committed answer ends the transaction");
  harness.at(10, [&](Router& r) { r.onTransaction(harness.txn(1)); });
  harness.at(20, [&](Router& r) { endAttempt(harness, r, 1, AttemptOutcome::connectionLost); });
  harness.at(70, [&](Router& r) { endAttempt(harness, r, 1, AttemptOutcome::committed, Role::replica, 1); });
  harness.describe("deadline reached in flight: rejected in time, and the attempt is cancelled");
  harness.at(80, [&](Router& r) { r.onTransaction(harness.txn(2, 0, 100)); });
  harness.run(85, 180);
}

void deduplicatedWrite() {
  auto config = defaultConfig({kDeduplicatedWrite});
  config.transactionClasses[0].deduplicatesAcrossGroups = false;
  RouterHarness harness(config);
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "may have run: retried within its group during the deduplication window, then rolled back");
  harness.at(10, [&](Router& r) { r.onTransaction(harness.txn(1)); });
  harness.at(20, [&](Router& r) { endAttempt(harness, r, 1, AttemptOutcome::error, Role::primary); });
  harness.at(1015, [&](Router& r) { endAttempt(harness, r, 1, AttemptOutcome::error, Role::primary, 1); });
}

void draining() {
  RouterHarness harness(defaultConfig({kAny}));
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "a is draining and b is removed: nothing is sent to them; the queued read is sent when b is live "
      "again");
  harness.at(10, [&](Router& r) {
    r.onEndpointList(EndpointUpdateKind::delta, {harness.entry("a", false, Health::draining),
                                                 harness.entry("b", false, Health::removed)});
    r.onTransaction(harness.txn(1));
  });
  harness.run(15, 100);
  harness.at(105, [&](Router& r) { r.onEndpointList(EndpointUpdateKind::delta, {harness.entry("b")}); });
}

void slowStartNode() {
  RouterHarness harness(defaultConfig({kAny}));
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe("b has just restarted: of 40 reads, each answered immediately, it receives a small share");
  harness.at(10, [&](Router& r) {
    auto restarted = harness.entry("b");
    restarted.startedAt = harness.instant(9);
    r.onEndpointList(EndpointUpdateKind::delta, {restarted});
  });
  for (TxnId id = 1; id <= 40; ++id) {
    harness.at(static_cast<std::int64_t>(id) * 10 + 10, [&](Router& r) { r.onTransaction(harness.txn(id)); });
    harness.at(static_cast<std::int64_t>(id) * 10 + 15,
               [&](Router& r) { endAttempt(harness, r, id, AttemptOutcome::committed); });
  }
}

void newPrimary() {
  RouterHarness harness(defaultConfig({kWrite}));
  startGroup(harness);
  harness.describe(
      "p reports that it is a replica: the write is queued, the group is checked, and the write is sent to "
      "the new primary");
  harness.at(300, [&](Router& r) { r.onTransaction(harness.txn(1)); });
  harness.at(305, [&](Router& r) { endAttempt(harness, r, 1, AttemptOutcome::wrongNode); });
  harness.at(310, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, harness.loadReport(Role::replica, 200));
  });
  harness.at(320, [&](Router& r) {
    r.onHealthCheckEnded("b", AttemptOutcome::committed, harness.loadReport(Role::primary, 310));
  });
  harness.describe("an outdated report of p, from the time when it was primary, changes nothing");
  harness.at(330, [&](Router& r) {
    r.onHealthCheckEnded("p", AttemptOutcome::committed, harness.loadReport(Role::primary, 250));
    r.onTransaction(harness.txn(2));
  });
}

void slowPrimary() {
  auto config = defaultConfig({kWrite});
  config.maxOpenTransactions = 100;
  RouterHarness harness(config);
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "p takes 300 ms for a write, three at a time: of twenty more some are sent, the rest is rejected at "
      "half of the deadline");
  TxnId id = 0;
  for (std::int64_t now = 10; now < 1500; now += 300) {
    harness.at(now, [&](Router& r) { r.onTransaction(harness.txn(++id)); });
    harness.at(now + 290, [&](Router& r) {
      r.onAttemptEnded(id, 0, "p", AttemptOutcome::committed, true, ms(290), {Role::primary, std::nullopt},
                       {});
    });
  }
  harness.at(1600, [&](Router& r) {
    for (int i = 0; i < 20; ++i) r.onTransaction(harness.txn(++id));
  });
  harness.run(1605, 2650);
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

void stateExpiry() {
  auto config = defaultConfig({kAny, kSession, kWrite});
  config.sessionAgeProvided = false;
  RouterHarness harness(config);
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "a is removed from the list with a read in flight, b was removed before: a is deleted a minute after "
      "its last answer");
  harness.at(10, [&](Router& r) {
    r.onEndpointList(EndpointUpdateKind::delta, {harness.entry("b", false, Health::removed)});
  });
  harness.at(20, [&](Router& r) { r.onTransaction(harness.txn(1, 0)); });
  harness.at(30, [&](Router& r) {
    r.onEndpointList(EndpointUpdateKind::delta,
                     {harness.entry("a", false, Health::removed), harness.entry("c")});
  });
  harness.at(1000, [&](Router& r) { endAttempt(harness, r, 1, AttemptOutcome::committed); });
  for (const std::int64_t at : {60005, 60015, 60995, 61005})
    harness.at(at, [&](Router& r) { r.onEndpointList(EndpointUpdateKind::delta, {harness.entry("c")}); });
  harness.describe("a session's commit of a minute ago is required by the reads of all sessions");
  harness.at(61010, [&](Router& r) {
    r.onHealthCheckEnded("p", AttemptOutcome::committed, harness.loadReport(Role::primary, 61000));
    r.onHealthCheckEnded("c", AttemptOutcome::committed, harness.loadReport(Role::replica, 61000));
  });
  const auto commitWrite = [&](std::int64_t at, TxnId id, SessionId session) {
    Transaction txn = harness.txn(id, 2);
    txn.session = session;
    harness.at(at, [&](Router& r) { r.onTransaction(txn); });
    harness.at(at + 5, [&](Router& r) {
      r.onAttemptEnded(id, 0, "p", AttemptOutcome::committed, true, ms(5),
                       {Role::primary, harness.instant(at + 2)}, {});
    });
  };
  commitWrite(61020, 2, 7);
  commitWrite(121100, 3, 8);
  harness.at(121120, [&](Router& r) { r.onTransaction(harness.sessionRead(4, 1, 0, 99)); });
  harness.at(121125, [&](Router& r) {
    r.onHealthCheckEnded("c", AttemptOutcome::committed, harness.loadReport(Role::replica, 61050));
  });
  harness.describe("groups that are not listed leave no state behind and do not affect other groups");
  harness.at(121130, [&](Router& r) {
    for (TxnId id = 10; id < 13; ++id) {
      Transaction txn = harness.txn(id, 0);
      txn.group = id;
      r.onTransaction(txn);
    }
  });
  harness.run(121135, 122000);
}

void unansweredWrites() {
  for (const bool connectionPerAttempt : {false, true}) {
    auto config = defaultConfig({kWrite});
    config.connectionPerAttempt = connectionPerAttempt;
    RouterHarness harness(config);
    startGroup(harness);
    harness.hidesHealthChecks = true;
    harness.describe(connectionPerAttempt
                         ? "with a connection per attempt: the unanswered ones occupy no slots"
                         : "two writes are never answered, others are: two in-flight slots stay occupied");
    TxnId id = 2;
    harness.at(10, [&](Router& r) { r.onTransaction(harness.txn(1)), r.onTransaction(harness.txn(2)); });
    for (std::int64_t now = 20; now < 420; now += 100) {
      harness.at(now, [&](Router& r) { r.onTransaction(harness.txn(++id)); });
      harness.at(now + 50,
                 [&](Router& r) { endAttempt(harness, r, id, AttemptOutcome::committed, Role::primary); });
    }
    harness.at(500, [&](Router& r) {
      for (int i = 0; i < 4; ++i) r.onTransaction(harness.txn(++id));
    });
  }
}

// A primary that lost some connections has recovered, and only writes arrive: once a second across the two
// routers a write is sent to it as a trial, and all writes are sent to it again once one is committed.
void writeOnlyRecovery() {
  RouterHarness harness(defaultConfig({kWrite}));
  startGroup(harness);
  harness.hidesHealthChecks = true;
  for (TxnId id = 1; id <= 3; ++id) {
    harness.at(static_cast<std::int64_t>(id) * 10, [&](Router& r) { r.onTransaction(harness.txn(id)); });
    harness.at(static_cast<std::int64_t>(id) * 10 + 5,
               [&](Router& r) { endAttempt(harness, r, id, AttemptOutcome::connectionLost, Role::unknown); });
  }
  std::set<TxnId> ended;
  for (TxnId id = 4; id <= 20; ++id) {
    const auto now = static_cast<std::int64_t>(id - 3) * 300;
    harness.at(now, [&](Router& r) { r.onTransaction(harness.txn(id, 0, 290)); });
    for (auto t = now; t < now + 290; t += 5) {
      harness.at(t, [&](Router& r) {
        if (harness.nodeOf(id) == "none" || ended.contains(id)) return;
        ended.insert(id);
        endAttempt(harness, r, id, id < 11 ? AttemptOutcome::connectionLost : AttemptOutcome::committed,
                   id < 11 ? Role::unknown : Role::primary);
      });
    }
  }
}

// If health checks are not allowed and no endpoint list names the new primary, writes search for it; reads do
// not.
void noHealthChecks() {
  RoutingConfig config = defaultConfig({kWrite, transactionClass(ReadLevel::linearizable)});
  config.healthChecksAllowed = false;
  config.slowStartWindow = Duration();
  RouterHarness harness(config);
  startGroup(harness);
  harness.describe(
      "the primary is draining: a linearizable read is queued, each write is sent to one member to find the "
      "new primary");
  harness.at(100, [&](Router& r) {
    r.onEndpointList(EndpointUpdateKind::delta, {harness.entry("p", true, Health::draining)});
  });
  harness.at(110, [&](Router& r) { r.onTransaction(harness.txn(1, 1)); });
  harness.run(115, 130);
  harness.at(135, [&](Router& r) {
    r.onTransaction(harness.txn(2)), r.onTransaction(harness.txn(3)), r.onTransaction(harness.txn(4));
  });
  harness.run(140, 150);
  harness.describe("one write is rejected by a replica, another is committed by the new primary");
  harness.at(155, [&](Router& r) {
    for (const TxnId id : {2, 3, 4})
      if (harness.nodeOf(id) == "a") endAttempt(harness, r, id, AttemptOutcome::wrongNode, Role::replica);
  });
  harness.run(160, 170);
  harness.at(175, [&](Router& r) {
    for (const TxnId id : {2, 3, 4})
      if (harness.nodeOf(id) == "b") endAttempt(harness, r, id, AttemptOutcome::committed, Role::primary);
  });
  harness.run(180, 200);
  for (const unsigned maxAttempts : {4U, 1U}) {
    config.maxAttempts = maxAttempts;
    RouterHarness knownPrimaryHarness(config);
    startGroup(knownPrimaryHarness);
    knownPrimaryHarness.describe("the primary is known but unhealthy: with " + std::to_string(maxAttempts) +
                                 " attempts a write is sent elsewhere or waits");
    for (TxnId id = 1; id <= 3; ++id) {
      const auto at = static_cast<std::int64_t>(id) * 10;
      knownPrimaryHarness.at(at, [&](Router& r) { r.onTransaction(knownPrimaryHarness.txn(id)); });
      knownPrimaryHarness.at(at + 5, [&](Router& r) {
        endAttempt(knownPrimaryHarness, r, id, AttemptOutcome::connectionLost, Role::unknown);
      });
    }
    knownPrimaryHarness.at(200, [&](Router& r) { r.onTransaction(knownPrimaryHarness.txn(4)); });
    knownPrimaryHarness.run(205, 220);
  }
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

void shortLatencyTarget() {
  auto session = kSession;
  session.latencyTarget = ms(80);
  session.deadline = ms(400);
  RouterHarness harness(defaultConfig({session}));
  startGroup(harness);
  harness.describe("with a latency target of 80 ms the next two replicas are checked after 10 ms, not 25");
  harness.at(90, [&](Router& r) {
    r.onEndpointList(EndpointUpdateKind::delta, {harness.entry("c"), harness.entry("d")});
  });
  harness.at(100, [&](Router& r) { r.onTransaction(harness.sessionRead(1, 0, 10)); });
  harness.run(105, 110);
  harness.describe("a position ahead of the clock is ignored");
  harness.at(115, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, harness.loadReport(Role::replica, 10000000));
  });
  harness.at(120, [&](Router& r) {
    r.onHealthCheckEnded("b", AttemptOutcome::committed, harness.loadReport(Role::replica, 95));
  });
}

void clientConnectionLimit() {
  auto config = defaultConfig({kWrite, kAny});
  config.maxOpenTransactions = 8;
  RouterHarness harness(config);
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "clients have connections for eight transactions: p does not answer, six writes may stay open, reads "
      "are still served");
  for (TxnId id = 1; id <= 9; ++id)
    harness.at(static_cast<std::int64_t>(id) * 10, [&](Router& r) { r.onTransaction(harness.txn(id)); });
  harness.at(100, [&](Router& r) { r.onTransaction(harness.txn(10, 1)); });
}

void hungNode() {
  RouterHarness harness(defaultConfig({kWrite, kAny}));
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "p receives a write and does not answer: later writes are queued; unanswered reads may get a hedge");
  harness.at(10, [&](Router& r) { r.onTransaction(harness.txn(1, 0)), r.onTransaction(harness.txn(2, 1)); });
  harness.run(15, 490);
  harness.at(500, [&](Router& r) { r.onTransaction(harness.txn(3, 0)); });
  harness.run(505, 600);
  harness.describe("b reports that it is the new primary");
  harness.at(605, [&](Router& r) {
    r.onHealthCheckEnded("b", AttemptOutcome::committed, harness.loadReport(Role::primary, 600));
  });
}

void lateCancelledReads() {
  RouterHarness harness(defaultConfig({kAny}));
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "a answers only after the client has stopped waiting: once its reads were cancelled late it is no "
      "longer selected");
  for (TxnId id = 1; id <= 30; ++id) {
    const auto from = static_cast<std::int64_t>(id) * 405;
    harness.at(from, [&](Router& r) { r.onTransaction(harness.txn(id, 0, 400)); });
    if (harness.nodeOf(id) == "b") {
      harness.at(from + 50, [&](Router& r) { endAttempt(harness, r, id, AttemptOutcome::committed); });
    } else if (harness.nodeOf(id) == "a") {
      harness.run(from + 395, from + 395);
      harness.at(from + 400, [&](Router& r) { endAttempt(harness, r, id, AttemptOutcome::cancelled); });
    }
  }
}

void inferredClientRetries() {
  RouterHarness harness(defaultConfig({kAny}));
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "all first requests have a remaining time of 1 s; hence a request with 400 ms is estimated to have "
      "waited 1.6 s in earlier ones");
  for (TxnId id = 1; id <= 20; ++id) {
    const auto from = static_cast<std::int64_t>(id) * 100;
    harness.at(from, [&](Router& r) { r.onTransaction(harness.txn(id, 0, 1000)); });
    harness.at(from + 50, [&](Router& r) { endAttempt(harness, r, id, AttemptOutcome::committed); });
  }
  harness.at(2200, [&](Router& r) {
    r.onTransaction(harness.txn(21, 0, 400)), r.onTransaction(harness.txn(22, 0, 1000));
  });
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

void longReads() {
  auto longRead = transactionClass(ReadLevel::any);
  longRead.latencyTarget = ms(3000);
  RouterHarness harness(defaultConfig({longRead, kBounded, kBounded}));
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "long reads of level any are all sent to a, as by every router, so that b does not lag; bounded reads "
      "are sent to both");
  for (TxnId id = 1; id <= 24; ++id) {
    const auto from = static_cast<std::int64_t>(id) * 30;
    harness.at(from, [&](Router& r) { r.onTransaction(harness.txn(id, id % 2)); });
    harness.at(from + 10, [&](Router& r) {
      r.onAttemptEnded(id, 0, harness.nodeOf(id), AttemptOutcome::committed, true, ms(id % 2 ? 50 : 500),
                       {Role::replica, {}}, {});
    });
  }
  RouterHarness burstHarness(defaultConfig({longRead, kBounded}));
  startGroup(burstHarness);
  burstHarness.describe(
      "many at once: a receives no more than it can answer in a third of their latency target, b receives "
      "the others");
  burstHarness.at(30, [&](Router& r) {
    for (TxnId id = 1; id <= 12; ++id) r.onTransaction(burstHarness.txn(id));
  });
}

void reportedLoad() {
  auto config = defaultConfig({kAny});
  config.routerCount = 40;  // one of many
  RouterHarness harness(config);
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "answers take 50 ms; b reports 20 transactions in flight, a reports 2: all are sent to a while the "
      "reports are current");
  for (TxnId id = 1; id <= 8; ++id) {
    harness.at(static_cast<std::int64_t>(id) * 10, [&](Router& r) { r.onTransaction(harness.txn(id)); });
    harness.at(static_cast<std::int64_t>(id) * 10 + 5,
               [&](Router& r) { endAttempt(harness, r, id, AttemptOutcome::committed); });
  }
  harness.at(100, [&](Router& r) {
    for (const bool isBusy : {false, true}) {
      auto report = harness.loadReport(Role::replica, 99);
      report.inFlight = isBusy ? 20 : 2;
      r.onHealthCheckEnded(isBusy ? "b" : "a", AttemptOutcome::committed, report);
    }
  });
  for (TxnId id = 11; id <= 16; ++id) {
    harness.at(static_cast<std::int64_t>(id) * 10, [&](Router& r) { r.onTransaction(harness.txn(id)); });
    harness.at(static_cast<std::int64_t>(id) * 10 + 5,
               [&](Router& r) { endAttempt(harness, r, id, AttemptOutcome::committed); });
  }
  harness.describe("3 s later the reports are outdated, and b is selected again");
  for (TxnId id = 21; id <= 26; ++id)
    harness.at(static_cast<std::int64_t>(id) * 10 + 3000,
               [&](Router& r) { r.onTransaction(harness.txn(id)); });
}

void overloadedGroup() {
  auto config = defaultConfig({kAny});
  config.routerCount = 40;  // one of many
  RouterHarness harness(config);
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "a few answers of both replicas took half of the latency target: some of the next reads are rejected "
      "immediately");
  for (TxnId id = 1; id <= 6; ++id) {
    const auto from = static_cast<std::int64_t>(id) * 220;
    harness.at(from, [&](Router& r) { r.onTransaction(harness.txn(id)); });
    harness.at(from + 210, [&](Router& r) {
      r.onAttemptEnded(id, 0, harness.nodeOf(id), AttemptOutcome::committed, true, ms(210),
                       {Role::replica, {}}, {});
    });
  }
  for (TxnId id = 11; id <= 20; ++id) {
    const auto from = static_cast<std::int64_t>(id) * 10 + 1500;
    harness.at(from, [&](Router& r) { r.onTransaction(harness.txn(id)); });
    harness.at(from + 5, [&](Router& r) {
      endAttempt(harness, r, id, AttemptOutcome::cancelled), r.onClientDisconnected(id);
    });
  }
}

void machineKinds() {
  RouterHarness harness(defaultConfig({kAny}));
  harness.hidesHealthChecks = true;
  const auto entryOfKind = [&](const std::string& node, const std::string& kind) {
    auto entry = harness.entry(node);
    entry.kind = kind;
    return entry;
  };
  harness.at(0, [&](Router& r) {
    r.onEndpointList(EndpointUpdateKind::restored,
                     {harness.entry("p", true), entryOfKind("a", "old"), entryOfKind("b", "new"),
                      entryOfKind("c", "old"), entryOfKind("d", "new")});
  });
  harness.describe(
      "a takes three times as long as b; c and d are new, and d, of the machine kind of b, is selected more "
      "often than c");
  for (TxnId id = 1; id <= 24; ++id) {
    harness.at(static_cast<std::int64_t>(id) * 30, [&](Router& r) { r.onTransaction(harness.txn(id)); });
    harness.at(static_cast<std::int64_t>(id) * 30 + 10, [&](Router& r) {
      const NodeId node = harness.nodeOf(id);
      r.onAttemptEnded(id, 0, node,
                       node == "a" || node == "b" ? AttemptOutcome::committed : AttemptOutcome::cancelled,
                       false, ms(node == "a" ? 60 : 20), {Role::replica, {}}, {});
      r.onClientDisconnected(id);
    });
  }
}

void overloadedPrimary() {
  auto config = defaultConfig({kWrite, kSession});
  config.routerCount = 40;
  RouterHarness harness(config);
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "one of many routers, whose writes took half of their latency target: a session read is not sent to "
      "the primary");
  for (TxnId id = 1; id <= 3; ++id) {
    harness.at(static_cast<std::int64_t>(id) * 10, [&](Router& r) { r.onTransaction(harness.txn(id, 0)); });
    harness.at(static_cast<std::int64_t>(id) * 10 + 5, [&](Router& r) {
      r.onAttemptEnded(id, 0, "p", AttemptOutcome::committed, true, ms(200), {Role::primary, {}}, {});
    });
  }
  harness.at(100, [&](Router& r) { r.onTransaction(harness.sessionRead(4, 1, 20)); });
  harness.run(105, 300);
  harness.describe("until a replica has applied the required position");
  harness.at(305, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, harness.loadReport(Role::replica, 200));
  });
  harness.describe(
      "2 s later the latencies are outdated: the next read is sent to the primary after its hold");
  harness.at(2500, [&](Router& r) { r.onTransaction(harness.sessionRead(5, 1, 20, 8)); });
  harness.run(2505, 2700);
}

void unexpectedUpdates() {
  RouterHarness harness(defaultConfig({kAny, kSession}));
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe("a snapshot lists a twice, adds the unknown node c and omits b: b receives nothing new");
  harness.at(10, [&](Router& r) {
    r.onTransaction(harness.txn(1));
    r.onEndpointList(EndpointUpdateKind::snapshot,
                     {harness.entry("p", true), harness.entry("a"), harness.entry("a"), harness.entry("c")});
  });
  for (TxnId id = 2; id <= 4; ++id)
    harness.at(static_cast<std::int64_t>(id) * 10, [&](Router& r) { r.onTransaction(harness.txn(id)); });
  harness.describe(
      "an answer from b, which is no longer listed, is recorded; one from a node that was never listed is "
      "ignored");
  harness.at(60, [&](Router& r) {
    r.onAttemptEnded(1, 0, "b", AttemptOutcome::committed, true, ms(50), {Role::replica, {}}, {});
    r.onAttemptEnded(2, 0, "x", AttemptOutcome::committed, true, ms(50), {Role::replica, {}}, {});
    r.onHealthCheckEnded("x", AttemptOutcome::committed, harness.loadReport(Role::primary, 50));
  });
  harness.describe(
      "a's position of 300 ms still holds after a report of an earlier one: a read that requires 250 ms is "
      "sent immediately");
  harness.at(310, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, harness.loadReport(Role::replica, 300));
  });
  harness.at(350, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, harness.loadReport(Role::replica, 100));
  });
  harness.at(360, [&](Router& r) { r.onTransaction(harness.sessionRead(7, 1, 110)); });
}

void slowStartGroup() {
  auto config = defaultConfig({kAny, kWrite});
  config.routerCount = 40;
  RouterHarness harness(config);
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "the whole group has restarted: of 12 reads and 4 writes in 160 ms each node receives at most one");
  harness.at(10, [&](Router& r) {
    auto p = harness.entry("p", true), a = harness.entry("a"), c = harness.entry("b");
    p.startedAt = a.startedAt = c.startedAt = harness.instant(9);
    r.onEndpointList(EndpointUpdateKind::delta, {p, a, c});
  });
  harness.at(15, [&](Router& r) {
    r.onHealthCheckEnded("p", AttemptOutcome::committed, harness.loadReport(Role::primary, 14));
  });
  for (TxnId id = 1; id <= 16; ++id)
    harness.at(static_cast<std::int64_t>(id) * 10 + 10,
               [&](Router& r) { r.onTransaction(harness.txn(id, id % 4 == 0)); });
  harness.describe(
      "writes are queued while time remains; transactions that can't be served in time are rejected");
  harness.run(175, 600);
}

void routerStall() {
  RouterHarness harness(defaultConfig({kAny}));
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "the router stalls for 2 s: outcomes that it then receives were delayed by the router and count "
      "against no node");
  harness.at(10, [&](Router& r) {
    for (TxnId id = 1; id <= 4; ++id) r.onTransaction(harness.txn(id, 0, 5000));
  });
  harness.stall();
  harness.at(2010, [&](Router& r) {
    for (TxnId id = 1; id <= 4; ++id)
      r.onAttemptEnded(id, 0, harness.nodeOf(id),
                       id > 1 ? AttemptOutcome::timeout : AttemptOutcome::committed, id <= 1, ms(2000), {},
                       {});
  });
  harness.at(2015, [&](Router& r) { r.onTransaction(harness.txn(11)), r.onTransaction(harness.txn(12)); });
}

void outdatedLatencies() {
  RouterHarness harness(defaultConfig({kAny}));
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "five answers took 450 ms, longer than the latency target: new reads are rejected until these samples "
      "are outdated");
  for (TxnId id = 1; id <= 5; ++id) {
    harness.at(static_cast<std::int64_t>(id) * 10, [&](Router& r) { r.onTransaction(harness.txn(id)); });
    harness.at(static_cast<std::int64_t>(id) * 10 + 5, [&](Router& r) {
      r.onAttemptEnded(id, 0, harness.nodeOf(id), AttemptOutcome::committed, true, ms(450),
                       {Role::replica, {}}, {});
    });
  }
  harness.at(200, [&](Router& r) { r.onTransaction(harness.txn(20)); });
  harness.at(2500, [&](Router& r) { r.onTransaction(harness.txn(21)); });
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

void polledEndpointList() {
  auto config = defaultConfig({kAny, kSession, kWrite});
  config.endpointListIsPolled = true;
  config.sessionAgeProvided = false;
  RouterHarness harness(config);
  harness.describe(
      "the endpoint list is polled: followed from the start, and again a second after a failed call");
  startGroup(harness);
  harness.at(100, [&](Router& r) { r.onEndpointListFailed(); });
  harness.at(1000);
  harness.at(1100);
  harness.describe(
      "session commits are recorded by the router: after a write, the session's read waits until a replica "
      "has applied it");
  harness.at(1200, [&](Router& r) {
    auto write = harness.txn(1, 2);
    write.session = 9;
    r.onTransaction(write);
  });
  harness.at(1250, [&](Router& r) {
    r.onAttemptEnded(1, 0, "p", AttemptOutcome::committed, true, ms(50),
                     harness.loadReport(Role::primary, 1240), {});
    auto read = harness.txn(2, 1);
    read.session = 9;
    r.onTransaction(read);
    read.id = 3, read.session = 8;
    r.onTransaction(read);
  });
  harness.at(1300, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, harness.loadReport(Role::replica, 1239));
  });
  harness.at(1310, [&](Router& r) {
    r.onHealthCheckEnded("b", AttemptOutcome::committed, harness.loadReport(Role::replica, 1240));
  });
}

void hedge() {
  auto slow = kAny;
  slow.latencyTarget = ms(2000);
  RouterHarness harness(defaultConfig({slow}));
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "a read in flight for six times the usual latency gets one hedge at another replica; the losing "
      "attempt is cancelled");
  harness.at(10, [&](Router& r) { r.onTransaction(harness.txn(1, 0, 3000)); });
  harness.at(60, [&](Router& r) { endAttempt(harness, r, 1, AttemptOutcome::committed); });
  harness.at(70, [&](Router& r) { r.onTransaction(harness.txn(2, 0, 3000)); });
  harness.run(75, 500);
  harness.at(550, [&](Router& r) { endAttempt(harness, r, 2, AttemptOutcome::committed, Role::replica, 1); });
}

void errorAttribution() {
  RouterHarness harness(defaultConfig({kAny}));
  startGroup(harness);
  harness.hidesHealthChecks = true;
  TxnId id = 0;
  std::int64_t now = 0;
  // Runs one transaction, which fails at the named nodes.
  const auto runTransaction = [&](const std::string& failingNodes) {
    harness.at(now += 10, [&](Router& r) { r.onTransaction(harness.txn(++id)); });
    for (NodeId lastNode; harness.nodeOf(id) != lastNode;) {
      const unsigned attempt = lastNode.empty() ? 0 : 1;
      lastNode = harness.nodeOf(id);
      const bool fails = failingNodes.find(lastNode) != std::string::npos;
      harness.at(now += 10, [&](Router& r) {
        endAttempt(harness, r, id, fails ? AttemptOutcome::error : AttemptOutcome::committed, {}, attempt);
      });
    }
  };
  harness.describe(
      "every other transaction fails at every node: given up after the second node, soon after the first; no "
      "error is attributed to a node");
  while (id < 16) runTransaction(id % 2 ? "" : "a b");
  harness.describe(
      "then only a returns errors: its failed transactions are committed by b, and a is selected for trials "
      "only");
  while (id < 32) runTransaction("a");
}

// clang-format off
const std::map<std::string, void (*)()> kCases{
    {"ordinary-path", ordinaryPath}, {"stale-read", staleRead}, {"at-most-once-write", atMostOnceWrite}, {"unanswered-session-writes", unansweredSessionWrites}, {"session-write-at-other-router", sessionWriteAtOtherRouter},
    {"idempotent-read", idempotentRead}, {"deduplicated-write", deduplicatedWrite}, {"draining", draining}, {"slow-start-node", slowStartNode},
    {"new-primary", newPrimary}, {"hung-node", hungNode}, {"slow-primary", slowPrimary}, {"client-connection-limit", clientConnectionLimit}, {"primary-clock-behind", primaryClockBehind}, {"repeated-session-reads", repeatedSessionReads}, {"state-expiry", stateExpiry}, {"unanswered-writes", unansweredWrites}, {"write-only-recovery", writeOnlyRecovery}, {"short-latency-target", shortLatencyTarget}, {"replica-log-loss", replicaLogLoss}, {"no-health-checks", noHealthChecks}, {"late-cancelled-reads", lateCancelledReads},
    {"inferred-client-retries", inferredClientRetries}, {"outdated-positions", outdatedPositions}, {"long-reads", longReads}, {"session-read-retry", sessionReadRetry},
    {"polled-endpoint-list", polledEndpointList}, {"hedge", hedge}, {"router-stall", routerStall},
    {"outdated-latencies", outdatedLatencies}, {"error-attribution", errorAttribution}, {"reported-load", reportedLoad},
    {"lagging-replica", laggingReplica}, {"unexpected-updates", unexpectedUpdates}, {"slow-start-group", slowStartGroup},
    {"overloaded-primary", overloadedPrimary}, {"overloaded-group", overloadedGroup}, {"machine-kinds", machineKinds},
};
// clang-format on

}  // namespace

int main(int argc, char** argv) {
  const auto found = argc == 2 ? kCases.find(argv[1]) : kCases.end();
  if (found == kCases.end()) return std::cerr << "usage: decisions CASE\n", 2;
  found->second();
}
