// `gulltrestle work`: operators' requests for maintenance, and the state of the plan.
#pragma once

#include <CLI/CLI.hpp>
#include <iosfwd>

#include "cli/command.h"

namespace gulltrestle::cli {

// Adds the sub-command, which stores its implementation in `action` when it is parsed. Exit codes: 0 applied;
// 1 rejected, or a file cannot be read; 3 no answer yet, the request remains pending; of list: 3 some machine
// is not finished.
void addWorkCommand(CLI::App& app, std::ostream& out, Action& action);

}  // namespace gulltrestle::cli
