// A socket or other descriptor that tasks of a loop wait on. What it can do is remembered until a call says
// that it would block, or took less than it was given; from then on epoll is asked again, level-triggered:
// bytes that a short read or write left behind are reported again, whatever made it short.
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
  bool readEnds() const { return readEnds_; }  // the other side sends no more than what can be read
  bool hungUp() const { return hungUp_; }      // reset, or ended in both directions

  // One system call each, which never blocks.
  IoResult read(std::span<char> buffer);
  IoResult write(std::span<const std::string_view> parts);
  Io accept(Descriptor& taken);
  // In each turn whoever waits here is resumed ahead of all others: what it learns binds them. Epoll's own
  // order is no order of arrival, as what it reported last stays first in its list.
  void comesFirst() { comesFirst_ = true; }
  // For a descriptor that is read otherwise (signals, events): nothing was left.
  void readBlocked();

  // Resumes in a later turn, once something may have changed: it can be read or written, or wake() was
  // called. One task waits at a time.
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
  // What epoll is to report, as far as it is not known already.
  std::uint32_t wanted() const;
  // Takes over what epoll reported; returns what it need not report again until it is asked.
  std::uint32_t reported(std::uint32_t events);
  void await(std::coroutine_handle<> handle);
  void writeBlocked();
  void pauseReports();

  EventLoop& loop_;
  Descriptor descriptor_;
  bool canRead_ = false, canWrite_ = false, readEnds_ = false, hungUp_ = false;
  bool added_ = false;       // epoll knows it
  bool paused_ = false;      // reports wait for a timer, as the system was short of memory
  std::uint32_t armed_ = 0;  // what epoll reports
  std::uint64_t id_ = 0;
  bool woken_ = false, comesFirst_ = false;
  std::coroutine_handle<> waiter_;
};

}  // namespace gulltrestle::event_loop
