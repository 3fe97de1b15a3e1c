// Decisions after a step of the clock by which the nodes of a group date their positions. The router's own
// clock is monotonic and doesn't step.
#include "decisions/cases.h"
#include "decisions/setup.h"

namespace gulltrestle::decisions_test {

namespace {

constexpr std::size_t kReadClass = 0, kWriteClass = 1;
constexpr std::int64_t kHour = 3'600'000;

// A write that is sent at `at` ms is committed by p 5 ms later, when the clock of the nodes is `ahead` ms
// ahead.
void commitWrite(RouterHarness& harness, TxnId txn, std::int64_t at, std::int64_t ahead) {
  harness.at(at, [&](Router& r) { r.onTransaction(harness.txn(txn, kWriteClass)); });
  harness.at(at + 5, [&](Router& r) {
    r.onAttemptEnded(txn, 0, "p", AttemptOutcome::committed, true, ms(5),
                     {Role::primary, harness.instant(at + ahead + 4)}, {});
  });
}

void reportPosition(RouterHarness& harness, std::int64_t at, const NodeId& node, std::int64_t position) {
  harness.at(at, [&](Router& r) {
    r.onHealthCheckEnded(node, AttemptOutcome::committed, harness.loadReport(Role::replica, position));
  });
}

RouterHarness groupOf(const TransactionClass& read) {
  RoutingConfig config = defaultConfig({read, kWrite});
  return RouterHarness(config);
}

}  // namespace

// Guards against bounded reads of data beyond their bound: replicas looked fresher by the step of the clock.
void boundedReadAfterClockStep() {
  for (const std::int64_t ahead : {0, 50, 350, 900}) {
    RouterHarness harness = groupOf(kBounded);
    harness.hidesHealthChecks = true;
    startGroup(harness);
    harness.describe("the clock is " + std::to_string(ahead) +
                     " ms ahead, the bound is 1000 ms: a is 1040 ms behind, then 900 ms");
    commitWrite(harness, 1, 1000, ahead);
    reportPosition(harness, 1010, "a", 1010 + ahead - 1040);
    harness.at(1015, [&](Router& r) { r.onTransaction(harness.txn(2, kReadClass)); });
    reportPosition(harness, 1020, "a", 1020 + ahead - 900);
  }
}

// Guards against a bounded read that waits for a connection while the step becomes known.
void clockStepWhileBoundedReadWaits() {
  for (const std::int64_t ahead : {0, 700}) {
    RouterHarness harness = groupOf(kBounded);
    harness.hidesHealthChecks = true;
    startGroup(harness);
    reportPosition(harness, 995, "a", 300);
    harness.describe("a read waits for a connection to a when a commit shows that the clock is " +
                     std::to_string(ahead) + " ms ahead");
    harness.at(1000, [&](Router& r) { r.onTransaction(harness.txn(2, kReadClass)); });
    commitWrite(harness, 1, 1005, ahead);
  }
}

// Guards against session reads that miss the session's own write where requests carry its age, or where the
// router records it and the answer has no position.
void sessionAgeAfterClockStep() {
  for (const bool carriesAge : {true, false}) {
    RoutingConfig config = defaultConfig({kSession, kWrite});
    config.sessionAgeProvided = carriesAge;
    RouterHarness harness(config);
    harness.hidesHealthChecks = true;
    startGroup(harness);
    harness.describe(std::string("the clock is 700 ms ahead, the session has written 100 ms ago") +
                     (carriesAge ? ", as its read tells" : ", and the answer told no position"));
    commitWrite(harness, 1, 1000, 700);
    harness.at(1050, [&](Router& r) {
      Transaction write = harness.txn(3, kWriteClass);
      write.session = 9;
      r.onTransaction(write);
    });
    harness.at(1055, [&](Router& r) { endAttempt(harness, r, 3, AttemptOutcome::committed, Role::primary); });
    reportPosition(harness, 1150, "a", 1150 + 700 - 200);
    harness.at(1155, [&](Router& r) { r.onTransaction(harness.sessionRead(2, kReadClass, 105)); });
    harness.describe("a has applied it");
    reportPosition(harness, 1160, "a", 1160 + 700 - 50);
  }
}

// Guards against bounded reads that go to the primary for good: a router that stands still after it has read
// its own clock takes a position for one that is ahead of it.
void positionReadAfterStall() {
  RouterHarness harness = groupOf(kBounded);
  harness.hidesHealthChecks = true;
  startGroup(harness);
  harness.describe("a report is handled by a clock that was read 700 ms before; b is 500 ms behind");
  reportPosition(harness, 1000, "a", 1690);
  reportPosition(harness, 1700, "b", 1200);
  harness.at(1705, [&](Router& r) { r.onTransaction(harness.txn(2, kReadClass)); });
  harness.describe("a write that is committed meanwhile shows that the clocks agree");
  commitWrite(harness, 1, 1710, 0);
  harness.describe("a doesn't answer reads any more: the next one goes to b");
  harness.at(1750, [&](Router& r) { r.onNodeDisconnected("a"); });
  harness.at(1755, [&](Router& r) { r.onTransaction(harness.txn(3, kReadClass)); });
}

// Steps of an hour count once a second report confirms them, so that one faulty report changes nothing.
void clockStepOfAnHour() {
  RouterHarness harness = groupOf(kBounded);
  harness.hidesHealthChecks = true;
  startGroup(harness);
  harness.describe("one commit is dated an hour ahead: a read still goes to a replica by the clock as known");
  commitWrite(harness, 1, 100, kHour);
  harness.at(110, [&](Router& r) { r.onTransaction(harness.txn(2, kReadClass)); });
  harness.describe("the next one isn't: the first was a fault");
  commitWrite(harness, 3, 150, 0);
  harness.at(160, [&](Router& r) { r.onTransaction(harness.txn(4, kReadClass)); });
  harness.describe(
      "two commits are dated an hour ahead: reads wait until a replica reports by the new dates");
  commitWrite(harness, 5, 200, kHour);
  commitWrite(harness, 6, 250, kHour);
  harness.at(260, [&](Router& r) { r.onTransaction(harness.txn(7, kReadClass)); });
  reportPosition(harness, 270, "a", 270 + kHour - 100);
  harness.describe("the clock is set back by the hour: what replicas reported before counts no more");
  commitWrite(harness, 8, 300, 0);
  commitWrite(harness, 9, 350, 0);
  harness.at(360, [&](Router& r) { r.onTransaction(harness.txn(10, kReadClass)); });
  reportPosition(harness, 370, "b", 270);
}

}  // namespace gulltrestle::decisions_test
