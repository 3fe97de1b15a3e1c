// Requests of the fleet model: clients that submit and retry, the execution of attempts at nodes, and the
// accounting of answers.
#include <algorithm>

#include "tools/fleet_model/fleet_router.h"

namespace gulltrestle::fleet_model {

namespace {

// Grace period of a drain: no new attempt may be sent to the draining node after it.
constexpr Duration kDrainGrace = Duration::millis(1000);
// A rejection was correct if no replica could have started the transaction within this fraction of its
// latency target.
constexpr double kFreeReplicaWaitFraction = 0.35;

}  // namespace

void Fleet::generateRequest() {
  std::vector<double> shares;
  for (const auto& trafficClass : parameters_.trafficClasses) shares.push_back(trafficClass.share);
  ClientRequest request;
  request.trafficClass = drawIndex(shares, random_);
  if (groupShares_.size() > 1) request.group = 1 + drawIndex(groupShares_, random_);
  request.firstSubmittedAt = now_;
  const double value = parameters_.trafficClasses[request.trafficClass].type.priorityWeight;
  requestedValue_ += value;
  result_.valueByClass[request.trafficClass].first += value;
  secondOf(now_).valueRequested += value;
  ++secondOf(now_).txns;
  ++window_.first;
  submit(request);
}

void Fleet::submit(ClientRequest request) {
  std::size_t index =
      parameters_.imbalance > 0 ? drawIndex(routerShares_, random_) : random_() % routers_.size();
  const TransactionClass& type = parameters_.trafficClasses[request.trafficClass].type;
  if (request.session == 0 && (type.level == ReadLevel::session || type.level >= ReadLevel::write))
    request.session = 1 + random_() % parameters_.sessions;
  // A client whose router is stopped connects to the next running one.
  for (std::size_t tried = 0; tried < routers_.size() && !routers_[index]; ++tried)
    index = (index + 1) % routers_.size();
  if (!routers_[index]) return retryLater(request, parameters_.faults.retryDelay);
  Router& router = *routers_[index];
  Transaction txn;
  txn.type = request.trafficClass;
  txn.group = request.group;
  txn.remainingTime = parameters_.faults.retriesUntilDeadline
                          ? type.deadline - (now_ - request.firstSubmittedAt)
                          : type.deadline;
  Router::OpenRequest open{request, now_, {}, 0};
  if (request.session > 0) {
    txn.session = request.session;
    const auto commit = lastCommits_.find(request.session);
    if (commit != lastCommits_.end()) open.requiredPosition = commit->second;
    txn.writeAge =
        commit == lastCommits_.end() ? Duration() : std::max(now_ - commit->second, Duration::micros(1));
  }
  const transactions::OwnerId owner = ++router.lastOwner;
  router.transactions.advanceTo(now_);
  open.txn = router.transactions.openTransaction(router, owner, router, txn, {});
  router.openRequests[owner] = open;
  router.owners[open.txn] = owner;
  router.isDirty = true;
}

void Fleet::retryLater(ClientRequest request, Duration after) {
  ++request.attempts;
  const Instant deadline =
      request.firstSubmittedAt + parameters_.trafficClasses[request.trafficClass].type.deadline;
  if (now_ + after + kStep * 4 < deadline) retries_.emplace(now_ + after, request);
}

Instant Fleet::appliedPosition(const NodeModel::Node& node) const {
  const FaultPlan& faults = parameters_.faults;
  const bool hasStopped = seconds() >= faults.replicationStopsAt && seconds() < faults.replicationResumesAt &&
                          faults.replicationStopsAt >= 0;
  return nodes_.appliedPosition(
      now_, node,
      hasStopped ? std::optional(startTime_ + Duration::seconds(faults.replicationStopsAt)) : std::nullopt);
}

bool Fleet::isPartitioned(const Router& router, std::size_t node) const {
  const auto& partition = parameters_.faults.partition;
  if (seconds() < partition.from || seconds() >= partition.to) return false;
  return static_cast<double>(router.index % 100) < partition.routers * 100 &&
         static_cast<double>((node * 37) % 100) < partition.nodes * 100;
}

void Fleet::executeAttempt(Router& router, transactions::AttemptId attempt, const NodeId& id) {
  const std::size_t index = nodes_.indexOf(id);
  const auto& node = nodes_.nodes()[index];
  AttemptEnd end{now_,  router.index,     router.incarnation,       attempt,
                 index, node.incarnation, AttemptOutcome::committed};
  const bool isHealthCheck = attempt.txn == 0;
  ++(isHealthCheck ? secondOf(now_).healthChecks : secondOf(now_).attempts);
  const auto* openAttempt = isHealthCheck ? nullptr : router.transactions.attempt(attempt);
  if (isPartitioned(router, index)) {
    end.at = openAttempt ? openAttempt->abandonAt : now_ + Duration::millis(1000);
    end.outcome = AttemptOutcome::timeout;
    return attemptEnds_.push(end);
  }
  if (node.isDraining && now_ - node.drainedAt > kDrainGrace) ++result_.violations.sentToDrained;
  const Router::OpenRequest* open =
      isHealthCheck ? nullptr : &router.openRequests.at(router.owners.at(attempt.txn));
  const auto work = [&] {
    return open ? parameters_.trafficClasses[open->request.trafficClass].meanWork *
                      std::uniform_real_distribution<>(0.5, 1.5)(random_)
                : parameters_.nodeParameters.healthCheckWork;
  };
  const auto served = nodes_.serve(now_, index, router.connectionKey(), work);
  secondOf(now_).connections += served.isNewConnection;
  if (served.outcome == NodeModel::ServeOutcome::noConnection) router.transactions.onNodeDisconnected(id);
  if (served.outcome != NodeModel::ServeOutcome::served)
    return router.transactions.onAttemptEnded(attempt, id,
                                              served.outcome == NodeModel::ServeOutcome::rejected
                                                  ? AttemptOutcome::rejected
                                                  : AttemptOutcome::noConnection);
  end.at = served.end;
  attemptEnds_.push(end);
  if (!open) return;
  const TrafficClass& trafficClass = parameters_.trafficClasses[open->request.trafficClass];
  if (trafficClass.type.effect == Effect::atMostOnce && ++router.executions[attempt.txn] > 1)
    ++result_.violations.executedTwice;
  // The position is taken when the attempt is sent. The replica applies more of the log while the attempt is
  // queued, so the check is stricter than necessary.
  const Instant applied = appliedPosition(node);
  if (trafficClass.type.level == ReadLevel::session && applied < open->requiredPosition)
    ++result_.violations.stale;
  if (trafficClass.type.level == ReadLevel::bounded && applied < now_ - trafficClass.type.maxStaleness)
    ++result_.violations.stale;
}

void Fleet::finishAttempt(const AttemptEnd& end) {
  if (!routers_[end.router] || end.routerIncarnation != routers_[end.router]->incarnation) return;
  Router& router = *routers_[end.router];
  const auto& node = nodes_.nodes()[end.node];
  router.transactions.advanceTo(now_);
  router.isDirty = true;
  if (end.outcome != AttemptOutcome::committed)
    return router.transactions.onAttemptEnded(end.attempt, node.id, end.outcome);
  if (end.nodeIncarnation != node.incarnation)
    return router.transactions.onAttemptEnded(end.attempt, node.id, AttemptOutcome::connectionLost);
  if (end.attempt.txn != 0 && router.transactions.isAnswerPending(end.attempt.txn))
    router.transactions.commit(end.attempt.txn, {});
  const Instant reportedPosition =
      appliedPosition(node) - Duration::seconds(parameters_.faults.loadReportDelay);
  LoadReport report{node.isPrimary ? Role::primary : Role::replica, reportedPosition};
  if (parameters_.allowsHealthChecks) report.inFlight = nodes_.inFlight(now_, end.node);
  if (end.attempt.txn == 0)
    return router.transactions.onAttemptEnded(end.attempt, node.id, AttemptOutcome::committed, {}, report);
  router.transactions.onAttemptEnded(end.attempt, node.id, AttemptOutcome::committed, report,
                                     parameters_.allowsHealthChecks ? report : LoadReport());
}

void Fleet::onAnswer(Router& router, transactions::OwnerId owner, bool isCommitted, bool isRejected,
                     Duration retryAfter) {
  const auto open = router.openRequests.extract(owner).mapped();
  const ClientRequest& request = open.request;
  const TransactionClass& type = router.routing.transactionClasses[request.trafficClass];
  const FaultPlan& faults = parameters_.faults;
  const Instant submittedAt = faults.retriesUntilDeadline ? request.firstSubmittedAt : open.submittedAt;
  if (now_ - submittedAt > type.deadline) ++result_.violations.late;
  if (isRejected && type.effect == Effect::atMostOnce && router.executions.contains(open.txn))
    ++result_.violations.rejectedAfterExecution;
  router.executions.erase(open.txn);
  router.owners.erase(open.txn);
  secondOf(now_).rejected += isRejected;
  if (!isCommitted && faults.retriesUntilDeadline && (isRejected || type.effect == Effect::idempotent))
    retryLater(request, faults.obeysRetryAfter ? std::max(retryAfter, faults.retryDelay) : faults.retryDelay);
  else if (isRejected && request.attempts < faults.maxRetriesAfterRejection)  // as a new transaction
    retryLater({request.trafficClass, request.group, 0, now_ + kStep * 4, request.attempts}, kStep * 4);
  if (!isCommitted) return;
  if (type.level >= ReadLevel::write) {
    Instant& last = lastCommits_[request.session];
    last = std::max(last, now_);
  }
  ++window_.second;
  const double value =
      type.priorityWeight * (now_ - submittedAt <= type.latencyTarget ? 1 : type.lateValueFraction);
  servedValue_ += value;
  result_.valueByClass[request.trafficClass].second += value;
  Second& second = secondOf(request.firstSubmittedAt);
  second.valueServed += value;
  ++second.committed;
  second.late += now_ - submittedAt > type.latencyTarget;
}

void Fleet::classifyRejection(const ClientRequest& request) {
  const auto& nodes = nodes_.nodes();
  const bool hasFreeReplica = std::any_of(nodes.begin(), nodes.end(), [&](const NodeModel::Node& node) {
    return node.group == request.group && !node.isPrimary && !node.isDraining &&
           node.busyUntil - now_ <
               parameters_.trafficClasses[request.trafficClass].type.latencyTarget * kFreeReplicaWaitFraction;
  });
  ++(hasFreeReplica ? result_.wrongRejections : result_.correctRejections);
}

}  // namespace gulltrestle::fleet_model
