#include "observability/logging/logging_config.h"

#include "config/config_section.h"

namespace gulltrestle::logging {

namespace {

Setup read(const json::Value& all) {
  config::Section top(all, "");
  Setup setup;
  setup.txns = top.flag("txns", setup.txns);
  top.end();
  return setup;
}

}  // namespace

Setup readSetup(std::string_view text) { return read(config::readText(text)); }
Setup readSetupFile(const std::string& path) { return read(config::readFile(path)); }

}  // namespace gulltrestle::logging
