#include "cluster/maintenance_service.h"

#include <algorithm>

#include "maintenance/scheduling.h"

namespace gulltrestle::cluster {

using maintenance::Acceptor;
using maintenance::Phase;
using membership::MembershipView;

namespace {

// How often the fleet is looked at where there is work; less than half of what a step is worth waiting for.
constexpr Duration kLook = Duration::millis(500);
// Requests that wait for a round.
constexpr std::size_t kMostAsks = 100;

}  // namespace

MaintenanceService::MaintenanceService(transactions::TransactionTable& ledger, Place place,
                                       std::uint64_t draw, const maintenance::Bounds& bounds,
                                       Duration mostRound, std::optional<std::pair<std::string, bool>> kept,
                                       Log log)
    : ledger_(ledger),
      place_(std::move(place)),
      draw_(draw),
      log_(std::move(log)),
      known_(place_.keepers.size()),
      lease_(place_.keepers.size()),
      foreman_(bounds),
      now_(ledger.now()) {
  if (!kept) return;
  acceptor_.emplace(kept->first, kept->second);
  round_.emplace(place_.keepers.size(), draw, mostRound);
  holds(*place_.own, acceptor_->accepted());
}

// --- At the router

void MaintenanceService::beats(Instant now, maintenance::VoterIndex keeper, std::uint64_t number) {
  lease_.onHeartbeatSent(now, keeper, number);
}

void MaintenanceService::answered(maintenance::VoterIndex keeper, const HeartbeatReply& reports) {
  if (reports.counts) lease_.onHeartbeatReply(keeper, reports.beat);
}

void MaintenanceService::answersItself(Instant now) {
  lease_.onHeartbeatSent(now, *place_.own, ++ownBeat_);
  lease_.onHeartbeatReply(*place_.own, ownBeat_);
}

void MaintenanceService::holds(maintenance::VoterIndex keeper, const maintenance::AcceptedValue& held) {
  if (held.version.version == 0) return;
  const maintenance::Plan before = known_.chosen();
  try {
    known_.onAccepted(keeper, held);
  } catch (const std::exception& bad) {
    return log_("work.unreadable", "keeper=" + place_.keepers.at(keeper) + " why=\"" + bad.what() + "\"");
  }
  const std::string version = " version=" + std::to_string(known_.chosen().version);
  for (const auto& m : known_.chosen().machines) {
    const maintenance::Machine* old = before.find(m.name);
    if (!old || old->phase != m.phase || old->request != m.request)
      log_("work.machine", "machine=" + m.name + " phase=" + std::string(maintenance::nameOf(m.phase)) +
                               version + " why=\"" + m.reason + "\"");
  }
}

bool MaintenanceService::takeEnd() {
  const bool ends = known_.isRouterDraining(place_.name);
  return ends && !std::exchange(endTold_, ends);
}

// --- At a keeper

MaintenanceService::Heard MaintenanceService::hear(const PeerMessage& word, bool counts) {
  Heard heard;
  if (!acceptor_ || !counts) return heard;
  if (const auto* read = std::get_if<PrepareRequest>(&word))
    heard.toDisk = acceptor_->prepare(read->ballot, heard.said);
  else if (const auto* write = std::get_if<AcceptRequest>(&word))
    heard.toDisk = acceptor_->accept(write->held, heard.said);
  return heard;
}

std::optional<Acceptor::AcceptorReply> MaintenanceService::wrote(bool durable) {
  const auto answer = acceptor_->onWritten(durable);
  holds(*place_.own, acceptor_->accepted());
  return answer;
}

void MaintenanceService::told(Instant now, maintenance::VoterIndex keeper,
                              const Acceptor::AcceptorReply& answer) {
  if (!round_) return;
  using Kind = Acceptor::AcceptorReply::Kind;
  if (answer.kind == Kind::promised) round_->onPromise(now, keeper, answer.ballot, answer.accepted);
  if (answer.kind == Kind::accepted) round_->onAccepted(now, keeper, answer.ballot);
  if (answer.kind == Kind::rejected) round_->onRejected(now, answer.ballot, answer.promised);
}

void MaintenanceService::asked(std::string request, maintenance::OperatorRequest ask) {
  if (!round_) return answers_.push_back({std::move(request), "this router is no keeper"});
  if (asks_.size() >= kMostAsks) return answers_.push_back({std::move(request), "too many requests wait"});
  asks_.emplace_back(std::move(request), std::move(ask));
}

// --- Turns

maintenance::FleetState MaintenanceService::factsOf(const MembershipService& membership,
                                                    const RecoveryService& service, bool strained) const {
  maintenance::FleetState facts;
  facts.isDegraded = strained;
  std::map<std::uint64_t, Instant> newest;
  const auto seen = service.firstHand();
  for (const auto& [id, listed] : ledger_.lastEndpointList()) {
    auto& node = facts.nodes[id];
    node.group = listed.entry.group;
    node.isLive = listed.entry.health == Health::live;
    node.isPrimary = listed.entry.primary;
  }
  // Positions as they were when the newest of the group was seen.
  for (const auto& one : seen)
    if (const auto at = facts.nodes.find(one.node); at != facts.nodes.end() && one.position) {
      auto& position = newest[at->second.group];
      position = std::max(position, *one.position + one.age);
    }
  for (const auto& one : seen) {
    const auto at = facts.nodes.find(one.node);
    if (at == facts.nodes.end()) continue;
    maintenance::NodeState& node = at->second;
    node.isServing = node.isLive && one.age <= maintenance::kServingTimeout;
    if (one.role != Role::unknown) node.isPrimary = one.role == Role::primary;
    if (one.position)
      node.replicationLag = std::max(Duration(), newest[node.group] - (*one.position + one.age));
  }
  const auto& view = membership.view();
  const std::size_t wanted = maintenance::majorityOf(place_.keepers.size());
  for (const auto& name : view.routers()) {
    const auto member = view.memberState(name);
    auto& router = facts.routers[name];
    router.isAlive = member.state == MembershipView::State::alive;
    router.wasRemoved = member.left >= wanted;
    router.isSilent = member.silent.size() - member.left >= wanted;
    router.incarnation = member.incarnation;
    router.planVersion = member.progress.planVersion;
    router.drainedVersion = member.progress.drainedVersion;
    router.isVoter = std::find(place_.keepers.begin(), place_.keepers.end(), name) != place_.keepers.end();
  }
  return facts;
}

std::size_t MaintenanceService::livingBefore(const MembershipService& membership) const {
  std::size_t before = 0;
  for (std::size_t k = 0; k < *place_.own; ++k)
    before += membership.view().memberState(place_.keepers[k]).state == MembershipView::State::alive;
  return before;
}

// Nodes of groups with work: whether they serve is known from their own word alone.
void MaintenanceService::askNodes(Instant now) {
  if (now - askedAt_ < maintenance::kReportInterval) return;
  askedAt_ = now;
  std::set<std::uint64_t> groups;
  for (const auto& m : known_.chosen().machines)
    if (m.phase != Phase::finished)
      for (const auto& name : m.nodes)
        if (const auto at = facts_.nodes.find(name); at != facts_.nodes.end())
          groups.insert(at->second.group);
  for (const auto& [name, node] : facts_.nodes)
    if (groups.contains(node.group) && node.isLive && !known_.excludedNodes().contains(name))
      ledger_.requestLoadReport(name);
}

// Kind was read, changed by all that waits, is to be written.
void MaintenanceService::change(Instant now, const maintenance::ProposalRound::PreparedValue& found,
                                std::vector<PeerMessage>& words) {
  proposed_ = {};
  const maintenance::AcceptedValue& read = found.accepted;
  if (!found.isChosen) return words.push_back(AcceptRequest{round_->propose(read.version, read.value)});
  maintenance::Plan plan = maintenance::readPlan(read.value);
  plan.version = read.version.version + 1;
  for (const auto& [request, ask] : asks_)
    proposed_.answers.push_back(
        {request, maintenance::applyRequest(plan, request, ask, facts_, foreman_.bounds())});
  const bool asked = std::any_of(proposed_.answers.begin(), proposed_.answers.end(),
                                 [](const auto& answer) { return answer.why.empty(); });
  // By what is settled now, not by what it was when the round began.
  proposed_.steps = foreman_.advance(now, plan, facts_);
  proposed_.version = plan.version;
  const bool changed = asked || !proposed_.steps.empty();
  words.push_back(
      AcceptRequest{round_->propose(changed ? maintenance::ValueVersion{plan.version, draw_} : read.version,
                                    changed ? maintenance::encoded(plan) : read.value)});
}

void MaintenanceService::settle() {
  const auto settled = round_->takeChosen();
  if (!settled) return;
  foreman_.onChosen();
  lookedAt_ = Instant();  // it is looked at anew by what is settled now
  for (const auto& step : proposed_.steps)
    log_("work.step", "machine=" + step.machineName + " from=" + std::string(maintenance::nameOf(step.from)) +
                          " to=" + std::string(maintenance::nameOf(step.to)) +
                          " version=" + std::to_string(proposed_.version) + " why=\"" + step.reason + "\"");
  for (auto& answer : proposed_.answers) {
    std::erase_if(asks_, [&](const auto& asked) { return asked.first == answer.request; });
    log_("work.asked",
         "request=" + answer.request + (answer.why.empty() ? " done" : " refused=\"" + answer.why + "\""));
    answers_.push_back(std::move(answer));
  }
  proposed_ = {};
}

std::vector<PeerMessage> MaintenanceService::turn(Instant now, const MembershipService& membership,
                                                  const RecoveryService& service, bool strained,
                                                  bool counts) {
  now_ = now;
  std::vector<PeerMessage> words;
  if (known_.excludedNodes() != outTold_ || known_.leaseRequiredNodes() != nextTold_ ||
      (!nextTold_.empty() && lease_.until() != untilTold_)) {
    outTold_ = known_.excludedNodes();
    nextTold_ = known_.leaseRequiredNodes();
    untilTold_ = lease_.until();
    ledger_.excludeNodes(outTold_, nextTold_, untilTold_);
  }
  if (clear_ < known() && (outTold_.empty() || !ledger_.hasAttemptAt(outTold_))) clear_ = known();
  due_ = nextTold_.empty() ? Instant() : untilTold_ > now ? untilTold_ : Instant();
  if (!round_) return words;
  const auto sooner = [&](Instant at) {
    if (at != Instant() && (due_ == Instant() || at < due_)) due_ = at;
  };
  if (const auto read = round_->takePrepared()) change(now, *read, words);
  settle();
  sooner(round_->runTimers(now));
  const bool isOpen = std::any_of(known_.chosen().machines.begin(), known_.chosen().machines.end(),
                                  [](const auto& m) { return m.phase != Phase::finished; });
  // One that learns brings itself up to date: two that forgot one after the other would be too many.
  const bool learns = counts && !acceptor_->isComplete();
  if (!isOpen && asks_.empty() && !learns) {
    foremanNow_ = isDue_ = false;
    return words;
  }
  // Not in each of a busy keeper's many turns.
  if (now - lookedAt_ >= kLook || lookedAt_ == Instant()) {
    lookedAt_ = now;
    facts_ = factsOf(membership, service, strained);
    foreman_.observe(now, known_.chosen(), facts_);
    isDue_ = foreman_.isDue(now, known_.chosen(), facts_);
    foremanNow_ = foreman_.shouldLead(now, isDue_, livingBefore(membership));
    if (foremanNow_) askNodes(now);
  }
  if (((isDue_ && foremanNow_) || !asks_.empty() || learns) && round_->begin(now))
    words.push_back(PrepareRequest{round_->ballot()});
  sooner(round_->runTimers(now));
  sooner(lookedAt_ + kLook);
  return words;
}

std::optional<std::pair<std::uint64_t, std::set<std::string>>> MaintenanceService::takeNews() {
  if (std::exchange(newsOf_, known()) == known()) return std::nullopt;
  return std::pair(known(), known_.excludedNodes());
}

std::string MaintenanceService::awaits(const maintenance::Machine& machine) const {
  return round_ ? foreman_.waitingFor(now_, known_.chosen(), machine, facts_) : "";
}

}  // namespace gulltrestle::cluster
