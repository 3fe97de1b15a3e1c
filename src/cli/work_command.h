// `gulltrestle work`: operators' requests for maintenance, and the state of the plan.
#pragma once

#include <CLI/CLI.hpp>
#include <iosfwd>

#include "cli/command.h"

namespace gulltrestle::cli {

// Adds the sub-command; once it is parsed, `action` runs it. Exit codes: 0 applied; 1 rejected, or a file
// can't be read; 3 no answer yet, and the request stays; list: 3 some machine is not finished.
void addWork(CLI::App& app, std::ostream& out, Action& action);

}  // namespace gulltrestle::cli
