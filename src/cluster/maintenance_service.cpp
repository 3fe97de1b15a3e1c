#include "cluster/maintenance_service.h"

#include <algorithm>

#include "maintenance/scheduling.h"

namespace gulltrestle::cluster {

using maintenance::Acceptor;
using maintenance::Phase;
using membership::View;

namespace {

// How often the fleet is looked at where there is work; less than half of what a step is worth waiting for.
constexpr Span kLook = Span::millis(500);
// Requests that wait for a round.
constexpr std::size_t kMostAsks = 100;

}  // namespace

Worker::Worker(transactions::Ledger& ledger, Place place, std::uint64_t draw,
               const maintenance::Bounds& bounds, Span mostRound,
               std::optional<std::pair<std::string, bool>> kept, Log log)
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
  holds(*place_.own, acceptor_->held());
}

// --- At the router

void Worker::beats(Instant now, maintenance::KeeperNumber keeper, std::uint64_t number) {
  lease_.said(now, keeper, number);
}

void Worker::answered(maintenance::KeeperNumber keeper, const Reports& reports) {
  if (reports.counts) lease_.answered(keeper, reports.beat);
}

void Worker::answersItself(Instant now) {
  lease_.said(now, *place_.own, ++ownBeat_);
  lease_.answered(*place_.own, ownBeat_);
}

void Worker::holds(maintenance::KeeperNumber keeper, const maintenance::Held& held) {
  if (held.stamp.version == 0) return;
  const maintenance::Plan before = known_.settled();
  try {
    known_.told(keeper, held);
  } catch (const std::exception& bad) {
    return log_("work.unreadable", "keeper=" + place_.keepers.at(keeper) + " why=\"" + bad.what() + "\"");
  }
  const std::string version = " version=" + std::to_string(known_.settled().version);
  for (const auto& m : known_.settled().machines) {
    const maintenance::Machine* old = before.find(m.name);
    if (!old || old->phase != m.phase || old->order != m.order)
      log_("work.machine", "machine=" + m.name + " phase=" + std::string(maintenance::nameOf(m.phase)) +
                               version + " why=\"" + m.why + "\"");
  }
}

bool Worker::takeEnd() {
  const bool ends = known_.leaves(place_.name);
  return ends && !std::exchange(endTold_, ends);
}

// --- At a keeper

Worker::Heard Worker::hear(const Word& word, bool counts) {
  Heard heard;
  if (!acceptor_ || !counts) return heard;
  if (const auto* read = std::get_if<WorkRead>(&word))
    heard.toDisk = acceptor_->read(read->ballot, heard.said);
  else if (const auto* write = std::get_if<WorkWrite>(&word))
    heard.toDisk = acceptor_->write(write->held, heard.said);
  return heard;
}

std::optional<Acceptor::Answer> Worker::wrote(bool durable) {
  const auto answer = acceptor_->wrote(durable);
  holds(*place_.own, acceptor_->held());
  return answer;
}

void Worker::told(Instant now, maintenance::KeeperNumber keeper, const Acceptor::Answer& answer) {
  if (!round_) return;
  using What = Acceptor::Answer::What;
  if (answer.what == What::promised) round_->promised(now, keeper, answer.ballot, answer.held);
  if (answer.what == What::accepted) round_->accepted(now, keeper, answer.ballot);
  if (answer.what == What::refused) round_->refused(now, answer.ballot, answer.promised);
}

void Worker::asked(std::string request, maintenance::Ask ask) {
  if (!round_) return answers_.push_back({std::move(request), "this router is no keeper"});
  if (asks_.size() >= kMostAsks) return answers_.push_back({std::move(request), "too many requests wait"});
  asks_.emplace_back(std::move(request), std::move(ask));
}

// --- Turns

maintenance::Facts Worker::factsOf(const Membership& membership, const Service& service,
                                   bool strained) const {
  maintenance::Facts facts;
  facts.strained = strained;
  std::map<std::uint64_t, Instant> newest;
  const auto seen = service.firstHand();
  for (const auto& [id, listed] : ledger_.lastListed()) {
    auto& node = facts.nodes[id];
    node.group = listed.entry.group;
    node.live = listed.entry.health == Health::live;
    node.primary = listed.entry.primary;
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
    maintenance::NodeFact& node = at->second;
    node.serves = node.live && one.age <= maintenance::kHeard;
    if (one.role != Role::unknown) node.primary = one.role == Role::primary;
    if (one.position) node.behind = std::max(Span(), newest[node.group] - (*one.position + one.age));
  }
  const auto& view = membership.view();
  const std::size_t wanted = maintenance::majorityOf(place_.keepers.size());
  for (const auto& name : view.routers()) {
    const auto member = view.of(name);
    auto& router = facts.routers[name];
    router.lives = member.state == View::State::lives;
    router.left = member.left >= wanted;
    router.silent = member.silent.size() - member.left >= wanted;
    router.start = member.incarnation;
    router.known = member.progress.known;
    router.clear = member.progress.clear;
    router.keeper = std::find(place_.keepers.begin(), place_.keepers.end(), name) != place_.keepers.end();
  }
  return facts;
}

std::size_t Worker::livingBefore(const Membership& membership) const {
  std::size_t before = 0;
  for (std::size_t k = 0; k < *place_.own; ++k)
    before += membership.view().of(place_.keepers[k]).state == View::State::lives;
  return before;
}

// Nodes of groups with work: whether they serve is known from their own word alone.
void Worker::askNodes(Instant now) {
  if (now - askedAt_ < maintenance::kAsk) return;
  askedAt_ = now;
  std::set<std::uint64_t> groups;
  for (const auto& m : known_.settled().machines)
    if (m.phase != Phase::over)
      for (const auto& name : m.nodes)
        if (const auto at = facts_.nodes.find(name); at != facts_.nodes.end())
          groups.insert(at->second.group);
  for (const auto& [name, node] : facts_.nodes)
    if (groups.contains(node.group) && node.live && !known_.out().contains(name)) ledger_.ask(name);
}

// What was read, changed by all that waits, is to be written.
void Worker::change(Instant now, const maintenance::Round::Read& found, std::vector<Word>& words) {
  proposed_ = {};
  const maintenance::Held& read = found.held;
  if (!found.isSettled) return words.push_back(WorkWrite{round_->write(read.stamp, read.value)});
  maintenance::Plan plan = maintenance::readPlan(read.value);
  plan.version = read.stamp.version + 1;
  for (const auto& [request, ask] : asks_)
    proposed_.answers.push_back(
        {request, maintenance::carryOut(plan, request, ask, facts_, foreman_.bounds())});
  const bool asked = std::any_of(proposed_.answers.begin(), proposed_.answers.end(),
                                 [](const auto& answer) { return answer.why.empty(); });
  // By what is settled now, not by what it was when the round began.
  proposed_.steps = foreman_.advance(now, plan, facts_);
  proposed_.version = plan.version;
  const bool changed = asked || !proposed_.steps.empty();
  words.push_back(WorkWrite{round_->write(changed ? maintenance::Stamp{plan.version, draw_} : read.stamp,
                                          changed ? maintenance::encoded(plan) : read.value)});
}

void Worker::settle() {
  const auto settled = round_->takeSettled();
  if (!settled) return;
  foreman_.settled();
  lookedAt_ = Instant();  // it is looked at anew by what is settled now
  for (const auto& step : proposed_.steps)
    log_("work.step", "machine=" + step.machine + " from=" + std::string(maintenance::nameOf(step.from)) +
                          " to=" + std::string(maintenance::nameOf(step.to)) +
                          " version=" + std::to_string(proposed_.version) + " why=\"" + step.why + "\"");
  for (auto& answer : proposed_.answers) {
    std::erase_if(asks_, [&](const auto& asked) { return asked.first == answer.request; });
    log_("work.asked",
         "request=" + answer.request + (answer.why.empty() ? " done" : " refused=\"" + answer.why + "\""));
    answers_.push_back(std::move(answer));
  }
  proposed_ = {};
}

std::vector<Word> Worker::turn(Instant now, const Membership& membership, const Service& service,
                               bool strained, bool counts) {
  now_ = now;
  std::vector<Word> words;
  if (known_.out() != outTold_ || known_.next() != nextTold_ ||
      (!nextTold_.empty() && lease_.until() != untilTold_)) {
    outTold_ = known_.out();
    nextTold_ = known_.next();
    untilTold_ = lease_.until();
    ledger_.keepOut(outTold_, nextTold_, untilTold_);
  }
  if (clear_ < known() && (outTold_.empty() || !ledger_.isOutAt(outTold_))) clear_ = known();
  due_ = nextTold_.empty() ? Instant() : untilTold_ > now ? untilTold_ : Instant();
  if (!round_) return words;
  const auto sooner = [&](Instant at) {
    if (at != Instant() && (due_ == Instant() || at < due_)) due_ = at;
  };
  if (const auto read = round_->takeRead()) change(now, *read, words);
  settle();
  sooner(round_->due(now));
  const bool isOpen = std::any_of(known_.settled().machines.begin(), known_.settled().machines.end(),
                                  [](const auto& m) { return m.phase != Phase::over; });
  // One that learns brings itself up to date: two that forgot one after the other would be too many.
  const bool learns = counts && !acceptor_->isWhole();
  if (!isOpen && asks_.empty() && !learns) {
    foremanNow_ = isDue_ = false;
    return words;
  }
  // Not in each of a busy keeper's many turns.
  if (now - lookedAt_ >= kLook || lookedAt_ == Instant()) {
    lookedAt_ = now;
    facts_ = factsOf(membership, service, strained);
    foreman_.see(now, known_.settled(), facts_);
    isDue_ = foreman_.isDue(now, known_.settled(), facts_);
    foremanNow_ = foreman_.carriesOn(now, isDue_, livingBefore(membership));
    if (foremanNow_) askNodes(now);
  }
  if (((isDue_ && foremanNow_) || !asks_.empty() || learns) && round_->begin(now))
    words.push_back(WorkRead{round_->ballot()});
  sooner(round_->due(now));
  sooner(lookedAt_ + kLook);
  return words;
}

std::optional<std::pair<std::uint64_t, std::set<std::string>>> Worker::takeNews() {
  if (std::exchange(newsOf_, known()) == known()) return std::nullopt;
  return std::pair(known(), known_.out());
}

std::string Worker::awaits(const maintenance::Machine& machine) const {
  return round_ ? foreman_.awaits(now_, known_.settled(), machine, facts_) : "";
}

}  // namespace gulltrestle::cluster
