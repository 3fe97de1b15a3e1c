#include "runtime/event_loop/stream.h"

#include <sys/epoll.h>

#include "runtime/event_loop/event_loop.h"

namespace gulltrestle::event_loop {

namespace {

constexpr std::uint32_t kReadable = EPOLLIN | EPOLLRDHUP, kWritable = EPOLLOUT;
constexpr std::uint32_t kBroken = EPOLLHUP | EPOLLERR;  // reported even if not requested

}  // namespace

Stream::Stream(EventLoop& loop, Descriptor descriptor) : loop_(loop), descriptor_(std::move(descriptor)) {
  loop_.add(*this);
}

Stream::~Stream() { loop_.remove(*this); }

std::uint32_t Stream::wantedEvents() const {
  return (canRead_ ? 0 : kReadable) | (canWrite_ ? 0 : kWritable);
}

std::uint32_t Stream::applyReport(std::uint32_t events) {
  std::uint32_t unneeded = 0;
  // The first report of readable data is usually followed by a read, so the event stays registered. Only a
  // second report without a read is worth a system call that unregisters it.
  if (canRead_) unneeded |= events & kReadable;
  if (hungUp_) unneeded |= events & kBroken;
  // The next read or write returns the error or hang-up too.
  if (events & kBroken) hungUp_ = true;
  if (events & (EPOLLRDHUP | kBroken)) isPeerHalfClosed_ = true;
  if (events & (kReadable | kBroken)) canRead_ = true;
  if (events & (kWritable | kBroken)) canWrite_ = true;
  return unneeded | (events & kWritable);
}

IoResult Stream::read(std::span<char> buffer) {
  const IoResult result = readInto(descriptor(), buffer);
  // A read that doesn't fill the buffer has usually read everything, and epoll reports the rest again if it
  // has not. If epoll has already reported the end of the stream, that end is still to be read.
  const bool hasReadAll = result.status == IoStatus::ok && result.size < buffer.size() && !isPeerHalfClosed_;
  if (result.status == IoStatus::wouldBlock || hasReadAll) readBlocked();
  if (result.status != IoStatus::noMemory) return result;
  readBlocked();
  pauseReports();
  return {IoStatus::wouldBlock};
}

IoResult Stream::write(std::span<const std::string_view> parts) {
  std::size_t totalBytes = 0;
  for (const auto part : parts) totalBytes += part.size();
  const IoResult result = writeFrom(descriptor(), parts);
  const bool wasShort = result.status == IoStatus::ok && result.size < totalBytes;
  if (result.status == IoStatus::wouldBlock || wasShort) writeBlocked();
  if (result.status != IoStatus::noMemory) return result;
  writeBlocked();
  pauseReports();
  return {IoStatus::wouldBlock};
}

IoStatus Stream::accept(Descriptor& accepted) {
  const IoStatus result = event_loop::accept(descriptor(), accepted);
  if (result == IoStatus::wouldBlock) readBlocked();
  return result;
}

void Stream::readBlocked() {
  canRead_ = false;
  if ((registeredEvents_ & kReadable) != kReadable) loop_.updateInterestLater(*this);
}

void Stream::writeBlocked() {
  canWrite_ = false;
  if ((registeredEvents_ & kWritable) == 0) loop_.updateInterestLater(*this);
}

// Prevents level-triggered reports from repeating without a pause while the system is short of memory.
void Stream::pauseReports() {
  areReportsPaused_ = true;
  loop_.pauseReports(*this);
}

void Stream::await(std::coroutine_handle<> handle) {
  if (std::exchange(isWakePending_, false))
    loop_.resume(handle);
  else
    waiter_ = handle;
}

void Stream::wake() {
  if (!waiter_)
    isWakePending_ = true;
  else if (isPrioritized_)
    loop_.resumeFirst(std::exchange(waiter_, {}));
  else
    loop_.resume(std::exchange(waiter_, {}));
}

void Stream::wakeAt(Instant at) { loop_.wakeAt(*this, at); }

}  // namespace gulltrestle::event_loop
