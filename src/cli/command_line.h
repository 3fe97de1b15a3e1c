// The command line beside serving: sub-commands for operators, each in a file of its own.
#pragma once

#include <iosfwd>

namespace gulltrestle::cli {

// Runs the sub-command that the arguments name. Returns the exit code: 0 success; 1 failure, or what was
// inspected is not sound; 2 the arguments are invalid; 3 something is pending (status, work).
int run(int argumentCount, const char* const* arguments, std::ostream& out, std::ostream& errors);

}  // namespace gulltrestle::cli
