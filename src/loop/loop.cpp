#include "loop/loop.h"

#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <system_error>

namespace gulltrestle::loop {

namespace {

std::int64_t steadyMicros() {
  using namespace std::chrono;
  return duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
}

std::int64_t unixMicros() {
  using namespace std::chrono;
  return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}

// As many events as a busy turn brings; more wait for the next turn.
constexpr std::size_t kEventsATurn = 256;

}  // namespace

Loop::Loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)), offsetMicros_(unixMicros() - steadyMicros()) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll");
}

Loop::~Loop() { endTasks(); }

void Loop::endTasks() {
  ready_.clear();
  timers_.clear();
  tasks_.clear();
}

Instant Loop::now() const { return Instant::atMicros(steadyMicros() + offsetMicros_); }

void Loop::spawn(Task task) {
  const auto handle = task.handle();
  tasks_.emplace(handle.address(), std::move(task));
  resume(handle);
}

void Loop::run(const EndOfTurn& endOfTurn, const Failed& failed) {
  while (!stopped_) {
    turn(failed);
    const Instant next = endOfTurn(now());
    if (!stopped_) wait(next);
  }
}

void Loop::turn(const Failed& failed) {
  const Instant time = now();
  while (!timers_.empty() && timers_.begin()->first <= time) {
    const Timer due = timers_.begin()->second;
    timers_.erase(timers_.begin());
    if (due.handle) {
      resume(due.handle);
    } else if (const auto at = streams_.find(due.stream); at != streams_.end()) {
      at->second->wake();
    }
  }
  now_.swap(ready_);
  for (const auto handle : now_) step(handle, failed);
  now_.clear();
}

void Loop::step(std::coroutine_handle<> handle, const Failed& failed) {
  handle.resume();
  if (!handle.done()) return;
  const auto ended = tasks_.extract(handle.address());
  if (const auto failure = ended.mapped().failure()) failed(failure);
}

void Loop::wait(Instant until) {
  if (!timers_.empty() && (until == Instant() || timers_.begin()->first < until))
    until = timers_.begin()->first;
  int millis = -1;
  if (!ready_.empty()) {
    millis = 0;
  } else if (until != Instant()) {
    // Rounded up: a turn before the time would find nothing due. At most a minute, which costs nothing.
    const auto left = (until - now()).inMicros();
    millis = static_cast<int>(std::clamp<std::int64_t>((left + 999) / 1000, 0, 60000));
  }
  std::array<epoll_event, kEventsATurn> events;
  int count = epoll_wait(epoll_.number(), events.data(), static_cast<int>(events.size()), millis);
  // Guards against a process that was stopped and goes on: its wait is broken off, and what has come meanwhile
  // is to be seen before anything is decided by the clock. Costs a call, and only then.
  if (count < 0 && errno == EINTR)
    count = epoll_wait(epoll_.number(), events.data(), static_cast<int>(events.size()), 0);
  for (int i = 0; i < count; ++i) {
    const auto& event = events[static_cast<std::size_t>(i)];
    const auto at = streams_.find(event.data.u64);
    if (at == streams_.end()) continue;
    // An error or a hang-up shows in the next read or write, too.
    if (event.events & (EPOLLHUP | EPOLLERR)) at->second->hungUp = true;
    if (event.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) at->second->readEnds = true;
    if (event.events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) at->second->canRead = true;
    if (event.events & (EPOLLOUT | EPOLLHUP | EPOLLERR)) at->second->canWrite = true;
    at->second->wake();
  }
}

std::uint64_t Loop::add(Stream& stream) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = ++lastId_;
  if (epoll_ctl(epoll_.number(), EPOLL_CTL_ADD, stream.descriptor(), &event) != 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  streams_.emplace(lastId_, &stream);
  return lastId_;
}

void Loop::remove(std::uint64_t id, int descriptor) {
  streams_.erase(id);
  epoll_ctl(epoll_.number(), EPOLL_CTL_DEL, descriptor, nullptr);
}

Stream::Stream(Loop& loop, Descriptor descriptor)
    : loop_(loop), descriptor_(std::move(descriptor)), id_(loop.add(*this)) {}

Stream::~Stream() { loop_.remove(id_, descriptor_.number()); }

void Stream::wake() {
  if (waiter_)
    loop_.resume(std::exchange(waiter_, {}));
  else
    woken_ = true;
}

}  // namespace gulltrestle::loop
