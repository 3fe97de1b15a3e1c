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
  stoppedThroughIt,
  onePairCut,
  hearsAndIsNotHeard,
  isHeardAndDoesNotHear,
  halves,
  oneOfAllLeft,
  oneNeverReturns,
  diskLost,
  diskOfAnother,
  diskTorn,
  oldListAfterADrain,
  powerAllAndNode,
  powerOfTheNode
};
constexpr const char* kTroubles[] = {"power lost at all",
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
constexpr Duration kRepeats = Duration::millis(2500);

struct Sum {
  std::uint64_t asked = 0, committed = 0, refused = 0, rolledBack = 0, none = 0, ran = 0, losses = 0;
};

class World : private Scene {
 public:
  World(std::uint64_t seed, FaultKind trouble, Shape shape, Sum& sum)
      : rig_(loop_, seed, shape), trouble_(trouble), settles_(shape.settles), sum_(sum) {}

  std::string play(int rounds) {
    loop_.spawn(scene(rounds));
    for (int client = 0; client < 6; ++client) loop_.spawn(askOn(client));
    run();
    if (!fault_.empty()) rig_.keep();
    for (std::size_t row = 0; row < rig_.rows(); ++row) {
      const Asked& asked = rig_.asked(row);
      ++sum_.asked;
      ++(asked.outcome == FinalOutcome::committed    ? sum_.committed
         : asked.outcome == FinalOutcome::refused    ? sum_.refused
         : asked.outcome == FinalOutcome::rolledBack ? sum_.rolledBack
                                                     : sum_.none);
    }
    sum_.ran += rig_.writes();
    return fault_;
  }
  std::string path() const { return rig_.path(); }

 private:
  event_loop::Task askOn(int client) {
    while (!ending_) {
      const bool repeats = !ids_.empty() && rig_.pick(3) > 0;
      if (!repeats)
        ids_.push_back({"c" + std::to_string(client) + "n" + std::to_string(ids_.size()), loop_.now()});
      // Of the last few, or of all that a client may still repeat.
      std::size_t first = ids_.size() - 1;
      while (first > 0 && loop_.now() - ids_[first - 1].second < kRepeats) --first;
      const std::size_t among = std::min<std::size_t>(ids_.size() - first, rig_.pick(2) ? 8 : ids_.size());
      const std::string id = ids_[ids_.size() - 1 - (repeats ? rig_.pick(among) : 0)].first;
      const std::size_t row = rig_.ask(rig_.pick(rig_.routers()), id);
      // One that was stopped answers when it goes on; its client asks elsewhere meanwhile.
      while (!rig_.asked(row).over && rig_.isUp(rig_.asked(row).router)) co_await tick();
      const bool refused = rig_.asked(row).outcome == FinalOutcome::none;
      co_await loop_.sleepUntil(loop_.now() + (refused ? kTick * 5 : kTick));
    }
  }

  // The scene: some writes, the trouble, and all serve again; and so on.
  event_loop::Task scene(int rounds) {
    rig_.startAll();
    for (int round = 0; round <= rounds && fault_.empty(); ++round) {
      // Each router commits a new txn.
      std::set<std::size_t> serving = without_;
      const Instant by = loop_.now() + kBound;
      for (std::size_t i = 0; !waited(serving.size() == rig_.routers(), by, "a router that serves again");
           i = (i + 1) % rig_.routers()) {
        if (serving.contains(i)) continue;
        const std::size_t row = rig_.ask(i, "new" + std::to_string(++probes_));
        while (!rig_.asked(row).over) co_await tick();
        if (rig_.asked(row).outcome == FinalOutcome::committed) serving.insert(i);
        if (const std::string died = rig_.died(); !died.empty()) broken(died);
        co_await tick();
      }
      if (round == rounds || !fault_.empty()) break;
      const std::uint64_t target = rig_.writes() + 1 + rig_.pick(25);
      const Instant then = loop_.now() + kBound;
      while (!waited(rig_.writes() >= target, then, "writes")) co_await tick();

      // --- The trouble
      const std::size_t one = rig_.pick(rig_.routers()), keeper = rig_.pick(rig_.keepers());
      std::vector<std::size_t> order;
      for (std::size_t i = 0; i < rig_.routers(); ++i) order.push_back(i);
      std::shuffle(order.begin(), order.end(), rig_.chance);
      std::vector<std::size_t> others;
      for (const std::size_t i : order)
        if (i != one) others.push_back(i);
      switch (trouble_) {
        case FaultKind::powerAll:
          lose(order);
          break;
        case FaultKind::powerAllButOne:
          lose(others);
          break;
        case FaultKind::powerInAWave:
          for (const std::size_t i : order) {
            lose({i});
            const std::size_t rows = rig_.rows() + rig_.pick(6);
            const Instant until = loop_.now() + kBound;
            while (!waited(rig_.rows() >= rows, until, "questions")) co_await tick();
          }
          break;
        case FaultKind::powerAgainWhileStarting:
          lose(order);
          for (int again = 0; again < 2; ++again) {
            std::map<std::size_t, std::size_t> before;
            for (const std::size_t i : order) before[i] = rig_.log(i).size();
            for (const std::size_t i : order) rig_.start(i);
            // One of them has opened its store, or has just been heard: some have, some have not.
            const char* event = again == 0 ? "store.opened" : "peers.heard";
            const std::size_t k = keeper;
            const Instant until = loop_.now() + kBound;
            while (!waited(rig_.log(k).find(event, before[k]) != std::string::npos, until, event))
              co_await tick();
            lose(order);
          }
          break;
        case FaultKind::powerBetweenRunAndAnswer: {
          bool lost = false;
          rig_.node().onWrite = [&](const std::string&) {
            if (!std::exchange(lost, true)) lose(order);
          };
          const Instant until = loop_.now() + kBound;
          while (!waited(lost, until, "a write")) co_await tick();
          rig_.node().onWrite = nullptr;
          break;
        }
        case FaultKind::answersLost: {
          rig_.node().swallowAnswers = true;
          const std::uint64_t some = rig_.writes() + 5;
          const Instant until = loop_.now() + kBound;
          while (!waited(rig_.writes() >= some, until, "writes")) co_await tick();
          rig_.kill(one);
          rig_.node().swallowAnswers = false;
          break;
        }
        case FaultKind::stoppedThroughIt:
          rig_.stop(one);
          lose(others);
          break;
        case FaultKind::onePairCut:
          if (one < rig_.keepers()) rig_.flow((one + 1) % rig_.keepers(), one, Flow::cut);
          rig_.flow(one, one < rig_.keepers() ? (one + 1) % rig_.keepers() : keeper, Flow::cut);
          break;
        case FaultKind::hearsAndIsNotHeard:
        case FaultKind::isHeardAndDoesNotHear:
          for (std::size_t k = 0; k < rig_.keepers(); ++k)
            rig_.flow(one, k, trouble_ == FaultKind::hearsAndIsNotHeard ? Flow::deafThere : Flow::deafBack);
          break;
        case FaultKind::halves:
          for (std::size_t i = 0; i < rig_.routers(); ++i)
            for (std::size_t k = 0; k < rig_.keepers(); ++k)
              if ((i < rig_.keepers() ? i == 0 : i % 2 == 1) != (k == 0)) rig_.flow(i, k, Flow::cut);
          break;
        case FaultKind::oneOfAllLeft:
          lose(others);
          break;
        case FaultKind::oneNeverReturns:
          lose({keeper});
          without_ = {keeper};
          break;
        case FaultKind::diskLost:
          rig_.kill(keeper);
          std::filesystem::remove_all(rig_.folder(keeper));
          std::filesystem::create_directory(rig_.folder(keeper));
          break;
        case FaultKind::diskOfAnother: {
          const std::size_t other = (keeper + 1) % rig_.keepers();
          lose({keeper, other});
          swap(keeper, other);
          for (const std::size_t i : {keeper, other}) {
            rig_.start(i);
            if (rig_.endsWith(i) != 1 || rig_.log(i).find("is the store of the keeper") == std::string::npos)
              broken("started on the disk of another");
          }
          swap(keeper, other);
          break;
        }
        case FaultKind::oldListAfterADrain: {
          rig_.list(++listVersion_, "draining");
          for (const std::size_t i : order) {
            const std::string line = "list version " + std::to_string(listVersion_) + ":";
            const Instant until = loop_.now() + kBound;
            while (!waited(rig_.log(i).find(line) != std::string::npos, until, "the drain")) co_await tick();
          }
          // Votes that were given since go to disk behind the drain.
          const std::size_t rows = rig_.rows() + 40;
          const Instant until = loop_.now() + kBound;
          while (!waited(rig_.rows() >= rows, until, "questions")) co_await tick();
          lose(order);
          rig_.list(listVersion_ - 1, "up");
          rig_.startAll();
          for (std::size_t k = 0; settles_ && k < rig_.keepers(); ++k) {
            const std::size_t from = rig_.log(k).rfind("store.opened");
            const Instant late = loop_.now() + kBound;
            while (!waited(rig_.log(k).find("state=votes", from) != std::string::npos, late,
                           "a keeper that votes"))
              co_await tick();
          }
          break;
        }
        case FaultKind::powerAllAndNode:
          lose(order);
          rig_.losePowerOfNode();
          break;
        case FaultKind::powerOfTheNode:
          rig_.losePowerOfNode();
          break;
        case FaultKind::diskTorn:
          rig_.kill(keeper);
          spoil(rig_.folder(keeper) + "/claims.db");
          break;
      }

      const std::uint64_t writesBefore = rig_.writes();
      // --- While it lasts, some are asked all the same
      const std::size_t rows = rig_.rows() + 12 + rig_.pick(12);
      const Instant until = loop_.now() + kBound;
      while (!waited(rig_.rows() >= rows, until, "questions")) co_await tick();
      // What had been admitted before may still run.
      for (std::size_t n = idsAtLoss_; trouble_ == FaultKind::oneOfAllLeft && settles_ && n < ids_.size();
           ++n)
        if (rig_.ran(ids_[n].first) > 0) broken("a minority ran a txn");

      if (trouble_ == FaultKind::oldListAfterADrain) {
        if (rig_.writes() != writesBefore) broken("sent to a node that was drained");
        rig_.list(listVersion_ += 2, "up");
      }
      // --- They come back in any order, some after the others serve
      rig_.flowAll(Flow::open);
      rig_.startNode();
      const std::size_t late = rig_.pick(3);
      for (std::size_t n = 0; n < order.size(); ++n) {
        if (without_.contains(order[n]) || n + late >= order.size()) continue;
        rig_.start(order[n]);
        const std::size_t more = rig_.rows() + rig_.pick(4);
        const Instant soon = loop_.now() + kBound;
        while (!waited(rig_.rows() >= more, soon, "questions")) co_await tick();
      }
      for (const std::size_t i : order) rig_.goOn(i);
      for (const std::size_t i : order)
        if (!without_.contains(i)) rig_.start(i);
    }
    ending_ = true;
    const Instant by = loop_.now() + kBound;
    while (!waited(rig_.open() == 0, by, "the last answers")) co_await tick();
    if (fault_.empty()) fault_ = rig_.judge();
    loop_.stop();
  }

  void lose(const std::vector<std::size_t>& routers) {
    ++sum_.losses;
    rig_.losePower(routers);
    idsAtLoss_ = ids_.size();
  }
  void swap(std::size_t a, std::size_t b) const {
    std::filesystem::rename(rig_.folder(a), rig_.path() + "/swap");
    std::filesystem::rename(rig_.folder(b), rig_.folder(a));
    std::filesystem::rename(rig_.path() + "/swap", rig_.folder(b));
  }
  static void spoil(const std::string& path) {
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    for (std::streamoff at = 4000; at < static_cast<std::streamoff>(std::filesystem::file_size(path));
         at += 512) {
      file.seekp(at);
      file << "no longer what was written here";
    }
  }

  Rig rig_;
  FaultKind trouble_;
  bool settles_;
  Sum& sum_;
  std::vector<std::pair<std::string, Instant>> ids_;  // when each was asked for first
  std::set<std::size_t> without_;                     // routers that never return
  std::uint64_t probes_ = 0, listVersion_ = 1;
  std::size_t idsAtLoss_ = 0;  // that clients had asked for when power was last lost
  bool ending_ = false;
};

Shape shapeOf(std::uint64_t seed) {
  Shape shape;
  shape.clocksDiffer = seed % 2 == 1;
  shape.routers = seed % 4 == 0 ? 9 : seed % 2 == 0 ? 5 : 3;
  return shape;
}

std::string played(std::uint64_t seed, FaultKind trouble, Shape shape, Sum& sum) {
  if (trouble >= FaultKind::powerAllAndNode && shape.node == Syncs::never) shape.node = Syncs::always;
  const bool spoilsDisk = trouble >= FaultKind::oneNeverReturns && trouble <= FaultKind::diskTorn;
  World world(seed, trouble, shape, sum);
  const std::string fault = world.play(spoilsDisk ? 1 : 2);
  if (!fault.empty())
    std::cerr << "seed " << seed << ", " << kTroubles[static_cast<int>(trouble)] << ": " << fault
              << "; logs in " << world.path() << "\n";
  return fault;
}

void say(const Sum& sum) {
  std::cerr << "asked " << sum.asked << ", ran " << sum.ran << ", committed " << sum.committed << ", refused "
            << sum.refused << ", rolled back " << sum.rolledBack << ", none " << sum.none << ", power losses "
            << sum.losses << "\n";
}

// Every trouble, with as many seeds as are asked for.
int each(std::uint64_t seeds, std::uint64_t from) {
  Sum sum;
  bool ok = true;
  for (int kind = 0; kind < kKinds; ++kind) {
    std::string fault;
    const auto began = std::time(nullptr);
    for (std::uint64_t seed = from; seed < from + seeds && fault.empty(); ++seed)
      fault = played(seed + static_cast<std::uint64_t>(kind) * 7, static_cast<FaultKind>(kind),
                     shapeOf(seed + static_cast<std::uint64_t>(kind)), sum);
    std::cout << kTroubles[kind] << ": "
              << (fault.empty() ? "nothing ran twice, one answer each, all serve again" : fault) << "\n";
    std::cerr << kTroubles[kind] << ": " << std::time(nullptr) - began << " s\n";
    ok = ok && fault.empty();
  }
  say(sum);
  return ok ? 0 : 1;
}

// A verdict that can't fail shows nothing: routers that settle nothing, and a disk that lies, must be found.
int bugs(std::uint64_t seeds, std::uint64_t from) {
  const auto found = [&](const char* what, FaultKind trouble, Shape shape,
                         const char* expected = "ran twice") {
    Sum sum;
    std::string fault;
    // What it is built in for: routers that settle nothing may also run a txn twice before that shows.
    for (std::uint64_t seed = from; seed < from + seeds && !fault.starts_with(expected); ++seed)
      fault = played(seed, trouble, shape, sum);
    std::cout << what << ": "
              << (fault.starts_with(expected) ? "found, " + std::string(expected) : "NOT FOUND") << "\n";
  };
  Shape alone;
  alone.settles = false;
  found("routers that settle nothing among themselves", FaultKind::powerAll, alone);
  found("routers that tell each other nothing of drains", FaultKind::oldListAfterADrain, alone,
        "sent to a node that was drained");
  Shape forgetful;
  forgetful.node = Syncs::lies;
  found("a node that acknowledges what it has not synced", FaultKind::powerAllAndNode, forgetful,
        "told as committed and not in the node's log");
  Shape lying;
  lying.lyingDisk = true;
  found("disks that say that they synced and did not", FaultKind::powerAll, lying);
  return 0;
}

// Routers and voters of an earlier build beside those of this one, in one fleet: by hand, as CI has no
// earlier build. Ids are granted once, and nothing runs twice through losses of power.
int mixed(const char* olderProgram, std::uint64_t seeds) {
  setenv("RIG_OLDER_PROGRAM", olderProgram, 1);
  grants();
  Sum sum;
  bool ok = true;
  for (const FaultKind kind : {FaultKind::powerAll, FaultKind::powerAllButOne, FaultKind::powerInAWave})
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      const std::string fault = played(seed, kind, shapeOf(seed), sum);
      std::cout << kTroubles[static_cast<int>(kind)] << ", seed " << seed << ": "
                << (fault.empty() ? "holds" : fault) << std::endl;
      ok = ok && fault.empty();
    }
  say(sum);
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
    Sum sum;
    const auto kind = argument(2, 0), seed = argument(3, 1);
    const std::string fault = played(seed, static_cast<FaultKind>(kind), shapeOf(seed - kind * 6), sum);
    std::cout << kTroubles[kind] << ": " << (fault.empty() ? "holds" : fault) << "\n";
    return fault.empty() ? 0 : 1;
  }
  if (name == "mixed" && argc > 2) return mixed(argv[2], argument(3, 2));
  if (name == "price") return price();
  if (name == "returns") return returns();
  if (name == "last") return last();
  if (name == "members") return members();
  if (name == "talk") return talk(argument(2, 5));
  if (name == "grants") return grants();
  if (name == "work") return work(static_cast<int>(argument(2, 0)), argument(3, 1), argument(4, 1));
  if (name == "workbugs") return workBugs();
  return 2;
}
