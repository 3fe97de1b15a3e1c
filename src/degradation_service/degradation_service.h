// Degradation levels of a running process: owns the controller, logs each change, reports the state in the
// log and in a status document at intervals, and reloads the configuration.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "degradation_service/degradation_config.h"
#include "gateway/gateway.h"
#include "transactions/transaction_table.h"

namespace gulltrestle::degradation_service {

// Enables degradation on the transaction table, which must not outlive this.
class DegradationService final : public gateway::Component {
 public:
  using Log = std::function<void(const std::string& line)>;
  // `readConfig`: reads the configuration for a reload; it may throw config::ConfigError.
  DegradationService(transactions::TransactionTable& transactions, DegradationConfig config,
                     std::vector<std::string> classNames, std::uint64_t seed,
                     std::function<DegradationConfig()> readConfig, Log log);

  void onDiscoveryActivity() override {}
  // Writes the status document and logs the state, when they are due.
  void endTurn() override;
  void flush() override {}
  Instant nextDue() const override {
    return statusWrittenAt_ == Instant() ? Instant() : statusWrittenAt_ + config_.statusInterval;
  }
  void stop() override {}
  bool empty() const override { return true; }
  // An invalid configuration is logged with the key at fault, and the former one stays in effect.
  void reloadConfig() override;

  // The status document, as JSON.
  std::string status(Instant now) const;

 private:
  void enable();
  void logChange(const degradation::Change& change);
  std::string operatorKeys() const;
  bool writeStatusFile(Instant now) const;
  void logReducedGroups(Instant now);

  transactions::TransactionTable& transactions_;
  DegradationConfig config_;
  std::vector<std::string> classNames_;
  std::function<DegradationConfig()> readConfig_;
  Log log_;
  degradation::DegradationController controller_;
  Instant statusWrittenAt_, loggedAt_;  // never: not yet
};

}  // namespace gulltrestle::degradation_service
