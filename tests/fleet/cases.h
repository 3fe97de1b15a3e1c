// Cases of the rig that stand in files of their own. Each prints what must hold on every run.
#pragma once

#include <cstdint>
#include <exception>
#include <string>

#include "runtime/event_loop/event_loop.h"

namespace gulltrestle::fleet {

constexpr Duration kTick = Duration::millis(2);
// Nothing takes so long unless it is wedged.
constexpr Duration kScenarioTimeout = Duration::millis(60'000);

// What plays on a loop of its own, and the first thing that broke in it. Its main task may be parted into
// steps: tasks of their own, one at a time. Each ends with endStep(); the main task waits for isStepOver_.
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
  // Of what is waited for from now on.
  Instant deadline() const { return loop_.now() + kScenarioTimeout; }
  // True once the condition holds, or something broke; nothing may wait for ever.
  bool isDone(bool condition, Instant deadline, const char* what) {
    if (!condition && loop_.now() >= deadline) fail(std::string("waited in vain: ") + what);
    return condition || !fault_.empty();
  }
  void run() {
    loop_.run([](Instant) { return Instant(); },
              [this](std::exception_ptr failure) {
                try {
                  std::rethrow_exception(failure);
                } catch (const std::exception& bad) { fail(std::string("the rig: ") + bad.what()); }
                loop_.stop();
              });
  }

  event_loop::EventLoop loop_;
  std::string fault_;
  bool isStepOver_ = false;
};

// An old primary that comes back first, and an older list that names it. Each returns the exit code.
int oldPrimaryReturns();

// The only replica that proves a session's position is the last to come back.
int lastReplicaReturns();
// Who belongs, who lives, which start speaks, and who keeps.
int members();
// Machines taken out for work while parts of the fleet fail: one fault, with as many seeds; built-in
// faults.
int maintenanceKinds();
int maintenance(int kind, std::uint64_t seeds, std::uint64_t from);
int maintenanceBugs();
// A measurement and no test: words a second and router, and CPU, of so many that are idle.
int idleTraffic(std::size_t routers);

// The same id at two external processors; and, a measurement and no test, the time of a once-only
// transaction.
int grants();
int price();

}  // namespace gulltrestle::fleet
