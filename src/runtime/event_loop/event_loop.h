// A single-threaded event loop: epoll, timers, and the coroutine tasks that wait for them. A turn resumes all
// tasks that are ready, then calls the end-of-turn callback, then waits for events.
#pragma once

#include <sys/epoll.h>

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

namespace gulltrestle::event_loop {

// Runs tasks on one thread. Tasks and streams refer to the loop and must be destroyed before it.
class EventLoop {
 public:
  // Throws std::system_error if no epoll instance can be created, even after retries
  // (runtime/event_loop/retry_system_call.h).
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  // Unix time: read from the system clock once at construction and advanced by the steady clock since, so it
  // never jumps.
  Instant now() const;

  // Lower bound on the arrival time of all data that is read in this turn. It is the start of the turn, or an
  // earlier time if the process was stopped or busy when the data arrived.
  Instant arrivalLowerBound() const { return arrivalLowerBound_; }

  // Takes ownership of the task and starts it in the next turn.
  void spawn(Task task);
  // Called at the end of each turn. Returns the latest time at which the next turn must run, or Instant()
  // (never) if none is needed.
  using EndOfTurn = std::function<Instant(Instant now)>;
  // Called when a task has ended with an exception.
  using TaskFailed = std::function<void(std::exception_ptr)>;
  // Runs until stop() is called, and returns at the end of that turn.
  void run(const EndOfTurn& endOfTurn, const TaskFailed& taskFailed);
  void stop() { isStopped_ = true; }
  // Destroys all tasks at their suspension points. An object that tasks refer to calls this before it is
  // destroyed.
  void destroyTasks();

  // Awaitable: resumes the task at `at` or shortly after.
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
  // Resumes a task, wakes a stream that still exists, or resumes the event reports of that stream.
  struct Timer {
    std::coroutine_handle<> handle;
    std::uint64_t stream = 0;
    bool resumesReports = false;
  };

  // Interface for Stream.
  void add(Stream& stream);
  void remove(Stream& stream);
  void wakeAt(Stream& stream, Instant at) { timers_.emplace(at, Timer{{}, stream.id_}); }
  // Schedules the registration of the events that the stream wants; it takes place before the next wait.
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
  void recordWait(Instant startedAt, int timeoutMillis, bool wasInterrupted);
  void handleEvent(const epoll_event& event);

  bool registerEvents(Stream& stream, std::uint32_t events);
  void unregister(Stream& stream);
  bool updateInterest(Stream& stream);
  void updatePendingInterests();

  Descriptor epoll_;
  std::int64_t offsetMicros_;  // added to the steady clock to get Unix time
  bool isStopped_ = false;
  Instant arrivalLowerBound_, lastWaitEndedAt_;
  std::uint64_t lastStreamId_ = 0;
  // The events reported by the last wait, with room for one of each stream: a turn sees everything that has
  // arrived, even after the process was stopped, so that no decision is made on a part of it. Trade-off: a
  // turn is as long as all streams together make it.
  std::vector<epoll_event> events_ = std::vector<epoll_event>(1);
  // Keyed by id, so that an event of a stream that was closed in the meantime matches no other stream.
  std::unordered_map<std::uint64_t, Stream*> streams_;
  std::vector<std::uint64_t> pendingInterests_;   // ids of streams whose wanted events are not registered yet
  std::vector<std::coroutine_handle<>> ready_;    // to be resumed in the next turn
  std::vector<std::coroutine_handle<>> running_;  // being resumed in this turn
  std::multimap<Instant, Timer> timers_;
  std::unordered_map<void*, Task> tasks_;  // keyed by the address of the coroutine frame
};

}  // namespace gulltrestle::event_loop
