// The test cases that have a source file of their own, and the event loop that they share. A case prints only
// lines that are the same on every run.
#pragma once

#include <cstdint>
#include <exception>
#include <string>

#include "runtime/event_loop/event_loop.h"

namespace gulltrestle::fleet {

constexpr Duration kTick = Duration::millis(2);
// Upper bound on each wait: a wait that takes longer is reported as a fault.
constexpr Duration kScenarioTimeout = Duration::millis(60'000);

// A test scenario on an event loop of its own, with the first fault found in it. The main task may be divided
// into steps: separate tasks that run one at a time. Each calls endStep() at its end, and the main task waits
// for isStepOver_.
class Scenario {
 protected:
  void fail(const std::string& what) {
    if (fault_.empty()) fault_ = what;
  }
  void beginStep(event_loop::Task step) {
    isStepOver_ = false;
    loop_.spawn(std::move(step));
  }
  void endStep() { isStepOver_ = true; }
  auto tick() { return loop_.sleepUntil(loop_.now() + kTick); }
  // The time limit of a wait that starts now.
  Instant deadline() const { return loop_.now() + kScenarioTimeout; }
  // True once the condition holds or a fault is recorded. Records a fault at the deadline, so that no wait is
  // endless.
  bool isDone(bool condition, Instant deadline, const char* what) {
    if (!condition && loop_.now() >= deadline) fail(std::string("timed out waiting for: ") + what);
    return condition || !fault_.empty();
  }
  void run() {
    loop_.run([](Instant) { return Instant(); },
              [this](std::exception_ptr failure) {
                try {
                  std::rethrow_exception(failure);
                } catch (const std::exception& bad) { fail(std::string("the test harness: ") + bad.what()); }
                loop_.stop();
              });
  }

  event_loop::EventLoop loop_;
  std::string fault_;
  bool isStepOver_ = false;
};

// After a power loss the old primary returns before the new one, and an outdated endpoint list names it. Each
// case returns the exit code.
int oldPrimaryReturns();

// The only replica that has applied a session's writes returns last.
int lastReplicaReturns();
// Membership: removed members, the failure detector, incarnations, and a change of voters.
int members();
// Maintenance of machines while parts of the fleet fail: one kind of fault with a number of seeds, starting
// at `from`. maintenanceInjectedBugs() checks that the test detects injected bugs.
int maintenanceKinds();
int maintenance(int kind, std::uint64_t seeds, std::uint64_t from);
int maintenanceInjectedBugs();
// A measurement, not a test: messages per second and CPU time of each router in an idle fleet.
int idleTraffic(std::size_t routers);

// The same transaction id at two external processors.
int grants();
// A measurement, not a test: the duration of an at-most-once transaction.
int claimCost();

}  // namespace gulltrestle::fleet
