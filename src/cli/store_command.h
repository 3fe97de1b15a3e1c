// `gulltrestle store`: a keeper's folder, while no router is on it.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <iosfwd>

namespace gulltrestle::cli {

// Adds the sub-command. What was asked for is left in `todo`, which returns the exit code.
void addStore(CLI::App& app, std::ostream& out, std::function<int()>& todo);

}  // namespace gulltrestle::cli
