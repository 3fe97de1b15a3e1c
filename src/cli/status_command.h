// `gulltrestle status FILE`: prints a running router's status document, in particular the state of its
// recovery.
#pragma once

#include <CLI/CLI.hpp>
#include <iosfwd>

#include "cli/command.h"

namespace gulltrestle::cli {

// Adds the sub-command, which stores its implementation in `action` when it is parsed. Exit codes: 0 all
// groups admit everything; 3 some group is waiting, or there is no group (the latter not with --json); 1 the
// document cannot be read.
void addStatusCommand(CLI::App& app, std::ostream& out, Action& action);

}  // namespace gulltrestle::cli
