#include "observability/logging/logging_config.h"

#include "config/config_section.h"

namespace gulltrestle::logging {

namespace {

LoggingConfig read(const json::Value& all) {
  config::ConfigSection top(all, "");
  LoggingConfig setup;
  setup.txns = top.read(config::BooleanField{"txns", setup.txns});
  top.rejectUnknownKeys();
  return setup;
}

}  // namespace

LoggingConfig readLoggingConfig(std::string_view text) { return read(config::parseDocument(text)); }
LoggingConfig readLoggingConfigFile(const std::string& path) { return read(config::loadDocument(path)); }

}  // namespace gulltrestle::logging
