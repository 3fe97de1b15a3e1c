#include "cluster/membership_service.h"

#include "base/due_time.h"

namespace gulltrestle::cluster {

using membership::FailureDetector;
using membership::JoinProtocol;
using membership::MembershipView;
using membership::VoterIndex;

namespace {

// Maximum number of reports in a heartbeat reply, well below the message size limit. The next replies have
// the rest.
constexpr std::size_t kMaxReports = 256;

}  // namespace

MembershipService::MembershipService(Instant now, const std::set<std::string>& routers,
                                     RouterIdentity identity,
                                     std::map<std::string, membership::Incarnation> stored, Log log)
    : identity_(std::move(identity)),
      log_(std::move(log)),
      joinProtocol_(identity_.voters.size(), identity_.draw),
      heartbeatTimer_(now, identity_.draw),
      view_(identity_.voters.size()) {
  if (!identity_.ownIndex) return;
  failureDetector_.emplace(now, routers, std::move(stored));
  onGreetingReply(now, *identity_.ownIndex, failureDetector_->newestIncarnation(identity_.name));
}

// --- On every router

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
  failureDetector_->onHeartbeat(now, identity_.name, joinProtocol_.incarnation().draw, progress);
  view_.onReports(*identity_.ownIndex, failureDetector_->reportsSince(ownReportedVersion_, kMaxReports));
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
      if (voter != identity_.ownIndex) messages.push_back({voter, Heartbeat{heartbeatNumber_, progress}});
  }
  nextDue_ = earlierDue(heartbeatTimer_.next(), joinDue);
  if (failureDetector_) nextDue_ = earlierDue(nextDue_, now + FailureDetector::kCheckInterval);
  return messages;
}

void MembershipService::logJoinState() {
  if (loggedState_ == joinProtocol_.state()) return;
  loggedState_ = joinProtocol_.state();
  log_("members.join", "state=" + std::string(nameOf(loggedState_)) +
                           " incarnation=" + std::to_string(joinProtocol_.incarnation().number));
}

void MembershipService::logTransitions() {
  for (const auto& transition : view_.takeTransitions())
    log_(transition.to == MembershipView::State::dead ? "members.removed" : "members.alive",
         "router=" + transition.router + " state=" + std::string(membership::nameOf(transition.to)) +
             " incarnation=" + std::to_string(transition.incarnation) + " silent_at=" +
             std::to_string(transition.silentVoterCount) + " of=" + std::to_string(identity_.voters.size()));
}

// --- On a voter

HeartbeatReply MembershipService::reportsFor(PeerStreamId stream) {
  return HeartbeatReply{failureDetector_->reportsSince(reportedVersions_[stream], kMaxReports), 0, false};
}

void MembershipService::setMembers(Instant now, const std::set<std::string>& routers) {
  if (failureDetector_) failureDetector_->setMembers(now, routers);
}

}  // namespace gulltrestle::cluster
