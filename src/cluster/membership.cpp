#include "cluster/membership.h"

namespace gulltrestle::cluster {

using membership::FailureDetector;
using membership::JoinProtocol;
using membership::MembershipView;
using membership::VoterIndex;

namespace {

// In an answer to one beat, well below what a message may hold; the rest comes with the next ones.
constexpr std::size_t kMostReports = 256;

Instant earlier(Instant a, Instant b) {
  if (a == Instant()) return b;
  return b == Instant() ? a : std::min(a, b);
}

}  // namespace

MembershipService::MembershipService(Instant now, const std::set<std::string>& list, std::string name,
                                     std::uint64_t draw, std::vector<std::string> keepers,
                                     std::optional<VoterIndex> own,
                                     std::map<std::string, membership::Incarnation> kept, Log log)
    : name_(std::move(name)),
      keepers_(std::move(keepers)),
      own_(own),
      log_(std::move(log)),
      entry_(keepers_.size(), draw),
      beats_(now, draw),
      view_(keepers_.size()) {
  if (!own_) return;
  roll_.emplace(now, list, std::move(kept));
  greeted(now, *own_, roll_->newestIncarnation(name_));
}

// --- At the router

void MembershipService::greeted(Instant now, VoterIndex keeper, const membership::Incarnation& newest) {
  up_.insert(keeper);
  entry_.onNewestKnown(now, keeper, newest);
  logEntry();
}

void MembershipService::entered(Instant now, VoterIndex keeper, const membership::Incarnation& newest) {
  entry_.onJoinReply(now, keeper, newest);
  logEntry();
}

void MembershipService::reported(VoterIndex keeper, const std::vector<membership::LivenessReport>& reports) {
  view_.onReports(keeper, reports);
  logSteps();
}

void MembershipService::lost(VoterIndex keeper) {
  up_.erase(keeper);
  entry_.onVoterLost(keeper);
  view_.onVoterLost(keeper);
  logSteps();
}

std::vector<MembershipService::Word> MembershipService::turn(Instant now,
                                                             const membership::MemberProgress& progress) {
  if (roll_) {
    roll_->checkTimeouts(now);
    roll_->onHeartbeat(now, name_, entry_.incarnation().draw, progress);
    view_.onReports(*own_, roll_->reportsSince(ownTold_, kMostReports));
    logSteps();
  }
  std::vector<Word> words;
  const Instant entryDue = entry_.runTimers(now);
  logEntry();
  for (const auto& [keeper, number] : entry_.takeJoinRequests())
    words.push_back({keeper, JoinRequest{number}});
  if (beats_.isDue(now)) {
    ++beat_;
    for (const VoterIndex keeper : up_)
      if (keeper != own_) words.push_back({keeper, Heartbeat{beat_, progress}});
  }
  due_ = earlier(beats_.next(), entryDue);
  if (roll_) due_ = earlier(due_, now + FailureDetector::kCheckInterval);
  return words;
}

void MembershipService::logEntry() {
  if (logged_ == entry_.state()) return;
  logged_ = entry_.state();
  log_("members.entry", "state=" + std::string(nameOf(logged_)) +
                            " incarnation=" + std::to_string(entry_.incarnation().number));
}

void MembershipService::logSteps() {
  for (const auto& step : view_.takeTransitions())
    log_(step.to == MembershipView::State::dead ? "members.out" : "members.back",
         "router=" + step.router + " state=" + std::string(membership::nameOf(step.to)) +
             " incarnation=" + std::to_string(step.incarnation) +
             " silent_at=" + std::to_string(step.silentAt) + " of=" + std::to_string(keepers_.size()));
}

// --- At a keeper

HeartbeatReply MembershipService::reportsFor(std::uint64_t stream) {
  return HeartbeatReply{roll_->reportsSince(told_[stream], kMostReports), 0, false};
}

void MembershipService::list(Instant now, const std::set<std::string>& list) {
  if (roll_) roll_->setMembers(now, list);
}

}  // namespace gulltrestle::cluster
