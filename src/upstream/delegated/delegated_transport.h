// An upstream transport that sends nothing itself: it grants an endpoint lease to whoever requested the
// transaction, who sends the attempt to the node and reports its outcome. An attempt ends by that report, by
// silence until its time is up, or when nobody is left who could report. It reads no socket and no clock.
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

// The permission to send one attempt to a node.
struct EndpointLease {
  NodeId node;
  std::string address;  // of the node, as address:port
  Duration duration;    // how long it is valid
  Instant reportBy;     // silence until then ends the attempt
};

// Passes leases on to those who requested the transactions.
class LeaseHandler {
 public:
  virtual ~LeaseHandler() = default;
  // False: nobody is left to take the lease, and it was not passed on.
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

  // --- Each of the next two ends the transaction's lease; no effect where it has none.

  // Returns the outcome that the report stands for; none: there was no lease.
  std::optional<AttemptOutcome> onReport(TxnId txn, const endpoint_leases::ProxyReport& report);
  // Nobody is left who could report.
  void onReporterLost(TxnId txn);

  // Discovery sent something, be it nothing new.
  void onDiscoveryActivity() { listAge_.lastActivityAt = transactions_.now(); }
  // Ends the leases whose time to report is over.
  void endTurn();
  // When endTurn() has something to do; never: nothing is due.
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
  std::set<ReportDeadline> deadlines_;  // of leases_
};

}  // namespace gulltrestle::upstream::delegated
