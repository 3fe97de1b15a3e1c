// Tests of the degradation levels: the controller alone, their effect on the router, the configuration and
// the status document, and minutes of varying load on a small simulated fleet. Run as `levels CASE
// [MINUTES]`; prints a trace that is compared with levels/CASE.txt.
#include <cmath>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <random>
#include <utility>

#include "degradation/admission_table.h"
#include "degradation/degradation_controller.h"
#include "degradation_service/degradation_service.h"
#include "tools/fleet_model/fleet.h"
#include "trace.h"
#include "transactions/transaction_table.h"

using namespace gulltrestle;
using namespace gulltrestle::degradation;
using trace::ms;

namespace {

constexpr Instant kStart = Instant::atMicros(1'700'000'000'000'000);

// --- The controller alone.

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

// The transaction classes of a sample deployment: three short reads, a long report and an at-most-once write.
std::vector<TransactionClass> sampleClasses() {
  const auto makeClass = [](ReadLevel level, std::int64_t latencyTarget, std::int64_t deadline,
                            double priorityWeight, Effect effect) {
    TransactionClass type = trace::transactionClass(level, effect);
    type.latencyTarget = ms(latencyTarget);
    type.deadline = ms(deadline);
    type.priorityWeight = priorityWeight;
    type.maxStaleness = ms(3000);
    return type;
  };
  return {makeClass(ReadLevel::bounded, 300, 750, 1, Effect::idempotent),
          makeClass(ReadLevel::session, 400, 1000, 1, Effect::idempotent),
          makeClass(ReadLevel::any, 300, 1200, 2, Effect::idempotent),
          makeClass(ReadLevel::any, 3000, 6000, 6, Effect::idempotent),
          makeClass(ReadLevel::write, 400, 5000, 3, Effect::atMostOnce)};
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

// --- The effect of the rules on the router.

void admission() {
  using namespace trace;
  RoutingConfig config =
      defaultConfig({transactionClass(ReadLevel::any), transactionClass(ReadLevel::session),
                     transactionClass(ReadLevel::write, Effect::atMostOnce)});
  config.degradationEnabled = true;
  RouterHarness harness(config);
  harness.hidesHealthChecks = true;
  DegradationRules noRules, rules;
  harness.at(0, [&](Router& router) {
    router.onEndpointList(EndpointUpdateKind::snapshot,
                          {harness.entry("p", true), harness.entry("a"), harness.entry("b")});
    router.onTransaction(harness.txn(1));
  });
  harness.at(5, [&](Router& router) {
    router.onAttemptEnded(1, 0, harness.nodeOf(1), AttemptOutcome::committed, true, ms(5),
                          harness.loadReport(Role::replica, 0), {});
  });
  harness.describe(
      "ready: a session read is rejected at once if no replica is known to have applied the position that it "
      "must see, and is never answered from older data; writes and the others are admitted");
  rules.admission = {AdmissionPolicy::all, AdmissionPolicy::withReadyReplica, AdmissionPolicy::all};
  rules.limitsBackgroundWork = true;
  harness.at(10, [&](Router& router) {
    router.setDegradation(1, rules, noRules, 0);
    router.onTransaction(harness.sessionRead(2, 1, 2));
    router.onTransaction(harness.txn(3, 2));
    router.onTransaction(harness.txn(4));
  });
  harness.describe("one that a replica can answer is admitted");
  harness.at(15, [&](Router& router) { router.onTransaction(harness.sessionRead(5, 1, 100)); });
  harness.describe("none: rejected at once; transactions admitted before stay open");
  harness.describe("spare: not admitted if half of the capacity is in use");
  rules.admission = {AdmissionPolicy::withSpareCapacity, AdmissionPolicy::withReadyReplica,
                     AdmissionPolicy::all};
  harness.at(17, [&](Router& router) {
    router.setDegradation(1, rules, noRules, 0);
    for (TxnId id = 50; id < 55; ++id) router.onTransaction(harness.txn(id));
  });
  rules.admission = {AdmissionPolicy::none, AdmissionPolicy::none, AdmissionPolicy::all};
  harness.at(20, [&](Router& router) {
    router.setDegradation(1, rules, noRules, 0);
    router.onTransaction(harness.txn(6));
    router.onTransaction(harness.txn(7, 2));
  });
  harness.describe("a trial admits a fraction of the transactions that the level below admits");
  harness.at(25, [&](Router& router) {
    router.setDegradation(1, rules, noRules, 0.25);
    for (TxnId id = 10; id < 30; ++id) router.onTransaction(harness.txn(id));
  });
  harness.describe("full service again; the level of another group was never raised");
  harness.at(2500, [&](Router& router) {
    router.setDegradation(1, noRules, noRules, 0);
    router.onTransaction(harness.txn(40));
  });
}

// --- The configuration, the log and the status document.

void configurations() {
  const auto classes = sampleClasses();
  const std::vector<std::string> names{"board", "own", "route", "report", "charge"};
  const auto read = [&](const std::string& text) {
    try {
      const auto config = degradation_service::readDegradationConfig(text, classes, names);
      std::cout << "up " << config.bounds.raiseAbove << " down " << config.bounds.lowerBelow << " stay "
                << config.bounds.minHold.inMicros() / 1000 << " ms";
      if (config.bounds.pinnedLevel)
        std::cout << ", pinned " << *config.bounds.pinnedLevel << " by " << config.pinnedBy;
      if (!config.cappedBy.empty())
        std::cout << ", cap " << config.bounds.maxLevel << " by " << config.cappedBy;
      std::cout << ", own at 2: " << nameOf(config.table[1].admission[1]) << "\n";
    } catch (const std::exception& error) { std::cout << error.what() << "\n"; }
  };
  for (
      const std::string text :
      {R"({})", R"({"up":0.5,"down":0.2,"shortest_stay_ms":8000,"pin":{"level":2,"by":"kim"}})",
       R"({"cap":{"level":1,"by":"lee"},"table":{"2":{"own":"none"},"3":{"own":"none"},"4":{"own":"none"}}})",
       R"({"up":0.2})", R"({"up":"high"})", R"({"Up":0.5})", R"({"pin":{"level":7,"by":"kim"}})",
       R"({"pin":{"level":1}})", R"({"pin":{"by":"kim"}})", R"({"pin":2})",
       R"({"table":{"2":{"own":"some"}}})", R"({"table":{"5":{"own":"none"}}})",
       R"({"table":{"1":{"rare":"none"}}})", R"({"table":{"1":{"own":"none"}}})",
       R"({"table":{"4":{"charge":"none"}}})", R"({"most_changes_a_minute":0})", R"([])", R"({"up":)"})
    read(text);
}

// A transaction table with degradation enabled, whose only node answers late.
void status() {
  // Records attempts and rejections, and does nothing else.
  struct RecordingPeer final : transactions::DownstreamHandler, transactions::UpstreamTransport {
    void onTransactionCommitted(transactions::OwnerId, const transactions::ResultValue&) override {}
    void onTransactionRejected(transactions::OwnerId, Duration, unsigned level) override {
      ++rejections[level];
    }
    void onTransactionRolledBack(transactions::OwnerId) override {}
    void startAttempt(transactions::AttemptId attempt, const NodeId& node) override {
      attempts.emplace_back(attempt, node);
    }
    void cancelAttempt(transactions::AttemptId, const NodeId&) override {}
    void onEndpointList(const std::vector<NodeId>&) override {}
    void forgetNode(const NodeId&) override {}
    std::vector<std::pair<transactions::AttemptId, NodeId>> attempts;
    std::map<unsigned, unsigned> rejections;
  } peer;
  auto classes = sampleClasses();
  RoutingConfig config = trace::defaultConfig(classes);
  config.degradationEnabled = true;
  config.healthChecksAllowed = false;
  transactions::TransactionTable transactionTable(config, 7, 1 << 20, [] {});
  transactionTable.addTransport(peer);
  std::string file = R"({"status_every_ms":1000})";
  const std::vector<std::string> names{"board", "own", "route", "report", "charge"};
  Instant now = kStart;
  degradation_service::DegradationService service(
      transactionTable, degradation_service::readDegradationConfig(file, classes, names), names, 7,
      [&] { return degradation_service::readDegradationConfig(file, classes, names); },
      [&](const std::string& line) {
        std::cout << (now - kStart).inMicros() / 1000 << " ms: " << line << "\n";
      });
  EndpointEntry entry;
  entry.node = "a";
  entry.group = 1;
  transactionTable.advanceTo(now);
  transactionTable.onEndpointList(EndpointUpdateKind::snapshot, {{entry, "x"}});
  const auto run = [&](int millis, int delay) {
    std::vector<std::pair<Instant, std::pair<transactions::AttemptId, NodeId>>> answers;
    for (int t = 0; t < millis; t += 20) {
      now = now + ms(20);
      transactionTable.advanceTo(now);
      Transaction txn;
      txn.type = 2;
      txn.group = 1;
      txn.remainingTime = ms(1200);
      transactionTable.openTransaction(peer, 1, peer, txn, {});
      txn.type = 3;
      if (t % 200 == 0) transactionTable.openTransaction(peer, 1, peer, txn, {});
      for (auto& attempt : std::exchange(peer.attempts, {})) answers.emplace_back(now + ms(delay), attempt);
      for (auto answer = answers.begin(); answer != answers.end();) {
        if (answer->first > now) {
          ++answer;
          continue;
        }
        if (transactionTable.isAnswerPending(answer->second.first.txn))
          transactionTable.commit(answer->second.first.txn, {});
        transactionTable.onAttemptEnded(answer->second.first, answer->second.second,
                                        AttemptOutcome::committed);
        answer = answers.erase(answer);
      }
      service.endTurn();
      transactionTable.endTurn();
    }
  };
  run(3000, 20);
  run(9000, 270);
  std::cout << service.status(now);
  std::cout << "rejected at once, by the level reported to the client:";
  for (const auto& [level, count] : peer.rejections) std::cout << " " << level << (count > 0 ? ": some" : "");
  std::cout << "\n";
  run(25'000, 270);
  file = R"({"pin":{"level":0,"by":"kim"}})";
  service.reloadConfig();
  run(1000, 20);
  file = R"({"pin":{"level":9,"by":"kim"}})";
  service.reloadConfig();
  run(1000, 20);
}

// --- Minutes of varying load on a simulated fleet.

fleet_model::FleetParameters fleetParameters(std::size_t routers, fleet_model::LoadShedding loadShedding,
                                             fleet_model::FaultPlan faults = {}) {
  const auto classes = sampleClasses();
  fleet_model::FleetParameters parameters;
  const double trafficShares[] = {0.30, 0.25, 0.25, 0.04, 0.16};
  for (std::size_t row = 0; row < classes.size(); ++row)
    parameters.trafficClasses.push_back({classes[row], trafficShares[row], row == 3 ? ms(200) : ms(20)});
  parameters.routers = routers;
  parameters.loadShedding = loadShedding;
  parameters.faults = faults;
  parameters.seed = 5;
  return parameters;
}

// The load at a time in seconds, as a multiple of the capacity of the fleet.
using Demand = std::function<double(double)>;
using fleet_model::LoadShedding;

fleet_model::Result simulate(std::size_t routers, LoadShedding loadShedding, double seconds,
                             const Demand& demand, fleet_model::FaultPlan faults = {}) {
  return fleet_model::Fleet(fleetParameters(routers, loadShedding, faults)).run(seconds, demand);
}

// Faults during load, each simulated with and without degradation levels.
void faultScenarios() {
  const auto constantLoad = [](double load) { return [load](double) { return load; }; };
  const Demand jump = [](double t) { return t >= 20 && t < 60 ? 2.0 : 0.5; };
  const auto compare = [](const std::string& description, std::size_t routers, const Demand& demand,
                          fleet_model::FaultPlan faults) {
    const auto withLevels = simulate(routers, LoadShedding::byLevels, 120, demand, faults);
    const auto withoutLevels = simulate(routers, LoadShedding::byModule, 120, demand, faults);
    std::cout << std::fixed << std::setprecision(2) << description << ", " << routers << ": value "
              << withLevels.value << " (without levels " << withoutLevels.value << "), worst 10 s "
              << withLevels.worstCommittedFraction << " (" << withoutLevels.worstCommittedFraction
              << "), changes " << withLevels.levelChanges << ", highest level " << withLevels.maxLevel
              << ", rejections correct " << withLevels.correctRejections << " wrong "
              << withLevels.wrongRejections << ", violations "
              << withLevels.violations.sum() + withoutLevels.violations.sum()
              << "; the first router's levels:";
    for (const auto& [second, level] : withLevels.levels) std::cout << " " << level << " at " << second;
    std::cout << "\n";
  };
  for (const std::size_t routers : {1, 4}) {
    fleet_model::FaultPlan retrying, restarted, replicationStopped, delayedReports, drained;
    retrying.maxRetriesAfterRejection = 3;
    restarted.restartAt = 40;
    replicationStopped.replicationStopsAt = 20, replicationStopped.replicationResumesAt = 80;
    delayedReports.loadReportDelay = 2;
    drained.drainAt = 30;
    compare("a jump to twice the capacity from 20 to 60 s", routers, jump, {});
    compare("the same, clients retry immediately", routers, jump, retrying);
    compare("the same, all routers restart at its peak", routers, jump, restarted);
    compare("the same, a replica is drained meanwhile", routers, jump, drained);
    compare("replication stops from 20 to 80 s at half load", routers, constantLoad(0.5), replicationStopped);
    compare("replication stops from 20 to 80 s at full load", routers, constantLoad(1), replicationStopped);
    compare("load reports delayed by 2 s at half load", routers, constantLoad(0.5), delayedReports);
  }
}

// Load that changes over time, with levels, without levels and without any load shedding.
void varyingLoad(int minutes, const std::vector<std::size_t>& routerCounts) {
  const std::map<std::string, Demand> shapes{
      {"sine", [](double t) { return 1 + 0.8 * std::sin(t * 2 * 3.14159265358979 / 40); }},
      {"square", [](double t) { return std::fmod(t, 50) < 25 ? 0.5 : 1.8; }},
      {"sawtooth", [](double t) { return 0.3 + 1.6 * std::fmod(t, 30) / 30; }},
      {"walk", [](double t) {
         double load = 1;
         std::knuth_b random(3);
         for (int i = 0; i < static_cast<int>(t / 2); ++i)
           load = std::clamp(load + (static_cast<double>(random() % 3) - 1.0) * 0.2, 0.3, 2.0);
         return load;
       }}};
  std::cout << "load shape, routers: value with levels, without levels, without shedding; "
               "changes per router and minute, maximum in a minute; highest level; violations\n";
  for (const auto& [name, demand] : shapes) {
    for (const std::size_t routers : routerCounts) {
      const auto withLevels = simulate(routers, LoadShedding::byLevels, minutes * 60, demand);
      const auto withoutLevels = simulate(routers, LoadShedding::byModule, minutes * 60, demand);
      const auto withoutShedding = simulate(routers, LoadShedding::none, minutes * 60, demand);
      std::cout << std::fixed << std::setprecision(2) << name << ", " << routers << ": " << withLevels.value
                << " " << withoutLevels.value << " " << withoutShedding.value << "; "
                << static_cast<double>(withLevels.levelChanges) / static_cast<double>(routers) / minutes
                << ", " << withLevels.maxLevelChangesPerMinute << "; " << withLevels.maxLevel << "; "
                << withLevels.violations.sum() + withoutLevels.violations.sum() +
                       withoutShedding.violations.sum()
                << "\n";
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "";
  if (name == "steps") return steps(), 0;
  if (name == "load-near-bound") return loadNearBound(), 0;
  if (name == "causes") return causes(), 0;
  if (name == "tables") return tables(), 0;
  if (name == "admission") return admission(), 0;
  if (name == "configurations") return configurations(), 0;
  if (name == "status") return status(), 0;
  if (name == "faults") return faultScenarios(), 0;
  if (name == "varying-load") {
    if (argc > 2)
      varyingLoad(std::atoi(argv[2]), {1, 4, 40});
    else
      varyingLoad(2, {1, 4});
    return 0;
  }
  return 2;
}
