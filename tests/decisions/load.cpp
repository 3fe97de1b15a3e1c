// Decisions on load: latencies, reported load, long reads, a stalled router.
#include "decisions/cases.h"
#include "decisions/setup.h"

namespace gulltrestle::decisions_test {

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

}  // namespace gulltrestle::decisions_test
