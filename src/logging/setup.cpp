#include "logging/setup.h"

#include "startup/section.h"

namespace gulltrestle::logging {

namespace {

Setup read(const json::Value& all) {
  startup::Section top(all, "");
  Setup setup;
  setup.txns = top.flag("txns", setup.txns);
  top.end();
  return setup;
}

}  // namespace

Setup readSetup(std::string_view text) { return read(startup::readText(text)); }
Setup readSetupFile(const std::string& path) { return read(startup::readFile(path)); }

}  // namespace gulltrestle::logging
