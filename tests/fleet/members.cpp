// Who belongs, who lives, which start speaks, and who keeps: on real processes, judged by what they logged
// and by what ran at the node.
#include <algorithm>
#include <functional>
#include <iostream>
#include <memory>

#include "cases.h"
#include "rig.h"

namespace gulltrestle::fleet {

namespace {

class Members : private Scene {
 public:
  Members() : rig_(loop_, 5, shape()) {}

  // Each scene in a fleet of its own.
  bool play(const char* what, event_loop::Task (Members::*scene)()) {
    loop_.spawn((this->*scene)());
    run();
    if (fault_.empty()) fault_ = rig_.judge();
    std::cout << what << ": " << (fault_.empty() ? "as it should be" : fault_) << "\n";
    if (fault_.empty()) return true;
    rig_.keep();
    std::cerr << what << ": " << fault_ << "; logs in " << rig_.path() << "\n";
    return false;
  }

  // --- A router is killed, and comes back; another is not heard by one keeper of three
  event_loop::Task killed() {
    rig_.startAll();
    for (auto wait = serve(all()); wait.goesOn();) co_await tick();
    rig_.flow(4, 0, Flow::deafThere);
    rig_.kill(3);
    for (auto wait = logged({0, 1, 2, 4}, "members.out router=r3 state=out incarnation=1"); wait.goesOn();)
      co_await tick();
    // Its silence began first: were it counted out by one keeper, that would be known by now.
    for (const std::size_t i : {0, 1, 2, 4})
      if (rig_.log(i).find("members.out router=r4") != std::string::npos) broken("one keeper counted r4 out");
    rig_.flow(4, 0, Flow::open);
    rig_.start(3);
    for (auto wait = logged({0, 1, 2, 4}, "members.back router=r3 state=lives incarnation=2"); wait.goesOn();)
      co_await tick();
    for (auto wait = serve(all()); wait.goesOn();) co_await tick();
    loop_.stop();
  }

  // --- One stands still for longer than the time of silence, and goes on as what it was
  event_loop::Task stopped() {
    rig_.startAll();
    for (auto wait = serve(all()); wait.goesOn();) co_await tick();
    rig_.stop(4);
    for (auto wait = logged({0, 1, 2, 3}, "members.out router=r4 state=out incarnation=1"); wait.goesOn();)
      co_await tick();
    rig_.goOn(4);
    for (auto wait = logged({0, 1, 2, 3}, "members.back router=r4 state=lives incarnation=1"); wait.goesOn();)
      co_await tick();
    for (auto wait = serve(all()); wait.goesOn();) co_await tick();
    loop_.stop();
  }

  // --- A keeper stands still: it counts nobody out for what it slept through
  event_loop::Task keeperStopped() {
    rig_.startAll();
    for (auto wait = serve(all()); wait.goesOn();) co_await tick();
    rig_.stop(0);
    for (auto wait = logged({1, 2, 3, 4}, "members.out router=r0 state=out incarnation=1"); wait.goesOn();)
      co_await tick();
    rig_.goOn(0);
    for (auto wait = logged({1, 2, 3, 4}, "members.back router=r0 state=lives incarnation=1"); wait.goesOn();)
      co_await tick();
    for (auto wait = serve(all()); wait.goesOn();) co_await tick();
    for (const std::size_t i : all())
      for (const char* other : {"r1", "r2", "r3", "r4"})
        if (rig_.log(i).find(std::string("members.out router=") + other) != std::string::npos)
          broken(std::string("counted out: ") + other);
    loop_.stop();
  }

  // --- An operator takes one off the list with SIGHUP, and puts it back
  event_loop::Task offTheList() {
    rig_.startAll();
    for (auto wait = serve(all()); wait.goesOn();) co_await tick();
    rig_.belong({0, 1, 2, 3});
    for (const std::size_t k : {0, 1, 2}) rig_.readAnew(k);
    for (auto wait = logged({0, 1, 2}, "peers.list routers=4 added=0 left=1"); wait.goesOn();)
      co_await tick();
    for (auto wait = logged({4}, " reached=0 of=3"); wait.goesOn();) co_await tick();
    for (int n = 0; n < 20; ++n) {
      const std::size_t row = rig_.ask(4, id());
      while (!rig_.asked(row).over) co_await tick();
      if (rig_.asked(row).outcome == FinalOutcome::committed) broken("one off the list ran a txn");
    }
    for (auto wait = serve({0, 1, 2, 3}); wait.goesOn();) co_await tick();
    rig_.belong({0, 1, 2, 3, 4});
    for (const std::size_t k : {0, 1, 2}) rig_.readAnew(k);
    for (auto wait = serve(all()); wait.goesOn();) co_await tick();
    loop_.stop();
  }

  // --- A second process of one name starts while the first stands still
  event_loop::Task twins() {
    rig_.startAll();
    for (auto wait = serve(all()); wait.goesOn();) co_await tick();
    rig_.stop(3);
    const std::size_t twin = rig_.twin(3);
    rig_.start(twin);
    for (auto wait = serve({0, 1, 2, 4, twin}); wait.goesOn();) co_await tick();
    rig_.goOn(3);
    for (auto wait = logged({3}, "members.entry state=superseded"); wait.goesOn();) co_await tick();
    for (int n = 0; n < 20; ++n) {
      const std::size_t row = rig_.ask(3, id());
      while (!rig_.asked(row).over) co_await tick();
      if (rig_.asked(row).outcome == FinalOutcome::committed) broken("a start that was superseded ran a txn");
    }
    for (auto wait = serve({0, 1, 2, 4, twin}); wait.goesOn();) co_await tick();
    loop_.stop();
  }

  // --- One keeper gives way to another while clients repeat their ids, with one restart after another; and a
  // file that does not tell of the list before
  event_loop::Task keepers() {
    rig_.startAll();
    for (auto wait = serve(all()); wait.goesOn();) co_await tick();
    loop_.spawn(clients());
    rig_.keepersAre({0, 1, 3});
    std::vector<std::size_t> order = all();
    std::shuffle(order.begin(), order.end(), rig_.chance);
    for (const std::size_t i : order) {
      const std::size_t rows = rig_.rows() + 60;
      rig_.kill(i);
      rig_.writeFleet(i);
      rig_.start(i);
      const Instant by = loop_.now() + kBound;
      while (!waited(rig_.rows() >= rows, by, "questions")) co_await tick();
    }
    for (auto wait = serve(all()); wait.goesOn();) co_await tick();
    // The new keeper votes once what it may have missed counts no more; then the other of the two may go.
    for (auto wait = logged({3}, "claims.keeper state=votes"); wait.goesOn();) co_await tick();
    rig_.kill(0);
    for (auto wait = serve({1, 2, 3, 4}); wait.goesOn();) co_await tick();
    rig_.forgetListsBefore();
    rig_.writeFleet(0);
    rig_.start(0);
    if (rig_.endsWith(0) != 1 ||
        rig_.log(0).find("and this keeper served under list 2 already") == std::string::npos)
      broken("started by a file that does not tell of the list before");
    ending_ = true;
    const Instant by = loop_.now() + kBound;
    while (!waited(rig_.open() == 0, by, "the last answers")) co_await tick();
    loop_.stop();
  }

 private:
  static Shape shape() {
    Shape made;
    made.routers = 5;
    made.spares = 1;
    return made;
  }
  std::vector<std::size_t> all() const { return {0, 1, 2, 3, 4}; }
  std::string id() { return "m" + std::to_string(++ids_); }

  // What is waited for, looked at every few milliseconds; what does not come is a fault.
  struct Wait {
    Members& members;
    std::function<bool()> come;
    std::string what;
    Instant by;
    bool goesOn() { return !members.waited(come(), by, what.c_str()); }
  };
  // Every one of these commits a txn.
  Wait serve(std::vector<std::size_t> routers) {
    const auto done = std::make_shared<std::size_t>(0);
    for (const std::size_t i : routers) loop_.spawn(counted(i, done));
    return Wait{*this, [done, n = routers.size()] { return *done == n; }, "routers that serve",
                loop_.now() + kBound};
  }
  event_loop::Task counted(std::size_t router, std::shared_ptr<std::size_t> done) {
    const Instant by = loop_.now() + kBound;
    bool committed = false;
    while (!waited(committed, by, "a router that serves")) {
      const std::size_t row = rig_.ask(router, id());
      while (!rig_.asked(row).over) co_await tick();
      committed = rig_.asked(row).outcome == FinalOutcome::committed;
      co_await tick();
    }
    ++*done;
  }
  Wait logged(std::vector<std::size_t> routers, std::string line) {
    const auto come = [this, routers, line] {
      return std::all_of(routers.begin(), routers.end(),
                         [&](std::size_t i) { return rig_.log(i).find(line) != std::string::npos; });
    };
    return {*this, come, line, loop_.now() + kBound};
  }
  event_loop::Task clients() {
    while (!ending_) {
      const bool repeats = asked_.size() > 0 && rig_.pick(3) > 0;
      if (!repeats) asked_.push_back({id(), loop_.now()});
      std::size_t first = asked_.size() - 1;
      while (first > 0 && loop_.now() - asked_[first - 1].second < Duration::millis(2500)) --first;
      const std::size_t among = asked_.size() - first;
      const std::string& what = asked_[asked_.size() - 1 - (repeats ? rig_.pick(among) : 0)].first;
      const std::size_t row = rig_.ask(rig_.pick(rig_.routers()), what);
      while (!rig_.asked(row).over && rig_.open() > 8) co_await tick();
      co_await tick();
    }
  }

  Rig rig_;
  std::uint64_t ids_ = 0;
  std::vector<std::pair<std::string, Instant>> asked_;
  bool ending_ = false;
};

}  // namespace

int members() {
  bool ok = true;
  const auto play = [&](const char* what, event_loop::Task (Members::*scene)()) {
    ok = Members().play(what, scene) && ok;
  };
  play("a router killed, another not heard by one keeper", &Members::killed);
  play("a router that stood still", &Members::stopped);
  play("a keeper that stood still", &Members::keeperStopped);
  play("a router taken off the list, and put back", &Members::offTheList);
  play("two processes of one name", &Members::twins);
  play("a keeper that gives way to another", &Members::keepers);
  return ok ? 0 : 1;
}

namespace {

class Talk : private Scene {
 public:
  explicit Talk(std::size_t routers) : rig_(loop_, 1, shape(routers)) {}
  int play() {
    loop_.spawn(scene());
    run();
    if (!fault_.empty()) std::cout << fault_ << "\n";
    return fault_.empty() ? 0 : 1;
  }

 private:
  static constexpr Duration kMeasured = Duration::millis(20'000);
  static Shape shape(std::size_t routers) {
    Shape made;
    made.routers = routers;
    made.keepers = 5;
    made.direct = true;
    return made;
  }
  // A figure of the status document by its name; 0: it is not there.
  double figure(std::size_t router, const std::string& name) const {
    const std::string text = rig_.document(router);
    const auto at = text.find("\"" + name + "\": ");
    return at == std::string::npos ? 0 : std::stod(text.substr(at + name.size() + 4));
  }
  event_loop::Task scene() {
    const Instant began = loop_.now();
    rig_.startAll();
    const Instant by = began + kBound;
    const auto all = [&](const std::function<bool(std::size_t)>& holds) {
      for (std::size_t i = 0; i < rig_.routers(); ++i)
        if (!holds(i)) return false;
      return true;
    };
    const auto entered = [&](std::size_t i) {
      return rig_.log(i).find("members.entry state=entered") != std::string::npos;
    };
    while (!waited(all(entered), by, "routers that have entered"))
      co_await loop_.sleepUntil(loop_.now() + kLook);
    std::cout << rig_.routers() << " routers, 5 of them keepers: all have entered after "
              << (loop_.now() - began).inSeconds() << " s\n";
    co_await loop_.sleepUntil(loop_.now() + kMeasured * 0.5);  // what a start brings is over
    struct Sum {
      double said = 0, heard = 0, taken = 0, given = 0, cpu = 0;
    };
    const auto sums = [&](std::size_t from, std::size_t to) {
      Sum sum;
      for (std::size_t i = from; i < to; ++i) {
        sum.said += figure(i, "said");
        sum.heard += figure(i, "heard");
        sum.taken += figure(i, "words_taken");
        sum.given += figure(i, "answers_given");
        sum.cpu += rig_.cpuSeconds(i);
      }
      return sum;
    };
    const Sum keepersBefore = sums(0, 5), othersBefore = sums(5, rig_.routers());
    const Instant from = loop_.now();
    co_await loop_.sleepUntil(from + kMeasured);
    const Sum keepers = sums(0, 5), others = sums(5, rig_.routers());
    const double seconds = (loop_.now() - from).inSeconds();
    const auto tell = [&](const char* who, std::size_t count, const Sum& before, const Sum& after) {
      if (count == 0) return;
      const double each = seconds * static_cast<double>(count);
      std::cout << who << ", a second: says " << (after.said - before.said) / each << ", hears "
                << (after.heard - before.heard) / each << ", takes " << (after.taken - before.taken) / each
                << ", gives " << (after.given - before.given) / each << "; CPU "
                << (after.cpu - before.cpu) / each * 1000 << " ms\n";
    };
    tell("a keeper", 5, keepersBefore, keepers);
    tell("another router", rig_.routers() - 5, othersBefore, others);
    loop_.stop();
  }
  static constexpr Duration kLook = Duration::millis(200);
  Rig rig_;
};

}  // namespace

int talk(std::size_t routers) { return Talk(routers).play(); }

}  // namespace gulltrestle::fleet
