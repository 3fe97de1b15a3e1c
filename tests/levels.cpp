// Levels of reduced service: as a decision by itself, as the module takes them, and over minutes of swinging
// load on a small modelled group. Run as `levels CASE [MINUTES]`: prints what was found.
#include "levels/levels.h"

#include <cmath>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <memory>
#include <queue>
#include <random>
#include <utility>

#include "core/ledger.h"
#include "levels/table.h"
#include "reduced/reduced.h"
#include "trace.h"

using namespace gulltrestle;
using namespace gulltrestle::levels;
using trace::ms;

namespace {

constexpr Instant kStart = Instant::atMicros(1'700'000'000'000'000);

// --- The decision by itself.

class Steps {
 public:
  explicit Steps(Bounds bounds = {}) : levels_(bounds, 7) {}
  Levels& levels() { return levels_; }
  Instant now = kStart;

  // For so many ms, `each` is called every 50 ms; changes are printed.
  void run(std::int64_t millis, std::function<void(Instant, int)> each) {
    for (std::int64_t t = 0; t < millis; t += 50) {
      now = now + ms(50);
      each(now, step_++);
      for (const Change& change : levels_.decide(now)) {
        ++changes;
        if (!quiet)
          std::cout << (now - kStart).inMicros() / 1000 << " ms: group " << change.group << " " << change.from
                    << " > " << change.to << " (" << nameOf(change.cause) << ", wait " << std::setprecision(2)
                    << change.wait << " over " << change.txns << ")\n";
      }
    }
  }
  void say(const std::string& text) { std::cout << "-- " << text << "\n"; }
  // Four txns a step that took this share of their SLA time.
  std::function<void(Instant, int)> load(double share, GroupId group = 1) {
    return [this, share, group](Instant at, int) {
      for (int i = 0; i < 4; ++i) levels_.answered(at, group, 0, share);
    };
  }
  bool quiet = false;
  unsigned changes = 0;

 private:
  Levels levels_;
  int step_ = 0;
};

void steps() {
  Steps s;
  s.say("calm, then a queue that stands: one step at a time, each after its stay");
  s.run(3000, s.load(0.1));
  s.run(30000, s.load(0.9));
  s.say("calm again: down by trials, one step at a time");
  s.run(60000, s.load(0.1));
  s.say("a burst: some wait, a quarter do not");
  Steps burst;
  burst.run(20000, [&](Instant at, int) {
    for (int i = 0; i < 4; ++i) burst.levels().answered(at, 1, 0, i < 2 ? 0.1 : 3);
  });
  std::cout << burst.changes << " changes\n";
  s.say("a trial that fails: what was let in waits");
  Steps trial;
  trial.run(3000, trial.load(0.9));
  trial.run(40000, [&](Instant at, int) {
    for (int i = 0; i < 4; ++i) trial.levels().answered(at, 1, 0, trial.levels().of(1).trial > 0 ? 0.5 : 0.1);
  });
  std::cout << "level " << trial.levels().of(1).level << "\n";
}

void hovers() {
  Steps s;
  s.say("ten minutes at a boundary");
  s.run(600'000, [&](Instant at, int n) {
    for (int i = 0; i < 4; ++i) s.levels().answered(at, 1, 0, n / 20 % 2 ? 0.65 : 0.55);
  });
  std::cout << s.changes << " changes\n";
  Steps saw;
  saw.say("a sawtooth with the period of the shortest stay, for ten minutes");
  saw.quiet = true;
  unsigned most = 0;
  for (int minute = 0; minute < 10; ++minute) {
    const unsigned before = saw.changes;
    saw.run(60'000, [&](Instant at, int n) {
      for (int i = 0; i < 4; ++i) saw.levels().answered(at, 1, 0, n % 100 / 100.0 * 1.2);
    });
    most = std::max(most, saw.changes - before);
  }
  std::cout << saw.changes << " changes, " << most << " in a minute at most\n";
  Steps square;
  square.say("calm and overload in turn, 12 s each: as often as it may change, then it stays the higher");
  square.run(240'000, [&](Instant at, int n) {
    for (int i = 0; i < 4; ++i) square.levels().answered(at, 1, 0, n / 240 % 2 ? 0.05 : 1.5);
  });
}

void causes() {
  Steps s;
  s.say("one group of three is overloaded: only that one is reduced");
  s.run(8000, [&](Instant at, int) {
    for (GroupId group = 1; group <= 3; ++group)
      for (int i = 0; i < 4; ++i) s.levels().answered(at, group, 0, group == 2 ? 1.2 : 0.1);
  });
  std::cout << s.levels().of(1).level << s.levels().of(2).level << s.levels().of(3).level
            << s.levels().of(9).level << "\n";
  Steps hang;
  hang.say("nodes that answer nothing raise no level, and keep none from falling");
  hang.run(30'000, [&](Instant at, int) { hang.levels().gaveUp(at, 1, 0, 2); });
  hang.run(3000, hang.load(0.9));
  hang.run(5000, [&](Instant at, int) { hang.levels().gaveUp(at, 1, 0, 2); });
  hang.run(30'000, hang.load(0.1));
  Steps storm;
  storm.say("clients that come again at once: what is refused tells nothing, up or down");
  storm.run(3000, storm.load(0.9));
  storm.run(20'000, [&](Instant at, int) {
    for (int i = 0; i < 400; ++i) storm.levels().gaveUp(at, 1, 0, 0);
    for (int i = 0; i < 4; ++i) storm.levels().answered(at, 1, 0, 0.9);
  });
  storm.run(60'000, [&](Instant at, int) {
    for (int i = 0; i < 400; ++i) storm.levels().gaveUp(at, 1, 0, 0);
    for (int i = 0; i < 4; ++i) storm.levels().answered(at, 1, 0, 0.1);
  });
  Steps still;
  still.say("this router stood still: what it measured by that is left out");
  for (int i = 0; i < 10; ++i) {
    still.run(1000, still.load(0.1));
    for (int n = 0; n < 40; ++n) still.levels().answered(still.now, 1, 0, 3);
    still.levels().stoodStill(still.now);
  }
  std::cout << still.changes << " changes\n";
  Steps pinned;
  pinned.say("an operator pins, caps, lets go");
  Bounds bounds;
  bounds.pinned = 2;
  pinned.levels().bound(bounds);
  pinned.run(2000, pinned.load(0.1));
  bounds.pinned.reset();
  bounds.cap = 1;
  pinned.levels().bound(bounds);
  pinned.run(20'000, pinned.load(2));
  pinned.levels().bound({});
  pinned.run(7000, pinned.load(2));
  Steps full;
  full.say(
      "this router's own limits are nearly taken: a group whose txns wait a little is reduced, an idle one "
      "not");
  full.levels().own(0.9);
  full.run(3000, [&](Instant at, int) {
    for (int i = 0; i < 4; ++i) full.levels().answered(at, 1, 0, 0.4), full.levels().answered(at, 2, 0, 0.05);
  });
  Steps quiet;
  quiet.say("nobody asks any more: the level goes");
  quiet.run(9000, quiet.load(0.9));
  quiet.run(60'000, [](Instant, int) {});
}

std::vector<TxnType> hanulTypes() {
  const auto made = [](ReadLevel level, std::int64_t sla, std::int64_t expiry, double value, Effect effect) {
    TxnType type = trace::type(level, effect);
    type.slaTime = ms(sla);
    type.expiry = ms(expiry);
    type.value = value;
    type.bound = ms(3000);
    return type;
  };
  return {made(ReadLevel::bounded, 300, 750, 1, Effect::repeatable),
          made(ReadLevel::session, 400, 1000, 1, Effect::repeatable),
          made(ReadLevel::any, 300, 1200, 2, Effect::repeatable),
          made(ReadLevel::any, 3000, 6000, 6, Effect::repeatable),
          made(ReadLevel::write, 400, 5000, 3, Effect::onceOnly)};
}

void tables() {
  const auto types = hanulTypes();
  const Table table = tableOf(types);
  for (std::size_t at = 0; at < table.size(); ++at) {
    std::cout << "level " << at + 1 << (table[at].sparing ? ", sparing:" : ":");
    for (const Admit admit : table[at].admits) std::cout << " " << nameOf(admit);
    std::cout << "\n";
  }
  const auto tried = [&](Table wrong, const std::string& what) {
    try {
      check(wrong, types);
      std::cout << what << ": taken\n";
    } catch (const BadTable& bad) { std::cout << what << ": " << bad.what() << "\n"; }
  };
  tried(table, "the default");
  Table wrong = table;
  wrong[2].admits[3] = Admit::all;
  tried(wrong, "a higher level that lets in more");
  wrong = table;
  wrong[3].admits[4] = Admit::spare;
  tried(wrong, "a write that may not run twice");
  wrong = table;
  wrong[0].admits.pop_back();
  tried(wrong, "a row that is short");
}

// --- As the module takes them.

void taken() {
  using namespace trace;
  Terms terms =
      usualTerms({type(ReadLevel::any), type(ReadLevel::session), type(ReadLevel::write, Effect::onceOnly)});
  terms.reducedByLevel = true;
  Bench b(terms);
  b.quietProbes = true;
  Reduction none, row;
  b.at(0, [&](Router& r) {
    r.listed(ListKind::whole, {b.entry("p", true), b.entry("a"), b.entry("b")});
    r.taken(b.txn(1));
  });
  b.at(5, [&](Router& r) {
    r.ended(1, 0, b.nodeOf(1), End::committed, true, ms(5), b.standing(Role::replica, 0), {});
  });
  b.say(
      "ready: a session read is refused at once where no replica is known to have what it must see, and is "
      "never given older data; writes and the others are let in");
  row.admits = {Admit::all, Admit::ready, Admit::all};
  row.sparing = true;
  b.at(10, [&](Router& r) {
    r.reduced(1, row, none, 0);
    r.taken(b.sessionRead(2, 1, 2));
    r.taken(b.txn(3, 2));
    r.taken(b.txn(4));
  });
  b.say("one that a replica can answer is let in");
  b.at(15, [&](Router& r) { r.taken(b.sessionRead(5, 1, 100)); });
  b.say("none: refused at once; what was taken before stays");
  b.say("spare: not where half of the room is taken");
  row.admits = {Admit::spare, Admit::ready, Admit::all};
  b.at(17, [&](Router& r) {
    r.reduced(1, row, none, 0);
    for (TxnId id = 50; id < 55; ++id) r.taken(b.txn(id));
  });
  row.admits = {Admit::none, Admit::none, Admit::all};
  b.at(20, [&](Router& r) {
    r.reduced(1, row, none, 0);
    r.taken(b.txn(6));
    r.taken(b.txn(7, 2));
  });
  b.say("a trial lets in a part of what the level below would");
  b.at(25, [&](Router& r) {
    r.reduced(1, row, none, 0.25);
    for (TxnId id = 10; id < 30; ++id) r.taken(b.txn(id));
  });
  b.say("full service again; another group was never reduced");
  b.at(2500, [&](Router& r) {
    r.reduced(1, none, none, 0);
    r.taken(b.txn(40));
  });
}

// --- The configuration, and what operators see.

void configurations() {
  const auto types = hanulTypes();
  const std::vector<std::string> names{"board", "own", "route", "report", "charge"};
  const auto read = [&](const std::string& text) {
    try {
      const auto setup = reduced::readSetup(text, types, names);
      std::cout << "up " << setup.bounds.up << " down " << setup.bounds.down << " stay "
                << setup.bounds.shortestStay.inMicros() / 1000 << " ms";
      if (setup.bounds.pinned) std::cout << ", pinned " << *setup.bounds.pinned << " by " << setup.pinnedBy;
      if (!setup.cappedBy.empty()) std::cout << ", cap " << setup.bounds.cap << " by " << setup.cappedBy;
      std::cout << ", own at 2: " << nameOf(setup.table[1].admits[1]) << "\n";
    } catch (const std::exception& bad) { std::cout << bad.what() << "\n"; }
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

// A ledger with levels on it, whose one node answers late.
void seen() {
  struct Nobody final : core::Front, core::Carrier {
    void committed(core::OwnerId, const core::Value&) override {}
    void declined(core::OwnerId, Span, unsigned level) override { ++refusals[level]; }
    void rolledBack(core::OwnerId) override {}
    void carry(core::Job job, const NodeId& node) override { jobs.emplace_back(job, node); }
    void callOff(core::Job, const NodeId&) override {}
    void listed(const std::vector<NodeId>&) override {}
    void forget(const NodeId&) override {}
    std::vector<std::pair<core::Job, NodeId>> jobs;
    std::map<unsigned, unsigned> refusals;
  } nobody;
  auto types = hanulTypes();
  Terms terms = trace::usualTerms(types);
  terms.reducedByLevel = true;
  terms.probesAllowed = false;
  core::Ledger ledger(terms, 7, 1 << 20, [] {});
  ledger.add(nobody);
  std::string file = R"({"status_every_ms":1000})";
  const std::vector<std::string> names{"board", "own", "route", "report", "charge"};
  Instant now = kStart;
  reduced::Reduced part(
      ledger, reduced::readSetup(file, types, names), names, 7,
      [&] { return reduced::readSetup(file, types, names); },
      [&](const std::string& line) {
        std::cout << (now - kStart).inMicros() / 1000 << " ms: " << line << "\n";
      });
  ListEntry entry;
  entry.node = "a";
  entry.group = 1;
  ledger.see(now);
  ledger.listed(ListKind::whole, {{entry, "x"}});
  const auto run = [&](int millis, int late) {
    std::vector<std::pair<Instant, std::pair<core::Job, NodeId>>> out;
    for (int t = 0; t < millis; t += 20) {
      now = now + ms(20);
      ledger.see(now);
      Txn txn;
      txn.type = 2;
      txn.group = 1;
      txn.patience = ms(1200);
      ledger.take(nobody, 1, nobody, txn, {});
      txn.type = 3;
      if (t % 200 == 0) ledger.take(nobody, 1, nobody, txn, {});
      for (auto& job : std::exchange(nobody.jobs, {})) out.emplace_back(now + ms(late), job);
      for (auto at = out.begin(); at != out.end();) {
        if (at->first > now) {
          ++at;
          continue;
        }
        if (ledger.isOwed(at->second.first.txn)) ledger.commit(at->second.first.txn, {});
        ledger.ended(at->second.first, at->second.second, End::committed);
        at = out.erase(at);
      }
      part.endTurn();
      ledger.endTurn();
    }
  };
  run(3000, 20);
  run(9000, 270);
  std::cout << part.status(now);
  std::cout << "refused at once, by the level that was told:";
  for (const auto& [level, count] : nobody.refusals) std::cout << " " << level << (count > 0 ? ": some" : "");
  std::cout << "\n";
  file = R"({"pin":{"level":0,"by":"kim"}})";
  part.readAnew();
  run(1000, 20);
  file = R"({"pin":{"level":9,"by":"kim"}})";
  part.readAnew();
  run(1000, 20);
}

// --- Minutes of swinging load on one modelled group: a primary and two replicas, each one queue.

enum class Mode { levels, before, none };

struct Result {
  double value = 0;
  unsigned changes = 0, mostAMinute = 0, mostLevel = 0;
  std::uint64_t broken = 0, right = 0, wrong = 0;
  double worst = 1;           // the least part of a 10 s window's txns that was committed
  double up = -1, down = -1;  // s from the first second at full load to level 1, and from its end to level 0
};

// What happens beside the load.
struct Trouble {
  double behindFrom = -1, behindTo = -1;  // s in which all replicas are 1.5 s behind
  double newsLate = 0;                    // s by which what nodes tell of their position is late
  bool comeAgain = false;                 // declined clients ask again at once, three times
  double restartAt = -1;                  // s at which each router starts anew, knowing nothing
  double jumpAt = -1, jumpEnds = -1;      // s that the load's jump is timed from
};

class Fleet {
 public:
  Fleet(std::size_t routers, Mode mode, std::uint64_t seed, Trouble trouble = {})
      : chance_(static_cast<unsigned>(seed)), mode_(mode), trouble_(trouble) {
    for (std::size_t i = 0; i < routers; ++i) routers_.push_back(nullptr);
    start();
  }

  // All routers from nothing; what they had out goes on at the nodes and is told to nobody.
  void start() {
    ++starts_;
    const std::size_t routers = routers_.size();
    for (std::size_t i = 0; i < routers; ++i) {
      if (routers_[i]) changesBefore_ += routers_[i]->changes;
      routers_[i] = std::make_unique<One>(*this, i, routers, mode_);
    }
    for (auto& one : routers_) {
      std::vector<core::Addressed> list;
      for (std::size_t n = 0; n < 3; ++n) {
        ListEntry entry;
        entry.node = std::string(1, "pab"[n]);
        entry.group = 1;
        entry.primary = n == 0;
        list.push_back({entry, "x"});
      }
      one->ledger.see(now_);
      one->ledger.listed(ListKind::whole, list);
    }
  }

  // Demand by time, as a multiple of what the nodes can do.
  Result run(std::int64_t millis, const std::function<double(double)>& demand) {
    Result result;
    std::deque<Instant> lastChanges;
    for (std::int64_t t = 0; t < millis; t += 5) {
      now_ = now_ + ms(5);
      second_ = static_cast<double>(t) / 1000;
      if (t == static_cast<std::int64_t>(trouble_.restartAt * 1000)) start();
      if (t % 10'000 == 0 && t > 0) {
        if (window_.first > 50) result.worst = std::min(result.worst, window_.second / window_.first);
        window_ = {};
      }
      while (!again_.empty() && again_.front().first <= now_) {
        const auto [type, tries] = again_.front().second;
        again_.pop_front();
        ask(type, tries);
      }
      const bool reduced = routers_.front()->levels.of(1).level > 0;
      if (reduced && result.up < 0 && second_ >= trouble_.jumpAt) result.up = second_ - trouble_.jumpAt;
      if (!reduced && result.up >= 0 && result.down < 0 && second_ >= trouble_.jumpEnds)
        result.down = second_ - trouble_.jumpEnds;
      // Three nodes at 27 ms a txn in the mean.
      std::poisson_distribution<int> arrivals(demand(static_cast<double>(t) / 1000) * 110 * 0.005);
      for (int n = arrivals(chance_); n > 0; --n) ask();
      while (!ends_.empty() && ends_.top().at <= now_) {
        const Ending end = ends_.top();
        ends_.pop();
        finish(end);
      }
      for (auto& one : routers_) {
        if (!one->touched && (one->due == Instant() || one->due > now_)) continue;
        one->touched = false;
        one->ledger.see(now_);
        one->due = one->ledger.endTurn();
        result.mostLevel = std::max(result.mostLevel, one->levels.of(1).level);
        if (one->changes == one->told) continue;
        // The first router's, as each is held to so many a minute by itself.
        if (one == routers_.front()) {
          lastChanges.push_back(now_);
          while (now_ - lastChanges.front() > ms(60'000)) lastChanges.pop_front();
          result.mostAMinute = std::max(result.mostAMinute, static_cast<unsigned>(lastChanges.size()));
        }
        one->told = one->changes;
      }
    }
    result.changes = changesBefore_;
    for (auto& one : routers_) result.changes += one->changes;
    result.value = earned_ / asked_;
    result.broken = broken_;
    result.right = right_;
    result.wrong = wrong_;
    return result;
  }

 private:
  struct Ending {
    Instant at;
    std::size_t router;
    int start;
    core::Job job;
    NodeId node;
    bool operator<(const Ending& other) const { return at > other.at; }
  };
  struct One final : core::Front, core::Carrier {
    One(Fleet& of, std::size_t index, std::size_t routers, Mode mode)
        : fleet(of),
          number(index),
          types(hanulTypes()),
          levels({}, index + 1),
          ledger(terms(routers, mode, types), index + 7, 1 << 20, [] {}) {
      ledger.add(*this);
      if (mode == Mode::levels) ledger.reduceBy(levels, tableOf(types), [this](const Change&) { ++changes; });
    }
    static Terms terms(std::size_t routers, Mode mode, const std::vector<TxnType>& types) {
      Terms made = trace::usualTerms(types);
      made.routers = static_cast<unsigned>(routers);
      made.reducedByLevel = mode != Mode::before;
      made.probesAllowed = false;
      made.cancelAllowed = false;
      return made;
    }
    void committed(core::OwnerId owner, const core::Value&) override { fleet.answered(*this, owner, true); }
    void declined(core::OwnerId owner, Span, unsigned level) override {
      if (level > 0) fleet.judge(asked.at(owner).type);
      fleet.answered(*this, owner, false);
    }
    void rolledBack(core::OwnerId owner) override { fleet.answered(*this, owner, false); }
    void carry(core::Job job, const NodeId& node) override { fleet.carry(*this, job, node); }
    void callOff(core::Job job, const NodeId& node) override { ledger.ended(job, node, End::calledOff); }
    void listed(const std::vector<NodeId>&) override {}
    void forget(const NodeId&) override {}

    Fleet& fleet;
    std::size_t number;
    std::vector<TxnType> types;
    Levels levels;
    core::Ledger ledger;
    Instant due;
    bool touched = true;
    unsigned changes = 0, told = 0;
    struct Asked {
      std::size_t type;
      Instant at;
      int tries;
    };
    std::map<core::OwnerId, Asked> asked;
    core::OwnerId last = 0;
  };

  void ask() {
    // Bounded 30%, session 25%, any 25%, long 4%, writes 16%.
    const auto kind = chance_() % 100;
    const std::size_t type = kind < 30 ? 0 : kind < 55 ? 1 : kind < 80 ? 2 : kind < 84 ? 3 : 4;
    asked_ += hanul_[type].value;
    ++window_.first;
    ask(type, 0);
  }

  void ask(std::size_t type, int tries) {
    One& one = *routers_[chance_() % routers_.size()];
    Txn txn;
    txn.type = type;
    txn.group = 1;
    txn.patience = one.types[type].expiry;
    if (type == 1) {
      txn.session = chance_() % 50;
      txn.writeAge = ms(static_cast<std::int64_t>(chance_() % 400));
    }
    if (type == 4) txn.session = chance_() % 50;
    one.ledger.see(now_);
    one.asked[++one.last] = {type, now_, tries};
    typeOf_[{one.number, one.ledger.take(one, one.last, one, txn, {})}] = type;
    one.touched = true;
  }

  // An observer who sees the nodes' queues: a refusal was right if no node could have begun it within a third
  // of its SLA time.
  void judge(std::size_t type) {
    const auto free = [&](std::size_t node) { return busyUntil_[node] - now_ < hanul_[type].slaTime * 0.35; };
    ++(free(1) || free(2) ? wrong_ : right_);
  }

  void carry(One& one, core::Job job, const NodeId& node) {
    const std::size_t at = std::string("pab").find(node);
    const Instant begin = std::max(now_, busyUntil_[at]);
    // A node turns away what would wait for more than two seconds.
    if (begin - now_ > ms(2000)) return one.ledger.ended(job, node, End::turnedAway);
    // 20 ms of work, ten times that for long reads.
    const double long10 = typeOf_[{one.number, job.txn}] == 3 ? 10 : 1;
    busyUntil_[at] = begin + Span::micros(10'000 + static_cast<std::int64_t>(chance_() % 20'000)) * long10;
    ends_.push({busyUntil_[at], one.number, starts_, job, node});
  }

  void finish(const Ending& end) {
    if (end.start != starts_) return;
    One& one = *routers_[end.router];
    one.ledger.see(now_);
    one.touched = true;
    if (one.ledger.isOwed(end.job.txn)) one.ledger.commit(end.job.txn, {});
    const bool primary = end.node == "p";
    const bool behind = second_ >= trouble_.behindFrom && second_ < trouble_.behindTo;
    const Span lag = (primary ? Span() : behind ? ms(1500) : ms(40)) + Span::seconds(trouble_.newsLate);
    one.ledger.ended(end.job, end.node, End::committed,
                     {primary ? Role::primary : Role::replica, now_ - lag});
  }

  void answered(One& one, core::OwnerId owner, bool committed) {
    const auto asked = one.asked.at(owner);
    one.asked.erase(owner);
    const TxnType& type = one.types[asked.type];
    if (now_ - asked.at > type.expiry) ++broken_;
    if (!committed) {
      if (trouble_.comeAgain && asked.tries < 3)
        again_.push_back({now_ + ms(20), {asked.type, asked.tries + 1}});
      return;
    }
    ++window_.second;
    earned_ += type.value * (now_ - asked.at <= type.slaTime ? 1 : type.lateShare);
  }

  std::knuth_b chance_;
  Mode mode_;
  Trouble trouble_;
  const std::vector<TxnType> hanul_ = hanulTypes();
  int starts_ = 0;
  unsigned changesBefore_ = 0;
  double second_ = 0;
  std::pair<double, double> window_;  // asked and committed in this one
  std::deque<std::pair<Instant, std::pair<std::size_t, int>>> again_;
  std::uint64_t right_ = 0, wrong_ = 0;
  Instant now_ = kStart;
  std::vector<std::unique_ptr<One>> routers_;
  std::map<std::pair<std::size_t, TxnId>, std::size_t> typeOf_;
  std::array<Instant, 3> busyUntil_{};
  std::priority_queue<Ending> ends_;
  double asked_ = 0, earned_ = 0;
  std::uint64_t broken_ = 0;
};

// Troubles beside the load, each with levels and as before.
void troubles() {
  const auto flat = [](double at) { return [at](double) { return at; }; };
  const auto jump = [](double t) { return t >= 20 && t < 60 ? 2.0 : 0.5; };
  const auto tell = [](const std::string& what, std::size_t routers,
                       const std::function<double(double)>& demand, Trouble trouble) {
    const Result with = Fleet(routers, Mode::levels, 9, trouble).run(120'000, demand);
    const Result before = Fleet(routers, Mode::before, 9, trouble).run(120'000, demand);
    std::cout << std::fixed << std::setprecision(2) << what << ", " << routers << ": value " << with.value
              << " (before " << before.value << "), worst 10 s " << with.worst << " (" << before.worst
              << "), changes " << with.changes << ", highest level " << with.mostLevel << ", refusals right "
              << with.right << " wrong " << with.wrong << ", past the expiry " << with.broken + before.broken;
    if (trouble.jumpAt >= 0) std::cout << "; up after " << with.up << " s, back after " << with.down << " s";
    std::cout << "\n";
  };
  for (const std::size_t routers : {1, 4}) {
    Trouble jumped;
    jumped.jumpAt = 20, jumped.jumpEnds = 60;
    tell("a jump to twice the capacity for 40 s", routers, jump, jumped);
    Trouble again = jumped;
    again.comeAgain = true;
    tell("the same, clients come again at once", routers, jump, again);
    Trouble restarted = jumped;
    restarted.restartAt = 40;
    tell("the same, all routers start anew at its height", routers, jump, restarted);
    Trouble behind;
    behind.behindFrom = 20, behind.behindTo = 80;
    tell("replicas behind at normal load", routers, flat(0.5), behind);
    tell("replicas behind and the load at capacity", routers, flat(1), behind);
    Trouble late;
    late.newsLate = 2;
    tell("news late by 2 s at normal load", routers, flat(0.5), late);
  }
}

void swinging(std::int64_t minutes, const std::vector<std::size_t>& sizes) {
  const std::map<std::string, std::function<double(double)>> shapes{
      {"sine", [](double t) { return 1 + 0.8 * std::sin(t * 2 * 3.14159265358979 / 40); }},
      {"square", [](double t) { return std::fmod(t, 50) < 25 ? 0.5 : 1.8; }},
      {"sawtooth", [](double t) { return 0.3 + 1.6 * std::fmod(t, 30) / 30; }},
      {"walk", [](double t) {
         double at = 1;
         std::knuth_b steps(3);
         for (int i = 0; i < static_cast<int>(t / 2); ++i)
           at = std::clamp(at + (steps() % 3 - 1.0) * 0.2, 0.3, 2.0);
         return at;
       }}};
  std::cout
      << "shape, routers: value with levels, as before, with none; changes a router and minute, most in one; "
         "highest level; answers past the expiry\n";
  for (const auto& [name, demand] : shapes) {
    for (const std::size_t routers : sizes) {
      Result with = Fleet(routers, Mode::levels, 5).run(minutes * 60'000, demand);
      Result before = Fleet(routers, Mode::before, 5).run(minutes * 60'000, demand);
      Result none = Fleet(routers, Mode::none, 5).run(minutes * 60'000, demand);
      std::cout << std::fixed << std::setprecision(2) << name << ", " << routers << ": " << with.value << " "
                << before.value << " " << none.value << "; "
                << static_cast<double>(with.changes) / static_cast<double>(routers) /
                       static_cast<double>(minutes)
                << ", " << with.mostAMinute << "; " << with.mostLevel << "; "
                << with.broken + before.broken + none.broken << "\n";
    }
  }
}

}  // namespace

int main(int count, char** words) {
  const std::string name = count > 1 ? words[1] : "";
  if (name == "steps") return steps(), 0;
  if (name == "hovers") return hovers(), 0;
  if (name == "causes") return causes(), 0;
  if (name == "tables") return tables(), 0;
  if (name == "taken") return taken(), 0;
  if (name == "configurations") return configurations(), 0;
  if (name == "seen") return seen(), 0;
  if (name == "troubles") return troubles(), 0;
  if (name == "swinging") {
    if (count > 2)
      swinging(std::atoi(words[2]), {1, 4, 40});
    else
      swinging(2, {1, 4});
    return 0;
  }
  return 2;
}
