#include "observability/logging/logging_config.h"

#include "config/config_section.h"

namespace gulltrestle::logging {

namespace {

LoggingConfig read(const json::Value& all) {
  config::ConfigSection top(all, "");
  LoggingConfig setup;
  setup.txns = top.flag("txns", setup.txns);
  top.end();
  return setup;
}

}  // namespace

LoggingConfig readLoggingConfig(std::string_view text) { return read(config::readText(text)); }
LoggingConfig readLoggingConfigFile(const std::string& path) { return read(config::readFile(path)); }

}  // namespace gulltrestle::logging
