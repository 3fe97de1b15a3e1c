// Parses the logging configuration file, which selects what is logged in addition to changes and failures.
#pragma once

#include <string>
#include <string_view>

namespace gulltrestle::logging {

// What is logged in addition to changes and failures.
struct LoggingConfig {
  // Log each transaction from its arrival to its answer, and the reason why each connection is closed.
  bool tracesTransactions = false;
};

// Read the configuration from a text or from a file. Both throw config::ConfigError, which names the invalid
// key.
LoggingConfig readLoggingConfig(std::string_view text);
LoggingConfig readLoggingConfigFile(const std::string& path);

}  // namespace gulltrestle::logging
