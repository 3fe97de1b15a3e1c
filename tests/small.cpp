// A small world of claims, tried in every order: the real decisions of three keepers and of two routers that
// are asked for one id, one of which may start again and be asked once more. Words arrive with their
// connection, writes become durable or not, a keeper loses its power, its disk, or both. Each state is
// visited once; two orders that give each keeper and claimant the same history lead to the same state. Run as
// `small CASE`: prints what was visited.
#include <algorithm>
#include <array>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <unordered_set>
#include <vector>

#include "idempotency/claim_coordinator.h"
#include "idempotency/voting_member.h"

using namespace gulltrestle;
using namespace gulltrestle::idempotency;

namespace {

enum class Bug { none, toldBeforeDurable, oneIsEnough, lostTakenForWhole, freesUnknown };
constexpr const char* kBugs[] = {"none", "a vote is told before it is durable",
                                 "a claimant takes one vote for enough",
                                 "a lost disk is taken for a whole one, whatever others know",
                                 "the end of what may have run is told as never ran"};

struct Limits {
  int powerLosses = 1, disksLost = 1, starts = 1, timeouts = 2;
};

constexpr std::size_t kKeepers = 3, kRouters = 2;
const Instant kNow = Instant() + Duration::millis(1'000'000);
const std::string kId = "b1", kValue = "v";

std::uint64_t mixed(std::uint64_t a, std::uint64_t b) {
  a ^= b + 0x9E3779B97F4A7C15ULL + (a << 6) + (a >> 2);
  a *= 0xBF58476D1CE4E5B9ULL;
  return a ^ a >> 31;
}

struct Disk {
  std::vector<VoterIncarnation> own;
  std::uint64_t newSince = 0;
  bool whole = true;
  std::map<std::string, ClaimRecord> entries;
  std::map<std::string, VoterIncarnation> starts;
};

struct Write {
  std::vector<VotingMember::DiskChange> changes;
  bool vote = false;  // of this token, to that router
  ClaimToken token;
  std::size_t router = 0;
};

struct Word {
  enum class Kind { claim, release, committed, vote } what = Kind::claim;
  std::size_t router = 0, keeper = 0;
  std::uint64_t start = 0, number = 0;
  Vote vote;
  bool isAheadOf(const Word& later) const {
    return router == later.router && keeper == later.keeper && start == later.start &&
           (what == Kind::vote) == (later.what == Kind::vote);
  }
  // But for the keeper: they are alike.
  std::uint64_t hash() const {
    std::uint64_t h = mixed(static_cast<std::uint64_t>(what), router);
    h = mixed(h, start * 64 + number);
    return mixed(h, static_cast<std::uint64_t>(vote.kind) * 2 + vote.committed);
  }
};

struct State {
  struct KeeperAt {
    std::optional<VotingMember> keeper;
    Disk disk;
    std::vector<Write> writes;
    std::uint64_t history = 1;
  };
  struct Router {
    std::optional<ClaimCoordinator> claimant;
    std::uint64_t start = 1, history = 1;
    enum class At { idle, asked, admitted, running, over } at = At::idle;
    std::array<std::uint64_t, kKeepers> heard{};
  };
  std::vector<KeeperAt> keepers{kKeepers};
  std::vector<Router> routers{kRouters};
  std::vector<Word> words;
  Limits left;
  int ran = 0;

  // Keepers are alike: which is which makes no other state. Nor does the order in which votes came: the sum
  // of what a router heard from each is part of that keeper's share.
  std::uint64_t key() const {
    std::vector<std::uint64_t> shares;
    for (std::size_t k = 0; k < keepers.size(); ++k) {
      std::uint64_t sum = 0;
      for (const auto& word : words)
        if (word.keeper == k) sum += mixed(3, word.hash());
      std::uint64_t h = mixed(mixed(keepers[k].history, keepers[k].writes.size()), sum);
      for (const auto& r : routers) h = mixed(h, r.heard[k]);
      shares.push_back(h);
    }
    std::sort(shares.begin(), shares.end());
    std::uint64_t h = 7;
    for (const std::uint64_t share : shares) h = mixed(h, share);
    for (const auto& r : routers)
      h = mixed(mixed(h, r.history), static_cast<std::uint64_t>(r.at) * 16 + r.start);
    return mixed(h, static_cast<std::uint64_t>(left.powerLosses * 1000 + left.disksLost * 100 +
                                               left.starts * 10 + left.timeouts) *
                            8 +
                        static_cast<std::uint64_t>(ran));
  }
};

class Search {
 public:
  Search(Bug bug, Limits limits) : bug_(bug) {
    State state;
    state.left = limits;
    for (std::size_t k = 0; k < kKeepers; ++k) {
      state.keepers[k].disk.own.push_back({1, 100 + k});
      boot(state, k);
    }
    ask(state, 0);
    todo_.push_back(std::move(state));
  }
  // What broke; empty: nothing.
  std::string run(std::size_t most) {
    while (!todo_.empty() && fault_.empty() && seen_.size() < most) {
      State state = std::move(todo_.back());
      todo_.pop_back();
      if (!seen_.insert(state.key()).second) continue;
      expand(state);
    }
    if (fault_.empty() && !todo_.empty()) return "too many states";
    return fault_;
  }
  // From the beginning to an end by chance, so many times: a fault is not behind all that begins alike.
  std::string walk(std::uint64_t most) {
    const State first = todo_.front();
    walking_ = true;
    for (walks_ = 0; walks_ < most && fault_.empty(); ++walks_) {
      todo_ = {first};
      while (!todo_.empty() && fault_.empty()) {
        const State state =
            std::move(todo_[std::uniform_int_distribution<std::size_t>(0, todo_.size() - 1)(chance_)]);
        todo_.clear();
        expand(state);
      }
    }
    return fault_;
  }
  std::uint64_t walks() const { return walks_; }
  std::size_t states() const { return seen_.size(); }
  std::uint64_t steps() const { return steps_; }
  std::uint64_t ends() const { return ends_; }

 private:
  // On a walk failures are rare, or all would fail before anything was done; else everything is tried.
  bool failsNow() { return !walking_ || chance_() % 16 == 0; }
  static std::string name(std::size_t k) { return "k" + std::to_string(k); }
  // Another state, after `change`.
  void to(const State& from, const std::function<void(State&)>& change) {
    ++steps_;
    State next = from;
    change(next);
    if (next.ran > 1) fault_ = "ran twice";
    // Votes that nobody waits for any more change nothing.
    std::erase_if(next.words, [&](const Word& word) {
      const auto& router = next.routers[word.router];
      return word.what == Word::Kind::vote &&
             (router.start != word.start || router.at != State::Router::At::asked);
    });
    todo_.push_back(std::move(next));
  }

  void ask(State& state, std::size_t r) {
    ClaimCoordinatorLimits bounds;
    bounds.voterCount = bug_ == Bug::oneIsEnough && r == 0 ? 1 : kKeepers;
    bounds.retention = Duration::millis(600'000);
    auto& router = state.routers[r];
    router.claimant.emplace(bounds, 1);
    for (std::size_t k = 0; k < bounds.voterCount; ++k)
      router.claimant->setReachable(k, state.keepers[k].keeper.has_value());
    router.at = State::Router::At::asked;
    router.claimant->beginClaim(kNow, 1, kId, Duration::millis(2000));
    settle(state, r);
  }
  // Where it is on disk, after a greeting to all that are up.
  void boot(State& state, std::size_t k) {
    auto& at = state.keepers[k];
    StoredState kept;
    kept.own = at.disk.own;
    kept.newSince = at.disk.newSince;
    kept.isComplete = at.disk.whole;
    kept.starts = at.disk.starts;
    for (std::size_t n = 0; n < kKeepers; ++n) kept.lists.current.names.insert(name(n));
    kept.lists.current.version = 1;
    for (const auto& [id, entry] : at.disk.entries) kept.entries.push_back(entry);
    at.keeper.emplace(kNow, name(k), VotingMemberLimits(), std::move(kept));
    // Twice: the number of its start may have to grow.
    for (int round = 0; round < 2; ++round)
      for (std::size_t n = 0; n < kKeepers; ++n) {
        if (n == k || !state.keepers[n].keeper) continue;
        auto& other = state.keepers[n];
        const auto knew = other.keeper->onGreeting(name(k), at.keeper->start());
        apply(other.disk, other.keeper->takeChanges());
        const bool deaf = bug_ == Bug::lostTakenForWhole;
        at.keeper->onGreetingReply(kNow, name(n), at.keeper->start().number,
                                   deaf ? VoterIncarnation() : knew.value_or(VoterIncarnation()));
        apply(at.disk, at.keeper->takeChanges());
        at.keeper->onGreeting(name(n), other.keeper->start());
        other.keeper->onGreetingReply(
            kNow, name(k), other.keeper->start().number,
            at.disk.starts.contains(name(n)) ? at.disk.starts[name(n)] : VoterIncarnation());
        apply(at.disk, at.keeper->takeChanges());
        apply(other.disk, other.keeper->takeChanges());
        other.history = mixed(other.history, 1000 + at.keeper->start().number * 8 + k);
      }
    at.history = mixed(at.history, 77);
  }
  static void apply(Disk& disk, const std::vector<VotingMember::DiskChange>& changes) {
    for (const auto& change : changes) {
      using Kind = VotingMember::DiskChange::Kind;
      if (change.kind == Kind::put) disk.entries[change.id] = change.entry;
      if (change.kind == Kind::drop) disk.entries.erase(change.id);
      if (change.kind == Kind::voting) disk.whole = change.isComplete, disk.newSince = change.start.number;
      if (change.kind != Kind::start) continue;
      if (change.id.empty())
        disk.own.push_back(change.start);
      else
        disk.starts[change.id] = change.start;
    }
  }

  // What a claimant says and decides goes where it belongs.
  void settle(State& state, std::size_t r) {
    auto& router = state.routers[r];
    for (const auto& word : router.claimant->takeMessages()) {
      Word out;
      out.what = word.kind == ClaimCoordinator::ClaimMessage::Kind::claim     ? Word::Kind::claim
                 : word.kind == ClaimCoordinator::ClaimMessage::Kind::release ? Word::Kind::release
                                                                              : Word::Kind::committed;
      out.router = r;
      out.keeper = word.voter;
      out.start = router.start;
      out.number = word.number;
      if (state.keepers[word.voter].keeper) state.words.push_back(out);
    }
    for (const auto& decision : router.claimant->takeDecisions()) {
      using Kind = ClaimCoordinator::Decision::Kind;
      if (decision.kind == Kind::committed && state.ran == 0) fault_ = "told as committed and never ran";
      if (decision.kind == Kind::admit) {
        router.at = State::Router::At::admitted;
      } else {
        router.at = State::Router::At::over;
        router.claimant->onTransactionEnded(decision.txn, ClaimCoordinator::ExecutionOutcome::neverRan);
        settle(state, r);
      }
    }
  }
  void vote(State& state, std::size_t k, std::size_t r, const ClaimToken& token, const Vote& vote) {
    Word out;
    out.what = Word::Kind::vote;
    out.router = r;
    out.keeper = k;
    out.start = token.start;
    out.number = token.number;
    out.vote = vote;
    state.words.push_back(out);
  }
  void queue(State& state, std::size_t k, Write write) {
    write.changes = state.keepers[k].keeper->takeChanges();
    if (!write.changes.empty() || write.vote) state.keepers[k].writes.push_back(std::move(write));
    // Where no power is lost any more it makes no difference when: the vote may take as long to arrive.
    while (state.left.powerLosses == 0 && !state.keepers[k].writes.empty()) this->write(state, k);
  }
  void write(State& state, std::size_t k) {
    auto& keeper = state.keepers[k];
    const Write write = keeper.writes.front();
    keeper.writes.erase(keeper.writes.begin());
    keeper.history = mixed(keeper.history, 55);
    apply(keeper.disk, write.changes);
    if (!write.vote) return;
    const auto told = keeper.keeper->onWritten(kId, write.token, true);
    if (told && bug_ != Bug::toldBeforeDurable) vote(state, k, write.router, write.token, *told);
  }
  void deliver(State& state, const Word& word) {
    if (word.what == Word::Kind::vote) {
      auto& router = state.routers[word.router];
      if (router.start != word.start || router.at != State::Router::At::asked) return;
      router.heard[word.keeper] += mixed(5, word.hash());
      router.claimant->onVote(word.keeper, word.number, word.vote);
      return settle(state, word.router);
    }
    auto& at = state.keepers[word.keeper];
    if (!at.keeper) return;
    at.history = mixed(at.history, word.hash());
    const ClaimToken token{"r" + std::to_string(word.router), word.start, word.number};
    Write write;
    if (word.what == Word::Kind::release) at.keeper->onReleased(kId, token);
    if (word.what == Word::Kind::committed) at.keeper->onCommitted(kNow, kId, token, kValue);
    if (word.what == Word::Kind::claim) {
      const auto told = at.keeper->onClaim(kNow, kId, token);
      if (told) return vote(state, word.keeper, word.router, token, *told);
      if (bug_ == Bug::toldBeforeDurable)
        vote(state, word.keeper, word.router, token, {Vote::Kind::granted, false, ""});
      write.vote = true;
      write.token = token;
      write.router = word.router;
    }
    queue(state, word.keeper, std::move(write));
  }

  void expand(const State& state) {
    using At = State::Router::At;
    // Nobody is left who may run it.
    const bool over = state.left.starts == 0 && std::all_of(state.routers.begin(), state.routers.end(),
                                                            [](const auto& r) { return r.at == At::over; });
    if (over) {
      ++ends_;
      return;
    }
    bool any = false;
    for (std::size_t i = 0; i < state.words.size(); ++i) {
      // A stream keeps its order.
      bool first = true;
      for (std::size_t j = 0; j < i; ++j) first = first && !state.words[j].isAheadOf(state.words[i]);
      if (!first) continue;
      any = true;
      to(state, [&](State& next) {
        const Word word = next.words[i];
        next.words.erase(next.words.begin() + static_cast<std::ptrdiff_t>(i));
        deliver(next, word);
      });
    }
    for (std::size_t k = 0; k < kKeepers; ++k) {
      const auto& at = state.keepers[k];
      if (at.keeper && !at.writes.empty()) {
        any = true;
        to(state, [&](State& next) { write(next, k); });
      }
      if (at.keeper && state.left.powerLosses > 0 && failsNow()) {
        to(state, [&](State& next) { losePower(next, k, false); });
        if (state.left.disksLost > 0) to(state, [&](State& next) { losePower(next, k, true); });
      }
      if (!at.keeper) {
        any = true;
        to(state, [&](State& next) {
          next.keepers[k].disk.own.push_back(
              {next.keepers[k].disk.own.empty() ? 1 : next.keepers[k].disk.own.back().number + 1, 200 + k});
          boot(next, k);
          for (std::size_t r = 0; r < kRouters; ++r) {
            if (next.routers[r].claimant) next.routers[r].claimant->setReachable(k, true);
            next.routers[r].heard[k] = mixed(next.routers[r].heard[k], 300);
          }
        });
      }
    }
    for (std::size_t r = 0; r < kRouters; ++r) {
      const auto& router = state.routers[r];
      const auto step = [&](At at, const std::function<void(State&, State::Router&)>& change) {
        any = true;
        to(state, [&](State& next) {
          next.routers[r].at = at;
          next.routers[r].history = mixed(next.routers[r].history, 400 + static_cast<std::uint64_t>(at));
          change(next, next.routers[r]);
          settle(next, r);
        });
      };
      if (router.at == At::idle) {
        any = true;
        to(state, [&](State& next) {
          next.routers[r].history = mixed(next.routers[r].history, 900);
          ask(next, r);
        });
      }
      if (router.at == At::asked && state.left.timeouts > 0 && failsNow())
        to(state, [&](State& next) {
          --next.left.timeouts;
          next.routers[r].history = mixed(next.routers[r].history, 500);
          next.routers[r].claimant->runTimers(kNow + Duration::millis(900));
          settle(next, r);
        });
      if (router.at == At::admitted) {
        step(At::over, [](State&, State::Router& one) {
          one.claimant->onTransactionEnded(1, ClaimCoordinator::ExecutionOutcome::neverRan);
        });
        step(At::running, [](State& next, State::Router&) { ++next.ran; });
      }
      if (router.at == At::running) {
        step(At::over, [](State&, State::Router& one) {
          one.claimant->onCommitted(1, kValue);
          one.claimant->onTransactionEnded(1, ClaimCoordinator::ExecutionOutcome::committed);
        });
        step(At::over, [this](State&, State::Router& one) {
          one.claimant->onTransactionEnded(1, bug_ == Bug::freesUnknown
                                                  ? ClaimCoordinator::ExecutionOutcome::neverRan
                                                  : ClaimCoordinator::ExecutionOutcome::unknown);
        });
      }
      // It starts again and is asked for the id once more; what it said before may still arrive.
      if (r == 0 && state.left.starts > 0 && failsNow())
        to(state, [&](State& next) {
          --next.left.starts;
          ++next.routers[r].start;
          next.routers[r].heard = {};
          next.routers[r].history = mixed(next.routers[r].history, 600);
          ask(next, r);
        });
    }
    if (!any) ++ends_;
  }
  void losePower(State& state, std::size_t k, bool disk) {
    --state.left.powerLosses;
    auto& at = state.keepers[k];
    at.history = mixed(at.history, disk ? 700 : 701);
    at.keeper.reset();
    at.writes.clear();
    if (disk) {
      --state.left.disksLost;
      at.disk = Disk();
      at.disk.whole = bug_ == Bug::lostTakenForWhole;
    }
    std::erase_if(state.words, [&](const Word& word) { return word.keeper == k; });
    for (std::size_t r = 0; r < kRouters; ++r) {
      state.routers[r].heard[k] = mixed(state.routers[r].heard[k], 800);
      if (!state.routers[r].claimant) continue;
      state.routers[r].claimant->setReachable(k, false);
      settle(state, r);
    }
  }

  Bug bug_;
  std::mt19937_64 chance_{1};
  bool walking_ = false;
  std::vector<State> todo_;
  std::unordered_set<std::uint64_t> seen_;
  std::uint64_t steps_ = 0, ends_ = 0, walks_ = 0;
  std::string fault_;
};

void worlds(const std::vector<Limits>& all) {
  for (const Limits& limits : all) {
    Search search(Bug::none, limits);
    const std::string fault = search.run(100'000'000);
    std::cout << limits.powerLosses << " losses of power, " << limits.disksLost << " of disks, "
              << limits.starts << " starts, " << limits.timeouts << " claims out of time: " << search.states()
              << " states, " << search.steps() << " steps, " << search.ends()
              << " ends: " << (fault.empty() ? "nothing ran twice, nothing false was told" : fault)
              << std::endl;
  }
}

void bugs() {
  for (int bug = 0; bug < 5; ++bug) {
    Search search(static_cast<Bug>(bug), {1, 1, 1, 2});
    const std::string fault = search.walk(bug == 0 ? 4'000 : 1'000'000);
    std::cout << kBugs[bug] << ": " << (fault.empty() ? "nothing broken" : fault) << " after "
              << search.walks() << " walks" << std::endl;
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "";
  // In CI what takes seconds; `more` what takes minutes.
  if (name == "claims") return worlds({{0, 0, 0, 2}}), 0;
  if (name == "more") return worlds({{1, 0, 0, 0}, {0, 0, 1, 0}}), 0;
  if (name == "bugs") return bugs(), 0;
  return 2;
}
