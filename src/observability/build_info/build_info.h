// Build information: the version of the program and the optional parts that are built in.
#pragma once

#include <string>
#include <string_view>

namespace gulltrestle::build_info {

// The version of the program.
std::string_view version();
// Whether the external processor (ext_proc) is built in.
bool hasExternalProcessor();
// Whether the coordination of several routers is built in.
bool hasFleet();
// The names of the optional parts that are built in, separated by commas; "none" if there are none.
std::string partsBuiltIn();

}  // namespace gulltrestle::build_info
