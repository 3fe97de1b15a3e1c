#include "runtime/event_loop/retry_system_call.h"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <iostream>
#include <system_error>
#include <thread>
#include <utility>

namespace gulltrestle::event_loop {

namespace {

using Clock = std::chrono::steady_clock;

// A router must be ready within 10 s of its start. An error that persists for half of that time is reported
// to the process that starts it.
constexpr auto kMaxRetryTime = std::chrono::seconds(5);
constexpr auto kRetryPause = std::chrono::milliseconds(20);

// Returns whether SIGTERM or SIGINT is pending: signals are blocked during startup (blockSignals()).
bool isTerminationPending() {
  sigset_t pending;
  if (sigpending(&pending) != 0) return false;
  return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

}  // namespace

bool isTransientError(int error) {
  switch (error) {
    case EAGAIN:
    case EINTR:
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRINUSE:
    case EADDRNOTAVAIL:
    case ENETDOWN:
    case ENETUNREACH:
      return true;
    default:
      return false;
  }
}

int retrySystemCall(const char* callName, const std::function<int()>& call) {
  const auto deadline = Clock::now() + kMaxRetryTime;
  for (bool isReported = false;;) {
    const int result = call();
    if (result >= 0) return result;
    const int error = errno;
    if (!isTransientError(error) || isTerminationPending() || Clock::now() >= deadline)
      throw std::system_error(error, std::generic_category(), callName);
    if (!std::exchange(isReported, true))
      std::cerr << "gulltrestle: " << callName << ": " << std::strerror(error) << ", retrying" << std::endl;
    std::this_thread::sleep_for(kRetryPause);
  }
}

}  // namespace gulltrestle::event_loop
