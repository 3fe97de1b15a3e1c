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
#include "loop/descriptor.h"
#include "loop/task.h"

namespace gulltrestle::loop {

class Stream;

class Loop {
 public:
  Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  ~Loop();

  // Unix time, taken from the system's clock once and run by the steady clock since: it never jumps.
  Instant now() const;

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
      Loop& loop;
      Instant at;
      bool await_ready() const { return false; }
      void await_suspend(std::coroutine_handle<> handle) { loop.timers_.emplace(at, Timer{handle, 0}); }
      void await_resume() const {}
    };
    return Sleep{*this, at};
  }

 private:
  friend class Stream;
  struct Timer {  // resumes a task, or wakes a stream if it is still there
    std::coroutine_handle<> handle;
    std::uint64_t stream;
  };
  std::uint64_t add(Stream& stream);
  void remove(std::uint64_t id, int descriptor);
  void resume(std::coroutine_handle<> handle) { ready_.push_back(handle); }
  void wait(Instant until);
  void turn(const Failed& failed);
  void step(std::coroutine_handle<> handle, const Failed& failed);

  Descriptor epoll_;
  std::int64_t offsetMicros_;  // from the steady clock to Unix time
  bool stopped_ = false;
  std::uint64_t lastId_ = 0;
  // By number: what epoll tells of a stream that was closed since must find nothing.
  std::unordered_map<std::uint64_t, Stream*> streams_;
  std::vector<std::coroutine_handle<>> ready_, now_;  // for the next turn, and in this one
  std::multimap<Instant, Timer> timers_;
  std::unordered_map<void*, Task> tasks_;  // by the address of the frame
};

// A socket or other descriptor that tasks wait on. Edge-triggered: what it can do is remembered here until a
// call says it would block.
class Stream {
 public:
  Stream(Loop& loop, Descriptor descriptor);
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  ~Stream();

  int descriptor() const { return descriptor_.number(); }
  bool canRead = false, canWrite = false;
  bool readEnds = false;  // the other side sends no more than what can be read
  bool hungUp = false;    // reset, or ended in both directions

  // Resumes in a later turn, once something may have changed: it can be read or written, or wake() was
  // called. One task waits at a time.
  auto changed() {
    struct Change {
      Stream& stream;
      bool await_ready() const { return false; }
      void await_suspend(std::coroutine_handle<> handle) {
        if (std::exchange(stream.woken_, false))
          stream.loop_.resume(handle);
        else
          stream.waiter_ = handle;
      }
      void await_resume() const {}
    };
    return Change{*this};
  }
  void wake();
  void wakeAt(Instant at) { loop_.timers_.emplace(at, Loop::Timer{{}, id_}); }

 private:
  friend class Loop;
  Loop& loop_;
  Descriptor descriptor_;
  std::uint64_t id_;
  bool woken_ = false;
  std::coroutine_handle<> waiter_;
};

}  // namespace gulltrestle::loop
