#include "runtime/event_loop/sockets.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
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

[[noreturn]] void throwLastError(const char* context) {
  throw std::system_error(errno, std::generic_category(), context);
}

bool wouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

// Returns the status of the read or write that failed just before, from errno.
IoStatus statusFromErrno() {
  if (wouldBlock()) return IoStatus::wouldBlock;
  return errno == ENOMEM || errno == ENOBUFS ? IoStatus::noMemory : IoStatus::failed;
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

// Disables Nagle's algorithm, which would delay small messages.
void disableNagle(int descriptor) {
  const int enabled = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

// Many clients connect simultaneously when a router has just started; the kernel rejects further ones.
constexpr int kBacklog = 1024;

// Consecutive connections that failed before they were accepted; accept() fails after this many, to
// avoid spinning.
constexpr int kMaxFailedAccepts = 16;

// Returns whether this machine is temporarily unable to start any connection, regardless of the peer.
bool isLocalShortage(int error) {
  return error == EAGAIN || error == EADDRNOTAVAIL || error == ENOBUFS || error == ENOMEM;
}

// Upper bound on the buffers passed to one sendmsg() call.
constexpr std::size_t kMaxBuffersPerWrite = 16;

constexpr std::array<int, 3> kHandledSignals{SIGTERM, SIGINT, SIGHUP};

sigset_t handledSignals() {
  sigset_t set;
  sigemptyset(&set);
  for (const int number : kHandledSignals) sigaddset(&set, number);
  return set;
}

// Returns the size of one of the kernel's queues of a socket, SIOCINQ or SIOCOUTQ; 0 if it is unknown.
std::size_t queueSize(int descriptor, unsigned long queue) {
  int size = 0;
  return ::ioctl(descriptor, queue, &size) == 0 && size > 0 ? static_cast<std::size_t>(size) : 0;
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
  disableNagle(descriptor.number());
  // An interrupted call has started the connection already, or starts it when it is repeated. Other failures
  // are reported by isConnected(), like later ones.
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
    if (size > 0) return {IoStatus::ok, static_cast<std::size_t>(size)};
    if (size == 0) return {IoStatus::endOfStream};
    if (errno == EINTR) continue;
    return {statusFromErrno()};
  }
}

IoResult writeFrom(int descriptor, std::span<const std::string_view> parts) {
  std::array<iovec, kMaxBuffersPerWrite> buffers;
  std::size_t count = 0;
  for (const auto part : parts) {
    if (part.empty() || count == buffers.size()) continue;
    buffers[count++] = {const_cast<char*>(part.data()), part.size()};
  }
  msghdr message{};
  message.msg_iov = buffers.data();
  message.msg_iovlen = count;
  for (;;) {
    const auto size = ::sendmsg(descriptor, &message, MSG_NOSIGNAL);
    if (size >= 0) return {IoStatus::ok, static_cast<std::size_t>(size)};
    if (errno == EINTR) continue;
    return {statusFromErrno()};
  }
}

std::size_t unreadBytes(int descriptor) { return queueSize(descriptor, SIOCINQ); }

std::size_t undeliveredBytes(int descriptor) { return queueSize(descriptor, SIOCOUTQ); }

void shutDownWriting(int descriptor) { ::shutdown(descriptor, SHUT_WR); }

IoStatus accept(int descriptor, Descriptor& accepted) {
  for (int failures = 0; failures < kMaxFailedAccepts; ++failures) {
    accepted = Descriptor(::accept4(descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (accepted) {
      disableNagle(accepted.number());
      return IoStatus::ok;
    }
    if (wouldBlock()) return IoStatus::wouldBlock;
    const bool isShortage = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
    if (isShortage) return IoStatus::noDescriptor;
    if (errno == EBADF || errno == EINVAL || errno == ENOTSOCK) return IoStatus::failed;
    // Otherwise the connection was reset while it waited, or the call was interrupted: try the next one.
  }
  return IoStatus::failed;
}

// --- Signals

void blockSignals() {
  const sigset_t set = handledSignals();
  if (sigprocmask(SIG_BLOCK, &set, nullptr) != 0) throwLastError("sigprocmask");
  // A process may be started with these signals ignored, and an ignored signal doesn't stay pending while it
  // is blocked.
  for (const int number : kHandledSignals) std::signal(number, SIG_DFL);
}

Descriptor openSignalDescriptor() {
  blockSignals();
  const sigset_t set = handledSignals();
  Descriptor descriptor(
      retrySystemCall("signalfd", [&] { return ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC); }));
  std::signal(SIGPIPE, SIG_IGN);
  return descriptor;
}

std::optional<Signal> readSignal(int descriptor) {
  signalfd_siginfo info{};
  if (::read(descriptor, &info, sizeof info) != sizeof info) return std::nullopt;
  return info.ssi_signo == SIGHUP ? Signal::reload : Signal::terminate;
}

}  // namespace gulltrestle::event_loop
