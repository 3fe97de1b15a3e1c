// Membership: a start's entry, a voter's roll and who lives by several, step by step; and entries in
// simulated worlds. Run as `members CASE [SEEDS]`: prints the case's trace.
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

void joinProtocol() {
  JoinProtocol one(3, 7);
  const auto shown = [&](const char* what) {
    std::cout << what << ": " << nameOf(one.state()) << " " << one.incarnation().number << ";";
    for (const auto& [voter, number] : one.takeJoinRequests())
      std::cout << " wishes " << number << " of " << voter;
    std::cout << "\n";
  };
  const auto greeted = [&](VoterIndex voter, Incarnation newest, const char* what) {
    one.onNewestKnown(kBegin, voter, newest);
    shown(what);
  };
  const auto answered = [&](VoterIndex voter, Incarnation newest, const char* what) {
    one.onJoinReply(kBegin, voter, newest);
    shown(what);
  };
  greeted(0, {4, 1}, "one keeper of three tells start 4");
  greeted(1, {900'000'000, 2}, "another one far from the future, which is passed over");
  answered(0, {5, 7}, "the first has it on disk");
  greeted(2, {3, 3}, "the third greets, behind");
  answered(2, {5, 7}, "and has it");
  std::cout << "may speak at 0, 1, 2: " << one.isJoinedAt(0) << one.isJoinedAt(1) << one.isJoinedAt(2)
            << "\n";
  one.onVoterLost(2);
  greeted(2, {5, 7}, "one that was lost is back, and has it");
  answered(0, {6, 9}, "one knows another start");
  answered(2, {6, 9}, "more than half do");
  JoinProtocol two(3, 8);
  std::cout << "two processes of one name start at a time\n";
  std::swap(one, two);
  greeted(0, {}, "nothing is known");
  greeted(1, {}, "nor there");
  answered(0, {1, 5}, "the other was first");
  answered(1, {1, 5}, "at both");
  std::cout << "it rests for some time: " << (one.runTimers(kBegin) > kBegin) << "\n";
  one.runTimers(kBegin + ms(500));
  shown("then");
  one.onVoterLost(0);
  one.onVoterLost(1);
  shown("all are lost");
}

void shown(const std::vector<LivenessReport>& reports) {
  constexpr const char* kLiveness[] = {"awaited", "heard", "silent", "left"};
  for (const auto& report : reports)
    std::cout << "  " << report.router << " " << report.incarnation.number << " "
              << kLiveness[static_cast<int>(report.liveness)] << " " << report.progress.recoveryStage << "\n";
}

void detector() {
  FailureDetector one(kBegin, {"a", "b"}, {{"b", {4, 40}}, {"old", {9, 90}}});
  std::uint64_t told = 0;
  const auto since = [&](const char* what) {
    std::cout << what << "\n";
    shown(one.reportsSince(told, 10));
    for (const auto& [router, start] : one.takeChanges())
      std::cout << "  to disk: " << router << "=" << start.number << "\n";
  };
  const auto turnTo = [&](std::int64_t at) {
    for (std::int64_t t = 500; t <= at; t += 500) one.checkTimeouts(kBegin + ms(t));
  };
  since("it starts, and knows b's last start from its disk");
  one.onJoinRequest(kBegin, "a", {1, 10});
  one.onJoinRequest(kBegin, "b", {4, 41});
  one.onJoinRequest(kBegin, "c", {1, 1});
  one.onJoinRequest(kBegin, "b", {5'000'000, 41});
  since("a enters; b by a number that is taken, and by one from the future; c is a stranger");
  std::cout << "speaks: a " << one.isCurrent("a", 10) << ", another a " << one.isCurrent("a", 11)
            << ", b before " << one.isCurrent("b", 40) << ", b now " << one.isCurrent("b", 41) << "\n";
  turnTo(3500);
  since("neither is heard for the time of silence");
  one.onHeartbeat(kBegin + ms(3500), "a", 11, MemberProgress{3});
  one.onHeartbeat(kBegin + ms(3500), "a", 10, MemberProgress{2});
  since("a is heard, and one that does not speak for it");
  one.onHeartbeat(kBegin + ms(3500), "a", 10, std::nullopt);
  since("a says something that tells no progress: nothing changes");
  one.checkTimeouts(kBegin + ms(60'000));
  since("this keeper stood still for a minute: it misses nobody for that");
  one.checkTimeouts(kBegin + ms(60'500));
  one.setMembers(kBegin + ms(60'500), {"b", "old"});
  one.onHeartbeat(kBegin + ms(60'500), "a", 10, MemberProgress{2});
  since("a is taken off the list, one that was on it long ago is put back");
  std::cout << "its next number is above what it had: " << one.newestIncarnation("old").number << "\n";
  std::cout << "told in slices\n";
  told = 0;
  shown(one.reportsSince(told, 2));
  std::cout << "  and\n";
  shown(one.reportsSince(told, 2));
}

void view() {
  MembershipView one(3);
  const auto told = [&](VoterIndex voter, std::uint64_t incarnation, Liveness liveness, unsigned progress,
                        const char* what) {
    one.onReports(voter, {{"r", {incarnation, 1}, liveness, progress}});
    const auto member = one.memberState("r");
    std::cout << what << ": " << nameOf(member.state) << " " << member.incarnation << ", progress "
              << member.progress.recoveryStage;
    for (const auto& step : one.takeTransitions())
      std::cout << "; step to " << nameOf(step.to) << " " << step.incarnation << ", silent at "
                << step.silentAt;
    std::cout << "\n";
  };
  told(0, 4, Liveness::awaited, 0, "one waits");
  told(1, 4, Liveness::alive, 2, "one hears it");
  told(0, 5, Liveness::alive, 4, "another hears its next start");
  told(0, 4, Liveness::alive, 4, "two hear it");
  told(2, 1'000'000, Liveness::silent, 0, "one tells falsely that a start from the future is silent");
  told(2, 4, Liveness::silent, 0, "one does not hear it");
  told(1, 4, Liveness::silent, 0, "two do not");
  told(1, 5, Liveness::alive, 1, "its next start is heard by one");
  told(0, 5, Liveness::alive, 1, "and by two");
  told(0, 5, Liveness::removed, 0, "one has it off the list");
  told(1, 5, Liveness::removed, 0, "two have");
  for (const VoterIndex voter : {0, 1}) one.onVoterLost(voter);
  std::cout << "the keepers that told so are lost: " << nameOf(one.memberState("r").state) << ", "
            << one.takeTransitions().size() << " steps\n";
  one.onVoterLost(2);
  std::cout << "names left: " << one.routers().size() << "\n";
}

void heartbeats() {
  std::map<std::int64_t, int> first;  // of the second, in tenths
  std::size_t said = 0;
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    HeartbeatTimer one(kBegin, seed);
    ++first[(one.next() - kBegin).inMicros() / 100'000];
    for (std::int64_t t = 0; t < 60'000; t += 10) said += one.isDue(kBegin + ms(t));
  }
  int most = 0;
  for (const auto& [tenth, count] : first) most = std::max(most, count);
  std::cout << "300 routers that start together: " << said << " beats in a minute, at most "
            << (most < 60 ? "a fifth" : "TOO MANY") << " of them in one tenth of a second\n";
  HeartbeatTimer one(kBegin, 1);
  int late = 0;
  for (int n = 0; n < 10; ++n) late += one.isDue(kBegin + ms(30'000));
  std::cout << "one that slept for half a minute: " << late << " beat at once\n";
}

// --- Worlds: several processes of a few names start, stop, stand still and come back; voters lose power,
// and what they had not made durable; messages come late, and in any order. What must hold, whatever fails:
// who enters does so by a number above all by which its name had entered before it started, and by one that
// no other has; and all enter in the end.

enum class Bug { none, toldBeforeDurable, halfIsEnough, forgetsOnRestart };
constexpr const char* kBugs[] = {"none", "told before it is durable", "half of the keepers are enough",
                                 "a keeper's roll is lost with its power"};

struct Seen {
  std::uint64_t starts = 0, joined = 0, superseded = 0, losses = 0, messages = 0;
};

class World {
 public:
  World(std::uint64_t seed, Bug bug, Seen& seen) : random_(seed), bug_(bug), seen_(seen) {
    voters_.resize(1 + 2 * pick(3));
    for (std::size_t n = 1 + pick(3); n > 0; --n) names_.insert("r" + std::to_string(n));
    for (std::size_t k = 0; k < voters_.size(); ++k) startVoter(k);
  }
  std::string play() {
    constexpr std::int64_t kEnd = 20'000;
    for (std::int64_t at = 0; at < kEnd; at += 50 + static_cast<std::int64_t>(pick(1500)))
      later(ms(at), [this] { injectFault(); });
    run(ms(kEnd));
    isCalm_ = true;
    for (auto& voter : voters_)
      if (!voter.detector) startVoter(static_cast<std::size_t>(&voter - voters_.data()));
    // One process a name is left; it enters, or has.
    std::map<std::string, std::size_t> last;
    for (std::size_t p = 0; p < processes_.size(); ++p)
      if (processes_[p].joinProtocol) last[processes_[p].name] = p;
    for (auto& process : processes_)
      if (process.joinProtocol &&
          last[process.name] != static_cast<std::size_t>(&process - processes_.data()))
        process.joinProtocol.reset();
    for (const auto& name : names_) start(name);
    run(ms(10'000));
    for (std::size_t p = processes_.size() - names_.size(); p < processes_.size(); ++p)
      if (fault_.empty() && processes_[p].joinProtocol->state() != JoinProtocol::State::joined)
        fault_ = processes_[p].name + " does not enter when all is well: " +
                 std::string(nameOf(processes_[p].joinProtocol->state()));
    return fault_;
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
    std::uint64_t highestJoinedBefore = 0;  // the highest that had entered when it started
    bool isStandingStill = false, isCountedJoined = false, isCountedSuperseded = false;
    std::map<std::size_t, std::uint64_t> connections;  // to each voter: its generation
  };

  std::size_t pick(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_); }
  void later(Duration after, std::function<void()> call) {
    events_.push({now_ + after, ++order_, std::move(call)});
  }
  void run(Duration span) {
    const Instant end = now_ + span;
    while (fault_.empty() && !events_.empty() && events_.top().at < end) {
      const auto event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.at);
      event.call();
    }
    now_ = end;
  }
  Duration delay() { return ms(1 + static_cast<std::int64_t>(pick(isCalm_ || pick(10) ? 20 : 2000))); }

  void startVoter(std::size_t k) {
    VoterState& voter = voters_[k];
    ++voter.startCount;
    if (bug_ == Bug::forgetsOnRestart) voter.disk.clear();
    voter.detector.emplace(now_, names_, voter.disk);
    for (std::size_t p = 0; p < processes_.size(); ++p) connect(p, k);
  }
  void start(const std::string& name) {
    ++seen_.starts;
    processes_.emplace_back();
    processes_.back().name = name;
    processes_.back().draw = random_();
    if (!joinedNumbers_[name].empty()) processes_.back().highestJoinedBefore = *joinedNumbers_[name].rbegin();
    const std::size_t p = processes_.size() - 1;
    processes_[p].joinProtocol.emplace(
        bug_ == Bug::halfIsEnough && voters_.size() > 1 ? voters_.size() - 2 : voters_.size(),
        processes_[p].draw);
    for (std::size_t k = 0; k < voters_.size(); ++k) connect(p, k);
    tick(p);
  }
  void tick(std::size_t p) {
    if (!processes_[p].joinProtocol) return;
    if (!processes_[p].isStandingStill) {
      processes_[p].joinProtocol->runTimers(now_);
      sendRequests(p);
    }
    later(ms(50), [this, p] { tick(p); });
  }
  bool isUp(std::size_t p, std::size_t k, std::uint64_t generation, std::uint64_t startCount) {
    return processes_[p].joinProtocol && processes_[p].connections[k] == generation && voters_[k].detector &&
           voters_[k].startCount == startCount;
  }
  // A message from the voter's disk to the process, once all up to now is durable there.
  void answer(std::size_t p, std::size_t k, std::uint64_t generation, std::uint64_t startCount, bool greets) {
    const std::string name = processes_[p].name;
    const auto changes = voters_[k].detector->takeChanges();
    const auto reply = [=, this] {
      const Incarnation newest = voters_[k].detector->newestIncarnation(name);
      later(delay(), [=, this] {
        if (isUp(p, k, generation, startCount)) onReply(p, k, newest, greets);
      });
    };
    if (bug_ == Bug::toldBeforeDurable) reply();
    later(ms(static_cast<std::int64_t>(pick(30))), [=, this] {
      if (!voters_[k].detector || voters_[k].startCount != startCount) return;
      for (const auto& [router, start] : changes)
        if (start.number > voters_[k].disk[router].number) voters_[k].disk[router] = start;
      if (bug_ != Bug::toldBeforeDurable) reply();
    });
  }
  void connect(std::size_t p, std::size_t k) {
    Process& process = processes_[p];
    if (!process.joinProtocol) return;
    process.joinProtocol->onVoterLost(k);
    const std::uint64_t generation = ++process.connections[k];
    if (!voters_[k].detector) return;
    const std::uint64_t startCount = voters_[k].startCount;
    later(delay(), [=, this] {
      if (isUp(p, k, generation, startCount)) answer(p, k, generation, startCount, true);
    });
  }
  void onReply(std::size_t p, std::size_t k, const Incarnation& newest, bool greets) {
    Process& process = processes_[p];
    if (process.isStandingStill)
      return later(ms(200), [=, this] {
        if (processes_[p].joinProtocol) onReply(p, k, newest, greets);
      });
    ++seen_.messages;
    if (greets)
      process.joinProtocol->onNewestKnown(now_, k, newest);
    else
      process.joinProtocol->onJoinReply(now_, k, newest);
    sendRequests(p);
  }
  void sendRequests(std::size_t p) {
    Process& process = processes_[p];
    for (const auto& [voter, number] : process.joinProtocol->takeJoinRequests()) {
      const std::size_t k = voter;
      const std::uint64_t generation = process.connections[k], startCount = voters_[k].startCount;
      later(delay(), [=, this, n = number] {
        if (!isUp(p, k, generation, startCount)) return;
        voters_[k].detector->onJoinRequest(now_, processes_[p].name, {n, processes_[p].draw});
        answer(p, k, generation, startCount, false);
      });
    }
    if (process.joinProtocol->state() == JoinProtocol::State::superseded &&
        !std::exchange(process.isCountedSuperseded, true))
      ++seen_.superseded;
    if (process.joinProtocol->state() != JoinProtocol::State::joined ||
        std::exchange(process.isCountedJoined, true))
      return;
    ++seen_.joined;
    const std::uint64_t number = process.joinProtocol->incarnation().number;
    if (number <= process.highestJoinedBefore)
      fault_ = process.name + " entered by " + std::to_string(number) + ", and " +
               std::to_string(process.highestJoinedBefore) + " had entered before it started";
    if (!joinedNumbers_[process.name].insert(number).second)
      fault_ = process.name + " entered by " + std::to_string(number) + " twice";
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
        const std::size_t k = pick(voters_.size());
        if (!voters_[k].detector) return;
        ++seen_.losses;
        voters_[k].detector.reset();
        for (std::size_t p = 0; p < processes_.size(); ++p)
          if (processes_[p].joinProtocol) processes_[p].joinProtocol->onVoterLost(k);
        return later(ms(static_cast<std::int64_t>(pick(3000))), [this, k] {
          if (!voters_[k].detector) startVoter(k);
        });
      }
      case 3: {  // a process ends, or stands still
        if (processes_.empty()) return;
        Process& process = processes_[pick(processes_.size())];
        if (pick(2)) return process.joinProtocol.reset();
        process.isStandingStill = true;
        const auto p = static_cast<std::size_t>(&process - processes_.data());
        return later(ms(static_cast<std::int64_t>(pick(4000))),
                     [this, p] { processes_[p].isStandingStill = false; });
      }
      case 4:
        if (!processes_.empty()) connect(pick(processes_.size()), pick(voters_.size()));
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
  Bug bug_;
  Seen& seen_;
  std::set<std::string> names_;
  std::vector<VoterState> voters_;
  std::vector<Process> processes_;
  std::map<std::string, std::set<std::uint64_t>> joinedNumbers_;  // by which starts of a name have entered
  Instant now_ = kBegin;
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  bool isCalm_ = false;
  std::string fault_;
};

std::uint64_t seedsAsked = 0;

void worlds() {
  Seen seen;
  const std::uint64_t seeds = seedsAsked ? seedsAsked : 1000;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    if (const std::string fault = World(seed, Bug::none, seen).play(); !fault.empty()) {
      std::cout << "seed " << seed << ": " << fault << "\n";
      return;
    }
  std::cout << seeds << " worlds: numbers only grow, all enter in the end\n"
            << "starts " << seen.starts << ", entered " << seen.joined << ", superseded " << seen.superseded
            << ", keepers lost power " << seen.losses << ", words " << seen.messages << "\n";
}

void bugs() {
  for (int bug = 1; bug < 4; ++bug) {
    Seen seen;
    std::string found = "NOT FOUND";
    for (std::uint64_t seed = 1; seed <= 5000 && found == "NOT FOUND"; ++seed)
      if (const std::string fault = World(seed, static_cast<Bug>(bug), seen).play(); !fault.empty())
        found = "found by seed " + std::to_string(seed) + ": " + fault;
    std::cout << kBugs[bug] << ": " << found << "\n";
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::map<std::string, void (*)()> cases{{"entry", joinProtocol}, {"roll", detector}, {"view", view},
                                                {"beats", heartbeats},   {"worlds", worlds}, {"bugs", bugs}};
  const auto at = cases.find(argc > 1 ? argv[1] : "");
  if (at == cases.end()) return 2;
  if (argc > 2) seedsAsked = std::stoull(argv[2]);
  at->second();
  return 0;
}
