// System calls of a start that may fail for a moment: too few descriptors or too little memory, an address
// that is still taken or not up yet.
#pragma once

#include <functional>

namespace gulltrestle::event_loop {

// Whether a call that failed with this errno may succeed a little later, by the manual pages.
bool isTransientError(int error);

// Repeats a system call, with pauses, until its result is no longer negative, and returns that. The first
// transient error goes to standard error, one line. Throws std::system_error, which names `callName`: at once
// where the error is not transient or a termination signal is pending, else after five seconds.
int retrySystemCall(const char* callName, const std::function<int()>& call);

}  // namespace gulltrestle::event_loop
