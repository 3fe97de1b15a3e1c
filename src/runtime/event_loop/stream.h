// A socket or other descriptor that tasks of a loop wait on. Its readiness is remembered until a call would
// block or moves less than it was given; from then on epoll reports again, level-triggered: bytes that a
// short read or write left behind are reported again, whatever made it short.
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

// Owns the descriptor. At most one task waits on a stream at a time.
class Stream {
 public:
  Stream(EventLoop& loop, Descriptor descriptor);
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  ~Stream();

  int descriptor() const { return descriptor_.number(); }
  bool canRead() const { return canRead_; }
  bool canWrite() const { return canWrite_; }
  // The other side sends no more than what can be read.
  bool isPeerHalfClosed() const { return isPeerHalfClosed_; }
  // Reset, or ended in both directions.
  bool hungUp() const { return hungUp_; }

  // One system call each, which never blocks. Where the system is short of memory they would block, and the
  // call is worth repeating after the next report.
  IoResult read(std::span<char> buffer);
  IoResult write(std::span<const std::string_view> parts);
  // `accepted`: the new connection, where the result is Io::some.
  Io accept(Descriptor& accepted);
  // In each turn the task that waits here is resumed ahead of all others, as what it learns binds them.
  // Epoll's own order is no order of arrival, as what it reported last stays first in its list.
  void prioritize() { isPrioritized_ = true; }
  // For a descriptor that is read by other calls (signals, events): they found nothing left.
  void readBlocked();

  // Awaitable: resumes in a later turn, once something may have changed: it can be read or written, or wake()
  // was called.
  auto changed() {
    struct Change {
      Stream& stream;
      bool await_ready() const { return false; }
      void await_suspend(std::coroutine_handle<> handle) { stream.await(handle); }
      void await_resume() const {}
    };
    return Change{*this};
  }
  void wake();
  void wakeAt(Instant at);

 private:
  friend class EventLoop;
  // The epoll events to be reported: those whose readiness is not known already.
  std::uint32_t wantedEvents() const;
  // Takes over the reported events; returns those that need no further report until they are wanted again.
  std::uint32_t applyReport(std::uint32_t events);
  void await(std::coroutine_handle<> handle);
  void writeBlocked();
  void pauseReports();

  EventLoop& loop_;
  Descriptor descriptor_;
  bool canRead_ = false, canWrite_ = false, isPeerHalfClosed_ = false, hungUp_ = false;
  // State of the event loop.
  std::uint64_t id_ = 0;
  bool isRegistered_ = false;           // with epoll
  std::uint32_t registeredEvents_ = 0;  // that epoll reports
  bool areReportsPaused_ = false;       // until a timer, as the system was short of memory
  bool isWakePending_ = false;          // it was woken while no task waited
  bool isPrioritized_ = false;
  std::coroutine_handle<> waiter_;
};

}  // namespace gulltrestle::event_loop
