// The consensus on the maintenance plan in a small world, searched in every order of events: three acceptors,
// two proposers, and one loss, of power in the middle of a write or of a disk between rounds. Each proposal
// appends a letter to the value, so whatever is chosen later has to begin with all that was chosen before.
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

class ConsensusSearch {
 public:
  // A fault that is built into the code under test: the search has to find it.
  enum class InjectedFault {
    none,
    forgottenState,      // an acceptor that lost its disk takes part as if it had not
    replyBeforeDurable,  // an acceptor replies before its state is on disk
    ignoredPromises,     // a proposer does not go by the value that it learned
  };

  // `rounds`: that the first proposer may begin; the other one begins one.
  ConsensusSearch(InjectedFault fault, std::size_t rounds) : fault_(fault), rounds_{rounds, 1} {}

  // Returns the property that broke; empty: none, in any order.
  std::string search();
  // How many states were visited.
  std::size_t states() const { return visited_.size(); }

 private:
  static constexpr std::size_t kAcceptors = 3, kProposers = 2;
  static constexpr std::size_t kMaxStates = 20'000'000;

  // A prepare or an accept request that has not arrived yet.
  struct Request {
    std::size_t acceptor = 0, proposer = 0;
    bool isAccept = false;
    AcceptedValue proposed;  // prepare: its ballot alone
    std::string key() const;
  };
  struct State {
    std::vector<ProposalRound> rounds;  // by proposer
    std::vector<Acceptor> acceptors;
    std::vector<std::string> disks;                         // by acceptor
    std::vector<std::size_t> begun;                         // rounds, by proposer
    std::vector<std::set<std::size_t>> promised, accepted;  // by which acceptors, to the present rounds
    std::vector<Request> requests;
    std::map<Ballot, std::set<std::size_t>> acceptedBy;
    std::map<Ballot, std::string> chosen;
    std::size_t losses = 0;
  };
  // How one request goes.
  struct Delivery {
    bool isDurable = false;    // else power is lost before what it leads to is on disk
    bool isReplyLost = false;  // a reply comes at once or never
  };

  static State firstState();
  // Each round's own time: the last one's backoff is over.
  static Instant timeOf(std::size_t begun);
  // To be searched from, unless it was visited.
  void visit(State state, std::vector<State>& open);
  static std::string keyOf(const State& state);

  // --- All states that may follow
  void expand(const State& state, std::vector<State>& open);
  void beginOrAbandonRounds(const State& state, std::vector<State>& open);
  void deliverRequests(const State& state, std::vector<State>& open);
  void loseDisks(const State& state, std::vector<State>& open);

  static void abandonRound(State& state, std::size_t proposer);
  void deliver(State& state, const Request& request, Delivery delivery);
  std::optional<Acceptor::AcceptorReply> replyWritten(State& state, std::size_t acceptor);
  void onReply(State& state, std::size_t acceptor, std::size_t proposer,
               const Acceptor::AcceptorReply& reply);
  void propose(State& state, std::size_t proposer, const ProposalRound::PreparedValue& prepared);

  InjectedFault fault_;
  std::size_t rounds_[kProposers];  // that each may begin
  std::string brokenProperty_;
  std::unordered_set<std::size_t> visited_;
};

}  // namespace gulltrestle::maintenance
