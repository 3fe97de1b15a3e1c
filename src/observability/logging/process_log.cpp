#include "observability/logging/process_log.h"

#include <spdlog/spdlog.h>

namespace gulltrestle::logging {

void setUpLog() {
  spdlog::set_pattern("%H:%M:%S.%e %L %v");
  spdlog::flush_on(spdlog::level::info);
}

void logStart(const StartEvent& event) {
  std::string enabledParts;
  for (const std::string& part : event.enabledParts) enabledParts += (enabledParts.empty() ? "" : ",") + part;
  spdlog::info("event=start version={} built_in={} on={} name={} types={} routers={}", event.version,
               event.partsBuiltIn, enabledParts.empty() ? "none" : enabledParts, event.routerName,
               event.transactionClasses, event.routerCount);
}

void logLine(const std::string& line) { spdlog::info("{}", line); }

}  // namespace gulltrestle::logging
