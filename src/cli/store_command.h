// `gulltrestle store`: a voter's store folder, while no router uses it.
#pragma once

#include <CLI/CLI.hpp>
#include <iosfwd>

#include "cli/command.h"

namespace gulltrestle::cli {

// Adds the sub-command; once it is parsed, `action` runs it and returns the exit code.
void addStore(CLI::App& app, std::ostream& out, Action& action);

}  // namespace gulltrestle::cli
