#include "upstream/http/health_checker.h"

#include <algorithm>
#include <vector>

namespace gulltrestle::upstream::http {

// Guards the descriptors: beyond the bound a probe counts as not sent, and the module asks again later.
void Probes::carry(transactions::Job job, const NodeId& id) {
  const auto* node = ledger_.nodes().find(id);
  if (job.txn != 0 || !node || out_.size() >= most_) return ledger_.ended(job, id, End::notSent);
  const ProbeId probe = ++last_;
  const Instant due = ledger_.now() + limit_;
  out_.emplace(probe, Out{id, due});
  due_.insert({due, probe});
  effects_.askNode(probe, node->address);
}

void Probes::end(ProbeId probe, End how, const Standing& said) {
  const auto at = out_.find(probe);
  if (at == out_.end()) return;
  const Out out = at->second;
  due_.erase({out.due, probe});
  out_.erase(at);
  ledger_.ended({}, out.node, how, {}, said);
}

void Probes::answered(ProbeId probe, int status, const Standing& said) {
  end(probe, status == 200 ? End::committed : End::error, said);
}

void Probes::failed(ProbeId probe) { end(probe, End::connectionLost, {}); }

void Probes::endTurn() {
  while (!due_.empty() && due_.begin()->first <= ledger_.now()) {
    const ProbeId probe = due_.begin()->second;
    effects_.drop(probe);
    end(probe, End::timeout, {});
  }
}

template <typename Which>
void Probes::dropIf(Which which) {
  std::vector<ProbeId> left;
  for (const auto& [probe, out] : out_)
    if (which(out.node)) left.push_back(probe);
  for (const ProbeId probe : left) {
    effects_.drop(probe);
    end(probe, End::notSent, {});
  }
}

// What a node's old address still answers may be another's word.
void Probes::listed(const std::vector<NodeId>& moved) {
  dropIf([&](const NodeId& node) { return std::find(moved.begin(), moved.end(), node) != moved.end(); });
}

void Probes::forget(const NodeId& id) {
  dropIf([&](const NodeId& node) { return node == id; });
}

}  // namespace gulltrestle::upstream::http
