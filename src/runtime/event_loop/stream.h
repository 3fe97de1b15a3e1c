// A socket or other descriptor that tasks of an event loop wait on. Its readiness is cached until a call
// would block or transfers less than requested. From then on epoll reports it again, level-triggered, so that
// bytes left over by a short read or write are reported whatever the cause of the short transfer was.
#pragma once

#include <coroutine>
#include <cstdint>
#include <span>
#include <string_view>
#include <utility>

#include "base/time.h"
#include "runtime/event_loop/descriptor.h"
#include "runtime/event_loop/sockets.h"

namespace gulltrestle::event_loop {

class EventLoop;

// Owns the descriptor and is registered with the loop for its lifetime. At most one task waits on a stream at
// a time.
class Stream {
 public:
  Stream(EventLoop& loop, Descriptor descriptor);
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  ~Stream();

  int descriptor() const { return descriptor_.number(); }
  bool canRead() const { return canRead_; }
  bool canWrite() const { return canWrite_; }
  // The peer has shut down its sending direction: it sends nothing after the data that can be read now.
  bool isPeerHalfClosed() const { return isPeerHalfClosed_; }
  // The connection was reset, or both directions are shut down.
  bool hungUp() const { return hungUp_; }

  // Each makes one non-blocking system call. If the system is short of memory, the result is
  // IoStatus::wouldBlock and the caller retries after the next report.
  IoResult read(std::span<char> buffer);
  IoResult write(std::span<const std::string_view> parts);
  // Accepts one connection and stores it in `accepted` if the result is IoStatus::ok.
  IoStatus accept(Descriptor& accepted);
  // In each turn, resumes the task that waits on this stream before all others, as the data it receives
  // affects their decisions. The order of epoll's reports can't be used for this: it is not the order of
  // arrival, as a descriptor that was reported last stays first in epoll's list.
  void prioritize() { isPrioritized_ = true; }
  // Reports that nothing is left to read, for a descriptor that is read by other calls (signals, events).
  void readBlocked();

  // Awaitable: resumes the task in a later turn, when the stream may have become readable or writable or
  // wake() was called. Spurious wake-ups are possible.
  auto changed() {
    struct Change {
      Stream& stream;
      bool await_ready() const { return false; }
      void await_suspend(std::coroutine_handle<> handle) { stream.await(handle); }
      void await_resume() const {}
    };
    return Change{*this};
  }
  // Resumes the waiting task in a later turn; if no task waits, the next wait ends immediately.
  void wake();
  // Calls wake() at `at` or shortly after, if the stream still exists.
  void wakeAt(Instant at);

 private:
  friend class EventLoop;
  // Returns the epoll events that are to be reported: those whose readiness is not cached.
  std::uint32_t wantedEvents() const;
  // Caches the reported events. Returns those that need no further reports until they are wanted again.
  std::uint32_t applyReport(std::uint32_t events);
  void await(std::coroutine_handle<> handle);
  void writeBlocked();
  void pauseReports();

  EventLoop& loop_;
  Descriptor descriptor_;
  bool canRead_ = false, canWrite_ = false, isPeerHalfClosed_ = false, hungUp_ = false;
  // State that is managed by the event loop.
  std::uint64_t id_ = 0;
  bool isRegistered_ = false;           // with epoll
  std::uint32_t registeredEvents_ = 0;  // epoll events registered for this descriptor
  bool areReportsPaused_ = false;       // until a timer fires, as the system was short of memory
  bool isWakePending_ = false;          // wake() was called while no task was waiting
  bool isPrioritized_ = false;
  std::coroutine_handle<> waiter_;
};

}  // namespace gulltrestle::event_loop
