// Controls the fault injection of system calls. Tests and soaks share a memory-mapped file with the library
// that they preload into the program (tests/faults/machine.cpp). A test sets the rate of each kind of fault,
// also while the program runs, and reads how often each kind was injected, also after the program was killed.
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

// The kinds of faults, each with the system calls that it affects.
enum class FaultKind : std::size_t {
  shortRead,       // recv returns one to three bytes
  shortWrite,      // sendmsg sends one to three bytes
  interrupted,     // EINTR: recv, sendmsg, accept4, connect, epoll_wait
  outOfMemory,     // ENOMEM, ENOBUFS: recv, sendmsg
  epollCtl,        // ENOMEM, ENOSPC: epoll_ctl
  acceptError,     // accept4: errors that its manual page lists
  socket,          // EMFILE, ENFILE, ENOBUFS, ENOMEM: socket
  listenError,     // EADDRINUSE: bind, listen
  connectError,    // connect: transient errors of the local machine and of the network
  connectionLost,  // recv, sendmsg: ECONNRESET, ETIMEDOUT, EHOSTUNREACH; the connection is reset
  delayedWait,     // epoll_wait returns up to 0.15 s late
  diskFull,        // ENOSPC: open with O_CREAT, write, pwrite; also after a partial write
  diskError,       // EIO: write, pwrite, fsync, fdatasync, rename, unlink
  count
};
constexpr std::size_t kFaultKindCount = static_cast<std::size_t>(FaultKind::count);
// The names of the kinds in reports and traces, by the kind's value.
constexpr std::array<const char*, kFaultKindCount> kFaultNames{
    "short-read", "short-write", "interrupted", "memory",  "epoll-ctl", "accepting", "socket",
    "listening",  "connecting",  "lost",        "held-up", "disk-full", "disk-error"};

constexpr std::size_t kPorts = 1 << 16;

// The shared memory. All members are lock-free atomics, because two processes access them.
struct FaultControls {
  std::array<std::atomic<std::uint32_t>, kFaultKindCount> perMille;   // share of the affected calls that fail
  std::array<std::atomic<std::uint32_t>, kFaultKindCount> failFirst;  // number of the next calls that fail
  std::array<std::atomic<std::uint64_t>, kFaultKindCount> injectedCount;  // number of injected faults
  std::atomic<std::uint64_t> seed;
  std::atomic<std::uint32_t>
      blockAfterStartup;                     // 1: the first epoll_wait after the next startup message blocks
  std::atomic<std::uint32_t> isWaitBlocked;  // 1: that wait is blocked
  std::atomic<std::int64_t> wallOffsetSeconds;  // added to the wall clock; a change makes the clock step
  std::atomic<std::uint64_t> wallClockReads;    // reads of the wall clock with an offset
  // Number of bytes that the program has read of the client with each port; reset by that client.
  std::array<std::atomic<std::uint64_t>, kPorts> bytesReadFrom;
};
static_assert(std::atomic<std::uint64_t>::is_always_lock_free);

// Name of the environment variable with the path of the shared file.
constexpr const char* kVariable = "GULLTRESTLE_BAD_MACHINE";

// Maps the shared file, and creates it if it is missing. Returns null on an error.
inline FaultControls* mapFaultControls(const char* path) {
  const int file = ::open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (file < 0) return nullptr;
  void* memory = ftruncate(file, sizeof(FaultControls)) == 0
                     ? mmap(nullptr, sizeof(FaultControls), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0)
                     : MAP_FAILED;
  ::close(file);
  return memory == MAP_FAILED ? nullptr : static_cast<FaultControls*>(memory);
}

// The test's end: controls the faults of one program.
class FaultController {
 public:
  FaultController(std::string path, std::uint64_t seed)
      : path_(std::move(path)), controls_(mapFaultControls(path_.c_str())) {
    if (!controls_) throw std::runtime_error("can't map the file for fault injection " + path_);
    controls_->seed = seed;
  }
  FaultController(const FaultController&) = delete;
  FaultController& operator=(const FaultController&) = delete;
  ~FaultController() {
    munmap(controls_, sizeof(FaultControls));
    unlink(path_.c_str());
  }

  // Sets the share of the affected calls that fail.
  void setFaultRate(FaultKind kind, std::uint32_t perMille) { controls_->perMille[index(kind)] = perMille; }
  // Makes the next `calls` affected calls fail.
  void failFirst(FaultKind kind, std::uint32_t calls) { controls_->failFirst[index(kind)] = calls; }
  // Sets the offset that is added to the program's wall clock.
  void offsetWallClock(std::int64_t seconds) { controls_->wallOffsetSeconds = seconds; }
  // Stops the injection of faults. The counts and the offset of the wall clock stay.
  void clearFaults() {
    for (auto& value : controls_->perMille) value = 0;
    for (auto& value : controls_->failFirst) value = 0;
  }
  // Makes the program block in the first epoll_wait after the next startup message that it sends to a node.
  void blockAfterStartup() { controls_->blockAfterStartup = 1; }
  // Returns false if the program does not block within 30 s.
  bool waitUntilBlocked() const {
    for (int poll = 0; poll < kMaxPolls && controls_->isWaitBlocked == 0; ++poll) usleep(1000);
    return controls_->isWaitBlocked != 0;
  }
  // Lets the blocked wait continue.
  void release() { controls_->isWaitBlocked = 0; }
  // Number of faults of this kind that were injected so far.
  std::uint64_t injectedCount(FaultKind kind) const { return controls_->injectedCount[index(kind)]; }
  // Number of the program's reads of the wall clock with an offset.
  std::uint64_t wallClockReads() const { return controls_->wallClockReads; }
  // Number of bytes that the program has read of the client with this port. To be reset by the client before
  // it sends anything.
  std::uint64_t bytesReadFrom(unsigned short port) const { return controls_->bytesReadFrom[port]; }
  void resetBytesReadFrom(unsigned short port) { controls_->bytesReadFrom[port] = 0; }
  // Returns the setting for the program's environment, as NAME=value.
  std::string variable() const { return std::string(kVariable) + "=" + path_; }

 private:
  static constexpr int kMaxPolls = 30'000;  // one per millisecond
  static std::size_t index(FaultKind kind) { return static_cast<std::size_t>(kind); }
  std::string path_;
  FaultControls* controls_;
};

}  // namespace gulltrestle::faults
