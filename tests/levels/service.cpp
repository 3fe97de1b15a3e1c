// The effect of the rules on the router, the configuration, the log and the status document.
#include <cmath>
#include <iostream>
#include <utility>

#include "degradation_service/degradation_service.h"
#include "levels/cases.h"
#include "levels/setup.h"
#include "transactions/transaction_table.h"

namespace gulltrestle::levels_test {

using namespace gulltrestle::degradation;

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

}  // namespace gulltrestle::levels_test
