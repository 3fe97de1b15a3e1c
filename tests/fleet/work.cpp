// Machines taken out for work on real processes, while parts of the fleet fail. Judged by what came to which
// node, by what routers logged of the plan, and by how often each txn ran; a trouble is placed where a
// machine comes to a phase.
#include <algorithm>
#include <ctime>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "cases.h"
#include "rig.h"
#include "testing/fake_servers/fake_node.h"
#include "testing/fake_servers/fake_proxy.h"

namespace gulltrestle::fleet {

namespace {

enum class FaultKind {
  none,
  foremanKilled,
  foremanStops,
  foremanCutOff,
  routerStops,
  routerCutOff,
  routerDeaf,
  powerAll,
  powerKeepers,
  nodeLost,
  operatorStops,
  asksAgain,
  keeperDiskLost,
  routerOnMachine,
  kinds
};
constexpr const char* kTroubles[] = {"no trouble",
                                     "the foreman is killed",
                                     "the foreman stands still",
                                     "the foreman is cut off from the other keepers",
                                     "a router stands still, with questions in its sockets",
                                     "a router is cut off from all keepers",
                                     "a router hears no keeper, and is heard",
                                     "all routers lose power",
                                     "two keepers of three lose power",
                                     "a group loses another node",
                                     "an operator stops the machine",
                                     "the same machine is asked for again, and ones that can't go",
                                     "a keeper loses its disk",
                                     "a router stands on a machine, too"};
constexpr const char* kPhases[] = {"next", "leaves", "free", "returns"};

struct Machine {
  std::string phase = "unknown";
  std::uint64_t version = 0;
  std::string why;
  bool off = false;  // told free, and no operator has said yet that it is done
  std::string doneName;
  std::size_t doneAt = 0;
};

class Work : private Scene {
 public:
  Work(std::uint64_t seed, FaultKind trouble, const Shape& shape, bool machineOfPrimaries = false)
      : discovery_(loop_),
        rig_(loop_, seed, with(shape, trouble)),
        trouble_(trouble),
        phase_(phaseOf(rig_, trouble, shape)),
        withPrimaries_(machineOfPrimaries),
        hidesLoss_(shape.hidesLoss) {
    for (const std::uint64_t group : {1, 2})
      for (const char* name : {"p", "a", "b"}) {
        const std::string id = name + std::to_string(group);
        auto& node = nodes_[id] = std::make_unique<fake_servers::FakeNode>(loop_, id, *name == 'p');
        groups_[id] = group;
        node->chooseFault = [this, id](const std::string& txn) {
          if (const Machine* m = machineOf(id); m && m->off)
            broken("a txn came to a node that was told free: " + txn + " at " + id);
          return fake_servers::Fault::none;
        };
        // On odd seeds there is always something out when their machine's turn comes.
        if (*name == 'a' && seed % 2 == 1) node->executionTime = Duration::millis(200);
        list(id, "up");
      }
    machines_["ma"];
    machines_["mb"];
    if (withPrimaries_) machines_["mp"];
    for (std::size_t i = 0; i < rig_.routers(); ++i) {
      fake_servers::FakeProxyConfig setup;
      setup.processor = rig_.processor(i);
      // Longer than anything stands still here: what was granted late would be used.
      setup.messageTimeout = Duration::millis(15'000);
      setup.maxAttempts = 1;
      proxies_.push_back(std::make_unique<fake_servers::FakeProxy>(loop_, setup));
    }
    logs_.resize(rig_.routers());
  }

  // What broke; empty: nothing.
  std::string play() {
    loop_.spawn(scene());
    loop_.spawn(clients());
    run();
    if (fault_.empty()) fault_ = rig_.died();
    for (const auto& [id, node] : nodes_)
      for (const auto& [txn, times] : node->runCounts) runs_[txn] += times;
    for (const auto& [txn, times] : runs_)
      if (txn[0] == 'w' && times > 1 && fault_.empty()) fault_ = "ran twice: " + txn;
    if (fault_.empty()) return "";
    rig_.keep();
    fault_ += ", at " + std::string(phase_);
    return fault_ + "; logs in " + rig_.path();
  }
  const std::string& fault() const { return fault_; }
  std::uint64_t asked() const { return asked_; }

 private:
  static const char* phaseOf(Rig& rig, FaultKind trouble, const Shape& shape) {
    // Where a built-in fault shows.
    if (shape.slowClock < SIZE_MAX) return kPhases[0];
    if (shape.hidesLoss) return kPhases[1];
    if (shape.lyingDisk) return kPhases[2];
    const bool early = trouble == FaultKind::nodeLost || trouble == FaultKind::operatorStops;
    return kPhases[rig.pick(early ? 2 : trouble == FaultKind::asksAgain ? 3 : 4)];
  }
  Shape with(Shape shape, FaultKind trouble) const {
    // Where a router has nothing but its lease, discovery is not told: its list alone would do.
    shape.announces = shape.announces && trouble != FaultKind::routerStops &&
                      trouble != FaultKind::routerCutOff && trouble != FaultKind::routerDeaf;
    shape.routers = 5;
    shape.discovery = discovery_.address();
    return shape;
  }
  void list(const std::string& id, const std::string& state) {
    discovery_.set({id, nodes_.at(id)->address(), state, nodes_.at(id)->isPrimary, groups_.at(id)});
  }
  const Machine* machineOf(const std::string& node) const {
    const auto at = machines_.find(std::string("m") + node[0]);
    return at == machines_.end() ? nullptr : &at->second;
  }

  // --- What routers log of the plan: the newest version of each machine's phase
  void readLogs() {
    for (std::size_t i = 0; i < logs_.size(); ++i) {
      std::ifstream file(rig_.logFile(i), std::ios::binary);
      file.seekg(static_cast<std::streamoff>(logs_[i]));
      std::string line;
      while (std::getline(file, line) && !file.eof()) {
        logs_[i] += line.size() + 1;
        const auto at = line.find("event=work.machine machine=");
        if (at == std::string::npos) continue;
        const auto field = [&](const std::string& name) {
          const auto from = line.find(" " + name + "=", at) + name.size() + 2;
          return line.substr(from, line.find(' ', from) - from);
        };
        Machine& machine = machines_[field("machine")];
        const std::uint64_t version = std::stoull(field("version"));
        knows_[i].insert(field("machine") + " " + field("phase"));
        if (version <= machine.version) continue;
        machine.version = version;
        machine.phase = field("phase");
        machine.why = line.substr(line.find("why=\""));
        std::ofstream(rig_.path() + "/plan.log", std::ios::app)
            << field("machine") << " " << machine.phase << " " << version << " " << machine.why << "\n";
        if (machine.phase == "free") toldFree(field("machine"), machine);
      }
    }
  }
  // Discovery is fed by what keepers announce, the newest of it.
  void feedDiscovery() {
    for (std::size_t i = 0; i < rig_.keepers(); ++i) {
      const std::string said = rig_.announced(i);
      const auto at = said.find("\"version\":");
      if (at == std::string::npos || std::stoull(said.substr(at + 10)) <= announced_) continue;
      announced_ = std::stoull(said.substr(at + 10));
      for (const auto& [id, node] : nodes_) {
        const bool out = said.find("\"" + id + "\"") != std::string::npos;
        if (out == (out_.count(id) > 0)) continue;
        if (out)
          out_.insert(id);
        else
          out_.erase(id);
        list(id, out ? "draining" : "up");
      }
    }
  }
  // The properties that hold in the moment in which a machine is told free.
  void toldFree(const std::string& name, Machine& machine) {
    machine.off = true;
    std::map<std::uint64_t, std::size_t> away;
    for (const auto& [id, node] : nodes_) {
      const Machine* on = machineOf(id);
      if ((on && on->off) || lost_.contains(id)) ++away[groups_.at(id)];
      if (on == &machine && node->isPrimary) broken("a primary was told free: " + id);
    }
    for (const auto& [group, count] : away)
      if (count > 1)
        broken("more of a group away than its budget: " + name + ", group " + std::to_string(group));
  }

  // --- Operators
  std::optional<std::size_t> keeper() {
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < rig_.keepers(); ++i)
      if (rig_.isUp(i) && !cut_.contains(i)) up.push_back(i);
    if (up.empty()) return std::nullopt;
    return up[rig_.pick(up.size())];
  }
  std::string request(const std::string& what, const std::string& machine) const {
    return R"({"what":")" + what + R"(","by":"kim")" +
           (machine.empty() ? "" : R"(,"machine":")" + machine + "\"") + "}";
  }
  // Asks for the machines at any keeper; again, at another, where it answers none for a while.
  event_loop::Task say(std::string text, std::shared_ptr<std::string> answer) {
    while (fault_.empty() && answer->empty()) {
      const auto at = keeper();
      if (!at) {
        co_await tick();
        continue;
      }
      const std::string name = rig_.request(*at, text);
      const Instant until = loop_.now() + Duration::millis(4000);
      while (fault_.empty() && answer->empty() && rig_.isUp(*at) && loop_.now() < until) {
        *answer = rig_.answered(*at, name);
        co_await tick();
      }
    }
  }
  std::shared_ptr<std::string> saySoon(const std::string& text) {
    auto answer = std::make_shared<std::string>();
    loop_.spawn(say(text, answer));
    return answer;
  }
  std::string order(const std::vector<std::string>& names) const {
    std::string all;
    for (const auto& name : names)
      all += (all.empty() ? "" : ",") + ("\"" + name + R"(":{"zone":"z","takes_ms":1000,"nodes":[")") +
             name[1] + "1\",\"" + name[1] + "2\"]" +
             (name == "mb" && trouble_ == FaultKind::routerOnMachine ? R"(,"routers":["r3"])" : "") + "}";
    return R"({"by":"kim","machines":{)" + all + "}}";
  }

  // --- Load: at any router, also at one that stands still or is cut off
  event_loop::Task clients() {
    while (!ending_ && fault_.empty()) {
      ask(rig_.pick(rig_.routers()));
      co_await loop_.sleepUntil(loop_.now() + Duration::millis(4));
      readLogs();
      feedDiscovery();
    }
  }
  void ask(std::size_t router) {
    if (proxies_[router]->openRequestCount() > 40) return;
    constexpr const char* kTypes[] = {"book-charge", "route-lookup", "own-booking", "route-lookup"};
    const std::string type = kTypes[rig_.pick(4)];
    const bool isWrite = type == "book-charge";
    const std::string id = (isWrite ? "w" : "r") + std::to_string(++asked_);
    ext_proc::Headers headers{{":method", isWrite ? "POST" : "GET"},
                              {"x-txn-id", id},
                              {"x-txn-type", type},
                              {"x-txn-group", std::to_string(1 + rig_.pick(2))}};
    if (type == "own-booking") {
      headers.push_back({"x-txn-session", "driver-" + std::to_string(rig_.pick(20))});
      headers.push_back({"x-txn-write-age-ms", "3000"});
    }
    proxies_[router]->send({.headers = headers, .isWrite = isWrite, .remainingTime = Duration::millis(950)},
                           [this, router](fake_servers::Answer answer) {
                             committed_[router] += answer.outcome == "committed" || answer.status == 200;
                           });
  }

  bool isQuiet() const { return trouble_ == FaultKind::none || trouble_ == FaultKind::routerOnMachine; }
  bool isThrough(const std::string& name) const { return machines_.at(name).phase == "over"; }
  bool allThrough() const {
    return std::all_of(machines_.begin(), machines_.end(), [](auto& m) { return m.second.phase == "over"; });
  }

  event_loop::Task scene() {
    rig_.startAll();
    Instant by = loop_.now() + kBound;
    for (std::size_t i = 0; i < rig_.routers(); ++i)
      while (!waited(committed_[i] > 0, by, "all routers to serve")) co_await tick();
    std::vector<std::string> names;
    for (const auto& [name, machine] : machines_) names.push_back(name);
    const auto asked = saySoon(order(names));
    while (!waited(!asked->empty(), by, "the answer")) co_await tick();
    if (asked->find("\"done\":true") == std::string::npos) broken("refused: " + *asked);

    // The work on a machine takes as long as some reads.
    by = loop_.now() + kWhole;
    loop_.spawn(troubled());
    while (!waited(allThrough() && (troubledOver_ || isQuiet()), by, "the work to end")) {
      for (auto& [name, machine] : machines_) {
        if (withPrimaries_ && name != "mp" && machine.phase == "over") movePrimary();
        if (machine.phase != "free") {
          machine.doneAt = 0;
          continue;
        }
        if (machine.doneAt == 0) machine.doneAt = asked_ + 100;
        // What is told free stays so while the trouble lasts, and for a hundred questions more.
        if (asked_ < machine.doneAt || troubleOn_ || !machine.doneName.empty()) continue;
        machine.doneName = "asked";
        loop_.spawn(done(name));
      }
      co_await tick();
    }
    // Everything serves as before, at each router.
    by = loop_.now() + kBound;
    for (std::size_t i = 0; i < rig_.routers(); ++i)
      for (const auto before = committed_[i];
           !waited(committed_[i] > before, by, "a router that serves again");)
        co_await tick();
    for (const auto& [id, node] : nodes_)
      for (const auto before = node->requestCount;
           !waited(node->requestCount > before, by, "a node that is sent to again");)
        co_await tick();
    ending_ = true;
    loop_.stop();
  }
  event_loop::Task done(std::string name) {
    Machine& machine = machines_.at(name);
    if (name == "mb" && trouble_ == FaultKind::routerOnMachine) {
      if (rig_.endsWith(3) != 0) broken("the router on a machine that is free has not ended in good order");
      rig_.start(3);
    }
    // From when the word may have been heard txns may come again.
    machine.off = false;
    const auto answer = saySoon(request("done", name));
    while (fault_.empty() && answer->empty()) co_await tick();
    machine.doneName.clear();
  }
  void movePrimary() {
    for (const char* group : {"1", "2"}) {
      if (!nodes_.at(std::string("p") + group)->isPrimary || !isThrough("ma")) continue;
      nodes_.at(std::string("p") + group)->isPrimary = false;
      nodes_.at(std::string("a") + group)->isPrimary = true;
      list(std::string("p") + group, "up");
      list(std::string("a") + group, "up");
    }
  }

  // --- The trouble
  static constexpr Duration kWhole = Duration::millis(150'000);
  event_loop::Task troubled() {
    if (isQuiet()) co_return;
    const Instant by = loop_.now() + kWhole;
    // A router is troubled once it knows; others where the machine is.
    const std::size_t router = 4;
    const bool ofRouter = trouble_ == FaultKind::routerStops || trouble_ == FaultKind::routerCutOff ||
                          trouble_ == FaultKind::routerDeaf;
    const std::string phase = phase_;
    const auto come = [&] {
      if (ofRouter) return knows_[router].contains("ma " + phase) || knows_[router].contains("mb " + phase);
      return machines_["ma"].phase == phase || machines_["mb"].phase == phase;
    };
    while (!waited(come(), by, "the phase")) co_await tick();
    if (!fault_.empty()) co_return;
    troubleOn_ = true;
    const std::string hit = machines_["ma"].phase == phase ? "ma" : "mb";
    const std::uint64_t version = machines_[hit].version;
    // Until the plan has gone on without it, or has held still for some hundreds of questions.
    const auto goneOn = [&] { return machines_[hit].version > version; };
    std::uint64_t questions = asked_ + 1200;
    switch (trouble_) {
      case FaultKind::foremanKilled:
        rig_.kill(0);
        while (!waited(goneOn() || asked_ > questions, by, "others to go on")) co_await tick();
        rig_.start(0);
        break;
      case FaultKind::foremanStops:
        rig_.stop(0);
        while (!waited(goneOn() || asked_ > questions, by, "others to go on")) co_await tick();
        rig_.goOn(0);
        break;
      case FaultKind::foremanCutOff:
        cutKeeper(Flow::cut);
        cut_.insert(0);
        while (!waited(goneOn() || asked_ > questions, by, "others to go on")) co_await tick();
        cut_.erase(0);
        cutKeeper(Flow::open);
        break;
      case FaultKind::routerStops:
        rig_.stop(router);
        // Longer than its lease lasts, whether or not the machine is free by then.
        questions = asked_ + 2500;
        while (!waited(machines_[hit].off || asked_ > questions, by, "the machine to be free"))
          co_await tick();
        for (int n = 0; n < 30; ++n) ask(router);
        rig_.goOn(router);
        for (int n = 0; n < 30; ++n) {
          ask(router);
          co_await tick();
        }
        break;
      case FaultKind::routerCutOff:
      case FaultKind::routerDeaf: {
        // It knows that the machine is next, says so, and never hears that it leaves: its lease alone tells
        // it.
        if (phase == "next")
          for (std::size_t k = 0; k < rig_.keepers(); ++k) rig_.flow(router, k, Flow::deafBack);
        while (phase == "next" && !waited(goneOn(), by, "the next phase")) co_await tick();
        rig_.clockStands();
        for (std::size_t k = 0; k < rig_.keepers(); ++k)
          rig_.flow(router, k, trouble_ == FaultKind::routerDeaf ? Flow::deafBack : Flow::cut);
        const std::uint64_t before = committed_[router];
        questions = asked_ + 2500;
        while (!waited(machines_[hit].off || asked_ > questions, by, "the machine to be free"))
          co_await tick();
        for (const std::uint64_t more = asked_ + 300; asked_ < more && fault_.empty();) co_await tick();
        // It serves by itself all the while, from other nodes.
        if (committed_[router] == before) broken("a router that was cut off served nothing");
        for (std::size_t k = 0; k < rig_.keepers(); ++k) rig_.flow(router, k, Flow::open);
        break;
      }
      case FaultKind::powerAll: {
        std::vector<std::size_t> all;
        for (std::size_t i = 0; i < rig_.routers(); ++i) all.push_back(i);
        rig_.losePower(all);
        rig_.startAll();
        break;
      }
      case FaultKind::powerKeepers:
        rig_.losePower({1, 2});
        for (const std::uint64_t more = asked_ + 200; asked_ < more && fault_.empty();) co_await tick();
        rig_.startAll();
        break;
      case FaultKind::nodeLost: {
        const std::string other = hit == "ma" ? "b1" : "a1";
        lost_.insert(other);
        nodes_.at(other)->isDown = !hidesLoss_;
        if (!hidesLoss_) list(other, "gone");
        const auto gave = [&] { return machines_[hit].phase == "waits"; };
        while (!waited(gave(), by, "the machine to be given back")) co_await tick();
        lost_.erase(other);
        nodes_.at(other)->isDown = false;
        list(other, "up");
        break;
      }
      case FaultKind::operatorStops: {
        const auto answer = saySoon(request("stop", hit));
        while (!waited(!answer->empty(), by, "the answer")) co_await tick();
        break;
      }
      case FaultKind::asksAgain: {
        const std::pair<std::string, std::string> asks[] = {
            {order({hit}), "asked for it already"},
            {R"({"by":"jo","machines":{"mx":{"nodes":["p1","a1","b1"]}}})", "could not serve"},
            {R"({"by":"jo","machines":{"mx":{"nodes":["q9"]}}})", "no list names the node"},
            {R"({"by":"jo","machines":{"mx":{"routers":["r9"]}}})", "no router is called"},
            {R"({"by":"jo","machines":{"mx":{"nodes":["a1"]}}})", "stands on"},
            {R"({"by":"jo","machines":{"mx":{"node":["a1"]}}})", "is not known"},
            {request("done", "mz"), "is not in work"}};
        for (const auto& [text, why] : asks) {
          const auto answer = saySoon(text);
          while (!waited(!answer->empty(), by, "the answer")) co_await tick();
          if (answer->find(why) == std::string::npos) broken("not refused as it should be: " + *answer);
        }
        break;
      }
      case FaultKind::keeperDiskLost:
        rig_.kill(1);
        rig_.loseDisk(1);
        rig_.start(1);
        for (const std::uint64_t more = asked_ + 1200; asked_ < more && fault_.empty();) co_await tick();
        // The one that still knew besides the foreman goes, too: what the lost one holds by now has to do.
        rig_.kill(2);
        while (!waited(goneOn() || asked_ > questions + 2000, by, "others to go on")) co_await tick();
        rig_.start(2);
        break;
      default:
        break;
    }
    troubleOn_ = false;
    troubledOver_ = true;
  }
  // The first keeper and the others do not hear each other; nor does it hear the other routers.
  void cutKeeper(Flow how) {
    for (std::size_t i = 1; i < rig_.routers(); ++i) rig_.flow(i, 0, how);
    for (std::size_t k = 1; k < rig_.keepers(); ++k) rig_.flow(0, k, how);
  }

  fake_servers::FakeDiscovery discovery_;
  std::map<std::string, std::unique_ptr<fake_servers::FakeNode>> nodes_;
  std::map<std::string, std::uint64_t> groups_;
  Rig rig_;
  FaultKind trouble_;
  const char* phase_;
  bool withPrimaries_;
  std::map<std::string, Machine> machines_;
  std::vector<std::unique_ptr<fake_servers::FakeProxy>> proxies_;
  std::vector<std::size_t> logs_;  // read so far
  std::map<std::size_t, std::set<std::string>> knows_;
  std::set<std::size_t> cut_;
  bool hidesLoss_;
  std::set<std::string> lost_;  // nodes, for no work
  std::set<std::string> out_;   // as discovery was told last, by the plan of this version
  std::uint64_t announced_ = 0;
  std::map<std::size_t, std::uint64_t> committed_;
  std::map<std::string, unsigned> runs_;
  std::uint64_t asked_ = 0;
  bool ending_ = false, troubleOn_ = false, troubledOver_ = false;
};

std::string played(std::uint64_t seed, FaultKind trouble, const Shape& shape = {}, bool primaries = false,
                   std::uint64_t* asked = nullptr) {
  Work work(seed, trouble, shape, primaries);
  const std::string fault = work.play();
  if (asked) *asked += work.asked();
  if (!fault.empty())
    std::cerr << "seed " << seed << ", " << kTroubles[static_cast<int>(trouble)] << ": " << fault << "\n";
  return work.fault();
}

}  // namespace

int workKinds() { return static_cast<int>(FaultKind::kinds) + 1; }

int work(int kind, std::uint64_t seeds, std::uint64_t from) {
  // The last one is a machine of primaries, without a trouble.
  const bool primaries = kind == static_cast<int>(FaultKind::kinds);
  if (kind < 0 || kind >= workKinds()) return 2;
  std::string fault;
  std::uint64_t asked = 0;
  const auto began = std::time(nullptr);
  for (std::uint64_t seed = from; seed < from + seeds; ++seed)
    if (const auto one =
            played(seed * 100 + static_cast<std::uint64_t>(kind),
                   primaries ? FaultKind::none : static_cast<FaultKind>(kind), {}, primaries, &asked);
        !one.empty())
      fault = one;
  std::cout << (primaries ? "a machine of primaries, which have to move first" : kTroubles[kind]) << ": "
            << (fault.empty() ? "nothing came to what was free, budgets kept, all through" : fault)
            << std::endl;
  std::cerr << kind << ": " << seeds << " runs, " << asked << " questions, " << std::time(nullptr) - began
            << " s\n";
  return fault.empty() ? 0 : 1;
}

// A verdict that can't fail shows nothing.
int workBugs() {
  const auto found = [](const char* what, FaultKind trouble, const Shape& shape, const char* expected) {
    std::string fault;
    std::uint64_t seed = 0;
    // Even seeds: no node is slow, so each gets its part.
    while (seed < 40 && !fault.starts_with(expected)) fault = played(seed += 2, trouble, shape);
    std::cout << what << ": "
              << (fault.starts_with(expected) ? "found, " + std::string(expected) : "NOT FOUND") << std::endl;
    std::cerr << what << ": seed " << seed << "\n";
  };
  Shape slow;
  slow.slowClock = 4;
  found("a router whose running clock all but stands still", FaultKind::routerCutOff, slow,
        "a txn came to a node that was told free");
  Shape lying;
  lying.lyingDisk = true;
  lying.announces = false;
  found("disks that say that they synced and did not", FaultKind::powerAll, lying,
        "a txn came to a node that was told free");
  Shape hidden;
  hidden.hidesLoss = true;
  found("a node that is lost, listed, and tells that it serves", FaultKind::nodeLost, hidden,
        "more of a group away than its budget");
  return 0;
}

}  // namespace gulltrestle::fleet
