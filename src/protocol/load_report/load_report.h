// HTTP headers in which a node sends its load report (role, log position and transactions in flight) with
// answers and health check responses.
#pragma once

#include <string>
#include <string_view>

#include "routing/router.h"

namespace gulltrestle::load_report {

// The names of the headers, in lower case.
struct Names {
  std::string role = "x-node-role";          // `primary` or `replica`
  std::string position = "x-node-position";  // Unix time in ms up to which all commits are applied
  std::string inFlight = "x-node-in-hand";   // transactions in flight at the node
};

// Adds the value of one header to the report. Ignores other headers and invalid values.
void readField(const Names& names, std::string_view name, std::string_view value, LoadReport& report);

}  // namespace gulltrestle::load_report
