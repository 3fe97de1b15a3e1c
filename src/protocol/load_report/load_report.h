// Headers by which a node tells its standing, in answers and when it is asked.
#pragma once

#include <string>
#include <string_view>

#include "routing/router.h"

namespace gulltrestle::load_report {

// Their names, in lower case.
struct Names {
  std::string role = "x-node-role";          // `primary` or `replica`
  std::string position = "x-node-position";  // Unix time in ms up to which all commits are applied
  std::string inHand = "x-node-in-hand";     // txns that it holds
};

// Adds to `said` what one header tells. What can't be read tells nothing.
void readField(const Names& names, std::string_view name, std::string_view value, LoadReport& said);

}  // namespace gulltrestle::load_report
