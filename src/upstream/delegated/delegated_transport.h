// A carrier that sends nothing itself: it grants an attempt to whoever asked, who sends it to the node and
// tells how that ended. An attempt of it ends by what is told, by silence until its time is up, or when
// nobody is there any more who could tell. It reads no socket and no clock.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "endpoint_leases/attempt_outcome.h"
#include "endpoint_leases/lease_duration.h"
#include "transactions/transaction_table.h"

namespace gulltrestle::upstream::delegated {

struct EndpointLease {
  NodeId node;
  std::string address;  // where the node is reached
  Duration within;      // it may be used for so long
  Instant reportBy;     // silence until then ends it
};

// Who hands grants on.
class LeaseHandler {
 public:
  virtual ~LeaseHandler() = default;
  // False: nobody is there to take it, and nothing was told.
  virtual bool onLeaseGranted(TxnId txn, const EndpointLease& grant) = 0;
};

class DelegatedTransport final : public transactions::UpstreamTransport {
 public:
  DelegatedTransport(transactions::TransactionTable& ledger, endpoint_leases::DrainRule rule,
                     LeaseHandler& granting)
      : ledger_(ledger), rule_(rule), granting_(granting) {}

  void startAttempt(transactions::AttemptId job, const NodeId& node) override;
  void cancelAttempt(transactions::AttemptId job, const NodeId& node) override;
  void onEndpointList(const std::vector<NodeId>&) override {}
  void forgetNode(const NodeId&) override {}

  // --- What becomes of a grant. Each ends it; none where the txn has no grant out.
  std::optional<AttemptOutcome> reported(TxnId txn, const endpoint_leases::ProxyReport& report);
  void unreported(TxnId txn);

  // The list was heard, be it with nothing new.
  void listHeard() { list_.heardAt = ledger_.now(); }
  // Silence that has lasted for too long ends grants.
  void endTurn();
  Instant nextDue() const { return due_.empty() ? Instant() : due_.begin()->first; }

  std::size_t out() const { return out_.size(); }

 private:
  struct Out {
    transactions::AttemptId job;
    NodeId node;
    std::string address;
    Instant reportBy;
  };
  std::optional<Out> take(TxnId txn);

  transactions::TransactionTable& ledger_;
  endpoint_leases::DrainRule rule_;
  LeaseHandler& granting_;
  endpoint_leases::ListAge list_;
  std::map<TxnId, Out> out_;  // one a txn: whoever asks can carry one
  std::set<std::pair<Instant, TxnId>> due_;
};

}  // namespace gulltrestle::upstream::delegated
