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

// A router has 10 s until it has to be ready; what does not pass in half of that is told to whoever starts
// it.
constexpr auto kLongest = std::chrono::seconds(5);
constexpr auto kPause = std::chrono::milliseconds(20);

// The signals wait while a process starts (holdSignals()).
bool toldToEnd() {
  sigset_t waiting;
  if (sigpending(&waiting) != 0) return false;
  return sigismember(&waiting, SIGTERM) == 1 || sigismember(&waiting, SIGINT) == 1;
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

int retrySystemCall(const char* what, const std::function<int()>& call) {
  const auto until = Clock::now() + kLongest;
  for (bool told = false;;) {
    const int result = call();
    if (result >= 0) return result;
    const int error = errno;
    if (!isTransientError(error) || toldToEnd() || Clock::now() >= until)
      throw std::system_error(error, std::generic_category(), what);
    if (!std::exchange(told, true))
      std::cerr << "gulltrestle: " << what << ": " << std::strerror(error) << ", trying on" << std::endl;
    std::this_thread::sleep_for(kPause);
  }
}

}  // namespace gulltrestle::event_loop
