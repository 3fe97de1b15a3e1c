// Retries for system calls at startup that may fail temporarily: too few descriptors, too little memory, or
// an address that is still in use or not available yet.
#pragma once

#include <functional>

namespace gulltrestle::event_loop {

// Returns whether a call that failed with this errno may soon succeed, according to the manual pages.
bool isTransientError(int error);

// Repeats a system call, with pauses, until its result is not negative, and returns that result. Writes one
// line to standard error on the first transient error. Throws std::system_error, which names `callName`:
// immediately if the error is not transient or a termination signal is pending, otherwise after five seconds.
int retrySystemCall(const char* callName, const std::function<int()>& call);

}  // namespace gulltrestle::event_loop
