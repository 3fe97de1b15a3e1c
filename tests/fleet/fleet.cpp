// Days of a fleet of real processes with power lost, links cut, processes stopped and disks spoilt, each
// fault placed by what was seen before it. Run as `fleet CASE [SEEDS [FROM]]`, or `fleet trouble KIND SEED`
// for one: prints what must hold on every run; counts and times differ from run to run and go to standard
// error.
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
  powerInAWave,
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
  diskOfAnother,
  diskTorn,
  oldListAfterADrain,
  powerAllAndNode,
  powerOfTheNode
};
constexpr const char* kFaultNames[] = {"power lost at all",
                                       "power lost at all but one",
                                       "power lost in a wave",
                                       "power lost again while they start",
                                       "power lost between a run and its answer",
                                       "answers lost, and a router killed",
                                       "one stopped through a power loss",
                                       "one pair cut off from each other",
                                       "one hears all and is not heard",
                                       "one is heard and hears none",
                                       "two halves",
                                       "one of all left",
                                       "a keeper never returns while the others serve",
                                       "a keeper's disk lost",
                                       "a keeper with the disk of another",
                                       "a keeper's disk torn",
                                       "a node drained, and an older list after the power loss",
                                       "power lost at all, the node too",
                                       "power lost at the node"};
constexpr int kKinds = 19;

// How long clients repeat an id: what the time of retention, 4 s here, allows with their wait of 1 s.
constexpr Duration kRetryDuration = Duration::millis(2500);

struct Totals {
  std::uint64_t requests = 0, committed = 0, refused = 0, rolledBack = 0, none = 0, ran = 0, losses = 0;
};

class FaultScenario : private Scenario {
 public:
  FaultScenario(std::uint64_t seed, FaultKind faultKind, FleetOptions options, Totals& totals)
      : rig_(loop_, seed, options), faultKind_(faultKind), usesVoters_(options.usesVoters), totals_(totals) {}

  std::string play(int rounds) {
    loop_.spawn(scenario(rounds));
    for (int client = 0; client < 6; ++client) loop_.spawn(runClient(client));
    run();
    if (!fault_.empty()) rig_.keep();
    for (std::size_t row = 0; row < rig_.requestCount(); ++row) {
      const ClientRequest& clientRequest = rig_.clientRequest(row);
      ++totals_.requests;
      ++(clientRequest.outcome == FinalOutcome::committed    ? totals_.committed
         : clientRequest.outcome == FinalOutcome::refused    ? totals_.refused
         : clientRequest.outcome == FinalOutcome::rolledBack ? totals_.rolledBack
                                                             : totals_.none);
    }
    totals_.ran += rig_.writes();
    return fault_;
  }
  std::string path() const { return rig_.path(); }

 private:
  // Where the fault is placed, drawn for each round.
  struct Placement {
    std::size_t router = 0, voter = 0;
    std::vector<std::size_t> order, others;  // all routers, shuffled; and without `router`
  };

  event_loop::Task runClient(int client) {
    while (!isEnding_) {
      const bool isRetry = !ids_.empty() && rig_.pick(3) > 0;
      if (!isRetry)
        ids_.push_back({"c" + std::to_string(client) + "n" + std::to_string(ids_.size()), loop_.now()});
      // Of the last few, or of all that a client may still repeat.
      std::size_t first = ids_.size() - 1;
      while (first > 0 && loop_.now() - ids_[first - 1].second < kRetryDuration) --first;
      const std::size_t among = std::min<std::size_t>(ids_.size() - first, rig_.pick(2) ? 8 : ids_.size());
      const std::string id = ids_[ids_.size() - 1 - (isRetry ? rig_.pick(among) : 0)].first;
      const std::size_t row = rig_.sendRequest(rig_.pick(rig_.routers()), id);
      // One that was stopped answers when it goes on; its client asks elsewhere meanwhile.
      while (!rig_.clientRequest(row).isOver && rig_.isUp(rig_.clientRequest(row).router)) co_await tick();
      const bool refused = rig_.clientRequest(row).outcome == FinalOutcome::none;
      co_await loop_.sleepUntil(loop_.now() + (refused ? kTick * 5 : kTick));
    }
  }

  // Some writes, the fault, and all serve again; and so on.
  event_loop::Task scenario(int rounds) {
    rig_.startAll();
    for (int round = 0; round <= rounds && fault_.empty(); ++round) {
      beginStep(untilAllServe());
      while (!isStepOver_) co_await tick();
      if (round == rounds || !fault_.empty()) break;
      const std::uint64_t writes = rig_.writes() + 1 + rig_.pick(25);
      for (const Instant by = deadline(); !isDone(rig_.writes() >= writes, by, "writes");) co_await tick();
      const Placement placement = place();
      if (!injectAtOnce(placement)) {
        beginStep(injectByAndBy(placement));
        while (!isStepOver_) co_await tick();
      }
      // While it lasts, some are asked all the same.
      const std::size_t requests = rig_.requestCount() + 12 + rig_.pick(12);
      for (const Instant by = deadline(); !hasRequests(requests, by);) co_await tick();
      checkDuringFault();
      beginStep(bringBack(placement));
      while (!isStepOver_) co_await tick();
    }
    isEnding_ = true;
    for (const Instant by = deadline(); !isDone(rig_.open() == 0, by, "the last answers");) co_await tick();
    if (fault_.empty()) fault_ = rig_.verdict();
    loop_.stop();
  }

  // --- Steps
  bool hasRequests(std::size_t count, Instant by) {
    return isDone(rig_.requestCount() >= count, by, "questions");
  }

  // Each router commits a new transaction.
  event_loop::Task untilAllServe() {
    std::set<std::size_t> serving = absentRouters_;
    const Instant by = deadline();
    for (std::size_t i = 0; !isDone(serving.size() == rig_.routers(), by, "a router that serves again");
         i = (i + 1) % rig_.routers()) {
      if (serving.contains(i)) continue;
      const std::size_t row = rig_.sendRequest(i, "new" + std::to_string(++probes_));
      while (!rig_.clientRequest(row).isOver) co_await tick();
      if (rig_.clientRequest(row).outcome == FinalOutcome::committed) serving.insert(i);
      if (const std::string crashed = rig_.crashedRouter(); !crashed.empty()) fail(crashed);
      co_await tick();
    }
    endStep();
  }

  // They come back in any order, some after the others serve.
  event_loop::Task bringBack(Placement placement) {
    rig_.flowAll(Flow::open);
    rig_.startNode();
    const std::size_t late = rig_.pick(3);
    for (std::size_t n = 0; n < placement.order.size(); ++n) {
      const std::size_t router = placement.order[n];
      if (absentRouters_.contains(router) || n + late >= placement.order.size()) continue;
      rig_.start(router);
      const std::size_t requests = rig_.requestCount() + rig_.pick(4);
      for (const Instant by = deadline(); !hasRequests(requests, by);) co_await tick();
    }
    for (const std::size_t router : placement.order) rig_.resume(router);
    for (const std::size_t router : placement.order)
      if (!absentRouters_.contains(router)) rig_.start(router);
    endStep();
  }

  void checkDuringFault() {
    // What had been admitted before may still run.
    if (faultKind_ == FaultKind::oneRouterLeft && usesVoters_)
      for (std::size_t n = idsAtLoss_; n < ids_.size(); ++n)
        if (rig_.ran(ids_[n].first) > 0) fail("a minority ran a txn");
    if (faultKind_ != FaultKind::oldListAfterADrain) return;
    if (rig_.writes() != writesAtDrain_) fail("sent to a node that was drained");
    rig_.list(listVersion_ += 2, "up");
  }

  // --- The fault
  Placement place() {
    Placement placement;
    placement.router = rig_.pick(rig_.routers());
    placement.voter = rig_.pick(rig_.voters());
    for (std::size_t i = 0; i < rig_.routers(); ++i) placement.order.push_back(i);
    std::shuffle(placement.order.begin(), placement.order.end(), rig_.chance);
    for (const std::size_t i : placement.order)
      if (i != placement.router) placement.others.push_back(i);
    return placement;
  }

  // False: the fault is one that waits for what it finds.
  bool injectAtOnce(const Placement& placement) {
    switch (faultKind_) {
      case FaultKind::powerAll:
        lose(placement.order);
        return true;
      case FaultKind::powerAllButOne:
      case FaultKind::oneRouterLeft:
        lose(placement.others);
        return true;
      case FaultKind::stoppedThroughPowerLoss:
        rig_.stop(placement.router);
        lose(placement.others);
        return true;
      case FaultKind::powerAllAndNode:
        lose(placement.order);
        rig_.losePowerOfNode();
        return true;
      case FaultKind::powerOfTheNode:
        rig_.losePowerOfNode();
        return true;
      case FaultKind::voterNeverReturns:
        lose({placement.voter});
        absentRouters_ = {placement.voter};
        return true;
      case FaultKind::onePairCut:
      case FaultKind::outgoingBlocked:
      case FaultKind::incomingBlocked:
      case FaultKind::partition:
        breakLinks(placement);
        return true;
      case FaultKind::diskLost:
      case FaultKind::diskOfAnother:
      case FaultKind::diskTorn:
        spoilDisk(placement.voter);
        return true;
      default:
        return false;
    }
  }
  void breakLinks(const Placement& placement) {
    const std::size_t router = placement.router, voters = rig_.voters();
    if (faultKind_ == FaultKind::partition) {
      for (std::size_t i = 0; i < rig_.routers(); ++i)
        for (std::size_t k = 0; k < voters; ++k)
          if ((i < voters ? i == 0 : i % 2 == 1) != (k == 0)) rig_.flow(i, k, Flow::cut);
    } else if (faultKind_ == FaultKind::onePairCut) {
      if (router < voters) rig_.flow((router + 1) % voters, router, Flow::cut);
      rig_.flow(router, router < voters ? (router + 1) % voters : placement.voter, Flow::cut);
    } else {
      const bool isOutgoing = faultKind_ == FaultKind::outgoingBlocked;
      for (std::size_t k = 0; k < voters; ++k)
        rig_.flow(router, k, isOutgoing ? Flow::blockedToVoter : Flow::blockedFromVoter);
    }
  }
  void spoilDisk(std::size_t voter) {
    if (faultKind_ == FaultKind::diskOfAnother) return startOnDiskOfAnother(voter);
    rig_.kill(voter);
    if (faultKind_ == FaultKind::diskTorn) return overwriteParts(rig_.folder(voter) + "/claims.db");
    std::filesystem::remove_all(rig_.folder(voter));
    std::filesystem::create_directory(rig_.folder(voter));
  }
  void startOnDiskOfAnother(std::size_t voter) {
    const std::size_t other = (voter + 1) % rig_.voters();
    lose({voter, other});
    swapFolders(voter, other);
    for (const std::size_t i : {voter, other}) {
      rig_.start(i);
      if (rig_.exitCode(i) != 1 || rig_.log(i).find("is the store of the keeper") == std::string::npos)
        fail("started on the disk of another");
    }
    swapFolders(voter, other);
  }

  event_loop::Task injectByAndBy(const Placement& placement) {
    switch (faultKind_) {
      case FaultKind::powerInAWave:
        return losePowerInAWave(placement);
      case FaultKind::powerAgainWhileStarting:
        return losePowerWhileStarting(placement);
      case FaultKind::powerBetweenRunAndAnswer:
        return losePowerBetweenRunAndAnswer(placement);
      case FaultKind::answersLost:
        return loseAnswers(placement);
      default:
        return drainAndShowOldList(placement);
    }
  }
  event_loop::Task losePowerInAWave(Placement placement) {
    for (const std::size_t router : placement.order) {
      lose({router});
      const std::size_t requests = rig_.requestCount() + rig_.pick(6);
      for (const Instant by = deadline(); !hasRequests(requests, by);) co_await tick();
    }
    endStep();
  }
  event_loop::Task losePowerWhileStarting(Placement placement) {
    lose(placement.order);
    // One of them has opened its store, or has just reached another: some have, some have not.
    for (const char* event : {"store.opened", "peers.heard"}) {
      const std::size_t logged = rig_.log(placement.voter).size();
      for (const std::size_t router : placement.order) rig_.start(router);
      const Instant by = deadline();
      while (!isDone(rig_.log(placement.voter).find(event, logged) != std::string::npos, by, event))
        co_await tick();
      lose(placement.order);
    }
    endStep();
  }
  event_loop::Task losePowerBetweenRunAndAnswer(Placement placement) {
    bool isLost = false;
    rig_.node().onWrite = [&](const std::string&) {
      if (!std::exchange(isLost, true)) lose(placement.order);
    };
    for (const Instant by = deadline(); !isDone(isLost, by, "a write");) co_await tick();
    rig_.node().onWrite = nullptr;
    endStep();
  }
  event_loop::Task loseAnswers(Placement placement) {
    rig_.node().swallowAnswers = true;
    const std::uint64_t writes = rig_.writes() + 5;
    for (const Instant by = deadline(); !isDone(rig_.writes() >= writes, by, "writes");) co_await tick();
    rig_.kill(placement.router);
    rig_.node().swallowAnswers = false;
    endStep();
  }
  event_loop::Task drainAndShowOldList(Placement placement) {
    rig_.list(++listVersion_, "draining");
    const std::string line = "list version " + std::to_string(listVersion_) + ":";
    for (const std::size_t router : placement.order)
      for (const Instant by = deadline();
           !isDone(rig_.log(router).find(line) != std::string::npos, by, "the drain");)
        co_await tick();
    // Votes that were given since go to disk behind the drain.
    const std::size_t requests = rig_.requestCount() + 40;
    for (const Instant by = deadline(); !hasRequests(requests, by);) co_await tick();
    lose(placement.order);
    rig_.list(listVersion_ - 1, "up");
    rig_.startAll();
    for (std::size_t voter = 0; usesVoters_ && voter < rig_.voters(); ++voter) {
      const std::size_t from = rig_.log(voter).rfind("store.opened");
      const Instant by = deadline();
      while (
          !isDone(rig_.log(voter).find("state=votes", from) != std::string::npos, by, "a keeper that votes"))
        co_await tick();
    }
    writesAtDrain_ = rig_.writes();
    endStep();
  }

  void lose(const std::vector<std::size_t>& routers) {
    ++totals_.losses;
    rig_.losePower(routers);
    idsAtLoss_ = ids_.size();
  }
  void swapFolders(std::size_t a, std::size_t b) const {
    std::filesystem::rename(rig_.folder(a), rig_.path() + "/swap");
    std::filesystem::rename(rig_.folder(b), rig_.folder(a));
    std::filesystem::rename(rig_.path() + "/swap", rig_.folder(b));
  }
  static void overwriteParts(const std::string& path) {
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    for (std::streamoff at = 4000; at < static_cast<std::streamoff>(std::filesystem::file_size(path));
         at += 512) {
      file.seekp(at);
      file << "no longer what was written here";
    }
  }

  Rig rig_;
  FaultKind faultKind_;
  bool usesVoters_;
  Totals& totals_;
  std::vector<std::pair<std::string, Instant>> ids_;  // when each was asked for first
  std::set<std::size_t> absentRouters_;               // routers that never return
  std::uint64_t probes_ = 0, listVersion_ = 1;
  std::uint64_t writesAtDrain_ = 0;  // once the routers serve again by the older list
  std::size_t idsAtLoss_ = 0;        // that clients had asked for when power was last lost
  bool isEnding_ = false;
};

FleetOptions shapeOf(std::uint64_t seed) {
  FleetOptions options;
  options.clocksDiffer = seed % 2 == 1;
  options.routers = seed % 4 == 0 ? 9 : seed % 2 == 0 ? 5 : 3;
  return options;
}

std::string runSeed(std::uint64_t seed, FaultKind faultKind, FleetOptions options, Totals& totals) {
  if (faultKind >= FaultKind::powerAllAndNode && options.node == Syncs::never) options.node = Syncs::always;
  const bool spoilsDisk = faultKind >= FaultKind::voterNeverReturns && faultKind <= FaultKind::diskTorn;
  FaultScenario world(seed, faultKind, options, totals);
  const std::string fault = world.play(spoilsDisk ? 1 : 2);
  if (!fault.empty())
    std::cerr << "seed " << seed << ", " << kFaultNames[static_cast<int>(faultKind)] << ": " << fault
              << "; logs in " << world.path() << "\n";
  return fault;
}

void printTotals(const Totals& totals) {
  std::cerr << "asked " << totals.requests << ", ran " << totals.ran << ", committed " << totals.committed
            << ", refused " << totals.refused << ", rolled back " << totals.rolledBack << ", none "
            << totals.none << ", power losses " << totals.losses << "\n";
}

// Every fault, with as many seeds as are asked for.
int each(std::uint64_t seeds, std::uint64_t from) {
  Totals totals;
  bool ok = true;
  for (int kind = 0; kind < kKinds; ++kind) {
    std::string fault;
    const auto began = std::time(nullptr);
    for (std::uint64_t seed = from; seed < from + seeds && fault.empty(); ++seed)
      fault = runSeed(seed + static_cast<std::uint64_t>(kind) * 7, static_cast<FaultKind>(kind),
                      shapeOf(seed + static_cast<std::uint64_t>(kind)), totals);
    std::cout << kFaultNames[kind] << ": "
              << (fault.empty() ? "nothing ran twice, one answer each, all serve again" : fault) << "\n";
    std::cerr << kFaultNames[kind] << ": " << std::time(nullptr) - began << " s\n";
    ok = ok && fault.empty();
  }
  printTotals(totals);
  return ok ? 0 : 1;
}

// A verdict that can't fail shows nothing: routers that settle nothing, and a disk that lies, must be found.
int bugs(std::uint64_t seeds, std::uint64_t from) {
  const auto found = [&](const char* what, FaultKind faultKind, FleetOptions options,
                         const char* expected = "ran twice") {
    Totals totals;
    std::string fault;
    // What it is built in for: routers that settle nothing may also run a transaction twice before that
    // shows.
    for (std::uint64_t seed = from; seed < from + seeds && !fault.starts_with(expected); ++seed)
      fault = runSeed(seed, faultKind, options, totals);
    std::cout << what << ": "
              << (fault.starts_with(expected) ? "found, " + std::string(expected) : "NOT FOUND") << "\n";
  };
  FleetOptions alone;
  alone.usesVoters = false;
  found("routers that settle nothing among themselves", FaultKind::powerAll, alone);
  found("routers that tell each other nothing of drains", FaultKind::oldListAfterADrain, alone,
        "sent to a node that was drained");
  FleetOptions forgetful;
  forgetful.node = Syncs::lies;
  found("a node that acknowledges what it has not synced", FaultKind::powerAllAndNode, forgetful,
        "told as committed and not in the node's log");
  FleetOptions lying;
  lying.hasLyingDisk = true;
  found("disks that say that they synced and did not", FaultKind::powerAll, lying);
  return 0;
}

// Routers and voters of an earlier build beside those of this one, in one fleet: by hand, as CI has no
// earlier build. Ids are granted once, and nothing runs twice through losses of power.
int mixed(const char* olderProgram, std::uint64_t seeds) {
  setenv("RIG_OLDER_PROGRAM", olderProgram, 1);
  grants();
  Totals totals;
  bool ok = true;
  for (const FaultKind kind : {FaultKind::powerAll, FaultKind::powerAllButOne, FaultKind::powerInAWave})
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      const std::string fault = runSeed(seed, kind, shapeOf(seed), totals);
      std::cout << kFaultNames[static_cast<int>(kind)] << ", seed " << seed << ": "
                << (fault.empty() ? "holds" : fault) << std::endl;
      ok = ok && fault.empty();
    }
  printTotals(totals);
  return ok ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "";
  const auto argument = [&](int at, std::uint64_t otherwise) {
    return argc > at ? std::stoull(argv[at]) : otherwise;
  };
  if (name == "each") return each(argument(2, 1), argument(3, 1));
  if (name == "bugs") return bugs(argument(2, 20), argument(3, 1));
  if (name == "trouble") {  // one alone, as standard error names it: its number from 0, and the seed
    Totals totals;
    const auto kind = argument(2, 0), seed = argument(3, 1);
    const std::string fault = runSeed(seed, static_cast<FaultKind>(kind), shapeOf(seed - kind * 6), totals);
    std::cout << kFaultNames[kind] << ": " << (fault.empty() ? "holds" : fault) << "\n";
    return fault.empty() ? 0 : 1;
  }
  if (name == "mixed" && argc > 2) return mixed(argv[2], argument(3, 2));
  if (name == "price") return price();
  if (name == "returns") return oldPrimaryReturns();
  if (name == "last") return lastReplicaReturns();
  if (name == "members") return members();
  if (name == "talk") return idleTraffic(argument(2, 5));
  if (name == "grants") return grants();
  if (name == "work") return maintenance(static_cast<int>(argument(2, 0)), argument(3, 1), argument(4, 1));
  if (name == "workbugs") return maintenanceBugs();
  return 2;
}
