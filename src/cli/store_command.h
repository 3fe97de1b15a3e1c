// `gulltrestle store`: creates or inspects a voter's store folder while no router uses it.
#pragma once

#include <CLI/CLI.hpp>
#include <iosfwd>

#include "cli/command.h"

namespace gulltrestle::cli {

// Adds the sub-command, which stores its implementation in `action` when it is parsed.
void addStoreCommand(CLI::App& app, std::ostream& out, Action& action);

}  // namespace gulltrestle::cli
