// One small case a rule, an effect kind and a guard. Run as `decisions CASE`: prints the case's trace.
#include <map>

#include "trace.h"

using namespace gulltrestle;
using namespace gulltrestle::trace;

namespace {

const TransactionClass kAny = transactionClass(ReadLevel::any),
                       kBounded = transactionClass(ReadLevel::bounded),
                       kSession = transactionClass(ReadLevel::session),
                       kWrite = transactionClass(ReadLevel::write, Effect::atMostOnce),
                       kReferencedWrite = transactionClass(ReadLevel::write, Effect::deduplicated);

// Three members, p the primary; the disk list says so and each has reported once.
void start(RouterHarness& b, std::int64_t position = -50) {
  b.at(0, [&](Router& r) {
    r.onEndpointList(EndpointUpdateKind::restored, {b.entry("p", true), b.entry("a"), b.entry("b")});
  });
  b.at(5, [&](Router& r) {
    r.onHealthCheckEnded("p", AttemptOutcome::committed, b.loadReport(Role::primary, 0));
    r.onHealthCheckEnded("a", AttemptOutcome::committed, b.loadReport(Role::replica, position));
    r.onHealthCheckEnded("b", AttemptOutcome::committed, b.loadReport(Role::replica, position));
  });
}

// The txn's attempt ends where it was sent.
void end(RouterHarness& b, Router& r, TxnId txn, AttemptOutcome how, Role role = Role::replica,
         unsigned number = 0) {
  r.onAttemptEnded(txn, number, b.nodeOf(txn), how, how == AttemptOutcome::committed, ms(50),
                   {role, std::nullopt}, {});
}

void ordinaryPath() {
  RouterHarness b(defaultConfig({kAny, kBounded, kSession, kWrite}));
  start(b);
  b.describe("an any read and a bounded read are drawn among the replicas; the write goes to the primary");
  b.at(10, [&](Router& r) {
    r.onTransaction(b.txn(1, 0)), r.onTransaction(b.txn(2, 1)), r.onTransaction(b.txn(3, 3));
  });
  b.at(60,
       [&](Router& r) { end(b, r, 1, AttemptOutcome::committed), end(b, r, 2, AttemptOutcome::committed); });
  b.describe("a session read whose write is older than what both replicas have applied goes to a replica");
  b.at(100, [&](Router& r) { r.onTransaction(b.sessionRead(4, 2, 200)); });
  b.describe("one that is owed a newer write is held while the group is probed, until a replica has it");
  b.at(110, [&](Router& r) { r.onTransaction(b.sessionRead(5, 2, 20)); });
  b.at(130, [&](Router& r) {
    r.onHealthCheckEnded("b", AttemptOutcome::committed, b.loadReport(Role::replica, 100));
  });
  b.describe("none ever has it: held for a third of the latency target, then the primary");
  b.at(200, [&](Router& r) { r.onTransaction(b.sessionRead(6, 2, 20)); });
  b.run(205, 410);
}

void staleRead() {
  RouterHarness b(defaultConfig({kBounded, kSession}));
  b.describe("after a restart with the disk list alone no position is known: reads wait for a probe");
  b.at(0, [&](Router& r) {
    r.onEndpointList(EndpointUpdateKind::restored, {b.entry("p", true), b.entry("a"), b.entry("b")});
    r.onTransaction(b.txn(1, 0)), r.onTransaction(b.sessionRead(2, 1, 300)),
        r.onTransaction(b.sessionRead(3, 1, 0));
  });
  b.describe("a is at the very edge of the bound, with no round in hand; b is well within");
  b.at(5, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, b.loadReport(Role::replica, -994));
  });
  b.at(10, [&](Router& r) {
    r.onHealthCheckEnded("b", AttemptOutcome::committed, b.loadReport(Role::replica, -100));
  });
}

// A session wrote here and, a few ms later, at another router: the age says so, the own write does not.
void otherWrite() {
  RouterHarness b(defaultConfig({kSession, kWrite}));
  start(b);
  b.hidesHealthChecks = true;
  b.describe(
      "our write was committed at 20, the session's last one at 23; a has all up to 21, b more once it is "
      "45");
  b.at(10, [&](Router& r) {
    auto write = b.txn(1, 1);
    write.session = 9;
    r.onTransaction(write);
  });
  b.at(25, [&](Router& r) {
    r.onAttemptEnded(1, 0, "p", AttemptOutcome::committed, true, ms(10), {Role::primary, b.instant(20)}, {});
    r.onHealthCheckEnded("a", AttemptOutcome::committed, b.loadReport(Role::replica, 21));
  });
  b.at(30, [&](Router& r) { r.onTransaction(b.sessionRead(2, 0, 7)); });
  b.at(45, [&](Router& r) {
    r.onHealthCheckEnded("b", AttemptOutcome::committed, b.loadReport(Role::replica, 40));
  });
  b.describe("the age says that ours was the last: a may answer");
  b.at(50, [&](Router& r) { r.onTransaction(b.sessionRead(3, 0, 30)); });
}

// Where reads carry no age a session's writes are remembered here, whatever became of their answer.
void lostAnswers() {
  auto terms = defaultConfig({kSession, kWrite});
  terms.sessionAgeProvided = false;
  for (const std::string what :
       {"its client has left", "it is out", "its connection is lost", "it was never sent"}) {
    RouterHarness b(terms);
    start(b);
    b.hidesHealthChecks = true;
    b.describe("a write at 10, and " + what +
               "; the replicas have all up to 30 once the session reads, at 40");
    b.at(10, [&](Router& r) {
      auto write = b.txn(1, 1);
      write.session = 9;
      r.onTransaction(write);
    });
    b.at(25, [&](Router& r) {
      r.onHealthCheckEnded("a", AttemptOutcome::committed, b.loadReport(Role::replica, 30));
      r.onHealthCheckEnded("b", AttemptOutcome::committed, b.loadReport(Role::replica, 30));
    });
    const bool left = what == "its client has left", unsent = what == "it was never sent";
    if (left || unsent) b.at(30, [&](Router& r) { r.onClientLeft(1); });
    if (what != "it is out")
      b.at(35, [&](Router& r) {
        r.onAttemptEnded(1, 0, "p",
                         left     ? AttemptOutcome::committed
                         : unsent ? AttemptOutcome::notSent
                                  : AttemptOutcome::connectionLost,
                         left, ms(20), {Role::primary, left ? std::optional(b.instant(33)) : std::nullopt},
                         {});
      });
    b.at(40, [&](Router& r) {
      auto read = b.txn(2);
      read.session = 9;
      r.onTransaction(read);
    });
    b.at(60, [&](Router& r) {
      r.onHealthCheckEnded("b", AttemptOutcome::committed, b.loadReport(Role::replica, 50));
    });
  }
}

void onceOnly() {
  RouterHarness b(defaultConfig({kWrite}));
  start(b);
  b.describe(
      "rejected unseen: sent again, once the full node has rested. Lost while out: it may have run, so it "
      "is rolled back at once");
  b.at(10, [&](Router& r) { r.onTransaction(b.txn(1)); });
  b.at(20, [&](Router& r) { end(b, r, 1, AttemptOutcome::rejected, Role::primary); });
  b.run(25, 275);
  b.at(280, [&](Router& r) { end(b, r, 1, AttemptOutcome::connectionLost, Role::unknown, 1); });
  b.describe("no answer by the expiry: rolled back, never refused");
  b.at(290, [&](Router& r) { r.onTransaction(b.txn(2, 0, 100)); });
  b.run(295, 390);
}

void repeatable() {
  RouterHarness b(defaultConfig({kAny}));
  start(b);
  b.hidesHealthChecks = true;
  b.describe("lost while out: sent again to the other replica; the committed answer ends it");
  b.at(10, [&](Router& r) { r.onTransaction(b.txn(1)); });
  b.at(20, [&](Router& r) { end(b, r, 1, AttemptOutcome::connectionLost); });
  b.at(70, [&](Router& r) { end(b, r, 1, AttemptOutcome::committed, Role::replica, 1); });
  b.describe("expiry while out: refused in time, and its submission cancelled");
  b.at(80, [&](Router& r) { r.onTransaction(b.txn(2, 0, 100)); });
  b.run(85, 180);
}

void referenced() {
  auto terms = defaultConfig({kReferencedWrite});
  terms.transactionClasses[0].deduplicatesAcrossGroups = false;
  RouterHarness b(terms);
  start(b);
  b.hidesHealthChecks = true;
  b.describe("may have run: sent again within its group while the repeat is known, then rolled back");
  b.at(10, [&](Router& r) { r.onTransaction(b.txn(1)); });
  b.at(20, [&](Router& r) { end(b, r, 1, AttemptOutcome::error, Role::primary); });
  b.at(1015, [&](Router& r) { end(b, r, 1, AttemptOutcome::error, Role::primary, 1); });
}

void drains() {
  RouterHarness b(defaultConfig({kAny}));
  start(b);
  b.hidesHealthChecks = true;
  b.describe("a drains and b is gone: nothing goes to them; the held read is sent when b is back");
  b.at(10, [&](Router& r) {
    r.onEndpointList(EndpointUpdateKind::delta,
                     {b.entry("a", false, Health::draining), b.entry("b", false, Health::removed)});
    r.onTransaction(b.txn(1));
  });
  b.run(15, 100);
  b.at(105, [&](Router& r) { r.onEndpointList(EndpointUpdateKind::delta, {b.entry("b")}); });
}

void coldNode() {
  RouterHarness b(defaultConfig({kAny}));
  start(b);
  b.hidesHealthChecks = true;
  b.describe("b has just started again: of 40 reads, each answered at once, it gets a small share");
  b.at(10, [&](Router& r) {
    auto cold = b.entry("b");
    cold.startedAt = b.instant(9);
    r.onEndpointList(EndpointUpdateKind::delta, {cold});
  });
  for (TxnId id = 1; id <= 40; ++id) {
    b.at(static_cast<std::int64_t>(id) * 10 + 10, [&](Router& r) { r.onTransaction(b.txn(id)); });
    b.at(static_cast<std::int64_t>(id) * 10 + 15,
         [&](Router& r) { end(b, r, id, AttemptOutcome::committed); });
  }
}

void newPrimary() {
  RouterHarness b(defaultConfig({kWrite}));
  start(b);
  b.describe("p says it is a replica now: the write is held, the group probed, and sent to the new primary");
  b.at(300, [&](Router& r) { r.onTransaction(b.txn(1)); });
  b.at(305, [&](Router& r) { end(b, r, 1, AttemptOutcome::wrongNode); });
  b.at(310, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, b.loadReport(Role::replica, 200));
  });
  b.at(320, [&](Router& r) {
    r.onHealthCheckEnded("b", AttemptOutcome::committed, b.loadReport(Role::primary, 310));
  });
  b.describe("an old report of p, from when it was primary, changes nothing");
  b.at(330, [&](Router& r) {
    r.onHealthCheckEnded("p", AttemptOutcome::committed, b.loadReport(Role::primary, 250));
    r.onTransaction(b.txn(2));
  });
}

void slowPrimary() {
  auto terms = defaultConfig({kWrite});
  terms.maxOpenTransactions = 100;
  RouterHarness b(terms);
  start(b);
  b.hidesHealthChecks = true;
  b.describe(
      "p takes 300 ms for a write, three at a time: of twenty more some are sent, the rest goes at half "
      "time");
  TxnId id = 0;
  for (std::int64_t now = 10; now < 1500; now += 300) {
    b.at(now, [&](Router& r) { r.onTransaction(b.txn(++id)); });
    b.at(now + 290, [&](Router& r) {
      r.onAttemptEnded(id, 0, "p", AttemptOutcome::committed, true, ms(290), {Role::primary, std::nullopt},
                       {});
    });
  }
  b.at(1600, [&](Router& r) {
    for (int i = 0; i < 20; ++i) r.onTransaction(b.txn(++id));
  });
  b.run(1605, 2650);
}

void keepsAsking() {
  auto terms = defaultConfig({kAny, kSession, kWrite});
  terms.sessionAgeProvided = false;
  RouterHarness b(terms);
  start(b);
  b.hidesHealthChecks = true;
  b.describe("no node has what a session wrote; it asks five times a second");
  b.at(5, [&](Router& r) {
    r.onEndpointList(EndpointUpdateKind::delta,
                     {b.entry("p", true, Health::draining), b.entry("a"), b.entry("b")});
  });
  Transaction write = b.txn(1, 2);
  write.session = 7;
  b.at(10, [&](Router& r) { r.onTransaction(write); });
  TxnId id = 10;
  for (std::int64_t at = 20; at < 4000; at += 200)
    b.at(at, [&](Router& r) {
      Transaction read = b.sessionRead(++id, 1, 0, 7);
      read.remainingTime = ms(400);
      r.onTransaction(read);
    });
  b.describe("a replica has it from 4 s on: it is served");
  b.at(4000, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, b.loadReport(Role::replica, 3990));
  });
  for (std::int64_t at = 4010; at < 4900; at += 200)
    b.at(at, [&](Router& r) {
      Transaction read = b.sessionRead(++id, 1, 500, 7);
      read.remainingTime = ms(400);
      r.onTransaction(read);
    });
}

void lateClock() {
  auto terms = defaultConfig({kAny, kSession, kWrite});
  terms.sessionAgeProvided = false;
  RouterHarness b(terms);
  start(b);
  b.hidesHealthChecks = true;
  b.describe("the first write of a session is committed by a node whose clock is 100 s behind");
  Transaction write = b.txn(1, 2);
  write.session = 7;
  b.at(10, [&](Router& r) { r.onTransaction(write); });
  b.at(15, [&](Router& r) {
    r.onAttemptEnded(1, 0, "p", AttemptOutcome::committed, true, ms(5), {Role::primary, b.instant(-100'000)},
                     {});
  });
  b.describe("the session reads what any session does");
  b.at(20, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, b.loadReport(Role::replica, -90'000));
  });
  b.at(25, [&](Router& r) { r.onTransaction(b.sessionRead(2, 1, 0, 7)); });
}

void forgetting() {
  auto terms = defaultConfig({kAny, kSession, kWrite});
  terms.sessionAgeProvided = false;
  RouterHarness b(terms);
  start(b);
  b.hidesHealthChecks = true;
  b.describe(
      "a leaves the list while a read is out there, b has left before: a goes a minute after it was heard");
  b.at(10, [&](Router& r) {
    r.onEndpointList(EndpointUpdateKind::delta, {b.entry("b", false, Health::removed)});
  });
  b.at(20, [&](Router& r) { r.onTransaction(b.txn(1, 0)); });
  b.at(30, [&](Router& r) {
    r.onEndpointList(EndpointUpdateKind::delta, {b.entry("a", false, Health::removed), b.entry("c")});
  });
  b.at(1000, [&](Router& r) { end(b, r, 1, AttemptOutcome::committed); });
  for (const std::int64_t at : {60005, 60015, 60995, 61005})
    b.at(at, [&](Router& r) { r.onEndpointList(EndpointUpdateKind::delta, {b.entry("c")}); });
  b.describe("a session's write of a minute ago is the least that any session reads");
  b.at(61010, [&](Router& r) {
    r.onHealthCheckEnded("p", AttemptOutcome::committed, b.loadReport(Role::primary, 61000));
    r.onHealthCheckEnded("c", AttemptOutcome::committed, b.loadReport(Role::replica, 61000));
  });
  const auto writes = [&](std::int64_t at, TxnId id, SessionId session) {
    Transaction txn = b.txn(id, 2);
    txn.session = session;
    b.at(at, [&](Router& r) { r.onTransaction(txn); });
    b.at(at + 5, [&](Router& r) {
      r.onAttemptEnded(id, 0, "p", AttemptOutcome::committed, true, ms(5), {Role::primary, b.instant(at + 2)},
                       {});
    });
  };
  writes(61020, 2, 7);
  writes(121100, 3, 8);
  b.at(121120, [&](Router& r) { r.onTransaction(b.sessionRead(4, 1, 0, 99)); });
  b.at(121125, [&](Router& r) {
    r.onHealthCheckEnded("c", AttemptOutcome::committed, b.loadReport(Role::replica, 61050));
  });
  b.describe("groups that no list names leave nothing behind and take nothing from others");
  b.at(121130, [&](Router& r) {
    for (TxnId id = 10; id < 13; ++id) {
      Transaction txn = b.txn(id, 0);
      txn.group = id;
      r.onTransaction(txn);
    }
  });
  b.run(121135, 122000);
}

void leftBehind() {
  for (const bool ownConnections : {false, true}) {
    auto terms = defaultConfig({kWrite});
    terms.connectionPerAttempt = ownConnections;
    RouterHarness b(terms);
    start(b);
    b.hidesHealthChecks = true;
    b.describe(ownConnections ? "with a connection each: what was left behind keeps no place"
                              : "two writes are never answered, others are: two places are taken");
    TxnId id = 2;
    b.at(10, [&](Router& r) { r.onTransaction(b.txn(1)), r.onTransaction(b.txn(2)); });
    for (std::int64_t now = 20; now < 420; now += 100) {
      b.at(now, [&](Router& r) { r.onTransaction(b.txn(++id)); });
      b.at(now + 50, [&](Router& r) { end(b, r, id, AttemptOutcome::committed, Role::primary); });
    }
    b.at(500, [&](Router& r) {
      for (int i = 0; i < 4; ++i) r.onTransaction(b.txn(++id));
    });
  }
}

// A primary that lost some connections, and is well again, where only writes come: they are let go by it once
// a second over the two routers, and stay once one was committed.
void onlyWrites() {
  RouterHarness b(defaultConfig({kWrite}));
  start(b);
  b.hidesHealthChecks = true;
  for (TxnId id = 1; id <= 3; ++id) {
    b.at(static_cast<std::int64_t>(id) * 10, [&](Router& r) { r.onTransaction(b.txn(id)); });
    b.at(static_cast<std::int64_t>(id) * 10 + 5,
         [&](Router& r) { end(b, r, id, AttemptOutcome::connectionLost, Role::unknown); });
  }
  std::set<TxnId> answered;
  for (TxnId id = 4; id <= 20; ++id) {
    const auto now = static_cast<std::int64_t>(id - 3) * 300;
    b.at(now, [&](Router& r) { r.onTransaction(b.txn(id, 0, 290)); });
    for (auto t = now; t < now + 290; t += 5) {
      b.at(t, [&](Router& r) {
        if (b.nodeOf(id) == "none" || answered.contains(id)) return;
        answered.insert(id);
        end(b, r, id, id < 11 ? AttemptOutcome::connectionLost : AttemptOutcome::committed,
            id < 11 ? Role::unknown : Role::primary);
      });
    }
  }
}

// Where no probes are allowed and no list tells the new primary, writes find it; reads don't look for it.
void noProbes() {
  RoutingConfig terms = defaultConfig({kWrite, transactionClass(ReadLevel::linearizable)});
  terms.healthChecksAllowed = false;
  terms.slowStartWindow = Duration();
  RouterHarness b(terms);
  start(b);
  b.describe("the primary leaves: a read of the newest data is held, writes ask one member each");
  b.at(100, [&](Router& r) {
    r.onEndpointList(EndpointUpdateKind::delta, {b.entry("p", true, Health::draining)});
  });
  b.at(110, [&](Router& r) { r.onTransaction(b.txn(1, 1)); });
  b.run(115, 130);
  b.at(135,
       [&](Router& r) { r.onTransaction(b.txn(2)), r.onTransaction(b.txn(3)), r.onTransaction(b.txn(4)); });
  b.run(140, 150);
  b.describe("the first is turned away by a replica, the other is committed by the new primary");
  b.at(155, [&](Router& r) {
    for (const TxnId id : {2, 3, 4})
      if (b.nodeOf(id) == "a") end(b, r, id, AttemptOutcome::wrongNode, Role::replica);
  });
  b.run(160, 170);
  b.at(175, [&](Router& r) {
    for (const TxnId id : {2, 3, 4})
      if (b.nodeOf(id) == "b") end(b, r, id, AttemptOutcome::committed, Role::primary);
  });
  b.run(180, 200);
  for (const unsigned most : {4U, 1U}) {
    terms.maxAttempts = most;
    RouterHarness known(terms);
    start(known);
    known.describe("a primary is known and not well: with " + std::to_string(most) +
                   " attempts a write looks elsewhere or waits");
    for (TxnId id = 1; id <= 3; ++id) {
      const auto at = static_cast<std::int64_t>(id) * 10;
      known.at(at, [&](Router& r) { r.onTransaction(known.txn(id)); });
      known.at(at + 5, [&](Router& r) { end(known, r, id, AttemptOutcome::connectionLost, Role::unknown); });
    }
    known.at(200, [&](Router& r) { r.onTransaction(known.txn(4)); });
    known.run(205, 220);
  }
}

// A replica that may have been down may have lost the end of its log.
void tornLog() {
  RoutingConfig terms = defaultConfig({kSession});
  terms.slowStartWindow = Duration();
  RouterHarness b(terms);
  start(b);
  b.hidesHealthChecks = true;
  b.describe("both replicas are known to be at 90: a session read that needs 50 is sent at once");
  b.at(95, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, b.loadReport(Role::replica, 90));
    r.onHealthCheckEnded("b", AttemptOutcome::committed, b.loadReport(Role::replica, 90));
  });
  b.at(100, [&](Router& r) { r.onTransaction(b.sessionRead(1, 0, 50)); });
  b.describe("the connections to both end: it is held until one tells anew that it is there");
  b.at(110, [&](Router& r) {
    r.onNodeDisconnected("a");
    r.onNodeDisconnected("b");
    r.onTransaction(b.sessionRead(2, 0, 60));
  });
  b.run(115, 130);
  b.at(140, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, b.loadReport(Role::replica, 30));
  });
  b.run(145, 150);
  b.at(160, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, b.loadReport(Role::replica, 155));
  });
  b.describe("the list says that it started again: the same");
  b.at(170, [&](Router& r) {
    auto entry = b.entry("a");
    entry.startedAt = b.instant(165);
    r.onEndpointList(EndpointUpdateKind::delta, {entry});
    r.onTransaction(b.sessionRead(3, 0, 100));
  });
  b.run(175, 180);
}

void quickTxns() {
  auto session = kSession;
  session.latencyTarget = ms(80);
  session.deadline = ms(400);
  RouterHarness b(defaultConfig({session}));
  start(b);
  b.describe("with an latency target of 80 ms the next two replicas are asked after 10 ms, not 25");
  b.at(90, [&](Router& r) { r.onEndpointList(EndpointUpdateKind::delta, {b.entry("c"), b.entry("d")}); });
  b.at(100, [&](Router& r) { r.onTransaction(b.sessionRead(1, 0, 10)); });
  b.run(105, 110);
  b.describe("a position that lies ahead of the clock says nothing");
  b.at(115, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, b.loadReport(Role::replica, 10000000));
  });
  b.at(120, [&](Router& r) {
    r.onHealthCheckEnded("b", AttemptOutcome::committed, b.loadReport(Role::replica, 95));
  });
}

void fewConnections() {
  auto terms = defaultConfig({kWrite, kAny});
  terms.maxOpenTransactions = 8;
  RouterHarness b(terms);
  start(b);
  b.hidesHealthChecks = true;
  b.describe("clients have connections for eight txns: p is silent, six writes may stay, reads go on");
  for (TxnId id = 1; id <= 9; ++id)
    b.at(static_cast<std::int64_t>(id) * 10, [&](Router& r) { r.onTransaction(b.txn(id)); });
  b.at(100, [&](Router& r) { r.onTransaction(b.txn(10, 1)); });
}

void hungNode() {
  RouterHarness b(defaultConfig({kWrite, kAny}));
  start(b);
  b.hidesHealthChecks = true;
  b.describe("p takes a write and answers nothing: later writes are held; half-hung reads get a hedge");
  b.at(10, [&](Router& r) { r.onTransaction(b.txn(1, 0)), r.onTransaction(b.txn(2, 1)); });
  b.run(15, 490);
  b.at(500, [&](Router& r) { r.onTransaction(b.txn(3, 0)); });
  b.run(505, 600);
  b.describe("b is found to be the new primary");
  b.at(605, [&](Router& r) {
    r.onHealthCheckEnded("b", AttemptOutcome::committed, b.loadReport(Role::primary, 600));
  });
}

void deadWork() {
  RouterHarness b(defaultConfig({kAny}));
  start(b);
  b.hidesHealthChecks = true;
  b.describe(
      "a answers only what nobody waits for any more: once its reads were cancelled late it is drawn no "
      "more");
  for (TxnId id = 1; id <= 30; ++id) {
    const auto from = static_cast<std::int64_t>(id) * 405;
    b.at(from, [&](Router& r) { r.onTransaction(b.txn(id, 0, 400)); });
    if (b.nodeOf(id) == "b") {
      b.at(from + 50, [&](Router& r) { end(b, r, id, AttemptOutcome::committed); });
    } else if (b.nodeOf(id) == "a") {
      b.run(from + 395, from + 395);
      b.at(from + 400, [&](Router& r) { end(b, r, id, AttemptOutcome::cancelled); });
    }
  }
}

void laterTries() {
  RouterHarness b(defaultConfig({kAny}));
  start(b);
  b.hidesHealthChecks = true;
  b.describe(
      "first tries all come with 1 s of patience; from what they see, one with 400 ms has waited 1.6 s "
      "elsewhere");
  for (TxnId id = 1; id <= 20; ++id) {
    const auto from = static_cast<std::int64_t>(id) * 100;
    b.at(from, [&](Router& r) { r.onTransaction(b.txn(id, 0, 1000)); });
    b.at(from + 50, [&](Router& r) { end(b, r, id, AttemptOutcome::committed); });
  }
  b.at(2200, [&](Router& r) { r.onTransaction(b.txn(21, 0, 400)), r.onTransaction(b.txn(22, 0, 1000)); });
}

void lateNews() {
  auto terms = defaultConfig({kSession, kWrite});
  terms.nodesRejectStaleReads = true;
  RouterHarness b(terms);
  start(b, -5000);
  b.hidesHealthChecks = true;
  b.describe(
      "no news of positions, the primary full, but nodes guard themselves: after the hold a replica is "
      "asked");
  b.at(10, [&](Router& r) {
    for (TxnId id = 1; id <= 3; ++id) r.onTransaction(b.txn(id, 1));
    r.onTransaction(b.sessionRead(4, 0, 100));
  });
  b.run(15, 215);
  b.describe("its answer tells what it has: the next read that needs no more is drawn at once");
  b.at(250, [&](Router& r) {
    end(b, r, 4, AttemptOutcome::committed), r.onTransaction(b.sessionRead(5, 0, 345));
  });
  b.describe("one that is rejected is asked of another");
  b.at(260, [&](Router& r) { r.onTransaction(b.sessionRead(6, 0, 10)); });
  b.run(265, 465);
  b.at(480, [&](Router& r) { end(b, r, 6, AttemptOutcome::wrongNode); });
  b.describe("which rests for half a second meanwhile");
  b.at(490, [&](Router& r) {
    for (TxnId id = 7; id <= 8; ++id) r.onTransaction(b.sessionRead(id, 0, 10));
  });
  b.run(495, 700);
}

void crowdedReplica() {
  RouterHarness b(defaultConfig({kAny, kBounded}));
  start(b);
  b.hidesHealthChecks = true;
  b.describe(
      "few routers; b told it is 0.6 s behind, on its way to the bound of 1 s: it gets half of what a gets");
  b.at(600, [&](Router& r) {
    r.onHealthCheckEnded("b", AttemptOutcome::committed, b.loadReport(Role::replica, 0));
    for (TxnId id = 1; id <= 8; ++id) r.onTransaction(b.txn(id, 0));
  });
}

void longReads() {
  auto report = transactionClass(ReadLevel::any);
  report.latencyTarget = ms(3000);
  RouterHarness b(defaultConfig({report, kBounded, kBounded}));
  start(b);
  b.hidesHealthChecks = true;
  b.describe("long any reads all go to a, as at every router, so that b keeps up; bounded reads go to both");
  for (TxnId id = 1; id <= 24; ++id) {
    const auto from = static_cast<std::int64_t>(id) * 30;
    b.at(from, [&](Router& r) { r.onTransaction(b.txn(id, id % 2)); });
    b.at(from + 10, [&](Router& r) {
      r.onAttemptEnded(id, 0, b.nodeOf(id), AttemptOutcome::committed, true, ms(id % 2 ? 50 : 500),
                       {Role::replica, {}}, {});
    });
  }
  RouterHarness many(defaultConfig({report, kBounded}));
  start(many);
  many.describe(
      "many at once: a gets no more than it can answer in a third of their latency target, b the others");
  many.at(30, [&](Router& r) {
    for (TxnId id = 1; id <= 12; ++id) r.onTransaction(many.txn(id));
  });
}

void told() {
  auto terms = defaultConfig({kAny});
  terms.routerCount = 40;  // one of many
  RouterHarness b(terms);
  start(b);
  b.hidesHealthChecks = true;
  b.describe("answers take 50 ms; b tells of 20 txns in hand, a of 2: all go to a while that is news");
  for (TxnId id = 1; id <= 8; ++id) {
    b.at(static_cast<std::int64_t>(id) * 10, [&](Router& r) { r.onTransaction(b.txn(id)); });
    b.at(static_cast<std::int64_t>(id) * 10 + 5,
         [&](Router& r) { end(b, r, id, AttemptOutcome::committed); });
  }
  b.at(100, [&](Router& r) {
    for (const bool full : {false, true}) {
      auto said = b.loadReport(Role::replica, 99);
      said.inFlight = full ? 20 : 2;
      r.onHealthCheckEnded(full ? "b" : "a", AttemptOutcome::committed, said);
    }
  });
  for (TxnId id = 11; id <= 16; ++id) {
    b.at(static_cast<std::int64_t>(id) * 10, [&](Router& r) { r.onTransaction(b.txn(id)); });
    b.at(static_cast<std::int64_t>(id) * 10 + 5,
         [&](Router& r) { end(b, r, id, AttemptOutcome::committed); });
  }
  b.describe("3 s later it is old, and b is drawn again");
  for (TxnId id = 21; id <= 26; ++id)
    b.at(static_cast<std::int64_t>(id) * 10 + 3000, [&](Router& r) { r.onTransaction(b.txn(id)); });
}

void shortGroup() {
  auto terms = defaultConfig({kAny});
  terms.routerCount = 40;  // one of many
  RouterHarness b(terms);
  start(b);
  b.hidesHealthChecks = true;
  b.describe(
      "a few answers took half of the latency target, at both: part of what comes next is refused at once");
  for (TxnId id = 1; id <= 6; ++id) {
    const auto from = static_cast<std::int64_t>(id) * 220;
    b.at(from, [&](Router& r) { r.onTransaction(b.txn(id)); });
    b.at(from + 210, [&](Router& r) {
      r.onAttemptEnded(id, 0, b.nodeOf(id), AttemptOutcome::committed, true, ms(210), {Role::replica, {}},
                       {});
    });
  }
  for (TxnId id = 11; id <= 20; ++id) {
    const auto from = static_cast<std::int64_t>(id) * 10 + 1500;
    b.at(from, [&](Router& r) { r.onTransaction(b.txn(id)); });
    b.at(from + 5, [&](Router& r) { end(b, r, id, AttemptOutcome::cancelled), r.onClientLeft(id); });
  }
}

void kinds() {
  RouterHarness b(defaultConfig({kAny}));
  b.hidesHealthChecks = true;
  const auto of = [&](const std::string& node, const std::string& kind) {
    auto made = b.entry(node);
    made.kind = kind;
    return made;
  };
  b.at(0, [&](Router& r) {
    r.onEndpointList(EndpointUpdateKind::restored,
                     {b.entry("p", true), of("a", "old"), of("b", "new"), of("c", "old"), of("d", "new")});
  });
  b.describe(
      "a takes three times as long as b; c and d are new here, and d, of b's kind, is drawn more than c");
  for (TxnId id = 1; id <= 24; ++id) {
    b.at(static_cast<std::int64_t>(id) * 30, [&](Router& r) { r.onTransaction(b.txn(id)); });
    b.at(static_cast<std::int64_t>(id) * 30 + 10, [&](Router& r) {
      const NodeId node = b.nodeOf(id);
      r.onAttemptEnded(id, 0, node,
                       node == "a" || node == "b" ? AttemptOutcome::committed : AttemptOutcome::cancelled,
                       false, ms(node == "a" ? 60 : 20), {Role::replica, {}}, {});
      r.onClientLeft(id);
    });
  }
}

void strainedPrimary() {
  auto terms = defaultConfig({kWrite, kSession});
  terms.routerCount = 40;
  RouterHarness b(terms);
  start(b);
  b.hidesHealthChecks = true;
  b.describe(
      "one of many routers, whose writes took half of their latency target: an owed read stays off the "
      "primary");
  for (TxnId id = 1; id <= 3; ++id) {
    b.at(static_cast<std::int64_t>(id) * 10, [&](Router& r) { r.onTransaction(b.txn(id, 0)); });
    b.at(static_cast<std::int64_t>(id) * 10 + 5, [&](Router& r) {
      r.onAttemptEnded(id, 0, "p", AttemptOutcome::committed, true, ms(200), {Role::primary, {}}, {});
    });
  }
  b.at(100, [&](Router& r) { r.onTransaction(b.sessionRead(4, 1, 20)); });
  b.run(105, 300);
  b.describe("until a replica has what it needs");
  b.at(305, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, b.loadReport(Role::replica, 200));
  });
  b.describe("2 s later that is old: the next goes to the primary after its hold");
  b.at(2500, [&](Router& r) { r.onTransaction(b.sessionRead(5, 1, 20, 8)); });
  b.run(2505, 2700);
}

void oddNews() {
  RouterHarness b(defaultConfig({kAny, kSession}));
  start(b);
  b.hidesHealthChecks = true;
  b.describe("a list that doubles a, adds c, which nobody knew, and leaves b out: b gets nothing new");
  b.at(10, [&](Router& r) {
    r.onTransaction(b.txn(1));
    r.onEndpointList(EndpointUpdateKind::snapshot,
                     {b.entry("p", true), b.entry("a"), b.entry("a"), b.entry("c")});
  });
  for (TxnId id = 2; id <= 4; ++id)
    b.at(static_cast<std::int64_t>(id) * 10, [&](Router& r) { r.onTransaction(b.txn(id)); });
  b.describe(
      "an answer from b, no longer listed, counts; one from a node that no list ever named is passed over");
  b.at(60, [&](Router& r) {
    r.onAttemptEnded(1, 0, "b", AttemptOutcome::committed, true, ms(50), {Role::replica, {}}, {});
    r.onAttemptEnded(2, 0, "x", AttemptOutcome::committed, true, ms(50), {Role::replica, {}}, {});
    r.onHealthCheckEnded("x", AttemptOutcome::committed, b.loadReport(Role::primary, 50));
  });
  b.describe(
      "a's position of 300 ms still holds after a report that goes back: what needs 250 ms is drawn at once");
  b.at(310, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, b.loadReport(Role::replica, 300));
  });
  b.at(350, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, b.loadReport(Role::replica, 100));
  });
  b.at(360, [&](Router& r) { r.onTransaction(b.sessionRead(7, 1, 110)); });
}

void coldGroup() {
  auto terms = defaultConfig({kAny, kWrite});
  terms.routerCount = 40;
  RouterHarness b(terms);
  start(b);
  b.hidesHealthChecks = true;
  b.describe(
      "the whole group has started again: of 12 reads and 4 writes in 160 ms each node gets one at the most");
  b.at(10, [&](Router& r) {
    auto p = b.entry("p", true), a = b.entry("a"), c = b.entry("b");
    p.startedAt = a.startedAt = c.startedAt = b.instant(9);
    r.onEndpointList(EndpointUpdateKind::delta, {p, a, c});
  });
  b.at(15, [&](Router& r) {
    r.onHealthCheckEnded("p", AttemptOutcome::committed, b.loadReport(Role::primary, 14));
  });
  for (TxnId id = 1; id <= 16; ++id)
    b.at(static_cast<std::int64_t>(id) * 10 + 10,
         [&](Router& r) { r.onTransaction(b.txn(id, id % 4 == 0)); });
  b.describe("writes are held while time remains; what can't be served in time is refused");
  b.run(175, 600);
}

void stall() {
  RouterHarness b(defaultConfig({kAny}));
  start(b);
  b.hidesHealthChecks = true;
  b.describe(
      "the router is held up for 2 s: what it hears then is old by its own fault and speaks against no node");
  b.at(10, [&](Router& r) {
    for (TxnId id = 1; id <= 4; ++id) r.onTransaction(b.txn(id, 0, 5000));
  });
  b.stall();
  b.at(2010, [&](Router& r) {
    for (TxnId id = 1; id <= 4; ++id)
      r.onAttemptEnded(id, 0, b.nodeOf(id), id > 1 ? AttemptOutcome::timeout : AttemptOutcome::committed,
                       id <= 1, ms(2000), {}, {});
  });
  b.at(2015, [&](Router& r) { r.onTransaction(b.txn(11)), r.onTransaction(b.txn(12)); });
}

void oldLatencies() {
  RouterHarness b(defaultConfig({kAny}));
  start(b);
  b.hidesHealthChecks = true;
  b.describe(
      "five answers took 450 ms, longer than the latency target: what comes now is refused, but not for "
      "ever");
  for (TxnId id = 1; id <= 5; ++id) {
    b.at(static_cast<std::int64_t>(id) * 10, [&](Router& r) { r.onTransaction(b.txn(id)); });
    b.at(static_cast<std::int64_t>(id) * 10 + 5, [&](Router& r) {
      r.onAttemptEnded(id, 0, b.nodeOf(id), AttemptOutcome::committed, true, ms(450), {Role::replica, {}},
                       {});
    });
  }
  b.at(200, [&](Router& r) { r.onTransaction(b.txn(20)); });
  b.at(2500, [&](Router& r) { r.onTransaction(b.txn(21)); });
}

void nextTry() {
  RouterHarness b(defaultConfig({kSession}));
  start(b);
  b.hidesHealthChecks = true;
  b.describe(
      "no member has what session 9 wrote: given up at its latency target, and when it comes back, at once");
  b.at(10, [&](Router& r) {
    r.onEndpointList(EndpointUpdateKind::delta, {b.entry("p", false, Health::draining)});
    r.onTransaction(b.sessionRead(1, 0, 20, 9));
  });
  b.run(15, 445);
  b.at(450, [&](Router& r) {
    r.onTransaction(b.sessionRead(2, 0, 460, 9)), r.onTransaction(b.sessionRead(3, 0, 460, 8));
  });
  b.run(455, 500);
}

void askedList() {
  auto terms = defaultConfig({kAny, kSession, kWrite});
  terms.endpointListIsPolled = true;
  terms.sessionAgeProvided = false;
  RouterHarness b(terms);
  b.describe("the list must be asked for: followed from the start, and again a second after a call failed");
  start(b);
  b.at(100, [&](Router& r) { r.onEndpointListFailed(); });
  b.at(1000);
  b.at(1100);
  b.describe(
      "session marks are remembered here: after its write, a session's read waits until a replica has it");
  b.at(1200, [&](Router& r) {
    auto write = b.txn(1, 2);
    write.session = 9;
    r.onTransaction(write);
  });
  b.at(1250, [&](Router& r) {
    r.onAttemptEnded(1, 0, "p", AttemptOutcome::committed, true, ms(50), b.loadReport(Role::primary, 1240),
                     {});
    auto read = b.txn(2, 1);
    read.session = 9;
    r.onTransaction(read);
    read.id = 3, read.session = 8;
    r.onTransaction(read);
  });
  b.at(1300, [&](Router& r) {
    r.onHealthCheckEnded("a", AttemptOutcome::committed, b.loadReport(Role::replica, 1239));
  });
  b.at(1310, [&](Router& r) {
    r.onHealthCheckEnded("b", AttemptOutcome::committed, b.loadReport(Role::replica, 1240));
  });
}

void hedge() {
  auto slow = kAny;
  slow.latencyTarget = ms(2000);
  RouterHarness b(defaultConfig({slow}));
  start(b);
  b.hidesHealthChecks = true;
  b.describe(
      "a read that has been out for six times the usual gets one copy elsewhere; the loser is cancelled");
  b.at(10, [&](Router& r) { r.onTransaction(b.txn(1, 0, 3000)); });
  b.at(60, [&](Router& r) { end(b, r, 1, AttemptOutcome::committed); });
  b.at(70, [&](Router& r) { r.onTransaction(b.txn(2, 0, 3000)); });
  b.run(75, 500);
  b.at(550, [&](Router& r) { end(b, r, 2, AttemptOutcome::committed, Role::replica, 1); });
}

void worthless() {
  RouterHarness b(defaultConfig({kAny}));
  start(b);
  b.hidesHealthChecks = true;
  TxnId id = 0;
  std::int64_t now = 0;
  // One txn, which errs at the nodes named.
  const auto play = [&](const std::string& errsAt) {
    b.at(now += 10, [&](Router& r) { r.onTransaction(b.txn(++id)); });
    for (NodeId last; b.nodeOf(id) != last;) {
      const unsigned number = last.empty() ? 0 : 1;
      last = b.nodeOf(id);
      const bool errs = errsAt.find(last) != std::string::npos;
      b.at(now += 10, [&](Router& r) {
        end(b, r, id, errs ? AttemptOutcome::error : AttemptOutcome::committed, {}, number);
      });
    }
  };
  b.describe(
      "every other txn errs wherever it goes: given up after a second node, soon after one; none is blamed");
  while (id < 16) play(id % 2 ? "" : "a b");
  b.describe("then a alone errs: what errs there is committed by b, and a is drawn no more but for trials");
  while (id < 32) play("a");
}

// clang-format off
const std::map<std::string, void (*)()> kCases{
    {"ordinary-path", ordinaryPath}, {"stale-read", staleRead}, {"once-only", onceOnly}, {"lost-answers", lostAnswers}, {"other-write", otherWrite},
    {"repeatable", repeatable}, {"referenced", referenced}, {"drains", drains}, {"cold-node", coldNode},
    {"new-primary", newPrimary}, {"hung-node", hungNode}, {"slow-primary", slowPrimary}, {"few-connections", fewConnections}, {"late-clock", lateClock}, {"keeps-asking", keepsAsking}, {"forgetting", forgetting}, {"left-behind", leftBehind}, {"only-writes", onlyWrites}, {"quick-txns", quickTxns}, {"torn-log", tornLog}, {"no-probes", noProbes}, {"dead-work", deadWork},
    {"later-tries", laterTries}, {"late-news", lateNews}, {"long-reads", longReads}, {"next-try", nextTry},
    {"asked-list", askedList}, {"second-copy", hedge}, {"stall", stall},
    {"old-latencies", oldLatencies}, {"worthless", worthless}, {"told", told},
    {"crowded-replica", crowdedReplica}, {"odd-news", oddNews}, {"cold-group", coldGroup},
    {"strained-primary", strainedPrimary}, {"short-group", shortGroup}, {"kinds", kinds},
};
// clang-format on

}  // namespace

int main(int argc, char** argv) {
  const auto found = argc == 2 ? kCases.find(argv[1]) : kCases.end();
  if (found == kCases.end()) return std::cerr << "usage: decisions CASE\n", 2;
  found->second();
}
