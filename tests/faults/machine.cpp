// Fault injection library that is preloaded into the program. Its system calls fail at random, each with an
// error that the manual pages of Linux document. A test sets the rates of the kinds of faults in shared
// memory (machine.h). Disk faults affect only descriptors of regular files.
#include "machine.h"

#include <arpa/inet.h>
#include <dlfcn.h>
#include <linux/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>

#include <algorithm>
#include <cstdarg>
#include <cstdlib>
#include <cstring>

namespace {

using namespace gulltrestle::faults;

constexpr std::uint64_t kMaxShortBytes = 3;  // of a short read or write
constexpr std::uint64_t kMaxDelayMillis = 150;

FaultControls* faultControls() {
  static FaultControls* const controls = [] {
    const char* path = std::getenv(kVariable);
    return path ? mapFaultControls(path) : nullptr;
  }();
  return controls;
}

template <typename Function>
Function nextFunction(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

// A SplitMix64 random sequence for each thread, from the shared seed.
std::uint64_t randomNumber() {
  static std::atomic<std::uint64_t> threads{0};
  thread_local std::uint64_t state = faultControls()->seed + ++threads * 0x9E3779B97F4A7C15u;
  std::uint64_t mixed = state += 0x9E3779B97F4A7C15u;
  mixed = (mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9u;
  mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EBu;
  return mixed ^ mixed >> 31;
}

// Decrements the counter if it is positive, and returns whether it was.
bool decrementIfPositive(std::atomic<std::uint32_t>& remaining) {
  std::uint32_t value = remaining;
  while (value > 0 && !remaining.compare_exchange_weak(value, value - 1)) {}
  return value > 0;
}

// Decides whether this call fails with a fault of this kind, and counts the fault.
bool injectFault(FaultKind kind) {
  FaultControls* const controls = faultControls();
  if (!controls) return false;
  const auto kindIndex = static_cast<std::size_t>(kind);
  const std::uint32_t perMille = controls->perMille[kindIndex];
  const bool injects = decrementIfPositive(controls->failFirst[kindIndex]) ||
                       (perMille > 0 && randomNumber() % 1000 < perMille);
  if (injects) ++controls->injectedCount[kindIndex];
  return injects;
}

// Sets errno to a random one of the errors and returns -1.
template <std::size_t N>
int failWith(const int (&errors)[N]) {
  errno = errors[randomNumber() % N];
  return -1;
}

bool isRegularFile(int descriptor) {
  struct stat status;
  return fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
}

// Resets the connection, so that calls after an injected failure fail too.
void reset(int descriptor) {
  const linger abortiveClose{1, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &abortiveClose, sizeof abortiveClose);
  ::shutdown(descriptor, SHUT_RDWR);
}

// A startup message begins with its length, whose first byte is zero; all others begin with their type.
bool isStartup(const msghdr* message) {
  return message->msg_iovlen > 0 && message->msg_iov[0].iov_len > 0 &&
         *static_cast<const char*>(message->msg_iov[0].iov_base) == 0;
}

// Set when a startup message is sent: the next epoll_wait blocks.
std::atomic<bool> blocksNextWait{false};

void blockWait() {
  if (!blocksNextWait.exchange(false)) return;
  const timespec pause{0, 200'000};
  for (faultControls()->isWaitBlocked = 1; faultControls()->isWaitBlocked != 0;) nanosleep(&pause, nullptr);
}

// The ports of the clients whose connections the program has accepted, by descriptor; 0 for others.
constexpr int kMaxDescriptors = 1 << 16;
std::array<std::atomic<std::uint16_t>, kMaxDescriptors> clientPorts;

void setClientPort(int descriptor, std::uint16_t port) {
  if (descriptor >= 0 && descriptor < kMaxDescriptors)
    clientPorts[static_cast<std::size_t>(descriptor)] = port;
}

std::uint16_t peerPort(int descriptor) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  const bool isKnown = getpeername(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  return isKnown ? ntohs(address.sin_port) : 0;
}

void countRead(int descriptor, ssize_t size) {
  if (size <= 0 || descriptor >= kMaxDescriptors || !faultControls()) return;
  const std::uint16_t port = clientPorts[static_cast<std::size_t>(descriptor)];
  if (port != 0) faultControls()->bytesReadFrom[port] += static_cast<std::uint64_t>(size);
}

bool isWallClock(clockid_t clock) { return clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE; }

}  // namespace

extern "C" {

ssize_t recv(int descriptor, void* buffer, size_t size, int flags) {
  static const auto real = nextFunction<ssize_t (*)(int, void*, size_t, int)>("recv");
  if (injectFault(FaultKind::interrupted)) return failWith({EINTR});
  if (injectFault(FaultKind::outOfMemory)) return failWith({ENOMEM, ENOBUFS});
  if (injectFault(FaultKind::connectionLost)) {
    reset(descriptor);
    return failWith({ECONNRESET, ETIMEDOUT, EHOSTUNREACH});
  }
  if (size > kMaxShortBytes && injectFault(FaultKind::shortRead)) size = 1 + randomNumber() % kMaxShortBytes;
  const ssize_t result = real(descriptor, buffer, size, flags);
  countRead(descriptor, result);
  return result;
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static const auto real = nextFunction<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  if (injectFault(FaultKind::interrupted)) return failWith({EINTR});
  if (injectFault(FaultKind::outOfMemory)) return failWith({ENOMEM, ENOBUFS});
  if (injectFault(FaultKind::connectionLost)) {
    reset(descriptor);
    return failWith({ECONNRESET, ETIMEDOUT, EPIPE, EHOSTUNREACH});
  }
  if (faultControls() && isStartup(message) && decrementIfPositive(faultControls()->blockAfterStartup))
    blocksNextWait = true;
  if (message->msg_iovlen == 0 || !injectFault(FaultKind::shortWrite))
    return real(descriptor, message, flags);
  iovec part = message->msg_iov[0];
  part.iov_len = std::min<std::size_t>(part.iov_len, 1 + randomNumber() % kMaxShortBytes);
  msghdr partialMessage = *message;
  partialMessage.msg_iov = &part;
  partialMessage.msg_iovlen = 1;
  return real(descriptor, &partialMessage, flags);
}

int accept4(int descriptor, sockaddr* address, socklen_t* size, int flags) {
  static const auto real = nextFunction<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  if (injectFault(FaultKind::interrupted)) return failWith({EINTR});
  if (injectFault(FaultKind::acceptError))
    return failWith({ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EPERM, ENETDOWN, EHOSTUNREACH});
  const int accepted = real(descriptor, address, size, flags);
  if (accepted >= 0) setClientPort(accepted, peerPort(accepted));
  return accepted;
}

int socket(int domain, int type, int protocol) {
  static const auto real = nextFunction<int (*)(int, int, int)>("socket");
  if (injectFault(FaultKind::socket)) return failWith({EMFILE, ENFILE, ENOBUFS, ENOMEM});
  const int descriptor = real(domain, type, protocol);
  setClientPort(descriptor, 0);
  return descriptor;
}

int bind(int descriptor, const sockaddr* address, socklen_t size) {
  static const auto real = nextFunction<int (*)(int, const sockaddr*, socklen_t)>("bind");
  if (injectFault(FaultKind::listenError)) return failWith({EADDRINUSE, EADDRNOTAVAIL, ENOMEM});
  return real(descriptor, address, size);
}

int listen(int descriptor, int backlog) {
  static const auto real = nextFunction<int (*)(int, int)>("listen");
  if (injectFault(FaultKind::listenError)) return failWith({EADDRINUSE});
  return real(descriptor, backlog);
}

int connect(int descriptor, const sockaddr* address, socklen_t size) {
  static const auto real = nextFunction<int (*)(int, const sockaddr*, socklen_t)>("connect");
  if (injectFault(FaultKind::interrupted)) return failWith({EINTR});
  if (injectFault(FaultKind::connectError))
    return failWith({EAGAIN, EADDRNOTAVAIL, ENETUNREACH, ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH});
  return real(descriptor, address, size);
}

int epoll_ctl(int epoll, int operation, int descriptor, epoll_event* event) noexcept {
  static const auto real = nextFunction<int (*)(int, int, int, epoll_event*)>("epoll_ctl");
  if (operation != EPOLL_CTL_DEL && injectFault(FaultKind::epollCtl)) return failWith({ENOMEM, ENOSPC});
  return real(epoll, operation, descriptor, event);
}

int epoll_wait(int epoll, epoll_event* events, int maxEvents, int timeoutMillis) {
  static const auto real = nextFunction<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  blockWait();
  if (injectFault(FaultKind::interrupted)) return failWith({EINTR});
  const int count = real(epoll, events, maxEvents, timeoutMillis);
  if (injectFault(FaultKind::delayedWait)) {
    const timespec pause{0, static_cast<long>(randomNumber() % kMaxDelayMillis) * 1'000'000};
    nanosleep(&pause, nullptr);
  }
  return count;
}

int clock_gettime(clockid_t clock, timespec* clockTime) noexcept {
  static const auto real = nextFunction<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int result = real(clock, clockTime);
  FaultControls* const controls = isWallClock(clock) ? faultControls() : nullptr;
  const std::int64_t offset = controls ? controls->wallOffsetSeconds.load() : 0;
  if (offset == 0) return result;
  ++controls->wallClockReads;
  clockTime->tv_sec += offset;
  return result;
}

// --- Files

int fsync(int descriptor) {
  static const auto real = nextFunction<int (*)(int)>("fsync");
  return isRegularFile(descriptor) && injectFault(FaultKind::diskError) ? failWith({EIO}) : real(descriptor);
}

int fdatasync(int descriptor) {
  static const auto real = nextFunction<int (*)(int)>("fdatasync");
  return isRegularFile(descriptor) && injectFault(FaultKind::diskError) ? failWith({EIO}) : real(descriptor);
}

ssize_t write(int descriptor, const void* bytes, size_t size) {
  static const auto real = nextFunction<ssize_t (*)(int, const void*, size_t)>("write");
  if (!isRegularFile(descriptor)) return real(descriptor, bytes, size);
  if (injectFault(FaultKind::diskError)) return failWith({EIO, EINTR});
  if (!injectFault(FaultKind::diskFull)) return real(descriptor, bytes, size);
  // A write to a full disk may write a part of the bytes first.
  return size < 2 || randomNumber() % 2 == 0 ? failWith({ENOSPC}) : real(descriptor, bytes, size / 2);
}

ssize_t pwrite64(int descriptor, const void* bytes, size_t size, off64_t offset) {
  static const auto real = nextFunction<ssize_t (*)(int, const void*, size_t, off64_t)>("pwrite64");
  if (injectFault(FaultKind::diskError)) return failWith({EIO, EINTR});
  if (!injectFault(FaultKind::diskFull)) return real(descriptor, bytes, size, offset);
  return size < 2 || randomNumber() % 2 == 0 ? failWith({ENOSPC}) : real(descriptor, bytes, size / 2, offset);
}

int open64(const char* path, int flags, ...) {
  static const auto real = nextFunction<int (*)(const char*, int, ...)>("open64");
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = flags & O_CREAT ? va_arg(arguments, mode_t) : 0;
  va_end(arguments);
  if (flags & O_CREAT && injectFault(FaultKind::diskFull)) return failWith({ENOSPC});
  return real(path, flags, mode);
}

int rename(const char* from, const char* to) noexcept {
  static const auto real = nextFunction<int (*)(const char*, const char*)>("rename");
  return injectFault(FaultKind::diskError) ? failWith({EIO, ENOSPC}) : real(from, to);
}

int unlink(const char* path) noexcept {
  static const auto real = nextFunction<int (*)(const char*)>("unlink");
  return injectFault(FaultKind::diskError) ? failWith({EIO}) : real(path);
}

}  // extern "C"
