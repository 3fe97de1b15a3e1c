#include "observability/logging/transaction_logging.h"

namespace gulltrestle::logging {

TransactionLogging::TransactionLogging(transactions::Trace& trace, const LoggingConfig& setup,
                                       std::function<LoggingConfig()> read, Log log)
    : trace_(trace), read_(std::move(read)), log_(std::move(log)) {
  take(setup);
}

void TransactionLogging::take(const LoggingConfig& setup) {
  if (setup.txns != trace_.isOn())
    log_(std::string("event=logging.changed txns=") + (setup.txns ? "on" : "off"));
  trace_.setSink(setup.txns ? log_ : Log());
}

void TransactionLogging::reloadConfig() {
  try {
    take(read_());
  } catch (const std::exception& bad) {
    log_("event=logging.not_taken why=\"" + std::string(bad.what()) + "\"");
  }
}

}  // namespace gulltrestle::logging
