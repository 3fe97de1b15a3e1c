// The command line: what an operator asks of the program beside serving. Each sub-command is a file.
#pragma once

#include <iosfwd>

namespace gulltrestle::cli {

// Runs what the arguments name. Returns the exit code: 0 done, 1 it can't be, or what was looked at is not
// sound, 2 the words are off.
int run(int count, const char* const* words, std::ostream& out, std::ostream& complaints);

}  // namespace gulltrestle::cli
