#include "transactions/transaction_table.h"

#include <algorithm>
#include <utility>

namespace gulltrestle::transactions {

Ledger::Ledger(const Terms& terms, std::uint64_t seed, std::size_t mostBytes,
               std::function<void()> askForList)
    : router_(terms, seed),
      mostBytes_(mostBytes),
      mostOpen_(terms.mostOpen),
      askForList_(std::move(askForList)),
      nodes_(!terms.onlyDrainingBinds),
      types_(terms.types) {}

void Ledger::reduceBy(degradation::Levels& levels, degradation::Table table, Changed changed) {
  levels_ = &levels;
  table_ = std::move(table);
  changed_ = std::move(changed);
}

// Ahead of any event: one that stood still sends nothing by what was true before.
void Ledger::see(Instant now) {
  now_ = std::max(now_, now);
  if (outFrom_ == Instant() || now_ < outFrom_) return;
  const std::set<NodeId> before = out_;
  out_.merge(outLater_);
  outLater_.clear();
  outFrom_ = Instant();
  keepOutAnew(before);
}

// --- Fronts

TxnId Ledger::take(Front& front, OwnerId owner, Carrier& carrier, Txn txn, Message message,
                   std::string_view id) {
  txn.id = ++lastTxn_;
  Live& live = live_[txn.id];
  live.front = &front;
  live.owner = owner;
  live.carrier = &carrier;
  live.message = std::move(message);
  live.group = txn.group;
  live.type = txn.type;
  live.takenAt = now_;
  live.latencyTarget = std::max(types_.at(txn.type).latencyTarget, Span::micros(1));
  heldBytes_ += live.message.bytes.size();
  if (!live.id().empty()) openIds_.insert(live.id());
  trace_.say([&] {
    return "event=txn.came id=" + std::string(live.id()) + " txn=" + std::to_string(txn.id) +
           " type=" + std::to_string(txn.type) + " group=" + std::to_string(txn.group) +
           " patience_ms=" + std::to_string(txn.patience.inMicros() / 1000);
  });
  if (const auto after = door_ ? door_->rejects(txn.group, txn.type) : std::nullopt) {
    // Not from within its front's call.
    rejected_.emplace_back(txn.id, *after);
    return txn.id;
  }
  live.admitted = door_ != nullptr;
  live.guarded = guard_ && types_.at(txn.type).effect == Effect::onceOnly;
  if (txn.earlier.mayHaveRunFor) live.earlierSentAt = now_ - *txn.earlier.mayHaveRunFor;
  if (live.guarded) {
    live.waiting = txn;
    guard_->asked(txn.id, id.empty() ? live.id() : id, txn.patience);
  } else {
    arrived([txn](Router& router) { router.taken(txn); });
  }
  return txn.id;
}

// --- The guard

void Ledger::admit(TxnId id) {
  Live* live = owed(id);
  if (!live || !live->waiting) return;
  Txn txn = *std::exchange(live->waiting, std::nullopt);
  // What waiting for the guard took is part of the client's time.
  const Span waited = now_ - live->takenAt;
  txn.patience = txn.patience - waited;
  if (txn.hold) txn.hold = *txn.hold - waited;
  arrived([txn](Router& router) { router.taken(txn); });
}

bool Ledger::stopWaiting(TxnId txn) {
  Live* live = owed(txn);
  return live && std::exchange(live->waiting, std::nullopt).has_value();
}

void Ledger::answerCommitted(TxnId txn, const Value& value) {
  const bool empty = std::all_of(value.begin(), value.end(), [](auto part) { return part.empty(); });
  if (!stopWaiting(txn)) return;
  traceAnswer(txn, "committed before, as the guard knows");
  finish(txn, [&](Front& f, OwnerId owner) {
    empty&& f.needsValue() ? f.rolledBack(owner) : f.committed(owner, value);
  });
}

void Ledger::answerRefused(TxnId txn, Span retryAfter) {
  if (!stopWaiting(txn)) return;
  traceAnswer(txn, "refused by the guard");
  finish(txn, [&](Front& f, OwnerId owner) { f.refused(owner, retryAfter, 0); });
}

void Ledger::answerRolledBack(TxnId txn) {
  if (!stopWaiting(txn)) return;
  traceAnswer(txn, "rolled back by the guard");
  finish(txn, [&](Front& f, OwnerId owner) { f.rolledBack(owner); });
}

// Nothing that a proxy says of earlier tries elsewhere is taken for a proof that it never ran.
Fate Ledger::fateOf(const Live& live) const {
  bool mayHaveRun = live.earlierSentAt != Instant();
  for (const Attempt& attempt : live.attempts) {
    if (attempt.how == End::committed) return Fate::committed;
    mayHaveRun = mayHaveRun || transactions::mayHaveRun(attempt.how);
  }
  return mayHaveRun ? Fate::unknown : Fate::neverRan;
}

// --- Invariants

Instant Ledger::firstSentBefore(const Live& live, unsigned attempt) const {
  Instant first = live.earlierSentAt;
  for (std::size_t i = 0; i < live.attempts.size(); ++i) {
    const Attempt& one = live.attempts[i];
    if (i == attempt || (one.over && !mayHaveRun(one.how))) continue;
    if (first == Instant() || one.sentAt < first) first = one.sentAt;
  }
  return first;
}

bool Ledger::maySend(Job job, const NodeId& node, Span told) {
  const Attempt* attempt = this->attempt(job);
  if (!attempt) return false;
  const Live& live = live_.at(job.txn);
  const TxnType& type = types_.at(live.type);
  const invariants::Send send{now_, attempt->sendBy,       attempt->cutAt,
                              told, live.front != nullptr, nodes_.leaving(node)};
  const invariants::Repeat repeat{now_, type.effect, type.referenceWindow,
                                  firstSentBefore(live, job.attempt)};
  // What goes well is asked for each attempt: its subject is put together only where it is told.
  const auto subject = [&] { return "txn " + std::string(live.id()) + " to node " + node; };
  return invariants_.send(send, subject) && invariants_.repeat(repeat, subject);
}

// --- The trace

void Ledger::traceAnswer(TxnId txn, std::string_view answer, unsigned level) {
  const Live* live = trace_.isOn() ? owed(txn) : nullptr;
  if (!live) return;
  trace_.say([&] {
    return "event=txn.answered id=" + std::string(live->id()) + " how=\"" + std::string(answer) + "\"" +
           " after_ms=" + std::to_string((now_ - live->takenAt).inMicros() / 1000) +
           " attempts=" + std::to_string(live->attempts.size()) +
           (level > 0 ? " level=" + std::to_string(level) : "");
  });
}

// --- The door

void Ledger::pass(Live& live, bool committed) {
  if (door_ && std::exchange(live.admitted, false))
    door_->passed(live.group, live.type, {!live.attempts.empty(), committed, waitedShare(live)});
}

void Ledger::learn(const NodeId& node, const Standing& standing) {
  arrived([=](Router& router) { router.probed(node, End::committed, standing); });
}

// --- Fronts and carriers

void Ledger::leave(TxnId txn) {
  Live* live = owed(txn);
  if (!live) return;
  traceAnswer(txn, "none, its client left");
  pass(*live, false);
  live->front = nullptr;
  if (!std::exchange(live->waiting, std::nullopt)) arrived([txn](Router& router) { router.clientLeft(txn); });
  withdrawAll(txn);
  forget(txn);
}

Ledger::Live* Ledger::owed(TxnId txn) {
  const auto at = live_.find(txn);
  return at == live_.end() || !at->second.front ? nullptr : &at->second;
}

bool Ledger::isOwed(TxnId txn) const {
  const auto at = live_.find(txn);
  return at != live_.end() && at->second.front;
}

// The txn's final answer goes to its owner.
template <typename Answer>
void Ledger::finish(TxnId txn, Answer answer) {
  Live* live = owed(txn);
  if (!live) return;
  pass(*live, false);
  answer(*std::exchange(live->front, nullptr), live->owner);
  forget(txn);
}

// Guards against attempts that begin for nobody: one that waits for a connection, or is written in part,
// would go on as soon as it can, long after its txn has its answer or its client left. Hurts none: it has not
// run and no one waits for it.
void Ledger::withdrawAll(TxnId txn) {
  const auto at = live_.find(txn);
  if (at == live_.end()) return;
  Carrier& carrier = *at->second.carrier;
  std::vector<std::pair<Job, NodeId>> out;
  for (std::size_t i = 0; i < at->second.attempts.size(); ++i)
    if (const Attempt& one = at->second.attempts[i]; !one.over)
      out.emplace_back(Job{txn, static_cast<unsigned>(i)}, one.node);
  for (const auto& [job, node] : out) carrier.withdraw(job, node);
}

// What has its final answer is kept only while attempts of it are out.
void Ledger::forget(TxnId txn) {
  const auto at = live_.find(txn);
  if (at == live_.end() || at->second.front) return;
  const auto& all = at->second.attempts;
  if (!std::all_of(all.begin(), all.end(), [](auto& s) { return s.over; })) return;
  if (at->second.guarded && guard_) guard_->over(txn, fateOf(at->second));
  heldBytes_ -= at->second.message.bytes.size();
  if (!at->second.id().empty()) openIds_.erase(at->second.id());
  live_.erase(at);
}

// --- Carriers

const Ledger::Attempt* Ledger::attempt(Job job) const {
  const auto at = live_.find(job.txn);
  if (at == live_.end() || job.attempt >= at->second.attempts.size()) return nullptr;
  return &at->second.attempts[job.attempt];
}

void Ledger::commit(TxnId txn, const Value& value) {
  if (const auto at = live_.find(txn); at != live_.end() && at->second.guarded && guard_)
    guard_->commits(txn, value);
  if (Live* live = owed(txn)) pass(*live, true);
  if (const Live* live = owed(txn); live && levels_)
    levels_->answered(now_, live->group, live->type, waitedShare(*live));
  traceAnswer(txn, "committed");
  finish(txn, [&](Front& front, OwnerId owner) { front.committed(owner, value); });
  withdrawAll(txn);
}

void Ledger::disconnected(const NodeId& node) {
  if (door_) door_->disconnected(node);
  arrived([=](Router& router) { router.disconnected(node); });
}

// The outcome of an attempt or a probe, told to the module.
void Ledger::ended(Job job, const NodeId& node, End how, const Standing& answer, const Standing& report) {
  if (door_ && how == End::committed) door_->told(node, job.txn == 0 ? report : answer);
  if (job.txn == 0) return arrived([=](Router& router) { router.probed(node, how, report); });
  const auto at = live_.find(job.txn);
  if (at == live_.end() || job.attempt >= at->second.attempts.size()) return;
  Attempt& attempt = at->second.attempts[job.attempt];
  if (std::exchange(attempt.over, true)) return;
  attempt.how = how;
  trace_.say([&] {
    return "event=attempt.ended id=" + std::string(at->second.id()) +
           " number=" + std::to_string(job.attempt) + " node=" + node + " how=" + std::string(nameOf(how)) +
           " after_ms=" + std::to_string((now_ - attempt.sentAt).inMicros() / 1000);
  });
  const Span latency = now_ - attempt.sentAt;
  const bool txnOver = !at->second.front;
  arrived([=](Router& router) {
    router.ended(job.txn, job.attempt, node, how, txnOver, latency, answer, report);
  });
  forget(job.txn);
}

// --- Lists and turns

void Ledger::listed(ListKind kind, std::vector<Addressed> list, std::uint64_t version) {
  if (guard_) guard_->listed(kind, version, list);
  if (guard_) {
    if (kind != ListKind::changes) last_.clear();
    for (const auto& entry : list) {
      if (entry.entry.health == Health::gone)
        last_.erase(entry.entry.node);
      else
        last_[entry.entry.node] = entry;
    }
    for (auto& [entry, address] : list)
      if (entry.health == Health::live && out_.contains(entry.node)) entry.health = Health::draining;
  }
  takeOver(kind, list);
}

void Ledger::keepOut(std::set<NodeId> now, std::set<NodeId> later, Instant from) {
  const std::set<NodeId> before = std::exchange(out_, std::move(now));
  outLater_ = std::move(later);
  outFrom_ = outLater_.empty() ? Instant() : from;
  // A lease that is over already, or was never had.
  if (!outLater_.empty() && from <= now_) {
    out_.merge(outLater_);
    outLater_.clear();
    outFrom_ = Instant();
  }
  keepOutAnew(before);
}

// Those that are kept out since, and those that are not any more, as the last list has them.
void Ledger::keepOutAnew(const std::set<NodeId>& before) {
  if (out_ == before) return;
  std::vector<Addressed> changed;
  for (const auto& [id, entry] : last_) {
    if (entry.entry.health != Health::live || out_.contains(id) == before.contains(id)) continue;
    changed.push_back(entry);
    if (out_.contains(id)) changed.back().entry.health = Health::draining;
  }
  if (!changed.empty()) takeOver(ListKind::changes, changed);
}

bool Ledger::isReduced() const {
  return std::any_of(reduced_.begin(), reduced_.end(), [](const auto& one) { return one.second.first > 0; });
}

bool Ledger::isOutAt(const std::set<NodeId>& nodes) const {
  for (const auto& [txn, live] : live_)
    for (const auto& attempt : live.attempts)
      if (!attempt.over && nodes.contains(attempt.node)) return true;
  return false;
}

void Ledger::leave(const std::vector<NodeId>& nodes) {
  std::vector<Addressed> changed;
  for (const auto& id : nodes)
    if (const auto at = last_.find(id); at != last_.end() && at->second.entry.health == Health::live) {
      at->second.entry.health = Health::draining;
      changed.push_back(at->second);
    }
  if (!changed.empty()) takeOver(ListKind::changes, changed);
}

void Ledger::takeOver(ListKind kind, const std::vector<Addressed>& list) {
  const auto moved = nodes_.listed(kind, list);
  for (Carrier* carrier : carriers_) carrier->listed(moved);
  std::vector<ListEntry> entries;
  for (const auto& [entry, address] : list) entries.push_back(entry);
  arrived([=](Router& router) { router.listed(kind, entries); });
}

void Ledger::listFailed() {
  arrived([](Router& router) { router.listFailed(); });
}

// The levels decide anew, and the module is told what has changed.
void Ledger::reduce() {
  const auto part = [](std::size_t taken, std::size_t most) {
    return most > 0 ? static_cast<double>(taken) / static_cast<double>(most) : 0.0;
  };
  levels_->own(std::max(part(live_.size(), mostOpen_), part(heldBytes_, mostBytes_)));
  for (const auto& change : levels_->decide(now_))
    if (changed_) changed_(change);
  const auto row = [&](degradation::Level level) { return level == 0 ? Reduction() : table_.at(level - 1); };
  std::erase_if(reduced_, [&](const auto& told) { return !levels_->all().contains(told.first); });
  for (const auto& [id, now] : levels_->all()) {
    auto& told = reduced_[id];
    if (told == std::pair(now.level, now.trial)) continue;
    told = {now.level, now.trial};
    arrived([id = id, level = row(now.level), below = row(now.level > 0 ? now.level - 1 : 0),
             trial = now.trial](Router& router) { router.reduced(id, level, below, trial); });
  }
}

Instant Ledger::endTurn() {
  // Long after the turn that was asked for: this process was held up, and measures its own delay.
  constexpr Span kHeldUp = Span::millis(50);
  if (levels_ && wakeAt_ != Instant() && now_ - wakeAt_ > kHeldUp) levels_->stoodStill(now_);
  for (const auto& [txn, after] : std::exchange(rejected_, {})) {
    traceAnswer(txn, "refused by the ramp of a start");
    finish(txn, [after = after](Front& front, OwnerId owner) { front.refused(owner, after, 0); });
  }
  if (levels_ && (levels_->nextDue() == Instant() || now_ >= levels_->nextDue())) reduce();
  if (!arrivals_.empty() || (wakeAt_ != Instant() && wakeAt_ <= now_)) {
    if (wakeAt_ <= now_) wakeAt_ = Instant();
    router_.round(now_, *this, *this);
  }
  if (!arrivals_.empty()) return now_;
  const Instant due = levels_ ? levels_->nextDue() : Instant();
  return wakeAt_ == Instant() || (due != Instant() && due < wakeAt_) ? due : wakeAt_;
}

void Ledger::deliver(Router& router) {
  // What the module asks for meanwhile may end attempts at once: that is for the next round.
  for (const auto& call : std::exchange(arrivals_, {})) call(router);
}

void Ledger::submit(TxnId txn, const NodeId& node, Instant sendBy, Instant cutAt) {
  Live* live = owed(txn);
  if (!live) return;
  const Job job{txn, static_cast<unsigned>(live->attempts.size())};
  live->attempts.push_back({node, now_, sendBy, cutAt, false});
  trace_.say([&] {
    return "event=attempt.begun id=" + std::string(live->id()) + " number=" + std::to_string(job.attempt) +
           " node=" + node + " left_ms=" + std::to_string((cutAt - now_).inMicros() / 1000);
  });
  // Guards against a decision by a list that has not reached the module: nothing at all may go there. Hurts a
  // txn that no other node can take: it is decided anew, and may be refused.
  if (out_.contains(node)) return ended(job, node, End::notSent);
  live->carrier->carry(job, node);
}

void Ledger::cancel(TxnId txn, unsigned number) {
  const Job job{txn, number};
  const Attempt* out = attempt(job);
  if (out && !out->over) live_.at(txn).carrier->cancel(job, NodeId(out->node));
}

void Ledger::refuse(TxnId txn, Span retryAfter) {
  unsigned level = 0;
  if (const Live* live = owed(txn); live && levels_) {
    levels_->gaveUp(now_, live->group, live->type, waitedShare(*live));
    if (live->attempts.empty() && live->takenAt == now_) level = levels_->of(live->group).level;
  }
  traceAnswer(txn, "refused", level);
  finish(txn, [&](Front& front, OwnerId owner) { front.refused(owner, retryAfter, level); });
  withdrawAll(txn);
}

void Ledger::rollBack(TxnId txn) {
  if (const Live* live = owed(txn); live && levels_)
    levels_->gaveUp(now_, live->group, live->type, waitedShare(*live));
  traceAnswer(txn, "rolled back");
  finish(txn, [&](Front& front, OwnerId owner) { front.rolledBack(owner); });
  withdrawAll(txn);
}

void Ledger::probe(const NodeId& node) {
  Carrier* by = prober_ ? prober_ : carriers_.empty() ? nullptr : carriers_.front();
  if (!by || out_.contains(node)) return ended({}, node, End::notSent);
  by->carry({}, node);
}

void Ledger::wakeAfter(Span after) {
  const Instant at = now_ + after;
  if (wakeAt_ == Instant() || wakeAt_ <= now_ || at < wakeAt_) wakeAt_ = at;
}

void Ledger::followList() { askForList_(); }

void Ledger::forget(const NodeId& node) {
  if (!nodes_.forget(node)) return;
  for (Carrier* carrier : carriers_) carrier->forget(node);
}

}  // namespace gulltrestle::transactions
