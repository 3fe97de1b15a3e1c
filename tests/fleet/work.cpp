// Machines taken out for work on real processes, while parts of the fleet fail. Judged by what came to which
// node, by what routers logged of the plan, and by how often each transaction ran; a fault is placed where a
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
  leaderKilled,
  leaderStalls,
  leaderCutOff,
  routerStalls,
  routerCutOff,
  routerDeaf,
  powerAll,
  powerVoters,
  nodeLost,
  operatorStops,
  repeatedRequests,
  voterDiskLost,
  routerOnMachine,
  kinds
};
constexpr const char* kFaultNames[] = {"no trouble",
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
  bool isReleased = false;  // released, and no operator has said yet that it is done
  std::string doneName;
  std::size_t doneAt = 0;
};

class MaintenanceScenario : private Scenario {
 public:
  MaintenanceScenario(std::uint64_t seed, FaultKind faultKind, const FleetOptions& options,
                      bool machineOfPrimaries = false)
      : discovery_(loop_),
        rig_(loop_, seed, with(options, faultKind)),
        faultKind_(faultKind),
        phase_(phaseOf(rig_, faultKind, options)),
        hasPrimaries_(machineOfPrimaries),
        hidesNodeLoss_(options.hidesNodeLoss) {
    for (const std::uint64_t group : {1, 2})
      for (const char* name : {"p", "a", "b"}) {
        const std::string id = name + std::to_string(group);
        auto& node = nodes_[id] = std::make_unique<fake_servers::FakeNode>(loop_, id, *name == 'p');
        groups_[id] = group;
        node->chooseFault = [this, id](const std::string& txn) {
          if (const Machine* m = machineOf(id); m && m->isReleased)
            fail("a txn came to a node that was told free: " + txn + " at " + id);
          return fake_servers::Fault::none;
        };
        // On odd seeds there is always something out when their machine's turn comes.
        if (*name == 'a' && seed % 2 == 1) node->executionTime = Duration::millis(200);
        list(id, "up");
      }
    machines_["ma"];
    machines_["mb"];
    if (hasPrimaries_) machines_["mp"];
    for (std::size_t i = 0; i < rig_.routers(); ++i) {
      fake_servers::FakeProxyConfig setup;
      setup.processor = rig_.processor(i);
      // Longer than anything stalls here: what was granted late would be used.
      setup.messageTimeout = Duration::millis(15'000);
      setup.maxAttempts = 1;
      proxies_.push_back(std::make_unique<fake_servers::FakeProxy>(loop_, setup));
    }
    logs_.resize(rig_.routers());
  }

  // What broke; empty: nothing.
  std::string play() {
    loop_.spawn(scenario());
    loop_.spawn(clients());
    run();
    if (fault_.empty()) fault_ = rig_.crashedRouter();
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
  std::uint64_t requestCount() const { return requestCount_; }

 private:
  static const char* phaseOf(Rig& rig, FaultKind faultKind, const FleetOptions& options) {
    // Where an injected fault shows.
    if (options.slowClockRouter < SIZE_MAX) return kPhases[0];
    if (options.hidesNodeLoss) return kPhases[1];
    if (options.hasLyingDisk) return kPhases[2];
    const bool early = faultKind == FaultKind::nodeLost || faultKind == FaultKind::operatorStops;
    return kPhases[rig.pick(early ? 2 : faultKind == FaultKind::repeatedRequests ? 3 : 4)];
  }
  FleetOptions with(FleetOptions options, FaultKind faultKind) const {
    // Where a router has nothing but its lease, discovery is not told: its list alone would do.
    options.announcesExclusions = options.announcesExclusions && faultKind != FaultKind::routerStalls &&
                                  faultKind != FaultKind::routerCutOff && faultKind != FaultKind::routerDeaf;
    options.routers = 5;
    options.discovery = discovery_.address();
    return options;
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
        loggedPhases_[i].insert(field("machine") + " " + field("phase"));
        if (version <= machine.version) continue;
        machine.version = version;
        machine.phase = field("phase");
        machine.why = line.substr(line.find("why=\""));
        std::ofstream(rig_.path() + "/plan.log", std::ios::app)
            << field("machine") << " " << machine.phase << " " << version << " " << machine.why << "\n";
        if (machine.phase == "free") onReleased(field("machine"), machine);
      }
    }
  }
  // Discovery is fed by what voters announce, the newest of it.
  void feedDiscovery() {
    for (std::size_t i = 0; i < rig_.voters(); ++i) {
      const std::string announcement = rig_.announced(i);
      const auto at = announcement.find("\"version\":");
      if (at == std::string::npos || std::stoull(announcement.substr(at + 10)) <= announced_) continue;
      announced_ = std::stoull(announcement.substr(at + 10));
      for (const auto& [id, node] : nodes_) {
        const bool out = announcement.find("\"" + id + "\"") != std::string::npos;
        if (out == (announcedOut_.count(id) > 0)) continue;
        if (out)
          announcedOut_.insert(id);
        else
          announcedOut_.erase(id);
        list(id, out ? "draining" : "up");
      }
    }
  }
  // The properties that hold in the moment in which a machine is released.
  void onReleased(const std::string& name, Machine& machine) {
    machine.isReleased = true;
    std::map<std::uint64_t, std::size_t> away;
    for (const auto& [id, node] : nodes_) {
      const Machine* on = machineOf(id);
      if ((on && on->isReleased) || lost_.contains(id)) ++away[groups_.at(id)];
      if (on == &machine && node->isPrimary) fail("a primary was told free: " + id);
    }
    for (const auto& [group, count] : away)
      if (count > 1)
        fail("more of a group away than its budget: " + name + ", group " + std::to_string(group));
  }

  // --- Operators
  std::optional<std::size_t> voter() {
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < rig_.voters(); ++i)
      if (rig_.isUp(i) && !cut_.contains(i)) up.push_back(i);
    if (up.empty()) return std::nullopt;
    return up[rig_.pick(up.size())];
  }
  std::string request(const std::string& what, const std::string& machine) const {
    return R"({"what":")" + what + R"(","by":"kim")" +
           (machine.empty() ? "" : R"(,"machine":")" + machine + "\"") + "}";
  }
  // Asks for the machines at any voter; again, at another, where it answers none for a while.
  event_loop::Task submit(std::string text, std::shared_ptr<std::string> answer) {
    while (fault_.empty() && answer->empty()) {
      const auto at = voter();
      if (!at) {
        co_await tick();
        continue;
      }
      const std::string name = rig_.putOperatorRequest(*at, text);
      const Instant until = loop_.now() + Duration::millis(4000);
      while (fault_.empty() && answer->empty() && rig_.isUp(*at) && loop_.now() < until) {
        *answer = rig_.operatorAnswer(*at, name);
        co_await tick();
      }
    }
  }
  std::shared_ptr<std::string> submitSoon(const std::string& text) {
    auto answer = std::make_shared<std::string>();
    loop_.spawn(submit(text, answer));
    return answer;
  }
  std::string planRequest(const std::vector<std::string>& names) const {
    std::string all;
    for (const auto& name : names)
      all += (all.empty() ? "" : ",") + ("\"" + name + R"(":{"zone":"z","takes_ms":1000,"nodes":[")") +
             name[1] + "1\",\"" + name[1] + "2\"]" +
             (name == "mb" && faultKind_ == FaultKind::routerOnMachine ? R"(,"routers":["r3"])" : "") + "}";
    return R"({"by":"kim","machines":{)" + all + "}}";
  }

  // --- Load: at any router, also at one that stalls or is cut off
  event_loop::Task clients() {
    while (!isEnding_ && fault_.empty()) {
      sendRequest(rig_.pick(rig_.routers()));
      co_await loop_.sleepUntil(loop_.now() + Duration::millis(4));
      readLogs();
      feedDiscovery();
    }
  }
  void sendRequest(std::size_t router) {
    if (proxies_[router]->openRequestCount() > 40) return;
    constexpr const char* kTypes[] = {"book-charge", "route-lookup", "own-booking", "route-lookup"};
    const std::string type = kTypes[rig_.pick(4)];
    const bool isWrite = type == "book-charge";
    const std::string id = (isWrite ? "w" : "r") + std::to_string(++requestCount_);
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

  bool isQuiet() const { return faultKind_ == FaultKind::none || faultKind_ == FaultKind::routerOnMachine; }
  bool isFinished(const std::string& name) const { return machines_.at(name).phase == "over"; }
  bool areAllFinished() const {
    return std::all_of(machines_.begin(), machines_.end(), [](auto& m) { return m.second.phase == "over"; });
  }

  event_loop::Task scenario() {
    rig_.startAll();
    Instant by = loop_.now() + kScenarioTimeout;
    for (std::size_t i = 0; i < rig_.routers(); ++i)
      while (!isDone(committed_[i] > 0, by, "all routers to serve")) co_await tick();
    std::vector<std::string> names;
    for (const auto& [name, machine] : machines_) names.push_back(name);
    const auto answer = submitSoon(planRequest(names));
    while (!isDone(!answer->empty(), by, "the answer")) co_await tick();
    if (answer->find("\"done\":true") == std::string::npos) fail("refused: " + *answer);

    // The work on a machine takes as long as some reads.
    by = loop_.now() + kMaintenanceTimeout;
    loop_.spawn(injectFault());
    while (!isDone(areAllFinished() && (isFaultOver_ || isQuiet()), by, "the work to end")) {
      for (auto& [name, machine] : machines_) {
        if (hasPrimaries_ && name != "mp" && machine.phase == "over") movePrimary();
        if (machine.phase != "free") {
          machine.doneAt = 0;
          continue;
        }
        if (machine.doneAt == 0) machine.doneAt = requestCount_ + 100;
        // What is released stays so while the fault lasts, and for a hundred requests more.
        if (requestCount_ < machine.doneAt || isFaultActive_ || !machine.doneName.empty()) continue;
        machine.doneName = "asked";
        loop_.spawn(done(name));
      }
      co_await tick();
    }
    // Everything serves as before, at each router.
    by = loop_.now() + kScenarioTimeout;
    for (std::size_t i = 0; i < rig_.routers(); ++i)
      for (const auto before = committed_[i];
           !isDone(committed_[i] > before, by, "a router that serves again");)
        co_await tick();
    for (const auto& [id, node] : nodes_)
      for (const auto before = node->requestCount;
           !isDone(node->requestCount > before, by, "a node that is sent to again");)
        co_await tick();
    isEnding_ = true;
    loop_.stop();
  }
  event_loop::Task done(std::string name) {
    Machine& machine = machines_.at(name);
    if (name == "mb" && faultKind_ == FaultKind::routerOnMachine) {
      if (rig_.exitCode(3) != 0) fail("the router on a machine that is free has not ended in good order");
      rig_.start(3);
    }
    // From when the word may have been heard transactions may come again.
    machine.isReleased = false;
    const auto answer = submitSoon(request("done", name));
    while (fault_.empty() && answer->empty()) co_await tick();
    machine.doneName.clear();
  }
  void movePrimary() {
    for (const char* group : {"1", "2"}) {
      if (!nodes_.at(std::string("p") + group)->isPrimary || !isFinished("ma")) continue;
      nodes_.at(std::string("p") + group)->isPrimary = false;
      nodes_.at(std::string("a") + group)->isPrimary = true;
      list(std::string("p") + group, "up");
      list(std::string("a") + group, "up");
    }
  }

  // --- The fault
  static constexpr Duration kMaintenanceTimeout = Duration::millis(150'000);
  static constexpr std::size_t kFaultyRouter = 4;  // where the fault is of a router and not of the leader
  // Where the fault finds the fleet.
  struct FaultSite {
    std::string phase, machine;      // the machine is in that phase
    std::uint64_t version = 0;       // of the plan, then
    std::uint64_t requestLimit = 0;  // where the plan does not advance meanwhile
    Instant deadline;
  };

  bool isRouterFault() const {
    return faultKind_ == FaultKind::routerStalls || faultKind_ == FaultKind::routerCutOff ||
           faultKind_ == FaultKind::routerDeaf;
  }
  // A fault of a router begins once it knows; others where the machine is.
  bool hasReachedPhase(const std::string& phase) {
    if (!isRouterFault()) return machines_["ma"].phase == phase || machines_["mb"].phase == phase;
    const auto& logged = loggedPhases_[kFaultyRouter];
    return logged.contains("ma " + phase) || logged.contains("mb " + phase);
  }
  bool hasAdvanced(const FaultSite& site) const { return machines_.at(site.machine).version > site.version; }
  bool hasAdvancedOrHeldStill(const FaultSite& site) const {
    return hasAdvanced(site) || requestCount_ > site.requestLimit;
  }
  bool isReleasedOrHeldStill(const FaultSite& site) const {
    return machines_.at(site.machine).isReleased || requestCount_ > site.requestLimit;
  }
  bool hasRequests(std::uint64_t count) const { return requestCount_ >= count || !fault_.empty(); }

  event_loop::Task injectFault() {
    if (isQuiet()) co_return;
    FaultSite site;
    site.phase = phase_;
    site.deadline = loop_.now() + kMaintenanceTimeout;
    while (!isDone(hasReachedPhase(site.phase), site.deadline, "the phase")) co_await tick();
    if (!fault_.empty()) co_return;
    isFaultActive_ = true;
    site.machine = machines_["ma"].phase == site.phase ? "ma" : "mb";
    site.version = machines_[site.machine].version;
    // Some hundreds of requests; a router's fault lasts longer than its lease, whether or not the machine is
    // released by then.
    site.requestLimit = requestCount_ + (isRouterFault() ? 2500 : 1200);
    loop_.spawn(faultTask(site));
  }
  // Each of them ends with endFault().
  event_loop::Task faultTask(const FaultSite& site) {
    switch (faultKind_) {
      case FaultKind::leaderKilled:
        return killLeader(site);
      case FaultKind::leaderStalls:
        return stallLeader(site);
      case FaultKind::leaderCutOff:
        return cutOffLeader(site);
      case FaultKind::routerStalls:
        return stallRouter(site);
      case FaultKind::routerCutOff:
      case FaultKind::routerDeaf:
        return cutOffRouter(site);
      case FaultKind::powerAll:
        return losePowerOfAll();
      case FaultKind::powerVoters:
        return losePowerOfVoters();
      case FaultKind::nodeLost:
        return loseNode(site);
      case FaultKind::operatorStops:
        return stopMaintenance(site);
      case FaultKind::repeatedRequests:
        return repeatRequests(site);
      default:
        return loseVoterDisk(site);
    }
  }
  void endFault() {
    isFaultActive_ = false;
    isFaultOver_ = true;
  }

  event_loop::Task killLeader(FaultSite site) {
    rig_.kill(0);
    while (!isDone(hasAdvancedOrHeldStill(site), site.deadline, "others to go on")) co_await tick();
    rig_.start(0);
    endFault();
  }
  event_loop::Task stallLeader(FaultSite site) {
    rig_.stop(0);
    while (!isDone(hasAdvancedOrHeldStill(site), site.deadline, "others to go on")) co_await tick();
    rig_.resume(0);
    endFault();
  }
  event_loop::Task cutOffLeader(FaultSite site) {
    setLeaderLinks(Flow::cut);
    cut_.insert(0);
    while (!isDone(hasAdvancedOrHeldStill(site), site.deadline, "others to go on")) co_await tick();
    cut_.erase(0);
    setLeaderLinks(Flow::open);
    endFault();
  }
  event_loop::Task stallRouter(FaultSite site) {
    constexpr int kRequests = 30;
    rig_.stop(kFaultyRouter);
    while (!isDone(isReleasedOrHeldStill(site), site.deadline, "the machine to be free")) co_await tick();
    for (int n = 0; n < kRequests; ++n) sendRequest(kFaultyRouter);
    rig_.resume(kFaultyRouter);
    for (int n = 0; n < kRequests; ++n) {
      sendRequest(kFaultyRouter);
      co_await tick();
    }
    endFault();
  }
  event_loop::Task cutOffRouter(FaultSite site) {
    // It knows that the machine is next, reports so, and never learns that it drains: it has its lease alone
    // to go by.
    if (site.phase == "next") setRouterLinks(Flow::blockedFromVoter);
    while (site.phase == "next" && !isDone(hasAdvanced(site), site.deadline, "the next phase"))
      co_await tick();
    rig_.stallClock();
    setRouterLinks(faultKind_ == FaultKind::routerDeaf ? Flow::blockedFromVoter : Flow::cut);
    const std::uint64_t before = committed_[kFaultyRouter];
    site.requestLimit = requestCount_ + 2500;
    while (!isDone(isReleasedOrHeldStill(site), site.deadline, "the machine to be free")) co_await tick();
    for (const std::uint64_t count = requestCount_ + 300; !hasRequests(count);) co_await tick();
    // It serves by itself all the while, from other nodes.
    if (committed_[kFaultyRouter] == before) fail("a router that was cut off served nothing");
    setRouterLinks(Flow::open);
    endFault();
  }
  event_loop::Task losePowerOfAll() {
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < rig_.routers(); ++i) all.push_back(i);
    rig_.losePower(all);
    rig_.startAll();
    endFault();
    co_return;
  }
  event_loop::Task losePowerOfVoters() {
    rig_.losePower({1, 2});
    for (const std::uint64_t count = requestCount_ + 200; !hasRequests(count);) co_await tick();
    rig_.startAll();
    endFault();
  }
  event_loop::Task loseNode(FaultSite site) {
    const std::string other = site.machine == "ma" ? "b1" : "a1";
    lost_.insert(other);
    nodes_.at(other)->isDown = !hidesNodeLoss_;
    if (!hidesNodeLoss_) list(other, "gone");
    while (!isDone(machines_[site.machine].phase == "waits", site.deadline, "the machine to be given back"))
      co_await tick();
    lost_.erase(other);
    nodes_.at(other)->isDown = false;
    list(other, "up");
    endFault();
  }
  event_loop::Task stopMaintenance(FaultSite site) {
    const auto answer = submitSoon(request("stop", site.machine));
    while (!isDone(!answer->empty(), site.deadline, "the answer")) co_await tick();
    endFault();
  }
  event_loop::Task repeatRequests(FaultSite site) {
    const std::pair<std::string, std::string> requests[] = {
        {planRequest({site.machine}), "asked for it already"},
        {R"({"by":"jo","machines":{"mx":{"nodes":["p1","a1","b1"]}}})", "could not serve"},
        {R"({"by":"jo","machines":{"mx":{"nodes":["q9"]}}})", "no list names the node"},
        {R"({"by":"jo","machines":{"mx":{"routers":["r9"]}}})", "no router is called"},
        {R"({"by":"jo","machines":{"mx":{"nodes":["a1"]}}})", "stands on"},
        {R"({"by":"jo","machines":{"mx":{"node":["a1"]}}})", "is not known"},
        {request("done", "mz"), "is not in work"}};
    for (const auto& [text, reason] : requests) {
      const auto answer = submitSoon(text);
      while (!isDone(!answer->empty(), site.deadline, "the answer")) co_await tick();
      if (answer->find(reason) == std::string::npos) fail("not refused as it should be: " + *answer);
    }
    endFault();
  }
  event_loop::Task loseVoterDisk(FaultSite site) {
    rig_.kill(1);
    rig_.loseDisk(1);
    rig_.start(1);
    for (const std::uint64_t count = requestCount_ + 1200; !hasRequests(count);) co_await tick();
    // The one that still knew besides the leader goes, too: what the lost one has by now has to do.
    rig_.kill(2);
    site.requestLimit += 2000;
    while (!isDone(hasAdvancedOrHeldStill(site), site.deadline, "others to go on")) co_await tick();
    rig_.start(2);
    endFault();
  }
  // The first voter and the others do not hear each other; nor does it hear the other routers.
  void setLeaderLinks(Flow how) {
    for (std::size_t i = 1; i < rig_.routers(); ++i) rig_.flow(i, 0, how);
    for (std::size_t k = 1; k < rig_.voters(); ++k) rig_.flow(0, k, how);
  }
  void setRouterLinks(Flow how) {
    for (std::size_t k = 0; k < rig_.voters(); ++k) rig_.flow(kFaultyRouter, k, how);
  }

  fake_servers::FakeDiscovery discovery_;
  std::map<std::string, std::unique_ptr<fake_servers::FakeNode>> nodes_;
  std::map<std::string, std::uint64_t> groups_;
  Rig rig_;
  FaultKind faultKind_;
  const char* phase_;
  bool hasPrimaries_;
  std::map<std::string, Machine> machines_;
  std::vector<std::unique_ptr<fake_servers::FakeProxy>> proxies_;
  std::vector<std::size_t> logs_;  // read so far
  std::map<std::size_t, std::set<std::string>> loggedPhases_;
  std::set<std::size_t> cut_;
  bool hidesNodeLoss_;
  std::set<std::string> lost_;          // nodes, for no work
  std::set<std::string> announcedOut_;  // as discovery was told last, by the plan of this version
  std::uint64_t announced_ = 0;
  std::map<std::size_t, std::uint64_t> committed_;
  std::map<std::string, unsigned> runs_;
  std::uint64_t requestCount_ = 0;
  bool isEnding_ = false, isFaultActive_ = false, isFaultOver_ = false;
};

std::string runSeed(std::uint64_t seed, FaultKind faultKind, const FleetOptions& options = {},
                    bool primaries = false, std::uint64_t* requestCount = nullptr) {
  MaintenanceScenario maintenance(seed, faultKind, options, primaries);
  const std::string fault = maintenance.play();
  if (requestCount) *requestCount += maintenance.requestCount();
  if (!fault.empty())
    std::cerr << "seed " << seed << ", " << kFaultNames[static_cast<int>(faultKind)] << ": " << fault << "\n";
  return maintenance.fault();
}

}  // namespace

int maintenanceKinds() { return static_cast<int>(FaultKind::kinds) + 1; }

int maintenance(int kind, std::uint64_t seeds, std::uint64_t from) {
  // The last one is a machine of primaries, without a fault.
  const bool primaries = kind == static_cast<int>(FaultKind::kinds);
  if (kind < 0 || kind >= maintenanceKinds()) return 2;
  std::string fault;
  std::uint64_t requestCount = 0;
  const auto began = std::time(nullptr);
  for (std::uint64_t seed = from; seed < from + seeds; ++seed)
    if (const auto one =
            runSeed(seed * 100 + static_cast<std::uint64_t>(kind),
                    primaries ? FaultKind::none : static_cast<FaultKind>(kind), {}, primaries, &requestCount);
        !one.empty())
      fault = one;
  std::cout << (primaries ? "a machine of primaries, which have to move first" : kFaultNames[kind]) << ": "
            << (fault.empty() ? "nothing came to what was free, budgets kept, all through" : fault)
            << std::endl;
  std::cerr << kind << ": " << seeds << " runs, " << requestCount << " questions, "
            << std::time(nullptr) - began << " s\n";
  return fault.empty() ? 0 : 1;
}

// A verdict that can't fail shows nothing.
int maintenanceBugs() {
  const auto found = [](const char* what, FaultKind faultKind, const FleetOptions& options,
                        const char* expected) {
    std::string fault;
    std::uint64_t seed = 0;
    // Even seeds: no node is slow, so each gets its part.
    while (seed < 40 && !fault.starts_with(expected)) fault = runSeed(seed += 2, faultKind, options);
    std::cout << what << ": "
              << (fault.starts_with(expected) ? "found, " + std::string(expected) : "NOT FOUND") << std::endl;
    std::cerr << what << ": seed " << seed << "\n";
  };
  FleetOptions slow;
  slow.slowClockRouter = 4;
  found("a router whose running clock all but stands still", FaultKind::routerCutOff, slow,
        "a txn came to a node that was told free");
  FleetOptions lying;
  lying.hasLyingDisk = true;
  lying.announcesExclusions = false;
  found("disks that say that they synced and did not", FaultKind::powerAll, lying,
        "a txn came to a node that was told free");
  FleetOptions hidden;
  hidden.hidesNodeLoss = true;
  found("a node that is lost, listed, and tells that it serves", FaultKind::nodeLost, hidden,
        "more of a group away than its budget");
  return 0;
}

}  // namespace gulltrestle::fleet
