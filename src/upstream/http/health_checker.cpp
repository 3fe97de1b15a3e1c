#include "upstream/http/health_checker.h"

#include <algorithm>
#include <vector>

namespace gulltrestle::upstream::http {

// Guards the descriptors: beyond the bound a probe counts as not sent, and the module asks again later.
void HealthChecker::startAttempt(transactions::AttemptId job, const NodeId& id) {
  const auto* node = ledger_.endpoints().find(id);
  if (job.txn != 0 || !node || out_.size() >= most_)
    return ledger_.onAttemptEnded(job, id, AttemptOutcome::notSent);
  const HealthCheckId probe = ++last_;
  const Instant due = ledger_.now() + limit_;
  out_.emplace(probe, Out{id, due});
  due_.insert({due, probe});
  effects_.requestLoadReport(probe, node->address);
}

void HealthChecker::end(HealthCheckId probe, AttemptOutcome how, const LoadReport& said) {
  const auto at = out_.find(probe);
  if (at == out_.end()) return;
  const Out out = at->second;
  due_.erase({out.due, probe});
  out_.erase(at);
  ledger_.onAttemptEnded({}, out.node, how, {}, said);
}

void HealthChecker::answered(HealthCheckId probe, int status, const LoadReport& said) {
  end(probe, status == 200 ? AttemptOutcome::committed : AttemptOutcome::error, said);
}

void HealthChecker::failed(HealthCheckId probe) { end(probe, AttemptOutcome::connectionLost, {}); }

void HealthChecker::endTurn() {
  while (!due_.empty() && due_.begin()->first <= ledger_.now()) {
    const HealthCheckId probe = due_.begin()->second;
    effects_.cancelHealthCheck(probe);
    end(probe, AttemptOutcome::timeout, {});
  }
}

template <typename Which>
void HealthChecker::dropIf(Which which) {
  std::vector<HealthCheckId> left;
  for (const auto& [probe, out] : out_)
    if (which(out.node)) left.push_back(probe);
  for (const HealthCheckId probe : left) {
    effects_.cancelHealthCheck(probe);
    end(probe, AttemptOutcome::notSent, {});
  }
}

// What a node's old address still answers may be another's word.
void HealthChecker::onEndpointList(const std::vector<NodeId>& moved) {
  dropIf([&](const NodeId& node) { return std::find(moved.begin(), moved.end(), node) != moved.end(); });
}

void HealthChecker::forgetNode(const NodeId& id) {
  dropIf([&](const NodeId& node) { return node == id; });
}

}  // namespace gulltrestle::upstream::http
