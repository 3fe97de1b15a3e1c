#include "upstream/http/health_checker.h"

#include <algorithm>
#include <vector>

namespace gulltrestle::upstream::http {

// Guards the descriptors: beyond the bound a probe counts as not sent, and the module asks again later.
void HealthChecker::startAttempt(transactions::AttemptId job, const NodeId& id) {
  const auto* node = transactions_.endpoints().find(id);
  if (job.txn != 0 || !node || inFlight_.size() >= maxInFlight_)
    return transactions_.onAttemptEnded(job, id, AttemptOutcome::notSent);
  const HealthCheckId probe = ++lastId_;
  const Instant due = transactions_.now() + timeout_;
  inFlight_.emplace(probe, HealthCheck{id, due});
  due_.insert({due, probe});
  effects_.requestLoadReport(probe, node->address);
}

void HealthChecker::end(HealthCheckId probe, AttemptOutcome outcome, const LoadReport& report) {
  const auto at = inFlight_.find(probe);
  if (at == inFlight_.end()) return;
  const HealthCheck out = at->second;
  due_.erase({out.due, probe});
  inFlight_.erase(at);
  transactions_.onAttemptEnded({}, out.node, outcome, {}, report);
}

void HealthChecker::answered(HealthCheckId probe, int status, const LoadReport& report) {
  end(probe, status == 200 ? AttemptOutcome::committed : AttemptOutcome::error, report);
}

void HealthChecker::failed(HealthCheckId probe) { end(probe, AttemptOutcome::connectionLost, {}); }

void HealthChecker::endTurn() {
  while (!due_.empty() && due_.begin()->first <= transactions_.now()) {
    const HealthCheckId probe = due_.begin()->second;
    effects_.cancelHealthCheck(probe);
    end(probe, AttemptOutcome::timeout, {});
  }
}

template <typename Which>
void HealthChecker::cancelIf(Which which) {
  std::vector<HealthCheckId> left;
  for (const auto& [probe, out] : inFlight_)
    if (which(out.node)) left.push_back(probe);
  for (const HealthCheckId probe : left) {
    effects_.cancelHealthCheck(probe);
    end(probe, AttemptOutcome::notSent, {});
  }
}

// What a node's old address still answers may be another's word.
void HealthChecker::onEndpointList(const std::vector<NodeId>& moved) {
  cancelIf([&](const NodeId& node) { return std::find(moved.begin(), moved.end(), node) != moved.end(); });
}

void HealthChecker::forgetNode(const NodeId& id) {
  cancelIf([&](const NodeId& node) { return node == id; });
}

}  // namespace gulltrestle::upstream::http
