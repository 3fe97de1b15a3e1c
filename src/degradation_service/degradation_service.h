// Runs degradation levels in a gateway process: owns the controller, logs each change, reports the state at
// intervals in the log and in a status document, and reloads the configuration.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "degradation_service/degradation_config.h"
#include "gateway/gateway.h"
#include "transactions/transaction_table.h"

namespace gulltrestle::degradation_service {

// The component that enables degradation on a transaction table. The table must not outlive it.
class DegradationService final : public gateway::Component {
 public:
  using Log = std::function<void(const std::string& line)>;
  // `readConfig` reads the configuration at each reload and may throw config::ConfigError.
  DegradationService(transactions::TransactionTable& transactions, DegradationConfig config,
                     std::vector<std::string> classNames, std::uint64_t seed,
                     std::function<DegradationConfig()> readConfig, Log log);

  void onDiscoveryActivity() override {}
  // Writes the status document and logs the state if they are due.
  void endTurn() override;
  void flush() override {}
  Instant nextDue() const override {
    return statusWrittenAt_ == Instant() ? Instant() : statusWrittenAt_ + config_.statusInterval;
  }
  void stop() override {}
  bool isDrained() const override { return true; }
  // Reloads the configuration. An invalid one is logged with the invalid key, and the previous one stays in
  // effect.
  void reloadConfig() override;

  // Returns the status document as JSON.
  std::string status(Instant now) const;

 private:
  void enable();
  void logChange(const degradation::Change& change);
  std::string operatorKeys() const;
  bool writeStatusFile(Instant now) const;
  void logDegradedGroups(Instant now);

  transactions::TransactionTable& transactions_;
  DegradationConfig config_;
  std::vector<std::string> classNames_;
  std::function<DegradationConfig()> readConfig_;
  Log log_;
  degradation::DegradationController controller_;
  Instant statusWrittenAt_, loggedAt_;  // Instant(): not yet
};

}  // namespace gulltrestle::degradation_service
