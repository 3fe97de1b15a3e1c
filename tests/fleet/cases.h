// Cases of the rig that stand in files of their own. Each prints what must hold on every run.
#pragma once

#include <cstdint>
#include <exception>
#include <string>

#include "runtime/event_loop/event_loop.h"

namespace gulltrestle::fleet {

constexpr Duration kTick = Duration::millis(2);
// Nothing takes so long unless it is wedged.
constexpr Duration kBound = Duration::millis(60'000);

// What plays on a loop of its own, and the first thing that broke in it.
class Scene {
 protected:
  void broken(const std::string& what) {
    if (fault_.empty()) fault_ = what;
  }
  auto tick() { return loop_.sleepUntil(loop_.now() + kTick); }
  // True once it has come to this; nothing may wait for ever.
  bool waited(bool come, Instant by, const char* what) {
    if (!come && loop_.now() >= by) broken(std::string("waited in vain: ") + what);
    return come || !fault_.empty();
  }
  void run() {
    loop_.run([](Instant) { return Instant(); },
              [this](std::exception_ptr failure) {
                try {
                  std::rethrow_exception(failure);
                } catch (const std::exception& bad) { broken(std::string("the rig: ") + bad.what()); }
                loop_.stop();
              });
  }

  event_loop::EventLoop loop_;
  std::string fault_;
};

// An old primary that comes back first, and an older list that names it. Each returns the exit code.
int returns();

// The only replica that proves a session's position is the last to come back.
int last();
// Who belongs, who lives, which start speaks, and who keeps.
int members();
// Machines taken out for work while parts of the fleet fail: one trouble, with as many seeds; built-in
// faults.
int workKinds();
int work(int kind, std::uint64_t seeds, std::uint64_t from);
int workBugs();
// A measurement and no test: words a second and router, and CPU, of so many that are idle.
int talk(std::size_t routers);

// The same id at two external processors; and, a measurement and no test, the time of a once-only txn.
int grants();
int price();

}  // namespace gulltrestle::fleet
