// Requests the load reports of nodes over HTTP: a GET of one path, answered by headers. Upstream transport
// for health checks only. Reads no socket and no clock.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "transactions/transaction_table.h"

namespace gulltrestle::upstream::http {

// Identifies a health check. Ids are never reused.
using HealthCheckId = std::uint64_t;

// Actions that the health checker requests from the owner of the sockets.
class Effects {
 public:
  virtual ~Effects() = default;
  // Sends the request to the node at `address` (address:port). onAnswered() or onFailed() reports the result,
  // not from within this call.
  virtual void requestLoadReport(HealthCheckId id, const std::string& address) = 0;
  // Aborts the request; its result is ignored.
  virtual void cancelHealthCheck(HealthCheckId id) = 0;
};

// Each health check ends by an answer, a failure or its timeout. At most one instance per process, added to
// the transaction table as its transport for health checks.
class HealthChecker final : public transactions::UpstreamTransport {
 public:
  // `timeout`: time limit for an answer. The references must outlive this.
  HealthChecker(transactions::TransactionTable& transactions, Duration timeout, std::size_t maxInFlight,
                Effects& effects)
      : transactions_(transactions), timeout_(timeout), maxInFlight_(maxInFlight), effects_(effects) {}

  void startAttempt(transactions::AttemptId attemptId, const NodeId& node) override;
  void cancelAttempt(transactions::AttemptId, const NodeId&) override {}
  void onEndpointList(const std::vector<NodeId>& moved) override;
  void forgetNode(const NodeId& node) override;

  // --- Events. TransactionTable::advanceTo() must be called with the time of the event first. Ignored if the
  // health check has ended.

  // `status`: HTTP status code. `report`: parsed from the headers of the answer.
  void onAnswered(HealthCheckId id, int status, const LoadReport& report);
  void onFailed(HealthCheckId id);

  // Ends the health checks whose deadline has expired.
  void endTurn();
  // Returns when endTurn() has to be called next; never: no timer is pending.
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
  std::set<Deadline> deadlines_;  // deadlines of inFlight_
  HealthCheckId lastId_ = 0;
};

}  // namespace gulltrestle::upstream::http
