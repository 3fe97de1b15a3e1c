// Adapter between the operators' simulator and the routing module. It hosts many independent routers in one
// process, translates each input line into a call on its router and each routing decision into an output
// line. It makes no decisions, and the routers share no state.
#pragma once

#include <iosfwd>

namespace gulltrestle::simulator_adapter {

// Processes batches until the end of the input. Returns the exit code: 0 if the input ends between two
// batches. On a protocol error, writes one line to `errors` that names the frame, the line within it and the
// field, and returns 1.
int runAdapter(std::istream& input, std::ostream& output, std::ostream& errors);

}  // namespace gulltrestle::simulator_adapter
