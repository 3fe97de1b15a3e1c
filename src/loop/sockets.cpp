#include "loop/sockets.h"

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

namespace gulltrestle::loop {

namespace {

[[noreturn]] void fail(const char* what) { throw std::system_error(errno, std::generic_category(), what); }

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

}  // namespace

Descriptor listenOn(const std::string& host, unsigned short port) {
  Descriptor made(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!made) fail("socket");
  const int on = 1;
  setsockopt(made.number(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = addressOf(host, port);
  if (::bind(made.number(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) fail("bind");
  if (::listen(made.number(), kBacklog) != 0) fail("listen");
  return made;
}

Descriptor startConnecting(const std::string& host, unsigned short port) {
  const auto address = addressOf(host, port);
  Descriptor made(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!made) return made;
  sendAtOnce(made.number());
  // What fails at once shows like what fails later, when the connection is asked about.
  (void)::connect(made.number(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  return made;
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
    return {errno == EAGAIN || errno == EWOULDBLOCK ? Io::wouldBlock : Io::failed};
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
    return {errno == EAGAIN || errno == EWOULDBLOCK ? Io::wouldBlock : Io::failed};
  }
}

void endSending(int descriptor) { ::shutdown(descriptor, SHUT_WR); }

Io accept(int descriptor, Descriptor& taken) {
  for (;;) {
    taken = Descriptor(::accept4(descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (taken) {
      sendAtOnce(taken.number());
      return Io::some;
    }
    switch (errno) {
      case EAGAIN:
        return Io::wouldBlock;
      case EMFILE:
      case ENFILE:
      case ENOBUFS:
      case ENOMEM:
        return Io::noDescriptor;
      default:  // one that was reset while it waited, or an interruption: the next one
        if (errno == EBADF || errno == EINVAL || errno == ENOTSOCK) return Io::failed;
    }
  }
}

namespace {

sigset_t taken() {
  sigset_t set;
  sigemptyset(&set);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&set, number);
  return set;
}

}  // namespace

void holdSignals() {
  const sigset_t set = taken();
  if (sigprocmask(SIG_BLOCK, &set, nullptr) != 0) fail("sigprocmask");
  // A signal that is ignored is not kept while it is blocked, and whoever starts a program may have it so.
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) std::signal(number, SIG_DFL);
}

Descriptor signals() {
  holdSignals();
  const sigset_t set = taken();
  Descriptor made(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!made) fail("signalfd");
  std::signal(SIGPIPE, SIG_IGN);
  return made;
}

std::optional<Signal> takeSignal(int descriptor) {
  signalfd_siginfo taken{};
  if (::read(descriptor, &taken, sizeof taken) != sizeof taken) return std::nullopt;
  return taken.ssi_signo == SIGHUP ? Signal::readAnew : Signal::end;
}

}  // namespace gulltrestle::loop
