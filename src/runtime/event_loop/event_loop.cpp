#include "runtime/event_loop/event_loop.h"

#include <algorithm>
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

// Pause after epoll or memory was unavailable: short compared with any deadline, long enough not to spin.
constexpr Duration kRetryPause = Duration::millis(10);
// Upper bound on the timeout of one epoll_wait(); one turn per minute has a negligible cost.
constexpr std::int64_t kMaxWaitMillis = 60'000;
constexpr std::int64_t kMicrosPerMilli = 1000;

// A wait that took less than this returned immediately.
constexpr Duration kNoWait = Duration::millis(1);
// A wait that exceeded its timeout by more than this was delayed: the process was stopped or not scheduled.
constexpr Duration kLateWait = Duration::millis(50);

// Set by SIGCONT: the process was stopped and has resumed. The result of epoll_wait() doesn't show this if an
// event ended that wait in the meantime.
volatile std::sig_atomic_t wasContinued = 0;

}  // namespace

EventLoop::EventLoop()
    : epoll_(retrySystemCall("epoll", [] { return epoll_create1(EPOLL_CLOEXEC); })),
      offsetMicros_(unixMicros() - steadyMicros()) {
  arrivalLowerBound_ = lastWaitEndedAt_ = now();
  std::signal(SIGCONT, [](int) { wasContinued = 1; });
}

EventLoop::~EventLoop() { destroyTasks(); }

void EventLoop::destroyTasks() {
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

void EventLoop::run(const EndOfTurn& endOfTurn, const TaskFailed& taskFailed) {
  while (!isStopped_) {
    runTurn(taskFailed);
    const Instant nextTurn = endOfTurn(now());
    if (!isStopped_) wait(nextTurn);
  }
}

// --- A turn

void EventLoop::runTurn(const TaskFailed& taskFailed) {
  const Instant time = now();
  while (!timers_.empty() && timers_.begin()->first <= time) {
    const Timer timer = timers_.begin()->second;
    timers_.erase(timers_.begin());
    fire(timer);
  }
  running_.swap(ready_);
  for (const auto handle : running_) runTask(handle, taskFailed);
  running_.clear();
}

void EventLoop::fire(const Timer& timer) {
  if (timer.handle) return resume(timer.handle);
  const auto found = streams_.find(timer.stream);
  if (found == streams_.end()) return;
  Stream& stream = *found->second;
  if (!timer.resumesReports) return stream.wake();
  stream.areReportsPaused_ = false;
  updateInterestLater(stream);
}

void EventLoop::runTask(std::coroutine_handle<> handle, const TaskFailed& taskFailed) {
  handle.resume();
  if (!handle.done()) return;
  const auto ended = tasks_.extract(handle.address());
  if (const auto failure = ended.mapped().failure()) taskFailed(failure);
}

// --- Waiting

void EventLoop::wait(Instant until) {
  updatePendingInterests();
  const std::size_t count = poll(events_, waitTimeoutMillis(earliestWakeUp(until)));
  for (const epoll_event& event : std::span(events_).first(count)) handleEvent(event);
}

// Returns Instant() (never) if neither the caller nor a timer needs a wake-up.
Instant EventLoop::earliestWakeUp(Instant until) const {
  if (!timers_.empty() && (until == Instant() || timers_.begin()->first < until))
    until = timers_.begin()->first;
  if (!pendingInterests_.empty())
    until = until == Instant() ? now() + kRetryPause : std::min(until, now() + kRetryPause);
  return until;
}

// Returns the timeout for epoll_wait(); -1 means no timeout. Rounded up, as a turn that runs before `until`
// would find nothing due.
int EventLoop::waitTimeoutMillis(Instant until) const {
  if (!ready_.empty()) return 0;
  if (until == Instant()) return -1;
  const std::int64_t remainingMicros = (until - now()).inMicros();
  const std::int64_t millis = (remainingMicros + kMicrosPerMilli - 1) / kMicrosPerMilli;
  return static_cast<int>(std::clamp<std::int64_t>(millis, 0, kMaxWaitMillis));
}

// Waits for events and returns their number. If the process was stopped and resumed, the wait is interrupted:
// poll() then collects the events that arrived in the meantime with a second call, so that no decision is
// based on the clock before they are seen. Trade-off: one more system call, only in that case.
std::size_t EventLoop::poll(std::span<epoll_event> events, int timeoutMillis) {
  const int capacity = static_cast<int>(events.size());
  const Instant startedAt = now();
  int count = epoll_wait(epoll_.number(), events.data(), capacity, timeoutMillis);
  const bool wasInterrupted = count < 0 && errno == EINTR;
  if (wasInterrupted) count = epoll_wait(epoll_.number(), events.data(), capacity, 0);
  recordWait(startedAt, timeoutMillis, wasInterrupted);
  return static_cast<std::size_t>(std::max(count, 0));
}

// Updates the lower bound on the arrival time of the reported events. Events that are reported without a wait
// arrived earlier, and events that are reported to a process that was stopped may have. In both cases the end
// of the previous wait is the only known bound.
void EventLoop::recordWait(Instant startedAt, int timeoutMillis, bool wasInterrupted) {
  const Instant endedAt = now();
  const bool wasStopped = wasInterrupted || wasContinued != 0;
  wasContinued = 0;
  const Duration waited = endedAt - startedAt;
  const bool isLate = timeoutMillis >= 0 && waited > Duration::millis(timeoutMillis) + kLateWait;
  const bool mayHaveArrivedEarlier = wasStopped || isLate || waited < kNoWait;
  arrivalLowerBound_ = mayHaveArrivedEarlier ? lastWaitEndedAt_ : endedAt;
  // The process may also have been stopped between the return of epoll_wait() and the reading of the clock.
  lastWaitEndedAt_ = wasStopped || isLate ? startedAt : endedAt;
}

void EventLoop::handleEvent(const epoll_event& event) {
  const auto found = streams_.find(event.data.u64);
  if (found == streams_.end()) return;
  Stream& stream = *found->second;
  const std::uint32_t unneeded = stream.applyReport(event.events);
  // Epoll reports a hang-up for as long as the descriptor is registered.
  if (unneeded & (EPOLLHUP | EPOLLERR))
    unregister(stream);
  else if (unneeded & stream.registeredEvents_)
    registerEvents(stream, stream.registeredEvents_ & ~unneeded);
  stream.wake();
}

// --- Interest in events

// Returns false if epoll has no memory for the registration now. Hang-ups are reported even if `events` is 0.
bool EventLoop::registerEvents(Stream& stream, std::uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.u64 = stream.id_;
  const int operation = stream.isRegistered_ ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  if (epoll_ctl(epoll_.number(), operation, stream.descriptor(), &event) != 0) return false;
  stream.isRegistered_ = true;
  stream.registeredEvents_ = events;
  return true;
}

void EventLoop::unregister(Stream& stream) {
  if (!stream.isRegistered_) return;
  if (epoll_ctl(epoll_.number(), EPOLL_CTL_DEL, stream.descriptor(), nullptr) != 0) return;
  stream.isRegistered_ = false;
  stream.registeredEvents_ = 0;
}

// Registers all events that the stream wants. Returns true if nothing is left to do.
bool EventLoop::updateInterest(Stream& stream) {
  const std::uint32_t wanted = stream.wantedEvents();
  if (stream.areReportsPaused_ || (wanted & ~stream.registeredEvents_) == 0) return true;
  return registerEvents(stream, wanted | stream.registeredEvents_);
}

void EventLoop::updatePendingInterests() {
  std::erase_if(pendingInterests_, [this](std::uint64_t id) {
    const auto found = streams_.find(id);
    return found == streams_.end() || updateInterest(*found->second);
  });
}

void EventLoop::pauseReports(Stream& stream) {
  unregister(stream);
  timers_.emplace(now() + kRetryPause, Timer{{}, stream.id_, true});
}

// --- Streams

void EventLoop::add(Stream& stream) {
  stream.id_ = ++lastStreamId_;
  if (events_.size() <= streams_.size()) events_.resize(streams_.size() + 1);
  // The system may temporarily be out of memory or epoll watches: each wait retries the registration first.
  if (!updateInterest(stream) && errno != ENOMEM && errno != ENOSPC)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  streams_.emplace(stream.id_, &stream);
  if (!stream.isRegistered_) updateInterestLater(stream);
}

void EventLoop::remove(Stream& stream) {
  streams_.erase(stream.id_);
  unregister(stream);
}

}  // namespace gulltrestle::event_loop
