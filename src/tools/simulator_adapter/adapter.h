// The adapter for the operators' simulator: hosts many routers side by side, turns each line into calls on
// its router and each decision straight into a line. It decides nothing, and the routers share nothing.
#pragma once

#include <iosfwd>

namespace gulltrestle::simulator_adapter {

// Plays batches until the input ends. Returns the exit code: 0 at an end between batches; else 1, after one
// line on `errors` that names the frame, the line within it and the field.
int runAdapter(std::istream& input, std::ostream& output, std::ostream& errors);

}  // namespace gulltrestle::simulator_adapter
