// Switches the trace of transactions and connections on and off in a running process, as its configuration
// says at the start and at each SIGHUP.
#pragma once

#include <functional>
#include <string>

#include "gateway/gateway.h"
#include "observability/logging/logging_config.h"
#include "transactions/trace.h"

namespace gulltrestle::logging {

// The component that turns the transaction trace on and off.
class TransactionLogging final : public gateway::Component {
 public:
  using Log = std::function<void(const std::string& line)>;
  // `readConfig`: reads the configuration again; it may throw config::ConfigError.
  TransactionLogging(transactions::Trace& trace, const LoggingConfig& config,
                     std::function<LoggingConfig()> readConfig, Log log);

  void onDiscoveryActivity() override {}
  void endTurn() override {}
  void flush() override {}
  Instant nextDue() const override { return Instant(); }
  void stop() override {}
  bool empty() const override { return true; }
  // A configuration that can't be used is logged with its key and changes nothing.
  void reloadConfig() override;

 private:
  void apply(const LoggingConfig& config);

  transactions::Trace& trace_;
  std::function<LoggingConfig()> readConfig_;
  Log log_;
};

}  // namespace gulltrestle::logging
