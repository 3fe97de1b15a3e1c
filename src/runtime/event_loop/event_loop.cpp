#include "runtime/event_loop/event_loop.h"

#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <system_error>
#include <utility>

#include "runtime/event_loop/retry_system_call.h"

namespace gulltrestle::event_loop {

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

// Where epoll could not be asked, and where the system was short of memory: short against any deadline, and
// long enough not to spin.
constexpr Duration kRetryPause = Duration::millis(10);

// A wait that took less than this did not wait.
constexpr Duration kNoWait = Duration::millis(1);
// One that took so much longer than was asked for was held up.
constexpr Duration kLateWait = Duration::millis(50);

// The process was stopped and goes on: a wait that something ended meanwhile does not tell.
volatile std::sig_atomic_t resumed = 0;

}  // namespace

EventLoop::EventLoop()
    : epoll_(retrySystemCall("epoll", [] { return epoll_create1(EPOLL_CLOEXEC); })),
      offsetMicros_(unixMicros() - steadyMicros()) {
  arrivedSince_ = waitedAt_ = now();
  std::signal(SIGCONT, [](int) { resumed = 1; });
}

EventLoop::~EventLoop() { endTasks(); }

void EventLoop::endTasks() {
  ready_.clear();
  timers_.clear();
  tasks_.clear();
}

Instant EventLoop::now() const { return Instant::atMicros(steadyMicros() + offsetMicros_); }

void EventLoop::spawn(Task task) {
  const auto handle = task.handle();
  tasks_.emplace(handle.address(), std::move(task));
  resume(handle);
}

void EventLoop::run(const EndOfTurn& endOfTurn, const Failed& failed) {
  while (!stopped_) {
    turn(failed);
    const Instant next = endOfTurn(now());
    if (!stopped_) wait(next);
  }
}

void EventLoop::turn(const Failed& failed) {
  const Instant time = now();
  while (!timers_.empty() && timers_.begin()->first <= time) {
    const Timer timer = timers_.begin()->second;
    timers_.erase(timers_.begin());
    due(timer);
  }
  now_.swap(ready_);
  for (const auto handle : now_) step(handle, failed);
  now_.clear();
}

void EventLoop::due(const Timer& timer) {
  if (timer.handle) return resume(timer.handle);
  const auto at = streams_.find(timer.stream);
  if (at == streams_.end()) return;
  Stream& stream = *at->second;
  if (!timer.reportsGoOn) return stream.wake();
  stream.paused_ = false;
  settleLater(stream);
}

void EventLoop::step(std::coroutine_handle<> handle, const Failed& failed) {
  handle.resume();
  if (!handle.done()) return;
  const auto ended = tasks_.extract(handle.address());
  if (const auto failure = ended.mapped().failure()) failed(failure);
}

void EventLoop::wait(Instant until) {
  settleAll();
  if (!timers_.empty() && (until == Instant() || timers_.begin()->first < until))
    until = timers_.begin()->first;
  if (!unsettled_.empty())
    until = until == Instant() ? now() + kRetryPause : std::min(until, now() + kRetryPause);
  int millis = -1;
  if (!ready_.empty()) {
    millis = 0;
  } else if (until != Instant()) {
    // Rounded up: a turn before the time would find nothing due. At most a minute, which costs nothing.
    const auto left = (until - now()).inMicros();
    millis = static_cast<int>(std::clamp<std::int64_t>((left + 999) / 1000, 0, 60000));
  }
  std::array<epoll_event, kEventsATurn> events;
  const Instant asked = now();
  int count = epoll_wait(epoll_.number(), events.data(), static_cast<int>(events.size()), millis);
  // Guards against a process that was stopped and goes on: its wait is broken off, and what has come
  // meanwhile is to be seen before anything is decided by the clock. Costs a call, and only then.
  const bool wasInterrupted = count < 0 && errno == EINTR;
  if (wasInterrupted) count = epoll_wait(epoll_.number(), events.data(), static_cast<int>(events.size()), 0);
  const Instant back = now();
  // What is told without a wait was there before, and what is told to a process that was stopped may have
  // been; how long, only the wait before can say.
  const bool wasStopped = wasInterrupted || resumed != 0;
  resumed = 0;
  const bool isLate = millis >= 0 && back - asked > Duration::millis(millis) + kLateWait;
  const bool wasThere = wasStopped || isLate || back - asked < kNoWait;
  arrivedSince_ = wasThere ? waitedAt_ : back;
  // A stop may also have come between what was told and the look at the clock.
  waitedAt_ = wasStopped || isLate ? asked : back;
  for (int i = 0; i < count; ++i) {
    const auto& event = events[static_cast<std::size_t>(i)];
    const auto at = streams_.find(event.data.u64);
    if (at == streams_.end()) continue;
    Stream& stream = *at->second;
    const std::uint32_t known = stream.reported(event.events);
    // A hang-up is reported as long as epoll knows the descriptor.
    if (known & (EPOLLHUP | EPOLLERR))
      disarm(stream);
    else if (known & stream.armed_)
      arm(stream, stream.armed_ & ~known);
    stream.wake();
  }
}

// False where epoll can't be asked now. Without any events it still reports a hang-up.
bool EventLoop::arm(Stream& stream, std::uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.u64 = stream.id_;
  const int what = stream.added_ ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  if (epoll_ctl(epoll_.number(), what, stream.descriptor(), &event) != 0) return false;
  stream.added_ = true;
  stream.armed_ = events;
  return true;
}

void EventLoop::disarm(Stream& stream) {
  if (!stream.added_ || epoll_ctl(epoll_.number(), EPOLL_CTL_DEL, stream.descriptor(), nullptr) != 0) return;
  stream.added_ = false;
  stream.armed_ = 0;
}

// Asks epoll for all that the stream wants to know. True where nothing is left to do.
bool EventLoop::settle(Stream& stream) {
  const std::uint32_t wanted = stream.wanted();
  if (stream.paused_ || (wanted & ~stream.armed_) == 0) return true;
  return arm(stream, wanted | stream.armed_);
}

void EventLoop::settleAll() {
  std::erase_if(unsettled_, [this](std::uint64_t id) {
    const auto at = streams_.find(id);
    return at == streams_.end() || settle(*at->second);
  });
}

void EventLoop::pauseReports(Stream& stream) {
  disarm(stream);
  timers_.emplace(now() + kRetryPause, Timer{{}, stream.id_, true});
}

void EventLoop::add(Stream& stream) {
  stream.id_ = ++lastId_;
  // The system may be out of memory, or of watches, for a moment: it is asked again before each wait.
  if (!settle(stream) && errno != ENOMEM && errno != ENOSPC)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  streams_.emplace(stream.id_, &stream);
  if (!stream.added_) settleLater(stream);
}

void EventLoop::remove(Stream& stream) {
  streams_.erase(stream.id_);
  disarm(stream);
}

}  // namespace gulltrestle::event_loop
