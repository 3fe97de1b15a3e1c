#include "observability/logging/transaction_logging.h"

namespace gulltrestle::logging {

Logging::Logging(transactions::Trace& trace, const Setup& setup, std::function<Setup()> read, Log log)
    : trace_(trace), read_(std::move(read)), log_(std::move(log)) {
  take(setup);
}

void Logging::take(const Setup& setup) {
  if (setup.txns != trace_.isOn())
    log_(std::string("event=logging.changed txns=") + (setup.txns ? "on" : "off"));
  trace_.to(setup.txns ? log_ : Log());
}

void Logging::readAnew() {
  try {
    take(read_());
  } catch (const std::exception& bad) {
    log_("event=logging.not_taken why=\"" + std::string(bad.what()) + "\"");
  }
}

}  // namespace gulltrestle::logging
