// The coroutine type that an EventLoop owns and runs to completion.
#pragma once

#include <coroutine>
#include <exception>
#include <utility>

namespace gulltrestle::event_loop {

// Owns a coroutine frame. Move-only. The coroutine starts suspended; if an exception ends it, the task stores
// the exception.
class Task {
 public:
  struct promise_type {
    std::exception_ptr failure;
    Task get_return_object() { return Task(std::coroutine_handle<promise_type>::from_promise(*this)); }
    std::suspend_always initial_suspend() noexcept { return {}; }
    std::suspend_always final_suspend() noexcept { return {}; }
    void return_void() {}
    void unhandled_exception() { failure = std::current_exception(); }
  };

  explicit Task(std::coroutine_handle<promise_type> handle) : handle_(handle) {}
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, {})) {}
  Task& operator=(Task&& other) noexcept {
    std::swap(handle_, other.handle_);
    return *this;
  }
  ~Task() {
    if (handle_) handle_.destroy();
  }

  std::coroutine_handle<> handle() const { return handle_; }
  bool done() const { return handle_.done(); }
  std::exception_ptr failure() const { return handle_.promise().failure; }

 private:
  std::coroutine_handle<promise_type> handle_;  // owns the frame
};

}  // namespace gulltrestle::event_loop
