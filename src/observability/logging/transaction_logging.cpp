#include "observability/logging/transaction_logging.h"

#include <utility>

namespace gulltrestle::logging {

TransactionLogging::TransactionLogging(transactions::Trace& trace, const LoggingConfig& config,
                                       std::function<LoggingConfig()> readConfig, Log log)
    : trace_(trace), readConfig_(std::move(readConfig)), log_(std::move(log)) {
  apply(config);
}

void TransactionLogging::apply(const LoggingConfig& config) {
  const bool isOn = config.tracesTransactions;
  if (isOn != trace_.isOn()) log_(std::string("event=logging.changed txns=") + (isOn ? "on" : "off"));
  trace_.setSink(isOn ? log_ : Log());
}

void TransactionLogging::reloadConfig() {
  try {
    apply(readConfig_());
  } catch (const std::exception& error) {
    log_("event=logging.config_rejected reason=\"" + std::string(error.what()) + "\"");
  }
}

}  // namespace gulltrestle::logging
