// Levels of reduced service: as a decision by itself, as the module takes them, and over minutes of swinging
// load on a small modelled group. Run as `levels CASE [MINUTES]`: prints what was found.
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

// --- The decision by itself.

class Steps {
 public:
  explicit Steps(Bounds bounds = {}) : levels_(bounds, 7) {}
  DegradationController& levels() { return levels_; }
  Instant now = kStart;

  // For so many ms, `each` is called every 50 ms; changes are printed.
  void run(std::int64_t millis, std::function<void(Instant, int)> each) {
    for (std::int64_t t = 0; t < millis; t += 50) {
      now = now + ms(50);
      each(now, step_++);
      for (const Change& change : levels_.decide(now)) {
        ++changes;
        if (!quiet)
          std::cout << (now - kStart).inMicros() / 1000 << " ms: group " << change.group << " " << change.from
                    << " > " << change.to << " (" << nameOf(change.cause) << ", wait " << std::setprecision(2)
                    << change.wait << " over " << change.txns << ")\n";
      }
    }
  }
  void say(const std::string& text) { std::cout << "-- " << text << "\n"; }
  // Four txns a step that took this share of their latency target.
  std::function<void(Instant, int)> load(double share, GroupId group = 1) {
    return [this, share, group](Instant at, int) {
      for (int i = 0; i < 4; ++i) levels_.recordAnswer(at, group, 0, share);
    };
  }
  bool quiet = false;
  unsigned changes = 0;

 private:
  DegradationController levels_;
  int step_ = 0;
};

void steps() {
  Steps s;
  s.say("calm, then a queue that stands: one step at a time, each after its stay");
  s.run(3000, s.load(0.1));
  s.run(30000, s.load(0.9));
  s.say("calm again: down by trials, one step at a time");
  s.run(60000, s.load(0.1));
  s.say("a burst: some wait, a quarter do not");
  Steps burst;
  burst.run(20000, [&](Instant at, int) {
    for (int i = 0; i < 4; ++i) burst.levels().recordAnswer(at, 1, 0, i < 2 ? 0.1 : 3);
  });
  std::cout << burst.changes << " changes\n";
  s.say("a trial that fails: what was let in waits");
  Steps trial;
  trial.run(3000, trial.load(0.9));
  trial.run(40000, [&](Instant at, int) {
    for (int i = 0; i < 4; ++i)
      trial.levels().recordAnswer(at, 1, 0, trial.levels().stateOf(1).trialFraction > 0 ? 0.5 : 0.1);
  });
  std::cout << "level " << trial.levels().stateOf(1).level << "\n";
}

void hovers() {
  Steps s;
  s.say("ten minutes at a boundary");
  s.run(600'000, [&](Instant at, int n) {
    for (int i = 0; i < 4; ++i) s.levels().recordAnswer(at, 1, 0, n / 20 % 2 ? 0.65 : 0.55);
  });
  std::cout << s.changes << " changes\n";
  Steps saw;
  saw.say("a sawtooth with the period of the shortest stay, for ten minutes");
  saw.quiet = true;
  unsigned most = 0;
  for (int minute = 0; minute < 10; ++minute) {
    const unsigned before = saw.changes;
    saw.run(60'000, [&](Instant at, int n) {
      for (int i = 0; i < 4; ++i) saw.levels().recordAnswer(at, 1, 0, n % 100 / 100.0 * 1.2);
    });
    most = std::max(most, saw.changes - before);
  }
  std::cout << saw.changes << " changes, " << most << " in a minute at most\n";
  Steps square;
  square.say("calm and overload in turn, 12 s each: as often as it may change, then it stays the higher");
  square.run(240'000, [&](Instant at, int n) {
    for (int i = 0; i < 4; ++i) square.levels().recordAnswer(at, 1, 0, n / 240 % 2 ? 0.05 : 1.5);
  });
}

void causes() {
  Steps s;
  s.say("one group of three is overloaded: only that one is reduced");
  s.run(8000, [&](Instant at, int) {
    for (GroupId group = 1; group <= 3; ++group)
      for (int i = 0; i < 4; ++i) s.levels().recordAnswer(at, group, 0, group == 2 ? 1.2 : 0.1);
  });
  std::cout << s.levels().stateOf(1).level << s.levels().stateOf(2).level << s.levels().stateOf(3).level
            << s.levels().stateOf(9).level << "\n";
  Steps hang;
  hang.say("nodes that answer nothing raise no level, and keep none from falling");
  hang.run(30'000, [&](Instant at, int) { hang.levels().recordAbandoned(at, 1, 0, 2); });
  hang.run(3000, hang.load(0.9));
  hang.run(5000, [&](Instant at, int) { hang.levels().recordAbandoned(at, 1, 0, 2); });
  hang.run(30'000, hang.load(0.1));
  Steps storm;
  storm.say("clients that come again at once: what is refused tells nothing, up or down");
  storm.run(3000, storm.load(0.9));
  storm.run(20'000, [&](Instant at, int) {
    for (int i = 0; i < 400; ++i) storm.levels().recordAbandoned(at, 1, 0, 0);
    for (int i = 0; i < 4; ++i) storm.levels().recordAnswer(at, 1, 0, 0.9);
  });
  storm.run(60'000, [&](Instant at, int) {
    for (int i = 0; i < 400; ++i) storm.levels().recordAbandoned(at, 1, 0, 0);
    for (int i = 0; i < 4; ++i) storm.levels().recordAnswer(at, 1, 0, 0.1);
  });
  Steps still;
  still.say("this router stood still: what it measured by that is left out");
  for (int i = 0; i < 10; ++i) {
    still.run(1000, still.load(0.1));
    for (int n = 0; n < 40; ++n) still.levels().recordAnswer(still.now, 1, 0, 3);
    still.levels().onProcessStalled(still.now);
  }
  std::cout << still.changes << " changes\n";
  Steps named;
  named.say("clients name groups that nobody serves: none is kept");
  named.run(50, named.load(0.1));
  for (GroupId group = 2; group < 20'000; ++group) named.levels().recordAbandoned(named.now, group, 0, 2);
  named.run(1000, named.load(0.1));
  std::cout << named.levels().states().size() << " group\n";
  Steps pinned;
  pinned.say("an operator pins, caps, lets go");
  Bounds bounds;
  bounds.pinnedLevel = 2;
  pinned.levels().setBounds(bounds);
  pinned.run(2000, pinned.load(0.1));
  bounds.pinnedLevel.reset();
  bounds.maxLevel = 1;
  pinned.levels().setBounds(bounds);
  pinned.run(20'000, pinned.load(2));
  pinned.levels().setBounds({});
  pinned.run(7000, pinned.load(2));
  Steps full;
  full.say(
      "this router's own limits are nearly taken: a group whose txns wait a little is reduced, an idle one "
      "not");
  full.levels().setOwnUtilization(0.9);
  full.run(3000, [&](Instant at, int) {
    for (int i = 0; i < 4; ++i)
      full.levels().recordAnswer(at, 1, 0, 0.4), full.levels().recordAnswer(at, 2, 0, 0.05);
  });
  Steps quiet;
  quiet.say("nobody asks any more: the level goes");
  quiet.run(9000, quiet.load(0.9));
  quiet.run(60'000, [](Instant, int) {});
}

std::vector<TransactionClass> hanulTypes() {
  const auto made = [](ReadLevel level, std::int64_t sla, std::int64_t deadline, double value,
                       Effect effect) {
    TransactionClass type = trace::transactionClass(level, effect);
    type.latencyTarget = ms(sla);
    type.deadline = ms(deadline);
    type.priorityWeight = value;
    type.maxStaleness = ms(3000);
    return type;
  };
  return {made(ReadLevel::bounded, 300, 750, 1, Effect::idempotent),
          made(ReadLevel::session, 400, 1000, 1, Effect::idempotent),
          made(ReadLevel::any, 300, 1200, 2, Effect::idempotent),
          made(ReadLevel::any, 3000, 6000, 6, Effect::idempotent),
          made(ReadLevel::write, 400, 5000, 3, Effect::atMostOnce)};
}

void tables() {
  const auto types = hanulTypes();
  const AdmissionTable table = defaultAdmissionTable(types);
  for (std::size_t at = 0; at < table.size(); ++at) {
    std::cout << "level " << at + 1 << (table[at].limitsBackgroundWork ? ", sparing:" : ":");
    for (const AdmissionPolicy admit : table[at].admission) std::cout << " " << nameOf(admit);
    std::cout << "\n";
  }
  const auto tried = [&](AdmissionTable wrong, const std::string& what) {
    try {
      validate(wrong, types);
      std::cout << what << ": taken\n";
    } catch (const InvalidAdmissionTable& bad) { std::cout << what << ": " << bad.what() << "\n"; }
  };
  tried(table, "the default");
  AdmissionTable wrong = table;
  wrong[2].admission[3] = AdmissionPolicy::all;
  tried(wrong, "a higher level that lets in more");
  wrong = table;
  wrong[3].admission[4] = AdmissionPolicy::withSpareCapacity;
  tried(wrong, "a write that may not run twice");
  wrong = table;
  wrong[0].admission.pop_back();
  tried(wrong, "a row that is short");
}

// --- As the module takes them.

void taken() {
  using namespace trace;
  RoutingConfig terms = defaultConfig({transactionClass(ReadLevel::any), transactionClass(ReadLevel::session),
                                       transactionClass(ReadLevel::write, Effect::atMostOnce)});
  terms.degradationEnabled = true;
  RouterHarness b(terms);
  b.hidesHealthChecks = true;
  DegradationRules none, row;
  b.at(0, [&](Router& r) {
    r.onEndpointList(EndpointUpdateKind::snapshot, {b.entry("p", true), b.entry("a"), b.entry("b")});
    r.onTransaction(b.txn(1));
  });
  b.at(5, [&](Router& r) {
    r.onAttemptEnded(1, 0, b.nodeOf(1), AttemptOutcome::committed, true, ms(5),
                     b.loadReport(Role::replica, 0), {});
  });
  b.describe(
      "ready: a session read is refused at once where no replica is known to have what it must see, and is "
      "never given older data; writes and the others are let in");
  row.admission = {AdmissionPolicy::all, AdmissionPolicy::withReadyReplica, AdmissionPolicy::all};
  row.limitsBackgroundWork = true;
  b.at(10, [&](Router& r) {
    r.setDegradation(1, row, none, 0);
    r.onTransaction(b.sessionRead(2, 1, 2));
    r.onTransaction(b.txn(3, 2));
    r.onTransaction(b.txn(4));
  });
  b.describe("one that a replica can answer is let in");
  b.at(15, [&](Router& r) { r.onTransaction(b.sessionRead(5, 1, 100)); });
  b.describe("none: refused at once; what was taken before stays");
  b.describe("spare: not where half of the room is taken");
  row.admission = {AdmissionPolicy::withSpareCapacity, AdmissionPolicy::withReadyReplica,
                   AdmissionPolicy::all};
  b.at(17, [&](Router& r) {
    r.setDegradation(1, row, none, 0);
    for (TxnId id = 50; id < 55; ++id) r.onTransaction(b.txn(id));
  });
  row.admission = {AdmissionPolicy::none, AdmissionPolicy::none, AdmissionPolicy::all};
  b.at(20, [&](Router& r) {
    r.setDegradation(1, row, none, 0);
    r.onTransaction(b.txn(6));
    r.onTransaction(b.txn(7, 2));
  });
  b.describe("a trial lets in a part of what the level below would");
  b.at(25, [&](Router& r) {
    r.setDegradation(1, row, none, 0.25);
    for (TxnId id = 10; id < 30; ++id) r.onTransaction(b.txn(id));
  });
  b.describe("full service again; another group was never reduced");
  b.at(2500, [&](Router& r) {
    r.setDegradation(1, none, none, 0);
    r.onTransaction(b.txn(40));
  });
}

// --- The configuration, and what operators see.

void configurations() {
  const auto types = hanulTypes();
  const std::vector<std::string> names{"board", "own", "route", "report", "charge"};
  const auto read = [&](const std::string& text) {
    try {
      const auto setup = degradation_service::readDegradationConfig(text, types, names);
      std::cout << "up " << setup.bounds.raiseAbove << " down " << setup.bounds.lowerBelow << " stay "
                << setup.bounds.minHold.inMicros() / 1000 << " ms";
      if (setup.bounds.pinnedLevel)
        std::cout << ", pinned " << *setup.bounds.pinnedLevel << " by " << setup.pinnedBy;
      if (!setup.cappedBy.empty()) std::cout << ", cap " << setup.bounds.maxLevel << " by " << setup.cappedBy;
      std::cout << ", own at 2: " << nameOf(setup.table[1].admission[1]) << "\n";
    } catch (const std::exception& bad) { std::cout << bad.what() << "\n"; }
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

// A ledger with levels on it, whose one node answers late.
void seen() {
  struct Nobody final : transactions::DownstreamHandler, transactions::UpstreamTransport {
    void committed(transactions::OwnerId, const transactions::ResultValue&) override {}
    void rejected(transactions::OwnerId, Duration, unsigned level) override { ++refusals[level]; }
    void rolledBack(transactions::OwnerId) override {}
    void startAttempt(transactions::AttemptId job, const NodeId& node) override {
      jobs.emplace_back(job, node);
    }
    void cancelAttempt(transactions::AttemptId, const NodeId&) override {}
    void onEndpointList(const std::vector<NodeId>&) override {}
    void forgetNode(const NodeId&) override {}
    std::vector<std::pair<transactions::AttemptId, NodeId>> jobs;
    std::map<unsigned, unsigned> refusals;
  } nobody;
  auto types = hanulTypes();
  RoutingConfig terms = trace::defaultConfig(types);
  terms.degradationEnabled = true;
  terms.healthChecksAllowed = false;
  transactions::TransactionTable ledger(terms, 7, 1 << 20, [] {});
  ledger.addTransport(nobody);
  std::string file = R"({"status_every_ms":1000})";
  const std::vector<std::string> names{"board", "own", "route", "report", "charge"};
  Instant now = kStart;
  degradation_service::DegradationService part(
      ledger, degradation_service::readDegradationConfig(file, types, names), names, 7,
      [&] { return degradation_service::readDegradationConfig(file, types, names); },
      [&](const std::string& line) {
        std::cout << (now - kStart).inMicros() / 1000 << " ms: " << line << "\n";
      });
  EndpointEntry entry;
  entry.node = "a";
  entry.group = 1;
  ledger.advanceTo(now);
  ledger.onEndpointList(EndpointUpdateKind::snapshot, {{entry, "x"}});
  const auto run = [&](int millis, int late) {
    std::vector<std::pair<Instant, std::pair<transactions::AttemptId, NodeId>>> out;
    for (int t = 0; t < millis; t += 20) {
      now = now + ms(20);
      ledger.advanceTo(now);
      Transaction txn;
      txn.type = 2;
      txn.group = 1;
      txn.remainingTime = ms(1200);
      ledger.openTransaction(nobody, 1, nobody, txn, {});
      txn.type = 3;
      if (t % 200 == 0) ledger.openTransaction(nobody, 1, nobody, txn, {});
      for (auto& job : std::exchange(nobody.jobs, {})) out.emplace_back(now + ms(late), job);
      for (auto at = out.begin(); at != out.end();) {
        if (at->first > now) {
          ++at;
          continue;
        }
        if (ledger.isAnswerPending(at->second.first.txn)) ledger.commit(at->second.first.txn, {});
        ledger.onAttemptEnded(at->second.first, at->second.second, AttemptOutcome::committed);
        at = out.erase(at);
      }
      part.endTurn();
      ledger.endTurn();
    }
  };
  run(3000, 20);
  run(9000, 270);
  std::cout << part.status(now);
  std::cout << "refused at once, by the level that was told:";
  for (const auto& [level, count] : nobody.refusals) std::cout << " " << level << (count > 0 ? ": some" : "");
  std::cout << "\n";
  run(25'000, 270);
  file = R"({"pin":{"level":0,"by":"kim"}})";
  part.reloadConfig();
  run(1000, 20);
  file = R"({"pin":{"level":9,"by":"kim"}})";
  part.reloadConfig();
  run(1000, 20);
}

// --- Minutes of swinging load on a modelled group.

fleet_model::FleetParameters sheet(std::size_t routers, fleet_model::LoadShedding refusing,
                                   fleet_model::FaultPlan trouble = {}) {
  const auto types = hanulTypes();
  fleet_model::FleetParameters made;
  const double shares[] = {0.30, 0.25, 0.25, 0.04, 0.16};
  for (std::size_t row = 0; row < types.size(); ++row)
    made.trafficClasses.push_back({types[row], shares[row], row == 3 ? ms(200) : ms(20)});
  made.routers = routers;
  made.loadShedding = refusing;
  made.faults = trouble;
  made.seed = 5;
  return made;
}

using Demand = std::function<double(double)>;
using fleet_model::LoadShedding;

fleet_model::Result play(std::size_t routers, LoadShedding refusing, double seconds, const Demand& demand,
                         fleet_model::FaultPlan trouble = {}) {
  return fleet_model::Fleet(sheet(routers, refusing, trouble)).run(seconds, demand);
}

// Troubles beside the load, each with levels and as before.
void troubles() {
  const auto flat = [](double at) { return [at](double) { return at; }; };
  const Demand jump = [](double t) { return t >= 20 && t < 60 ? 2.0 : 0.5; };
  const auto tell = [](const std::string& what, std::size_t routers, const Demand& demand,
                       fleet_model::FaultPlan trouble) {
    const auto with = play(routers, LoadShedding::byLevels, 120, demand, trouble);
    const auto before = play(routers, LoadShedding::byModule, 120, demand, trouble);
    std::cout << std::fixed << std::setprecision(2) << what << ", " << routers << ": value " << with.value
              << " (before " << before.value << "), worst 10 s " << with.worstCommittedFraction << " ("
              << before.worstCommittedFraction << "), changes " << with.levelChanges << ", highest level "
              << with.maxLevel << ", refusals right " << with.correctRejections << " wrong "
              << with.wrongRejections << ", rules broken " << with.violations.sum() + before.violations.sum()
              << "; the first router's levels:";
    for (const auto& [second, level] : with.levels) std::cout << " " << level << " at " << second;
    std::cout << "\n";
  };
  for (const std::size_t routers : {1, 4}) {
    fleet_model::FaultPlan again, restarted, behind, late, drained;
    again.maxRetriesAfterRejection = 3;
    restarted.restartAt = 40;
    behind.replicationStopsAt = 20, behind.replicationResumesAt = 80;
    late.loadReportDelay = 2;
    drained.drainAt = 30;
    tell("a jump to twice the capacity from 20 to 60 s", routers, jump, {});
    tell("the same, clients come again at once", routers, jump, again);
    tell("the same, all routers start anew at its height", routers, jump, restarted);
    tell("the same, a replica drains in it", routers, jump, drained);
    tell("replicas stand still from 20 to 80 s at half load", routers, flat(0.5), behind);
    tell("replicas stand still from 20 to 80 s at full load", routers, flat(1), behind);
    tell("news late by 2 s at half load", routers, flat(0.5), late);
  }
}

void swinging(int minutes, const std::vector<std::size_t>& sizes) {
  const std::map<std::string, Demand> shapes{
      {"sine", [](double t) { return 1 + 0.8 * std::sin(t * 2 * 3.14159265358979 / 40); }},
      {"square", [](double t) { return std::fmod(t, 50) < 25 ? 0.5 : 1.8; }},
      {"sawtooth", [](double t) { return 0.3 + 1.6 * std::fmod(t, 30) / 30; }},
      {"walk", [](double t) {
         double at = 1;
         std::knuth_b steps(3);
         for (int i = 0; i < static_cast<int>(t / 2); ++i)
           at = std::clamp(at + (static_cast<double>(steps() % 3) - 1.0) * 0.2, 0.3, 2.0);
         return at;
       }}};
  std::cout
      << "shape, routers: value with levels, as before, with none; changes a router and minute, most in "
         "one; highest level; rules broken\n";
  for (const auto& [name, demand] : shapes) {
    for (const std::size_t routers : sizes) {
      const auto with = play(routers, LoadShedding::byLevels, minutes * 60, demand);
      const auto before = play(routers, LoadShedding::byModule, minutes * 60, demand);
      const auto none = play(routers, LoadShedding::nobody, minutes * 60, demand);
      std::cout << std::fixed << std::setprecision(2) << name << ", " << routers << ": " << with.value << " "
                << before.value << " " << none.value << "; "
                << static_cast<double>(with.levelChanges) / static_cast<double>(routers) / minutes << ", "
                << with.maxLevelChangesPerMinute << "; " << with.maxLevel << "; "
                << with.violations.sum() + before.violations.sum() + none.violations.sum() << "\n";
    }
  }
}

}  // namespace

int main(int count, char** words) {
  const std::string name = count > 1 ? words[1] : "";
  if (name == "steps") return steps(), 0;
  if (name == "hovers") return hovers(), 0;
  if (name == "causes") return causes(), 0;
  if (name == "tables") return tables(), 0;
  if (name == "taken") return taken(), 0;
  if (name == "configurations") return configurations(), 0;
  if (name == "seen") return seen(), 0;
  if (name == "troubles") return troubles(), 0;
  if (name == "swinging") {
    if (count > 2)
      swinging(std::atoi(words[2]), {1, 4, 40});
    else
      swinging(2, {1, 4});
    return 0;
  }
  return 2;
}
