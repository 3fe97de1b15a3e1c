#include "runtime/event_loop/sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <system_error>

#include "runtime/event_loop/retry_system_call.h"

namespace gulltrestle::event_loop {

namespace {

[[noreturn]] void throwLastError(const char* what) {
  throw std::system_error(errno, std::generic_category(), what);
}

bool wouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

// Of a read or write that has failed just now.
Io failureOf() {
  if (wouldBlock()) return Io::wouldBlock;
  return errno == ENOMEM || errno == ENOBUFS ? Io::noMemory : Io::failed;
}

sockaddr_in addressOf(const std::string& host, unsigned short port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
    errno = EINVAL;
    throwLastError(host.c_str());
  }
  return address;
}

// Without Nagle's algorithm, which would hold small messages back.
void sendWithoutDelay(int descriptor) {
  const int enabled = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

// Many clients come at once when a router has just started; more are refused by the kernel itself.
constexpr int kBacklog = 1024;

// Connections in a row that failed before they were accepted; after that accept() fails, lest it spins.
constexpr int kMaxFailedAccepts = 16;

// This machine can't begin a connection for a moment, whatever is at its other end.
bool isLocalShortage(int error) {
  return error == EAGAIN || error == EADDRNOTAVAIL || error == ENOBUFS || error == ENOMEM;
}

// The buffers of one write.
constexpr std::size_t kMaxSlicesPerWrite = 16;

constexpr std::array<int, 3> kHandledSignals{SIGTERM, SIGINT, SIGHUP};

sigset_t handledSignals() {
  sigset_t set;
  sigemptyset(&set);
  for (const int number : kHandledSignals) sigaddset(&set, number);
  return set;
}

}  // namespace

Descriptor listenOn(const std::string& host, unsigned short port) {
  const auto address = addressOf(host, port);
  Descriptor descriptor(retrySystemCall(
      "socket", [] { return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }));
  const int enabled = 1;
  setsockopt(descriptor.number(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  retrySystemCall("bind", [&] {
    return ::bind(descriptor.number(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  });
  retrySystemCall("listen", [&] { return ::listen(descriptor.number(), kBacklog); });
  return descriptor;
}

Descriptor startConnecting(const std::string& host, unsigned short port) {
  const auto address = addressOf(host, port);
  Descriptor descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!descriptor) return descriptor;
  sendWithoutDelay(descriptor.number());
  // A call that was interrupted has begun the connection, or does so now. Other failures show like later
  // ones, by isConnected().
  int result = 0;
  do {
    result = ::connect(descriptor.number(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  } while (result != 0 && errno == EINTR);
  return result != 0 && isLocalShortage(errno) ? Descriptor() : std::move(descriptor);
}

bool isConnected(int descriptor) {
  int error = 0;
  socklen_t size = sizeof error;
  if (getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) return false;
  sockaddr_in peer{};
  socklen_t length = sizeof peer;
  return getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &length) == 0;
}

IoResult readInto(int descriptor, std::span<char> buffer) {
  for (;;) {
    const auto size = ::recv(descriptor, buffer.data(), buffer.size(), 0);
    if (size > 0) return {Io::some, static_cast<std::size_t>(size)};
    if (size == 0) return {Io::ended};
    if (errno == EINTR) continue;
    return {failureOf()};
  }
}

IoResult writeFrom(int descriptor, std::span<const std::string_view> parts) {
  std::array<iovec, kMaxSlicesPerWrite> slices;
  std::size_t count = 0;
  for (const auto part : parts) {
    if (part.empty() || count == slices.size()) continue;
    slices[count++] = {const_cast<char*>(part.data()), part.size()};
  }
  msghdr message{};
  message.msg_iov = slices.data();
  message.msg_iovlen = count;
  for (;;) {
    const auto size = ::sendmsg(descriptor, &message, MSG_NOSIGNAL);
    if (size >= 0) return {Io::some, static_cast<std::size_t>(size)};
    if (errno == EINTR) continue;
    return {failureOf()};
  }
}

void shutDownWriting(int descriptor) { ::shutdown(descriptor, SHUT_WR); }

Io accept(int descriptor, Descriptor& accepted) {
  for (int failures = 0; failures < kMaxFailedAccepts; ++failures) {
    accepted = Descriptor(::accept4(descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (accepted) {
      sendWithoutDelay(accepted.number());
      return Io::some;
    }
    if (wouldBlock()) return Io::wouldBlock;
    const bool isShortage = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
    if (isShortage) return Io::noDescriptor;
    if (errno == EBADF || errno == EINVAL || errno == ENOTSOCK) return Io::failed;
    // Else a connection that was reset while it waited, or an interruption: try the next one.
  }
  return Io::failed;
}

// --- Signals

void blockSignals() {
  const sigset_t set = handledSignals();
  if (sigprocmask(SIG_BLOCK, &set, nullptr) != 0) throwLastError("sigprocmask");
  // An ignored signal is not kept pending while it is blocked, and a process may be started with it ignored.
  for (const int number : kHandledSignals) std::signal(number, SIG_DFL);
}

Descriptor signals() {
  blockSignals();
  const sigset_t set = handledSignals();
  Descriptor descriptor(
      retrySystemCall("signalfd", [&] { return ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC); }));
  std::signal(SIGPIPE, SIG_IGN);
  return descriptor;
}

std::optional<Signal> takeSignal(int descriptor) {
  signalfd_siginfo info{};
  if (::read(descriptor, &info, sizeof info) != sizeof info) return std::nullopt;
  return info.ssi_signo == SIGHUP ? Signal::reload : Signal::terminate;
}

}  // namespace gulltrestle::event_loop
