// Switches the trace of txns and connections on and off in a running process, as its configuration says at
// the start and at each SIGHUP.
#pragma once

#include <functional>
#include <string>

#include "core/trace.h"
#include "gateway/gateway.h"
#include "logging/setup.h"

namespace gulltrestle::logging {

class Logging final : public gateway::Part {
 public:
  using Log = std::function<void(const std::string& line)>;
  // `read`: reads the configuration anew; it may throw startup::BadKey.
  Logging(core::Trace& trace, const Setup& setup, std::function<Setup()> read, Log log);

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

  core::Trace& trace_;
  std::function<Setup()> read_;
  Log log_;
};

}  // namespace gulltrestle::logging
