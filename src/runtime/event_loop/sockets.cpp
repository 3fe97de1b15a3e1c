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

[[noreturn]] void fail(const char* what) { throw std::system_error(errno, std::generic_category(), what); }

bool wouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

// How a read or write that took nothing has ended.
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
    fail(host.c_str());
  }
  return address;
}

void sendAtOnce(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// Many clients come at once when a router has just started; more are refused by the kernel itself.
constexpr int kBacklog = 1024;

// Connections that failed before they were taken, one after another, before whoever takes them pauses.
constexpr int kMostFailedAccepts = 16;

// What keeps this machine from beginning a connection for a moment, whoever is at its other end.
bool isLocal(int error) {
  return error == EAGAIN || error == EADDRNOTAVAIL || error == ENOBUFS || error == ENOMEM;
}

}  // namespace

Descriptor listenOn(const std::string& host, unsigned short port) {
  const auto address = addressOf(host, port);
  Descriptor made(retrySystemCall(
      "socket", [] { return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }));
  const int on = 1;
  setsockopt(made.number(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  retrySystemCall("bind", [&] {
    return ::bind(made.number(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  });
  retrySystemCall("listen", [&] { return ::listen(made.number(), kBacklog); });
  return made;
}

Descriptor startConnecting(const std::string& host, unsigned short port) {
  const auto address = addressOf(host, port);
  Descriptor made(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!made) return made;
  sendAtOnce(made.number());
  // One that was interrupted is on its way all the same, or is begun now. What else fails at once shows like
  // what fails later, when the connection is asked about.
  int failed = 0;
  do {
    failed = ::connect(made.number(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  } while (failed != 0 && errno == EINTR);
  return failed != 0 && isLocal(errno) ? Descriptor() : std::move(made);
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
  std::array<iovec, 16> pieces;
  std::size_t count = 0;
  for (const auto part : parts) {
    if (part.empty() || count == pieces.size()) continue;
    pieces[count++] = {const_cast<char*>(part.data()), part.size()};
  }
  msghdr message{};
  message.msg_iov = pieces.data();
  message.msg_iovlen = count;
  for (;;) {
    const auto size = ::sendmsg(descriptor, &message, MSG_NOSIGNAL);
    if (size >= 0) return {Io::some, static_cast<std::size_t>(size)};
    if (errno == EINTR) continue;
    return {failureOf()};
  }
}

void endSending(int descriptor) { ::shutdown(descriptor, SHUT_WR); }

Io accept(int descriptor, Descriptor& taken) {
  for (int failures = 0; failures < kMostFailedAccepts; ++failures) {
    taken = Descriptor(::accept4(descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (taken) {
      sendAtOnce(taken.number());
      return Io::some;
    }
    if (wouldBlock()) return Io::wouldBlock;
    const bool none = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
    if (none) return Io::noDescriptor;
    if (errno == EBADF || errno == EINVAL || errno == ENOTSOCK) return Io::failed;
    // Else one that was reset while it waited, or an interruption: the next one.
  }
  return Io::failed;
}

namespace {

sigset_t taken() {
  sigset_t set;
  sigemptyset(&set);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&set, number);
  return set;
}

}  // namespace

void blockSignals() {
  const sigset_t set = taken();
  if (sigprocmask(SIG_BLOCK, &set, nullptr) != 0) fail("sigprocmask");
  // A signal that is ignored is not kept while it is blocked, and whoever starts a program may have it so.
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) std::signal(number, SIG_DFL);
}

Descriptor signals() {
  blockSignals();
  const sigset_t set = taken();
  Descriptor made(
      retrySystemCall("signalfd", [&] { return ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC); }));
  std::signal(SIGPIPE, SIG_IGN);
  return made;
}

std::optional<Signal> takeSignal(int descriptor) {
  signalfd_siginfo taken{};
  if (::read(descriptor, &taken, sizeof taken) != sizeof taken) return std::nullopt;
  return taken.ssi_signo == SIGHUP ? Signal::reload : Signal::terminate;
}

}  // namespace gulltrestle::event_loop
