// Switches the trace of txns and connections on and off in a running process, as its configuration says at
// the start and at each SIGHUP.
#pragma once

#include <functional>
#include <string>

#include "gateway/gateway.h"
#include "observability/logging/logging_config.h"
#include "transactions/trace.h"

namespace gulltrestle::logging {

class Logging final : public gateway::Part {
 public:
  using Log = std::function<void(const std::string& line)>;
  // `read`: reads the configuration anew; it may throw config::BadKey.
  Logging(transactions::Trace& trace, const Setup& setup, std::function<Setup()> read, Log log);

  void listHeard() override {}
  void endTurn() override {}
  void flush() override {}
  Instant nextDue() const override { return Instant(); }
  void stop() override {}
  bool empty() const override { return true; }
  // What can't be used is logged with its key, and all goes on as it was.
  void readAnew() override;

 private:
  void take(const Setup& setup);

  transactions::Trace& trace_;
  std::function<Setup()> read_;
  Log log_;
};

}  // namespace gulltrestle::logging
