#include "cluster/membership_service.h"

namespace gulltrestle::cluster {

using membership::FailureDetector;
using membership::JoinProtocol;
using membership::MembershipView;
using membership::VoterIndex;

namespace {

// In one heartbeat reply, well below what a message may hold; the rest follows with the next ones.
constexpr std::size_t kMaxReports = 256;

Instant earlier(Instant a, Instant b) {
  if (a == Instant()) return b;
  return b == Instant() ? a : std::min(a, b);
}

}  // namespace

MembershipService::MembershipService(Instant now, const std::set<std::string>& routers, std::string name,
                                     std::uint64_t draw, std::vector<std::string> voters,
                                     std::optional<VoterIndex> ownIndex,
                                     std::map<std::string, membership::Incarnation> stored, Log log)
    : name_(std::move(name)),
      voters_(std::move(voters)),
      ownIndex_(ownIndex),
      log_(std::move(log)),
      joinProtocol_(voters_.size(), draw),
      heartbeatTimer_(now, draw),
      view_(voters_.size()) {
  if (!ownIndex_) return;
  failureDetector_.emplace(now, routers, std::move(stored));
  onGreetingReply(now, *ownIndex_, failureDetector_->newestIncarnation(name_));
}

// --- At each router

void MembershipService::onGreetingReply(Instant now, VoterIndex voter,
                                        const membership::Incarnation& newest) {
  greetedVoters_.insert(voter);
  joinProtocol_.onNewestKnown(now, voter, newest);
  logJoinState();
}

void MembershipService::onJoinReply(Instant now, VoterIndex voter, const membership::Incarnation& newest) {
  joinProtocol_.onJoinReply(now, voter, newest);
  logJoinState();
}

void MembershipService::onLivenessReports(VoterIndex voter,
                                          const std::vector<membership::LivenessReport>& reports) {
  view_.onReports(voter, reports);
  logTransitions();
}

void MembershipService::onVoterLost(VoterIndex voter) {
  greetedVoters_.erase(voter);
  joinProtocol_.onVoterLost(voter);
  view_.onVoterLost(voter);
  logTransitions();
}

void MembershipService::detectFailures(Instant now, const membership::MemberProgress& progress) {
  failureDetector_->checkTimeouts(now);
  failureDetector_->onHeartbeat(now, name_, joinProtocol_.incarnation().draw, progress);
  view_.onReports(*ownIndex_, failureDetector_->reportsSince(ownReportedVersion_, kMaxReports));
  logTransitions();
}

std::vector<MembershipService::OutgoingMessage> MembershipService::endTurn(
    Instant now, const membership::MemberProgress& progress) {
  if (failureDetector_) detectFailures(now, progress);
  std::vector<OutgoingMessage> messages;
  const Instant joinDue = joinProtocol_.runTimers(now);
  logJoinState();
  for (const auto& [voter, number] : joinProtocol_.takeJoinRequests())
    messages.push_back({voter, JoinRequest{number}});
  if (heartbeatTimer_.isDue(now)) {
    ++heartbeatNumber_;
    for (const VoterIndex voter : greetedVoters_)
      if (voter != ownIndex_) messages.push_back({voter, Heartbeat{heartbeatNumber_, progress}});
  }
  nextDue_ = earlier(heartbeatTimer_.next(), joinDue);
  if (failureDetector_) nextDue_ = earlier(nextDue_, now + FailureDetector::kCheckInterval);
  return messages;
}

void MembershipService::logJoinState() {
  if (loggedState_ == joinProtocol_.state()) return;
  loggedState_ = joinProtocol_.state();
  log_("members.entry", "state=" + std::string(nameOf(loggedState_)) +
                            " incarnation=" + std::to_string(joinProtocol_.incarnation().number));
}

void MembershipService::logTransitions() {
  for (const auto& transition : view_.takeTransitions())
    log_(transition.to == MembershipView::State::dead ? "members.out" : "members.back",
         "router=" + transition.router + " state=" + std::string(membership::nameOf(transition.to)) +
             " incarnation=" + std::to_string(transition.incarnation) + " silent_at=" +
             std::to_string(transition.silentVoterCount) + " of=" + std::to_string(voters_.size()));
}

// --- At a voter

HeartbeatReply MembershipService::reportsFor(std::uint64_t stream) {
  return HeartbeatReply{failureDetector_->reportsSince(reportedVersions_[stream], kMaxReports), 0, false};
}

void MembershipService::setMembers(Instant now, const std::set<std::string>& routers) {
  if (failureDetector_) failureDetector_->setMembers(now, routers);
}

}  // namespace gulltrestle::cluster
