// The command line beside serving: sub-commands for operators, each in a file of its own.
#pragma once

#include <iosfwd>

namespace gulltrestle::cli {

// Runs the sub-command that the arguments name. Called by main(); returns the process's exit code
// (cli/command.h: ExitCode).
int run(int argumentCount, const char* const* arguments, std::ostream& out, std::ostream& errors);

}  // namespace gulltrestle::cli
