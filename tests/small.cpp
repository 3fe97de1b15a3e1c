// A small model of claims, explored in every order: the real decisions of three voters and of two routers
// that are asked to run a transaction of one id; one of them may restart and be asked again. Messages stay in
// the order of their connection, writes become durable or not, a voter loses its power, its disk, or both.
// Each state is visited once; two orders that give each voter and coordinator the same history lead to the
// same state. Run as `small CASE`: prints what was visited.
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

enum class Bug { none, sentBeforeDurable, oneVoteSuffices, lostDiskTakenForComplete, releasesUnknownOutcome };
constexpr const char* kBugs[] = {"none", "a vote is told before it is durable",
                                 "a claimant takes one vote for enough",
                                 "a lost disk is taken for a whole one, whatever others know",
                                 "the end of what may have run is told as never ran"};

struct Limits {
  int powerLosses = 1, disksLost = 1, starts = 1, timeouts = 2;
};

constexpr std::size_t kVoters = 3, kRouters = 2;
const Instant kNow = Instant() + Duration::millis(1'000'000);
const std::string kId = "b1", kValue = "v";

std::uint64_t hashCombine(std::uint64_t a, std::uint64_t b) {
  a ^= b + 0x9E3779B97F4A7C15ULL + (a << 6) + (a >> 2);
  a *= 0xBF58476D1CE4E5B9ULL;
  return a ^ a >> 31;
}

struct Disk {
  std::vector<VoterIncarnation> own;
  std::uint64_t newSince = 0;
  bool isComplete = true;
  std::map<std::string, ClaimRecord> entries;
  std::map<std::string, VoterIncarnation> starts;
};

struct Write {
  std::vector<DiskChange> changes;
  bool vote = false;  // of this token, to that router
  ClaimToken token;
  std::size_t router = 0;
};

struct Message {
  enum class Kind { claim, release, committed, vote } kind = Kind::claim;
  std::size_t router = 0, voter = 0;
  std::uint64_t start = 0, number = 0;
  Vote vote;
  bool isAheadOf(const Message& later) const {
    return router == later.router && voter == later.voter && start == later.start &&
           (kind == Kind::vote) == (later.kind == Kind::vote);
  }
  // But for the voter: they are alike.
  std::uint64_t hash() const {
    std::uint64_t h = hashCombine(static_cast<std::uint64_t>(kind), router);
    h = hashCombine(h, start * 64 + number);
    return hashCombine(h, static_cast<std::uint64_t>(vote.kind) * 2 + vote.isCommitted);
  }
};

struct State {
  struct VoterState {
    std::optional<VotingMember> voter;
    Disk disk;
    std::vector<Write> writes;
    std::uint64_t history = 1;
  };
  struct Router {
    std::optional<ClaimCoordinator> coordinator;
    std::uint64_t start = 1, history = 1;
    enum class At { idle, asked, admitted, running, over } at = At::idle;
    std::array<std::uint64_t, kVoters> heard{};
  };
  std::vector<VoterState> voters{kVoters};
  std::vector<Router> routers{kRouters};
  std::vector<Message> messages;
  Limits remainingFaults;
  int ran = 0;

  // Voters are alike: which is which makes no other state. Nor does the order in which votes came: the sum
  // of what a router heard from each is part of that voter's share.
  std::uint64_t key() const {
    std::vector<std::uint64_t> shares;
    for (std::size_t k = 0; k < voters.size(); ++k) {
      std::uint64_t sum = 0;
      for (const auto& message : messages)
        if (message.voter == k) sum += hashCombine(3, message.hash());
      std::uint64_t h = hashCombine(hashCombine(voters[k].history, voters[k].writes.size()), sum);
      for (const auto& r : routers) h = hashCombine(h, r.heard[k]);
      shares.push_back(h);
    }
    std::sort(shares.begin(), shares.end());
    std::uint64_t h = 7;
    for (const std::uint64_t share : shares) h = hashCombine(h, share);
    for (const auto& r : routers)
      h = hashCombine(hashCombine(h, r.history), static_cast<std::uint64_t>(r.at) * 16 + r.start);
    return hashCombine(
        h, static_cast<std::uint64_t>(remainingFaults.powerLosses * 1000 + remainingFaults.disksLost * 100 +
                                      remainingFaults.starts * 10 + remainingFaults.timeouts) *
                   8 +
               static_cast<std::uint64_t>(ran));
  }
};

class Search {
 public:
  Search(Bug bug, Limits limits) : bug_(bug) {
    State state;
    state.remainingFaults = limits;
    for (std::size_t k = 0; k < kVoters; ++k) {
      state.voters[k].disk.own.push_back({1, 100 + k});
      boot(state, k);
    }
    startClaim(state, 0);
    pending_.push_back(std::move(state));
  }
  // What broke; empty: nothing.
  std::string run(std::size_t maxStates) {
    while (!pending_.empty() && fault_.empty() && seen_.size() < maxStates) {
      State state = std::move(pending_.back());
      pending_.pop_back();
      if (!seen_.insert(state.key()).second) continue;
      expand(state);
    }
    if (fault_.empty() && !pending_.empty()) return "too many states";
    return fault_;
  }
  // From the beginning to an end by chance, so many times: a fault is not behind all that begins alike.
  std::string walk(std::uint64_t maxWalks) {
    const State first = pending_.front();
    isWalking_ = true;
    for (walks_ = 0; walks_ < maxWalks && fault_.empty(); ++walks_) {
      pending_ = {first};
      while (!pending_.empty() && fault_.empty()) {
        const State state =
            std::move(pending_[std::uniform_int_distribution<std::size_t>(0, pending_.size() - 1)(random_)]);
        pending_.clear();
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
  bool failsNow() { return !isWalking_ || random_() % 16 == 0; }
  static std::string name(std::size_t k) { return "k" + std::to_string(k); }
  // Another state, after `change`.
  void addSuccessor(const State& from, const std::function<void(State&)>& change) {
    ++steps_;
    State next = from;
    change(next);
    if (next.ran > 1) fault_ = "ran twice";
    // Votes that nobody waits for any more change nothing.
    std::erase_if(next.messages, [&](const Message& message) {
      const auto& router = next.routers[message.router];
      return message.kind == Message::Kind::vote &&
             (router.start != message.start || router.at != State::Router::At::asked);
    });
    pending_.push_back(std::move(next));
  }

  void startClaim(State& state, std::size_t r) {
    ClaimCoordinatorLimits limits;
    limits.voterCount = bug_ == Bug::oneVoteSuffices && r == 0 ? 1 : kVoters;
    limits.retention = Duration::millis(600'000);
    auto& router = state.routers[r];
    router.coordinator.emplace(limits, 1);
    for (std::size_t k = 0; k < limits.voterCount; ++k)
      router.coordinator->setReachable(k, state.voters[k].voter.has_value());
    router.at = State::Router::At::asked;
    router.coordinator->beginClaim(kNow, 1, kId, Duration::millis(2000));
    carryOut(state, r);
  }
  // Where it is on disk, after a greeting to all that are up.
  void boot(State& state, std::size_t k) {
    auto& at = state.voters[k];
    StoredState stored;
    stored.ownStarts = at.disk.own;
    stored.newSince = at.disk.newSince;
    stored.isComplete = at.disk.isComplete;
    stored.voterStarts = at.disk.starts;
    for (std::size_t n = 0; n < kVoters; ++n) stored.voterLists.current.names.insert(name(n));
    stored.voterLists.current.version = 1;
    for (const auto& [id, entry] : at.disk.entries) stored.claims.push_back(entry);
    at.voter.emplace(kNow, name(k), VotingMemberLimits(), std::move(stored));
    // Twice: the number of its start may have to grow.
    for (int round = 0; round < 2; ++round)
      for (std::size_t n = 0; n < kVoters; ++n) {
        if (n == k || !state.voters[n].voter) continue;
        auto& other = state.voters[n];
        const auto knownStart = other.voter->onGreeting(name(k), at.voter->start());
        apply(other.disk, other.voter->takeChanges());
        const bool ignoresReply = bug_ == Bug::lostDiskTakenForComplete;
        at.voter->onGreetingReply(
            kNow, name(n), at.voter->start().number,
            ignoresReply ? VoterIncarnation() : knownStart.value_or(VoterIncarnation()));
        apply(at.disk, at.voter->takeChanges());
        at.voter->onGreeting(name(n), other.voter->start());
        other.voter->onGreetingReply(
            kNow, name(k), other.voter->start().number,
            at.disk.starts.contains(name(n)) ? at.disk.starts[name(n)] : VoterIncarnation());
        apply(at.disk, at.voter->takeChanges());
        apply(other.disk, other.voter->takeChanges());
        other.history = hashCombine(other.history, 1000 + at.voter->start().number * 8 + k);
      }
    at.history = hashCombine(at.history, 77);
  }
  static void apply(Disk& disk, const std::vector<DiskChange>& changes) {
    for (const auto& change : changes) {
      if (const auto* claim = std::get_if<ClaimRecord>(&change)) disk.entries[claim->id] = *claim;
      if (const auto* removal = std::get_if<ClaimRemoval>(&change)) disk.entries.erase(removal->id);
      if (const auto* voting = std::get_if<VotingRecord>(&change))
        disk.isComplete = voting->isComplete, disk.newSince = voting->newSince;
      const auto* start = std::get_if<VoterStartRecord>(&change);
      if (!start) continue;
      if (start->voter.empty())
        disk.own.push_back(start->incarnation);
      else
        disk.starts[start->voter] = start->incarnation;
    }
  }

  // What a coordinator says and decides goes where it belongs.
  void carryOut(State& state, std::size_t r) {
    auto& router = state.routers[r];
    for (const auto& message : router.coordinator->takeMessages()) {
      Message out;
      out.kind = message.kind == ClaimCoordinator::ClaimMessage::Kind::claim     ? Message::Kind::claim
                 : message.kind == ClaimCoordinator::ClaimMessage::Kind::release ? Message::Kind::release
                                                                                 : Message::Kind::committed;
      out.router = r;
      out.voter = message.voter;
      out.start = router.start;
      out.number = message.number;
      if (state.voters[message.voter].voter) state.messages.push_back(out);
    }
    for (const auto& decision : router.coordinator->takeDecisions()) {
      using Kind = ClaimCoordinator::Decision::Kind;
      if (decision.kind == Kind::alreadyCommitted && state.ran == 0)
        fault_ = "told as committed and never ran";
      if (decision.kind == Kind::admitted) {
        router.at = State::Router::At::admitted;
      } else {
        router.at = State::Router::At::over;
        router.coordinator->onTransactionEnded(decision.txn, ClaimCoordinator::ExecutionOutcome::neverRan);
        carryOut(state, r);
      }
    }
  }
  void sendVote(State& state, std::size_t k, std::size_t r, const ClaimToken& token, const Vote& vote) {
    Message out;
    out.kind = Message::Kind::vote;
    out.router = r;
    out.voter = k;
    out.start = token.start;
    out.number = token.number;
    out.vote = vote;
    state.messages.push_back(out);
  }
  void queue(State& state, std::size_t k, Write write) {
    write.changes = state.voters[k].voter->takeChanges();
    if (!write.changes.empty() || write.vote) state.voters[k].writes.push_back(std::move(write));
    // Where no power is lost any more it makes no difference when: the vote may take as long to arrive.
    while (state.remainingFaults.powerLosses == 0 && !state.voters[k].writes.empty()) this->write(state, k);
  }
  void write(State& state, std::size_t k) {
    auto& voter = state.voters[k];
    const Write write = voter.writes.front();
    voter.writes.erase(voter.writes.begin());
    voter.history = hashCombine(voter.history, 55);
    apply(voter.disk, write.changes);
    if (!write.vote) return;
    const auto vote = voter.voter->onWritten(kId, write.token, true);
    if (vote && bug_ != Bug::sentBeforeDurable) sendVote(state, k, write.router, write.token, *vote);
  }
  void deliver(State& state, const Message& message) {
    if (message.kind == Message::Kind::vote) {
      auto& router = state.routers[message.router];
      if (router.start != message.start || router.at != State::Router::At::asked) return;
      router.heard[message.voter] += hashCombine(5, message.hash());
      router.coordinator->onVote(message.voter, message.number, message.vote);
      return carryOut(state, message.router);
    }
    auto& at = state.voters[message.voter];
    if (!at.voter) return;
    at.history = hashCombine(at.history, message.hash());
    const ClaimToken token{"r" + std::to_string(message.router), message.start, message.number};
    Write write;
    if (message.kind == Message::Kind::release) at.voter->onReleased(kId, token);
    if (message.kind == Message::Kind::committed) at.voter->onCommitted(kNow, kId, token, kValue);
    if (message.kind == Message::Kind::claim) {
      const auto vote = at.voter->onClaim(kNow, kId, token);
      if (vote) return sendVote(state, message.voter, message.router, token, *vote);
      if (bug_ == Bug::sentBeforeDurable)
        sendVote(state, message.voter, message.router, token, {Vote::Kind::granted, false, ""});
      write.vote = true;
      write.token = token;
      write.router = message.router;
    }
    queue(state, message.voter, std::move(write));
  }

  // Adds all states that may come next. A state without any is an end.
  void expand(const State& state) {
    // Nobody is left who may run the transaction.
    const bool isOver = state.remainingFaults.starts == 0 &&
                        std::all_of(state.routers.begin(), state.routers.end(),
                                    [](const auto& router) { return router.at == State::Router::At::over; });
    if (isOver) {
      ++ends_;
      return;
    }
    bool hasSuccessor = expandMessages(state);
    for (std::size_t k = 0; k < kVoters; ++k) hasSuccessor = expandVoter(state, k) || hasSuccessor;
    for (std::size_t r = 0; r < kRouters; ++r) hasSuccessor = expandRouter(state, r) || hasSuccessor;
    if (!hasSuccessor) ++ends_;
  }

  // Each of these returns whether there is a successor other than by a fault.

  // Any message arrives that is the first of its stream, which keeps its order.
  bool expandMessages(const State& state) {
    bool hasSuccessor = false;
    for (std::size_t i = 0; i < state.messages.size(); ++i) {
      bool isFirst = true;
      for (std::size_t j = 0; j < i; ++j)
        isFirst = isFirst && !state.messages[j].isAheadOf(state.messages[i]);
      if (!isFirst) continue;
      hasSuccessor = true;
      addSuccessor(state, [&](State& next) {
        const Message message = next.messages[i];
        next.messages.erase(next.messages.begin() + static_cast<std::ptrdiff_t>(i));
        deliver(next, message);
      });
    }
    return hasSuccessor;
  }

  // A write becomes durable, power or disk are lost, or the voter starts again.
  bool expandVoter(const State& state, std::size_t k) {
    const auto& at = state.voters[k];
    bool hasSuccessor = false;
    if (at.voter && !at.writes.empty()) {
      hasSuccessor = true;
      addSuccessor(state, [&](State& next) { write(next, k); });
    }
    if (at.voter && state.remainingFaults.powerLosses > 0 && failsNow()) {
      addSuccessor(state, [&](State& next) { losePower(next, k, false); });
      if (state.remainingFaults.disksLost > 0)
        addSuccessor(state, [&](State& next) { losePower(next, k, true); });
    }
    if (!at.voter) {
      hasSuccessor = true;
      addSuccessor(state, [&](State& next) { restartVoter(next, k); });
    }
    return hasSuccessor;
  }

  void restartVoter(State& next, std::size_t k) {
    auto& starts = next.voters[k].disk.own;
    starts.push_back({starts.empty() ? 1 : starts.back().number + 1, 200 + k});
    boot(next, k);
    for (std::size_t r = 0; r < kRouters; ++r) {
      if (next.routers[r].coordinator) next.routers[r].coordinator->setReachable(k, true);
      next.routers[r].heard[k] = hashCombine(next.routers[r].heard[k], 300);
    }
  }

  // A router is asked, runs the transaction to one of its ends, times out, or restarts.
  bool expandRouter(const State& state, std::size_t r) {
    using At = State::Router::At;
    const auto& router = state.routers[r];
    bool hasSuccessor = false;
    if (router.at == At::idle) {
      hasSuccessor = true;
      addSuccessor(state, [&](State& next) {
        next.routers[r].history = hashCombine(next.routers[r].history, 900);
        startClaim(next, r);
      });
    }
    if (router.at == At::asked && state.remainingFaults.timeouts > 0 && failsNow())
      addSuccessor(state, [&](State& next) { timeOut(next, r); });
    if (router.at == At::admitted || router.at == At::running) {
      hasSuccessor = true;
      expandExecution(state, r);
    }
    // It starts again and is asked for the id once more; messages of before may still arrive.
    if (r == 0 && state.remainingFaults.starts > 0 && failsNow())
      addSuccessor(state, [&](State& next) { restartRouter(next, r); });
    return hasSuccessor;
  }

  // The transaction is not run, runs, is committed, or its outcome stays unknown.
  void expandExecution(const State& state, std::size_t r) {
    using At = State::Router::At;
    using Outcome = ClaimCoordinator::ExecutionOutcome;
    if (state.routers[r].at == At::admitted) {
      addExecutionStep(state, r, At::over, [](State&, ClaimCoordinator& coordinator) {
        coordinator.onTransactionEnded(1, Outcome::neverRan);
      });
      addExecutionStep(state, r, At::running, [](State& next, ClaimCoordinator&) { ++next.ran; });
    } else {
      addExecutionStep(state, r, At::over, [](State&, ClaimCoordinator& coordinator) {
        coordinator.onCommitted(1, kValue);
        coordinator.onTransactionEnded(1, Outcome::committed);
      });
      addExecutionStep(state, r, At::over, [this](State&, ClaimCoordinator& coordinator) {
        coordinator.onTransactionEnded(
            1, bug_ == Bug::releasesUnknownOutcome ? Outcome::neverRan : Outcome::unknown);
      });
    }
  }

  void addExecutionStep(const State& state, std::size_t r, State::Router::At then,
                        const std::function<void(State&, ClaimCoordinator&)>& change) {
    addSuccessor(state, [&](State& next) {
      auto& router = next.routers[r];
      router.at = then;
      router.history = hashCombine(router.history, 400 + static_cast<std::uint64_t>(then));
      change(next, *router.coordinator);
      carryOut(next, r);
    });
  }

  void timeOut(State& next, std::size_t r) {
    --next.remainingFaults.timeouts;
    next.routers[r].history = hashCombine(next.routers[r].history, 500);
    next.routers[r].coordinator->runTimers(kNow + Duration::millis(900));
    carryOut(next, r);
  }

  void restartRouter(State& next, std::size_t r) {
    --next.remainingFaults.starts;
    ++next.routers[r].start;
    next.routers[r].heard = {};
    next.routers[r].history = hashCombine(next.routers[r].history, 600);
    startClaim(next, r);
  }

  void losePower(State& state, std::size_t k, bool disk) {
    --state.remainingFaults.powerLosses;
    auto& at = state.voters[k];
    at.history = hashCombine(at.history, disk ? 700 : 701);
    at.voter.reset();
    at.writes.clear();
    if (disk) {
      --state.remainingFaults.disksLost;
      at.disk = Disk();
      at.disk.isComplete = bug_ == Bug::lostDiskTakenForComplete;
    }
    std::erase_if(state.messages, [&](const Message& message) { return message.voter == k; });
    for (std::size_t r = 0; r < kRouters; ++r) {
      state.routers[r].heard[k] = hashCombine(state.routers[r].heard[k], 800);
      if (!state.routers[r].coordinator) continue;
      state.routers[r].coordinator->setReachable(k, false);
      carryOut(state, r);
    }
  }

  Bug bug_;
  std::mt19937_64 random_{1};
  bool isWalking_ = false;
  std::vector<State> pending_;
  std::unordered_set<std::uint64_t> seen_;
  std::uint64_t steps_ = 0, ends_ = 0, walks_ = 0;
  std::string fault_;
};

void exploreOrders(const std::vector<Limits>& allLimits) {
  for (const Limits& limits : allLimits) {
    Search search(Bug::none, limits);
    const std::string fault = search.run(100'000'000);
    std::cout << limits.powerLosses << " losses of power, " << limits.disksLost << " of disks, "
              << limits.starts << " starts, " << limits.timeouts << " claims out of time: " << search.states()
              << " states, " << search.steps() << " steps, " << search.ends()
              << " ends: " << (fault.empty() ? "nothing ran twice, nothing false was told" : fault)
              << std::endl;
  }
}

// Random walks find each built-in bug, and nothing where there is none.
void findBuiltInBugs() {
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
  if (name == "claim-orders") return exploreOrders({{0, 0, 0, 2}}), 0;
  if (name == "more") return exploreOrders({{1, 0, 0, 0}, {0, 0, 1, 0}}), 0;
  if (name == "built-in-bugs") return findBuiltInBugs(), 0;
  return 2;
}
