// Membership: a start's entry, a keeper's roll and who lives by several, step by step; and entries in
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

void entry() {
  JoinProtocol one(3, 7);
  const auto shown = [&](const char* what) {
    std::cout << what << ": " << nameOf(one.state()) << " " << one.incarnation().number << ";";
    for (const auto& [keeper, number] : one.takeJoinRequests())
      std::cout << " wishes " << number << " of " << keeper;
    std::cout << "\n";
  };
  const auto greeted = [&](VoterIndex keeper, Incarnation newest, const char* what) {
    one.onNewestKnown(kBegin, keeper, newest);
    shown(what);
  };
  const auto answered = [&](VoterIndex keeper, Incarnation newest, const char* what) {
    one.onJoinReply(kBegin, keeper, newest);
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
  constexpr const char* kHearing[] = {"awaited", "heard", "silent", "left"};
  for (const auto& report : reports)
    std::cout << "  " << report.router << " " << report.incarnation.number << " "
              << kHearing[static_cast<int>(report.liveness)] << " " << report.progress.recoveryStage << "\n";
}

void roll() {
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
  const auto told = [&](VoterIndex keeper, std::uint64_t incarnation, Liveness hearing, unsigned progress,
                        const char* what) {
    one.onReports(keeper, {{"r", {incarnation, 1}, hearing, progress}});
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
  for (const VoterIndex keeper : {0, 1}) one.onVoterLost(keeper);
  std::cout << "the keepers that told so are lost: " << nameOf(one.memberState("r").state) << ", "
            << one.takeTransitions().size() << " steps\n";
  one.onVoterLost(2);
  std::cout << "names left: " << one.routers().size() << "\n";
}

void beats() {
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

// --- Worlds: several processes of a few names start, stop, stand still and come back; keepers lose power,
// and what they had not made durable; words come late, and in any order. What must hold, whatever fails: who
// enters does so by a number above all by which its name had entered before it started, and by one that no
// other has; and all enter in the end.

enum class Bug { none, toldBeforeDurable, halfIsEnough, forgetsOnRestart };
constexpr const char* kBugs[] = {"none", "told before it is durable", "half of the keepers are enough",
                                 "a keeper's roll is lost with its power"};

struct Seen {
  std::uint64_t starts = 0, entered = 0, superseded = 0, losses = 0, words = 0;
};

class World {
 public:
  World(std::uint64_t seed, Bug bug, Seen& seen) : chance_(seed), bug_(bug), seen_(seen) {
    keepers_.resize(1 + 2 * pick(3));
    for (std::size_t n = 1 + pick(3); n > 0; --n) names_.insert("r" + std::to_string(n));
    for (std::size_t k = 0; k < keepers_.size(); ++k) boot(k);
  }
  std::string play() {
    constexpr std::int64_t kEnd = 20'000;
    for (std::int64_t at = 0; at < kEnd; at += 50 + static_cast<std::int64_t>(pick(1500)))
      later(ms(at), [this] { trouble(); });
    run(ms(kEnd));
    calm_ = true;
    for (auto& keeper : keepers_)
      if (!keeper.roll) boot(static_cast<std::size_t>(&keeper - keepers_.data()));
    // One process a name is left; it enters, or has.
    std::map<std::string, std::size_t> last;
    for (std::size_t p = 0; p < processes_.size(); ++p)
      if (processes_[p].entry) last[processes_[p].name] = p;
    for (auto& process : processes_)
      if (process.entry && last[process.name] != static_cast<std::size_t>(&process - processes_.data()))
        process.entry.reset();
    for (const auto& name : names_) start(name);
    run(ms(10'000));
    for (std::size_t p = processes_.size() - names_.size(); p < processes_.size(); ++p)
      if (fault_.empty() && processes_[p].entry->state() != JoinProtocol::State::joined)
        fault_ = processes_[p].name +
                 " does not enter when all is well: " + std::string(nameOf(processes_[p].entry->state()));
    return fault_;
  }

 private:
  struct KeeperAt {
    std::map<std::string, Incarnation> disk;
    std::optional<FailureDetector> roll;
    std::uint64_t life = 0;
  };
  struct Process {
    std::string name;
    std::uint64_t draw = 0;
    std::optional<JoinProtocol> entry;
    std::uint64_t above = 0;  // the highest that had entered when it started
    bool stopped = false, counted = false, counted2 = false;
    std::map<std::size_t, std::uint64_t> link;  // to each keeper: its generation
  };

  std::size_t pick(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(chance_); }
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
  Duration delay() { return ms(1 + static_cast<std::int64_t>(pick(calm_ || pick(10) ? 20 : 2000))); }

  void boot(std::size_t k) {
    KeeperAt& keeper = keepers_[k];
    ++keeper.life;
    if (bug_ == Bug::forgetsOnRestart) keeper.disk.clear();
    keeper.roll.emplace(now_, names_, keeper.disk);
    for (std::size_t p = 0; p < processes_.size(); ++p) connect(p, k);
  }
  void start(const std::string& name) {
    ++seen_.starts;
    processes_.emplace_back();
    processes_.back().name = name;
    processes_.back().draw = chance_();
    if (!numbers_[name].empty()) processes_.back().above = *numbers_[name].rbegin();
    const std::size_t p = processes_.size() - 1;
    processes_[p].entry.emplace(
        bug_ == Bug::halfIsEnough && keepers_.size() > 1 ? keepers_.size() - 2 : keepers_.size(),
        processes_[p].draw);
    for (std::size_t k = 0; k < keepers_.size(); ++k) connect(p, k);
    tick(p);
  }
  void tick(std::size_t p) {
    if (!processes_[p].entry) return;
    if (!processes_[p].stopped) {
      processes_[p].entry->runTimers(now_);
      settle(p);
    }
    later(ms(50), [this, p] { tick(p); });
  }
  bool isUp(std::size_t p, std::size_t k, std::uint64_t link, std::uint64_t life) {
    return processes_[p].entry && processes_[p].link[k] == link && keepers_[k].roll &&
           keepers_[k].life == life;
  }
  // A word from the keeper's disk to the process, once all up to now is durable there.
  void answer(std::size_t p, std::size_t k, std::uint64_t link, std::uint64_t life, bool greets) {
    const std::string name = processes_[p].name;
    const auto changes = keepers_[k].roll->takeChanges();
    const auto tell = [=, this] {
      const Incarnation newest = keepers_[k].roll->newestIncarnation(name);
      later(delay(), [=, this] {
        if (isUp(p, k, link, life)) hear(p, k, newest, greets);
      });
    };
    if (bug_ == Bug::toldBeforeDurable) tell();
    later(ms(static_cast<std::int64_t>(pick(30))), [=, this] {
      if (!keepers_[k].roll || keepers_[k].life != life) return;
      for (const auto& [router, start] : changes)
        if (start.number > keepers_[k].disk[router].number) keepers_[k].disk[router] = start;
      if (bug_ != Bug::toldBeforeDurable) tell();
    });
  }
  void connect(std::size_t p, std::size_t k) {
    Process& process = processes_[p];
    if (!process.entry) return;
    process.entry->onVoterLost(k);
    const std::uint64_t link = ++process.link[k];
    if (!keepers_[k].roll) return;
    const std::uint64_t life = keepers_[k].life;
    later(delay(), [=, this] {
      if (isUp(p, k, link, life)) answer(p, k, link, life, true);
    });
  }
  void hear(std::size_t p, std::size_t k, const Incarnation& newest, bool greets) {
    Process& process = processes_[p];
    if (process.stopped)
      return later(ms(200), [=, this] {
        if (processes_[p].entry) hear(p, k, newest, greets);
      });
    ++seen_.words;
    if (greets)
      process.entry->onNewestKnown(now_, k, newest);
    else
      process.entry->onJoinReply(now_, k, newest);
    settle(p);
  }
  void settle(std::size_t p) {
    Process& process = processes_[p];
    for (const auto& [keeper, number] : process.entry->takeJoinRequests()) {
      const std::size_t k = keeper;
      const std::uint64_t link = process.link[k], life = keepers_[k].life;
      later(delay(), [=, this, n = number] {
        if (!isUp(p, k, link, life)) return;
        keepers_[k].roll->onJoinRequest(now_, processes_[p].name, {n, processes_[p].draw});
        answer(p, k, link, life, false);
      });
    }
    if (process.entry->state() == JoinProtocol::State::superseded && !std::exchange(process.counted2, true))
      ++seen_.superseded;
    if (process.entry->state() != JoinProtocol::State::joined || std::exchange(process.counted, true)) return;
    ++seen_.entered;
    const std::uint64_t number = process.entry->incarnation().number;
    if (number <= process.above)
      fault_ = process.name + " entered by " + std::to_string(number) + ", and " +
               std::to_string(process.above) + " had entered before it started";
    if (!numbers_[process.name].insert(number).second)
      fault_ = process.name + " entered by " + std::to_string(number) + " twice";
  }
  void trouble() {
    switch (pick(5)) {
      case 0:
      case 1: {
        auto name = names_.begin();
        std::advance(name, pick(names_.size()));
        return start(*name);
      }
      case 2: {  // a keeper loses its power
        const std::size_t k = pick(keepers_.size());
        if (!keepers_[k].roll) return;
        ++seen_.losses;
        keepers_[k].roll.reset();
        for (std::size_t p = 0; p < processes_.size(); ++p)
          if (processes_[p].entry) processes_[p].entry->onVoterLost(k);
        return later(ms(static_cast<std::int64_t>(pick(3000))), [this, k] {
          if (!keepers_[k].roll) boot(k);
        });
      }
      case 3: {  // a process ends, or stands still
        if (processes_.empty()) return;
        Process& process = processes_[pick(processes_.size())];
        if (pick(2)) return process.entry.reset();
        process.stopped = true;
        const auto p = static_cast<std::size_t>(&process - processes_.data());
        return later(ms(static_cast<std::int64_t>(pick(4000))), [this, p] { processes_[p].stopped = false; });
      }
      case 4:
        if (!processes_.empty()) connect(pick(processes_.size()), pick(keepers_.size()));
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
  std::mt19937_64 chance_;
  Bug bug_;
  Seen& seen_;
  std::set<std::string> names_;
  std::vector<KeeperAt> keepers_;
  std::vector<Process> processes_;
  std::map<std::string, std::set<std::uint64_t>> numbers_;  // by which starts of a name have entered
  Instant now_ = kBegin;
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  bool calm_ = false;
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
            << "starts " << seen.starts << ", entered " << seen.entered << ", superseded " << seen.superseded
            << ", keepers lost power " << seen.losses << ", words " << seen.words << "\n";
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
  const std::map<std::string, void (*)()> cases{{"entry", entry}, {"roll", roll},     {"view", view},
                                                {"beats", beats}, {"worlds", worlds}, {"bugs", bugs}};
  const auto at = cases.find(argc > 1 ? argv[1] : "");
  if (at == cases.end()) return 2;
  if (argc > 2) seedsAsked = std::stoull(argv[2]);
  at->second();
  return 0;
}
