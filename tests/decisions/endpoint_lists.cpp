// Decisions on endpoint lists, nodes that start or leave, and state that expires.
#include "decisions/cases.h"
#include "decisions/setup.h"

namespace gulltrestle::decisions_test {

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

}  // namespace gulltrestle::decisions_test
