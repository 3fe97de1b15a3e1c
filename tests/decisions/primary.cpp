// Decisions on the primary of a group: how it is found, and how its capacity is shared.
#include "decisions/cases.h"
#include "decisions/setup.h"

namespace gulltrestle::decisions_test {

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

// Guards against reads at a node that has shown by the rejection of a write that it is a replica, where
// answers carry no roles.
void writeRejectedWithoutRole() {
  RouterHarness harness(defaultConfig({kWrite, transactionClass(ReadLevel::linearizable), kSession}));
  startGroup(harness);
  harness.describe(
      "p rejects a write, without a role: the read that was sent there is withdrawn, others are queued, and "
      "the group is checked");
  harness.at(300, [&](Router& r) {
    r.onTransaction(harness.txn(1, 1));
    r.onTransaction(harness.txn(2));
  });
  harness.at(305, [&](Router& r) {
    endAttempt(harness, r, 2, AttemptOutcome::wrongNode, Role::unknown);
    r.onTransaction(harness.txn(3, 1));
  });
  harness.at(310, [&](Router& r) {
    r.onAttemptEnded(1, 0, "p", AttemptOutcome::notSent, false, ms(10), {}, {});
    r.onTransaction(harness.sessionRead(4, 2, 10));
  });
  harness.run(315, 500);
  harness.describe("b reports that it is the primary");
  harness.at(505, [&](Router& r) {
    r.onHealthCheckEnded("b", AttemptOutcome::committed, harness.loadReport(Role::primary, 500));
  });
  harness.at(510, [&](Router& r) {
    for (const TxnId read : {1, 3})
      r.onAttemptEnded(read, read == 1 ? 1 : 0, harness.nodeOf(read), AttemptOutcome::committed, true, ms(5),
                       {}, {});
  });
  harness.describe(
      "p commits a write that was sent before the rejection: no primary for reads yet; then one that was "
      "sent "
      "later: it is");
  RouterHarness again(defaultConfig({kWrite, transactionClass(ReadLevel::linearizable)}));
  startGroup(again);
  again.hidesHealthChecks = true;
  again.at(300, [&](Router& r) {
    r.onTransaction(again.txn(1));
    r.onTransaction(again.txn(2));
  });
  again.at(305, [&](Router& r) { endAttempt(again, r, 1, AttemptOutcome::wrongNode, Role::unknown); });
  again.at(310, [&](Router& r) { r.onTransaction(again.txn(3, 1)); });
  again.at(315, [&](Router& r) { endAttempt(again, r, 2, AttemptOutcome::committed, Role::unknown); });
  again.at(320, [&](Router& r) { endAttempt(again, r, 1, AttemptOutcome::committed, Role::unknown, 1); });
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

}  // namespace gulltrestle::decisions_test
