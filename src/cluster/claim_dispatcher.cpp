#include "cluster/claim_dispatcher.h"

#include <algorithm>

#include "cluster/chunks.h"

namespace gulltrestle::cluster {

using idempotency::Claimant;
using idempotency::Keeper;
using idempotency::Vote;

namespace {

// How often somebody who does not belong is logged.
constexpr Span kStrangersPause = Span::millis(1000);

std::vector<std::string> namesOf(const Setup& setup) {
  std::vector<std::string> names;
  for (const auto& keeper : setup.keepers) names.push_back(keeper.name);
  return names;
}
std::optional<idempotency::KeeperNumber> rowOf(const Setup& setup, const std::string& name) {
  for (std::size_t i = 0; i < setup.keepers.size(); ++i)
    if (setup.keepers[i].name == name) return i;
  return std::nullopt;
}
std::map<std::string, membership::Incarnation> membersOf(const std::optional<idempotency::Kept>& kept) {
  std::map<std::string, membership::Incarnation> members;
  if (kept)
    for (const auto& [router, start] : kept->members) members[router] = {start.number, start.draw};
  return members;
}

// As many as start together: the platform's settings may know of fewer.
Terms withRouters(Terms terms, std::size_t routers) {
  terms.routers = std::max(terms.routers, static_cast<unsigned>(routers));
  return terms;
}

std::string joined(const transactions::Value& value) {
  return std::string(value[0]).append(value[1]).append(value[2]);
}

}  // namespace

Desk::Desk(transactions::Ledger& ledger, const Terms& terms, const Setup& setup, const std::string& name,
           std::uint64_t draw, std::optional<idempotency::Kept> kept, Effects& effects)
    : ledger_(ledger),
      setup_(setup),
      name_(name),
      draw_(draw),
      effects_(effects),
      claimant_(setup.claimant, draw),
      service_(ledger, withRouters(terms, setup.routers.size()), setup.firstTxns, draw,
               [this](std::string_view event, const std::string& fields) { effects_.log(event, fields); }),
      own_(rowOf(setup, name)),
      membership_(ledger.now(), setup.routers, name, draw, namesOf(setup), own_, membersOf(kept),
                  [this](std::string_view event, const std::string& fields) { effects_.log(event, fields); }),
      worker_(ledger, {name, namesOf(setup), own_}, draw, setup.work, setup.mostRound,
              kept ? std::optional(std::pair(kept->work, kept->whole)) : std::nullopt,
              [this](std::string_view event, const std::string& fields) { effects_.log(event, fields); }) {
  force();
  if (kept) {
    for (const auto& [group, known] : kept->primaries) service_.knew({group, {known.first, known.second}});
    for (const auto& [node, known] : kept->nodes) leaving_.learn({node, known.first, known.second});
    keep(Nodes{});
  }
  if (kept) keeper_.emplace(ledger.now(), name, setup.keeper, std::move(*kept));
  // A disk that was lost says so from its first start on, also at the next one.
  if (keeper_ && !worker_.isWhole()) forgetWork();
}

// --- Streams of other routers

void Desk::said(StreamKey stream, std::string_view bytes) {
  try {
    const Word word = readWord(bytes);
    if (!keeper_) return effects_.refuse(stream, "this router is no keeper");
    if (const auto* hello = std::get_if<Hello>(&word)) return greet(stream, *hello);
    const auto speaker = speakers_.find(stream);
    if (speaker == speakers_.end()) return effects_.refuse(stream, "a greeting comes first");
    hear(stream, speaker->second, word);
  } catch (const Malformed& bad) { effects_.refuse(stream, bad.what()); }
}

void Desk::ended(StreamKey stream) {
  speakers_.erase(stream);
  membership_.ended(stream);
}

void Desk::greet(StreamKey stream, const Hello& hello) {
  if (!setup_.routers.contains(hello.router)) {
    logOnce("peers.stranger", "router=\"" + hello.router.substr(0, 40) + "\"");
    return effects_.refuse(stream, "this router is not on the list");
  }
  if (hello.keepers != setup_.list()) {
    logOnce("peers.other_list", "router=" + hello.router + " its=\"" + hello.keepers.substr(0, 200) +
                                    "\" ours=\"" + setup_.list() + "\"");
    return effects_.refuse(stream, "the lists of keepers differ");
  }
  speakers_[stream] = {hello.router, hello.draw};
  // Ahead of the greeting's answer, and so of any vote.
  for (const Nodes& some : slices(leaving_.all())) effects_.reply(stream, some);
  for (const Primaries& some : slices(service_.primaries())) effects_.reply(stream, some);
  for (const Seen& some : slices(service_.seen())) effects_.reply(stream, some);
  if (worker_.held().stamp.version > 0) effects_.reply(stream, WorkHeld{worker_.held()});
  Waiting waiting{Waiting::What::heard, stream, hello.keeper.number, hello.router, {}, {}};
  if (hello.keeper.number > 0) {
    const auto knew = keeper_->greeted(hello.router, hello.keeper);
    if (!knew) return effects_.refuse(stream, "the list of keepers before this one may still count");
    waiting.knew = *knew;
  }
  toDisk(std::move(waiting));
}

// --- Who speaks

void Desk::enter(StreamKey stream, const Speaker& speaker, std::uint64_t number) {
  membership_.roll()->enters(ledger_.now(), speaker.router, {number, speaker.draw});
  toDisk(Waiting{Waiting::What::enter, stream, 0, speaker.router, {}, {}});
}

void Desk::tellEntered(StreamKey stream, const std::string& router) {
  const auto newest = membership_.roll()->newest(router);
  if (stream == 0) return entered(*own_, newest);
  effects_.reply(stream, Entered{newest});
}

void Desk::entered(idempotency::KeeperNumber keeper, const membership::Incarnation& newest) {
  membership_.entered(ledger_.now(), keeper, newest);
  claimant_.reached(keeper, membership_.speaksAt(keeper));
}

// Whoever knocks again and again fills no log.
void Desk::logOnce(std::string_view event, const std::string& fields) {
  if (strangerAt_ != Instant() && ledger_.now() - strangerAt_ < kStrangersPause) return;
  strangerAt_ = ledger_.now();
  effects_.log(event, fields);
}

void Desk::hear(StreamKey stream, const Speaker& speaker, const Word& word) {
  const auto token = [&](std::uint64_t number) {
    return idempotency::Token{speaker.router, speaker.draw, number};
  };
  membership_.roll()->heard(
      ledger_.now(), speaker.router, speaker.draw,
      std::holds_alternative<Beat>(word) ? std::optional(std::get<Beat>(word).progress) : std::nullopt);
  const bool speaks = membership_.roll()->speaks(speaker.router, speaker.draw);
  if (const auto* wish = std::get_if<Enter>(&word)) return enter(stream, speaker, wish->number);
  if (const auto* beat = std::get_if<Beat>(&word)) {
    if (!speaks) return tellEntered(stream, speaker.router);
    Reports reports = membership_.reportsFor(stream);
    reports.beat = beat->number;
    reports.counts = worker_.isWhole() && keeper_->state() == Keeper::State::votes;
    return effects_.reply(stream, reports);
  }
  if (std::holds_alternative<WorkRead>(word) || std::holds_alternative<WorkWrite>(word))
    return speaks ? workOn(stream, word) : void();
  if (const auto* claim = std::get_if<Claim>(&word)) {
    if (!speaks) return give(stream, claim->number, Vote{});
    const auto vote = keeper_->claimed(ledger_.now(), claim->id, token(claim->number));
    if (vote) return give(stream, claim->number, *vote);
    return toDisk(Waiting{Waiting::What::vote, stream, claim->number, claim->id, token(claim->number), {}});
  }
  if (const auto* nodes = std::get_if<Nodes>(&word)) return learn(*nodes, speaker.router);
  if (const auto* primaries = std::get_if<Primaries>(&word)) return learn(*primaries);
  if (const auto* release = std::get_if<Release>(&word))
    keeper_->released(release->id, token(release->number));
  if (const auto* committed = std::get_if<Committed>(&word))
    keeper_->committed(ledger_.now(), committed->id, token(committed->number), committed->value);
  toDisk();
}

void Desk::give(StreamKey stream, std::uint64_t number, const Vote& vote) {
  if (stream == 0) return claimant_.voted(*own_, number, vote);
  effects_.reply(stream, VoteOf{number, vote});
}

// What the keeper has changed goes to disk; whoever waits is told once all up to here is durable.
void Desk::toDisk(std::optional<Waiting> waiting) {
  auto changes = keeper_->takeChanges();
  for (const auto& [router, start] : membership_.roll()->takeChanges())
    changes.push_back({Keeper::Change::What::member, router, {}, {start.number, start.draw}, false});
  if (waiting && waiting->what == Waiting::What::work)
    changes.push_back({Keeper::Change::What::work, worker_.text(), {}, {}, false});
  if (changes.empty() && !waiting) return;
  const Ticket ticket = effects_.write(std::move(changes));
  if (waiting) waiting_[ticket] = std::move(*waiting);
}

void Desk::wrote(Ticket ticket, bool durable) {
  const auto at = waiting_.find(ticket);
  if (at == waiting_.end()) return;
  const Waiting waiting = std::move(at->second);
  waiting_.erase(at);
  switch (waiting.what) {
    case Waiting::What::heard:
      // A start that is not durable here was not heard: the other asks again on its next connection.
      if (durable)
        return effects_.reply(waiting.stream,
                              Heard{waiting.number, waiting.knew, membership_.roll()->newest(waiting.id)});
      return effects_.refuse(waiting.stream, "the disk of this keeper fails");
    case Waiting::What::vote: {
      const auto vote = keeper_->written(waiting.id, waiting.token, durable);
      if (vote) give(waiting.stream, waiting.number, *vote);
      return;
    }
    case Waiting::What::enter:
      if (durable) return tellEntered(waiting.stream, waiting.id);
      if (waiting.stream == 0) return toDisk(waiting);
      return effects_.refuse(waiting.stream, "the disk of this keeper fails");
    case Waiting::What::work: {
      const maintenance::Held before = worker_.held();
      const auto answer = worker_.wrote(durable);
      // All learn of it ahead of the answer to any word that they say from here on.
      if (worker_.held() != before)
        for (const auto& [stream, speaker] : speakers_) effects_.reply(stream, WorkHeld{worker_.held()});
      if (answer) workSaid(waiting.stream, *answer);
      return;
    }
    case Waiting::What::hello:
      if (!durable) return toDisk(waiting);
      for (std::size_t i = 0; i < setup_.keepers.size(); ++i)
        if (i != own_) effects_.toKeeper(i, hello());
  }
}

// --- Streams to keepers

Word Desk::hello() const {
  return Hello{name_, setup_.list(), draw_, keeper_ ? keeper_->start() : idempotency::Start{}};
}

void Desk::replied(idempotency::KeeperNumber number, std::string_view bytes) {
  const Reply reply = readReply(bytes);
  const std::string& name = setup_.keepers.at(number).name;
  if (const auto* vote = std::get_if<VoteOf>(&reply)) {
    claimant_.voted(number, vote->number, vote->vote);
    return settle();
  }
  if (const auto* nodes = std::get_if<Nodes>(&reply)) return learn(*nodes, name);
  if (const auto* primaries = std::get_if<Primaries>(&reply)) return learn(*primaries);
  if (const auto* seen = std::get_if<Seen>(&reply)) return service_.told(name, *seen);
  if (const auto* answer = std::get_if<Entered>(&reply)) return entered(number, answer->newest);
  if (const auto* reports = std::get_if<Reports>(&reply)) {
    worker_.answered(number, *reports);
    return membership_.reported(number, reports->reports);
  }
  if (const auto* answer = std::get_if<WorkAnswer>(&reply))
    return worker_.told(ledger_.now(), number, answer->answer);
  if (const auto* holds = std::get_if<WorkHeld>(&reply)) return worker_.holds(number, holds->held);
  const auto& heard = std::get<Heard>(reply);
  membership_.greeted(ledger_.now(), number, heard.speaks);
  claimant_.reached(number, membership_.speaksAt(number));
  const bool isNew = std::exchange(heard_[number], name).empty();
  if (isNew)
    for (const Nodes& some : slices(leaving_.all())) effects_.toKeeper(number, some);
  if (isNew)
    for (const Primaries& some : slices(service_.primaries())) effects_.toKeeper(number, some);
  if (!isNew && !keeper_) return;
  effects_.log("peers.heard", "keeper=" + name +
                                  " reached=" + std::to_string(heard_.size() + own_.has_value()) +
                                  " of=" + std::to_string(setup_.keepers.size()));
  if (!keeper_ || !keeper_->heard(ledger_.now(), name, heard.number, heard.knew)) return logState();
  effects_.log("claims.disk_is_not_ours",
               "told_by=" + name + " knew_start=" + std::to_string(heard.knew.number));
  forgetWork();
  toDisk(Waiting{Waiting::What::hello, 0, 0, "", {}, {}});
  logState();
}

void Desk::lost(idempotency::KeeperNumber keeper) {
  claimant_.reached(keeper, false);
  membership_.lost(keeper);
  worker_.lost(keeper);
  if (heard_.erase(keeper) > 0)
    effects_.log("peers.lost", "keeper=" + setup_.keepers.at(keeper).name +
                                   " reached=" + std::to_string(heard_.size() + own_.has_value()) +
                                   " of=" + std::to_string(setup_.keepers.size()));
  settle();
}

// --- The ledger

void Desk::asked(TxnId txn, std::string_view id, Span patience) {
  claimant_.begin(ledger_.now(), txn, std::string(id), patience);
}

void Desk::commits(TxnId txn, const transactions::Value& value) { claimant_.commits(txn, joined(value)); }

void Desk::over(TxnId txn, transactions::Fate fate) {
  claimant_.over(txn, fate == transactions::Fate::committed  ? Claimant::Fate::committed
                      : fate == transactions::Fate::neverRan ? Claimant::Fate::neverRan
                                                             : Claimant::Fate::unknown);
}

void Desk::force() { service_.force(setup_.forced, setup_.forcedBy); }

void Desk::readAnew(const Setup& setup) {
  if (setup.list() != setup_.list())
    effects_.log("peers.waits_for_restart", "keys=\"keepers keepers_before\"");
  belong(setup.routers);
  setup_.forced = setup.forced;
  setup_.forcedBy = setup.forcedBy;
  force();
}

// Whoever is not on the list any more gets nothing from here on.
void Desk::belong(std::set<std::string> routers) {
  // Keepers change with a restart alone, and belong until then.
  for (const auto& keeper : setup_.keepers) routers.insert(keeper.name);
  if (routers == setup_.routers) return;
  std::size_t added = 0, left = 0;
  for (const auto& router : routers) added += !setup_.routers.contains(router);
  for (const auto& router : setup_.routers) left += !routers.contains(router);
  effects_.log("peers.list", "routers=" + std::to_string(routers.size()) + " added=" + std::to_string(added) +
                                 " left=" + std::to_string(left));
  setup_.routers = std::move(routers);
  membership_.list(ledger_.now(), setup_.routers);
  std::vector<StreamKey> gone;
  for (const auto& [stream, speaker] : speakers_)
    if (!setup_.routers.contains(speaker.router)) gone.push_back(stream);
  for (const StreamKey stream : gone) effects_.refuse(stream, "this router is not on the list any more");
}

// Words go out, also to this router's own keeper, which may answer at once.
void Desk::settle() {
  for (auto words = claimant_.takeWords(); !words.empty(); words = claimant_.takeWords())
    for (auto& word : words) {
      Word out = Claim{word.id, word.number};
      if (word.what == Claimant::Word::What::release) out = Release{word.id, word.number};
      if (word.what == Claimant::Word::What::committed)
        out = Committed{word.id, word.number, std::move(word.value)};
      if (word.keeper == own_)
        hear(0, {name_, draw_}, out);
      else
        effects_.toKeeper(word.keeper, out);
    }
}

void Desk::endTurn() {
  const Instant now = ledger_.now();
  Instant due = claimant_.due(now);
  const membership::Progress progress{service_.progress(), worker_.known(), worker_.clear()};
  for (const auto& [keeper, said] : membership_.turn(now, progress)) {
    if (const auto* beat = std::get_if<Beat>(&said)) worker_.beats(now, keeper, beat->number);
    std::visit(
        [&, to = keeper](const auto& word) {
          if (to == own_)
            hear(0, {name_, draw_}, word);
          else
            effects_.toKeeper(to, word);
        },
        said);
  }
  if (keeper_) {
    const Instant other = keeper_->due(now);
    if (due == Instant() || (other != Instant() && other < due)) due = other;
    toDisk();
    logState();
  }
  const auto confirmed = service_.endTurn(claimant_.reachable() * 2 > setup_.keepers.size());
  keep(confirmed);
  for (const Primaries& some : slices(confirmed))
    for (std::size_t i = 0; i < setup_.keepers.size(); ++i)
      if (i != own_) effects_.toKeeper(i, some);
  workTurn(now);
  for (const Instant other : {service_.nextDue(), membership_.nextDue(), worker_.nextDue()})
    if (due == Instant() || (other != Instant() && other < due)) due = other;
  due_ = due;
  settle();
  for (const auto& decision : claimant_.takeDecisions()) {
    using What = Claimant::Decision::What;
    switch (decision.what) {
      case What::admit:
        ledger_.admit(decision.txn);
        break;
      case What::committed:
        ledger_.answerCommitted(decision.txn, {decision.value, "", ""});
        break;
      case What::rollBack:
        ledger_.answerRolledBack(decision.txn);
        break;
      case What::refuse:
        ledger_.answerRefused(decision.txn, decision.comeBack);
    }
  }
  settle();
}

void Desk::logState() {
  if (!keeper_ || logged_ == keeper_->state()) return;
  logged_ = keeper_->state();
  std::string fields = "state=" + std::string(nameOf(keeper_->state())) +
                       " start=" + std::to_string(keeper_->start().number) +
                       " holds=" + std::to_string(keeper_->size());
  for (const auto& name : keeper_->unheard()) fields += " waits_for=" + name;
  if (keeper_->state() == Keeper::State::silent)
    fields += " for_ms=" + std::to_string(setup_.keeper.retention.inMicros() / 1000);
  effects_.log("claims.keeper", fields);
}

}  // namespace gulltrestle::cluster
