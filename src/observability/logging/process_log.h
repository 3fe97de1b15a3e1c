// The log of the process: its line format and the event logged at the start.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gulltrestle::logging {

// Sets the format of all lines (time, level and text) and flushes the log after each line.
void setUpLog();

// The fields of the `start` event, which a router logs when it starts.
struct StartEvent {
  std::string_view version;
  std::string partsBuiltIn;
  std::vector<std::string> enabledParts;  // the environment variables that name their configuration files
  std::string routerName;
  std::size_t transactionClasses = 0;
  unsigned routerCount = 0;
};
// Logs the `start` event.
void logStart(const StartEvent& event);

// Logs a line that a component has formatted.
void logLine(const std::string& line);

}  // namespace gulltrestle::logging
