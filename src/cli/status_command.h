// `gulltrestle status FILE`: what a running router's status document says of its recovery.
#pragma once

#include <CLI/CLI.hpp>
#include <iosfwd>

#include "cli/command.h"

namespace gulltrestle::cli {

// Adds the sub-command; once it is parsed, `action` runs it. Exit codes: 0 all groups admit everything; 3
// some group waits; 1 the document can't be read.
void addStatus(CLI::App& app, std::ostream& out, Action& action);

}  // namespace gulltrestle::cli
