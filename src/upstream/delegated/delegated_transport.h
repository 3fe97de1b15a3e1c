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

struct Grant {
  NodeId node;
  std::string address;  // where the node is reached
  Span within;          // it may be used for so long
  Instant reportBy;     // silence until then ends it
};

// Who hands grants on.
class Granting {
 public:
  virtual ~Granting() = default;
  // False: nobody is there to take it, and nothing was told.
  virtual bool granted(TxnId txn, const Grant& grant) = 0;
};

class Delegated final : public transactions::Carrier {
 public:
  Delegated(transactions::Ledger& ledger, endpoint_leases::DrainRule rule, Granting& granting)
      : ledger_(ledger), rule_(rule), granting_(granting) {}

  void carry(transactions::Job job, const NodeId& node) override;
  void cancel(transactions::Job job, const NodeId& node) override;
  void listed(const std::vector<NodeId>&) override {}
  void forget(const NodeId&) override {}

  // --- What becomes of a grant. Each ends it; none where the txn has no grant out.
  std::optional<End> reported(TxnId txn, const endpoint_leases::Report& report);
  void unreported(TxnId txn);

  // The list was heard, be it with nothing new.
  void listHeard() { list_.heardAt = ledger_.now(); }
  // Silence that has lasted for too long ends grants.
  void endTurn();
  Instant nextDue() const { return due_.empty() ? Instant() : due_.begin()->first; }

  std::size_t out() const { return out_.size(); }

 private:
  struct Out {
    transactions::Job job;
    NodeId node;
    std::string address;
    Instant reportBy;
  };
  std::optional<Out> take(TxnId txn);

  transactions::Ledger& ledger_;
  endpoint_leases::DrainRule rule_;
  Granting& granting_;
  endpoint_leases::ListAge list_;
  std::map<TxnId, Out> out_;  // one a txn: whoever asks can carry one
  std::set<std::pair<Instant, TxnId>> due_;
};

}  // namespace gulltrestle::upstream::delegated
