#include "tools/fleet_model/fleet.h"

#include <algorithm>
#include <string>

#include "tools/fleet_model/fleet_router.h"

namespace gulltrestle::fleet_model {

namespace {

// Simulated time starts at a recent Unix time, as log positions are Unix times.
constexpr Instant kStartTime = Instant::atMicros(1'700'000'000'000'000);
// The committed fraction is measured per window. Windows with fewer transactions are skipped, because their
// fraction is not meaningful.
constexpr double kWindowSeconds = 10, kMinWindowTxns = 50;

// Returns relative shares between 1 and 1 + `imbalance`. The first one is the largest.
std::vector<double> sharesOf(std::size_t count, double imbalance) {
  std::vector<double> shares;
  for (std::size_t i = 0; i < count; ++i)
    shares.push_back(1 + imbalance * (i % 7 == 0 ? 1.0 : static_cast<double>(i % 3) * 0.2));
  return shares;
}

}  // namespace

RoutingConfig routingConfigOf(const FleetParameters& parameters) {
  RoutingConfig routing;
  for (const auto& trafficClass : parameters.trafficClasses)
    routing.transactionClasses.push_back(trafficClass.type);
  routing.roundInterval = kStep;
  routing.routerCount = static_cast<unsigned>(parameters.configuredRouters > 0 ? parameters.configuredRouters
                                                                               : parameters.routers);
  routing.slowStartFraction = parameters.assumesNodesWarm ? 1 : 0.2;
  routing.slowStartWindow = Duration::millis(10'000);
  routing.hedgingAllowed = routing.retryAfterAllowed = routing.sessionAgeProvided = true;
  routing.healthChecksAllowed = parameters.allowsHealthChecks;
  routing.maxRetryAfter = Duration::millis(400);
  routing.maxAttempts = 4;
  routing.degradationEnabled = parameters.loadShedding != LoadShedding::byModule;
  return routing;
}

Fleet::Fleet(FleetParameters parameters)
    : parameters_(std::move(parameters)),
      random_(parameters_.seed),
      startTime_(kStartTime),
      now_(kStartTime),
      nodes_(parameters_.nodeParameters) {
  double work = 0, shares = 0;
  for (const auto& trafficClass : parameters_.trafficClasses) {
    work += trafficClass.share * trafficClass.meanWork.inSeconds();
    shares += trafficClass.share;
  }
  capacity_ = static_cast<double>(nodes_.nodes().size()) * shares / work;
  routerShares_ = sharesOf(parameters_.routers, parameters_.imbalance);
  groupShares_ = sharesOf(parameters_.nodeParameters.groups, parameters_.imbalance * 0.2);
  result_.valueByClass.resize(parameters_.trafficClasses.size());
  currentList_ = nodes_.endpointList(now_);
  routers_.resize(parameters_.routers);
  incarnations_.resize(parameters_.routers);
  for (std::size_t i = 0; i < routers_.size(); ++i) startRouter(i);
}

Fleet::~Fleet() = default;

double Fleet::seconds() const { return (now_ - startTime_).inSeconds(); }

bool Fleet::isReached(double second) const {
  return second >= 0 && seconds() >= second && seconds() - kStep.inSeconds() < second;
}

Second& Fleet::secondOf(Instant at) {
  const auto row = static_cast<std::size_t>((at - startTime_).inSeconds());
  if (result_.seconds.size() <= row) result_.seconds.resize(row + 1);
  return result_.seconds[row];
}

// Starts the router as a new process. Attempts of its previous process continue at the nodes, and their
// outcomes are discarded.
void Fleet::startRouter(std::size_t router) {
  if (routers_[router]) levelChangesOfStoppedRouters_ += routers_[router]->levelChanges;
  routers_[router] = std::make_unique<Router>(*this, router, ++incarnations_[router]);
  deliverEndpointList(*routers_[router], currentList_);
}

// Stops the router. Its clients lose their connections and retry at other routers.
void Fleet::stopRouter(std::size_t router) {
  levelChangesOfStoppedRouters_ += routers_[router]->levelChanges;
  for (const auto& [owner, open] : routers_[router]->openRequests) {
    const bool isAtMostOnce =
        parameters_.trafficClasses[open.request.trafficClass].type.effect == Effect::atMostOnce;
    if (parameters_.faults.retriesUntilDeadline && !isAtMostOnce)
      retryLater(open.request, parameters_.faults.retryDelay);
  }
  routers_[router].reset();
}

void Fleet::publishEndpointList() {
  publishedLists_.emplace(now_ + Duration::seconds(parameters_.faults.endpointListDelay),
                          nodes_.endpointList(now_));
}

void Fleet::deliverEndpointList(Router& router, const std::vector<transactions::ResolvedEndpoint>& list) {
  router.transactions.advanceTo(now_);
  router.transactions.onEndpointList(EndpointUpdateKind::snapshot, list);
  router.isDirty = true;
}

void Fleet::applyOutages() {
  for (const auto& outage : parameters_.faults.outages) {
    if (isReached(outage.drainsAt)) {
      nodes_.drain(now_, outage.node);
      publishEndpointList();
    }
    if (!isReached(outage.stopsAt)) continue;
    const Instant restartsAt = now_ + Duration::seconds(outage.restartsAt - outage.stopsAt);
    stopNode(outage.node, restartsAt, {});
    publishEndpointList();
  }
}

// Stops the node. Routers that are connected to it lose the connection.
void Fleet::stopNode(std::size_t node, Instant restartsAt, Duration lostLog) {
  const auto connected = nodes_.nodes()[node].connections;
  nodes_.stop(now_, node, restartsAt, lostLog);
  for (const auto& router : routers_)
    if (router && connected.contains(router->connectionKey())) {
      router->transactions.onNodeDisconnected(nodes_.nodes()[node].id);
      router->isDirty = true;
    }
  nodeRestarts_.insert(restartsAt);
}

void Fleet::injectFaults() {
  const FaultPlan& faults = parameters_.faults;
  applyOutages();
  const auto drawRestart = [&](const FaultPlan::PowerLoss& powerLoss) {
    return now_ + Duration::seconds(
                      std::uniform_real_distribution<>(powerLoss.restartFrom, powerLoss.restartTo)(random_));
  };
  if (isReached(faults.restartAt))
    for (std::size_t i = 0; i < routers_.size(); ++i) startRouter(i);
  if (isReached(faults.drainAt)) {
    nodes_.drain(now_, nodes_.nodes().size() - 1);
    publishEndpointList();
  }
  if (isReached(faults.nodePowerLoss.at)) {
    for (std::size_t i = 0; i < nodes_.nodes().size(); ++i) {
      if (std::uniform_real_distribution<>()(random_) >= faults.nodePowerLoss.fraction) continue;
      stopNode(i, drawRestart(faults.nodePowerLoss), faults.lostLog);
    }
    publishEndpointList();
  }
  if (isReached(faults.routerPowerLoss.at))
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      if (!routers_[i] || std::uniform_real_distribution<>()(random_) >= faults.routerPowerLoss.fraction)
        continue;
      stopRouter(i);
      routerRestarts_.emplace(drawRestart(faults.routerPowerLoss), i);
    }
  while (!routerRestarts_.empty() && routerRestarts_.begin()->first <= now_) {
    startRouter(routerRestarts_.begin()->second);
    routerRestarts_.erase(routerRestarts_.begin());
  }
  if (!nodeRestarts_.empty() && *nodeRestarts_.begin() <= now_) {
    while (!nodeRestarts_.empty() && *nodeRestarts_.begin() <= now_)
      nodeRestarts_.erase(nodeRestarts_.begin());
    publishEndpointList();
  }
  while (!publishedLists_.empty() && publishedLists_.begin()->first <= now_) {
    currentList_ = publishedLists_.begin()->second;
    publishedLists_.erase(publishedLists_.begin());
    for (auto& router : routers_)
      if (router) deliverEndpointList(*router, currentList_);
  }
}

void Fleet::endRouterTurns() {
  for (auto& router : routers_) {
    if (!router || (!router->isDirty && (router->due == Instant() || router->due > now_))) continue;
    router->isDirty = false;
    router->transactions.advanceTo(now_);
    router->due = router->transactions.endTurn();
    result_.maxLevel = std::max(result_.maxLevel, router->levels.stateOf(1).level);
  }
}

Result Fleet::run(double length, const std::function<double(double)>& demand) {
  while (seconds() < length) {
    now_ = now_ + kStep;
    injectFaults();
    if (seconds() - windowStart_ >= kWindowSeconds) closeWindow();
    while (!retries_.empty() && retries_.begin()->first <= now_) {
      const ClientRequest request = retries_.begin()->second;
      retries_.erase(retries_.begin());
      submit(request);
    }
    std::poisson_distribution<int> arrivals(demand(seconds()) * capacity_ * kStep.inSeconds());
    for (int remaining = arrivals(random_); remaining > 0; --remaining) generateRequest();
    while (!attemptEnds_.empty() && attemptEnds_.top().at <= now_) {
      const AttemptEnd end = attemptEnds_.top();
      attemptEnds_.pop();
      finishAttempt(end);
    }
    endRouterTurns();
    recordLevel();
  }
  recordTotals();
  return result_;
}

void Fleet::closeWindow() {
  if (window_.first >= kMinWindowTxns)
    result_.worstCommittedFraction = std::min(result_.worstCommittedFraction, window_.second / window_.first);
  window_ = {};
  windowStart_ = seconds();
}

void Fleet::recordLevel() {
  if (!routers_.front() || routers_.front()->levels.stateOf(1).level == recordedLevel_) return;
  recordedLevel_ = routers_.front()->levels.stateOf(1).level;
  result_.levels.emplace_back(seconds(), recordedLevel_);
  recentChanges_.push_back(now_);
  while (now_ - recentChanges_.front() > Duration::millis(60'000)) recentChanges_.pop_front();
  result_.maxLevelChangesPerMinute =
      std::max(result_.maxLevelChangesPerMinute, static_cast<unsigned>(recentChanges_.size()));
}

void Fleet::recordTotals() {
  for (const auto& router : routers_) {
    if (!router) continue;
    result_.levelChanges += router->levelChanges;
    for (const auto& [owner, open] : router->openRequests)
      result_.violations.unanswered +=
          now_ - open.submittedAt > router->routing.transactionClasses[open.request.trafficClass].deadline;
  }
  result_.levelChanges += levelChangesOfStoppedRouters_;
  result_.value = requestedValue_ > 0 ? servedValue_ / requestedValue_ : 0;
  result_.collapsedNodes = nodes_.collapsedNodes();
}

}  // namespace gulltrestle::fleet_model
