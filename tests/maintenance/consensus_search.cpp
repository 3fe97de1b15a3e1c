#include "maintenance/consensus_search.h"

#include <algorithm>
#include <functional>

namespace gulltrestle::maintenance {

std::string ConsensusSearch::search() {
  std::vector<State> open{firstState()};
  while (!open.empty() && brokenProperty_.empty() && visited_.size() < kMaxStates) {
    const State state = std::move(open.back());
    open.pop_back();
    expand(state, open);
  }
  return brokenProperty_;
}

ConsensusSearch::State ConsensusSearch::firstState() {
  State state;
  for (std::size_t proposer = 0; proposer < kProposers; ++proposer)
    state.rounds.emplace_back(kAcceptors, 10 + proposer, Duration::millis(3'600'000));
  for (std::size_t acceptor = 0; acceptor < kAcceptors; ++acceptor) {
    state.acceptors.emplace_back("", true);
    state.disks.emplace_back();
  }
  state.begun.resize(kProposers);
  state.promised.resize(kProposers);
  state.accepted.resize(kProposers);
  return state;
}

Instant ConsensusSearch::timeOf(std::size_t begun) {
  return Instant::atMicros(1'000'000'000) + Duration::millis(10'000) * static_cast<double>(begun);
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
  // All that an acceptor has is on its disk between two requests.
  for (const auto& disk : state.disks) key += disk + "|";
  for (const auto& acceptor : state.acceptors) key += std::to_string(acceptor.isComplete());
  for (std::size_t proposer = 0; proposer < kProposers; ++proposer) {
    const ProposalRound& round = state.rounds[proposer];
    key += std::to_string(state.begun[proposer]) + std::to_string(static_cast<int>(round.state())) +
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

void ConsensusSearch::visit(State state, std::vector<State>& open) {
  if (visited_.insert(std::hash<std::string>()(keyOf(state))).second) open.push_back(std::move(state));
}

void ConsensusSearch::expand(const State& state, std::vector<State>& open) {
  beginOrAbandonRounds(state, open);
  deliverRequests(state, open);
  loseDisks(state, open);
}

void ConsensusSearch::beginOrAbandonRounds(const State& state, std::vector<State>& open) {
  for (std::size_t proposer = 0; proposer < kProposers; ++proposer) {
    if (state.begun[proposer] >= rounds_[proposer]) continue;
    State next = state;
    if (state.rounds[proposer].state() != ProposalRound::State::idle) {
      abandonRound(next, proposer);
      visit(std::move(next), open);
      continue;
    }
    ++next.begun[proposer];
    next.promised[proposer].clear();
    next.accepted[proposer].clear();
    if (!next.rounds[proposer].begin(timeOf(next.begun[proposer]))) continue;
    const AcceptedValue prepare{next.rounds[proposer].ballot(), {}, ""};
    for (std::size_t acceptor = 0; acceptor < kAcceptors; ++acceptor)
      next.requests.push_back({acceptor, proposer, false, prepare});
    visit(std::move(next), open);
  }
}

// What a reply says does not change meanwhile, and what is written for it may be late enough: so it comes at
// once or never.
void ConsensusSearch::deliverRequests(const State& state, std::vector<State>& open) {
  for (std::size_t at = 0; at < state.requests.size(); ++at) {
    State without = state;
    const Request request = without.requests[at];
    without.requests.erase(without.requests.begin() + static_cast<std::ptrdiff_t>(at));
    for (const bool isReplyLost : {false, true}) {
      if (without.losses == 0) {
        State next = without;
        ++next.losses;
        deliver(next, request, {false, isReplyLost});
        visit(std::move(next), open);
      }
      State next = without;
      deliver(next, request, {true, isReplyLost});
      visit(std::move(next), open);
    }
  }
}

// It abstains until all rounds of before are over.
void ConsensusSearch::loseDisks(const State& state, std::vector<State>& open) {
  if (state.losses > 0) return;
  for (std::size_t acceptor = 0; acceptor < kAcceptors; ++acceptor) {
    State next = state;
    ++next.losses;
    next.disks[acceptor].clear();
    next.acceptors[acceptor] = Acceptor("", fault_ == InjectedFault::forgottenState);
    next.requests.clear();
    for (std::size_t proposer = 0; proposer < kProposers; ++proposer) abandonRound(next, proposer);
    visit(std::move(next), open);
  }
}

// --- Events

void ConsensusSearch::abandonRound(State& state, std::size_t proposer) {
  ProposalRound& round = state.rounds[proposer];
  if (round.state() != ProposalRound::State::idle)
    round.onRejected(timeOf(state.begun[proposer]), round.ballot(), round.ballot());
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
  std::string before;
  for (const auto& [ballot, value] : state.chosen) {
    if (!value.starts_with(before)) brokenProperty_ = "what was settled is lost";
    before = value;
  }
  return reply;
}

void ConsensusSearch::onReply(State& state, std::size_t acceptor, std::size_t proposer,
                              const Acceptor::AcceptorReply& reply) {
  using Kind = Acceptor::AcceptorReply::Kind;
  ProposalRound& round = state.rounds[proposer];
  const Instant now = timeOf(state.begun[proposer]);
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
  if (prepared.isChosen) value += static_cast<char>('a' + 2 * proposer + state.begun[proposer] - 1);
  const AcceptedValue proposed = state.rounds[proposer].propose({value.size(), 1}, value);
  for (std::size_t acceptor = 0; acceptor < kAcceptors; ++acceptor)
    state.requests.push_back({acceptor, proposer, true, proposed});
}

}  // namespace gulltrestle::maintenance
