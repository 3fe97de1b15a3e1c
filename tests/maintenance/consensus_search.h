// Exhaustive search over all orders of events in the consensus on the maintenance plan, with three acceptors,
// two proposers, and one fault: a power loss in the middle of a write, or the loss of a disk between rounds.
// Each proposal appends a letter to the value, so every chosen value has to start with all values chosen
// before it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "maintenance/acceptor.h"
#include "maintenance/proposal_round.h"

namespace gulltrestle::maintenance {

// Depth-first search over the states that are reachable from an empty plan. Visits each state once.
class ConsensusSearch {
 public:
  // A fault injected into the code under test. The search has to find it.
  enum class InjectedFault {
    none,
    forgottenState,      // an acceptor that lost its disk takes part as if its state were complete
    replyBeforeDurable,  // an acceptor replies before its state is on disk
    ignoredPromises,     // a proposer ignores the value that it learned
  };

  // `rounds`: number of rounds that the first proposer may start; the second starts one.
  ConsensusSearch(InjectedFault fault, std::size_t rounds) : fault_(fault), rounds_{rounds, 1} {}

  // Returns the violated property, or an empty string if every order of events satisfies all of them.
  std::string search();
  // Number of visited states.
  std::size_t states() const { return visited_.size(); }

 private:
  static constexpr std::size_t kAcceptors = 3, kProposers = 2;
  static constexpr std::size_t kMaxStates = 20'000'000;

  // A prepare or an accept request that has not arrived yet.
  struct Request {
    std::size_t acceptor = 0, proposer = 0;
    bool isAccept = false;
    AcceptedValue proposed;  // for a prepare request only the ballot
    std::string key() const;
  };
  struct State {
    std::vector<ProposalRound> rounds;  // by proposer
    std::vector<Acceptor> acceptors;
    std::vector<std::string> disks;                         // by acceptor
    std::vector<std::size_t> startedRounds;                 // number of started rounds, by proposer
    std::vector<std::set<std::size_t>> promised, accepted;  // acceptors, by proposer, in the current rounds
    std::vector<Request> requests;
    std::map<Ballot, std::set<std::size_t>> acceptedBy;
    std::map<Ballot, std::string> chosen;
    std::size_t losses = 0;
  };
  // The outcome of delivering a request.
  struct Delivery {
    bool isDurable = false;    // otherwise power is lost before the resulting state is on disk
    bool isReplyLost = false;  // a reply arrives immediately or never
  };

  static State initialState();
  // A distinct time for each round, late enough that the backoff of the previous round has ended.
  static Instant timeOf(std::size_t startedRounds);
  // Adds the state to the frontier of the search unless it was visited before.
  void visit(State state, std::vector<State>& frontier);
  static std::string keyOf(const State& state);

  // --- Successor states
  void expand(const State& state, std::vector<State>& frontier);
  void startOrAbandonRounds(const State& state, std::vector<State>& frontier);
  void deliverRequests(const State& state, std::vector<State>& frontier);
  void loseDisks(const State& state, std::vector<State>& frontier);

  static void abandonRound(State& state, std::size_t proposer);
  void deliver(State& state, const Request& request, Delivery delivery);
  std::optional<Acceptor::AcceptorReply> replyWritten(State& state, std::size_t acceptor);
  void onReply(State& state, std::size_t acceptor, std::size_t proposer,
               const Acceptor::AcceptorReply& reply);
  void propose(State& state, std::size_t proposer, const ProposalRound::PreparedValue& prepared);

  InjectedFault fault_;
  std::size_t rounds_[kProposers];  // maximum number of rounds, by proposer
  std::string brokenProperty_;
  std::unordered_set<std::size_t> visited_;
};

}  // namespace gulltrestle::maintenance
