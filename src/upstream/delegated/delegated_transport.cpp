#include "upstream/delegated/delegated_transport.h"

namespace gulltrestle::upstream::delegated {

using transactions::AttemptId;

void DelegatedTransport::startAttempt(AttemptId job, const NodeId& id) {
  const auto* node = ledger_.endpoints().find(id);
  const auto* attempt = ledger_.attempt(job);
  // Probes are another carrier's, and a second attempt beside one that is out can't be told to anyone.
  if (!attempt || !node || ledger_.endpoints().isDraining(id) || out_.contains(job.txn))
    return ledger_.onAttemptEnded(job, id, AttemptOutcome::notSent);
  const Instant now = ledger_.now(), cutAt = attempt->abandonAt;
  const Duration within = endpoint_leases::sendWithin(now, attempt->sendBy, rule_, list_);
  if (within == Duration() || !ledger_.maySend(job, id, cutAt - now))
    return ledger_.onAttemptEnded(job, id, AttemptOutcome::notSent);
  const Out out{job, id, node->address, cutAt};
  out_.emplace(job.txn, out);
  due_.insert({cutAt, job.txn});
  if (granting_.onLeaseGranted(job.txn, {id, out.address, within, cutAt})) return;
  take(job.txn);
  ledger_.onAttemptEnded(job, id, AttemptOutcome::notSent);
}

std::optional<DelegatedTransport::Out> DelegatedTransport::take(TxnId txn) {
  const auto at = out_.find(txn);
  if (at == out_.end()) return std::nullopt;
  const Out out = at->second;
  due_.erase({out.reportBy, txn});
  out_.erase(at);
  return out;
}

// What was granted can't be taken back; its place is free, and what is told of it later counts no more.
void DelegatedTransport::cancelAttempt(AttemptId job, const NodeId& id) {
  take(job.txn);
  ledger_.onAttemptEnded(job, id, AttemptOutcome::cancelled);
}

std::optional<AttemptOutcome> DelegatedTransport::reported(TxnId txn,
                                                           const endpoint_leases::ProxyReport& report) {
  const auto out = take(txn);
  if (!out) return std::nullopt;
  const AttemptOutcome how = endpoint_leases::outcomeOf(report, out->address);
  if (how == AttemptOutcome::committed) ledger_.commit(txn, {});
  // The proxy has the connections, and doesn't tell which was the last.
  if (how == AttemptOutcome::noConnection || how == AttemptOutcome::connectionLost)
    ledger_.onNodeDisconnected(out->node);
  ledger_.onAttemptEnded(out->job, out->node, how, endpoint_leases::learnt(report, out->address));
  return how;
}

void DelegatedTransport::unreported(TxnId txn) {
  if (const auto out = take(txn))
    ledger_.onAttemptEnded(out->job, out->node, endpoint_leases::outcomeWithoutReport(false));
}

// Guards the places in flight against proxies that never tell an end. May hurt where an answer is still on
// its way: its client's time is up by then.
void DelegatedTransport::endTurn() {
  while (!due_.empty() && due_.begin()->first <= ledger_.now()) {
    const auto out = take(TxnId(due_.begin()->second));
    ledger_.onAttemptEnded(out->job, out->node, endpoint_leases::outcomeWithoutReport(true));
  }
}

}  // namespace gulltrestle::upstream::delegated
