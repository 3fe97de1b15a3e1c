#include "observability/logging/logging_config.h"

#include "config/config_section.h"

namespace gulltrestle::logging {

namespace {

LoggingConfig readDocument(const json::Value& document) {
  config::ConfigSection top(document);
  LoggingConfig config;
  config.tracesTransactions = top.read(config::BooleanField{"txns", config.tracesTransactions});
  top.rejectUnknownKeys();
  return config;
}

}  // namespace

LoggingConfig readLoggingConfig(std::string_view text) { return readDocument(config::parseDocument(text)); }

LoggingConfig readLoggingConfigFile(const std::string& path) {
  return readDocument(config::loadDocument(path));
}

}  // namespace gulltrestle::logging
