// The scheduler: one thread, epoll, timers, and the coroutine tasks that wait for them. A turn resumes all
// that is ready, then calls the end of turn, then waits.
#pragma once

#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "runtime/event_loop/descriptor.h"
#include "runtime/event_loop/stream.h"
#include "runtime/event_loop/task.h"

namespace gulltrestle::event_loop {

// Single-threaded. Everything that runs on it refers to it and must end before it.
class EventLoop {
 public:
  // Throws std::system_error where the system has no epoll for it, also after a while.
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  // Unix time, taken from the system's clock once and run by the steady clock since: it never jumps.
  Instant now() const;

  // What is read in this turn came no earlier than this: now, but where the process stood still or was busy
  // and found it there.
  Instant arrivedSince() const { return arrivedSince_; }

  // Takes the task over and starts it in the next turn.
  void spawn(Task task);
  // Called at the end of each turn; returns when the next one is needed at the latest, never if none is.
  using EndOfTurn = std::function<Instant(Instant now)>;
  // A task has ended by an exception.
  using Failed = std::function<void(std::exception_ptr)>;
  void run(const EndOfTurn& endOfTurn, const Failed& failed);
  void stop() { stopped_ = true; }
  // Destroys all tasks where they wait: whoever they refer to calls this before it goes.
  void endTasks();

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
  struct Timer {  // resumes a task; or wakes a stream, if it is still there; or has its reports go on
    std::coroutine_handle<> handle;
    std::uint64_t stream = 0;
    bool reportsGoOn = false;
  };
  void add(Stream& stream);
  void remove(Stream& stream);
  void wakeAt(Stream& stream, Instant at) { timers_.emplace(at, Timer{{}, stream.id_}); }
  // Ahead of the next wait epoll is asked for what the stream wants to know.
  void settleLater(Stream& stream) { unsettled_.push_back(stream.id_); }
  void pauseReports(Stream& stream);
  bool settle(Stream& stream);
  void settleAll();
  bool arm(Stream& stream, std::uint32_t events);
  void disarm(Stream& stream);
  void due(const Timer& timer);
  void resume(std::coroutine_handle<> handle) { ready_.push_back(handle); }
  void resumeFirst(std::coroutine_handle<> handle) { ready_.insert(ready_.begin(), handle); }
  void wait(Instant until);
  void turn(const Failed& failed);
  void step(std::coroutine_handle<> handle, const Failed& failed);

  Descriptor epoll_;
  std::int64_t offsetMicros_;  // from the steady clock to Unix time
  bool stopped_ = false;
  Instant arrivedSince_, waitedAt_;  // waitedAt_: when the last wait was over
  std::uint64_t lastId_ = 0;
  // By number: what epoll tells of a stream that was closed since must find nothing.
  std::unordered_map<std::uint64_t, Stream*> streams_;
  std::vector<std::uint64_t> unsettled_;  // streams of which epoll does not report all that is wanted
  std::vector<std::coroutine_handle<>> ready_, now_;  // for the next turn, and in this one
  std::multimap<Instant, Timer> timers_;
  std::unordered_map<void*, Task> tasks_;  // by the address of the frame
};

}  // namespace gulltrestle::event_loop
