// Decisions on attempts and their outcomes: retries by effect, hedges, errors, lost answers.
#include "decisions/cases.h"
#include "decisions/setup.h"

namespace gulltrestle::decisions_test {

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

// Guards against one client whose many requests have a timeout of their own: by it, the requests of all
// others looked like retries of clients that had long waited, and were rejected.
void timeoutsOfOneConnection() {
  RouterHarness harness(defaultConfig({kAny}));
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe(
      "eight connections send a read each 40 ms, with 1000 ms; one sends ten in that time, with 1900 ms");
  constexpr ConnectionId kBusyConnection = 100;
  constexpr int kReadsPerRound = 10;
  TxnId id = 0;
  const auto read = [&](std::int64_t at, ConnectionId connection, std::int64_t remainingTime) {
    Transaction transaction = harness.txn(++id, 0, remainingTime);
    transaction.connection = connection;
    harness.at(at, [&](Router& r) { r.onTransaction(transaction); });
    harness.at(at + 1, [&](Router& r) {
      if (harness.nodeOf(id) != "none") endAttempt(harness, r, id, AttemptOutcome::committed);
    });
  };
  for (int round = 0; round < 16; ++round) {
    const std::int64_t from = 100 + 40 * round;
    for (int i = 0; i < kReadsPerRound; ++i) read(from + 2 * i, kBusyConnection, 1900);
    read(from + 30, 1 + static_cast<ConnectionId>(round % 8), 1000);
  }
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

// Guards against transactions without an answer when the process is killed.
void shutdownOfProcess() {
  RouterHarness harness(defaultConfig({kAny, kWrite}));
  startGroup(harness);
  harness.hidesHealthChecks = true;
  harness.describe("in flight with 2 s left: a read and a write; answers are due 300 ms after the shutdown");
  harness.at(10, [&](Router& r) { r.onTransaction(harness.txn(1, 0)), r.onTransaction(harness.txn(2, 1)); });
  harness.at(20, [&](Router& r) { r.onShutdown(harness.instant(320)); });
  harness.describe("received later: one client waits longer than that, one does not, one comes too late");
  harness.at(30,
             [&](Router& r) { r.onTransaction(harness.txn(3, 1)), r.onTransaction(harness.txn(4, 1, 100)); });
  harness.run(35, 315);
  harness.at(321, [&](Router& r) { r.onTransaction(harness.txn(5, 1)); });
}

}  // namespace gulltrestle::decisions_test
