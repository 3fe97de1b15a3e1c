#include "cluster/maintenance_service.h"

#include <algorithm>

#include "base/due_time.h"
#include "maintenance/scheduling.h"

namespace gulltrestle::cluster {

using maintenance::Acceptor;
using maintenance::Phase;
using membership::MembershipView;

namespace {

// Interval between observations of the fleet during maintenance. It is the maximum delay of a transition.
constexpr Duration kObservationInterval = Duration::millis(500);
// Maximum number of operators' requests that are queued for a proposal round.
constexpr std::size_t kMaxPendingRequests = 100;

}  // namespace

MaintenanceService::MaintenanceService(transactions::TransactionTable& transactions, RouterIdentity identity,
                                       const Limits& limits, std::optional<StoredAcceptor> stored, Log log)
    : transactions_(transactions),
      identity_(std::move(identity)),
      log_(std::move(log)),
      planView_(identity_.voters.size()),
      lease_(identity_.voters.size()),
      leader_(limits.bounds),
      now_(transactions.now()) {
  if (!stored) return;
  acceptor_.emplace(stored->text, stored->isComplete);
  round_.emplace(identity_.voters.size(), identity_.draw, limits.proposalTimeout);
  onAccepted(*identity_.ownIndex, acceptor_->accepted());
}

// --- On every router

void MaintenanceService::onHeartbeatSent(Instant now, maintenance::VoterIndex voter, std::uint64_t number) {
  lease_.onHeartbeatSent(now, voter, number);
}

void MaintenanceService::onHeartbeatReply(maintenance::VoterIndex voter, const HeartbeatReply& reply) {
  if (reply.grantsLease) lease_.onHeartbeatReply(voter, reply.heartbeatNumber);
}

void MaintenanceService::renewOwnLease(Instant now) {
  lease_.onHeartbeatSent(now, *identity_.ownIndex, ++ownHeartbeatNumber_);
  lease_.onHeartbeatReply(*identity_.ownIndex, ownHeartbeatNumber_);
}

void MaintenanceService::onAccepted(maintenance::VoterIndex voter,
                                    const maintenance::AcceptedValue& accepted) {
  if (accepted.version.version == 0) return;
  const maintenance::Plan before = planView_.chosen();
  try {
    planView_.onAccepted(voter, accepted);
  } catch (const maintenance::MalformedPlan& bad) {
    return log_("work.unreadable", "keeper=" + identity_.voters.at(voter) + " reason=\"" + bad.what() + "\"");
  }
  const std::string version = " version=" + std::to_string(planView_.chosen().version);
  for (const auto& machine : planView_.chosen().machines) {
    const maintenance::Machine* previous = before.find(machine.name);
    if (!previous || previous->phase != machine.phase || previous->request != machine.request)
      log_("work.machine", "machine=" + machine.name +
                               " phase=" + std::string(maintenance::nameOf(machine.phase)) + version +
                               " reason=\"" + machine.reason + "\"");
  }
}

bool MaintenanceService::takeTermination() {
  const bool mustTerminate = planView_.isRouterDraining(identity_.name);
  return mustTerminate && !std::exchange(isTerminationTaken_, true);
}

// --- On a voter

Acceptor::RequestOutcome MaintenanceService::onProposal(const PeerMessage& message) {
  if (!acceptor_) return {};
  if (const auto* prepare = std::get_if<PrepareRequest>(&message)) return acceptor_->prepare(prepare->ballot);
  if (const auto* accept = std::get_if<AcceptRequest>(&message)) return acceptor_->accept(accept->proposed);
  return {};
}

std::optional<Acceptor::AcceptorReply> MaintenanceService::onWritten(bool durable) {
  const auto reply = acceptor_->onWritten(durable);
  onAccepted(*identity_.ownIndex, acceptor_->accepted());
  return reply;
}

void MaintenanceService::onAcceptorReply(Instant now, maintenance::VoterIndex voter,
                                         const Acceptor::AcceptorReply& reply) {
  if (!round_) return;
  using Kind = Acceptor::AcceptorReply::Kind;
  switch (reply.kind) {
    case Kind::promised:
      return round_->onPromise(now, voter, reply.ballot, reply.accepted);
    case Kind::accepted:
      return round_->onAccepted(now, voter, reply.ballot);
    case Kind::rejected:
      return round_->onRejected(now, reply.ballot, reply.promised);
  }
}

void MaintenanceService::onOperatorRequest(std::string requestId, maintenance::OperatorRequest request) {
  if (!round_) return answers_.push_back({std::move(requestId), "this router is no keeper"});
  if (pendingRequests_.size() >= kMaxPendingRequests)
    return answers_.push_back({std::move(requestId), "too many requests wait"});
  pendingRequests_.push_back({std::move(requestId), std::move(request)});
}

// --- The fleet's state

maintenance::FleetState MaintenanceService::fleetState(const TurnInput& input) const {
  maintenance::FleetState fleet;
  fleet.isDegraded = input.isDegraded;
  addNodeStates(input.recovery, fleet);
  addRouterStates(input.membership, fleet);
  return fleet;
}

void MaintenanceService::addNodeStates(const RecoveryService& recovery,
                                       maintenance::FleetState& fleet) const {
  const auto observations = recovery.ownObservations();
  for (const auto& [id, listed] : transactions_.lastEndpointList()) {
    auto& node = fleet.nodes[id];
    node.group = listed.entry.group;
    node.isLive = listed.entry.health == Health::live;
    node.isPrimary = listed.entry.primary;
  }
  // Log positions advance with time: each observed position is extrapolated by the age of its observation.
  std::map<std::uint64_t, Instant> newestPositions;  // by group
  for (const auto& observation : observations)
    if (const auto node = fleet.nodes.find(observation.node);
        node != fleet.nodes.end() && observation.position) {
      auto& newest = newestPositions[node->second.group];
      newest = std::max(newest, *observation.position + observation.age);
    }
  for (const auto& observation : observations) {
    const auto found = fleet.nodes.find(observation.node);
    if (found == fleet.nodes.end()) continue;
    maintenance::NodeState& node = found->second;
    node.isServing = node.isLive && observation.age <= maintenance::kServingTimeout;
    if (observation.role != Role::unknown) node.isPrimary = observation.role == Role::primary;
    if (observation.position)
      node.replicationLag =
          std::max(Duration(), newestPositions[node.group] - (*observation.position + observation.age));
  }
}

void MaintenanceService::addRouterStates(const MembershipService& membership,
                                         maintenance::FleetState& fleet) const {
  const auto& view = membership.view();
  const std::size_t majority = maintenance::majorityOf(identity_.voters.size());
  for (const auto& name : view.routers()) {
    const auto member = view.memberState(name);
    auto& router = fleet.routers[name];
    router.isAlive = member.state == MembershipView::State::alive;
    router.wasRemoved = member.removedCount >= majority;
    router.isSilent = member.silentVoters.size() - member.removedCount >= majority;
    router.incarnation = member.incarnation;
    router.planVersion = member.progress.planVersion;
    router.drainedVersion = member.progress.drainedVersion;
    router.isVoter =
        std::find(identity_.voters.begin(), identity_.voters.end(), name) != identity_.voters.end();
  }
}

std::size_t MaintenanceService::countAliveVotersAhead(const MembershipService& membership) const {
  std::size_t alive = 0;
  for (maintenance::VoterIndex voter = 0; voter < *identity_.ownIndex; ++voter)
    alive += membership.view().memberState(identity_.voters[voter]).state == MembershipView::State::alive;
  return alive;
}

// Requests load reports from nodes of groups with unfinished maintenance. Only their own load reports show
// whether they serve.
void MaintenanceService::requestLoadReports(Instant now) {
  if (now - reportsRequestedAt_ < maintenance::kReportInterval) return;
  reportsRequestedAt_ = now;
  std::set<std::uint64_t> groups;
  for (const auto& machine : planView_.chosen().machines) {
    if (machine.phase == Phase::finished) continue;
    for (const auto& name : machine.nodes)
      if (const auto node = fleet_.nodes.find(name); node != fleet_.nodes.end())
        groups.insert(node->second.group);
  }
  for (const auto& [name, node] : fleet_.nodes)
    if (groups.contains(node.group) && node.isLive && !planView_.excludedNodes().contains(name))
      transactions_.requestLoadReport(name);
}

// --- Proposals

AcceptRequest MaintenanceService::propose(Instant now,
                                          const maintenance::ProposalRound::PreparedValue& prepared) {
  proposedChange_ = {};
  const maintenance::AcceptedValue& accepted = prepared.accepted;
  if (!prepared.isChosen) return {round_->propose(accepted.version, accepted.value)};
  maintenance::Plan plan = maintenance::readPlan(accepted.value);
  plan.version = accepted.version.version + 1;
  for (const auto& [id, request] : pendingRequests_)
    proposedChange_.answers.push_back(
        {id, maintenance::applyRequest(plan, id, request, fleet_, leader_.bounds())});
  const bool wasRequested = std::any_of(proposedChange_.answers.begin(), proposedChange_.answers.end(),
                                        [](const Answer& answer) { return answer.rejection.empty(); });
  // Starts from the value that is chosen now, which may be newer than the one chosen when the round began.
  proposedChange_.transitions = leader_.advance(now, plan, fleet_);
  proposedChange_.version = plan.version;
  if (!wasRequested && proposedChange_.transitions.empty())
    return {round_->propose(accepted.version, accepted.value)};
  return {
      round_->propose(maintenance::ValueVersion{plan.version, identity_.draw}, maintenance::encoded(plan))};
}

// Logs the transitions of a value that this router's round got chosen, and answers the requests in it.
void MaintenanceService::applyChosen() {
  if (!round_->takeChosen()) return;
  leader_.onChosen();
  observedAt_ = Instant();  // observe the fleet again, with the newly chosen plan
  for (const auto& transition : proposedChange_.transitions)
    log_("work.step",
         "machine=" + transition.machineName + " from=" + std::string(maintenance::nameOf(transition.from)) +
             " to=" + std::string(maintenance::nameOf(transition.to)) +
             " version=" + std::to_string(proposedChange_.version) + " reason=\"" + transition.reason + "\"");
  for (auto& answer : proposedChange_.answers) {
    std::erase_if(pendingRequests_,
                  [&](const PendingRequest& pending) { return pending.id == answer.requestId; });
    log_("work.requested",
         "request=" + answer.requestId +
             (answer.rejection.empty() ? " done" : " refused=\"" + answer.rejection + "\""));
    answers_.push_back(std::move(answer));
  }
  proposedChange_ = {};
}

// --- Turns

void MaintenanceService::excludeNodes(Instant now) {
  const bool hasLeaseChanged = !leaseRequiredNodes_.empty() && lease_.until() != leaseUntil_;
  if (planView_.excludedNodes() != excludedNodes_ || planView_.leaseRequiredNodes() != leaseRequiredNodes_ ||
      hasLeaseChanged) {
    excludedNodes_ = planView_.excludedNodes();
    leaseRequiredNodes_ = planView_.leaseRequiredNodes();
    leaseUntil_ = lease_.until();
    transactions_.excludeNodes(excludedNodes_, leaseRequiredNodes_, leaseUntil_);
  }
  if (drainedVersion_ < planVersion() &&
      (excludedNodes_.empty() || !transactions_.hasAttemptAt(excludedNodes_)))
    drainedVersion_ = planVersion();
  nextDue_ = !leaseRequiredNodes_.empty() && leaseUntil_ > now ? leaseUntil_ : Instant();
}

// Limited to one observation per interval, as a busy voter has many more turns than that.
void MaintenanceService::observeFleet(Instant now, const TurnInput& input) {
  if (observedAt_ != Instant() && now - observedAt_ < kObservationInterval) return;
  observedAt_ = now;
  fleet_ = fleetState(input);
  leader_.observe(now, planView_.chosen(), fleet_);
  isDue_ = leader_.isDue(now, planView_.chosen(), fleet_);
  isLeader_ = leader_.shouldLead(now, isDue_, countAliveVotersAhead(input.membership));
  if (isLeader_) requestLoadReports(now);
}

std::vector<PeerMessage> MaintenanceService::endTurn(Instant now, const TurnInput& input) {
  now_ = now;
  std::vector<PeerMessage> messages;
  excludeNodes(now);
  if (!round_) return messages;
  if (const auto prepared = round_->takePrepared()) messages.push_back(propose(now, *prepared));
  applyChosen();
  nextDue_ = earlierDue(nextDue_, round_->runTimers(now));
  const auto& machines = planView_.chosen().machines;
  const bool hasOpenMachines = std::any_of(
      machines.begin(), machines.end(), [](const auto& machine) { return machine.phase != Phase::finished; });
  // An incomplete acceptor starts a round to complete itself. Otherwise it might still be incomplete when a
  // second acceptor loses its state, and two of them would be too many.
  const bool mustComplete = input.mayVote && !acceptor_->isComplete();
  if (!hasOpenMachines && pendingRequests_.empty() && !mustComplete) {
    isLeader_ = isDue_ = false;
    return messages;
  }
  observeFleet(now, input);
  if (((isDue_ && isLeader_) || !pendingRequests_.empty() || mustComplete) && round_->begin(now))
    messages.push_back(PrepareRequest{round_->ballot()});
  nextDue_ = earlierDue(nextDue_, round_->runTimers(now));
  nextDue_ = earlierDue(nextDue_, observedAt_ + kObservationInterval);
  return messages;
}

std::optional<MaintenanceService::Announcement> MaintenanceService::takeAnnouncement() {
  if (std::exchange(announcedVersion_, planVersion()) == planVersion()) return std::nullopt;
  return Announcement{planVersion(), planView_.excludedNodes()};
}

std::string MaintenanceService::waitingFor(const maintenance::Machine& machine) const {
  return round_ ? leader_.waitingFor(now_, planView_.chosen(), machine, fleet_) : "";
}

}  // namespace gulltrestle::cluster
