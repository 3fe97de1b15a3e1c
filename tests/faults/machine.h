// A bad machine: what tests and soaks share with the library that they preload into the program
// (tests/faults/machine.cpp). The page lies in a file that both map: who drives a test sets how often a kind
// of fault comes, also while the program runs, and reads how often it came, also after the program was
// killed.
#pragma once

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <stdexcept>
#include <string>

namespace gulltrestle::faults {

enum class Kind : std::size_t {
  shortRead,    // recv takes one to three bytes
  shortWrite,   // sendmsg takes one to three bytes
  interrupted,  // EINTR: recv, sendmsg, accept4, connect, epoll_wait
  memory,       // ENOMEM, ENOBUFS: recv, sendmsg
  epollCtl,     // ENOMEM, ENOSPC: epoll_ctl
  accepting,    // accept4, as its manual page lists
  socket,       // EMFILE, ENFILE, ENOBUFS, ENOMEM: socket
  listening,    // EADDRINUSE: bind, listen
  connecting,   // connect: passing troubles of this machine, and of the network
  lost,         // recv, sendmsg: ECONNRESET, ETIMEDOUT, EHOSTUNREACH; the connection is reset
  heldUp,       // epoll_wait returns up to 0.15 s late
  diskFull,     // ENOSPC: open with O_CREAT, write, pwrite, also after a part was written
  diskError,    // EIO: write, pwrite, fsync, fdatasync, rename, unlink
  count
};
constexpr std::size_t kKinds = static_cast<std::size_t>(Kind::count);
constexpr std::array<const char*, kKinds> kNames{
    "short-read", "short-write", "interrupted", "memory",  "epoll-ctl", "accepting", "socket",
    "listening",  "connecting",  "lost",        "held-up", "disk-full", "disk-error"};

struct Page {
  std::array<std::atomic<std::uint32_t>, kKinds> perMille;   // of the calls that may fail so
  std::array<std::atomic<std::uint32_t>, kKinds> failFirst;  // so many calls from now on fail
  std::array<std::atomic<std::uint64_t>, kKinds> fired;
  std::atomic<std::uint64_t> seed;
  std::atomic<std::uint32_t>
      holdAfterStartup;             // the next startup message that is sent holds the wait after it
  std::atomic<std::uint32_t> held;  // that wait has not begun yet
  std::atomic<std::int64_t> wallOffsetSeconds;  // of the wall clock, which steps as it is changed
  std::atomic<std::uint64_t> wallReads;         // with an offset in force
};
static_assert(std::atomic<std::uint64_t>::is_always_lock_free);

// Variable of the environment that names the file of the page.
constexpr const char* kVariable = "GULLTRESTLE_BAD_MACHINE";

// Maps the page in the file, which is made where it is missing. Null where that can't be.
inline Page* mapPage(const char* path) {
  const int file = ::open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (file < 0) return nullptr;
  void* at = ftruncate(file, sizeof(Page)) == 0
                 ? mmap(nullptr, sizeof(Page), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0)
                 : MAP_FAILED;
  ::close(file);
  return at == MAP_FAILED ? nullptr : static_cast<Page*>(at);
}

// The side that drives: a machine for one program.
class Machine {
 public:
  Machine(std::string path, std::uint64_t seed) : path_(std::move(path)), page_(mapPage(path_.c_str())) {
    if (!page_) throw std::runtime_error("no page at " + path_);
    page_->seed = seed;
  }
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;
  ~Machine() {
    munmap(page_, sizeof(Page));
    unlink(path_.c_str());
  }

  void fail(Kind kind, std::uint32_t perMille) { page_->perMille[index(kind)] = perMille; }
  void failFirst(Kind kind, std::uint32_t calls) { page_->failFirst[index(kind)] = calls; }
  void offsetWallClock(std::int64_t seconds) { page_->wallOffsetSeconds = seconds; }
  void heal() {
    for (auto& one : page_->perMille) one = 0;
    for (auto& one : page_->failFirst) one = 0;
  }
  // The program stands still ahead of the first wait after it next begins a connection to a node.
  void holdAfterStartup() { page_->holdAfterStartup = 1; }
  // False: it has not come to that.
  bool awaitHeld() const {
    for (int tries = 0; tries < kMostTries && page_->held == 0; ++tries) usleep(1000);
    return page_->held != 0;
  }
  void release() { page_->held = 0; }
  std::uint64_t fired(Kind kind) const { return page_->fired[index(kind)]; }
  std::uint64_t wallReads() const { return page_->wallReads; }
  // For the program's environment.
  std::string variable() const { return std::string(kVariable) + "=" + path_; }

 private:
  static constexpr int kMostTries = 30'000;  // of a millisecond
  static std::size_t index(Kind kind) { return static_cast<std::size_t>(kind); }
  std::string path_;
  Page* page_;
};

}  // namespace gulltrestle::faults
