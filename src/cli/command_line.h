// The command line: sub-commands for operators, each in a file of its own. Without one the program runs the
// router.
#pragma once

#include <iosfwd>

namespace gulltrestle::cli {

// Runs the sub-command that the arguments name. Returns the exit code of the process (cli/command.h:
// ExitCode).
int run(int argumentCount, const char* const* arguments, std::ostream& out, std::ostream& errors);

}  // namespace gulltrestle::cli
