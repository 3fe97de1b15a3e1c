#include "maintenance/consensus_search.h"

#include <algorithm>
#include <functional>

namespace gulltrestle::maintenance {

std::string ConsensusSearch::search() {
  std::vector<State> frontier{initialState()};
  while (!frontier.empty() && brokenProperty_.empty() && visited_.size() < kMaxStates) {
    const State state = std::move(frontier.back());
    frontier.pop_back();
    expand(state, frontier);
  }
  return brokenProperty_;
}

ConsensusSearch::State ConsensusSearch::initialState() {
  State state;
  for (std::size_t proposer = 0; proposer < kProposers; ++proposer)
    state.rounds.emplace_back(kAcceptors, 10 + proposer, Duration::millis(3'600'000));
  for (std::size_t acceptor = 0; acceptor < kAcceptors; ++acceptor) {
    state.acceptors.emplace_back("", true);
    state.disks.emplace_back();
  }
  state.startedRounds.resize(kProposers);
  state.promised.resize(kProposers);
  state.accepted.resize(kProposers);
  return state;
}

Instant ConsensusSearch::timeOf(std::size_t startedRounds) {
  return Instant::atMicros(1'000'000'000) + Duration::millis(10'000) * static_cast<double>(startedRounds);
}

// --- States

std::string ConsensusSearch::Request::key() const {
  return std::to_string(acceptor) + std::to_string(proposer) + std::to_string(isAccept) + "," +
         std::to_string(proposed.ballot.number) + "," + proposed.value;
}

std::string ConsensusSearch::keyOf(const State& state) {
  std::vector<std::string> requests;
  for (const auto& request : state.requests) requests.push_back(request.key());
  std::sort(requests.begin(), requests.end());
  std::string key;
  // Between two requests the complete state of an acceptor is on its disk.
  for (const auto& disk : state.disks) key += disk + "|";
  for (const auto& acceptor : state.acceptors) key += std::to_string(acceptor.isComplete());
  for (std::size_t proposer = 0; proposer < kProposers; ++proposer) {
    const ProposalRound& round = state.rounds[proposer];
    key += std::to_string(state.startedRounds[proposer]) + std::to_string(static_cast<int>(round.state())) +
           std::to_string(round.ballot().number);
    for (const std::size_t acceptor : state.promised[proposer]) key += "r" + std::to_string(acceptor);
    for (const std::size_t acceptor : state.accepted[proposer]) key += "w" + std::to_string(acceptor);
  }
  for (const auto& request : requests) key += request + ";";
  for (const auto& [ballot, acceptors] : state.acceptedBy) {
    key += std::to_string(ballot.number) + "." + std::to_string(ballot.draw);
    for (const std::size_t acceptor : acceptors) key += "h" + std::to_string(acceptor);
  }
  return key + std::to_string(state.losses);
}

void ConsensusSearch::visit(State state, std::vector<State>& frontier) {
  if (visited_.insert(std::hash<std::string>()(keyOf(state))).second) frontier.push_back(std::move(state));
}

void ConsensusSearch::expand(const State& state, std::vector<State>& frontier) {
  startOrAbandonRounds(state, frontier);
  deliverRequests(state, frontier);
  loseDisks(state, frontier);
}

void ConsensusSearch::startOrAbandonRounds(const State& state, std::vector<State>& frontier) {
  for (std::size_t proposer = 0; proposer < kProposers; ++proposer) {
    if (state.startedRounds[proposer] >= rounds_[proposer]) continue;
    State next = state;
    if (state.rounds[proposer].state() != ProposalRound::State::idle) {
      abandonRound(next, proposer);
      visit(std::move(next), frontier);
      continue;
    }
    ++next.startedRounds[proposer];
    next.promised[proposer].clear();
    next.accepted[proposer].clear();
    if (!next.rounds[proposer].begin(timeOf(next.startedRounds[proposer]))) continue;
    const AcceptedValue prepare{next.rounds[proposer].ballot(), {}, ""};
    for (std::size_t acceptor = 0; acceptor < kAcceptors; ++acceptor)
      next.requests.push_back({acceptor, proposer, false, prepare});
    visit(std::move(next), frontier);
  }
}

// A reply arrives immediately or never. Delayed replies need not be searched: the content of a reply does not
// change after it is sent, and the accept requests that it leads to can be delayed instead.
void ConsensusSearch::deliverRequests(const State& state, std::vector<State>& frontier) {
  for (std::size_t index = 0; index < state.requests.size(); ++index) {
    State without = state;
    const Request request = without.requests[index];
    without.requests.erase(without.requests.begin() + static_cast<std::ptrdiff_t>(index));
    for (const bool isReplyLost : {false, true}) {
      if (without.losses == 0) {
        State next = without;
        ++next.losses;
        deliver(next, request, {false, isReplyLost});
        visit(std::move(next), frontier);
      }
      State next = without;
      deliver(next, request, {true, isReplyLost});
      visit(std::move(next), frontier);
    }
  }
}

// An acceptor that lost its disk abstains until all earlier rounds have ended, so these are abandoned.
void ConsensusSearch::loseDisks(const State& state, std::vector<State>& frontier) {
  if (state.losses > 0) return;
  for (std::size_t acceptor = 0; acceptor < kAcceptors; ++acceptor) {
    State next = state;
    ++next.losses;
    next.disks[acceptor].clear();
    next.acceptors[acceptor] = Acceptor("", fault_ == InjectedFault::forgottenState);
    next.requests.clear();
    for (std::size_t proposer = 0; proposer < kProposers; ++proposer) abandonRound(next, proposer);
    visit(std::move(next), frontier);
  }
}

// --- Events

void ConsensusSearch::abandonRound(State& state, std::size_t proposer) {
  ProposalRound& round = state.rounds[proposer];
  if (round.state() != ProposalRound::State::idle)
    round.onRejected(timeOf(state.startedRounds[proposer]), round.ballot(), round.ballot());
}

void ConsensusSearch::deliver(State& state, const Request& request, Delivery delivery) {
  const std::size_t index = request.acceptor;
  Acceptor& acceptor = state.acceptors[index];
  const Acceptor::RequestOutcome outcome =
      request.isAccept ? acceptor.accept(request.proposed) : acceptor.prepare(request.proposed.ballot);
  if (outcome.needsWrite && delivery.isDurable) state.disks[index] = acceptor.serialized();
  const bool isReported =
      outcome.needsWrite && (delivery.isDurable || fault_ == InjectedFault::replyBeforeDurable);
  const auto reply = isReported ? replyWritten(state, index) : outcome.rejection;
  if (!delivery.isDurable) acceptor = Acceptor(state.disks[index], true);
  if (reply && !delivery.isReplyLost) onReply(state, index, request.proposer, *reply);
}

std::optional<Acceptor::AcceptorReply> ConsensusSearch::replyWritten(State& state, std::size_t acceptor) {
  const auto reply = state.acceptors[acceptor].onWritten(true);
  if (!reply || reply->kind != Acceptor::AcceptorReply::Kind::accepted) return reply;
  const AcceptedValue& accepted = state.acceptors[acceptor].accepted();
  auto& acceptedBy = state.acceptedBy[accepted.ballot];
  if (!acceptedBy.insert(acceptor).second || acceptedBy.size() != majorityOf(kAcceptors)) return reply;
  state.chosen[accepted.ballot] = accepted.value;
  std::string previous;
  for (const auto& [ballot, value] : state.chosen) {
    if (!value.starts_with(previous)) brokenProperty_ = "a chosen value is lost";
    previous = value;
  }
  return reply;
}

void ConsensusSearch::onReply(State& state, std::size_t acceptor, std::size_t proposer,
                              const Acceptor::AcceptorReply& reply) {
  using Kind = Acceptor::AcceptorReply::Kind;
  ProposalRound& round = state.rounds[proposer];
  const Instant now = timeOf(state.startedRounds[proposer]);
  if (reply.kind == Kind::rejected) round.onRejected(now, reply.ballot, reply.promised);
  if (reply.kind == Kind::accepted) {
    round.onAccepted(now, acceptor, reply.ballot);
    if (reply.ballot == round.ballot()) state.accepted[proposer].insert(acceptor);
  }
  if (reply.kind != Kind::promised) return;
  round.onPromise(now, acceptor, reply.ballot, reply.accepted);
  if (reply.ballot == round.ballot()) state.promised[proposer].insert(acceptor);
  if (const auto prepared = round.takePrepared()) propose(state, proposer, *prepared);
}

void ConsensusSearch::propose(State& state, std::size_t proposer,
                              const ProposalRound::PreparedValue& prepared) {
  std::string value = fault_ == InjectedFault::ignoredPromises ? "" : prepared.accepted.value;
  if (prepared.isChosen) value += static_cast<char>('a' + 2 * proposer + state.startedRounds[proposer] - 1);
  const AcceptedValue proposed = state.rounds[proposer].propose({value.size(), 1}, value);
  for (std::size_t acceptor = 0; acceptor < kAcceptors; ++acceptor)
    state.requests.push_back({acceptor, proposer, true, proposed});
}

}  // namespace gulltrestle::maintenance
