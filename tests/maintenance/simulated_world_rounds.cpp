#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "maintenance/simulated_world.h"

namespace gulltrestle::maintenance {

// --- Proposal rounds

bool SimulatedWorld::mayVote(std::size_t voter) const {
  const Process& process = routers_[voter];
  return process.acceptor && (process.abstainsUntil == Instant() || clock(voter) >= process.abstainsUntil);
}

FleetState SimulatedWorld::fleetState(std::size_t voter) {
  FleetState fleet;
  for (const auto& id : nodes_) {
    auto& node = fleet.nodes[id];
    node.group = id[1] == '1' ? 1 : 2;
    node.isLive = node.isServing = true;
    node.isPrimary = id[0] == 'p';
  }
  const membership::MembershipView& view = *routers_[voter].view;
  for (const auto& router : view.routers()) {
    const auto member = view.memberState(router);
    auto& state = fleet.routers[router];
    state.isAlive = member.state == membership::MembershipView::State::alive;
    state.isSilent = member.silentVoters.size() >= majorityOf(kVoters);
    state.incarnation = member.incarnation;
    state.planVersion = member.progress.planVersion;
    state.drainedVersion = member.progress.drainedVersion;
    state.isVoter = router < name(kVoters);
  }
  return fleet;
}

void SimulatedWorld::advancePlan(std::size_t voter) {
  Process& process = routers_[voter];
  const Instant now = clock(voter);
  const FleetState fleet = fleetState(voter);
  process.leader->observe(now, process.planView->chosen(), fleet);
  process.round->runTimers(now);
  if (const auto prepared = process.round->takePrepared()) propose(voter, fleet, *prepared);
  process.round->takeChosen();
  // Every voter that finds a transition due starts a round: leadership affects only speed, not safety.
  const bool mustComplete = mayVote(voter) && !process.acceptor->isComplete();
  const bool isDue = process.leader->isDue(now, process.planView->chosen(), fleet) ||
                     hasPendingRequest(voter) || mustComplete;
  if (!isDue || randomBelow(1 + 3 * voter) != 0 || !process.round->begin(now)) return;
  const Ballot ballot = process.round->ballot();
  for (std::size_t other = 0; other < kVoters; ++other)
    deliver(voter, other, [this, voter, other, ballot] { onPrepare(other, voter, ballot); });
}

void SimulatedWorld::propose(std::size_t voter, const FleetState& fleet,
                             const ProposalRound::PreparedValue& prepared) {
  Process& process = routers_[voter];
  Plan plan = readPlan(prepared.accepted.value);
  plan.version = prepared.accepted.version.version + 1;
  bool hasChanged = prepared.isChosen && !process.leader->advance(clock(voter), plan, fleet).empty();
  for (const auto& [id, request] : requests_) {
    if (!prepared.isChosen) break;
    const bool wasApplied =
        std::find(plan.appliedRequests.begin(), plan.appliedRequests.end(), id) != plan.appliedRequests.end();
    const bool isApplied = applyRequest(plan, id, request, fleet, bounds_).empty();
    hasChanged = (isApplied && !wasApplied) || hasChanged;
  }
  const AcceptedValue proposed =
      hasChanged ? process.round->propose(ValueVersion{plan.version, process.draw}, encoded(plan))
                 : process.round->propose(prepared.accepted.version, prepared.accepted.value);
  for (std::size_t other = 0; other < kVoters; ++other)
    deliver(voter, other, [this, voter, other, proposed] { onAccept(other, voter, proposed); });
}

bool SimulatedWorld::hasPendingRequest(std::size_t voter) const {
  const auto& applied = routers_[voter].planView->chosen().appliedRequests;
  return std::any_of(requests_.begin(), requests_.end(), [&](const auto& request) {
    return std::find(applied.begin(), applied.end(), request.first) == applied.end();
  });
}

void SimulatedWorld::onPrepare(std::size_t voter, std::size_t proposer, const Ballot& ballot) {
  if (mayVote(voter)) handleOutcome(voter, proposer, routers_[voter].acceptor->prepare(ballot));
}

void SimulatedWorld::onAccept(std::size_t voter, std::size_t proposer, const AcceptedValue& proposed) {
  if (mayVote(voter)) handleOutcome(voter, proposer, routers_[voter].acceptor->accept(proposed));
}

void SimulatedWorld::handleOutcome(std::size_t voter, std::size_t proposer,
                                   const Acceptor::RequestOutcome& outcome) {
  if (outcome.rejection)
    deliver(voter, proposer,
            [this, voter, proposer, reply = *outcome.rejection] { onAcceptorReply(proposer, voter, reply); });
  if (!outcome.needsWrite) return;
  const std::string acceptorState = routers_[voter].acceptor->serialized();
  if (injectedFault_ == InjectedFault::replyBeforeDurable)
    return onWritten(voter, proposer, acceptorState, false);
  Instant& last = diskBusyUntil_[voter];
  last = std::max(last, now_ + Duration::millis(1) + randomMillis(20));
  schedule(last - now_, [this, voter, proposer, acceptorState, processId = routers_[voter].processId] {
    if (routers_[voter].processId == processId && routers_[voter].isUp)
      onWritten(voter, proposer, acceptorState, true);
  });
}

void SimulatedWorld::onWritten(std::size_t voter, std::size_t proposer, const std::string& acceptorState,
                               bool isOnDisk) {
  // A disk write completes even while its process is stalled; the reply is delayed.
  if (isOnDisk || randomBelow(4) > 0) disks_[voter].acceptorState = acceptorState;
  run(voter, routers_[voter].processId, [this, voter, proposer] { replyWritten(voter, proposer); });
}

void SimulatedWorld::replyWritten(std::size_t voter, std::size_t proposer) {
  Process& process = routers_[voter];
  const auto reply = process.acceptor->onWritten(true);
  if (!reply) return;
  disks_[voter].isComplete = disks_[voter].isComplete || process.acceptor->isComplete();
  const AcceptedValue accepted = process.acceptor->accepted();
  if (reply->kind == Acceptor::AcceptorReply::Kind::accepted) onDurablyAccepted(voter, accepted);
  onAccepted(voter, voter, accepted);
  for (auto& [router, reported] : process.reportedBallots)
    if (router != voter && reported != accepted.ballot &&
        !(injectedFault_ == InjectedFault::latePlanReport && randomBelow(2) == 0)) {
      reported = accepted.ballot;
      deliver(voter, router, [this, voter, to = router, accepted] { onAccepted(to, voter, accepted); });
    }
  deliver(voter, proposer,
          [this, voter, proposer, reply = *reply] { onAcceptorReply(proposer, voter, reply); });
}

void SimulatedWorld::onAcceptorReply(std::size_t proposer, std::size_t voter,
                                     const Acceptor::AcceptorReply& reply) {
  using Kind = Acceptor::AcceptorReply::Kind;
  ProposalRound& round = *routers_[proposer].round;
  const Instant now = clock(proposer);
  if (reply.kind == Kind::promised) round.onPromise(now, voter, reply.ballot, reply.accepted);
  if (reply.kind == Kind::accepted) round.onAccepted(now, voter, reply.ballot);
  if (reply.kind == Kind::rejected) round.onRejected(now, reply.ballot, reply.promised);
}

// --- Properties

void SimulatedWorld::onDurablyAccepted(std::size_t voter, const AcceptedValue& accepted) {
  if (!monitor_.onAccepted(voter, accepted)) return;
  ++totals_.chosen;
  if (!checkOrder(accepted)) return;
  chosenVersions_[accepted.ballot] = accepted.version;
  if (accepted.ballot < newestBallot_) return;
  newestBallot_ = accepted.ballot;
  chosenPlan_ = readPlan(accepted.value);
  traceChosenPlan(accepted.ballot);
  checkChosenPlan();
}

bool SimulatedWorld::checkOrder(const AcceptedValue& chosen) {
  const auto successor = chosenVersions_.lower_bound(chosen.ballot);
  const ValueVersion* predecessor =
      successor == chosenVersions_.begin() ? nullptr : &std::prev(successor)->second;
  const bool isLost = (predecessor && *predecessor > chosen.version) ||
                      (successor != chosenVersions_.end() && chosen.version > successor->second);
  if (isLost) fail("a chosen value is lost");
  const bool isDuplicate =
      predecessor && predecessor->version == chosen.version.version && *predecessor != chosen.version;
  if (isDuplicate) fail("two different chosen plans have the same version");
  return !isLost && !isDuplicate;
}

void SimulatedWorld::checkChosenPlan() {
  std::map<char, std::size_t> unavailableByGroup;
  std::set<std::string> released;
  finishedMachines_ = 0;
  for (const auto& machine : chosenPlan_.machines) {
    finishedMachines_ += machine.phase == Phase::finished;
    const bool isReleased = machine.phase == Phase::released;
    for (const auto& node : machine.nodes) {
      if (machine.phase != Phase::waiting && machine.phase != Phase::finished) ++unavailableByGroup[node[1]];
      if (isReleased) released.insert(node);
      if (isReleased && node[0] == 'p') fail("a primary was released");
    }
    if (isReleased && startedWork_.insert(machine.name + std::to_string(machine.phaseVersion)).second)
      scheduleCompletion(machine.name);
  }
  for (const auto& [group, count] : unavailableByGroup)
    if (count > 1) fail("more nodes of a group are unavailable than allowed");
  for (const Process& router : routers_)
    for (const auto& node : router.inFlight)
      if (released.contains(node)) fail("a transaction was in flight to a node when it was released");
  releasedNodes_ = std::move(released);
}

void SimulatedWorld::traceChosenPlan(const Ballot& ballot) const {
  if (!std::getenv("WORK_TRACE")) return;
  std::cerr << elapsedMillis() << " chosen " << chosenPlan_.version << " in ballot " << ballot.number;
  for (const auto& machine : chosenPlan_.machines)
    std::cerr << " " << machine.name << "=" << nameOf(machine.phase) << "@" << machine.phaseVersion;
  std::cerr << "\n";
}

}  // namespace gulltrestle::maintenance
