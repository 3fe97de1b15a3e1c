// Maintenance of machines with real processes, while parts of the fleet fail. A fault is injected when a
// machine reaches a phase of the maintenance plan. Checked by which node received which transaction, by the
// plan that routers logged, and by how often each transaction ran.
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
  routerIncomingBlocked,
  powerAll,
  powerVoters,
  nodeLost,
  operatorStops,
  repeatedRequests,
  voterDiskLost,
  routerOnMachine,
  kinds
};
constexpr const char* kFaultNames[] = {"no fault",
                                       "the maintenance leader is killed",
                                       "the maintenance leader stalls",
                                       "the maintenance leader is cut off from the other voters",
                                       "a router stalls with requests in its sockets",
                                       "a router is cut off from all voters",
                                       "the messages of all voters to a router are blocked",
                                       "all routers lose power",
                                       "two voters of three lose power",
                                       "a group loses another node",
                                       "an operator stops the machine",
                                       "the same machine is requested again, and some that can't be drained",
                                       "a voter loses its disk",
                                       "a machine also hosts a router"};
constexpr const char* kPhases[] = {"next", "leaves", "free", "returns"};

struct Machine {
  std::string phase = "unknown";
  std::uint64_t version = 0;
  std::string reason;
  bool isReleased = false;  // released, and no operator has reported yet that the work is done
  std::string pendingDoneRequest;
  std::size_t doneAtRequestCount = 0;
};

class MaintenanceScenario : private Scenario {
 public:
  MaintenanceScenario(std::uint64_t seed, FaultKind faultKind, const FleetOptions& options,
                      bool hasPrimaries = false)
      : discovery_(loop_),
        fleet_(loop_, seed, adjustedOptions(options, faultKind)),
        faultKind_(faultKind),
        phase_(phaseOf(fleet_, faultKind, options)),
        hasPrimaries_(hasPrimaries),
        hidesNodeLoss_(options.hidesNodeLoss) {
    for (const std::uint64_t group : {1, 2})
      for (const char* name : {"p", "a", "b"}) {
        const std::string id = name + std::to_string(group);
        auto& node = nodes_[id] = std::make_unique<fake_servers::FakeNode>(loop_, id, *name == 'p');
        groups_[id] = group;
        node->chooseFault = [this, id](const std::string& txn) {
          if (const Machine* m = machineOf(id); m && m->isReleased)
            fail("a txn reached a node that was released: " + txn + " at " + id);
          return fake_servers::Fault::none;
        };
        // On odd seeds, requests are always in flight at these nodes when their machine is drained.
        if (*name == 'a' && seed % 2 == 1) node->executionTime = Duration::millis(200);
        publishNode(id, "up");
      }
    machines_["ma"];
    machines_["mb"];
    if (hasPrimaries_) machines_["mp"];
    for (std::size_t i = 0; i < fleet_.routers(); ++i) {
      fake_servers::FakeProxyConfig proxyConfig;
      proxyConfig.processor = fleet_.processorAddress(i);
      // Longer than any stall in this test, so that a lease that is granted late would still be used.
      proxyConfig.messageTimeout = Duration::millis(15'000);
      proxyConfig.maxAttempts = 1;
      proxies_.push_back(std::make_unique<fake_servers::FakeProxy>(loop_, proxyConfig));
    }
    logOffsets_.resize(fleet_.routers());
  }

  // Runs the scenario. Returns the first fault found; empty: none.
  std::string play() {
    loop_.spawn(scenario());
    loop_.spawn(clients());
    run();
    if (fault_.empty()) fault_ = fleet_.crashedRouter();
    for (const auto& [id, node] : nodes_)
      for (const auto& [txn, count] : node->runCounts) runs_[txn] += count;
    for (const auto& [txn, count] : runs_)
      if (txn[0] == 'w' && count > 1 && fault_.empty()) fault_ = "ran twice: " + txn;
    if (fault_.empty()) return "";
    fleet_.keepFiles();
    fault_ += ", in phase " + std::string(phase_);
    return fault_ + "; logs in " + fleet_.path();
  }
  const std::string& fault() const { return fault_; }
  std::uint64_t requestCount() const { return requestCount_; }

 private:
  static const char* phaseOf(TestFleet& testFleet, FaultKind faultKind, const FleetOptions& options) {
    // The phase in which the injected bug has an effect.
    if (options.slowClockRouter < SIZE_MAX) return kPhases[0];
    if (options.hidesNodeLoss) return kPhases[1];
    if (options.hasLyingDisk) return kPhases[2];
    const bool isEarlyFault = faultKind == FaultKind::nodeLost || faultKind == FaultKind::operatorStops;
    return kPhases[testFleet.pick(isEarlyFault ? 2 : faultKind == FaultKind::repeatedRequests ? 3 : 4)];
  }
  FleetOptions adjustedOptions(FleetOptions options, FaultKind faultKind) const {
    // Faults that test the endpoint lease run without announcements to discovery: the endpoint list alone
    // would keep the router from the nodes.
    options.announcesExclusions = options.announcesExclusions && faultKind != FaultKind::routerStalls &&
                                  faultKind != FaultKind::routerCutOff &&
                                  faultKind != FaultKind::routerIncomingBlocked;
    options.routers = 5;
    options.discovery = discovery_.address();
    return options;
  }
  void publishNode(const std::string& id, const std::string& state) {
    discovery_.set({id, nodes_.at(id)->address(), state, nodes_.at(id)->isPrimary, groups_.at(id)});
  }
  const Machine* machineOf(const std::string& node) const {
    const auto at = machines_.find(std::string("m") + node[0]);
    return at == machines_.end() ? nullptr : &at->second;
  }

  // --- The plan as the routers log it: the newest version of each machine's phase
  void readLogs() {
    for (std::size_t i = 0; i < logOffsets_.size(); ++i) {
      std::ifstream file(fleet_.logPath(i), std::ios::binary);
      file.seekg(static_cast<std::streamoff>(logOffsets_[i]));
      std::string line;
      while (std::getline(file, line) && !file.eof()) {
        logOffsets_[i] += line.size() + 1;
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
        machine.reason = line.substr(line.find("reason=\""));
        std::ofstream(fleet_.path() + "/plan.log", std::ios::app)
            << field("machine") << " " << machine.phase << " " << version << " " << machine.reason << "\n";
        if (machine.phase == "free") onReleased(field("machine"), machine);
      }
    }
  }
  // Applies the newest announcement of the voters to discovery.
  void applyAnnouncements() {
    for (std::size_t i = 0; i < fleet_.voters(); ++i) {
      const std::string announcement = fleet_.announcement(i);
      const auto at = announcement.find("\"version\":");
      if (at == std::string::npos || std::stoull(announcement.substr(at + 10)) <= announcedVersion_) continue;
      announcedVersion_ = std::stoull(announcement.substr(at + 10));
      for (const auto& [id, node] : nodes_) {
        const bool isExcluded = announcement.find("\"" + id + "\"") != std::string::npos;
        if (isExcluded == (excludedNodes_.count(id) > 0)) continue;
        if (isExcluded)
          excludedNodes_.insert(id);
        else
          excludedNodes_.erase(id);
        publishNode(id, isExcluded ? "draining" : "up");
      }
    }
  }
  // Checks what must hold at the moment in which a machine is released.
  void onReleased(const std::string& name, Machine& machine) {
    machine.isReleased = true;
    std::map<std::uint64_t, std::size_t> away;
    for (const auto& [id, node] : nodes_) {
      const Machine* hosting = machineOf(id);
      if ((hosting && hosting->isReleased) || lostNodes_.contains(id)) ++away[groups_.at(id)];
      if (hosting == &machine && node->isPrimary) fail("a primary was released: " + id);
    }
    for (const auto& [group, count] : away)
      if (count > 1)
        fail("more nodes of a group away than its budget: " + name + ", group " + std::to_string(group));
  }

  // --- Operators
  std::optional<std::size_t> pickVoter() {
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < fleet_.voters(); ++i)
      if (fleet_.isUp(i) && !cutOffVoters_.contains(i)) up.push_back(i);
    if (up.empty()) return std::nullopt;
    return up[fleet_.pick(up.size())];
  }
  std::string request(const std::string& what, const std::string& machine) const {
    return R"({"what":")" + what + R"(","by":"kim")" +
           (machine.empty() ? "" : R"(,"machine":")" + machine + "\"") + "}";
  }
  // Submits a request to any voter, and to another one if there is no answer for 4 s.
  event_loop::Task submit(std::string text, std::shared_ptr<std::string> answer) {
    while (fault_.empty() && answer->empty()) {
      const auto target = pickVoter();
      if (!target) {
        co_await tick();
        continue;
      }
      const std::string name = fleet_.putOperatorRequest(*target, text);
      const Instant until = loop_.now() + Duration::millis(4000);
      while (fault_.empty() && answer->empty() && fleet_.isUp(*target) && loop_.now() < until) {
        *answer = fleet_.operatorAnswer(*target, name);
        co_await tick();
      }
    }
  }
  std::shared_ptr<std::string> startSubmit(const std::string& text) {
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

  // --- Load: sent to all routers, also to stalled or cut off ones
  event_loop::Task clients() {
    while (!isEnding_ && fault_.empty()) {
      sendRequest(fleet_.pick(fleet_.routers()));
      co_await loop_.sleepUntil(loop_.now() + Duration::millis(4));
      readLogs();
      applyAnnouncements();
    }
  }
  void sendRequest(std::size_t router) {
    if (proxies_[router]->openRequestCount() > 40) return;
    constexpr const char* kTypes[] = {"book-charge", "route-lookup", "own-booking", "route-lookup"};
    const std::string type = kTypes[fleet_.pick(4)];
    const bool isWrite = type == "book-charge";
    const std::string id = (isWrite ? "w" : "r") + std::to_string(++requestCount_);
    ext_proc::Headers headers{{":method", isWrite ? "POST" : "GET"},
                              {"x-txn-id", id},
                              {"x-txn-type", type},
                              {"x-txn-group", std::to_string(1 + fleet_.pick(2))}};
    if (type == "own-booking") {
      headers.push_back({"x-txn-session", "driver-" + std::to_string(fleet_.pick(20))});
      headers.push_back({"x-txn-write-age-ms", "3000"});
    }
    proxies_[router]->send({.headers = headers, .isWrite = isWrite, .remainingTime = Duration::millis(950)},
                           [this, router](fake_servers::Answer answer) {
                             committed_[router] += answer.outcome == "committed" || answer.status == 200;
                           });
  }

  bool hasNoInjectedFault() const {
    return faultKind_ == FaultKind::none || faultKind_ == FaultKind::routerOnMachine;
  }
  bool isFinished(const std::string& name) const { return machines_.at(name).phase == "over"; }
  bool areAllFinished() const {
    return std::all_of(machines_.begin(), machines_.end(), [](auto& m) { return m.second.phase == "over"; });
  }

  event_loop::Task scenario() {
    fleet_.startAll();
    Instant until = loop_.now() + kScenarioTimeout;
    for (std::size_t i = 0; i < fleet_.routers(); ++i)
      while (!isDone(committed_[i] > 0, until, "all routers to serve")) co_await tick();
    std::vector<std::string> names;
    for (const auto& [name, machine] : machines_) names.push_back(name);
    const auto answer = startSubmit(planRequest(names));
    while (!isDone(!answer->empty(), until, "the answer to an operator request")) co_await tick();
    if (answer->find("\"done\":true") == std::string::npos) fail("operator request rejected: " + *answer);

    // The work on a machine takes a number of requests, not a time.
    until = loop_.now() + kMaintenanceTimeout;
    loop_.spawn(injectFault());
    while (!isDone(areAllFinished() && (isFaultOver_ || hasNoInjectedFault()), until,
                   "the end of maintenance")) {
      for (auto& [name, machine] : machines_) {
        if (hasPrimaries_ && name != "mp" && machine.phase == "over") movePrimary();
        if (machine.phase != "free") {
          machine.doneAtRequestCount = 0;
          continue;
        }
        if (machine.doneAtRequestCount == 0) machine.doneAtRequestCount = requestCount_ + 100;
        // A machine stays released while the fault lasts, and for at least a hundred requests.
        if (requestCount_ < machine.doneAtRequestCount || isFaultActive_ ||
            !machine.pendingDoneRequest.empty())
          continue;
        machine.pendingDoneRequest = "requested";
        loop_.spawn(reportDone(name));
      }
      co_await tick();
    }
    // All routers and all nodes serve again.
    until = loop_.now() + kScenarioTimeout;
    for (std::size_t i = 0; i < fleet_.routers(); ++i)
      for (const auto before = committed_[i];
           !isDone(committed_[i] > before, until, "a router that serves again");)
        co_await tick();
    for (const auto& [id, node] : nodes_)
      for (const auto before = node->requestCount;
           !isDone(node->requestCount > before, until, "a node that receives transactions again");)
        co_await tick();
    isEnding_ = true;
    loop_.stop();
  }
  event_loop::Task reportDone(std::string name) {
    Machine& machine = machines_.at(name);
    if (name == "mb" && faultKind_ == FaultKind::routerOnMachine) {
      const int code = fleet_.exitCode(3);
      if (code != 0)
        fail("the router on a released machine has not shut down gracefully: " +
             (code == -1 ? "it still runs" : "exit code " + std::to_string(code)));
      fleet_.start(3);
    }
    // Transactions may reach the nodes again as soon as a voter may have read the request.
    machine.isReleased = false;
    const auto answer = startSubmit(request("done", name));
    while (fault_.empty() && answer->empty()) co_await tick();
    machine.pendingDoneRequest.clear();
  }
  void movePrimary() {
    for (const char* group : {"1", "2"}) {
      if (!nodes_.at(std::string("p") + group)->isPrimary || !isFinished("ma")) continue;
      nodes_.at(std::string("p") + group)->isPrimary = false;
      nodes_.at(std::string("a") + group)->isPrimary = true;
      publishNode(std::string("p") + group, "up");
      publishNode(std::string("a") + group, "up");
    }
  }

  // --- The fault
  static constexpr Duration kMaintenanceTimeout = Duration::millis(150'000);
  static constexpr std::size_t kFaultyRouter = 4;  // for faults of a router other than the leader
  // The state of the maintenance plan when the fault is injected.
  struct FaultSite {
    std::string phase, machine;      // that machine is in that phase
    std::uint64_t version = 0;       // plan version at that time
    std::uint64_t requestLimit = 0;  // where the fault ends even if the plan does not advance
    Instant deadline;
  };

  bool isRouterFault() const {
    return faultKind_ == FaultKind::routerStalls || faultKind_ == FaultKind::routerCutOff ||
           faultKind_ == FaultKind::routerIncomingBlocked;
  }
  // A fault of a router begins once that router has logged the phase, other faults once the plan has reached
  // it.
  bool hasReachedPhase(const std::string& phase) {
    if (!isRouterFault()) return machines_["ma"].phase == phase || machines_["mb"].phase == phase;
    const auto& logged = loggedPhases_[kFaultyRouter];
    return logged.contains("ma " + phase) || logged.contains("mb " + phase);
  }
  bool hasAdvanced(const FaultSite& site) const { return machines_.at(site.machine).version > site.version; }
  bool hasAdvancedOrReachedLimit(const FaultSite& site) const {
    return hasAdvanced(site) || requestCount_ > site.requestLimit;
  }
  bool isReleasedOrReachedLimit(const FaultSite& site) const {
    return machines_.at(site.machine).isReleased || requestCount_ > site.requestLimit;
  }
  bool hasRequests(std::uint64_t count) const { return requestCount_ >= count || !fault_.empty(); }

  event_loop::Task injectFault() {
    if (hasNoInjectedFault()) co_return;
    FaultSite site;
    site.phase = phase_;
    site.deadline = loop_.now() + kMaintenanceTimeout;
    while (!isDone(hasReachedPhase(site.phase), site.deadline, "the phase")) co_await tick();
    if (!fault_.empty()) co_return;
    isFaultActive_ = true;
    site.machine = machines_["ma"].phase == site.phase ? "ma" : "mb";
    site.version = machines_[site.machine].version;
    // The limit allows for some hundreds of requests. A router's fault lasts longer than its lease, whether
    // or not the machine is released by then.
    site.requestLimit = requestCount_ + (isRouterFault() ? 2500 : 1200);
    loop_.spawn(faultTask(site));
  }
  // Each of these tasks calls endFault() at its end.
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
      case FaultKind::routerIncomingBlocked:
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
    fleet_.kill(0);
    while (!isDone(hasAdvancedOrReachedLimit(site), site.deadline, "the others to continue")) co_await tick();
    fleet_.start(0);
    endFault();
  }
  event_loop::Task stallLeader(FaultSite site) {
    fleet_.stop(0);
    while (!isDone(hasAdvancedOrReachedLimit(site), site.deadline, "the others to continue")) co_await tick();
    fleet_.resume(0);
    endFault();
  }
  event_loop::Task cutOffLeader(FaultSite site) {
    setLeaderLinks(Flow::cut);
    cutOffVoters_.insert(0);
    while (!isDone(hasAdvancedOrReachedLimit(site), site.deadline, "the others to continue")) co_await tick();
    cutOffVoters_.erase(0);
    setLeaderLinks(Flow::open);
    endFault();
  }
  event_loop::Task stallRouter(FaultSite site) {
    constexpr int kRequests = 30;
    fleet_.stop(kFaultyRouter);
    while (!isDone(isReleasedOrReachedLimit(site), site.deadline, "the release of the machine"))
      co_await tick();
    for (int n = 0; n < kRequests; ++n) sendRequest(kFaultyRouter);
    fleet_.resume(kFaultyRouter);
    for (int n = 0; n < kRequests; ++n) {
      sendRequest(kFaultyRouter);
      co_await tick();
    }
    endFault();
  }
  event_loop::Task cutOffRouter(FaultSite site) {
    // The router knows and has reported that the machine is next, but never receives that it drains: only the
    // endpoint lease keeps it from the nodes.
    if (site.phase == "next") setRouterLinks(Flow::blockedFromVoter);
    while (site.phase == "next" && !isDone(hasAdvanced(site), site.deadline, "the next phase"))
      co_await tick();
    fleet_.stallClock();
    setRouterLinks(faultKind_ == FaultKind::routerIncomingBlocked ? Flow::blockedFromVoter : Flow::cut);
    const std::uint64_t before = committed_[kFaultyRouter];
    site.requestLimit = requestCount_ + 2500;
    while (!isDone(isReleasedOrReachedLimit(site), site.deadline, "the release of the machine"))
      co_await tick();
    for (const std::uint64_t count = requestCount_ + 300; !hasRequests(count);) co_await tick();
    // The router serves from other nodes all the while.
    if (committed_[kFaultyRouter] == before) fail("a router that was cut off committed nothing");
    setRouterLinks(Flow::open);
    endFault();
  }
  event_loop::Task losePowerOfAll() {
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < fleet_.routers(); ++i) all.push_back(i);
    fleet_.losePower(all);
    fleet_.startAll();
    endFault();
    co_return;
  }
  event_loop::Task losePowerOfVoters() {
    fleet_.losePower({1, 2});
    for (const std::uint64_t count = requestCount_ + 200; !hasRequests(count);) co_await tick();
    fleet_.startAll();
    endFault();
  }
  event_loop::Task loseNode(FaultSite site) {
    const std::string other = site.machine == "ma" ? "b1" : "a1";
    lostNodes_.insert(other);
    nodes_.at(other)->isDown = !hidesNodeLoss_;
    if (!hidesNodeLoss_) publishNode(other, "gone");
    while (!isDone(machines_[site.machine].phase == "waits", site.deadline, "the machine to wait again"))
      co_await tick();
    lostNodes_.erase(other);
    nodes_.at(other)->isDown = false;
    publishNode(other, "up");
    endFault();
  }
  event_loop::Task stopMaintenance(FaultSite site) {
    const auto answer = startSubmit(request("stop", site.machine));
    while (!isDone(!answer->empty(), site.deadline, "the answer to an operator request")) co_await tick();
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
      const auto answer = startSubmit(text);
      while (!isDone(!answer->empty(), site.deadline, "the answer to an operator request")) co_await tick();
      if (answer->find(reason) == std::string::npos)
        fail("expected a rejection for another reason: " + *answer);
    }
    endFault();
  }
  event_loop::Task loseVoterDisk(FaultSite site) {
    fleet_.kill(1);
    fleet_.loseDisk(1);
    fleet_.start(1);
    for (const std::uint64_t count = requestCount_ + 1200; !hasRequests(count);) co_await tick();
    // Kills the only other voter that still has the plan besides the leader: the voter with the lost disk
    // must have it again by now.
    fleet_.kill(2);
    site.requestLimit += 2000;
    while (!isDone(hasAdvancedOrReachedLimit(site), site.deadline, "the others to continue")) co_await tick();
    fleet_.start(2);
    endFault();
  }
  // Sets the links between the first voter, which leads, and all other voters and routers.
  void setLeaderLinks(Flow flow) {
    for (std::size_t i = 1; i < fleet_.routers(); ++i) fleet_.setFlow(i, 0, flow);
    for (std::size_t k = 1; k < fleet_.voters(); ++k) fleet_.setFlow(0, k, flow);
  }
  void setRouterLinks(Flow flow) {
    for (std::size_t k = 0; k < fleet_.voters(); ++k) fleet_.setFlow(kFaultyRouter, k, flow);
  }

  fake_servers::FakeDiscovery discovery_;
  std::map<std::string, std::unique_ptr<fake_servers::FakeNode>> nodes_;
  std::map<std::string, std::uint64_t> groups_;
  TestFleet fleet_;
  FaultKind faultKind_;
  const char* phase_;
  bool hasPrimaries_;
  std::map<std::string, Machine> machines_;
  std::vector<std::unique_ptr<fake_servers::FakeProxy>> proxies_;
  std::vector<std::size_t> logOffsets_;  // bytes read of each router's log
  std::map<std::size_t, std::set<std::string>> loggedPhases_;
  std::set<std::size_t> cutOffVoters_;
  bool hidesNodeLoss_;
  std::set<std::string> lostNodes_;      // nodes that are down, but not for maintenance
  std::set<std::string> excludedNodes_;  // according to the announcement of announcedVersion_
  std::uint64_t announcedVersion_ = 0;
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
  // The last kind is a machine of primaries, without a fault.
  const bool primaries = kind == static_cast<int>(FaultKind::kinds);
  if (kind < 0 || kind >= maintenanceKinds()) return 2;
  std::string fault;
  std::uint64_t requestCount = 0;
  const auto startedAt = std::time(nullptr);
  for (std::uint64_t seed = from; seed < from + seeds; ++seed)
    if (const auto seedFault =
            runSeed(seed * 100 + static_cast<std::uint64_t>(kind),
                    primaries ? FaultKind::none : static_cast<FaultKind>(kind), {}, primaries, &requestCount);
        !seedFault.empty())
      fault = seedFault;
  std::cout << (primaries ? "a machine of primaries, which must move first" : kFaultNames[kind]) << ": "
            << (fault.empty() ? "no txn reached a released node, budgets kept, maintenance completed" : fault)
            << std::endl;
  std::cerr << kind << ": " << seeds << " runs, " << requestCount << " requests, "
            << std::time(nullptr) - startedAt << " s\n";
  return fault.empty() ? 0 : 1;
}

// Checks that the test detects injected bugs. A check that can't fail proves nothing.
int maintenanceInjectedBugs() {
  const auto expectDetected = [](const char* what, FaultKind faultKind, const FleetOptions& options,
                                 const char* expected) {
    std::string fault;
    std::uint64_t seed = 0;
    // Even seeds: no node is slow, so each gets its share of the requests.
    while (seed < 40 && !fault.starts_with(expected)) fault = runSeed(seed += 2, faultKind, options);
    std::cout << what << ": "
              << (fault.starts_with(expected) ? "detected, " + std::string(expected) : "NOT DETECTED")
              << std::endl;
    std::cerr << what << ": seed " << seed << "\n";
  };
  FleetOptions slowClock;
  slowClock.slowClockRouter = 4;
  expectDetected("a router whose monotonic clock almost stops", FaultKind::routerCutOff, slowClock,
                 "a txn reached a node that was released");
  FleetOptions fakesDiskSyncs;
  fakesDiskSyncs.hasLyingDisk = true;
  fakesDiskSyncs.announcesExclusions = false;
  expectDetected("disks that report syncs they have not done", FaultKind::powerAll, fakesDiskSyncs,
                 "a txn reached a node that was released");
  FleetOptions hidesLoss;
  hidesLoss.hidesNodeLoss = true;
  expectDetected("a lost node that stays listed and reports that it is up", FaultKind::nodeLost, hidesLoss,
                 "more nodes of a group away than its budget");
  return 0;
}

}  // namespace gulltrestle::fleet
