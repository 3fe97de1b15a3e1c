#include "upstream/delegated/delegated_transport.h"

namespace gulltrestle::upstream::delegated {

using transactions::AttemptId;

void DelegatedTransport::startAttempt(AttemptId attemptId, const NodeId& node) {
  const auto* endpoint = transactions_.endpoints().find(node);
  const auto* attempt = transactions_.attempt(attemptId);
  // Health checks need another transport, and a hedge can't be granted while the transaction has a lease.
  if (!attempt || !endpoint || transactions_.endpoints().isDraining(node) || leases_.contains(attemptId.txn))
    return transactions_.onAttemptEnded(attemptId, node, AttemptOutcome::notSent);
  const Instant now = transactions_.now(), reportBy = attempt->abandonAt;
  const auto role = transactions_.isReadAtPrimary(attemptId, node)
                        ? endpoint_leases::RoleRequirement::primaryForRead
                        : endpoint_leases::RoleRequirement::none;
  const Duration duration = endpoint_leases::leaseDuration(now, attempt->sendBy, role, drainRule_, listAge_);
  if (duration == Duration() || !transactions_.maySend(attemptId, node, reportBy - now))
    return transactions_.onAttemptEnded(attemptId, node, AttemptOutcome::notSent);
  // Stored before the call, because the handler may report the lease from within it.
  const std::string address = endpoint->address;
  leases_.emplace(attemptId.txn, OutstandingLease{attemptId, node, address, reportBy});
  deadlines_.insert({reportBy, attemptId.txn});
  if (leaseHandler_.onLeaseGranted(
          attemptId.txn, {.node = node, .address = address, .duration = duration, .reportBy = reportBy}))
    return;
  remove(attemptId.txn);
  transactions_.onAttemptEnded(attemptId, node, AttemptOutcome::notSent);
}

std::optional<DelegatedTransport::OutstandingLease> DelegatedTransport::remove(TxnId txn) {
  const auto found = leases_.find(txn);
  if (found == leases_.end()) return std::nullopt;
  const OutstandingLease lease = found->second;
  deadlines_.erase({lease.reportBy, txn});
  leases_.erase(found);
  return lease;
}

// A lease can't be revoked: it no longer counts as in flight, and a later report of it is ignored.
void DelegatedTransport::cancelAttempt(AttemptId attemptId, const NodeId& node) {
  remove(attemptId.txn);
  transactions_.onAttemptEnded(attemptId, node, AttemptOutcome::cancelled);
}

std::optional<AttemptOutcome> DelegatedTransport::onReport(TxnId txn,
                                                           const endpoint_leases::ProxyReport& report) {
  const auto lease = remove(txn);
  if (!lease) return std::nullopt;
  const AttemptOutcome outcome = endpoint_leases::outcomeOf(report, lease->address);
  if (outcome == AttemptOutcome::committed) transactions_.commit(txn, {});
  // The proxy owns the connections and doesn't report which one was the last.
  if (outcome == AttemptOutcome::noConnection || outcome == AttemptOutcome::connectionLost)
    transactions_.onNodeDisconnected(lease->node);
  transactions_.onAttemptEnded(lease->attemptId, lease->node, outcome,
                               endpoint_leases::loadReportOf(report, lease->address));
  return outcome;
}

void DelegatedTransport::onReporterLost(TxnId txn) {
  if (const auto lease = remove(txn))
    transactions_.onAttemptEnded(lease->attemptId, lease->node, endpoint_leases::kUnreportedOutcome);
}

// Frees the node's capacity if a proxy never reports. Trade-off: ignores an answer that is still in transit;
// its client's time is up by then.
void DelegatedTransport::endTurn() {
  while (!deadlines_.empty() && deadlines_.begin()->reportBy <= transactions_.now()) {
    const auto lease = remove(TxnId(deadlines_.begin()->txn));
    transactions_.onAttemptEnded(lease->attemptId, lease->node, endpoint_leases::kReportTimeoutOutcome);
  }
}

}  // namespace gulltrestle::upstream::delegated
