// System calls of a start that may fail for a moment: too few descriptors or too little memory, an address
// that is still taken or not up yet.
#pragma once

#include <functional>

namespace gulltrestle::event_loop {

// Whether a call that failed so may go well a little later, as far as the manual pages tell.
bool isTransientError(int error);

// Calls until the result is no longer negative, and returns it. Between calls it pauses; what keeps it
// waiting goes to standard error, one line. Throws std::system_error, which names `what`: at once where the
// error is none that passes or the process is told to end, else after five seconds.
int retrySystemCall(const char* what, const std::function<int()>& call);

}  // namespace gulltrestle::event_loop
