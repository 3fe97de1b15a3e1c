// Switches the trace of txns and connections on and off in a running process, as its configuration says at
// the start and at each SIGHUP.
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
  // `read`: reads the configuration anew; it may throw config::BadKey.
  TransactionLogging(transactions::Trace& trace, const LoggingConfig& setup,
                     std::function<LoggingConfig()> read, Log log);

  void onDiscoveryActivity() override {}
  void endTurn() override {}
  void flush() override {}
  Instant nextDue() const override { return Instant(); }
  void stop() override {}
  bool empty() const override { return true; }
  // What can't be used is logged with its key, and all goes on as it was.
  void reloadConfig() override;

 private:
  void take(const LoggingConfig& setup);

  transactions::Trace& trace_;
  std::function<LoggingConfig()> read_;
  Log log_;
};

}  // namespace gulltrestle::logging
