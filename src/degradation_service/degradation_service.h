// Reduced service of a running process: holds its levels, logs each change, tells the state at intervals in
// the log and in a status document, and takes a configuration that was read anew.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "degradation_service/degradation_config.h"
#include "gateway/gateway.h"
#include "transactions/transaction_table.h"

namespace gulltrestle::degradation_service {

class DegradationService final : public gateway::Component {
 public:
  using Log = std::function<void(const std::string& line)>;
  // `read`: reads the configuration anew; it may throw config::BadKey.
  DegradationService(transactions::TransactionTable& ledger, DegradationConfig setup,
                     std::vector<std::string> typeNames, std::uint64_t seed,
                     std::function<DegradationConfig()> read, Log log);

  void onDiscoveryActivity() override {}
  void endTurn() override;
  void flush() override {}
  Instant nextDue() const override { return toldAt_ == Instant() ? Instant() : toldAt_ + setup_.statusEvery; }
  void stop() override {}
  bool empty() const override { return true; }
  // What can't be used is logged with its key, and all goes on as it was.
  void reloadConfig() override;

  // The status document, as JSON.
  std::string status(Instant now) const;

 private:
  void changed(const degradation::Change& change);
  std::string by() const;

  transactions::TransactionTable& ledger_;
  DegradationConfig setup_;
  std::vector<std::string> typeNames_;
  std::function<DegradationConfig()> read_;
  Log log_;
  degradation::DegradationController levels_;
  Instant toldAt_, loggedAt_;
};

}  // namespace gulltrestle::degradation_service
