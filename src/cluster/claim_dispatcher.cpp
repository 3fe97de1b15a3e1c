#include "cluster/claim_dispatcher.h"

#include <algorithm>

#include "cluster/chunks.h"

namespace gulltrestle::cluster {

using idempotency::ClaimCoordinator;
using idempotency::Vote;
using idempotency::VotingMember;

namespace {

// How often somebody who does not belong is logged.
constexpr Duration kStrangersPause = Duration::millis(1000);

std::vector<std::string> namesOf(const ClusterConfig& setup) {
  std::vector<std::string> names;
  for (const auto& keeper : setup.voters) names.push_back(keeper.name);
  return names;
}
std::optional<idempotency::VoterIndex> rowOf(const ClusterConfig& setup, const std::string& name) {
  for (std::size_t i = 0; i < setup.voters.size(); ++i)
    if (setup.voters[i].name == name) return i;
  return std::nullopt;
}
std::map<std::string, membership::Incarnation> membersOf(
    const std::optional<idempotency::StoredState>& kept) {
  std::map<std::string, membership::Incarnation> members;
  if (kept)
    for (const auto& [router, start] : kept->members) members[router] = {start.number, start.draw};
  return members;
}

// As many as start together: the platform's settings may know of fewer.
RoutingConfig withRouters(RoutingConfig terms, std::size_t routers) {
  terms.routerCount = std::max(terms.routerCount, static_cast<unsigned>(routers));
  return terms;
}

std::string joined(const transactions::ResultValue& value) {
  return std::string(value[0]).append(value[1]).append(value[2]);
}

}  // namespace

ClaimDispatcher::ClaimDispatcher(transactions::TransactionTable& ledger, const RoutingConfig& terms,
                                 const ClusterConfig& setup, const std::string& name, std::uint64_t draw,
                                 std::optional<idempotency::StoredState> kept, Effects& effects)
    : ledger_(ledger),
      setup_(setup),
      name_(name),
      draw_(draw),
      effects_(effects),
      claimant_(setup.coordinator, draw),
      service_(ledger, withRouters(terms, setup.routers.size()), setup.firstTxns, draw,
               [this](std::string_view event, const std::string& fields) { effects_.log(event, fields); }),
      own_(rowOf(setup, name)),
      membership_(ledger.now(), setup.routers, name, draw, namesOf(setup), own_, membersOf(kept),
                  [this](std::string_view event, const std::string& fields) { effects_.log(event, fields); }),
      worker_(ledger, {name, namesOf(setup), own_}, draw, setup.work, setup.mostRound,
              kept ? std::optional(std::pair(kept->maintenance, kept->isComplete)) : std::nullopt,
              [this](std::string_view event, const std::string& fields) { effects_.log(event, fields); }) {
  force();
  if (kept) {
    for (const auto& [group, known] : kept->primaries) service_.knew({group, {known.first, known.second}});
    for (const auto& [node, known] : kept->nodes) leaving_.learn({node, known.first, known.second});
    keep(DrainUpdates{});
  }
  if (kept) keeper_.emplace(ledger.now(), name, setup.votingMember, std::move(*kept));
  // A disk that was lost says so from its first start on, also at the next one.
  if (keeper_ && !worker_.isWhole()) forgetWork();
}

// --- Streams of other routers

void ClaimDispatcher::onMessage(StreamKey stream, std::string_view bytes) {
  try {
    const PeerMessage word = readMessage(bytes);
    if (!keeper_) return effects_.rejectStream(stream, "this router is no keeper");
    if (const auto* hello = std::get_if<Greeting>(&word)) return greet(stream, *hello);
    const auto speaker = speakers_.find(stream);
    if (speaker == speakers_.end()) return effects_.rejectStream(stream, "a greeting comes first");
    hear(stream, speaker->second, word);
  } catch (const MalformedMessage& bad) { effects_.rejectStream(stream, bad.what()); }
}

void ClaimDispatcher::onStreamEnded(StreamKey stream) {
  speakers_.erase(stream);
  membership_.ended(stream);
}

void ClaimDispatcher::greet(StreamKey stream, const Greeting& hello) {
  if (!setup_.routers.contains(hello.router)) {
    logOnce("peers.stranger", "router=\"" + hello.router.substr(0, 40) + "\"");
    return effects_.rejectStream(stream, "this router is not on the list");
  }
  if (hello.keepers != setup_.list()) {
    logOnce("peers.other_list", "router=" + hello.router + " its=\"" + hello.keepers.substr(0, 200) +
                                    "\" ours=\"" + setup_.list() + "\"");
    return effects_.rejectStream(stream, "the lists of keepers differ");
  }
  speakers_[stream] = {hello.router, hello.draw};
  // Ahead of the greeting's answer, and so of any vote.
  for (const DrainUpdates& some : slices(leaving_.all())) effects_.reply(stream, some);
  for (const PrimaryUpdates& some : slices(service_.primaries())) effects_.reply(stream, some);
  for (const ObservationReport& some : slices(service_.seen())) effects_.reply(stream, some);
  if (worker_.held().version.version > 0) effects_.reply(stream, PlanUpdate{worker_.held()});
  PendingWrite waiting{PendingWrite::Kind::heard, stream, hello.keeper.number, hello.router, {}, {}};
  if (hello.keeper.number > 0) {
    const auto knew = keeper_->onGreeting(hello.router, hello.keeper);
    if (!knew) return effects_.rejectStream(stream, "the list of keepers before this one may still count");
    waiting.knew = *knew;
  }
  toDisk(std::move(waiting));
}

// --- Who speaks

void ClaimDispatcher::enter(StreamKey stream, const Peer& speaker, std::uint64_t number) {
  membership_.roll()->onJoinRequest(ledger_.now(), speaker.router, {number, speaker.draw});
  toDisk(PendingWrite{PendingWrite::Kind::enter, stream, 0, speaker.router, {}, {}});
}

void ClaimDispatcher::tellEntered(StreamKey stream, const std::string& router) {
  const auto newest = membership_.roll()->newestIncarnation(router);
  if (stream == 0) return entered(*own_, newest);
  effects_.reply(stream, JoinReply{newest});
}

void ClaimDispatcher::entered(idempotency::VoterIndex keeper, const membership::Incarnation& newest) {
  membership_.entered(ledger_.now(), keeper, newest);
  claimant_.setReachable(keeper, membership_.speaksAt(keeper));
}

// Whoever knocks again and again fills no log.
void ClaimDispatcher::logOnce(std::string_view event, const std::string& fields) {
  if (strangerAt_ != Instant() && ledger_.now() - strangerAt_ < kStrangersPause) return;
  strangerAt_ = ledger_.now();
  effects_.log(event, fields);
}

void ClaimDispatcher::hear(StreamKey stream, const Peer& speaker, const PeerMessage& word) {
  const auto token = [&](std::uint64_t number) {
    return idempotency::ClaimToken{speaker.router, speaker.draw, number};
  };
  membership_.roll()->onHeartbeat(ledger_.now(), speaker.router, speaker.draw,
                                  std::holds_alternative<Heartbeat>(word)
                                      ? std::optional(std::get<Heartbeat>(word).progress)
                                      : std::nullopt);
  const bool speaks = membership_.roll()->isCurrent(speaker.router, speaker.draw);
  if (const auto* wish = std::get_if<JoinRequest>(&word)) return enter(stream, speaker, wish->number);
  if (const auto* beat = std::get_if<Heartbeat>(&word)) {
    if (!speaks) return tellEntered(stream, speaker.router);
    HeartbeatReply reports = membership_.reportsFor(stream);
    reports.beat = beat->number;
    reports.counts = worker_.isWhole() && keeper_->state() == VotingMember::State::voting;
    return effects_.reply(stream, reports);
  }
  if (std::holds_alternative<PrepareRequest>(word) || std::holds_alternative<AcceptRequest>(word))
    return speaks ? workOn(stream, word) : void();
  if (const auto* claim = std::get_if<Claim>(&word)) {
    if (!speaks) return give(stream, claim->number, Vote{});
    const auto vote = keeper_->onClaim(ledger_.now(), claim->id, token(claim->number));
    if (vote) return give(stream, claim->number, *vote);
    return toDisk(
        PendingWrite{PendingWrite::Kind::vote, stream, claim->number, claim->id, token(claim->number), {}});
  }
  if (const auto* nodes = std::get_if<DrainUpdates>(&word)) return learn(*nodes, speaker.router);
  if (const auto* primaries = std::get_if<PrimaryUpdates>(&word)) return learn(*primaries);
  if (const auto* release = std::get_if<Release>(&word))
    keeper_->onReleased(release->id, token(release->number));
  if (const auto* committed = std::get_if<Committed>(&word))
    keeper_->onCommitted(ledger_.now(), committed->id, token(committed->number), committed->value);
  toDisk();
}

void ClaimDispatcher::give(StreamKey stream, std::uint64_t number, const Vote& vote) {
  if (stream == 0) return claimant_.onVote(*own_, number, vote);
  effects_.reply(stream, VoteReply{number, vote});
}

// Kind the keeper has changed goes to disk; whoever waits is told once all up to here is durable.
void ClaimDispatcher::toDisk(std::optional<PendingWrite> waiting) {
  auto changes = keeper_->takeChanges();
  for (const auto& [router, start] : membership_.roll()->takeChanges())
    changes.push_back(
        {VotingMember::DiskChange::Kind::member, router, {}, {start.number, start.draw}, false});
  if (waiting && waiting->what == PendingWrite::Kind::work)
    changes.push_back({VotingMember::DiskChange::Kind::work, worker_.text(), {}, {}, false});
  if (changes.empty() && !waiting) return;
  const Ticket ticket = effects_.write(std::move(changes));
  if (waiting) waiting_[ticket] = std::move(*waiting);
}

void ClaimDispatcher::onWritten(Ticket ticket, bool durable) {
  const auto at = waiting_.find(ticket);
  if (at == waiting_.end()) return;
  const PendingWrite waiting = std::move(at->second);
  waiting_.erase(at);
  switch (waiting.what) {
    case PendingWrite::Kind::heard:
      // A start that is not durable here was not heard: the other asks again on its next connection.
      if (durable)
        return effects_.reply(
            waiting.stream,
            GreetingReply{waiting.number, waiting.knew, membership_.roll()->newestIncarnation(waiting.id)});
      return effects_.rejectStream(waiting.stream, "the disk of this keeper fails");
    case PendingWrite::Kind::vote: {
      const auto vote = keeper_->onWritten(waiting.id, waiting.token, durable);
      if (vote) give(waiting.stream, waiting.number, *vote);
      return;
    }
    case PendingWrite::Kind::enter:
      if (durable) return tellEntered(waiting.stream, waiting.id);
      if (waiting.stream == 0) return toDisk(waiting);
      return effects_.rejectStream(waiting.stream, "the disk of this keeper fails");
    case PendingWrite::Kind::work: {
      const maintenance::AcceptedValue before = worker_.held();
      const auto answer = worker_.wrote(durable);
      // All learn of it ahead of the answer to any word that they say from here on.
      if (worker_.held() != before)
        for (const auto& [stream, speaker] : speakers_) effects_.reply(stream, PlanUpdate{worker_.held()});
      if (answer) workSaid(waiting.stream, *answer);
      return;
    }
    case PendingWrite::Kind::hello:
      if (!durable) return toDisk(waiting);
      for (std::size_t i = 0; i < setup_.voters.size(); ++i)
        if (i != own_) effects_.sendToVoter(i, greeting());
  }
}

// --- Streams to keepers

PeerMessage ClaimDispatcher::greeting() const {
  return Greeting{name_, setup_.list(), draw_, keeper_ ? keeper_->start() : idempotency::VoterIncarnation{}};
}

void ClaimDispatcher::onReply(idempotency::VoterIndex number, std::string_view bytes) {
  const PeerReply reply = readReply(bytes);
  const std::string& name = setup_.voters.at(number).name;
  if (const auto* vote = std::get_if<VoteReply>(&reply)) {
    claimant_.onVote(number, vote->number, vote->vote);
    return settle();
  }
  if (const auto* nodes = std::get_if<DrainUpdates>(&reply)) return learn(*nodes, name);
  if (const auto* primaries = std::get_if<PrimaryUpdates>(&reply)) return learn(*primaries);
  if (const auto* seen = std::get_if<ObservationReport>(&reply)) return service_.told(name, *seen);
  if (const auto* answer = std::get_if<JoinReply>(&reply)) return entered(number, answer->newest);
  if (const auto* reports = std::get_if<HeartbeatReply>(&reply)) {
    worker_.answered(number, *reports);
    return membership_.reported(number, reports->reports);
  }
  if (const auto* answer = std::get_if<ProposalReply>(&reply))
    return worker_.told(ledger_.now(), number, answer->answer);
  if (const auto* holds = std::get_if<PlanUpdate>(&reply)) return worker_.holds(number, holds->held);
  const auto& heard = std::get<GreetingReply>(reply);
  membership_.greeted(ledger_.now(), number, heard.speaks);
  claimant_.setReachable(number, membership_.speaksAt(number));
  const bool isNew = std::exchange(heard_[number], name).empty();
  if (isNew)
    for (const DrainUpdates& some : slices(leaving_.all())) effects_.sendToVoter(number, some);
  if (isNew)
    for (const PrimaryUpdates& some : slices(service_.primaries())) effects_.sendToVoter(number, some);
  if (!isNew && !keeper_) return;
  effects_.log("peers.heard", "keeper=" + name +
                                  " reached=" + std::to_string(heard_.size() + own_.has_value()) +
                                  " of=" + std::to_string(setup_.voters.size()));
  if (!keeper_ || !keeper_->onGreetingReply(ledger_.now(), name, heard.number, heard.knew)) return logState();
  effects_.log("claims.disk_is_not_ours",
               "told_by=" + name + " knew_start=" + std::to_string(heard.knew.number));
  forgetWork();
  toDisk(PendingWrite{PendingWrite::Kind::hello, 0, 0, "", {}, {}});
  logState();
}

void ClaimDispatcher::onVoterLost(idempotency::VoterIndex keeper) {
  claimant_.setReachable(keeper, false);
  membership_.lost(keeper);
  worker_.lost(keeper);
  if (heard_.erase(keeper) > 0)
    effects_.log("peers.lost", "keeper=" + setup_.voters.at(keeper).name +
                                   " reached=" + std::to_string(heard_.size() + own_.has_value()) +
                                   " of=" + std::to_string(setup_.voters.size()));
  settle();
}

// --- The ledger

void ClaimDispatcher::requestExecution(TxnId txn, std::string_view id, Duration patience) {
  claimant_.beginClaim(ledger_.now(), txn, std::string(id), patience);
}

void ClaimDispatcher::onCommitted(TxnId txn, const transactions::ResultValue& value) {
  claimant_.onCommitted(txn, joined(value));
}

void ClaimDispatcher::onTransactionEnded(TxnId txn, transactions::ExecutionOutcome fate) {
  claimant_.onTransactionEnded(
      txn, fate == transactions::ExecutionOutcome::committed  ? ClaimCoordinator::ExecutionOutcome::committed
           : fate == transactions::ExecutionOutcome::neverRan ? ClaimCoordinator::ExecutionOutcome::neverRan
                                                              : ClaimCoordinator::ExecutionOutcome::unknown);
}

void ClaimDispatcher::force() { service_.force(setup_.forced, setup_.forcedBy); }

void ClaimDispatcher::reloadConfig(const ClusterConfig& setup) {
  if (setup.list() != setup_.list())
    effects_.log("peers.waits_for_restart", "keys=\"keepers keepers_before\"");
  belong(setup.routers);
  setup_.forced = setup.forced;
  setup_.forcedBy = setup.forcedBy;
  force();
}

// Whoever is not on the list any more gets nothing from here on.
void ClaimDispatcher::belong(std::set<std::string> routers) {
  // Keepers change with a restart alone, and belong until then.
  for (const auto& keeper : setup_.voters) routers.insert(keeper.name);
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
  for (const StreamKey stream : gone)
    effects_.rejectStream(stream, "this router is not on the list any more");
}

// Words go out, also to this router's own keeper, which may answer at once.
void ClaimDispatcher::settle() {
  for (auto words = claimant_.takeMessages(); !words.empty(); words = claimant_.takeMessages())
    for (auto& word : words) {
      PeerMessage out = Claim{word.id, word.number};
      if (word.kind == ClaimCoordinator::ClaimMessage::Kind::release) out = Release{word.id, word.number};
      if (word.kind == ClaimCoordinator::ClaimMessage::Kind::committed)
        out = Committed{word.id, word.number, std::move(word.value)};
      if (word.voter == own_)
        hear(0, {name_, draw_}, out);
      else
        effects_.sendToVoter(word.voter, out);
    }
}

void ClaimDispatcher::endTurn() {
  const Instant now = ledger_.now();
  Instant due = claimant_.runTimers(now);
  const membership::MemberProgress progress{service_.progress(), worker_.known(), worker_.clear()};
  for (const auto& [keeper, said] : membership_.turn(now, progress)) {
    if (const auto* beat = std::get_if<Heartbeat>(&said)) worker_.beats(now, keeper, beat->number);
    std::visit(
        [&, to = keeper](const auto& word) {
          if (to == own_)
            hear(0, {name_, draw_}, word);
          else
            effects_.sendToVoter(to, word);
        },
        said);
  }
  if (keeper_) {
    const Instant other = keeper_->runTimers(now);
    if (due == Instant() || (other != Instant() && other < due)) due = other;
    toDisk();
    logState();
  }
  const auto confirmed = service_.endTurn(claimant_.reachable() * 2 > setup_.voters.size());
  keep(confirmed);
  for (const PrimaryUpdates& some : slices(confirmed))
    for (std::size_t i = 0; i < setup_.voters.size(); ++i)
      if (i != own_) effects_.sendToVoter(i, some);
  workTurn(now);
  for (const Instant other : {service_.nextDue(), membership_.nextDue(), worker_.nextDue()})
    if (due == Instant() || (other != Instant() && other < due)) due = other;
  due_ = due;
  settle();
  for (const auto& decision : claimant_.takeDecisions()) {
    using Kind = ClaimCoordinator::Decision::Kind;
    switch (decision.kind) {
      case Kind::admit:
        ledger_.admit(decision.txn);
        break;
      case Kind::committed:
        ledger_.answerCommitted(decision.txn, {decision.value, "", ""});
        break;
      case Kind::rollBack:
        ledger_.answerRolledBack(decision.txn);
        break;
      case Kind::reject:
        ledger_.answerRejected(decision.txn, decision.retryAfter);
    }
  }
  settle();
}

void ClaimDispatcher::logState() {
  if (!keeper_ || logged_ == keeper_->state()) return;
  logged_ = keeper_->state();
  std::string fields = "state=" + std::string(nameOf(keeper_->state())) +
                       " start=" + std::to_string(keeper_->start().number) +
                       " holds=" + std::to_string(keeper_->size());
  for (const auto& name : keeper_->unverifiedVoters()) fields += " waits_for=" + name;
  if (keeper_->state() == VotingMember::State::abstaining)
    fields += " for_ms=" + std::to_string(setup_.votingMember.retention.inMicros() / 1000);
  effects_.log("claims.keeper", fields);
}

}  // namespace gulltrestle::cluster
