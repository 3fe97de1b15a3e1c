// Requests nodes' load reports over HTTP: a GET of one path, answered by headers. An upstream transport for
// health checks only. It reads no socket and no clock.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "transactions/transaction_table.h"

namespace gulltrestle::upstream::http {

// Identifies a health check in flight; never used again for another.
using HealthCheckId = std::uint64_t;

// What the health checker requests of whoever has the sockets.
class Effects {
 public:
  virtual ~Effects() = default;
  // Sends the request to the node at `address` (address:port); onAnswered() or onFailed() reports the result,
  // not from within this call.
  virtual void requestLoadReport(HealthCheckId id, const std::string& address) = 0;
  // The answer is no longer awaited.
  virtual void cancelHealthCheck(HealthCheckId id) = 0;
};

// Each health check ends by an answer, a failure or its timeout. One per process at most, added to the table
// of transactions as its transport for health checks.
class HealthChecker final : public transactions::UpstreamTransport {
 public:
  // `timeout`: how long an answer is awaited. The references must outlive this.
  HealthChecker(transactions::TransactionTable& transactions, Duration timeout, std::size_t maxInFlight,
                Effects& effects)
      : transactions_(transactions), timeout_(timeout), maxInFlight_(maxInFlight), effects_(effects) {}

  void startAttempt(transactions::AttemptId attemptId, const NodeId& node) override;
  void cancelAttempt(transactions::AttemptId, const NodeId&) override {}
  void onEndpointList(const std::vector<NodeId>& moved) override;
  void forgetNode(const NodeId& node) override;

  // --- Events, after TransactionTable::advanceTo() for their time. Ignored for one that has ended.

  // `status`: of HTTP; `report`: what the answer's headers say.
  void onAnswered(HealthCheckId id, int status, const LoadReport& report);
  void onFailed(HealthCheckId id);

  // Ends the health checks whose time is over.
  void endTurn();
  // When endTurn() has something to do; never: nothing is due.
  Instant nextDue() const { return deadlines_.empty() ? Instant() : deadlines_.begin()->at; }

 private:
  struct HealthCheck {
    NodeId node;
    Instant deadline;
  };
  struct Deadline {
    Instant at;
    HealthCheckId id = 0;
    auto operator<=>(const Deadline&) const = default;
  };
  void end(HealthCheckId id, AttemptOutcome outcome, const LoadReport& report = {});
  template <typename Predicate>
  void cancelIf(Predicate isAffected);

  transactions::TransactionTable& transactions_;
  Duration timeout_;
  std::size_t maxInFlight_;
  Effects& effects_;
  std::map<HealthCheckId, HealthCheck> inFlight_;
  std::set<Deadline> deadlines_;  // of inFlight_
  HealthCheckId lastId_ = 0;
};

}  // namespace gulltrestle::upstream::http
