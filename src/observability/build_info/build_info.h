// What this program is: its version, and which optional parts were built in.
#pragma once

#include <string>
#include <string_view>

namespace gulltrestle::build_info {

std::string_view version();
bool hasExternalProcessor();
bool hasFleet();
// The names of the optional parts that were built in, separated by commas; "none" where there are none.
std::string partsBuiltIn();

}  // namespace gulltrestle::build_info
