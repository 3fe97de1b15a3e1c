// Tests the join protocol, a voter's failure detector and the membership view from several voters' reports,
// step by step; and starts of routers in simulated fleets. Run as `members CASE [SEEDS]`: prints the case's
// trace.
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>

#include "membership/failure_detector.h"
#include "membership/heartbeat_timer.h"
#include "membership/join_protocol.h"
#include "membership/membership_view.h"

using namespace gulltrestle;
using namespace gulltrestle::membership;

namespace {

Duration ms(std::int64_t n) { return Duration::millis(n); }
const Instant kBegin = Instant() + Duration::millis(1'000'000);

// --- Step by step

// A join protocol with three voters that prints its state and requests after each call.
class PrintedJoin {
 public:
  explicit PrintedJoin(std::uint64_t draw) : joinProtocol_(3, draw) {}

  JoinProtocol& underlying() { return joinProtocol_; }
  void newestKnown(VoterIndex voter, const Incarnation& newest, const char* description) {
    joinProtocol_.onNewestKnown(kBegin, voter, newest);
    print(description);
  }
  void joinReply(VoterIndex voter, const Incarnation& newest, const char* description) {
    joinProtocol_.onJoinReply(kBegin, voter, newest);
    print(description);
  }
  void print(const char* description) {
    std::cout << description << ": " << nameOf(joinProtocol_.state()) << " "
              << joinProtocol_.incarnation().number << ";";
    for (const auto& [voter, number] : joinProtocol_.takeJoinRequests())
      std::cout << " requests " << number << " from " << voter;
    std::cout << "\n";
  }

 private:
  JoinProtocol joinProtocol_;
};

void printJoinThenSuperseded() {
  PrintedJoin join(7);
  join.newestKnown(0, {4, 1}, "one voter of three reports start 4");
  join.newestKnown(1, {900'000'000, 2}, "another reports an implausibly high number, which is ignored");
  join.joinReply(0, {5, 7}, "the first voter has it on disk");
  join.newestKnown(2, {3, 3}, "the third voter reports an earlier start");
  join.joinReply(2, {5, 7}, "the third voter has it on disk");
  std::cout << "joined at 0, 1, 2: " << join.underlying().isJoinedAt(0) << join.underlying().isJoinedAt(1)
            << join.underlying().isJoinedAt(2) << "\n";
  join.underlying().onVoterLost(2);
  join.newestKnown(2, {5, 7}, "a lost voter is reachable again and has it on disk");
  join.joinReply(0, {6, 9}, "one voter knows another start");
  join.joinReply(2, {6, 9}, "more than half of the voters know it");
}

void printTwoProcessesOfOneName() {
  PrintedJoin join(8);
  std::cout << "two processes with one name start at the same time\n";
  join.newestKnown(0, {}, "one voter knows no start");
  join.newestKnown(1, {}, "another voter knows none either");
  join.joinReply(0, {1, 5}, "the other process was first at one voter");
  join.joinReply(1, {1, 5}, "and at the other");
  std::cout << "it backs off: " << (join.underlying().runTimers(kBegin) > kBegin) << "\n";
  join.underlying().runTimers(kBegin + ms(500));
  join.print("after the backoff");
  join.underlying().onVoterLost(0);
  join.underlying().onVoterLost(1);
  join.print("both voters are lost");
}

void printJoinProtocolTrace() {
  printJoinThenSuperseded();
  printTwoProcessesOfOneName();
}

void print(const std::vector<LivenessReport>& reports) {
  constexpr const char* kLiveness[] = {"awaited", "alive", "silent", "removed"};
  for (const auto& report : reports)
    std::cout << "  " << report.router << " " << report.incarnation.number << " "
              << kLiveness[static_cast<int>(report.liveness)] << " " << report.progress.recoveryStage << "\n";
}

void printFailureDetectorTrace() {
  FailureDetector detector(kBegin, {"a", "b"}, {{"b", {4, 40}}, {"old", {9, 90}}});
  std::uint64_t printedVersion = 0;
  const auto printChanges = [&](const char* description) {
    std::cout << description << "\n";
    print(detector.reportsSince(printedVersion, 10));
    for (const auto& [router, start] : detector.takeChanges())
      std::cout << "  to disk: " << router << "=" << start.number << "\n";
  };
  const auto checkTimeoutsUntil = [&](std::int64_t endMillis) {
    for (std::int64_t t = 500; t <= endMillis; t += 500) detector.checkTimeouts(kBegin + ms(t));
  };
  printChanges("the voter starts and knows b's last start from its disk");
  detector.onJoinRequest(kBegin, "a", {1, 10});
  detector.onJoinRequest(kBegin, "b", {4, 41});
  detector.onJoinRequest(kBegin, "c", {1, 1});
  detector.onJoinRequest(kBegin, "b", {5'000'000, 41});
  printChanges("a joins; b requests a number in use, then an implausibly high one; c is not a member");
  std::cout << "current: a " << detector.isCurrent("a", 10) << ", another start of a "
            << detector.isCurrent("a", 11) << ", earlier start of b " << detector.isCurrent("b", 40)
            << ", new start of b " << detector.isCurrent("b", 41) << "\n";
  checkTimeoutsUntil(3500);
  printChanges("neither sends a message during the timeout");
  detector.onHeartbeat(kBegin + ms(3500), "a", 11, MemberProgress{3});
  detector.onHeartbeat(kBegin + ms(3500), "a", 10, MemberProgress{2});
  printChanges("a heartbeat from another start of a, then one from its current start");
  detector.onHeartbeat(kBegin + ms(3500), "a", 10, std::nullopt);
  printChanges("a message from a without progress: nothing changes");
  detector.checkTimeouts(kBegin + ms(60'000));
  printChanges("this voter was suspended for a minute: no router becomes silent");
  detector.checkTimeouts(kBegin + ms(60'500));
  detector.setMembers(kBegin + ms(60'500), {"b", "old"});
  detector.onHeartbeat(kBegin + ms(60'500), "a", 10, MemberProgress{2});
  printChanges("a is removed from the list, a former member is added again");
  std::cout << "the former member's newest known number: " << detector.newestIncarnation("old").number
            << "\n";
  std::cout << "reports in batches\n";
  printedVersion = 0;
  print(detector.reportsSince(printedVersion, 2));
  std::cout << "  next batch\n";
  print(detector.reportsSince(printedVersion, 2));
}

void printMembershipViewTrace() {
  MembershipView view(3);
  const auto report = [&](VoterIndex voter, std::uint64_t incarnation, Liveness liveness, unsigned progress,
                          const char* description) {
    view.onReports(voter, {{"r", {incarnation, 1}, liveness, {progress}}});
    const auto member = view.memberState("r");
    std::cout << description << ": " << nameOf(member.state) << " " << member.incarnation << ", progress "
              << member.progress.recoveryStage;
    for (const auto& transition : view.takeTransitions())
      std::cout << "; transition to " << nameOf(transition.to) << " " << transition.incarnation
                << ", silent at " << transition.silentVoterCount;
    std::cout << "\n";
  };
  report(0, 4, Liveness::awaited, 0, "one voter awaits it");
  report(1, 4, Liveness::alive, 2, "one reports it alive");
  report(0, 5, Liveness::alive, 4, "another reports its next start alive");
  report(0, 4, Liveness::alive, 4, "two report it alive");
  report(2, 1'000'000, Liveness::silent, 0, "one falsely reports that a much later start is silent");
  report(2, 4, Liveness::silent, 0, "one reports it silent");
  report(1, 4, Liveness::silent, 0, "two report it silent");
  report(1, 5, Liveness::alive, 1, "one reports its next start alive");
  report(0, 5, Liveness::alive, 1, "two report its next start alive");
  report(0, 5, Liveness::removed, 0, "one reports it removed");
  report(1, 5, Liveness::removed, 0, "two report it removed");
  for (const VoterIndex voter : {0, 1}) view.onVoterLost(voter);
  std::cout << "the voters that reported this are lost: " << nameOf(view.memberState("r").state) << ", "
            << view.takeTransitions().size() << " transitions\n";
  view.onVoterLost(2);
  std::cout << "routers still reported: " << view.routers().size() << "\n";
}

void printHeartbeatTimerTrace() {
  std::map<std::int64_t, int> firstByTenth;  // of a second
  std::size_t sent = 0;
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    HeartbeatTimer timer(kBegin, seed);
    ++firstByTenth[(timer.next() - kBegin).inMicros() / 100'000];
    for (std::int64_t t = 0; t < 60'000; t += 10) sent += timer.isDue(kBegin + ms(t));
  }
  int maxCount = 0;
  for (const auto& [tenth, count] : firstByTenth) maxCount = std::max(maxCount, count);
  std::cout << "300 routers that start together: " << sent << " heartbeats in a minute, at most "
            << (maxCount < 60 ? "a fifth" : "TOO MANY") << " of them in one tenth of a second\n";
  HeartbeatTimer timer(kBegin, 1);
  int sentAtOnce = 0;
  for (int n = 0; n < 10; ++n) sentAtOnce += timer.isDue(kBegin + ms(30'000));
  std::cout << "a router suspended for half a minute: " << sentAtOnce << " heartbeat at once\n";
}

// --- Simulated fleets: several processes with a few names start, end, are suspended and resume; voters lose
// power and the state that was not durable yet; messages arrive late and in any order. Checks, whatever
// fails, that a start joins with a number higher than all with which its name had joined before it started,
// that no two starts join with the same number, and that all join in the end.

enum class InjectedBug { none, replyBeforeDurable, quorumTooSmall, diskLostOnRestart };

// Totals over all fleets of a test.
struct FleetStatistics {
  std::uint64_t starts = 0, joined = 0, superseded = 0, powerLosses = 0, messages = 0;
};

// One simulation run, determined by its seed.
class SimulatedFleet {
 public:
  SimulatedFleet(std::uint64_t seed, InjectedBug bug, FleetStatistics& statistics)
      : random_(seed), bug_(bug), statistics_(statistics) {
    voters_.resize(1 + 2 * pick(3));
    for (std::size_t n = 1 + pick(3); n > 0; --n) names_.insert("r" + std::to_string(n));
    for (std::size_t voterIndex = 0; voterIndex < voters_.size(); ++voterIndex) startVoter(voterIndex);
  }
  // Runs the simulation. Returns a description of the first violation, or an empty string if there is none.
  std::string runScenario() {
    constexpr std::int64_t kEnd = 20'000;
    for (std::int64_t at = 0; at < kEnd; at += 50 + static_cast<std::int64_t>(pick(1500)))
      schedule(ms(at), [this] { injectFault(); });
    run(ms(kEnd));
    areFaultsOver_ = true;
    for (auto& voter : voters_)
      if (!voter.detector) startVoter(static_cast<std::size_t>(&voter - voters_.data()));
    // Only the last process of each name continues, and a new one starts, which must join.
    std::map<std::string, std::size_t> last;
    for (std::size_t processIndex = 0; processIndex < processes_.size(); ++processIndex)
      if (processes_[processIndex].joinProtocol) last[processes_[processIndex].name] = processIndex;
    for (auto& process : processes_)
      if (process.joinProtocol &&
          last[process.name] != static_cast<std::size_t>(&process - processes_.data()))
        process.joinProtocol.reset();
    for (const auto& name : names_) start(name);
    run(ms(10'000));
    for (std::size_t processIndex = processes_.size() - names_.size(); processIndex < processes_.size();
         ++processIndex)
      if (failure_.empty() && processes_[processIndex].joinProtocol->state() != JoinProtocol::State::joined)
        failure_ = processes_[processIndex].name + " has not joined after all faults ended: " +
                   std::string(nameOf(processes_[processIndex].joinProtocol->state()));
    return failure_;
  }

 private:
  struct VoterState {
    std::map<std::string, Incarnation> disk;
    std::optional<FailureDetector> detector;
    std::uint64_t startCount = 0;
  };
  struct Process {
    std::string name;
    std::uint64_t draw = 0;
    std::optional<JoinProtocol> joinProtocol;
    std::uint64_t highestJoinedBefore = 0;  // highest number that had joined when it started
    bool isSuspended = false, isCountedJoined = false, isCountedSuperseded = false;
    std::map<std::size_t, std::uint64_t> connections;  // generation of the connection to each voter
  };

  std::size_t pick(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_); }
  void schedule(Duration after, std::function<void()> call) {
    events_.push({now_ + after, ++order_, std::move(call)});
  }
  void run(Duration span) {
    const Instant end = now_ + span;
    while (failure_.empty() && !events_.empty() && events_.top().at < end) {
      const auto event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.at);
      event.call();
    }
    now_ = end;
  }
  Duration delay() { return ms(1 + static_cast<std::int64_t>(pick(areFaultsOver_ || pick(10) ? 20 : 2000))); }

  void startVoter(std::size_t voterIndex) {
    VoterState& voter = voters_[voterIndex];
    ++voter.startCount;
    if (bug_ == InjectedBug::diskLostOnRestart) voter.disk.clear();
    voter.detector.emplace(now_, names_, voter.disk);
    for (std::size_t processIndex = 0; processIndex < processes_.size(); ++processIndex)
      connect(processIndex, voterIndex);
  }
  void start(const std::string& name) {
    ++statistics_.starts;
    processes_.emplace_back();
    processes_.back().name = name;
    processes_.back().draw = random_();
    if (!joinedNumbers_[name].empty()) processes_.back().highestJoinedBefore = *joinedNumbers_[name].rbegin();
    const std::size_t processIndex = processes_.size() - 1;
    processes_[processIndex].joinProtocol.emplace(
        bug_ == InjectedBug::quorumTooSmall && voters_.size() > 1 ? voters_.size() - 2 : voters_.size(),
        processes_[processIndex].draw);
    for (std::size_t voterIndex = 0; voterIndex < voters_.size(); ++voterIndex)
      connect(processIndex, voterIndex);
    tick(processIndex);
  }
  void tick(std::size_t processIndex) {
    if (!processes_[processIndex].joinProtocol) return;
    if (!processes_[processIndex].isSuspended) {
      processes_[processIndex].joinProtocol->runTimers(now_);
      sendRequests(processIndex);
    }
    schedule(ms(50), [this, processIndex] { tick(processIndex); });
  }
  bool isUp(std::size_t processIndex, std::size_t voterIndex, std::uint64_t generation,
            std::uint64_t startCount) {
    return processes_[processIndex].joinProtocol &&
           processes_[processIndex].connections[voterIndex] == generation && voters_[voterIndex].detector &&
           voters_[voterIndex].startCount == startCount;
  }
  // Sends the voter's newest known start to the process once all its changes so far are durable.
  void replyWhenDurable(std::size_t processIndex, std::size_t voterIndex, std::uint64_t generation,
                        std::uint64_t startCount, bool isGreeting) {
    const std::string name = processes_[processIndex].name;
    const auto changes = voters_[voterIndex].detector->takeChanges();
    const auto reply = [=, this] {
      const Incarnation newest = voters_[voterIndex].detector->newestIncarnation(name);
      schedule(delay(), [=, this] {
        if (isUp(processIndex, voterIndex, generation, startCount))
          onReply(processIndex, voterIndex, newest, isGreeting);
      });
    };
    if (bug_ == InjectedBug::replyBeforeDurable) reply();
    schedule(ms(static_cast<std::int64_t>(pick(30))), [=, this] {
      if (!voters_[voterIndex].detector || voters_[voterIndex].startCount != startCount) return;
      for (const auto& [router, start] : changes)
        if (start.number > voters_[voterIndex].disk[router].number) voters_[voterIndex].disk[router] = start;
      if (bug_ != InjectedBug::replyBeforeDurable) reply();
    });
  }
  void connect(std::size_t processIndex, std::size_t voterIndex) {
    Process& process = processes_[processIndex];
    if (!process.joinProtocol) return;
    process.joinProtocol->onVoterLost(voterIndex);
    const std::uint64_t generation = ++process.connections[voterIndex];
    if (!voters_[voterIndex].detector) return;
    const std::uint64_t startCount = voters_[voterIndex].startCount;
    schedule(delay(), [=, this] {
      if (isUp(processIndex, voterIndex, generation, startCount))
        replyWhenDurable(processIndex, voterIndex, generation, startCount, true);
    });
  }
  void onReply(std::size_t processIndex, std::size_t voterIndex, const Incarnation& newest, bool isGreeting) {
    Process& process = processes_[processIndex];
    if (process.isSuspended)
      return schedule(ms(200), [=, this] {
        if (processes_[processIndex].joinProtocol) onReply(processIndex, voterIndex, newest, isGreeting);
      });
    ++statistics_.messages;
    if (isGreeting)
      process.joinProtocol->onNewestKnown(now_, voterIndex, newest);
    else
      process.joinProtocol->onJoinReply(now_, voterIndex, newest);
    sendRequests(processIndex);
  }
  void sendRequests(std::size_t processIndex) {
    Process& process = processes_[processIndex];
    for (const auto& [voter, number] : process.joinProtocol->takeJoinRequests()) {
      const std::size_t voterIndex = voter;
      const std::uint64_t generation = process.connections[voterIndex],
                          startCount = voters_[voterIndex].startCount;
      schedule(delay(), [=, this, n = number] {
        if (!isUp(processIndex, voterIndex, generation, startCount)) return;
        voters_[voterIndex].detector->onJoinRequest(now_, processes_[processIndex].name,
                                                    {n, processes_[processIndex].draw});
        replyWhenDurable(processIndex, voterIndex, generation, startCount, false);
      });
    }
    if (process.joinProtocol->state() == JoinProtocol::State::superseded &&
        !std::exchange(process.isCountedSuperseded, true))
      ++statistics_.superseded;
    if (process.joinProtocol->state() != JoinProtocol::State::joined ||
        std::exchange(process.isCountedJoined, true))
      return;
    ++statistics_.joined;
    const std::uint64_t number = process.joinProtocol->incarnation().number;
    if (number <= process.highestJoinedBefore)
      failure_ = process.name + " joined with " + std::to_string(number) + ", although " +
                 std::to_string(process.highestJoinedBefore) + " had joined before it started";
    if (!joinedNumbers_[process.name].insert(number).second)
      failure_ = process.name + " joined with " + std::to_string(number) + " twice";
  }
  void injectFault() {
    switch (pick(5)) {
      case 0:
      case 1: {
        auto name = names_.begin();
        std::advance(name, pick(names_.size()));
        return start(*name);
      }
      case 2: {  // a voter loses its power
        const std::size_t voterIndex = pick(voters_.size());
        if (!voters_[voterIndex].detector) return;
        ++statistics_.powerLosses;
        voters_[voterIndex].detector.reset();
        for (std::size_t processIndex = 0; processIndex < processes_.size(); ++processIndex)
          if (processes_[processIndex].joinProtocol)
            processes_[processIndex].joinProtocol->onVoterLost(voterIndex);
        return schedule(ms(static_cast<std::int64_t>(pick(3000))), [this, voterIndex] {
          if (!voters_[voterIndex].detector) startVoter(voterIndex);
        });
      }
      case 3: {  // a process ends, or is suspended
        if (processes_.empty()) return;
        Process& process = processes_[pick(processes_.size())];
        if (pick(2)) return process.joinProtocol.reset();
        process.isSuspended = true;
        const auto processIndex = static_cast<std::size_t>(&process - processes_.data());
        return schedule(ms(static_cast<std::int64_t>(pick(4000))),
                        [this, processIndex] { processes_[processIndex].isSuspended = false; });
      }
      case 4: {  // a process connects to a voter again
        if (processes_.empty()) return;
        const std::size_t voterIndex = pick(voters_.size());
        const std::size_t processIndex = pick(processes_.size());
        connect(processIndex, voterIndex);
      }
    }
  }

  struct Event {
    Instant at;
    std::uint64_t order;
    std::function<void()> call;
    bool operator<(const Event& other) const {
      return std::pair(other.at, other.order) < std::pair(at, order);
    }
  };
  std::mt19937_64 random_;
  InjectedBug bug_;
  FleetStatistics& statistics_;
  std::set<std::string> names_;
  std::vector<VoterState> voters_;
  std::vector<Process> processes_;
  std::map<std::string, std::set<std::uint64_t>>
      joinedNumbers_;  // by name: numbers of its starts that have joined
  Instant now_ = kBegin;
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  bool areFaultsOver_ = false;
  std::string failure_;
};

void runFleets(std::uint64_t seeds) {
  FleetStatistics statistics;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    if (const std::string failure = SimulatedFleet(seed, InjectedBug::none, statistics).runScenario();
        !failure.empty()) {
      std::cout << "seed " << seed << ": " << failure << "\n";
      return;
    }
  std::cout << seeds << " simulated fleets: numbers only increase, all join in the end\n"
            << "starts " << statistics.starts << ", joined " << statistics.joined << ", superseded "
            << statistics.superseded << ", voter power losses " << statistics.powerLosses << ", messages "
            << statistics.messages << "\n";
}

// The checks must find each injected bug: a check that cannot fail shows nothing.
void findInjectedBugs(std::uint64_t seeds) {
  struct BugCase {
    InjectedBug bug;
    const char* description;
  };
  const BugCase cases[] = {
      {InjectedBug::replyBeforeDurable, "a start is reported before it is durable"},
      {InjectedBug::quorumTooSmall, "fewer than half of the voters suffice"},
      {InjectedBug::diskLostOnRestart, "a voter loses its stored starts with its power"},
  };
  for (const auto& [bug, description] : cases) {
    FleetStatistics statistics;
    std::string found = "NOT FOUND";
    for (std::uint64_t seed = 1; seed <= seeds && found == "NOT FOUND"; ++seed)
      if (const std::string failure = SimulatedFleet(seed, bug, statistics).runScenario(); !failure.empty())
        found = "found by seed " + std::to_string(seed) + ": " + failure;
    std::cout << description << ": " << found << "\n";
  }
}

}  // namespace

int main(int argc, char** argv) {
  struct Case {
    std::function<void(std::uint64_t seeds)> run;
    std::uint64_t defaultSeeds;
  };
  const std::map<std::string, Case> cases{
      {"join-protocol", {[](std::uint64_t) { printJoinProtocolTrace(); }, 0}},
      {"failure-detector", {[](std::uint64_t) { printFailureDetectorTrace(); }, 0}},
      {"membership-view", {[](std::uint64_t) { printMembershipViewTrace(); }, 0}},
      {"heartbeat-timer", {[](std::uint64_t) { printHeartbeatTimerTrace(); }, 0}},
      {"fleets", {runFleets, 1000}},
      {"injected-bugs", {findInjectedBugs, 5000}}};
  const auto found = cases.find(argc > 1 ? argv[1] : "");
  if (found == cases.end()) return 2;
  found->second.run(argc > 2 ? std::stoull(argv[2]) : found->second.defaultSeeds);
  return 0;
}
