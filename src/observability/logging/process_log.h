// The log of the process: its form, and the event of a start.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gulltrestle::logging {

// Sets the form of all lines: time, level and text. Each line is written at once.
void setUpLog();

// What a router says of itself when it starts.
struct StartEvent {
  std::string_view version;
  std::string partsBuiltIn;
  std::vector<std::string> enabledParts;  // the variables that name their configuration files
  std::string routerName;
  std::size_t transactionClasses = 0;
  unsigned routerCount = 0;
};
void logStart(const StartEvent& event);

// A line that a component puts together.
void logLine(const std::string& line);

}  // namespace gulltrestle::logging
