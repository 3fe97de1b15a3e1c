#include "model/fleet.h"

#include <algorithm>
#include <string>

namespace gulltrestle::model {

namespace {

// Any point in time will do; positions are Unix times, so it is a late one.
constexpr Instant kBegin = Instant::atMicros(1'700'000'000'000'000);
// The length of a step: a round of the module.
constexpr Span kStep = Span::millis(5);
// Rule 3: the grace after which nothing new may go to a node that was told to drain.
constexpr Span kDrainGrace = Span::millis(1000);
// A refusal was right if no replica could have begun the txn within this part of its SLA time.
constexpr double kFreePart = 0.35;
// In windows of this many seconds with fewer txns the part that was committed says little.
constexpr double kWindow = 10, kFewest = 50;

Terms termsOf(const Sheet& sheet) {
  Terms terms;
  for (const auto& kind : sheet.kinds) terms.types.push_back(kind.type);
  terms.roundLength = kStep;
  terms.routers = static_cast<unsigned>(sheet.routers);
  terms.coldShare = 0.2;
  terms.coldTime = Span::millis(10'000);
  terms.secondCopies = terms.comeBackAllowed = terms.sessionAgeCarried = true;
  terms.longestComeBack = Span::millis(400);
  terms.mostSubmissions = 4;
  terms.reducedByLevel = sheet.refusing != Refusing::byModule;
  return terms;
}

}  // namespace

// One router process: its ledger, levels and clients.
struct Fleet::Router final : core::Front, core::Carrier {
  Router(Fleet& of, std::size_t index)
      : fleet(of),
        number(index),
        terms(termsOf(of.sheet_)),
        levels({}, of.sheet_.seed + index),
        ledger(terms, of.sheet_.seed * 1000 + index, 1 << 20, [] {}) {
    ledger.add(*this);
    if (of.sheet_.refusing == Refusing::byLevels)
      ledger.reduceBy(levels, levels::tableOf(terms.types), [this](const levels::Change&) { ++changes; });
  }

  void committed(core::OwnerId owner, const core::Value&) override {
    fleet.answered(*this, owner, true, false);
  }
  void declined(core::OwnerId owner, Span, unsigned level) override {
    if (level > 0) fleet.judge(asked.at(owner).kind);
    fleet.answered(*this, owner, false, true);
  }
  void rolledBack(core::OwnerId owner) override { fleet.answered(*this, owner, false, false); }
  void carry(core::Job job, const NodeId& node) override { fleet.carry(*this, job, node); }
  void callOff(core::Job job, const NodeId& node) override { ledger.ended(job, node, End::calledOff); }
  void listed(const std::vector<NodeId>&) override {}
  void forget(const NodeId&) override {}

  struct Asked {
    std::size_t kind;
    Instant at;
    unsigned tries;
    std::uint64_t session;
    Instant need;  // what its session had committed when it asked
    TxnId txn;
  };
  Fleet& fleet;
  std::size_t number;
  Terms terms;
  levels::Levels levels;
  core::Ledger ledger;
  Instant due;
  bool touched = true;
  unsigned changes = 0, told = 0;
  std::map<core::OwnerId, Asked> asked;
  std::map<TxnId, core::OwnerId> owners;
  std::map<TxnId, unsigned> runs;  // of once-only txns
  core::OwnerId last = 0;
};

Fleet::Fleet(Sheet sheet) : sheet_(std::move(sheet)), chance_(sheet_.seed), begin_(kBegin), now_(kBegin) {
  double work = 0, shares = 0;
  for (const auto& kind : sheet_.kinds) {
    work += kind.share * kind.work.inSeconds();
    shares += kind.share;
  }
  capacity_ = static_cast<double>(sheet_.replicas + 1) * shares / work;
  for (std::size_t n = 0; n <= sheet_.replicas; ++n)
    nodes_.push_back({n == 0 ? "primary" : "replica-" + std::to_string(n), n == 0, false, {}, {}});
  routers_.resize(sheet_.routers);
  start();
}

Fleet::~Fleet() = default;

double Fleet::seconds() const { return (now_ - begin_).inSeconds(); }

// All routers from nothing; what they had out goes on at the nodes, and is told to nobody.
void Fleet::start() {
  ++starts_;
  for (std::size_t i = 0; i < routers_.size(); ++i) {
    if (routers_[i]) changesBefore_ += routers_[i]->changes;
    routers_[i] = std::make_unique<Router>(*this, i);
    list(*routers_[i]);
  }
}

void Fleet::list(Router& router) {
  std::vector<core::Addressed> all;
  for (const Node& node : nodes_) {
    ListEntry entry;
    entry.node = node.id;
    entry.group = 1;
    entry.primary = node.primary;
    entry.health = node.draining ? Health::draining : Health::live;
    all.push_back({entry, node.id});
  }
  router.ledger.see(now_);
  router.ledger.listed(ListKind::whole, all);
  router.touched = true;
}

Result Fleet::run(double length, const std::function<double(double)>& demand) {
  const Trouble& trouble = sheet_.trouble;
  const auto reaches = [&](double at) {
    return at >= 0 && seconds() >= at && seconds() - kStep.inSeconds() < at;
  };
  std::deque<Instant> lately;  // changes of the first router's level
  unsigned level = 0;
  double windowFrom = 0;
  while (seconds() < length) {
    now_ = now_ + kStep;
    if (reaches(trouble.restartAt)) start();
    if (reaches(trouble.drainAt)) {
      nodes_.back().draining = true;
      nodes_.back().toldToDrain = now_;
      for (auto& router : routers_) list(*router);
    }
    if (seconds() - windowFrom >= kWindow) {
      if (window_.first >= kFewest) result_.worst = std::min(result_.worst, window_.second / window_.first);
      window_ = {};
      windowFrom = seconds();
    }
    while (!again_.empty() && again_.front().at <= now_) {
      const Again next = again_.front();
      again_.pop_front();
      ask(next.kind, next.tries);
    }
    std::poisson_distribution<int> arrivals(demand(seconds()) * capacity_ * kStep.inSeconds());
    for (int n = arrivals(chance_); n > 0; --n) ask();
    while (!ends_.empty() && ends_.top().at <= now_) {
      const Ending end = ends_.top();
      ends_.pop();
      finish(end);
    }
    for (auto& router : routers_) {
      if (!router->touched && (router->due == Instant() || router->due > now_)) continue;
      router->touched = false;
      router->ledger.see(now_);
      router->due = router->ledger.endTurn();
      result_.mostLevel = std::max(result_.mostLevel, router->levels.of(1).level);
    }
    const Router& first = *routers_.front();
    if (first.levels.of(1).level == level) continue;
    level = first.levels.of(1).level;
    result_.levels.emplace_back(seconds(), level);
    lately.push_back(now_);
    while (now_ - lately.front() > Span::millis(60'000)) lately.pop_front();
    result_.mostAMinute = std::max(result_.mostAMinute, static_cast<unsigned>(lately.size()));
  }
  for (const auto& router : routers_) {
    result_.changes += router->changes;
    for (const auto& [owner, asked] : router->asked)
      result_.broken.unanswered += now_ - asked.at > router->terms.types[asked.kind].expiry;
  }
  result_.changes += changesBefore_;
  result_.value = asked_ > 0 ? earned_ / asked_ : 0;
  return result_;
}

void Fleet::ask() {
  std::vector<double> shares;
  for (const auto& kind : sheet_.kinds) shares.push_back(kind.share);
  const auto kind = std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(chance_);
  asked_ += sheet_.kinds[kind].type.value;
  ++window_.first;
  ask(kind, 0);
}

void Fleet::ask(std::size_t kind, unsigned tries) {
  Router& router = *routers_[chance_() % routers_.size()];
  const TxnType& type = router.terms.types[kind];
  Txn txn;
  txn.type = kind;
  txn.group = 1;
  txn.patience = type.expiry;
  Router::Asked asked{kind, now_, tries, 0, {}, 0};
  if (type.level == ReadLevel::session || type.level >= ReadLevel::write) {
    txn.session = asked.session = 1 + chance_() % sheet_.sessions;
    const auto commit = commits_.find(asked.session);
    if (commit != commits_.end()) asked.need = commit->second;
    txn.writeAge = commit == commits_.end() ? Span() : std::max(now_ - commit->second, Span::micros(1));
  }
  const core::OwnerId owner = ++router.last;
  router.ledger.see(now_);
  asked.txn = router.ledger.take(router, owner, router, txn, {});
  router.asked[owner] = asked;
  router.owners[asked.txn] = owner;
  router.touched = true;
}

Instant Fleet::appliedBy(const Node& node) const {
  if (node.primary) return now_;
  const Trouble& trouble = sheet_.trouble;
  const bool still =
      seconds() >= trouble.behindFrom && seconds() < trouble.behindTo && trouble.behindFrom >= 0;
  return (still ? begin_ + Span::seconds(trouble.behindFrom) : now_) - sheet_.lag;
}

void Fleet::carry(Router& router, core::Job job, const NodeId& id) {
  const auto node = std::find_if(nodes_.begin(), nodes_.end(), [&](const Node& n) { return n.id == id; });
  if (node->draining && now_ - node->toldToDrain > kDrainGrace) ++result_.broken.drained;
  const Instant begin = std::max(now_, node->busyUntil);
  if (begin - now_ > sheet_.queue) return router.ledger.ended(job, id, End::turnedAway);
  const auto owner = router.owners.find(job.txn);
  const auto asked = router.asked.find(owner->second);
  const Kind& kind = sheet_.kinds[asked->second.kind];
  node->busyUntil = begin + kind.work * std::uniform_real_distribution<>(0.5, 1.5)(chance_);
  if (kind.type.effect == Effect::onceOnly && ++router.runs[job.txn] > 1) ++result_.broken.twice;
  // What was asked of it when it was sent: a replica applies on while it waits, which only helps.
  const Instant applied = appliedBy(*node);
  if (kind.type.level == ReadLevel::session && applied < asked->second.need) ++result_.broken.stale;
  if (kind.type.level == ReadLevel::bounded && applied < now_ - kind.type.bound) ++result_.broken.stale;
  ends_.push({node->busyUntil, router.number, starts_, job, static_cast<std::size_t>(node - nodes_.begin())});
}

void Fleet::finish(const Ending& end) {
  if (end.start != starts_) return;
  Router& router = *routers_[end.router];
  const Node& node = nodes_[end.node];
  router.ledger.see(now_);
  router.touched = true;
  if (router.ledger.isOwed(end.job.txn)) router.ledger.commit(end.job.txn, {});
  const Instant told = appliedBy(node) - Span::seconds(sheet_.trouble.newsLate);
  router.ledger.ended(end.job, node.id, End::committed, {node.primary ? Role::primary : Role::replica, told});
}

void Fleet::answered(Router& router, core::OwnerId owner, bool committed, bool declined) {
  const auto asked = router.asked.extract(owner).mapped();
  const TxnType& type = router.terms.types[asked.kind];
  if (now_ - asked.at > type.expiry) ++result_.broken.late;
  if (declined && type.effect == Effect::onceOnly && router.runs.contains(asked.txn))
    ++result_.broken.declined;
  router.runs.erase(asked.txn);
  router.owners.erase(asked.txn);
  if (declined && asked.tries < sheet_.trouble.comeAgain)
    again_.push_back({now_ + kStep * 4, asked.kind, asked.tries + 1});
  if (!committed) return;
  if (type.level >= ReadLevel::write) {
    Instant& last = commits_[asked.session];
    last = std::max(last, now_);
  }
  ++window_.second;
  earned_ += type.value * (now_ - asked.at <= type.slaTime ? 1 : type.lateShare);
}

void Fleet::judge(std::size_t kind) {
  const bool free = std::any_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
    return !node.primary && !node.draining &&
           node.busyUntil - now_ < sheet_.kinds[kind].type.slaTime * kFreePart;
  });
  ++(free ? result_.wrong : result_.right);
}

}  // namespace gulltrestle::model
