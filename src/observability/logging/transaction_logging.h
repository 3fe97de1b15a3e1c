// Turns the trace of transactions and connections on and off in a running process, as configured at the start
// and at each SIGHUP.
#pragma once

#include <functional>
#include <string>

#include "gateway/gateway.h"
#include "observability/logging/logging_config.h"
#include "transactions/trace.h"

namespace gulltrestle::logging {

// The component that applies the logging configuration to the transaction trace.
class TransactionLogging final : public gateway::Component {
 public:
  using Log = std::function<void(const std::string& line)>;
  // `readConfig` reads the configuration at each reload and may throw config::ConfigError.
  TransactionLogging(transactions::Trace& trace, const LoggingConfig& config,
                     std::function<LoggingConfig()> readConfig, Log log);

  void onDiscoveryActivity() override {}
  void endTurn() override {}
  void flush() override {}
  Instant nextDue() const override { return Instant(); }
  void stop() override {}
  bool isDrained() const override { return true; }
  // Reloads the configuration. An invalid one is logged with the invalid key, and the previous one stays in
  // effect.
  void reloadConfig() override;

 private:
  void apply(const LoggingConfig& config);

  transactions::Trace& trace_;
  std::function<LoggingConfig()> readConfig_;
  Log log_;
};

}  // namespace gulltrestle::logging
