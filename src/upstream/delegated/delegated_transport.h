// Upstream transport that sends nothing itself: it grants an endpoint lease to the requester of the
// transaction, which sends the attempt to the node and reports its outcome. An attempt ends by that report,
// by a timeout, or when no requester is left that could report. Reads no socket and no clock.
#pragma once

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "endpoint_leases/attempt_outcome.h"
#include "endpoint_leases/lease_duration.h"
#include "transactions/transaction_table.h"

namespace gulltrestle::upstream::delegated {

// Permission to send one attempt to a node.
struct EndpointLease {
  NodeId node;
  std::string address;  // of the node, as address:port
  Duration duration;    // validity of the lease from its grant
  Instant reportBy;     // the attempt ends if no report arrives by then
};

// Passes leases on to the requesters of the transactions.
class LeaseHandler {
 public:
  virtual ~LeaseHandler() = default;
  // Returns false if no requester is left and the lease was not passed on.
  virtual bool onLeaseGranted(TxnId txn, const EndpointLease& lease) = 0;
};

// Grants at most one lease per transaction at a time. Health checks need another transport.
class DelegatedTransport final : public transactions::UpstreamTransport {
 public:
  DelegatedTransport(transactions::TransactionTable& transactions, endpoint_leases::DrainRule drainRule,
                     LeaseHandler& leaseHandler)
      : transactions_(transactions), drainRule_(drainRule), leaseHandler_(leaseHandler) {}

  void startAttempt(transactions::AttemptId attemptId, const NodeId& node) override;
  void cancelAttempt(transactions::AttemptId attemptId, const NodeId& node) override;
  void onEndpointList(const std::vector<NodeId>&) override {}
  void forgetNode(const NodeId&) override {}

  // --- The next two functions end the transaction's lease. No effect if it has none.

  // Returns the outcome that the report implies; nullopt if there was no lease.
  std::optional<AttemptOutcome> onReport(TxnId txn, const endpoint_leases::ProxyReport& report);
  // The requester that could report is gone.
  void onReporterLost(TxnId txn);

  // Discovery sent a message, even if it changes nothing.
  void onDiscoveryActivity() { listAge_.lastActivityAt = transactions_.now(); }
  // Ends the leases whose report deadline has expired.
  void endTurn();
  // Returns when endTurn() has to be called next; never: no timer is pending.
  Instant nextDue() const { return deadlines_.empty() ? Instant() : deadlines_.begin()->reportBy; }

  std::size_t outstandingLeaseCount() const { return leases_.size(); }

 private:
  struct OutstandingLease {
    transactions::AttemptId attemptId;
    NodeId node;
    std::string address;
    Instant reportBy;
  };
  struct ReportDeadline {
    Instant reportBy;
    TxnId txn = 0;
    auto operator<=>(const ReportDeadline&) const = default;
  };
  std::optional<OutstandingLease> remove(TxnId txn);

  transactions::TransactionTable& transactions_;
  endpoint_leases::DrainRule drainRule_;
  LeaseHandler& leaseHandler_;
  endpoint_leases::EndpointListAge listAge_;
  std::map<TxnId, OutstandingLease> leases_;
  std::set<ReportDeadline> deadlines_;  // deadlines of leases_
};

}  // namespace gulltrestle::upstream::delegated
