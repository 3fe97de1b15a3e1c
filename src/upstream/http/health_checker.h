// Asks nodes for their standing over HTTP: a GET of one path, answered by headers. It carries probes only,
// and reads no socket and no clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "transactions/transaction_table.h"

namespace gulltrestle::upstream::http {

using HealthCheckId = std::uint64_t;

// What it asks for.
class Effects {
 public:
  virtual ~Effects() = default;
  // Asks the node there; answered() or failed() tells what came of it, not from within this call.
  virtual void requestLoadReport(HealthCheckId probe, const std::string& address) = 0;
  // Nobody waits for it any more.
  virtual void cancelHealthCheck(HealthCheckId probe) = 0;
};

// Carries health checks only; each ends by an answer, a failure or its time limit.
class HealthChecker final : public transactions::UpstreamTransport {
 public:
  // `limit`: how long an answer is waited for. `most`: how many may be out at a time.
  HealthChecker(transactions::TransactionTable& transactions, Duration timeout, std::size_t maxInFlight,
                Effects& effects)
      : transactions_(transactions), timeout_(timeout), maxInFlight_(maxInFlight), effects_(effects) {}

  void startAttempt(transactions::AttemptId job, const NodeId& node) override;
  void cancelAttempt(transactions::AttemptId, const NodeId&) override {}
  void onEndpointList(const std::vector<NodeId>& moved) override;
  void forgetNode(const NodeId& node) override;

  // Events. `status` of HTTP, with what the headers told.
  void answered(HealthCheckId probe, int status, const LoadReport& report);
  void failed(HealthCheckId probe);

  void endTurn();
  Instant nextDue() const { return due_.empty() ? Instant() : due_.begin()->first; }

 private:
  struct HealthCheck {
    NodeId node;
    Instant due;
  };
  void end(HealthCheckId probe, AttemptOutcome outcome, const LoadReport& report);
  template <typename Which>
  void cancelIf(Which which);

  transactions::TransactionTable& transactions_;
  Duration timeout_;
  std::size_t maxInFlight_;
  Effects& effects_;
  std::map<HealthCheckId, HealthCheck> inFlight_;
  std::set<std::pair<Instant, HealthCheckId>> due_;
  HealthCheckId lastId_ = 0;
};

}  // namespace gulltrestle::upstream::http
