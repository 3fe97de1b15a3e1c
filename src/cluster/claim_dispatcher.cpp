#include "cluster/claim_dispatcher.h"

#include <algorithm>

#include "base/due_time.h"
#include "cluster/chunks.h"

namespace gulltrestle::cluster {

using idempotency::ClaimCoordinator;

namespace {

std::vector<std::string> namesOf(const ClusterConfig& config) {
  std::vector<std::string> names;
  for (const auto& voter : config.voters) names.push_back(voter.name);
  return names;
}

std::optional<idempotency::VoterIndex> indexOf(const ClusterConfig& config, const std::string& name) {
  for (std::size_t i = 0; i < config.voters.size(); ++i)
    if (config.voters[i].name == name) return i;
  return std::nullopt;
}

RouterIdentity identityOf(const ClusterConfig& config, const LocalRouter& router) {
  return {router.name, router.draw, namesOf(config), indexOf(config, router.name)};
}

std::map<std::string, membership::Incarnation> membersOf(
    const std::optional<idempotency::StoredState>& stored) {
  std::map<std::string, membership::Incarnation> members;
  if (!stored) return members;
  for (const auto& [router, incarnation] : stored->routerStarts)
    members[router] = {incarnation.number, incarnation.draw};
  return members;
}

std::optional<MaintenanceService::StoredAcceptor> acceptorOf(
    const std::optional<idempotency::StoredState>& stored) {
  if (!stored) return std::nullopt;
  return MaintenanceService::StoredAcceptor{stored->acceptorState, stored->isComplete};
}

// Raises the router count to the number of members, as the routing settings may have a lower one.
RoutingConfig withRouterCount(RoutingConfig routing, std::size_t routers) {
  routing.routerCount = std::max(routing.routerCount, static_cast<unsigned>(routers));
  return routing;
}

std::string concatenated(const transactions::ResultValue& value) {
  return std::string(value[0]).append(value[1]).append(value[2]);
}

ClaimCoordinator::ExecutionOutcome outcomeOf(transactions::ExecutionOutcome outcome) {
  switch (outcome) {
    case transactions::ExecutionOutcome::committed:
      return ClaimCoordinator::ExecutionOutcome::committed;
    case transactions::ExecutionOutcome::neverRan:
      return ClaimCoordinator::ExecutionOutcome::neverRan;
    default:
      return ClaimCoordinator::ExecutionOutcome::unknown;
  }
}

PeerMessage messageOf(ClaimCoordinator::ClaimMessage&& message) {
  switch (message.kind) {
    case ClaimCoordinator::ClaimMessage::Kind::release:
      return Release{message.id, message.number};
    case ClaimCoordinator::ClaimMessage::Kind::commit:
      return Committed{message.id, message.number, std::move(message.value)};
    case ClaimCoordinator::ClaimMessage::Kind::claim:
      break;
  }
  return Claim{message.id, message.number};
}

}  // namespace

ClaimDispatcher::ClaimDispatcher(transactions::TransactionTable& transactions, const RoutingConfig& routing,
                                 const ClusterConfig& config, LocalRouter localRouter, Effects& effects)
    : transactions_(transactions),
      config_(config),
      identity_(identityOf(config, localRouter)),
      effects_(effects),
      coordinator_(config.coordinator, identity_.draw),
      recovery_(transactions, withRouterCount(routing, config.routers.size()), config.initialRatePerNode,
                identity_.draw,
                [this](std::string_view event, const std::string& fields) { effects_.log(event, fields); }),
      membership_(transactions.now(), config.routers, identity_, membersOf(localRouter.stored),
                  [this](std::string_view event, const std::string& fields) { effects_.log(event, fields); }),
      maintenance_(transactions, identity_, {config.maintenance, config.proposalTimeout},
                   acceptorOf(localRouter.stored), [this](std::string_view event, const std::string& fields) {
                     effects_.log(event, fields);
                   }) {
  applyForcedStage();
  if (!localRouter.stored) return;
  auto& stored = localRouter.stored;
  for (const auto& [group, primary] : stored->primaries)
    recovery_.onPrimaryUpdate({group, {primary.node, primary.listVersion}});
  for (const auto& [node, drain] : stored->nodeDrains)
    drains_.applyUpdate({node, drain.listVersion, drain.isDraining});
  storeDrains({});
  votingMember_.emplace(transactions_.now(), identity_.name, config.votingMember, std::move(*stored));
  // After the loss of a disk the acceptor is marked incomplete on the new one too, so that the next start
  // knows.
  if (!maintenance_.isComplete()) markAcceptorIncomplete();
}

// --- The transaction table

void ClaimDispatcher::requestExecution(TxnId txn, std::string_view id, Duration remainingTime) {
  coordinator_.beginClaim(transactions_.now(), txn, std::string(id), remainingTime);
}

void ClaimDispatcher::onCommitted(TxnId txn, const transactions::ResultValue& value) {
  coordinator_.onCommitted(txn, concatenated(value));
}

void ClaimDispatcher::onTransactionEnded(TxnId txn, transactions::ExecutionOutcome outcome) {
  coordinator_.onTransactionEnded(txn, outcomeOf(outcome));
}

void ClaimDispatcher::applyDecisions() {
  for (const auto& decision : coordinator_.takeDecisions()) {
    using Kind = ClaimCoordinator::Decision::Kind;
    switch (decision.kind) {
      case Kind::admitted:
        transactions_.admit(decision.txn);
        break;
      case Kind::alreadyCommitted:
        transactions_.answerCommitted(decision.txn, {decision.value, "", ""});
        break;
      case Kind::rolledBack:
        transactions_.answerRolledBack(decision.txn);
        break;
      case Kind::rejected:
        transactions_.answerRejected(decision.txn, decision.retryAfter);
    }
  }
}

// --- Streams to voters

PeerMessage ClaimDispatcher::greeting() const {
  return Greeting{identity_.name, config_.voterListText(), identity_.draw,
                  votingMember_ ? votingMember_->start() : idempotency::VoterIncarnation{}};
}

void ClaimDispatcher::onReply(idempotency::VoterIndex voter, std::string_view bytes) {
  const PeerReply reply = readReply(bytes);
  const std::string& name = config_.voters.at(voter).name;
  if (const auto* vote = std::get_if<VoteReply>(&reply)) {
    coordinator_.onVote(voter, vote->number, vote->vote);
    return sendClaimMessages();
  }
  if (const auto* drains = std::get_if<DrainUpdates>(&reply)) return onDrainUpdates(*drains, name);
  if (const auto* primaries = std::get_if<PrimaryUpdates>(&reply)) return onPrimaryUpdates(*primaries);
  if (const auto* report = std::get_if<ObservationReport>(&reply))
    return recovery_.onObservations(name, *report);
  if (const auto* join = std::get_if<JoinReply>(&reply)) return onJoinReply(voter, join->newest);
  if (const auto* heartbeat = std::get_if<HeartbeatReply>(&reply)) {
    maintenance_.onHeartbeatReply(voter, *heartbeat);
    return membership_.onLivenessReports(voter, heartbeat->reports);
  }
  if (const auto* proposal = std::get_if<ProposalReply>(&reply))
    return maintenance_.onAcceptorReply(transactions_.now(), voter, proposal->reply);
  if (const auto* plan = std::get_if<PlanUpdate>(&reply))
    return maintenance_.onAccepted(voter, plan->accepted);
  onGreetingReply(voter, std::get<GreetingReply>(reply));
}

void ClaimDispatcher::onGreetingReply(idempotency::VoterIndex voter, const GreetingReply& reply) {
  const std::string& name = config_.voters.at(voter).name;
  membership_.onGreetingReply(transactions_.now(), voter, reply.joinedIncarnation);
  coordinator_.setReachable(voter, membership_.isJoinedAt(voter));
  const bool isFirst = std::exchange(greetedVoters_[voter], name).empty();
  if (isFirst) {
    for (const DrainUpdates& chunk : chunked(drains_.all())) effects_.sendToVoter(voter, chunk);
    for (const PrimaryUpdates& chunk : chunked(recovery_.primaries())) effects_.sendToVoter(voter, chunk);
  }
  if (!isFirst && !votingMember_) return;
  logQuorum("peers.voter_reachable", name);
  const bool isOutdatedDisk =
      votingMember_ &&
      votingMember_->onGreetingReply(transactions_.now(), name, reply.number, reply.previousVoterIncarnation);
  if (isOutdatedDisk) {
    effects_.log("claims.outdated_disk", "reported_by=" + name + " known_start=" +
                                             std::to_string(reply.previousVoterIncarnation.number));
    markAcceptorIncomplete();
    writeChanges(PendingRegreeting{});
  }
  logVotingState();
}

void ClaimDispatcher::onJoinReply(idempotency::VoterIndex voter, const membership::Incarnation& newest) {
  membership_.onJoinReply(transactions_.now(), voter, newest);
  coordinator_.setReachable(voter, membership_.isJoinedAt(voter));
}

void ClaimDispatcher::onVoterLost(idempotency::VoterIndex voter) {
  coordinator_.setReachable(voter, false);
  membership_.onVoterLost(voter);
  maintenance_.onVoterLost(voter);
  if (greetedVoters_.erase(voter) > 0) logQuorum("peers.voter_unreachable", config_.voters.at(voter).name);
  sendClaimMessages();
}

void ClaimDispatcher::logQuorum(std::string_view event, const std::string& voter) {
  effects_.log(event, "keeper=" + voter + " reached=" +
                          std::to_string(greetedVoters_.size() + identity_.ownIndex.has_value()) +
                          " of=" + std::to_string(config_.voters.size()));
}

void ClaimDispatcher::sendOrHandle(idempotency::VoterIndex voter, const PeerMessage& message) {
  if (voter == identity_.ownIndex)
    onPeerMessage(kOwnStream, {identity_.name, identity_.draw}, message);
  else
    effects_.sendToVoter(voter, message);
}

void ClaimDispatcher::sendToOtherVoters(const PeerMessage& message) {
  for (idempotency::VoterIndex voter = 0; voter < config_.voters.size(); ++voter)
    if (voter != identity_.ownIndex) effects_.sendToVoter(voter, message);
}

// Loops because this router's own voting member may reply immediately, which may produce more messages.
void ClaimDispatcher::sendClaimMessages() {
  for (auto messages = coordinator_.takeMessages(); !messages.empty(); messages = coordinator_.takeMessages())
    for (auto& message : messages) {
      const idempotency::VoterIndex voter = message.voter;
      sendOrHandle(voter, messageOf(std::move(message)));
    }
}

// --- The configuration

void ClaimDispatcher::reloadConfig(const ClusterConfig& config) {
  if (config.voterListText() != config_.voterListText())
    effects_.log("peers.restart_required", "keys=\"keepers keepers_before\"");
  setMembers(config.routers);
  config_.forcedStage = config.forcedStage;
  config_.forcedBy = config.forcedBy;
  applyForcedStage();
}

void ClaimDispatcher::applyForcedStage() { recovery_.force(config_.forcedStage, config_.forcedBy); }

// Closes the streams of routers that are not members any more.
void ClaimDispatcher::setMembers(std::set<std::string> routers) {
  // Voters change only with a restart, and remain members until then.
  for (const auto& voter : config_.voters) routers.insert(voter.name);
  if (routers == config_.routers) return;
  std::size_t added = 0, removed = 0;
  for (const auto& router : routers) added += !config_.routers.contains(router);
  for (const auto& router : config_.routers) removed += !routers.contains(router);
  effects_.log("peers.list_changed", "routers=" + std::to_string(routers.size()) + " added=" +
                                         std::to_string(added) + " left=" + std::to_string(removed));
  config_.routers = std::move(routers);
  membership_.setMembers(transactions_.now(), config_.routers);
  std::vector<PeerStreamId> rejected;
  for (const auto& [stream, peer] : greetedStreams_)
    if (!config_.routers.contains(peer.router)) rejected.push_back(stream);
  for (const PeerStreamId stream : rejected)
    effects_.rejectStream(stream, "this router is not on the list any more");
}

// --- Turns

void ClaimDispatcher::endTurn() {
  const Instant now = transactions_.now();
  Instant due = coordinator_.runTimers(now);
  sendMembershipMessages(now);
  if (votingMember_) {
    due = earlierDue(due, votingMember_->runTimers(now));
    writeChanges();
    logVotingState();
  }
  advanceRecovery();
  endMaintenanceTurn(now);
  for (const Instant other : {recovery_.nextDue(), membership_.nextDue(), maintenance_.nextDue()})
    due = earlierDue(due, other);
  nextDue_ = due;
  sendClaimMessages();
  applyDecisions();
  sendClaimMessages();
}

void ClaimDispatcher::sendMembershipMessages(Instant now) {
  const membership::MemberProgress progress{recovery_.progress(), maintenance_.planVersion(),
                                            maintenance_.drainedVersion()};
  for (const auto& [voter, message] : membership_.endTurn(now, progress)) {
    if (const auto* heartbeat = std::get_if<Heartbeat>(&message))
      maintenance_.onHeartbeatSent(now, voter, heartbeat->number);
    std::visit([&, to = voter](const auto& typed) { sendOrHandle(to, typed); }, message);
  }
}

void ClaimDispatcher::advanceRecovery() {
  const bool isQuorumReached = coordinator_.reachableVoters() * 2 > config_.voters.size();
  const PrimaryUpdates confirmed = recovery_.endTurn(isQuorumReached);
  storePrimaries(confirmed);
  for (const PrimaryUpdates& chunk : chunked(confirmed)) sendToOtherVoters(chunk);
}

}  // namespace gulltrestle::cluster
