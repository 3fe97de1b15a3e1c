#include "upstream/delegated/delegated_transport.h"

namespace gulltrestle::upstream::delegated {

using transactions::Job;

void Delegated::carry(Job job, const NodeId& id) {
  const auto* node = ledger_.nodes().find(id);
  const auto* attempt = ledger_.attempt(job);
  // Probes are another carrier's, and a second attempt beside one that is out can't be told to anyone.
  if (!attempt || !node || ledger_.nodes().leaving(id) || out_.contains(job.txn))
    return ledger_.ended(job, id, End::notSent);
  const Instant now = ledger_.now(), cutAt = attempt->cutAt;
  const Span within = endpoint_leases::sendWithin(now, attempt->sendBy, rule_, list_);
  if (within == Span() || !ledger_.maySend(job, id, cutAt - now)) return ledger_.ended(job, id, End::notSent);
  const Out out{job, id, node->address, cutAt};
  out_.emplace(job.txn, out);
  due_.insert({cutAt, job.txn});
  if (granting_.granted(job.txn, {id, out.address, within, cutAt})) return;
  take(job.txn);
  ledger_.ended(job, id, End::notSent);
}

std::optional<Delegated::Out> Delegated::take(TxnId txn) {
  const auto at = out_.find(txn);
  if (at == out_.end()) return std::nullopt;
  const Out out = at->second;
  due_.erase({out.reportBy, txn});
  out_.erase(at);
  return out;
}

// What was granted can't be taken back; its place is free, and what is told of it later counts no more.
void Delegated::cancel(Job job, const NodeId& id) {
  take(job.txn);
  ledger_.ended(job, id, End::cancelled);
}

std::optional<End> Delegated::reported(TxnId txn, const endpoint_leases::Report& report) {
  const auto out = take(txn);
  if (!out) return std::nullopt;
  const End how = endpoint_leases::endOf(report, out->address);
  if (how == End::committed) ledger_.commit(txn, {});
  // The proxy has the connections, and doesn't tell which was the last.
  if (how == End::noConnection || how == End::connectionLost) ledger_.disconnected(out->node);
  ledger_.ended(out->job, out->node, how, endpoint_leases::learnt(report, out->address));
  return how;
}

void Delegated::unreported(TxnId txn) {
  if (const auto out = take(txn)) ledger_.ended(out->job, out->node, endpoint_leases::endUnreported(false));
}

// Guards the places in flight against proxies that never tell an end. May hurt where an answer is still on
// its way: its client's time is up by then.
void Delegated::endTurn() {
  while (!due_.empty() && due_.begin()->first <= ledger_.now()) {
    const auto out = take(TxnId(due_.begin()->second));
    ledger_.ended(out->job, out->node, endpoint_leases::endUnreported(true));
  }
}

}  // namespace gulltrestle::upstream::delegated
