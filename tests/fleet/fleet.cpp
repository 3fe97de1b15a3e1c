// Runs a fleet of real processes through power losses, cut links, stopped processes and damaged disks. Each
// fault is injected at a point chosen by what happened before it. Run as `fleet CASE [SEEDS [FROM]]`, or as
// `fleet fault KIND SEED` for a single run. Lines that are the same on every run are printed to standard
// output; counts and durations differ and go to standard error.
#include <algorithm>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>

#include "cases.h"
#include "rig.h"

using namespace gulltrestle;
using namespace gulltrestle::fleet;

namespace {

enum class FaultKind {
  powerAll,
  powerAllButOne,
  powerInSequence,
  powerAgainWhileStarting,
  powerBetweenRunAndAnswer,
  answersLost,
  stoppedThroughPowerLoss,
  onePairCut,
  outgoingBlocked,
  incomingBlocked,
  partition,
  oneRouterLeft,
  voterNeverReturns,
  diskLost,
  diskOfOtherVoter,
  storeDamaged,
  outdatedListAfterDrain,
  powerAllAndNode,
  powerOfNode
};
constexpr const char* kFaultNames[] = {"power loss at all routers",
                                       "power loss at all routers but one",
                                       "power loss at one router after another",
                                       "another power loss during startup",
                                       "power loss between execution and answer",
                                       "answers lost and a router killed",
                                       "one router stopped during a power loss",
                                       "link between two routers cut",
                                       "outgoing messages of one router blocked",
                                       "incoming messages of one router blocked",
                                       "network partition",
                                       "only one router left",
                                       "a voter never returns while the others serve",
                                       "a voter's disk lost",
                                       "a voter started on another voter's disk",
                                       "a voter's store damaged",
                                       "a drained node and an outdated endpoint list after the power loss",
                                       "power loss at all routers and the node",
                                       "power loss at the node"};
constexpr int kFaultKinds = 19;

// For how long clients repeat an id: must fit into the retention time, 4 s in this fleet, together with their
// deadline of 1 s.
constexpr Duration kRetryDuration = Duration::millis(2500);

struct Totals {
  std::uint64_t requests = 0, committed = 0, refused = 0, rolledBack = 0, none = 0, ran = 0, losses = 0;
};

class FaultScenario : private Scenario {
 public:
  FaultScenario(std::uint64_t seed, FaultKind faultKind, FleetOptions options, Totals& totals)
      : fleet_(loop_, seed, options),
        faultKind_(faultKind),
        usesVoters_(options.usesVoters),
        totals_(totals) {}

  std::string play(int rounds) {
    loop_.spawn(scenario(rounds));
    for (int client = 0; client < 6; ++client) loop_.spawn(runClient(client));
    run();
    if (!fault_.empty()) fleet_.keepFiles();
    for (std::size_t index = 0; index < fleet_.requestCount(); ++index) {
      const ClientRequest& clientRequest = fleet_.clientRequest(index);
      ++totals_.requests;
      ++(clientRequest.outcome == FinalOutcome::committed    ? totals_.committed
         : clientRequest.outcome == FinalOutcome::refused    ? totals_.refused
         : clientRequest.outcome == FinalOutcome::rolledBack ? totals_.rolledBack
                                                             : totals_.none);
    }
    totals_.ran += fleet_.writeCount();
    return fault_;
  }
  std::string path() const { return fleet_.path(); }

 private:
  // The routers at which the fault is injected, drawn for each round.
  struct Placement {
    std::size_t router = 0, voter = 0;
    std::vector<std::size_t> order, others;  // all routers, shuffled; and without `router`
  };

  event_loop::Task runClient(int client) {
    while (!isEnding_) {
      const bool isRetry = !ids_.empty() && fleet_.pick(3) > 0;
      if (!isRetry)
        ids_.push_back({"c" + std::to_string(client) + "n" + std::to_string(ids_.size()), loop_.now()});
      // Repeats one of the last eight ids, or any that a client may still repeat.
      std::size_t first = ids_.size() - 1;
      while (first > 0 && loop_.now() - ids_[first - 1].second < kRetryDuration) --first;
      const std::size_t candidateCount =
          std::min<std::size_t>(ids_.size() - first, fleet_.pick(2) ? 8 : ids_.size());
      const std::string id = ids_[ids_.size() - 1 - (isRetry ? fleet_.pick(candidateCount) : 0)].first;
      const std::size_t index = fleet_.sendRequest(fleet_.pick(fleet_.routers()), id);
      // A stopped router answers after it is resumed; its client sends to another router meanwhile.
      while (!fleet_.clientRequest(index).isOver && fleet_.isUp(fleet_.clientRequest(index).router))
        co_await tick();
      const bool isUnanswered = fleet_.clientRequest(index).outcome == FinalOutcome::none;
      co_await loop_.sleepUntil(loop_.now() + (isUnanswered ? kTick * 5 : kTick));
    }
  }

  // Each round: some writes, then the fault, then all routers serve again.
  event_loop::Task scenario(int rounds) {
    fleet_.startAll();
    for (int round = 0; round <= rounds && fault_.empty(); ++round) {
      beginStep(awaitAllServing());
      while (!isStepOver_) co_await tick();
      if (round == rounds || !fault_.empty()) break;
      const std::uint64_t writes = fleet_.writeCount() + 1 + fleet_.pick(25);
      for (const Instant until = deadline(); !isDone(fleet_.writeCount() >= writes, until, "writes");)
        co_await tick();
      const Placement placement = choosePlacement();
      if (!injectImmediately(placement)) {
        beginStep(injectGradually(placement));
        while (!isStepOver_) co_await tick();
      }
      // Requests continue while the fault lasts.
      const std::size_t requests = fleet_.requestCount() + 12 + fleet_.pick(12);
      for (const Instant until = deadline(); !hasRequests(requests, until);) co_await tick();
      checkDuringFault();
      beginStep(bringBack(placement));
      while (!isStepOver_) co_await tick();
    }
    isEnding_ = true;
    for (const Instant until = deadline();
         !isDone(fleet_.openRequestCount() == 0, until, "the last answers");)
      co_await tick();
    if (fault_.empty()) fault_ = fleet_.findViolation();
    loop_.stop();
  }

  // --- Steps
  bool hasRequests(std::size_t count, Instant until) {
    return isDone(fleet_.requestCount() >= count, until, "requests");
  }

  // Each router commits a new transaction.
  event_loop::Task awaitAllServing() {
    std::set<std::size_t> serving = absentRouters_;
    const Instant until = deadline();
    for (std::size_t i = 0; !isDone(serving.size() == fleet_.routers(), until, "all routers to serve again");
         i = (i + 1) % fleet_.routers()) {
      if (serving.contains(i)) continue;
      const std::size_t index = fleet_.sendRequest(i, "new" + std::to_string(++probeCount_));
      while (!fleet_.clientRequest(index).isOver) co_await tick();
      if (fleet_.clientRequest(index).outcome == FinalOutcome::committed) serving.insert(i);
      if (const std::string crashed = fleet_.crashedRouter(); !crashed.empty()) fail(crashed);
      co_await tick();
    }
    endStep();
  }

  // Restarts the routers in random order, some of them after the others serve.
  event_loop::Task bringBack(Placement placement) {
    fleet_.setAllFlows(Flow::open);
    fleet_.startNode();
    const std::size_t lateCount = fleet_.pick(3);
    for (std::size_t n = 0; n < placement.order.size(); ++n) {
      const std::size_t router = placement.order[n];
      if (absentRouters_.contains(router) || n + lateCount >= placement.order.size()) continue;
      fleet_.start(router);
      const std::size_t requests = fleet_.requestCount() + fleet_.pick(4);
      for (const Instant until = deadline(); !hasRequests(requests, until);) co_await tick();
    }
    for (const std::size_t router : placement.order) fleet_.resume(router);
    for (const std::size_t router : placement.order)
      if (!absentRouters_.contains(router)) fleet_.start(router);
    endStep();
  }

  void checkDuringFault() {
    // Transactions admitted before the power loss may still run.
    if (faultKind_ == FaultKind::oneRouterLeft && usesVoters_)
      for (std::size_t n = idsAtLoss_; n < ids_.size(); ++n)
        if (fleet_.runCount(ids_[n].first) > 0) fail("a minority ran a txn");
    if (faultKind_ != FaultKind::outdatedListAfterDrain) return;
    if (fleet_.writeCount() != writesAtDrain_) fail("a txn was sent to a drained node");
    fleet_.publishList(listVersion_ += 2, "up");
  }

  // --- The fault
  Placement choosePlacement() {
    Placement placement;
    placement.router = fleet_.pick(fleet_.routers());
    placement.voter = fleet_.pick(fleet_.voters());
    for (std::size_t i = 0; i < fleet_.routers(); ++i) placement.order.push_back(i);
    std::shuffle(placement.order.begin(), placement.order.end(), fleet_.random);
    for (const std::size_t i : placement.order)
      if (i != placement.router) placement.others.push_back(i);
    return placement;
  }

  // False: the fault has to wait for events; see injectGradually().
  bool injectImmediately(const Placement& placement) {
    switch (faultKind_) {
      case FaultKind::powerAll:
        losePower(placement.order);
        return true;
      case FaultKind::powerAllButOne:
      case FaultKind::oneRouterLeft:
        losePower(placement.others);
        return true;
      case FaultKind::stoppedThroughPowerLoss:
        fleet_.stop(placement.router);
        losePower(placement.others);
        return true;
      case FaultKind::powerAllAndNode:
        losePower(placement.order);
        fleet_.losePowerOfNode();
        return true;
      case FaultKind::powerOfNode:
        fleet_.losePowerOfNode();
        return true;
      case FaultKind::voterNeverReturns:
        losePower({placement.voter});
        absentRouters_ = {placement.voter};
        return true;
      case FaultKind::onePairCut:
      case FaultKind::outgoingBlocked:
      case FaultKind::incomingBlocked:
      case FaultKind::partition:
        breakLinks(placement);
        return true;
      case FaultKind::diskLost:
      case FaultKind::diskOfOtherVoter:
      case FaultKind::storeDamaged:
        damageDisk(placement.voter);
        return true;
      default:
        return false;
    }
  }
  void breakLinks(const Placement& placement) {
    const std::size_t router = placement.router, voters = fleet_.voters();
    if (faultKind_ == FaultKind::partition) {
      for (std::size_t i = 0; i < fleet_.routers(); ++i)
        for (std::size_t k = 0; k < voters; ++k)
          if ((i < voters ? i == 0 : i % 2 == 1) != (k == 0)) fleet_.setFlow(i, k, Flow::cut);
    } else if (faultKind_ == FaultKind::onePairCut) {
      if (router < voters) fleet_.setFlow((router + 1) % voters, router, Flow::cut);
      fleet_.setFlow(router, router < voters ? (router + 1) % voters : placement.voter, Flow::cut);
    } else {
      const bool isOutgoing = faultKind_ == FaultKind::outgoingBlocked;
      for (std::size_t k = 0; k < voters; ++k)
        fleet_.setFlow(router, k, isOutgoing ? Flow::blockedToVoter : Flow::blockedFromVoter);
    }
  }
  void damageDisk(std::size_t voter) {
    if (faultKind_ == FaultKind::diskOfOtherVoter) return startOnDiskOfOtherVoter(voter);
    fleet_.kill(voter);
    if (faultKind_ == FaultKind::storeDamaged)
      return overwriteParts(fleet_.storeFolder(voter) + "/claims.db");
    std::filesystem::remove_all(fleet_.storeFolder(voter));
    std::filesystem::create_directory(fleet_.storeFolder(voter));
  }
  void startOnDiskOfOtherVoter(std::size_t voter) {
    const std::size_t other = (voter + 1) % fleet_.voters();
    losePower({voter, other});
    swapFolders(voter, other);
    for (const std::size_t i : {voter, other}) {
      fleet_.start(i);
      if (fleet_.exitCode(i) != 1 || fleet_.log(i).find("belongs to the voting member") == std::string::npos)
        fail("started on the disk of another voter");
    }
    swapFolders(voter, other);
  }

  event_loop::Task injectGradually(const Placement& placement) {
    switch (faultKind_) {
      case FaultKind::powerInSequence:
        return losePowerInSequence(placement);
      case FaultKind::powerAgainWhileStarting:
        return losePowerWhileStarting(placement);
      case FaultKind::powerBetweenRunAndAnswer:
        return losePowerBetweenRunAndAnswer(placement);
      case FaultKind::answersLost:
        return dropNodeAnswers(placement);
      default:
        return drainAndPublishOldList(placement);
    }
  }
  event_loop::Task losePowerInSequence(Placement placement) {
    for (const std::size_t router : placement.order) {
      losePower({router});
      const std::size_t requests = fleet_.requestCount() + fleet_.pick(6);
      for (const Instant until = deadline(); !hasRequests(requests, until);) co_await tick();
    }
    endStep();
  }
  event_loop::Task losePowerWhileStarting(Placement placement) {
    losePower(placement.order);
    // Power loss once one voter has opened its store, then once it has reached another voter. The others may
    // or may not have got as far.
    for (const char* event : {"store.opened", "peers.voter_reachable"}) {
      const std::size_t logged = fleet_.log(placement.voter).size();
      for (const std::size_t router : placement.order) fleet_.start(router);
      const Instant until = deadline();
      while (!isDone(fleet_.log(placement.voter).find(event, logged) != std::string::npos, until, event))
        co_await tick();
      losePower(placement.order);
    }
    endStep();
  }
  event_loop::Task losePowerBetweenRunAndAnswer(Placement placement) {
    bool isPowerLost = false;
    fleet_.node().onWrite = [&](const std::string&) {
      if (!std::exchange(isPowerLost, true)) losePower(placement.order);
    };
    for (const Instant until = deadline(); !isDone(isPowerLost, until, "a write");) co_await tick();
    fleet_.node().onWrite = nullptr;
    endStep();
  }
  event_loop::Task dropNodeAnswers(Placement placement) {
    fleet_.node().dropAnswers = true;
    const std::uint64_t writes = fleet_.writeCount() + 5;
    for (const Instant until = deadline(); !isDone(fleet_.writeCount() >= writes, until, "writes");)
      co_await tick();
    fleet_.kill(placement.router);
    fleet_.node().dropAnswers = false;
    endStep();
  }
  event_loop::Task drainAndPublishOldList(Placement placement) {
    fleet_.publishList(++listVersion_, "draining");
    const std::string line = "list version " + std::to_string(listVersion_) + ":";
    for (const std::size_t router : placement.order)
      for (const Instant until = deadline();
           !isDone(fleet_.log(router).find(line) != std::string::npos, until, "the drain");)
        co_await tick();
    // Votes granted after the drain are stored after it, so the drain is on disk as well.
    const std::size_t requests = fleet_.requestCount() + 40;
    for (const Instant until = deadline(); !hasRequests(requests, until);) co_await tick();
    losePower(placement.order);
    fleet_.publishList(listVersion_ - 1, "up");
    fleet_.startAll();
    for (std::size_t voter = 0; usesVoters_ && voter < fleet_.voters(); ++voter) {
      const std::size_t from = fleet_.log(voter).rfind("store.opened");
      const Instant until = deadline();
      while (!isDone(fleet_.log(voter).find("state=votes", from) != std::string::npos, until,
                     "voters that vote"))
        co_await tick();
    }
    writesAtDrain_ = fleet_.writeCount();
    endStep();
  }

  void losePower(const std::vector<std::size_t>& routers) {
    ++totals_.losses;
    fleet_.losePower(routers);
    idsAtLoss_ = ids_.size();
  }
  void swapFolders(std::size_t a, std::size_t b) const {
    std::filesystem::rename(fleet_.storeFolder(a), fleet_.path() + "/swap");
    std::filesystem::rename(fleet_.storeFolder(b), fleet_.storeFolder(a));
    std::filesystem::rename(fleet_.path() + "/swap", fleet_.storeFolder(b));
  }
  static void overwriteParts(const std::string& path) {
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    for (std::streamoff at = 4000; at < static_cast<std::streamoff>(std::filesystem::file_size(path));
         at += 512) {
      file.seekp(at);
      file << "no longer what was written here";
    }
  }

  TestFleet fleet_;
  FaultKind faultKind_;
  bool usesVoters_;
  Totals& totals_;
  std::vector<std::pair<std::string, Instant>> ids_;  // with the time of the first request
  std::set<std::size_t> absentRouters_;               // routers that never return
  std::uint64_t probeCount_ = 0, listVersion_ = 1;
  std::uint64_t writesAtDrain_ = 0;  // once the routers serve with the outdated list
  std::size_t idsAtLoss_ = 0;        // number of ids requested before the last power loss
  bool isEnding_ = false;
};

FleetOptions optionsForSeed(std::uint64_t seed) {
  FleetOptions options;
  options.clocksDiffer = seed % 2 == 1;
  options.routers = seed % 4 == 0 ? 9 : seed % 2 == 0 ? 5 : 3;
  return options;
}

std::string runSeed(std::uint64_t seed, FaultKind faultKind, FleetOptions options, Totals& totals) {
  if (faultKind >= FaultKind::powerAllAndNode && options.nodeSyncMode == SyncMode::never)
    options.nodeSyncMode = SyncMode::always;
  const bool damagesDisk = faultKind >= FaultKind::voterNeverReturns && faultKind <= FaultKind::storeDamaged;
  FaultScenario scenario(seed, faultKind, options, totals);
  const std::string fault = scenario.play(damagesDisk ? 1 : 2);
  if (!fault.empty())
    std::cerr << "seed " << seed << ", " << kFaultNames[static_cast<int>(faultKind)] << ": " << fault
              << "; logs in " << scenario.path() << "\n";
  return fault;
}

void printTotals(const Totals& totals) {
  std::cerr << "requested " << totals.requests << ", ran " << totals.ran << ", committed " << totals.committed
            << ", refused " << totals.refused << ", rolled back " << totals.rolledBack << ", none "
            << totals.none << ", power losses " << totals.losses << "\n";
}

// Every fault, with the given number of seeds.
int everyFault(std::uint64_t seeds, std::uint64_t from) {
  Totals totals;
  bool ok = true;
  for (int kind = 0; kind < kFaultKinds; ++kind) {
    std::string fault;
    const auto startedAt = std::time(nullptr);
    for (std::uint64_t seed = from; seed < from + seeds && fault.empty(); ++seed)
      fault = runSeed(seed + static_cast<std::uint64_t>(kind) * 7, static_cast<FaultKind>(kind),
                      optionsForSeed(seed + static_cast<std::uint64_t>(kind)), totals);
    std::cout << kFaultNames[kind] << ": "
              << (fault.empty() ? "no txn ran twice, one answer per request, all routers serve again" : fault)
              << "\n";
    std::cerr << kFaultNames[kind] << ": " << std::time(nullptr) - startedAt << " s\n";
    ok = ok && fault.empty();
  }
  printTotals(totals);
  return ok ? 0 : 1;
}

// Checks that the test detects injected bugs, such as routers without coordination and a disk that fakes
// syncs. A check that can't fail proves nothing.
int injectedBugs(std::uint64_t seeds, std::uint64_t from) {
  const auto expectDetected = [&](const char* what, FaultKind faultKind, FleetOptions options,
                                  const char* expected = "ran twice") {
    Totals totals;
    std::string fault;
    // Only the expected violation counts: routers without coordination may run a transaction twice before the
    // expected one is found.
    for (std::uint64_t seed = from; seed < from + seeds && !fault.starts_with(expected); ++seed)
      fault = runSeed(seed, faultKind, options, totals);
    std::cout << what << ": "
              << (fault.starts_with(expected) ? "detected, " + std::string(expected) : "NOT DETECTED")
              << "\n";
  };
  FleetOptions uncoordinated;
  uncoordinated.usesVoters = false;
  expectDetected("routers without coordination", FaultKind::powerAll, uncoordinated);
  expectDetected("routers that don't report drains to each other", FaultKind::outdatedListAfterDrain,
                 uncoordinated, "a txn was sent to a drained node");
  FleetOptions fakesNodeSyncs;
  fakesNodeSyncs.nodeSyncMode = SyncMode::faked;
  expectDetected("a node that answers before it has synced", FaultKind::powerAllAndNode, fakesNodeSyncs,
                 "reported as committed but missing from the node's log");
  FleetOptions fakesDiskSyncs;
  fakesDiskSyncs.hasLyingDisk = true;
  expectDetected("disks that report syncs they have not done", FaultKind::powerAll, fakesDiskSyncs);
  return 0;
}

// Mixes routers and voters of an earlier build with those of this build in one fleet. Run by hand, as CI has
// no earlier build. Ids must be granted once, and no transaction may run twice, also through power losses.
int mixed(const char* olderProgram, std::uint64_t seeds) {
  setenv("TEST_FLEET_OLDER_PROGRAM", olderProgram, 1);
  grants();
  Totals totals;
  bool ok = true;
  for (const FaultKind kind : {FaultKind::powerAll, FaultKind::powerAllButOne, FaultKind::powerInSequence})
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      const std::string fault = runSeed(seed, kind, optionsForSeed(seed), totals);
      std::cout << kFaultNames[static_cast<int>(kind)] << ", seed " << seed << ": "
                << (fault.empty() ? "passed" : fault) << std::endl;
      ok = ok && fault.empty();
    }
  printTotals(totals);
  return ok ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "";
  const auto argument = [&](int at, std::uint64_t fallback) {
    return argc > at ? std::stoull(argv[at]) : fallback;
  };
  if (name == "every-fault") return everyFault(argument(2, 1), argument(3, 1));
  if (name == "injected-bugs") return injectedBugs(argument(2, 20), argument(3, 1));
  if (name == "fault") {  // a single run: the number of the fault, from 0, and the seed as in standard error
    Totals totals;
    const auto kind = argument(2, 0), seed = argument(3, 1);
    const std::string fault =
        runSeed(seed, static_cast<FaultKind>(kind), optionsForSeed(seed - kind * 6), totals);
    std::cout << kFaultNames[kind] << ": " << (fault.empty() ? "passed" : fault) << "\n";
    return fault.empty() ? 0 : 1;
  }
  if (name == "mixed" && argc > 2) return mixed(argv[2], argument(3, 2));
  if (name == "claim-cost") return claimCost();
  if (name == "returns") return oldPrimaryReturns();
  if (name == "last-replica-returns") return lastReplicaReturns();
  if (name == "members") return members();
  if (name == "idle-traffic") return idleTraffic(argument(2, 5));
  if (name == "grants") return grants();
  if (name == "work") return maintenance(static_cast<int>(argument(2, 0)), argument(3, 1), argument(4, 1));
  if (name == "work-injected-bugs") return maintenanceInjectedBugs();
  return 2;
}
