// The scheduler: one thread, epoll, timers, and the coroutine tasks that wait for them. A turn resumes all
// tasks that are ready, then calls the end of turn, then waits.
#pragma once

#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "runtime/event_loop/descriptor.h"
#include "runtime/event_loop/stream.h"
#include "runtime/event_loop/task.h"

struct epoll_event;

namespace gulltrestle::event_loop {

// Single-threaded. Everything that runs on it refers to it and must end before it.
class EventLoop {
 public:
  // Throws std::system_error where the system has no epoll for it, also after a while.
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  // Unix time, taken from the system's clock once and advanced by the steady clock since: it never jumps.
  Instant now() const;

  // What is read in this turn arrived no earlier than this. That is now, except where the process was stopped
  // or busy and found it there.
  Instant arrivedSince() const { return arrivedSince_; }

  // Takes the task over and starts it in the next turn.
  void spawn(Task task);
  // Called at the end of each turn; returns when the next one is needed at the latest, never if none is.
  using EndOfTurn = std::function<Instant(Instant now)>;
  // Called when a task has ended by an exception.
  using TaskFailed = std::function<void(std::exception_ptr)>;
  // Returns after stop(), at the end of that turn.
  void run(const EndOfTurn& endOfTurn, const TaskFailed& taskFailed);
  void stop() { isStopped_ = true; }
  // Destroys all tasks where they wait: whoever they refer to calls this before it is destroyed.
  void endTasks();

  // Awaitable: resumes the task at that time or shortly after.
  auto sleepUntil(Instant at) {
    struct Sleep {
      EventLoop& loop;
      Instant at;
      bool await_ready() const { return false; }
      void await_suspend(std::coroutine_handle<> handle) { loop.timers_.emplace(at, Timer{handle}); }
      void await_resume() const {}
    };
    return Sleep{*this, at};
  }

 private:
  friend class Stream;
  // Resumes a task; or wakes a stream, if it is still there; or resumes the reports on it.
  struct Timer {
    std::coroutine_handle<> handle;
    std::uint64_t stream = 0;
    bool resumesReports = false;
  };

  // For Stream.
  void add(Stream& stream);
  void remove(Stream& stream);
  void wakeAt(Stream& stream, Instant at) { timers_.emplace(at, Timer{{}, stream.id_}); }
  // The events that the stream wants are registered before the next wait.
  void updateInterestLater(Stream& stream) { pendingInterests_.push_back(stream.id_); }
  void pauseReports(Stream& stream);
  void resume(std::coroutine_handle<> handle) { ready_.push_back(handle); }
  void resumeFirst(std::coroutine_handle<> handle) { ready_.insert(ready_.begin(), handle); }

  void runTurn(const TaskFailed& taskFailed);
  void fire(const Timer& timer);
  void runTask(std::coroutine_handle<> handle, const TaskFailed& taskFailed);

  void wait(Instant until);
  Instant earliestWakeUp(Instant until) const;
  int waitTimeoutMillis(Instant until) const;
  std::size_t poll(std::span<epoll_event> events, int timeoutMillis);
  void noteWait(Instant startedAt, int timeoutMillis, bool wasInterrupted);
  void handleEvent(const epoll_event& event);

  bool registerEvents(Stream& stream, std::uint32_t events);
  void unregister(Stream& stream);
  bool updateInterest(Stream& stream);
  void updatePendingInterests();

  Descriptor epoll_;
  std::int64_t offsetMicros_;  // from the steady clock to Unix time
  bool isStopped_ = false;
  Instant arrivedSince_, lastWaitEndedAt_;
  std::uint64_t lastStreamId_ = 0;
  // By id: events of a stream that was closed since must find nothing.
  std::unordered_map<std::uint64_t, Stream*> streams_;
  std::vector<std::uint64_t> pendingInterests_;   // streams that want events which are not registered
  std::vector<std::coroutine_handle<>> ready_;    // for the next turn
  std::vector<std::coroutine_handle<>> running_;  // in this turn
  std::multimap<Instant, Timer> timers_;
  std::unordered_map<void*, Task> tasks_;  // by the address of the coroutine frame
};

}  // namespace gulltrestle::event_loop
