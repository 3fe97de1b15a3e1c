// The library of the bad machine, preloaded into the program: its system calls fail now and then, each in a
// way that the manual pages of Linux document. Which kinds fail, and how often, stands in a page that a test
// shares with it (machine.h). Descriptors of regular files alone have the troubles of disks.
#include "machine.h"

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

constexpr std::uint64_t kMostBytes = 3;  // that a short call takes
constexpr std::uint64_t kMostHeldUpMillis = 150;

Page* page() {
  static Page* const mapped = [] {
    const char* path = std::getenv(kVariable);
    return path ? mapPage(path) : nullptr;
  }();
  return mapped;
}

template <typename Function>
Function next(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

// Splitmix: a sequence for each thread, from the page's seed.
std::uint64_t chance() {
  static std::atomic<std::uint64_t> threads{0};
  thread_local std::uint64_t state = page()->seed + ++threads * 0x9E3779B97F4A7C15u;
  std::uint64_t mixed = state += 0x9E3779B97F4A7C15u;
  mixed = (mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9u;
  mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EBu;
  return mixed ^ mixed >> 31;
}

bool takesOne(std::atomic<std::uint32_t>& left) {
  std::uint32_t now = left;
  while (now > 0 && !left.compare_exchange_weak(now, now - 1)) {}
  return now > 0;
}

bool fires(Kind kind) {
  Page* const at = page();
  if (!at) return false;
  const auto row = static_cast<std::size_t>(kind);
  const std::uint32_t perMille = at->perMille[row];
  const bool does = takesOne(at->failFirst[row]) || (perMille > 0 && chance() % 1000 < perMille);
  if (does) ++at->fired[row];
  return does;
}

template <std::size_t N>
int failWith(const int (&errors)[N]) {
  errno = errors[chance() % N];
  return -1;
}

bool isFile(int descriptor) {
  struct stat told;
  return fstat(descriptor, &told) == 0 && S_ISREG(told.st_mode);
}

// A connection that failed once stays so.
void reset(int descriptor) {
  const linger at{1, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at, sizeof at);
  ::shutdown(descriptor, SHUT_RDWR);
}

// A startup message begins with its length, all others with their type.
bool isStartup(const msghdr* message) {
  return message->msg_iovlen > 0 && message->msg_iov[0].iov_len > 0 &&
         *static_cast<const char*>(message->msg_iov[0].iov_base) == 0;
}

// Set by the send of a startup message: the next wait is held.
std::atomic<bool> holdsNextWait{false};

void holdWait() {
  if (!holdsNextWait.exchange(false)) return;
  const timespec pause{0, 200'000};
  for (page()->held = 1; page()->held != 0;) nanosleep(&pause, nullptr);
}

bool isWall(clockid_t clock) { return clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE; }

}  // namespace

extern "C" {

ssize_t recv(int descriptor, void* buffer, size_t size, int flags) {
  static const auto real = next<ssize_t (*)(int, void*, size_t, int)>("recv");
  if (fires(Kind::interrupted)) return failWith({EINTR});
  if (fires(Kind::memory)) return failWith({ENOMEM, ENOBUFS});
  if (fires(Kind::lost)) {
    reset(descriptor);
    return failWith({ECONNRESET, ETIMEDOUT, EHOSTUNREACH});
  }
  if (size > kMostBytes && fires(Kind::shortRead)) size = 1 + chance() % kMostBytes;
  return real(descriptor, buffer, size, flags);
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static const auto real = next<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  if (fires(Kind::interrupted)) return failWith({EINTR});
  if (fires(Kind::memory)) return failWith({ENOMEM, ENOBUFS});
  if (fires(Kind::lost)) {
    reset(descriptor);
    return failWith({ECONNRESET, ETIMEDOUT, EPIPE, EHOSTUNREACH});
  }
  if (page() && isStartup(message) && takesOne(page()->holdAfterStartup)) holdsNextWait = true;
  if (message->msg_iovlen == 0 || !fires(Kind::shortWrite)) return real(descriptor, message, flags);
  iovec part = message->msg_iov[0];
  part.iov_len = std::min<std::size_t>(part.iov_len, 1 + chance() % kMostBytes);
  msghdr cut = *message;
  cut.msg_iov = &part;
  cut.msg_iovlen = 1;
  return real(descriptor, &cut, flags);
}

int accept4(int descriptor, sockaddr* address, socklen_t* size, int flags) {
  static const auto real = next<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  if (fires(Kind::interrupted)) return failWith({EINTR});
  if (fires(Kind::accepting))
    return failWith({ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EPERM, ENETDOWN, EHOSTUNREACH});
  return real(descriptor, address, size, flags);
}

int socket(int domain, int type, int protocol) {
  static const auto real = next<int (*)(int, int, int)>("socket");
  if (fires(Kind::socket)) return failWith({EMFILE, ENFILE, ENOBUFS, ENOMEM});
  return real(domain, type, protocol);
}

int bind(int descriptor, const sockaddr* address, socklen_t size) {
  static const auto real = next<int (*)(int, const sockaddr*, socklen_t)>("bind");
  if (fires(Kind::listening)) return failWith({EADDRINUSE, EADDRNOTAVAIL, ENOMEM});
  return real(descriptor, address, size);
}

int listen(int descriptor, int backlog) {
  static const auto real = next<int (*)(int, int)>("listen");
  if (fires(Kind::listening)) return failWith({EADDRINUSE});
  return real(descriptor, backlog);
}

int connect(int descriptor, const sockaddr* address, socklen_t size) {
  static const auto real = next<int (*)(int, const sockaddr*, socklen_t)>("connect");
  if (fires(Kind::interrupted)) return failWith({EINTR});
  if (fires(Kind::connecting))
    return failWith({EAGAIN, EADDRNOTAVAIL, ENETUNREACH, ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH});
  return real(descriptor, address, size);
}

int epoll_ctl(int epoll, int what, int descriptor, epoll_event* event) noexcept {
  static const auto real = next<int (*)(int, int, int, epoll_event*)>("epoll_ctl");
  if (what != EPOLL_CTL_DEL && fires(Kind::epollCtl)) return failWith({ENOMEM, ENOSPC});
  return real(epoll, what, descriptor, event);
}

int epoll_wait(int epoll, epoll_event* events, int most, int millis) {
  static const auto real = next<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  holdWait();
  if (fires(Kind::interrupted)) return failWith({EINTR});
  const int count = real(epoll, events, most, millis);
  if (fires(Kind::heldUp)) {
    const timespec pause{0, static_cast<long>(chance() % kMostHeldUpMillis) * 1'000'000};
    nanosleep(&pause, nullptr);
  }
  return count;
}

int clock_gettime(clockid_t clock, timespec* told) noexcept {
  static const auto real = next<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int result = real(clock, told);
  Page* const at = isWall(clock) ? page() : nullptr;
  const std::int64_t offset = at ? at->wallOffsetSeconds.load() : 0;
  if (offset == 0) return result;
  ++at->wallReads;
  told->tv_sec += offset;
  return result;
}

// --- Files

int fsync(int descriptor) {
  static const auto real = next<int (*)(int)>("fsync");
  return isFile(descriptor) && fires(Kind::diskError) ? failWith({EIO}) : real(descriptor);
}

int fdatasync(int descriptor) {
  static const auto real = next<int (*)(int)>("fdatasync");
  return isFile(descriptor) && fires(Kind::diskError) ? failWith({EIO}) : real(descriptor);
}

ssize_t write(int descriptor, const void* bytes, size_t size) {
  static const auto real = next<ssize_t (*)(int, const void*, size_t)>("write");
  if (!isFile(descriptor)) return real(descriptor, bytes, size);
  if (fires(Kind::diskError)) return failWith({EIO, EINTR});
  if (!fires(Kind::diskFull)) return real(descriptor, bytes, size);
  // A full disk may take a part first.
  return size < 2 || chance() % 2 == 0 ? failWith({ENOSPC}) : real(descriptor, bytes, size / 2);
}

ssize_t pwrite64(int descriptor, const void* bytes, size_t size, off64_t at) {
  static const auto real = next<ssize_t (*)(int, const void*, size_t, off64_t)>("pwrite64");
  if (fires(Kind::diskError)) return failWith({EIO, EINTR});
  if (!fires(Kind::diskFull)) return real(descriptor, bytes, size, at);
  return size < 2 || chance() % 2 == 0 ? failWith({ENOSPC}) : real(descriptor, bytes, size / 2, at);
}

int open64(const char* path, int flags, ...) {
  static const auto real = next<int (*)(const char*, int, ...)>("open64");
  va_list more;
  va_start(more, flags);
  const mode_t mode = flags & O_CREAT ? va_arg(more, mode_t) : 0;
  va_end(more);
  if (flags & O_CREAT && fires(Kind::diskFull)) return failWith({ENOSPC});
  return real(path, flags, mode);
}

int rename(const char* from, const char* to) noexcept {
  static const auto real = next<int (*)(const char*, const char*)>("rename");
  return fires(Kind::diskError) ? failWith({EIO, ENOSPC}) : real(from, to);
}

int unlink(const char* path) noexcept {
  static const auto real = next<int (*)(const char*)>("unlink");
  return fires(Kind::diskError) ? failWith({EIO}) : real(path);
}

}  // extern "C"
