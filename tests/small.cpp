// Model checker for claims. It explores all orders of events in a small model that uses the production code
// of three voters and of two routers that claim a transaction with the same id. One of the routers may
// restart and claim it again. Messages of a connection stay in order, writes become durable or not, and a
// voter loses its power, or its power and its disk. Each state is visited once: two orders that give each
// voter and coordinator the same history lead to the same state. Run as `small CASE`: prints the number of
// states.
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

// Bugs that can be built into the model, to show that random walks find them.
enum class Bug {
  none,
  voteSentBeforeDurable,
  oneVoteTreatedAsMajority,
  lostDiskTreatedAsComplete,
  releasesUnknownOutcome
};
constexpr const char* kBugNames[] = {
    "none", "a vote is sent before it is durable", "a claimant treats one vote as a majority",
    "a lost disk is treated as complete, ignoring the replies of other voters",
    "a transaction with an unknown outcome is reported as never run"};

// How often each fault may still occur.
struct FaultLimits {
  int powerLosses = 1, diskLosses = 1, routerRestarts = 1, timeouts = 2;
};

constexpr std::size_t kVoterCount = 3, kRouterCount = 2;
const Instant kNow = Instant() + Duration::millis(1'000'000);
const std::string kId = "b1", kValue = "v";

std::uint64_t hashCombine(std::uint64_t a, std::uint64_t b) {
  a ^= b + 0x9E3779B97F4A7C15ULL + (a << 6) + (a >> 2);
  a *= 0xBF58476D1CE4E5B9ULL;
  return a ^ a >> 31;
}

// The durable state of a voter.
struct Disk {
  std::vector<VoterIncarnation> ownStarts;
  std::uint64_t minValidStart = 0;
  bool isComplete = true;
  std::map<std::string, ClaimRecord> claims;
  std::map<std::string, VoterIncarnation> voterStarts;
};

// Changes that are not durable yet.
struct Write {
  std::vector<DiskChange> changes;
  bool sendsVote = false;  // once durable, the vote for `token` is sent to `router`
  ClaimToken token;
  std::size_t router = 0;
};

// A message in flight between a router and a voter.
struct Message {
  enum class Kind { claim, release, committed, vote } kind = Kind::claim;
  std::size_t router = 0, voter = 0;
  std::uint64_t start = 0, number = 0;
  Vote vote;
  // Whether this message must be delivered before one that was sent later.
  bool isAheadOf(const Message& later) const {
    return router == later.router && voter == later.voter && start == later.start &&
           (kind == Kind::vote) == (later.kind == Kind::vote);
  }
  // Ignores the voter, as voters are interchangeable.
  std::uint64_t hash() const {
    std::uint64_t h = hashCombine(static_cast<std::uint64_t>(kind), router);
    h = hashCombine(h, start * 64 + number);
    return hashCombine(h, static_cast<std::uint64_t>(vote.kind) * 2 + vote.isCommitted);
  }
};

// The state of all voters and routers, with the messages in flight between them.
struct State {
  struct VoterState {
    std::optional<VotingMember> voter;
    Disk disk;
    std::vector<Write> writes;
    std::uint64_t history = 1;
  };
  struct RouterState {
    std::optional<ClaimCoordinator> coordinator;
    std::uint64_t start = 1, history = 1;
    enum class Phase { idle, claiming, admitted, running, ended } phase = Phase::idle;
    std::array<std::uint64_t, kVoterCount> voteHistory{};
  };
  std::vector<VoterState> voters{kVoterCount};
  std::vector<RouterState> routers{kRouterCount};
  std::vector<Message> messages;
  FaultLimits remainingFaults;
  int executionCount = 0;

  // Identifies the state. Voters are interchangeable: states that differ only by a permutation of the voters
  // are the same state. The order in which votes arrived does not matter either: the sum of the hashes of the
  // votes that a router received from a voter is part of that voter's share.
  std::uint64_t key() const {
    std::vector<std::uint64_t> shares;
    for (std::size_t k = 0; k < voters.size(); ++k) {
      std::uint64_t sum = 0;
      for (const auto& message : messages)
        if (message.voter == k) sum += hashCombine(3, message.hash());
      std::uint64_t h = hashCombine(hashCombine(voters[k].history, voters[k].writes.size()), sum);
      for (const auto& r : routers) h = hashCombine(h, r.voteHistory[k]);
      shares.push_back(h);
    }
    std::sort(shares.begin(), shares.end());
    std::uint64_t h = 7;
    for (const std::uint64_t share : shares) h = hashCombine(h, share);
    for (const auto& r : routers)
      h = hashCombine(hashCombine(h, r.history), static_cast<std::uint64_t>(r.phase) * 16 + r.start);
    return hashCombine(
        h, static_cast<std::uint64_t>(remainingFaults.powerLosses * 1000 + remainingFaults.diskLosses * 100 +
                                      remainingFaults.routerRestarts * 10 + remainingFaults.timeouts) *
                   8 +
               static_cast<std::uint64_t>(executionCount));
  }
};

// Explores the states that are reachable from the initial one, with the given bug built in.
class Search {
 public:
  Search(Bug bug, FaultLimits limits) : bug_(bug) {
    State state;
    state.remainingFaults = limits;
    for (std::size_t k = 0; k < kVoterCount; ++k) {
      state.voters[k].disk.ownStarts.push_back({1, 100 + k});
      startVoter(state, k);
    }
    startClaim(state, 0);
    pending_.push_back(std::move(state));
  }
  // Visits all states. Returns the violation found; empty: none.
  std::string run(std::size_t maxStates) {
    while (!pending_.empty() && violation_.empty() && visited_.size() < maxStates) {
      State state = std::move(pending_.back());
      pending_.pop_back();
      if (!visited_.insert(state.key()).second) continue;
      expand(state);
    }
    if (violation_.empty() && !pending_.empty()) return "too many states";
    return violation_;
  }
  // Runs up to `maxWalks` random walks from the initial state to an end state. Prevents a violation from
  // being found only after all orders with the same beginning. Returns the violation found; empty: none.
  std::string walkRandomly(std::uint64_t maxWalks) {
    const State initial = pending_.front();
    isWalking_ = true;
    for (walks_ = 0; walks_ < maxWalks && violation_.empty(); ++walks_) {
      pending_ = {initial};
      while (!pending_.empty() && violation_.empty()) {
        const State state =
            std::move(pending_[std::uniform_int_distribution<std::size_t>(0, pending_.size() - 1)(random_)]);
        pending_.clear();
        expand(state);
      }
    }
    return violation_;
  }
  std::uint64_t walks() const { return walks_; }
  std::size_t states() const { return visited_.size(); }
  std::uint64_t transitions() const { return transitions_; }
  std::uint64_t endStates() const { return endStates_; }

 private:
  // Whether a fault is injected now. On random walks faults are rare, as otherwise all nodes would fail
  // before any progress; a search of all orders tries every fault.
  bool injectsFault() { return !isWalking_ || random_() % 16 == 0; }
  static std::string voterName(std::size_t k) { return "k" + std::to_string(k); }
  // Adds the state that `change` leads to.
  void addSuccessor(const State& from, const std::function<void(State&)>& change) {
    ++transitions_;
    State next = from;
    change(next);
    if (next.executionCount > 1) violation_ = "transaction ran twice";
    // Votes that no router awaits any more have no effect.
    std::erase_if(next.messages, [&](const Message& message) {
      const auto& router = next.routers[message.router];
      return message.kind == Message::Kind::vote &&
             (router.start != message.start || router.phase != State::RouterState::Phase::claiming);
    });
    pending_.push_back(std::move(next));
  }

  void startClaim(State& state, std::size_t r) {
    ClaimCoordinatorLimits limits;
    limits.voterCount = bug_ == Bug::oneVoteTreatedAsMajority && r == 0 ? 1 : kVoterCount;
    limits.retention = Duration::millis(600'000);
    auto& router = state.routers[r];
    router.coordinator.emplace(limits, 1);
    for (std::size_t k = 0; k < limits.voterCount; ++k)
      router.coordinator->setReachable(k, state.voters[k].voter.has_value());
    router.phase = State::RouterState::Phase::claiming;
    router.coordinator->beginClaim(kNow, 1, kId, Duration::millis(2000));
    processOutputs(state, r);
  }
  // Starts the voter from its disk and exchanges greetings with all voters that are up.
  void startVoter(State& state, std::size_t k) {
    auto& voterState = state.voters[k];
    StoredState stored;
    stored.ownStarts = voterState.disk.ownStarts;
    stored.minValidStart = voterState.disk.minValidStart;
    stored.isComplete = voterState.disk.isComplete;
    stored.voterStarts = voterState.disk.voterStarts;
    for (std::size_t n = 0; n < kVoterCount; ++n) stored.voterLists.current.names.insert(voterName(n));
    stored.voterLists.current.version = 1;
    for (const auto& [id, claim] : voterState.disk.claims) stored.claims.push_back(claim);
    voterState.voter.emplace(kNow, voterName(k), VotingMemberLimits(), std::move(stored));
    // Two rounds, as the number of its start may have to increase after the first.
    for (int round = 0; round < 2; ++round)
      for (std::size_t n = 0; n < kVoterCount; ++n) {
        if (n == k || !state.voters[n].voter) continue;
        auto& other = state.voters[n];
        const auto knownStart = other.voter->onGreeting(voterName(k), voterState.voter->start());
        apply(other.disk, other.voter->takeChanges());
        const bool ignoresReplies = bug_ == Bug::lostDiskTreatedAsComplete;
        voterState.voter->onGreetingReply(
            kNow, voterName(n), voterState.voter->start().number,
            ignoresReplies ? VoterIncarnation() : knownStart.value_or(VoterIncarnation()));
        apply(voterState.disk, voterState.voter->takeChanges());
        voterState.voter->onGreeting(voterName(n), other.voter->start());
        other.voter->onGreetingReply(kNow, voterName(k), other.voter->start().number,
                                     voterState.disk.voterStarts.contains(voterName(n))
                                         ? voterState.disk.voterStarts[voterName(n)]
                                         : VoterIncarnation());
        apply(voterState.disk, voterState.voter->takeChanges());
        apply(other.disk, other.voter->takeChanges());
        other.history = hashCombine(other.history, 1000 + voterState.voter->start().number * 8 + k);
      }
    voterState.history = hashCombine(voterState.history, 77);
  }
  static void apply(Disk& disk, const std::vector<DiskChange>& changes) {
    for (const auto& change : changes) {
      if (const auto* claim = std::get_if<ClaimRecord>(&change)) disk.claims[claim->id] = *claim;
      if (const auto* removal = std::get_if<ClaimRemoval>(&change)) disk.claims.erase(removal->id);
      if (const auto* voting = std::get_if<VotingRecord>(&change))
        disk.isComplete = voting->isComplete, disk.minValidStart = voting->minValidStart;
      const auto* start = std::get_if<VoterStartRecord>(&change);
      if (!start) continue;
      if (start->voter.empty())
        disk.ownStarts.push_back(start->incarnation);
      else
        disk.voterStarts[start->voter] = start->incarnation;
    }
  }

  // Delivers the messages and applies the decisions of the coordinator.
  void processOutputs(State& state, std::size_t r) {
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
      if (decision.kind == Kind::alreadyCommitted && state.executionCount == 0)
        violation_ = "transaction was reported as committed but never ran";
      if (decision.kind == Kind::admitted) {
        router.phase = State::RouterState::Phase::admitted;
      } else {
        router.phase = State::RouterState::Phase::ended;
        router.coordinator->onTransactionEnded(decision.txn, ClaimCoordinator::ExecutionOutcome::neverRan);
        processOutputs(state, r);
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
  void queueWrite(State& state, std::size_t k, Write write) {
    write.changes = state.voters[k].voter->takeChanges();
    if (!write.changes.empty() || write.sendsVote) state.voters[k].writes.push_back(std::move(write));
    // Without further power losses the time of the write makes no difference, as a delay of the vote in
    // transit has the same effect.
    while (state.remainingFaults.powerLosses == 0 && !state.voters[k].writes.empty())
      this->completeWrite(state, k);
  }
  void completeWrite(State& state, std::size_t k) {
    auto& voter = state.voters[k];
    const Write write = voter.writes.front();
    voter.writes.erase(voter.writes.begin());
    voter.history = hashCombine(voter.history, 55);
    apply(voter.disk, write.changes);
    if (!write.sendsVote) return;
    const auto vote = voter.voter->onWritten(kId, write.token, true);
    if (vote && bug_ != Bug::voteSentBeforeDurable) sendVote(state, k, write.router, write.token, *vote);
  }
  void deliver(State& state, const Message& message) {
    if (message.kind == Message::Kind::vote) {
      auto& router = state.routers[message.router];
      if (router.start != message.start || router.phase != State::RouterState::Phase::claiming) return;
      router.voteHistory[message.voter] += hashCombine(5, message.hash());
      router.coordinator->onVote(message.voter, message.number, message.vote);
      return processOutputs(state, message.router);
    }
    auto& voterState = state.voters[message.voter];
    if (!voterState.voter) return;
    voterState.history = hashCombine(voterState.history, message.hash());
    const ClaimToken token{"r" + std::to_string(message.router), message.start, message.number};
    Write write;
    if (message.kind == Message::Kind::release) voterState.voter->onReleased(kId, token);
    if (message.kind == Message::Kind::committed) voterState.voter->onCommitted(kNow, kId, token, kValue);
    if (message.kind == Message::Kind::claim) {
      const auto vote = voterState.voter->onClaim(kNow, kId, token);
      if (vote) return sendVote(state, message.voter, message.router, token, *vote);
      if (bug_ == Bug::voteSentBeforeDurable)
        sendVote(state, message.voter, message.router, token, {Vote::Kind::granted, false, ""});
      write.sendsVote = true;
      write.token = token;
      write.router = message.router;
    }
    queueWrite(state, message.voter, std::move(write));
  }

  // Adds all successors of the state. A state without any is an end state.
  void expand(const State& state) {
    // No router can run the transaction any more.
    const bool isOver = state.remainingFaults.routerRestarts == 0 &&
                        std::all_of(state.routers.begin(), state.routers.end(), [](const auto& router) {
                          return router.phase == State::RouterState::Phase::ended;
                        });
    if (isOver) {
      ++endStates_;
      return;
    }
    bool hasSuccessor = expandMessages(state);
    for (std::size_t k = 0; k < kVoterCount; ++k) hasSuccessor = expandVoter(state, k) || hasSuccessor;
    for (std::size_t r = 0; r < kRouterCount; ++r) hasSuccessor = expandRouter(state, r) || hasSuccessor;
    if (!hasSuccessor) ++endStates_;
  }

  // Each of the following functions returns whether the state has a successor without a fault.

  // A message arrives. Streams keep their order, so only the first message of a stream can.
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

  // A write becomes durable, the voter loses its power, with or without its disk, or it restarts.
  bool expandVoter(const State& state, std::size_t k) {
    const auto& voterState = state.voters[k];
    bool hasSuccessor = false;
    if (voterState.voter && !voterState.writes.empty()) {
      hasSuccessor = true;
      addSuccessor(state, [&](State& next) { completeWrite(next, k); });
    }
    if (voterState.voter && state.remainingFaults.powerLosses > 0 && injectsFault()) {
      addSuccessor(state, [&](State& next) { losePower(next, k, false); });
      if (state.remainingFaults.diskLosses > 0)
        addSuccessor(state, [&](State& next) { losePower(next, k, true); });
    }
    if (!voterState.voter) {
      hasSuccessor = true;
      addSuccessor(state, [&](State& next) { restartVoter(next, k); });
    }
    return hasSuccessor;
  }

  void restartVoter(State& next, std::size_t k) {
    auto& starts = next.voters[k].disk.ownStarts;
    starts.push_back({starts.empty() ? 1 : starts.back().number + 1, 200 + k});
    startVoter(next, k);
    for (std::size_t r = 0; r < kRouterCount; ++r) {
      if (next.routers[r].coordinator) next.routers[r].coordinator->setReachable(k, true);
      next.routers[r].voteHistory[k] = hashCombine(next.routers[r].voteHistory[k], 300);
    }
  }

  // A router claims the transaction, executes it to one of its outcomes, times out, or restarts.
  bool expandRouter(const State& state, std::size_t r) {
    using Phase = State::RouterState::Phase;
    const auto& router = state.routers[r];
    bool hasSuccessor = false;
    if (router.phase == Phase::idle) {
      hasSuccessor = true;
      addSuccessor(state, [&](State& next) {
        next.routers[r].history = hashCombine(next.routers[r].history, 900);
        startClaim(next, r);
      });
    }
    if (router.phase == Phase::claiming && state.remainingFaults.timeouts > 0 && injectsFault())
      addSuccessor(state, [&](State& next) { timeOut(next, r); });
    if (router.phase == Phase::admitted || router.phase == Phase::running) {
      hasSuccessor = true;
      expandExecution(state, r);
    }
    // The router restarts and claims the id again; messages from before the restart may still arrive.
    if (r == 0 && state.remainingFaults.routerRestarts > 0 && injectsFault())
      addSuccessor(state, [&](State& next) { restartRouter(next, r); });
    return hasSuccessor;
  }

  // The transaction is not executed, is executed, is committed, or its outcome remains unknown.
  void expandExecution(const State& state, std::size_t r) {
    using Phase = State::RouterState::Phase;
    using Outcome = ClaimCoordinator::ExecutionOutcome;
    if (state.routers[r].phase == Phase::admitted) {
      addExecutionStep(state, r, Phase::ended, [](State&, ClaimCoordinator& coordinator) {
        coordinator.onTransactionEnded(1, Outcome::neverRan);
      });
      addExecutionStep(state, r, Phase::running,
                       [](State& next, ClaimCoordinator&) { ++next.executionCount; });
    } else {
      addExecutionStep(state, r, Phase::ended, [](State&, ClaimCoordinator& coordinator) {
        coordinator.onCommitted(1, kValue);
        coordinator.onTransactionEnded(1, Outcome::committed);
      });
      addExecutionStep(state, r, Phase::ended, [this](State&, ClaimCoordinator& coordinator) {
        coordinator.onTransactionEnded(
            1, bug_ == Bug::releasesUnknownOutcome ? Outcome::neverRan : Outcome::unknown);
      });
    }
  }

  void addExecutionStep(const State& state, std::size_t r, State::RouterState::Phase nextPhase,
                        const std::function<void(State&, ClaimCoordinator&)>& change) {
    addSuccessor(state, [&](State& next) {
      auto& router = next.routers[r];
      router.phase = nextPhase;
      router.history = hashCombine(router.history, 400 + static_cast<std::uint64_t>(nextPhase));
      change(next, *router.coordinator);
      processOutputs(next, r);
    });
  }

  void timeOut(State& next, std::size_t r) {
    --next.remainingFaults.timeouts;
    next.routers[r].history = hashCombine(next.routers[r].history, 500);
    next.routers[r].coordinator->runTimers(kNow + Duration::millis(900));
    processOutputs(next, r);
  }

  void restartRouter(State& next, std::size_t r) {
    --next.remainingFaults.routerRestarts;
    ++next.routers[r].start;
    next.routers[r].voteHistory = {};
    next.routers[r].history = hashCombine(next.routers[r].history, 600);
    startClaim(next, r);
  }

  void losePower(State& state, std::size_t k, bool losesDisk) {
    --state.remainingFaults.powerLosses;
    auto& voterState = state.voters[k];
    voterState.history = hashCombine(voterState.history, losesDisk ? 700 : 701);
    voterState.voter.reset();
    voterState.writes.clear();
    if (losesDisk) {
      --state.remainingFaults.diskLosses;
      voterState.disk = Disk();
      voterState.disk.isComplete = bug_ == Bug::lostDiskTreatedAsComplete;
    }
    std::erase_if(state.messages, [&](const Message& message) { return message.voter == k; });
    for (std::size_t r = 0; r < kRouterCount; ++r) {
      state.routers[r].voteHistory[k] = hashCombine(state.routers[r].voteHistory[k], 800);
      if (!state.routers[r].coordinator) continue;
      state.routers[r].coordinator->setReachable(k, false);
      processOutputs(state, r);
    }
  }

  Bug bug_;
  std::mt19937_64 random_{1};
  bool isWalking_ = false;
  std::vector<State> pending_;
  std::unordered_set<std::uint64_t> visited_;
  std::uint64_t transitions_ = 0, endStates_ = 0, walks_ = 0;
  std::string violation_;
};

// Visits all states within each of the limits.
void exploreOrders(const std::vector<FaultLimits>& allLimits) {
  for (const FaultLimits& limits : allLimits) {
    Search search(Bug::none, limits);
    const std::string violation = search.run(100'000'000);
    std::cout << limits.powerLosses << " power losses, " << limits.diskLosses << " disk losses, "
              << limits.routerRestarts << " router restarts, " << limits.timeouts
              << " claim timeouts: " << search.states() << " states, " << search.transitions()
              << " transitions, " << search.endStates() << " end states: "
              << (violation.empty() ? "no transaction ran twice, no outcome was reported falsely" : violation)
              << std::endl;
  }
}

// Random walks must find each built-in bug, and no violation without one.
void findBuiltInBugs() {
  for (int bug = 0; bug < 5; ++bug) {
    Search search(static_cast<Bug>(bug), {1, 1, 1, 2});
    const std::string violation = search.walkRandomly(bug == 0 ? 4'000 : 1'000'000);
    std::cout << kBugNames[bug] << ": " << (violation.empty() ? "no violation" : violation) << " after "
              << search.walks() << " walks" << std::endl;
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "";
  // CI runs the cases that take seconds; `claim-orders-with-faults` takes minutes.
  if (name == "claim-orders") return exploreOrders({{0, 0, 0, 2}}), 0;
  if (name == "claim-orders-with-faults") return exploreOrders({{1, 0, 0, 0}, {0, 0, 1, 0}}), 0;
  if (name == "built-in-bugs") return findBuiltInBugs(), 0;
  return 2;
}
