#include "transactions/transaction_table.h"

#include <algorithm>
#include <utility>

namespace gulltrestle::transactions {

TransactionTable::TransactionTable(const RoutingConfig& terms, std::uint64_t seed, std::size_t mostBytes,
                                   std::function<void()> askForList)
    : router_(terms, seed),
      mostBytes_(mostBytes),
      mostOpen_(terms.maxOpenTransactions),
      askForList_(std::move(askForList)),
      nodes_(!terms.onlyDrainingExcludes),
      types_(terms.transactionClasses) {}

void TransactionTable::enableDegradation(degradation::DegradationController& levels,
                                         degradation::AdmissionTable table, DegradationListener changed) {
  levels_ = &levels;
  table_ = std::move(table);
  changed_ = std::move(changed);
}

// Ahead of any event: one that stood still sends nothing by what was true before.
void TransactionTable::advanceTo(Instant now) {
  now_ = std::max(now_, now);
  if (outFrom_ == Instant() || now_ < outFrom_) return;
  const std::set<NodeId> before = out_;
  out_.merge(outLater_);
  outLater_.clear();
  outFrom_ = Instant();
  keepOutAnew(before);
}

// --- Fronts

TxnId TransactionTable::openTransaction(DownstreamHandler& front, OwnerId owner, UpstreamTransport& carrier,
                                        Transaction txn, RequestMessage message, std::string_view id) {
  txn.id = ++lastTxn_;
  OpenTransaction& live = live_[txn.id];
  live.front = &front;
  live.owner = owner;
  live.carrier = &carrier;
  live.message = std::move(message);
  live.group = txn.group;
  live.type = txn.type;
  live.takenAt = now_;
  live.latencyTarget = std::max(types_.at(txn.type).latencyTarget, Duration::micros(1));
  heldBytes_ += live.message.bytes.size();
  if (!live.id().empty()) openIds_.insert(live.id());
  trace_.write([&] {
    return "event=txn.came id=" + std::string(live.id()) + " txn=" + std::to_string(txn.id) +
           " type=" + std::to_string(txn.type) + " group=" + std::to_string(txn.group) +
           " patience_ms=" + std::to_string(txn.remainingTime.inMicros() / 1000);
  });
  if (const auto after = door_ ? door_->rejectsWithRetryAfter(txn.group, txn.type) : std::nullopt) {
    // Not from within its front's call.
    rejected_.emplace_back(txn.id, *after);
    return txn.id;
  }
  live.admitted = door_ != nullptr;
  live.guarded = guard_ && types_.at(txn.type).effect == Effect::atMostOnce;
  if (txn.priorAttempts.ambiguousAttemptAge)
    live.earlierSentAt = now_ - *txn.priorAttempts.ambiguousAttemptAge;
  if (live.guarded) {
    live.waiting = txn;
    guard_->requestExecution(txn.id, id.empty() ? live.id() : id, txn.remainingTime);
  } else {
    arrived([txn](Router& router) { router.onTransaction(txn); });
  }
  return txn.id;
}

// --- The guard

void TransactionTable::admit(TxnId id) {
  OpenTransaction* live = owed(id);
  if (!live || !live->waiting) return;
  Transaction txn = *std::exchange(live->waiting, std::nullopt);
  // What waiting for the guard took is part of the client's time.
  const Duration waited = now_ - live->takenAt;
  txn.remainingTime = txn.remainingTime - waited;
  if (txn.maxHold) txn.maxHold = *txn.maxHold - waited;
  arrived([txn](Router& router) { router.onTransaction(txn); });
}

bool TransactionTable::stopWaiting(TxnId txn) {
  OpenTransaction* live = owed(txn);
  return live && std::exchange(live->waiting, std::nullopt).has_value();
}

void TransactionTable::answerCommitted(TxnId txn, const ResultValue& value) {
  const bool empty = std::all_of(value.begin(), value.end(), [](auto part) { return part.empty(); });
  if (!stopWaiting(txn)) return;
  traceAnswer(txn, "committed before, as the guard knows");
  finish(txn, [&](DownstreamHandler& f, OwnerId owner) {
    empty&& f.requiresValue() ? f.rolledBack(owner) : f.committed(owner, value);
  });
}

void TransactionTable::answerRejected(TxnId txn, Duration retryAfter) {
  if (!stopWaiting(txn)) return;
  traceAnswer(txn, "refused by the guard");
  finish(txn, [&](DownstreamHandler& f, OwnerId owner) { f.rejected(owner, retryAfter, 0); });
}

void TransactionTable::answerRolledBack(TxnId txn) {
  if (!stopWaiting(txn)) return;
  traceAnswer(txn, "rolled back by the guard");
  finish(txn, [&](DownstreamHandler& f, OwnerId owner) { f.rolledBack(owner); });
}

// Nothing that a proxy says of earlier tries elsewhere is taken for a proof that it never ran.
ExecutionOutcome TransactionTable::fateOf(const OpenTransaction& live) const {
  bool mayHaveRun = live.earlierSentAt != Instant();
  for (const Attempt& attempt : live.attempts) {
    if (attempt.outcome == AttemptOutcome::committed) return ExecutionOutcome::committed;
    mayHaveRun = mayHaveRun || transactions::mayHaveRun(attempt.outcome);
  }
  return mayHaveRun ? ExecutionOutcome::unknown : ExecutionOutcome::neverRan;
}

// --- Invariants

Instant TransactionTable::firstSentBefore(const OpenTransaction& live, unsigned attempt) const {
  Instant first = live.earlierSentAt;
  for (std::size_t i = 0; i < live.attempts.size(); ++i) {
    const Attempt& one = live.attempts[i];
    if (i == attempt || (one.hasEnded && !mayHaveRun(one.outcome))) continue;
    if (first == Instant() || one.sentAt < first) first = one.sentAt;
  }
  return first;
}

bool TransactionTable::maySend(AttemptId job, const NodeId& node, Duration told) {
  const Attempt* attempt = this->attempt(job);
  if (!attempt) return false;
  const OpenTransaction& live = live_.at(job.txn);
  const TransactionClass& type = types_.at(live.type);
  const invariants::Send send{now_, attempt->sendBy,       attempt->abandonAt,
                              told, live.front != nullptr, nodes_.isDraining(node)};
  const invariants::Repeat repeat{now_, type.effect, type.deduplicationWindow,
                                  firstSentBefore(live, job.attempt)};
  // What goes well is asked for each attempt: its subject is put together only where it is told.
  const auto subject = [&] { return "txn " + std::string(live.id()) + " to node " + node; };
  return invariants_.send(send, subject) && invariants_.repeat(repeat, subject);
}

// --- The trace

void TransactionTable::traceAnswer(TxnId txn, std::string_view answer, unsigned level) {
  const OpenTransaction* live = trace_.isOn() ? owed(txn) : nullptr;
  if (!live) return;
  trace_.write([&] {
    return "event=txn.answered id=" + std::string(live->id()) + " how=\"" + std::string(answer) + "\"" +
           " after_ms=" + std::to_string((now_ - live->takenAt).inMicros() / 1000) +
           " attempts=" + std::to_string(live->attempts.size()) +
           (level > 0 ? " level=" + std::to_string(level) : "");
  });
}

// --- The door

void TransactionTable::pass(OpenTransaction& live, bool committed) {
  if (door_ && std::exchange(live.admitted, false))
    door_->onTransactionEnded(live.group, live.type, {!live.attempts.empty(), committed, waitedShare(live)});
}

void TransactionTable::learnLoadReport(const NodeId& node, const LoadReport& standing) {
  arrived([=](Router& router) { router.onHealthCheckEnded(node, AttemptOutcome::committed, standing); });
}

// --- Fronts and carriers

void TransactionTable::leave(TxnId txn) {
  OpenTransaction* live = owed(txn);
  if (!live) return;
  traceAnswer(txn, "none, its client left");
  pass(*live, false);
  live->front = nullptr;
  if (!std::exchange(live->waiting, std::nullopt))
    arrived([txn](Router& router) { router.onClientLeft(txn); });
  withdrawAll(txn);
  forget(txn);
}

TransactionTable::OpenTransaction* TransactionTable::owed(TxnId txn) {
  const auto at = live_.find(txn);
  return at == live_.end() || !at->second.front ? nullptr : &at->second;
}

bool TransactionTable::isAnswerPending(TxnId txn) const {
  const auto at = live_.find(txn);
  return at != live_.end() && at->second.front;
}

// The txn's final answer goes to its owner.
template <typename Answer>
void TransactionTable::finish(TxnId txn, Answer answer) {
  OpenTransaction* live = owed(txn);
  if (!live) return;
  pass(*live, false);
  answer(*std::exchange(live->front, nullptr), live->owner);
  forget(txn);
}

// Guards against attempts that begin for nobody: one that waits for a connection, or is written in part,
// would go on as soon as it can, long after its txn has its answer or its client left. Hurts none: it has not
// run and no one waits for it.
void TransactionTable::withdrawAll(TxnId txn) {
  const auto at = live_.find(txn);
  if (at == live_.end()) return;
  UpstreamTransport& carrier = *at->second.carrier;
  std::vector<std::pair<AttemptId, NodeId>> out;
  for (std::size_t i = 0; i < at->second.attempts.size(); ++i)
    if (const Attempt& one = at->second.attempts[i]; !one.hasEnded)
      out.emplace_back(AttemptId{txn, static_cast<unsigned>(i)}, one.node);
  for (const auto& [job, node] : out) carrier.withdrawAttempt(job, node);
}

// What has its final answer is kept only while attempts of it are out.
void TransactionTable::forget(TxnId txn) {
  const auto at = live_.find(txn);
  if (at == live_.end() || at->second.front) return;
  const auto& all = at->second.attempts;
  if (!std::all_of(all.begin(), all.end(), [](auto& s) { return s.hasEnded; })) return;
  if (at->second.guarded && guard_) guard_->onTransactionEnded(txn, fateOf(at->second));
  heldBytes_ -= at->second.message.bytes.size();
  if (!at->second.id().empty()) openIds_.erase(at->second.id());
  live_.erase(at);
}

// --- Carriers

const TransactionTable::Attempt* TransactionTable::attempt(AttemptId job) const {
  const auto at = live_.find(job.txn);
  if (at == live_.end() || job.attempt >= at->second.attempts.size()) return nullptr;
  return &at->second.attempts[job.attempt];
}

void TransactionTable::commit(TxnId txn, const ResultValue& value) {
  if (const auto at = live_.find(txn); at != live_.end() && at->second.guarded && guard_)
    guard_->onCommitted(txn, value);
  if (OpenTransaction* live = owed(txn)) pass(*live, true);
  if (const OpenTransaction* live = owed(txn); live && levels_)
    levels_->recordAnswer(now_, live->group, live->type, waitedShare(*live));
  traceAnswer(txn, "committed");
  finish(txn, [&](DownstreamHandler& front, OwnerId owner) { front.committed(owner, value); });
  withdrawAll(txn);
}

void TransactionTable::onNodeDisconnected(const NodeId& node) {
  if (door_) door_->onNodeDisconnected(node);
  arrived([=](Router& router) { router.onNodeDisconnected(node); });
}

// The outcome of an attempt or a probe, told to the module.
void TransactionTable::onAttemptEnded(AttemptId job, const NodeId& node, AttemptOutcome how,
                                      const LoadReport& answer, const LoadReport& report) {
  if (door_ && how == AttemptOutcome::committed) door_->onLoadReport(node, job.txn == 0 ? report : answer);
  if (job.txn == 0) return arrived([=](Router& router) { router.onHealthCheckEnded(node, how, report); });
  const auto at = live_.find(job.txn);
  if (at == live_.end() || job.attempt >= at->second.attempts.size()) return;
  Attempt& attempt = at->second.attempts[job.attempt];
  if (std::exchange(attempt.hasEnded, true)) return;
  attempt.outcome = how;
  trace_.write([&] {
    return "event=attempt.ended id=" + std::string(at->second.id()) +
           " number=" + std::to_string(job.attempt) + " node=" + node + " how=" + std::string(nameOf(how)) +
           " after_ms=" + std::to_string((now_ - attempt.sentAt).inMicros() / 1000);
  });
  const Duration latency = now_ - attempt.sentAt;
  const bool txnOver = !at->second.front;
  arrived([=](Router& router) {
    router.onAttemptEnded(job.txn, job.attempt, node, how, txnOver, latency, answer, report);
  });
  forget(job.txn);
}

// --- Lists and turns

void TransactionTable::onEndpointList(EndpointUpdateKind kind, std::vector<ResolvedEndpoint> list,
                                      std::uint64_t version) {
  if (guard_) guard_->amendEndpointList(kind, version, list);
  if (guard_) {
    if (kind != EndpointUpdateKind::delta) last_.clear();
    for (const auto& entry : list) {
      if (entry.entry.health == Health::removed)
        last_.erase(entry.entry.node);
      else
        last_[entry.entry.node] = entry;
    }
    for (auto& [entry, address] : list)
      if (entry.health == Health::live && out_.contains(entry.node)) entry.health = Health::draining;
  }
  takeOver(kind, list);
}

void TransactionTable::excludeNodes(std::set<NodeId> now, std::set<NodeId> later, Instant from) {
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
void TransactionTable::keepOutAnew(const std::set<NodeId>& before) {
  if (out_ == before) return;
  std::vector<ResolvedEndpoint> changed;
  for (const auto& [id, entry] : last_) {
    if (entry.entry.health != Health::live || out_.contains(id) == before.contains(id)) continue;
    changed.push_back(entry);
    if (out_.contains(id)) changed.back().entry.health = Health::draining;
  }
  if (!changed.empty()) takeOver(EndpointUpdateKind::delta, changed);
}

bool TransactionTable::isDegraded() const {
  return std::any_of(reduced_.begin(), reduced_.end(), [](const auto& one) { return one.second.first > 0; });
}

bool TransactionTable::hasAttemptAt(const std::set<NodeId>& nodes) const {
  for (const auto& [txn, live] : live_)
    for (const auto& attempt : live.attempts)
      if (!attempt.hasEnded && nodes.contains(attempt.node)) return true;
  return false;
}

void TransactionTable::leave(const std::vector<NodeId>& nodes) {
  std::vector<ResolvedEndpoint> changed;
  for (const auto& id : nodes)
    if (const auto at = last_.find(id); at != last_.end() && at->second.entry.health == Health::live) {
      at->second.entry.health = Health::draining;
      changed.push_back(at->second);
    }
  if (!changed.empty()) takeOver(EndpointUpdateKind::delta, changed);
}

void TransactionTable::takeOver(EndpointUpdateKind kind, const std::vector<ResolvedEndpoint>& list) {
  const auto moved = nodes_.apply(kind, list);
  for (UpstreamTransport* carrier : carriers_) carrier->onEndpointList(moved);
  std::vector<EndpointEntry> entries;
  for (const auto& [entry, address] : list) entries.push_back(entry);
  arrived([=](Router& router) { router.onEndpointList(kind, entries); });
}

void TransactionTable::onEndpointListFailed() {
  arrived([](Router& router) { router.onEndpointListFailed(); });
}

// The levels decide anew, and the module is told what has changed.
void TransactionTable::reduce() {
  const auto part = [](std::size_t taken, std::size_t most) {
    return most > 0 ? static_cast<double>(taken) / static_cast<double>(most) : 0.0;
  };
  levels_->setOwnUtilization(std::max(part(live_.size(), mostOpen_), part(heldBytes_, mostBytes_)));
  for (const auto& change : levels_->decide(now_))
    if (changed_) changed_(change);
  const auto row = [&](degradation::Level level) {
    return level == 0 ? DegradationRules() : table_.at(level - 1);
  };
  std::erase_if(reduced_, [&](const auto& told) { return !levels_->states().contains(told.first); });
  for (const auto& [id, now] : levels_->states()) {
    auto& told = reduced_[id];
    if (told == std::pair(now.level, now.trial)) continue;
    told = {now.level, now.trial};
    arrived([id = id, level = row(now.level), below = row(now.level > 0 ? now.level - 1 : 0),
             trial = now.trial](Router& router) { router.setDegradation(id, level, below, trial); });
  }
}

Instant TransactionTable::endTurn() {
  // Long after the turn that was asked for: this process was held up, and measures its own delay.
  constexpr Duration kHeldUp = Duration::millis(50);
  if (levels_ && wakeAt_ != Instant() && now_ - wakeAt_ > kHeldUp) levels_->onProcessStalled(now_);
  for (const auto& [txn, after] : std::exchange(rejected_, {})) {
    traceAnswer(txn, "refused by the ramp of a start");
    finish(txn,
           [after = after](DownstreamHandler& front, OwnerId owner) { front.rejected(owner, after, 0); });
  }
  if (levels_ && (levels_->nextDue() == Instant() || now_ >= levels_->nextDue())) reduce();
  if (!arrivals_.empty() || (wakeAt_ != Instant() && wakeAt_ <= now_)) {
    if (wakeAt_ <= now_) wakeAt_ = Instant();
    router_.runRound(now_, *this, *this);
  }
  if (!arrivals_.empty()) return now_;
  const Instant due = levels_ ? levels_->nextDue() : Instant();
  return wakeAt_ == Instant() || (due != Instant() && due < wakeAt_) ? due : wakeAt_;
}

void TransactionTable::deliver(Router& router) {
  // What the module asks for meanwhile may end attempts at once: that is for the next round.
  for (const auto& call : std::exchange(arrivals_, {})) call(router);
}

void TransactionTable::sendAttempt(TxnId txn, const NodeId& node, Instant sendBy, Instant cutAt) {
  OpenTransaction* live = owed(txn);
  if (!live) return;
  const AttemptId job{txn, static_cast<unsigned>(live->attempts.size())};
  live->attempts.push_back({node, now_, sendBy, cutAt, false});
  trace_.write([&] {
    return "event=attempt.begun id=" + std::string(live->id()) + " number=" + std::to_string(job.attempt) +
           " node=" + node + " left_ms=" + std::to_string((cutAt - now_).inMicros() / 1000);
  });
  // Guards against a decision by a list that has not reached the module: nothing at all may go there. Hurts a
  // txn that no other node can take: it is decided anew, and may be refused.
  if (out_.contains(node)) return onAttemptEnded(job, node, AttemptOutcome::notSent);
  live->carrier->startAttempt(job, node);
}

void TransactionTable::cancel(TxnId txn, unsigned number) {
  const AttemptId job{txn, number};
  const Attempt* out = attempt(job);
  if (out && !out->hasEnded) live_.at(txn).carrier->cancelAttempt(job, NodeId(out->node));
}

void TransactionTable::reject(TxnId txn, Duration retryAfter) {
  unsigned level = 0;
  if (const OpenTransaction* live = owed(txn); live && levels_) {
    levels_->recordAbandoned(now_, live->group, live->type, waitedShare(*live));
    if (live->attempts.empty() && live->takenAt == now_) level = levels_->stateOf(live->group).level;
  }
  traceAnswer(txn, "refused", level);
  finish(txn, [&](DownstreamHandler& front, OwnerId owner) { front.rejected(owner, retryAfter, level); });
  withdrawAll(txn);
}

void TransactionTable::rollBack(TxnId txn) {
  if (const OpenTransaction* live = owed(txn); live && levels_)
    levels_->recordAbandoned(now_, live->group, live->type, waitedShare(*live));
  traceAnswer(txn, "rolled back");
  finish(txn, [&](DownstreamHandler& front, OwnerId owner) { front.rolledBack(owner); });
  withdrawAll(txn);
}

void TransactionTable::sendHealthCheck(const NodeId& node) {
  UpstreamTransport* by = prober_ ? prober_ : carriers_.empty() ? nullptr : carriers_.front();
  if (!by || out_.contains(node)) return onAttemptEnded({}, node, AttemptOutcome::notSent);
  by->startAttempt({}, node);
}

void TransactionTable::wakeAfter(Duration after) {
  const Instant at = now_ + after;
  if (wakeAt_ == Instant() || wakeAt_ <= now_ || at < wakeAt_) wakeAt_ = at;
}

void TransactionTable::followEndpointList() { askForList_(); }

void TransactionTable::forgetNode(const NodeId& node) {
  if (!nodes_.forget(node)) return;
  for (UpstreamTransport* carrier : carriers_) carrier->forgetNode(node);
}

}  // namespace gulltrestle::transactions
