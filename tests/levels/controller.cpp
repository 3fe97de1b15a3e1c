// The degradation controller alone: its steps, their causes, and the default admission table.
#include <functional>
#include <iomanip>
#include <iostream>

#include "degradation/admission_table.h"
#include "degradation/degradation_controller.h"
#include "levels/cases.h"
#include "levels/setup.h"

namespace gulltrestle::levels_test {

using namespace gulltrestle::degradation;

namespace {

// Drives one controller in simulated time and prints its level changes.
class ControllerHarness {
 public:
  explicit ControllerHarness(Bounds bounds = {}) : controller_(bounds, 7) {}
  DegradationController& controller() { return controller_; }
  Instant now = kStart;

  // Runs for `millis` ms: calls `each` every 50 ms, then decide(), and prints the changes.
  void run(std::int64_t millis, std::function<void(Instant, int)> each) {
    for (std::int64_t t = 0; t < millis; t += 50) {
      now = now + ms(50);
      each(now, step_++);
      for (const Change& change : controller_.decide(now)) {
        ++changes;
        if (!isSilent)
          std::cout << (now - kStart).inMicros() / 1000 << " ms: group " << change.group << " " << change.from
                    << " > " << change.to << " (" << nameOf(change.cause) << ", wait " << std::setprecision(2)
                    << change.wait << " over " << change.txns << ")\n";
      }
    }
  }
  // Prints a line that explains the steps that follow.
  void describe(const std::string& text) { std::cout << "-- " << text << "\n"; }
  // Returns a step that records four answers after this fraction of their latency target.
  std::function<void(Instant, int)> load(double targetFraction, GroupId group = 1) {
    return [this, targetFraction, group](Instant at, int) {
      for (int i = 0; i < 4; ++i) controller_.recordAnswer(at, group, 0, targetFraction);
    };
  }
  bool isSilent = false;  // changes are counted, but not printed
  unsigned changes = 0;

 private:
  DegradationController controller_;
  int step_ = 0;
};

}  // namespace

void steps() {
  ControllerHarness harness;
  harness.describe("calm, then a standing queue: one step at a time, each after the minimum hold time");
  harness.run(3000, harness.load(0.1));
  harness.run(30000, harness.load(0.9));
  harness.describe("calm again: lowered after trials, one step at a time");
  harness.run(60000, harness.load(0.1));
  harness.describe("a burst: some transactions wait, a quarter do not");
  ControllerHarness burst;
  burst.run(20000, [&](Instant at, int) {
    for (int i = 0; i < 4; ++i) burst.controller().recordAnswer(at, 1, 0, i < 2 ? 0.1 : 3);
  });
  std::cout << burst.changes << " changes\n";
  harness.describe("a failed trial: the admitted transactions wait");
  ControllerHarness trial;
  trial.run(3000, trial.load(0.9));
  trial.run(40000, [&](Instant at, int) {
    for (int i = 0; i < 4; ++i)
      trial.controller().recordAnswer(at, 1, 0, trial.controller().stateOf(1).trialFraction > 0 ? 0.5 : 0.1);
  });
  std::cout << "level " << trial.controller().stateOf(1).level << "\n";
}

void loadNearBound() {
  ControllerHarness harness;
  harness.describe("ten minutes of load near the upper bound");
  harness.run(600'000, [&](Instant at, int step) {
    for (int i = 0; i < 4; ++i) harness.controller().recordAnswer(at, 1, 0, step / 20 % 2 ? 0.65 : 0.55);
  });
  std::cout << harness.changes << " changes\n";
  ControllerHarness sawtooth;
  sawtooth.describe("ten minutes of a sawtooth with the minimum hold time as its period");
  sawtooth.isSilent = true;
  unsigned maxPerMinute = 0;
  for (int minute = 0; minute < 10; ++minute) {
    const unsigned changesBefore = sawtooth.changes;
    sawtooth.run(60'000, [&](Instant at, int step) {
      for (int i = 0; i < 4; ++i) sawtooth.controller().recordAnswer(at, 1, 0, step % 100 / 100.0 * 1.2);
    });
    maxPerMinute = std::max(maxPerMinute, sawtooth.changes - changesBefore);
  }
  std::cout << sawtooth.changes << " changes, " << maxPerMinute << " in a minute at most\n";
  ControllerHarness square;
  square.describe(
      "calm and overload alternate every 12 s: changes up to the limit per minute, then the level stays");
  square.run(240'000, [&](Instant at, int step) {
    for (int i = 0; i < 4; ++i) square.controller().recordAnswer(at, 1, 0, step / 240 % 2 ? 0.05 : 1.5);
  });
}

void causes() {
  ControllerHarness harness;
  harness.describe("one group of three is overloaded: only its level is raised");
  harness.run(8000, [&](Instant at, int) {
    for (GroupId group = 1; group <= 3; ++group)
      for (int i = 0; i < 4; ++i) harness.controller().recordAnswer(at, group, 0, group == 2 ? 1.2 : 0.1);
  });
  std::cout << harness.controller().stateOf(1).level << harness.controller().stateOf(2).level
            << harness.controller().stateOf(3).level << harness.controller().stateOf(9).level << "\n";
  ControllerHarness hang;
  hang.describe("nodes that answer nothing do not raise the level, and do not prevent it from being lowered");
  hang.run(30'000, [&](Instant at, int) { hang.controller().recordAbandoned(at, 1, 0, 2); });
  hang.run(3000, hang.load(0.9));
  hang.run(5000, [&](Instant at, int) { hang.controller().recordAbandoned(at, 1, 0, 2); });
  hang.run(30'000, hang.load(0.1));
  ControllerHarness retryStorm;
  retryStorm.describe("clients retry immediately: rejections on arrival neither raise nor lower the level");
  retryStorm.run(3000, retryStorm.load(0.9));
  retryStorm.run(20'000, [&](Instant at, int) {
    for (int i = 0; i < 400; ++i) retryStorm.controller().recordAbandoned(at, 1, 0, 0);
    for (int i = 0; i < 4; ++i) retryStorm.controller().recordAnswer(at, 1, 0, 0.9);
  });
  retryStorm.run(60'000, [&](Instant at, int) {
    for (int i = 0; i < 400; ++i) retryStorm.controller().recordAbandoned(at, 1, 0, 0);
    for (int i = 0; i < 4; ++i) retryStorm.controller().recordAnswer(at, 1, 0, 0.1);
  });
  ControllerHarness stalled;
  stalled.describe("the router was stalled: the samples of the stall are dropped");
  for (int i = 0; i < 10; ++i) {
    stalled.run(1000, stalled.load(0.1));
    for (int n = 0; n < 40; ++n) stalled.controller().recordAnswer(stalled.now, 1, 0, 3);
    stalled.controller().onProcessStalled(stalled.now);
  }
  std::cout << stalled.changes << " changes\n";
  ControllerHarness unknownGroups;
  unknownGroups.describe("clients name groups that no node serves: none is stored");
  unknownGroups.run(50, unknownGroups.load(0.1));
  for (GroupId group = 2; group < 20'000; ++group)
    unknownGroups.controller().recordAbandoned(unknownGroups.now, group, 0, 2);
  unknownGroups.run(1000, unknownGroups.load(0.1));
  std::cout << unknownGroups.controller().states().size() << " group\n";
  ControllerHarness pinned;
  pinned.describe("an operator pins the level, caps it, removes both");
  Bounds bounds;
  bounds.pinnedLevel = 2;
  pinned.controller().setBounds(bounds);
  pinned.run(2000, pinned.load(0.1));
  bounds.pinnedLevel.reset();
  bounds.maxLevel = 1;
  pinned.controller().setBounds(bounds);
  pinned.run(20'000, pinned.load(2));
  pinned.controller().setBounds({});
  pinned.run(7000, pinned.load(2));
  ControllerHarness nearLimits;
  nearLimits.describe(
      "the router's own limits are nearly used up: the level is raised for a group whose txns wait a little, "
      "not for an idle one");
  nearLimits.controller().setOwnUtilization(0.9);
  nearLimits.run(3000, [&](Instant at, int) {
    for (int i = 0; i < 4; ++i)
      nearLimits.controller().recordAnswer(at, 1, 0, 0.4),
          nearLimits.controller().recordAnswer(at, 2, 0, 0.05);
  });
  ControllerHarness idle;
  idle.describe("no more transactions: the level is lowered");
  idle.run(9000, idle.load(0.9));
  idle.run(60'000, [](Instant, int) {});
}

void tables() {
  const auto classes = sampleClasses();
  const AdmissionTable table = defaultAdmissionTable(classes);
  for (std::size_t row = 0; row < table.size(); ++row) {
    std::cout << "level " << row + 1
              << (table[row].limitsBackgroundWork ? ", limited background work:" : ":");
    for (const AdmissionPolicy policy : table[row].admission) std::cout << " " << nameOf(policy);
    std::cout << "\n";
  }
  const auto printValidation = [&](AdmissionTable invalid, const std::string& description) {
    try {
      validate(invalid, classes);
      std::cout << description << ": accepted\n";
    } catch (const InvalidAdmissionTable& error) { std::cout << description << ": " << error.what() << "\n"; }
  };
  printValidation(table, "the default");
  AdmissionTable invalid = table;
  invalid[2].admission[3] = AdmissionPolicy::all;
  printValidation(invalid, "a higher level that admits more");
  invalid = table;
  invalid[3].admission[4] = AdmissionPolicy::withSpareCapacity;
  printValidation(invalid, "an at-most-once write is restricted");
  invalid = table;
  invalid[0].admission.pop_back();
  printValidation(invalid, "a row that is too short");
}

}  // namespace gulltrestle::levels_test
