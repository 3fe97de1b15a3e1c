#include "cluster/membership.h"

namespace gulltrestle::cluster {

using membership::Entry;
using membership::KeeperNumber;
using membership::Roll;
using membership::View;

namespace {

// In an answer to one beat, well below what a message may hold; the rest comes with the next ones.
constexpr std::size_t kMostReports = 256;

Instant earlier(Instant a, Instant b) {
  if (a == Instant()) return b;
  return b == Instant() ? a : std::min(a, b);
}

}  // namespace

Membership::Membership(Instant now, const std::set<std::string>& list, std::string name, std::uint64_t draw,
                       std::vector<std::string> keepers, std::optional<KeeperNumber> own,
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
  greeted(now, *own_, roll_->newest(name_));
}

// --- At the router

void Membership::greeted(Instant now, KeeperNumber keeper, const membership::Incarnation& newest) {
  up_.insert(keeper);
  entry_.greeted(now, keeper, newest);
  logEntry();
}

void Membership::entered(Instant now, KeeperNumber keeper, const membership::Incarnation& newest) {
  entry_.answered(now, keeper, newest);
  logEntry();
}

void Membership::reported(KeeperNumber keeper, const std::vector<membership::Report>& reports) {
  view_.told(keeper, reports);
  logSteps();
}

void Membership::lost(KeeperNumber keeper) {
  up_.erase(keeper);
  entry_.lost(keeper);
  view_.lost(keeper);
  logSteps();
}

std::vector<Membership::Word> Membership::turn(Instant now, const membership::Progress& progress) {
  if (roll_) {
    roll_->turn(now);
    roll_->heard(now, name_, entry_.incarnation().draw, progress);
    view_.told(*own_, roll_->since(ownTold_, kMostReports));
    logSteps();
  }
  std::vector<Word> words;
  const Instant entryDue = entry_.due(now);
  logEntry();
  for (const auto& [keeper, number] : entry_.takeWishes()) words.push_back({keeper, Enter{number}});
  if (beats_.due(now)) {
    ++beat_;
    for (const KeeperNumber keeper : up_)
      if (keeper != own_) words.push_back({keeper, Beat{beat_, progress}});
  }
  due_ = earlier(beats_.next(), entryDue);
  if (roll_) due_ = earlier(due_, now + Roll::kTurn);
  return words;
}

void Membership::logEntry() {
  if (logged_ == entry_.state()) return;
  logged_ = entry_.state();
  log_("members.entry", "state=" + std::string(nameOf(logged_)) +
                            " incarnation=" + std::to_string(entry_.incarnation().number));
}

void Membership::logSteps() {
  for (const auto& step : view_.takeSteps())
    log_(step.to == View::State::out ? "members.out" : "members.back",
         "router=" + step.router + " state=" + std::string(membership::nameOf(step.to)) +
             " incarnation=" + std::to_string(step.incarnation) +
             " silent_at=" + std::to_string(step.silentAt) + " of=" + std::to_string(keepers_.size()));
}

// --- At a keeper

Reports Membership::reportsFor(std::uint64_t stream) {
  return Reports{roll_->since(told_[stream], kMostReports), 0, false};
}

void Membership::list(Instant now, const std::set<std::string>& list) {
  if (roll_) roll_->list(now, list);
}

}  // namespace gulltrestle::cluster
