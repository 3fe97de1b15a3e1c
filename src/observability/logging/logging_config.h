// The configuration file of what is logged beyond changes and failures.
#pragma once

#include <string>
#include <string_view>

namespace gulltrestle::logging {

// What is logged beyond changes and failures.
struct LoggingConfig {
  // Each transaction from its arrival to its answer, and why connections are closed.
  bool tracesTransactions = false;
};

// Both throw config::ConfigError, which names the key.
LoggingConfig readLoggingConfig(std::string_view text);
LoggingConfig readLoggingConfigFile(const std::string& path);

}  // namespace gulltrestle::logging
