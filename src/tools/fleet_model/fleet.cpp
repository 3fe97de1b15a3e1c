#include "tools/fleet_model/fleet.h"

#include <algorithm>
#include <string>

#include "recovery/admission_ramp.h"

namespace gulltrestle::fleet_model {

namespace {

// Any point in time will do; positions are Unix times, so it is a late one.
constexpr Instant kBegin = Instant::atMicros(1'700'000'000'000'000);
// The length of a step: a round of the module.
constexpr Duration kStep = Duration::millis(5);
// Rule 3: the grace after which nothing new may go to a node that was told to drain.
constexpr Duration kDrainGrace = Duration::millis(1000);
// A refusal was right if no replica could have begun the txn within this part of its latency target.
constexpr double kFreePart = 0.35;
// In windows of this many seconds with fewer txns the part that was committed says little.
constexpr double kWindow = 10, kFewest = 50;

RoutingConfig termsOf(const FleetParameters& sheet) {
  RoutingConfig terms;
  for (const auto& kind : sheet.kinds) terms.transactionClasses.push_back(kind.type);
  terms.roundInterval = kStep;
  terms.routerCount =
      static_cast<unsigned>(sheet.believedRouters > 0 ? sheet.believedRouters : sheet.routers);
  terms.slowStartFraction = sheet.believedWarm ? 1 : 0.2;
  terms.slowStartWindow = Duration::millis(10'000);
  terms.hedgingAllowed = terms.retryAfterAllowed = terms.sessionAgeProvided = true;
  terms.healthChecksAllowed = sheet.probes;
  terms.maxRetryAfter = Duration::millis(400);
  terms.maxAttempts = 4;
  terms.degradationEnabled = sheet.refusing != LoadShedding::byModule;
  return terms;
}

// Shares that differ by up to `uneven` times the mean, the first the largest.
std::vector<double> sharesOf(std::size_t count, double uneven) {
  std::vector<double> shares;
  for (std::size_t i = 0; i < count; ++i)
    shares.push_back(1 + uneven * (i % 7 == 0 ? 1.0 : static_cast<double>(i % 3) * 0.2));
  return shares;
}

std::size_t drawOf(const std::vector<double>& shares, std::mt19937_64& chance) {
  return std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(chance);
}

}  // namespace

// One router process: its ledger, levels and clients.
struct Fleet::Router final : transactions::DownstreamHandler,
                             transactions::UpstreamTransport,
                             transactions::AdmissionController {
  Router(Fleet& of, std::size_t index, unsigned ofStart)
      : fleet(of),
        number(index),
        start(ofStart),
        terms(termsOf(of.sheet_)),
        levels({}, of.sheet_.seed + index),
        ledger(terms, of.sheet_.seed * 1000 + index, 1 << 20, [] {}) {
    ledger.addTransport(*this);
    if (of.sheet_.refusing == LoadShedding::byLevels)
      ledger.enableDegradation(levels, degradation::defaultAdmissionTable(terms.transactionClasses),
                               [this](const degradation::Change&) { ++changes; });
    if (!of.sheet_.ramp) return;
    ramp.emplace(of.now_, terms.routerCount, recovery::AdmissionRamp::kInitialRatePerNode,
                 terms.maxRetryAfter, of.sheet_.seed * 1000 + index);
    ramp->setNodeCount(of.nodes_.all().size());
    ledger.setAdmissionController(this);
  }

  void committed(transactions::OwnerId owner, const transactions::ResultValue&) override {
    fleet.answered(*this, owner, true, false, {});
  }
  void rejected(transactions::OwnerId owner, Duration retryAfter, unsigned level) override {
    if (level > 0) fleet.judge(asked.at(owner).wish);
    fleet.answered(*this, owner, false, true, retryAfter);
  }
  void rolledBack(transactions::OwnerId owner) override { fleet.answered(*this, owner, false, false, {}); }
  void startAttempt(transactions::AttemptId job, const NodeId& node) override {
    fleet.carry(*this, job, node);
  }
  void cancelAttempt(transactions::AttemptId job, const NodeId& node) override {
    ledger.onAttemptEnded(job, node, AttemptOutcome::cancelled);
  }
  void onEndpointList(const std::vector<NodeId>&) override {}
  void forgetNode(const NodeId&) override {}
  std::optional<Duration> rejectsWithRetryAfter(GroupId, std::size_t) override {
    return ramp->rejectsWithRetryAfter(fleet.now_);
  }
  void onTransactionEnded(GroupId, std::size_t, const AdmittedResult& how) override {
    ramp->onTransactionEnded(fleet.now_, how.sent, how.committed && how.share <= 1);
  }
  void onLoadReport(const NodeId&, const LoadReport&) override {}
  void onNodeDisconnected(const NodeId&) override {}

  struct Asked {
    ClientRequest wish;
    Instant at;
    Instant need;  // what its session had committed when it asked
    TxnId txn;
  };
  Fleet& fleet;
  std::size_t number;
  unsigned start;
  RoutingConfig terms;
  degradation::DegradationController levels;
  transactions::TransactionTable ledger;
  std::optional<recovery::AdmissionRamp> ramp;
  Instant due;
  bool touched = true;
  unsigned changes = 0;
  std::map<transactions::OwnerId, Asked> asked;
  std::map<TxnId, transactions::OwnerId> owners;
  std::map<TxnId, unsigned> runs;  // of once-only txns
  transactions::OwnerId last = 0;
};

Fleet::Fleet(FleetParameters sheet)
    : sheet_(std::move(sheet)), chance_(sheet_.seed), begin_(kBegin), now_(kBegin), nodes_(sheet_.machines) {
  double work = 0, shares = 0;
  for (const auto& kind : sheet_.kinds) {
    work += kind.share * kind.work.inSeconds();
    shares += kind.share;
  }
  capacity_ = static_cast<double>(nodes_.all().size()) * shares / work;
  shares_ = sharesOf(sheet_.routers, sheet_.uneven);
  groupShares_ = sharesOf(sheet_.machines.groups, sheet_.uneven * 0.2);
  result_.kinds.resize(sheet_.kinds.size());
  last_ = nodes_.list(now_);
  routers_.resize(sheet_.routers);
  starts_.resize(sheet_.routers);
  for (std::size_t i = 0; i < routers_.size(); ++i) start(i);
}

Fleet::~Fleet() = default;

double Fleet::seconds() const { return (now_ - begin_).inSeconds(); }

bool Fleet::reaches(double at) const {
  return at >= 0 && seconds() >= at && seconds() - kStep.inSeconds() < at;
}

Second& Fleet::secondOf(Instant at) {
  const auto row = static_cast<std::size_t>((at - begin_).inSeconds());
  if (result_.seconds.size() <= row) result_.seconds.resize(row + 1);
  return result_.seconds[row];
}

// A router from nothing; what it had out goes on at the nodes, and is told to nobody.
void Fleet::start(std::size_t router) {
  if (routers_[router]) changesBefore_ += routers_[router]->changes;
  routers_[router] = std::make_unique<Router>(*this, router, ++starts_[router]);
  list(*routers_[router], last_);
}

// Its clients see their connections end, and ask elsewhere.
void Fleet::stop(std::size_t router) {
  changesBefore_ += routers_[router]->changes;
  for (const auto& [owner, asked] : routers_[router]->asked) {
    const bool once = sheet_.kinds[asked.wish.kind].type.effect == Effect::atMostOnce;
    if (sheet_.trouble.insist && !once) askAgain(asked.wish, sheet_.trouble.again);
  }
  routers_[router].reset();
}

void Fleet::publish() {
  published_.emplace(now_ + Duration::seconds(sheet_.trouble.listLate), nodes_.list(now_));
}

void Fleet::list(Router& router, const std::vector<transactions::ResolvedEndpoint>& list) {
  router.ledger.advanceTo(now_);
  router.ledger.onEndpointList(EndpointUpdateKind::snapshot, list);
  router.touched = true;
}

void Fleet::takeOut() {
  for (const auto& outage : sheet_.trouble.outages) {
    if (reaches(outage.leaves)) {
      nodes_.drain(now_, outage.node);
      publish();
    }
    if (!reaches(outage.off)) continue;
    const Instant back = now_ + Duration::seconds(outage.back - outage.off);
    lose(outage.node, back, {});
    publish();
  }
}

// Whoever had a connection sees it end.
void Fleet::lose(std::size_t node, Instant back, Duration logLost) {
  const auto connected = nodes_.all()[node].connections;
  nodes_.lose(now_, node, back, logLost);
  for (const auto& router : routers_)
    if (router && connected.contains(router->number * 1'000'000 + router->start)) {
      router->ledger.onNodeDisconnected(nodes_.all()[node].id);
      router->touched = true;
    }
  tellAt_.insert(back);
}

void Fleet::strike() {
  const FaultPlan& trouble = sheet_.trouble;
  takeOut();
  const auto backAt = [&](const FaultPlan::Loss& loss) {
    return now_ + Duration::seconds(std::uniform_real_distribution<>(loss.backFrom, loss.backTo)(chance_));
  };
  if (reaches(trouble.restartAt))
    for (std::size_t i = 0; i < routers_.size(); ++i) start(i);
  if (reaches(trouble.drainAt)) {
    nodes_.drain(now_, nodes_.all().size() - 1);
    publish();
  }
  if (reaches(trouble.nodesLost.at)) {
    for (std::size_t i = 0; i < nodes_.all().size(); ++i) {
      if (std::uniform_real_distribution<>()(chance_) >= trouble.nodesLost.part) continue;
      lose(i, backAt(trouble.nodesLost), trouble.logLost);
    }
    publish();
  }
  if (reaches(trouble.routersLost.at))
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      if (!routers_[i] || std::uniform_real_distribution<>()(chance_) >= trouble.routersLost.part) continue;
      stop(i);
      comeUp_.emplace(backAt(trouble.routersLost), i);
    }
  while (!comeUp_.empty() && comeUp_.begin()->first <= now_) {
    start(comeUp_.begin()->second);
    comeUp_.erase(comeUp_.begin());
  }
  if (!tellAt_.empty() && *tellAt_.begin() <= now_) {
    while (!tellAt_.empty() && *tellAt_.begin() <= now_) tellAt_.erase(tellAt_.begin());
    publish();
  }
  while (!published_.empty() && published_.begin()->first <= now_) {
    last_ = published_.begin()->second;
    published_.erase(published_.begin());
    for (auto& router : routers_)
      if (router) list(*router, last_);
  }
}

void Fleet::turn() {
  for (auto& router : routers_) {
    if (!router || (!router->touched && (router->due == Instant() || router->due > now_))) continue;
    router->touched = false;
    router->ledger.advanceTo(now_);
    router->due = router->ledger.endTurn();
    result_.mostLevel = std::max(result_.mostLevel, router->levels.stateOf(1).level);
  }
}

Result Fleet::run(double length, const std::function<double(double)>& demand) {
  std::deque<Instant> lately;  // changes of the first router's level
  unsigned level = 0;
  double windowFrom = 0;
  while (seconds() < length) {
    now_ = now_ + kStep;
    strike();
    if (seconds() - windowFrom >= kWindow) {
      if (window_.first >= kFewest) result_.worst = std::min(result_.worst, window_.second / window_.first);
      window_ = {};
      windowFrom = seconds();
    }
    while (!again_.empty() && again_.begin()->first <= now_) {
      const ClientRequest wish = again_.begin()->second;
      again_.erase(again_.begin());
      ask(wish);
    }
    std::poisson_distribution<int> arrivals(demand(seconds()) * capacity_ * kStep.inSeconds());
    for (int n = arrivals(chance_); n > 0; --n) ask();
    while (!ends_.empty() && ends_.top().at <= now_) {
      const AttemptEnd end = ends_.top();
      ends_.pop();
      finish(end);
    }
    turn();
    if (!routers_.front() || routers_.front()->levels.stateOf(1).level == level) continue;
    level = routers_.front()->levels.stateOf(1).level;
    result_.levels.emplace_back(seconds(), level);
    lately.push_back(now_);
    while (now_ - lately.front() > Duration::millis(60'000)) lately.pop_front();
    result_.mostAMinute = std::max(result_.mostAMinute, static_cast<unsigned>(lately.size()));
  }
  for (const auto& router : routers_) {
    if (!router) continue;
    result_.changes += router->changes;
    for (const auto& [owner, asked] : router->asked)
      result_.broken.unanswered +=
          now_ - asked.at > router->terms.transactionClasses[asked.wish.kind].deadline;
  }
  result_.changes += changesBefore_;
  result_.value = asked_ > 0 ? earned_ / asked_ : 0;
  result_.fellOver = nodes_.fellOver();
  return result_;
}

void Fleet::ask() {
  std::vector<double> shares;
  for (const auto& kind : sheet_.kinds) shares.push_back(kind.share);
  ClientRequest wish;
  wish.kind = drawOf(shares, chance_);
  if (groupShares_.size() > 1) wish.group = 1 + drawOf(groupShares_, chance_);
  wish.firstAt = now_;
  const double value = sheet_.kinds[wish.kind].type.priorityWeight;
  asked_ += value;
  result_.kinds[wish.kind].first += value;
  secondOf(now_).asked += value;
  ++secondOf(now_).txns;
  ++window_.first;
  ask(wish);
}

void Fleet::ask(ClientRequest wish) {
  std::size_t at = sheet_.uneven > 0 ? drawOf(shares_, chance_) : chance_() % routers_.size();
  const TransactionClass& type = sheet_.kinds[wish.kind].type;
  if (wish.session == 0 && (type.level == ReadLevel::session || type.level >= ReadLevel::write))
    wish.session = 1 + chance_() % sheet_.sessions;
  // Of clients whose router is down, each finds the next that is up.
  for (std::size_t n = 0; n < routers_.size() && !routers_[at]; ++n) at = (at + 1) % routers_.size();
  if (!routers_[at]) return askAgain(wish, sheet_.trouble.again);
  Router& router = *routers_[at];
  Transaction txn;
  txn.type = wish.kind;
  txn.group = wish.group;
  txn.remainingTime = sheet_.trouble.insist ? type.deadline - (now_ - wish.firstAt) : type.deadline;
  Router::Asked asked{wish, now_, {}, 0};
  if (wish.session > 0) {
    txn.session = wish.session;
    const auto commit = commits_.find(wish.session);
    if (commit != commits_.end()) asked.need = commit->second;
    txn.writeAge =
        commit == commits_.end() ? Duration() : std::max(now_ - commit->second, Duration::micros(1));
  }
  const transactions::OwnerId owner = ++router.last;
  router.ledger.advanceTo(now_);
  asked.txn = router.ledger.openTransaction(router, owner, router, txn, {});
  router.asked[owner] = asked;
  router.owners[asked.txn] = owner;
  router.touched = true;
}

// While there is time for it.
void Fleet::askAgain(ClientRequest wish, Duration after) {
  ++wish.tries;
  const Instant over = wish.firstAt + sheet_.kinds[wish.kind].type.deadline;
  if (now_ + after + kStep * 4 < over) again_.emplace(now_ + after, wish);
}

Instant Fleet::appliedBy(const NodeModel::Node& node) const {
  const FaultPlan& trouble = sheet_.trouble;
  const bool still =
      seconds() >= trouble.behindFrom && seconds() < trouble.behindTo && trouble.behindFrom >= 0;
  return nodes_.applied(now_, node,
                        still ? std::optional(begin_ + Duration::seconds(trouble.behindFrom)) : std::nullopt);
}

bool Fleet::isCut(const Router& router, std::size_t node) const {
  const auto& cut = sheet_.trouble.cut;
  if (seconds() < cut.from || seconds() >= cut.to) return false;
  return static_cast<double>(router.number % 100) < cut.routers * 100 &&
         static_cast<double>((node * 37) % 100) < cut.nodes * 100;
}

void Fleet::carry(Router& router, transactions::AttemptId job, const NodeId& id) {
  const std::size_t row = nodes_.at(id);
  const auto& node = nodes_.all()[row];
  AttemptEnd end{now_, router.number, router.start, job, row, node.starts, AttemptOutcome::committed};
  const bool isProbe = job.txn == 0;
  ++(isProbe ? secondOf(now_).probes : secondOf(now_).attempts);
  const auto* attempt = isProbe ? nullptr : router.ledger.attempt(job);
  if (isCut(router, row)) {
    end.at = attempt ? attempt->abandonAt : now_ + Duration::millis(1000);
    end.how = AttemptOutcome::timeout;
    return ends_.push(end);
  }
  if (node.draining && now_ - node.toldToDrain > kDrainGrace) ++result_.broken.drained;
  const Router::Asked* asked = isProbe ? nullptr : &router.asked.at(router.owners.at(job.txn));
  const auto work = [&] {
    return asked ? sheet_.kinds[asked->wish.kind].work * std::uniform_real_distribution<>(0.5, 1.5)(chance_)
                 : sheet_.machines.probe;
  };
  const auto served = nodes_.serve(now_, row, router.number * 1'000'000 + router.start, work);
  secondOf(now_).connections += served.connected;
  if (served.how == NodeModel::How::noConnection) router.ledger.onNodeDisconnected(id);
  if (served.how != NodeModel::How::served)
    return router.ledger.onAttemptEnded(
        job, id,
        served.how == NodeModel::How::rejected ? AttemptOutcome::rejected : AttemptOutcome::noConnection);
  end.at = served.end;
  ends_.push(end);
  if (!asked) return;
  const TrafficClass& kind = sheet_.kinds[asked->wish.kind];
  if (kind.type.effect == Effect::atMostOnce && ++router.runs[job.txn] > 1) ++result_.broken.twice;
  // What was asked of it when it was sent: a replica applies on while it waits, which only helps.
  const Instant applied = appliedBy(node);
  if (kind.type.level == ReadLevel::session && applied < asked->need) ++result_.broken.stale;
  if (kind.type.level == ReadLevel::bounded && applied < now_ - kind.type.maxStaleness)
    ++result_.broken.stale;
}

void Fleet::finish(const AttemptEnd& end) {
  if (!routers_[end.router] || end.start != routers_[end.router]->start) return;
  Router& router = *routers_[end.router];
  const auto& node = nodes_.all()[end.node];
  router.ledger.advanceTo(now_);
  router.touched = true;
  if (end.how != AttemptOutcome::committed) return router.ledger.onAttemptEnded(end.job, node.id, end.how);
  if (end.nodeStart != node.starts)
    return router.ledger.onAttemptEnded(end.job, node.id, AttemptOutcome::connectionLost);
  if (end.job.txn != 0 && router.ledger.isAnswerPending(end.job.txn)) router.ledger.commit(end.job.txn, {});
  const Instant told = appliedBy(node) - Duration::seconds(sheet_.trouble.newsLate);
  LoadReport said{node.primary ? Role::primary : Role::replica, told};
  if (sheet_.probes) said.inFlight = nodes_.inHand(now_, end.node);
  if (end.job.txn == 0)
    return router.ledger.onAttemptEnded(end.job, node.id, AttemptOutcome::committed, {}, said);
  router.ledger.onAttemptEnded(end.job, node.id, AttemptOutcome::committed, said,
                               sheet_.probes ? said : LoadReport());
}

void Fleet::answered(Router& router, transactions::OwnerId owner, bool committed, bool refused,
                     Duration retryAfter) {
  const auto asked = router.asked.extract(owner).mapped();
  const ClientRequest& wish = asked.wish;
  const TransactionClass& type = router.terms.transactionClasses[wish.kind];
  const FaultPlan& trouble = sheet_.trouble;
  const Instant since = trouble.insist ? wish.firstAt : asked.at;
  if (now_ - since > type.deadline) ++result_.broken.late;
  if (refused && type.effect == Effect::atMostOnce && router.runs.contains(asked.txn))
    ++result_.broken.refused;
  router.runs.erase(asked.txn);
  router.owners.erase(asked.txn);
  secondOf(now_).refused += refused;
  if (!committed && trouble.insist && (refused || type.effect == Effect::idempotent))
    askAgain(wish, trouble.heed ? std::max(retryAfter, trouble.again) : trouble.again);
  else if (refused && wish.tries < trouble.comeAgain)  // as another, with all of its time before it
    askAgain({wish.kind, wish.group, 0, now_ + kStep * 4, wish.tries}, kStep * 4);
  if (!committed) return;
  if (type.level >= ReadLevel::write) {
    Instant& last = commits_[wish.session];
    last = std::max(last, now_);
  }
  ++window_.second;
  const double earned =
      type.priorityWeight * (now_ - since <= type.latencyTarget ? 1 : type.lateValueFraction);
  earned_ += earned;
  result_.kinds[wish.kind].second += earned;
  Second& second = secondOf(wish.firstAt);
  second.earned += earned;
  ++second.committed;
  second.late += now_ - since > type.latencyTarget;
}

void Fleet::judge(const ClientRequest& wish) {
  const auto& nodes = nodes_.all();
  const bool free = std::any_of(nodes.begin(), nodes.end(), [&](const NodeModel::Node& node) {
    return node.group == wish.group && !node.primary && !node.draining &&
           node.busyUntil - now_ < sheet_.kinds[wish.kind].type.latencyTarget * kFreePart;
  });
  ++(free ? result_.wrong : result_.right);
}

}  // namespace gulltrestle::fleet_model
