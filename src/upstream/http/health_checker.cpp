#include "upstream/http/health_checker.h"

#include <algorithm>
#include <vector>

namespace gulltrestle::upstream::http {

namespace {

constexpr int kOk = 200;  // HTTP status code

}  // namespace

// Beyond the bound a health check counts as not sent, and the router requests it again later. Prevents
// running out of descriptors.
void HealthChecker::startAttempt(transactions::AttemptId attemptId, const NodeId& node) {
  const auto* endpoint = transactions_.endpoints().find(node);
  if (!attemptId.isHealthCheck() || !endpoint || inFlight_.size() >= maxInFlight_)
    return transactions_.onAttemptEnded(attemptId, node, AttemptOutcome::notSent);
  const HealthCheckId id = ++lastId_;
  const Instant deadline = transactions_.now() + timeout_;
  inFlight_.emplace(id, HealthCheck{node, deadline});
  deadlines_.insert({deadline, id});
  effects_.requestLoadReport(id, endpoint->address);
}

void HealthChecker::end(HealthCheckId id, AttemptOutcome outcome, const LoadReport& report) {
  const auto found = inFlight_.find(id);
  if (found == inFlight_.end()) return;
  const HealthCheck ended = found->second;
  deadlines_.erase({ended.deadline, id});
  inFlight_.erase(found);
  transactions_.onAttemptEnded({}, ended.node, outcome, {}, report);
}

void HealthChecker::onAnswered(HealthCheckId id, int status, const LoadReport& report) {
  end(id, status == kOk ? AttemptOutcome::committed : AttemptOutcome::error, report);
}

void HealthChecker::onFailed(HealthCheckId id) { end(id, AttemptOutcome::connectionLost); }

void HealthChecker::endTurn() {
  while (!deadlines_.empty() && deadlines_.begin()->at <= transactions_.now()) {
    const HealthCheckId id = deadlines_.begin()->id;
    effects_.cancelHealthCheck(id);
    end(id, AttemptOutcome::timeout);
  }
}

// Cancels the health checks in flight for whose node `isAffected` returns true.
template <typename Predicate>
void HealthChecker::cancelIf(Predicate isAffected) {
  std::vector<HealthCheckId> affected;
  for (const auto& [id, healthCheck] : inFlight_)
    if (isAffected(healthCheck.node)) affected.push_back(id);
  for (const HealthCheckId id : affected) {
    effects_.cancelHealthCheck(id);
    end(id, AttemptOutcome::notSent);
  }
}

// Another node may answer at the old address of a node that has moved.
void HealthChecker::onEndpointList(const std::vector<NodeId>& moved) {
  cancelIf([&](const NodeId& node) { return std::find(moved.begin(), moved.end(), node) != moved.end(); });
}

void HealthChecker::forgetNode(const NodeId& node) {
  cancelIf([&](const NodeId& checked) { return checked == node; });
}

}  // namespace gulltrestle::upstream::http
